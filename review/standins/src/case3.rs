//! Case 3: lists are pushed. A sidecar is killed and comes back while discovery is down; an endpoint
//! began to drain in between, which the agent has.

use crate::kit::*;
use std::fs;
use std::sync::{Arc, Mutex};
use std::thread;

const DRAINED: &str = "e1";
/// How long discovery is down, and so its agent silent.
const DOWN_FOR: u64 = 7000;
/// The grace of a drain by the settings, the 50 ms of the protocol page, the 0.15 s for which a
/// sidecar may be held up, and 0.1 s for the stand-ins' own clocks.
const GRACE: u64 = 700 + 50 + 150 + 100;

pub fn play(place: &Place, record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let endpoints = endpoints(record, &runs)?;
    let discovery = Discovery::start(record, &endpoints)?;
    let listen = free_address()?;
    let class = |name, semantics, aim, give_up| Class {
        name,
        semantics,
        aim,
        give_up,
        worth: 2.0,
        late_worth: 0.3,
        window: 1200,
    };
    let classes =
        [class("gate-times", "read_like", 400, 900), class("buy-ticket", "idempotency_key", 700, 1400)];
    let settings = settings(&classes, 4, "pushed")
        .replace("\"stop_sending_within_ns\":500", "\"stop_sending_within_ns\":700");
    // Two sidecars, of which one is killed. Its list is the one that it had last: it is killed before
    // the change.
    let other_listen = free_address()?;
    for (name, me, listen) in [("config.json", 0, listen), ("other.json", 1, other_listen)] {
        let settings = settings.replace("\"me\":0,\"siblings\":1", &format!("\"me\":{me},\"siblings\":2"));
        fs::write(place.temporary.join(name), config(listen, &discovery, &settings))?;
    }
    let mut other =
        Sidecar::start_on("other", "other.json", place, other_listen, discovery.address, record)?;
    wait_until_ready(other_listen)?;
    let other_traffic = Traffic::start(other_listen, "gate-times", 900, record);

    let first = Sidecar::start("first", place, listen, discovery.address, record)?;
    wait_until_ready(listen)?;
    let traffic = Traffic::start(listen, "gate-times", 900, record);
    thread::sleep(ms(2000));
    traffic.stop();
    record.line("platform", "SIGKILL to first");
    drop(first);
    thread::sleep(ms(1000));
    discovery.publish(DRAINED, "leaving");
    thread::sleep(ms(1000));
    if trouble {
        discovery.set_down(true);
    }
    thread::sleep(ms(1000));
    // $TMPDIR is empty at each start (DEPLOY).
    fs::remove_dir_all(place.temporary.join("state").join("config.json"))?;
    let started_at = record.now();
    let mut second = Sidecar::start("second", place, listen, discovery.address, record)?;
    wait_until_ready(listen)?;
    let traffic = Traffic::start(listen, "gate-times", 900, record);
    let of_second = traffic.ids.clone();
    thread::sleep(ms(DOWN_FOR - 1000));
    discovery.set_down(false);
    thread::sleep(ms(3000));
    traffic.stop();
    other_traffic.stop();
    if !second.runs() || !other.runs() {
        return Err("a process has ended".into());
    }

    let runs = runs.lock().unwrap();
    let by_second = |run: &&Run| run.id.starts_with(&of_second);
    if runs.iter().filter(by_second).count() < 100 {
        return Err("too little traffic after the start".into());
    }
    let late: Vec<&Run> = runs
        .iter()
        .filter(by_second)
        .filter(|run| run.endpoint == DRAINED && run.first_byte > started_at + GRACE)
        .collect();
    let Some((first, last)) = late.first().zip(late.last()) else { return Ok(Vec::new()) };
    Ok(vec![format!(
        "{} requests began at {DRAINED}, which drains, {} to {} ms after the start of the process (told at 0, grace to 750); \
         first {}",
        late.len(),
        first.first_byte - started_at,
        last.first_byte - started_at,
        first.id
    )])
}
