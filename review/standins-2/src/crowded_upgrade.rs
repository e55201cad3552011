//! A new version is started beside the old one while discovery has too many callers. The old one
//! knows that an endpoint has gone; the new one starts with the list of the configuration.

use crate::kit::*;
use std::sync::Arc;
use std::thread;

/// Discovery's queue: `timeout_ms` of the site file.
const QUEUE: u64 = 3000;
/// Discovery's news counts as told this long after the new process said yes.
const TOLD_AFTER: u64 = 2000;
/// The grace of a drain, and what each limit is longer on sockets.
const GRACE: u64 = 500 + 50;
/// SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER: u64 = 3000 + 700;
/// How long the endpoint is watched after the yes.
const WATCHED: u64 = 6500;

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = rounds_main();
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start(name, record, &arrivals, |_| ms(10));
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zones[0])).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("crowded-upgrade")?;
    let known = discovery.whole_list();
    let start = Start {
        folder: &folder,
        site: &site,
        listen: free_address()?,
        console: free_address()?,
        discovery: discovery.address,
        known: &known,
    };
    let mut old = Sidecar::start("old", &start, record)?;
    old.wait_until_ready()?;
    let clients = Clients::start(4, ms(60), start.listen, &site, record);
    // The first call of a process comes within 3.6 s, and its watch is told from then on.
    thread::sleep(ms(5500));
    let changed = discovery.set_lifecycle("s-c", "left");
    thread::sleep(ms(1500));
    if trouble {
        discovery.set_crowded(Some(ms(QUEUE)));
    }
    let mut new = Sidecar::start("new", &Start { console: free_address()?, ..start }, record)?;
    let yes = new.wait_until_ready()?;
    old.signal("TERM")?;
    let killed_at = yes + ms(KILL_AFTER);
    let deadline = yes + ms(WATCHED);
    while std::time::Instant::now() < deadline {
        if std::time::Instant::now() >= killed_at && !old.has_ended() {
            old.kill();
        }
        thread::sleep(ms(20));
    }
    discovery.set_crowded(None);
    clients.end();
    if new.has_ended() {
        return Err("the new process has ended".to_owned());
    }
    let limit = yes + ms(TOLD_AFTER + GRACE);
    record.add(format_args!(
        "the new process said yes at {:.3}; the change counts as told at {:.3}; nothing new may be sent to s-c after {:.3}",
        record.at(yes),
        record.at(yes + ms(TOLD_AFTER)),
        record.at(limit)
    ));
    Ok(report_late(record, &arrivals, "s-c", changed, limit))
}
