//! Endpoints in another zone send some answers twice, the second some milliseconds late, when nothing
//! else waits on the connection.

use crate::kit::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How late the second copy of an answer is written.
const LATE: Duration = ms(8);
/// One answer in so many comes twice.
const ONE_IN: u64 = 10;
/// Endpoints and their zones; the sidecar is in the first one.
const ENDPOINTS: [(&str, &str); 6] = [
    ("s-a", "bandung"),
    ("s-b", "bandung"),
    ("s-c", "semarang"),
    ("s-d", "semarang"),
    ("s-e", "surabaya"),
    ("s-f", "surabaya"),
];
/// The network, one way, in microseconds, by the site file: in a zone 0.1 to 0.27 ms, between zones 8 ms
/// (5.6 to 10 ms), and a third of that as jitter (0.16 to 0.33).
const SAME_ZONE_US: (u64, u64) = (100, 270);
const CROSS_ZONE_US: (u64, u64) = (5_400, 10_600);
const WORK: Duration = ms(20);
const CLIENTS: usize = 12;
const LENGTH: Duration = ms(20_000);

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = roster_jawa();
    let copies = Arc::new(AtomicU64::new(0));
    let mut entries = Vec::new();
    for (name, zone) in ENDPOINTS {
        let endpoint = start_endpoint(name, record, trouble, &copies)?;
        let link = if zone == site.zones[0] { SAME_ZONE_US } else { CROSS_ZONE_US };
        entries.push(Entry::active(&Endpoint { name, address: start_link(endpoint, link)? }, zone));
    }
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("late-copy")?;
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
    let (class, tenant, time_left) = (site.classes[0].name, site.tenant, site.classes[0].give_up_ms);
    let end = Instant::now() + LENGTH;
    let (sender, results) = channel();
    for _ in 0..CLIENTS {
        let (sender, record, target) = (sender.clone(), record.clone(), start.listen);
        thread::spawn(move || {
            let mut connection = None;
            while Instant::now() < end {
                let Some(mut stream) = connection.take().or_else(|| TcpStream::connect(target).ok()) else {
                    continue;
                };
                let id = new_id();
                let request = safe_request(class, tenant, &id, time_left);
                record.add(format_args!("client sends {id}"));
                let Ok(answer) = exchange(&mut stream, request.as_bytes(), ms(time_left + 550)) else {
                    record.add(format_args!("client of {id}: no answer"));
                    continue;
                };
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let is_foreign = answer.status() == 200 && body.split(' ').nth(1) != Some(&id);
                let whose = if is_foreign { ", the answer to another request" } else { "" };
                record.add(format_args!("client of {id} has {} with '{body}'{whose}", answer.status()));
                let _ = sender.send((answer.status(), is_foreign));
                if answer.header("connection") != Some("close") {
                    connection = Some(stream);
                }
            }
        });
    }
    drop(sender);
    let results: Vec<(u16, bool)> = results.iter().collect();
    if sidecar.has_ended() {
        return Err("the sidecar has ended".to_owned());
    }
    let foreign = results.iter().filter(|(_, is_foreign)| *is_foreign).count();
    let line = format!(
        "{} requests, {} served, {} second copies; {foreign} clients were served the answer to another request",
        results.len(),
        results.iter().filter(|(status, _)| *status == 200).count(),
        copies.load(Ordering::SeqCst)
    );
    record.say(line);
    Ok(foreign > 0)
}

/// An endpoint whose answers carry its name and the request's id.
fn start_endpoint(
    name: &'static str,
    record: &Arc<Record>,
    sends_copies: bool,
    copies: &Arc<AtomicU64>,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(loopback(0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (record, copies, count) = (record.clone(), copies.clone(), Arc::new(AtomicU64::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, copies, count) = (record.clone(), copies.clone(), count.clone());
            thread::spawn(move || {
                let _ = serve(name, stream, &record, sends_copies, &copies, &count);
            });
        }
    });
    Ok(address)
}

fn serve(
    name: &'static str,
    mut stream: TcpStream,
    record: &Record,
    sends_copies: bool,
    copies: &AtomicU64,
    count: &AtomicU64,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut kept = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut kept)? {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        record.add(format_args!("endpoint {name} received {id}"));
        thread::sleep(WORK);
        let body = format!("{name} {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes())?;
        if sends_copies && count.fetch_add(1, Ordering::SeqCst) % ONE_IN == 0 {
            thread::sleep(LATE);
            stream.set_nonblocking(true)?;
            let waits = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            stream.set_nonblocking(false)?;
            if !waits && kept.is_empty() {
                copies.fetch_add(1, Ordering::SeqCst);
                record.add(format_args!("endpoint {name} sends its answer to {id} a second time"));
                stream.write_all(answer.as_bytes())?;
            }
        }
    }
    Ok(())
}

/// A proxy that delays each piece of both directions by a time of its own, in order.
fn start_link(target: SocketAddr, link: (u64, u64)) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(loopback(0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let random = Arc::new(Mutex::new(0x2545_F491_4F6C_DD1D_u64 ^ u64::from(address.port())));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let both = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
            for pair in both {
                let (Ok(from), Ok(to)) = pair else { continue };
                delay(from, to, link, random.clone());
            }
        }
    });
    Ok(address)
}

fn delay(mut from: TcpStream, mut to: TcpStream, link: (u64, u64), random: Arc<Mutex<u64>>) {
    let _ = to.set_nodelay(true);
    let (sender, pieces) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (at, piece) in pieces {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
    thread::spawn(move || {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(n @ 1..) = from.read(&mut buffer) {
            let drawn = {
                let mut state = random.lock().unwrap();
                *state ^= *state << 13;
                *state ^= *state >> 7;
                *state ^= *state << 17;
                *state
            };
            let delay = Duration::from_micros(link.0 + drawn % (link.1 - link.0));
            if sender.send((Instant::now() + delay, buffer[..n].to_vec())).is_err() {
                return;
            }
        }
    });
}
