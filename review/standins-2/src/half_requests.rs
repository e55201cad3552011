//! Many clients stop in the middle of a request and stay; the usual clients go on sending.

use crate::kit::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the sidecar: the pages give it 256 to 1,024.
const SOCKETS: u32 = 256;
/// Clients that stop in the middle of a request and stay.
const STOPPED: usize = 225;
/// Usual clients, which send one request each on a new connection, and the time between two of them.
const USUAL: usize = 12;
const PAUSE: Duration = ms(10);
/// The time that a usual client waits for its answer, in ms: 42% of the 1.5 s of `farmer-pay`.
const TIME_LEFT: u64 = 630;
/// Up to half a second after its time an answer only earns nothing; each limit is 0.05 s longer.
const SLACK: Duration = ms(500 + 50);

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = Site { sockets: SOCKETS, ..rounds_main() };
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start(name, record, &arrivals, |_| ms(10));
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zones[0])).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("half-requests")?;
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
    thread::sleep(ms(1000));
    let mut stopped = Vec::new();
    if trouble {
        for _ in 0..STOPPED {
            let mut stream = TcpStream::connect(start.listen).map_err(|e| e.to_string())?;
            let half = "POST /farmer-pay/half HTTP/1.1\r\nHost: service.internal\r\n";
            stream.write_all(half.as_bytes()).map_err(|e| e.to_string())?;
            stopped.push(stream);
        }
        record.add(format_args!("{STOPPED} clients have sent half a request and stay"));
    }
    let tenant = site.tenant;
    let (sender, answers) = channel();
    for _ in 0..USUAL {
        let (sender, record, target) = (sender.clone(), record.clone(), start.listen);
        thread::spawn(move || {
            let id = new_id();
            let Ok(mut stream) = TcpStream::connect(target) else { return };
            let request = keyed_request("farmer-pay", tenant, &id, TIME_LEFT);
            let sent = Instant::now();
            record.add(format_args!("{id}: a usual client has connected and sends"));
            let answer = exchange(&mut stream, request.as_bytes(), ms(8000));
            let took = sent.elapsed();
            let is_answered = answer.is_ok();
            let what = answer.map_or_else(|e| e.to_string(), |answer| answer.status().to_string());
            record.add(format_args!("{id}: {what} after {:.4} s", took.as_secs_f64()));
            let _ = sender.send((took, is_answered));
        });
        thread::sleep(PAUSE);
    }
    drop(sender);
    let answers: Vec<(Duration, bool)> = answers.iter().collect();
    drop(stopped);
    if sidecar.has_ended() {
        return Err("the sidecar has ended".to_owned());
    }
    // A new connection may be shut unread while the descriptors are full: that loses nothing.
    let late = answers.iter().filter(|(took, is_answered)| *is_answered && *took > ms(TIME_LEFT) + SLACK);
    let late = late.count();
    let slowest = answers.iter().map(|(took, _)| took.as_secs_f64()).fold(0.0, f64::max);
    let line = format!(
        "{USUAL} usual requests: {} answered, {} closed unanswered, {late} without a final answer {TIME_LEFT} ms + 550 ms after they were sent; slowest {slowest:.3} s",
        answers.iter().filter(|(_, is_answered)| *is_answered).count(),
        answers.iter().filter(|(_, is_answered)| !*is_answered).count(),
    );
    record.say(line);
    Ok(late > 0)
}
