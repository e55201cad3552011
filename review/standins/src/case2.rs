//! Case 2: planned restarts where the deadlines are short. The front goes on dealing out new
//! connections for 0.3 s after SIGTERM; some of them are closed with no answer to their first request.

use crate::kit::*;
use std::collections::HashMap;
use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RESTARTS: usize = 6;
const CLIENTS: usize = 24;
/// The longest deadline of the deployment.
const LONGEST_DEADLINE: u64 = 700;
/// New connections come for that long after SIGTERM.
const NEW_CONNECTIONS_FOR: u64 = 300;
/// A client begins to write that long after its connection is there; the pages let it take 2 s for a
/// head.
const WRITES_AFTER: Duration = ms(2);
/// SIGKILL comes that long after SIGTERM: the longest deadline and 0.7 s, and 0.1 s more.
const KILL_AFTER: u64 = LONGEST_DEADLINE + 700 + 100;

/// How a request ended.
#[derive(Debug, PartialEq)]
enum End {
    Answered(String),
    /// The sidecar ended the connection in order, with no byte of an answer. The request had been
    /// read: a close over unread bytes would have reset the connection.
    Closed,
    Reset,
    NoAnswer,
    NotSent,
}

struct Outcome {
    id: String,
    connected_at: u64,
    sent_at: u64,
    ended_at: u64,
    /// Whether it was the first request on its connection.
    first: bool,
    end: End,
}

/// What the front and its clients share.
struct Front {
    listen: SocketAddr,
    record: Arc<Record>,
    next: AtomicU64,
    outcomes: Mutex<Vec<Outcome>>,
    opens: AtomicBool,
    ended: AtomicBool,
}

impl Front {
    /// One client: it asks, thinks for 5 to 35 ms, and asks again on the connection that it keeps, or on a
    /// new one every other time. It opens new ones only while the front deals them out.
    fn client(&self, number: usize) {
        let mut kept: Option<(TcpStream, Vec<u8>, u64)> = None;
        let mut random = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number as u64 + 1);
        for turn in number.. {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            thread::sleep(ms(5 + (random >> 33) % 31));
            let reused = kept.take().filter(|_| turn % 2 == 0);
            let first = reused.is_none();
            let (mut stream, mut buffer, connected_at) = match reused {
                Some(kept) => kept,
                None if !self.opens.load(Ordering::SeqCst) => continue,
                None => match TcpStream::connect_timeout(&self.listen, ms(500)) {
                    Ok(stream) => {
                        let connected_at = self.record.now();
                        thread::sleep(WRITES_AFTER);
                        (stream, Vec::new(), connected_at)
                    }
                    Err(_) => continue,
                },
            };
            let id = format!("c{:06}", self.next.fetch_add(1, Ordering::SeqCst));
            let sent_at = self.record.now();
            let (end, keep) = ask(&mut stream, &mut buffer, &id);
            let ended_at = self.record.now();
            self.record.line(
                "client",
                format_args!(
                    "{id} on a {} connection of {connected_at}, sent at {sent_at}: {end:?}",
                    if first { "new" } else { "kept" }
                ),
            );
            if keep {
                kept = Some((stream, buffer, connected_at));
            }
            self.outcomes.lock().unwrap().push(Outcome { id, connected_at, sent_at, ended_at, first, end });
        }
    }
}

/// Sends a request whole, in one write, and waits for its end.
fn ask(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str) -> (End, bool) {
    let text = format!(
        "GET /find-lot/x HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: find-lot\r\n\
         X-Account: office\r\nX-Time-Left-Ms: 400\r\n\r\n"
    );
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(ms(400 + 600)));
    if stream.write_all(text.as_bytes()).is_err() {
        return (End::NotSent, false);
    }
    match read_message(stream, buffer) {
        Ok(Some(answer)) => {
            let keep = !answer.header("connection").eq_ignore_ascii_case("close");
            (End::Answered(answer.word().to_owned()), keep)
        }
        Ok(None) => {
            // Had the request's bytes been unread at the close, a reset would follow.
            thread::sleep(ms(30));
            let reset = matches!(stream.take_error(), Ok(Some(_)) | Err(_));
            (if reset { End::Reset } else { End::Closed }, false)
        }
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            (End::NoAnswer, false)
        }
        Err(_) => (End::Reset, false),
    }
}

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
        window: 7000,
    };
    let classes = [
        class("find-lot", "read_like", 250, 400),
        class("print-label", "idempotency_key", 300, LONGEST_DEADLINE),
    ];
    let config = config(listen, &discovery, &settings(&classes, 4, "on_request"));
    fs::write(place.temporary.join("config.json"), config)?;

    let mut sidecar = Sidecar::start("n1", place, listen, discovery.address, record)?;
    wait_until_ready(listen)?;
    let front = Arc::new(Front {
        listen,
        record: record.clone(),
        next: AtomicU64::new(0),
        outcomes: Mutex::default(),
        opens: AtomicBool::new(true),
        ended: AtomicBool::new(false),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = front.clone();
            thread::spawn(move || front.client(number))
        })
        .collect();
    // The time of each SIGTERM, and that from which the process may have been killed.
    let mut stops = Vec::new();
    for _ in 0..RESTARTS {
        thread::sleep(ms(2000));
        if !trouble {
            thread::sleep(ms(KILL_AFTER));
            continue;
        }
        let stopped = Instant::now();
        sidecar.signal("SIGTERM", SIGTERM);
        let stopped_at = record.at(stopped);
        thread::sleep(ms(NEW_CONNECTIONS_FOR).saturating_sub(stopped.elapsed()));
        front.opens.store(false, Ordering::SeqCst);
        while sidecar.runs() && stopped.elapsed() < ms(KILL_AFTER) {
            thread::sleep(ms(5));
        }
        stops.push((stopped_at, record.now()));
        drop(sidecar); // SIGKILL, where it still runs.
        record.line("platform", "the process has ended");
        sidecar = Sidecar::start("n1", place, listen, discovery.address, record)?;
        wait_until_ready(listen)?;
        front.opens.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(1));
    front.ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let outcomes = front.outcomes.lock().unwrap();
    let count = |end: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| end(o)).count();
    record.line(
        "verdict",
        format_args!(
            "{} requests, {} answered; on new connections: {} closed in order without an answer, {} reset, {} unanswered; \
             on kept ones: {} closed or reset",
            outcomes.len(),
            count(&|o| matches!(o.end, End::Answered(_))),
            count(&|o| o.first && o.end == End::Closed),
            count(&|o| o.first && o.end == End::Reset),
            count(&|o| o.first && o.end == End::NoAnswer),
            count(&|o| !o.first && matches!(o.end, End::Closed | End::Reset)),
        ),
    );
    if count(&|o| matches!(o.end, End::Answered(_))) < 500 {
        return Err("too few requests were answered".into());
    }
    // The rule: a request is taken once its last byte is written to a connection that was accepted, and
    // lost if the sidecar ends that connection with no whole answer, on a new connection too. What
    // crosses the close of a kept connection is not counted, nor what was reset or met the SIGKILL.
    let lost: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.first && o.end == End::Closed)
        .filter(|o| stops.iter().all(|(_, ended_at)| !(o.sent_at..=o.ended_at).contains(ended_at)))
        .collect();
    let mut by_stop: HashMap<u64, Vec<&Outcome>> = HashMap::new();
    for outcome in &lost {
        let stop = stops.iter().map(|(at, _)| *at).filter(|at| *at <= outcome.sent_at).max().unwrap_or(0);
        by_stop.entry(stop).or_default().push(outcome);
    }
    let mut broken: Vec<String> = by_stop
        .iter()
        .map(|(stop, lost)| {
            let each: Vec<String> = lost
                .iter()
                .map(|o| {
                    format!(
                        "{} (connected {} ms, sent {} ms after it)",
                        o.id,
                        o.connected_at.saturating_sub(*stop),
                        o.sent_at - stop
                    )
                })
                .collect();
            format!(
                "SIGTERM at {stop}: {} requests read on new connections and closed with no answer: {}",
                lost.len(),
                each.join(", ")
            )
        })
        .collect();
    broken.sort();
    Ok(broken)
}
