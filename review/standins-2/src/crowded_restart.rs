//! A sidecar is killed and started again while discovery has too many callers; an endpoint begins
//! to drain meanwhile.

use crate::kit::*;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// Discovery's queue: `timeout_ms` of the site file.
const QUEUE: u64 = 1000;
/// A change counts as told this long after discovery had it.
const TOLD_AFTER: u64 = 6000;
/// The grace of a drain, and what each limit is longer on sockets.
const GRACE: u64 = 500 + 50;
/// How long the endpoint is watched after the change.
const WATCHED: u64 = 9_000;

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = ktm_gallery();
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start(name, record, &arrivals, |_| ms(10));
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zone)).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("crowded-restart")?;
    let known = discovery.whole_list();
    let start = Start {
        folder: &folder,
        site: &site,
        listen: free_address()?,
        console: free_address()?,
        discovery: discovery.address,
        known: &known,
    };
    let mut sidecar = Sidecar::start("sidecar", &start, record)?;
    sidecar.wait_until_ready()?;
    let clients = Clients::start(4, ms(100), start.listen, &site, record);
    thread::sleep(ms(2000));
    if trouble {
        discovery.set_crowded(Some(ms(QUEUE)));
        sidecar.kill();
        thread::sleep(ms(300));
        sidecar = Sidecar::start("sidecar", &start, record)?;
        sidecar.wait_until_ready()?;
    }
    thread::sleep(ms(500));
    let changed = discovery.set_lifecycle("s-c", "leaving");
    thread::sleep(ms(WATCHED).saturating_sub(changed.elapsed()));
    discovery.set_crowded(None);
    thread::sleep(ms(200));
    clients.end();
    if sidecar.has_ended() {
        return Err("the sidecar has ended".to_owned());
    }
    let limit = changed + ms(TOLD_AFTER + GRACE);
    record.add(format_args!(
        "the change was made at {:.3}; it counts as told at {:.3}; nothing new may be sent to s-c after {:.3}",
        record.at(changed),
        record.at(changed + ms(TOLD_AFTER)),
        record.at(limit)
    ));
    Ok(report_late(record, &arrivals, "s-c", changed, limit))
}

/// Reports the attempts at an endpoint that began after the limit; whether there are any.
pub fn report_late(
    record: &Record,
    arrivals: &Arrivals,
    name: &str,
    changed: Instant,
    limit: Instant,
) -> bool {
    let arrivals = arrivals.lock().unwrap();
    let at_endpoint: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.endpoint == name).collect();
    let late: Vec<&&Arrival> = at_endpoint.iter().filter(|arrival| arrival.first_byte > limit).collect();
    for arrival in &late {
        record.add(format_args!(
            "late: {name} was sent {} at {:.4}",
            arrival.id,
            record.at(arrival.first_byte)
        ));
    }
    let line = format!(
        "{name}: {} attempts in all, {} after the change, {} after the limit",
        at_endpoint.len(),
        at_endpoint.iter().filter(|arrival| arrival.first_byte > changed).count(),
        late.len()
    );
    record.say(line);
    !late.is_empty()
}
