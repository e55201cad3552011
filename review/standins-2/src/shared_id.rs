//! An upgrade while a request is open at the old process; a bad client sends the id of that request
//! to the new one.

use crate::kit::*;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// How long the endpoint works on the usual client's request.
const WORK: Duration = ms(1800);
/// Of the class `print-order`, whose requests are given 6 s.
const TIME_LEFT: u64 = 6000;

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = ktm_gallery();
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start(name, record, &arrivals, |_| WORK);
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zones[0])).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("shared-id")?;
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
    thread::sleep(ms(1500));
    // The old process alone listens, so this connection is its own.
    let mut usual = TcpStream::connect(start.listen).map_err(|e| e.to_string())?;
    let mut new = None;
    if trouble {
        let mut started = Sidecar::start("new", &Start { console: free_address()?, ..start }, record)?;
        started.wait_until_ready()?;
        new = Some(started);
    }
    let id = new_id();
    let (tenant, sent_id) = (site.tenant, id.clone());
    let (sender, answer) = channel();
    let usual_record = record.clone();
    thread::spawn(move || {
        let request = keyed_request("print-order", tenant, &sent_id, TIME_LEFT);
        usual_record.add(format_args!("the usual client sends {sent_id}"));
        let answer = exchange(&mut usual, request.as_bytes(), ms(TIME_LEFT + 550));
        let what = answer.map_or_else(
            |e| e.to_string(),
            |a| format!("{} {}", a.status(), String::from_utf8_lossy(&a.body)),
        );
        usual_record.add(format_args!("the usual client has {what} for {sent_id}"));
        let _ = sender.send(what);
    });
    thread::sleep(ms(200));
    if trouble {
        old.signal("TERM")?;
    }
    // By then the new process alone takes new connections.
    thread::sleep(ms(400));
    let mut bad = TcpStream::connect(start.listen).map_err(|e| e.to_string())?;
    let request = keyed_request("print-order", tenant, &id, TIME_LEFT).replace("key-", "other-key-");
    record.add(format_args!("the bad client sends {id}, the id of an open request"));
    let served = exchange(&mut bad, request.as_bytes(), ms(TIME_LEFT + 550));
    let status = served.as_ref().map_or(0, Message::status);
    record.add(format_args!("the bad client has {status} for {id}"));
    let usual = answer.recv().unwrap_or_default();
    if new.as_mut().is_some_and(Sidecar::has_ended) {
        return Err("the new process has ended".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let of_id: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.id == id).collect();
    let overlap = of_id.windows(2).any(|pair| pair[0].answered.is_none_or(|at| pair[1].first_byte < at));
    let line = format!(
        "the usual client has '{usual}', the bad client has {status}; the endpoints received {id} {} times{}",
        of_id.len(),
        if overlap { ", the second time while the first was out" } else { "" }
    );
    record.say(line);
    Ok(status == 200)
}
