//! Planned restarts of a deployment with short deadlines, under its usual load.

use crate::kit::*;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline, in ms.
const DEADLINE: u64 = 500;
const RESTARTS: usize = 8;
const CLIENTS: usize = 26;
/// The pause of a client after an answer: about 130 requests a second in all.
const PAUSE: Duration = ms(190);
/// From a new connection to its first byte: the front connects when its client does, and passes on
/// what comes from it a round trip later (the site file: 0.37 to 1.2 ms one way).
const FIRST_BYTE: Duration = ms(2);
/// New connections come for 0.2 to 0.4 s after SIGTERM.
const NEW_CONNECTIONS: Duration = ms(300);
/// SIGKILL follows SIGTERM no sooner than this.
const KILLED_AFTER: Duration = ms(DEADLINE + 700);

/// What has become of the requests.
#[derive(Default)]
struct Counts {
    answered: usize,
    closed: usize,
    lost: usize,
}

struct Shared {
    target: std::net::SocketAddr,
    site: Site,
    /// When SIGTERM was sent to the process that runs now.
    stopped: Mutex<Option<Instant>>,
    ended: AtomicBool,
    counts: Mutex<Counts>,
    record: Arc<Record>,
}

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let mut site = ktm_gallery();
    for class in &mut site.classes {
        (class.aim_ms, class.give_up_ms) = (DEADLINE * 8 / 10, DEADLINE);
    }
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start(name, record, &arrivals, |_| ms(20));
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zone)).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("short-restart")?;
    let known = discovery.whole_list();
    let listen = free_address()?;
    let shared = Arc::new(Shared {
        target: listen,
        site,
        stopped: Mutex::default(),
        ended: AtomicBool::new(false),
        counts: Mutex::default(),
        record: record.clone(),
    });
    let mut clients = Vec::new();
    let (mut running, console) = (None, free_address()?);
    for number in 0..RESTARTS {
        let start = Start {
            folder: &folder,
            site: &shared.site,
            listen,
            console,
            discovery: discovery.address,
            known: &known,
        };
        let mut sidecar = match running.take() {
            Some(sidecar) => sidecar,
            None => Sidecar::start("sidecar", &start, record)?,
        };
        sidecar.wait_until_ready()?;
        *shared.stopped.lock().unwrap() = None;
        if number == 0 {
            for _ in 0..CLIENTS {
                let shared = shared.clone();
                clients.push(thread::spawn(move || client(&shared)));
                thread::sleep(PAUSE / CLIENTS as u32);
            }
        }
        thread::sleep(ms(1000));
        if !trouble {
            thread::sleep(KILLED_AFTER);
            running = Some(sidecar);
            continue;
        }
        sidecar.signal("TERM")?;
        let stopped = Instant::now();
        *shared.stopped.lock().unwrap() = Some(stopped);
        thread::sleep(KILLED_AFTER);
        if !sidecar.has_ended() {
            sidecar.kill();
        }
    }
    shared.ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let counts = shared.counts.lock().unwrap();
    let line = format!(
        "{} requests answered; {} closed with no answer on a new connection up to {:.1} s after SIGTERM, {} of them again when sent once more",
        counts.answered,
        counts.closed,
        NEW_CONNECTIONS.as_secs_f64(),
        counts.lost
    );
    record.say(line);
    Ok(counts.lost > 0)
}

/// Whether new connections come to the process that runs now.
fn takes_new(shared: &Shared) -> bool {
    shared.stopped.lock().unwrap().is_none_or(|stopped| stopped.elapsed() < NEW_CONNECTIONS)
}

fn client(shared: &Shared) {
    let mut kept = None;
    while !shared.ended.load(Ordering::SeqCst) {
        let id = new_id();
        let request = safe_request(shared.site.classes[0].name, shared.site.tenant, &id, DEADLINE);
        kept = match kept.take().map(|mut stream| (send(&mut stream, &request), stream)) {
            // The close of a connection that rests may cross a request: it is sent once more.
            Some((Ok(keep), stream)) => {
                shared.counts.lock().unwrap().answered += 1;
                Some(stream).filter(|_| keep)
            }
            _ => send_on_new(shared, &id, &request),
        };
        thread::sleep(PAUSE);
    }
}

/// Sends a request on a new connection and, if that is closed with no answer, once more on another.
fn send_on_new(shared: &Shared, id: &str, request: &str) -> Option<TcpStream> {
    for number in 1..=2 {
        if !takes_new(shared) {
            return None;
        }
        let mut stream = TcpStream::connect(shared.target).ok()?;
        thread::sleep(FIRST_BYTE);
        match send(&mut stream, request) {
            Ok(keep) => {
                shared.counts.lock().unwrap().answered += 1;
                return Some(stream).filter(|_| keep);
            }
            Err(error) => {
                let after = shared.stopped.lock().unwrap().map(|stopped| stopped.elapsed().as_secs_f64());
                let after = after.map_or_else(String::new, |after| format!(", {after:.3} s after SIGTERM"));
                shared
                    .record
                    .add(format_args!("{id}: sent on new connection {number}, no answer: {error}{after}"));
                let mut counts = shared.counts.lock().unwrap();
                match number {
                    1 => counts.closed += 1,
                    _ => counts.lost += 1,
                }
            }
        }
    }
    None
}

/// Sends a request. Returns whether the connection is kept after its answer.
fn send(stream: &mut TcpStream, request: &str) -> io::Result<bool> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(DEADLINE + 550)))?;
    stream.write_all(request.as_bytes())?;
    let answer = read_message(stream, &mut Vec::new())?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer.header("connection") != Some("close"))
}
