//! Case 2: during an upgrade two endpoints are taken out by hand, one on each process's second
//! address. One of the two comes back into use without a call back.

use crate::kit::*;
use std::fs;
use std::sync::{Arc, Mutex};
use std::thread;

/// The time between the two calls.
const BETWEEN_CALLS: u64 = 50;
/// The grace of a drain by the settings, the 50 ms of the protocol page, the 0.15 s for which a
/// sidecar may be held up, and 0.1 s for the stand-ins' own clocks.
const GRACE: u64 = 500 + 50 + 150 + 100;

pub fn play(place: &Place, record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let endpoints = endpoints(record, &runs)?;
    let discovery = Discovery::start(record, &endpoints)?;
    let listen = free_address()?;
    let class = |name, semantics, aim, give_up, worth| Class {
        name,
        semantics,
        aim,
        give_up,
        worth,
        late_worth: 0.0,
        window: 10_000,
    };
    let classes = [
        class("view-album", "read_like", 750, 2000, 5.0),
        class("print-order", "idempotency_key", 2500, 6000, 8.0),
    ];
    let config = config(listen, &discovery, &settings(&classes, 6, "on_request"));
    fs::write(place.temporary.join("config.json"), config)?;

    let mut old = Sidecar::start("old", place, listen, discovery.address, record)?;
    wait_until_ready(listen)?;
    let traffic = Traffic::start(listen, "view-album", 2000, record);
    thread::sleep(ms(5000));

    // Without the disruption there is no upgrade: both calls go to the one process.
    let mut new = if trouble {
        let new = Sidecar::start("new", place, listen, discovery.address, record)?;
        new.wait_for_yes()?;
        Some(new)
    } else {
        None
    };
    thread::sleep(ms(1000));
    let mut out = Vec::new();
    for (endpoint, process) in [("e1", &old), ("e2", new.as_ref().unwrap_or(&old))] {
        let answer = process.call(&format!("OFFLINE {endpoint}"))?;
        if !answer.starts_with("+OK") {
            return Err(format!("OFFLINE {endpoint}: {answer}").into());
        }
        out.push((endpoint, record.now()));
        thread::sleep(ms(BETWEEN_CALLS));
    }
    thread::sleep(ms(2000));
    if new.is_some() {
        old.signal("SIGTERM", SIGTERM);
    }
    thread::sleep(ms(6000));
    traffic.stop();
    let serving = new.as_mut().unwrap_or(&mut old);
    if !serving.runs() {
        return Err("the process that serves has ended".into());
    }

    let runs = runs.lock().unwrap();
    let last_call = out.last().map_or(0, |(_, at)| *at);
    if runs.iter().filter(|run| run.first_byte > last_call).count() < 100 {
        return Err("too little traffic after the calls".into());
    }
    let mut broken = Vec::new();
    for (endpoint, yes_at) in out {
        let late: Vec<&Run> =
            runs.iter().filter(|run| run.endpoint == endpoint && run.first_byte > yes_at + GRACE).collect();
        if let Some((first, last)) = late.first().zip(late.last()) {
            broken.push(format!(
                "{} requests began at {endpoint}, out by hand and never called back, {} to {} ms after the yes \
                 (grace to 550); first {}",
                late.len(),
                first.first_byte - yes_at,
                last.first_byte - yes_at,
                first.id
            ));
        }
    }
    Ok(broken)
}
