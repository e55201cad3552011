//! Case 1: four new configurations in quick succession, the last with a new class that is unsafe to
//! repeat in the place of one that was safe to repeat.

use crate::kit::*;
use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const ENDPOINTS: usize = 10;
/// One endpoint of ten is slow (9.6 times), one of ten fails nine of ten requests quickly.
const SLOW: &str = "e9";
const FAILING: &str = "e10";
/// The time between two configurations, and from the last one to the first use of its new class.
const BETWEEN_CONFIGURATIONS: u64 = 250;
const NEW_CLASS_AFTER: u64 = 1200;

fn class(name: &'static str, semantics: &'static str, aim: u64, give_up: u64, worth: f64) -> Class {
    Class { name, semantics, aim, give_up, worth, late_worth: 0.0, window: 10_000 }
}

/// The classes of ktm-gallery; the operator tunes the worth of `full-photo`.
fn classes(worth: f64) -> Vec<Class> {
    vec![
        class("view-album", "read_like", 750, 2000, 5.0),
        class("full-photo", "read_like", 2000, 5000, worth),
        class("album-zip", "read_like", 2500, 6000, 1.0),
        class("print-order", "idempotency_key", 2500, 6000, 8.0),
    ]
}

/// The classes of the last one: `view-album` is dropped and `ward-transfer` is added.
fn last_classes() -> Vec<Class> {
    let mut classes = classes(1.3);
    classes[0] = class("ward-transfer", "non_idempotent", 750, 2000, 5.0);
    classes
}

pub fn play(place: &Place, record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut endpoints = Vec::new();
    for i in 1..=ENDPOINTS {
        let name = format!("e{i}");
        let served = AtomicUsize::new(0);
        let work = move |name: &str, request: &Message| {
            let long = request.word().starts_with("/album-zip");
            match name {
                SLOW => Work { takes: ms(if long { 4800 } else { 550 }), status: "200 OK" },
                FAILING if served.fetch_add(1, Ordering::SeqCst) % 10 == 9 => {
                    Work { takes: ms(60), status: "200 OK" }
                }
                FAILING => Work { takes: ms(5), status: "500 Internal Server Error" },
                _ => Work { takes: ms(if long { 500 } else { 60 }), status: "200 OK" },
            }
        };
        endpoints.push((name.clone(), endpoint(&name, record, &runs, work)?));
    }
    let discovery = Discovery::start(record, &endpoints)?;
    let listen = free_address()?;
    let configure = |settings: &str| -> Result<()> {
        let (file, new) = (place.temporary.join("config.json"), place.temporary.join("config.new"));
        fs::write(&new, config(listen, &discovery, settings))?;
        fs::rename(new, file)?;
        Ok(())
    };
    configure(&settings(&classes(1.0), 6, "on_request"))?;
    let mut sidecar = Sidecar::start("n1", place, listen, discovery.address, record)?;
    wait_until_ready(listen)?;
    thread::sleep(ms(1500));

    let mut clients = Vec::new();
    let mut start = |id: String, class: &'static str, post: Option<String>, time_left: u64| {
        let (record, request) = (record.clone(), Request { id, class, post, time_left });
        clients.push(thread::spawn(move || {
            let _ = send(listen, &request, &record);
        }));
    };
    // Before each configuration come requests whose work is long, some of them to the slow endpoint.
    let batch = |start: &mut dyn FnMut(String, &'static str, Option<String>, u64), n: usize| {
        for i in 0..2 * ENDPOINTS {
            start(format!("a{n}{i:04}"), "album-zip", None, 6000);
            thread::sleep(ms(8));
        }
    };
    let began = Instant::now();
    let earlier = [
        settings(&classes(1.0), 5, "on_request"),
        settings(&classes(1.1), 5, "on_request"),
        settings(&classes(1.2), 5, "on_request"),
    ];
    for (n, settings) in earlier.iter().enumerate() {
        batch(&mut start, n);
        let next = began + ms(BETWEEN_CONFIGURATIONS * (n as u64 + 1));
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if trouble {
            configure(settings)?;
            sidecar.signal("SIGHUP", SIGHUP);
        }
    }
    batch(&mut start, 3);
    thread::sleep((began + ms(4 * BETWEEN_CONFIGURATIONS)).saturating_duration_since(Instant::now()));
    configure(&settings(&last_classes(), 5, "on_request"))?;
    sidecar.signal("SIGHUP", SIGHUP);

    // Clients use a new class 1.2 s later.
    thread::sleep(ms(NEW_CLASS_AFTER));
    for i in 0..60 {
        start(format!("b{i:05}"), "ward-transfer", Some(String::new()), 2000);
        thread::sleep(ms(6));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if !sidecar.runs() {
        return Err("the sidecar has ended".into());
    }

    // The rule: a request of a class that is unsafe to repeat is sent again only where the attempt
    // before surely never ran. Each request that arrived whole has run here.
    let mut by_id: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter().filter(|run| run.id.starts_with('b')) {
        by_id.entry(run.id.clone()).or_default().push(run.clone());
    }
    record.line("verdict", format_args!("{} requests of ward-transfer ran", by_id.len()));
    if by_id.len() < 30 {
        return Err("too few requests of the new class ran".into());
    }
    let twice = by_id.values().filter(|runs| runs.len() > 1);
    Ok(twice
        .map(|runs| {
            let places: Vec<String> =
                runs.iter().map(|run| format!("{} at {} ms", run.endpoint, run.last_byte)).collect();
            format!(
                "{} of ward-transfer (unsafe to repeat) ran {} times: {}",
                runs[0].id,
                runs.len(),
                places.join(", ")
            )
        })
        .collect())
}
