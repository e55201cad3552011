//! A planned restart while a long answer is on its way. SIGKILL comes later than the earliest time
//! that the pages allow.

use crate::kit::*;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Length of the answer, and what the endpoint writes of it every 50 ms: it takes 5 s.
const LENGTH: usize = 4 << 20;
const PIECE: usize = LENGTH / 100;
const PIECE_TIME: Duration = ms(50);
/// SIGTERM comes this long after the request.
const STOPPED_AFTER: Duration = ms(500);
/// SIGKILL follows SIGTERM no sooner than 3 s + 0.7 s; here it follows after this time.
const KILLED_AFTER: Duration = ms(8000);
const DOWNLOADS: usize = 3;

pub fn run(record: &Arc<Record>) -> Outcome {
    let trouble = has_trouble();
    let site = ktm_gallery();
    let arrivals = Arrivals::default();
    let endpoint = |name| Endpoint::start_long(name, record, &arrivals, LENGTH, PIECE, PIECE_TIME);
    let endpoints = [endpoint("s-a")?, endpoint("s-b")?, endpoint("s-c")?];
    let entries = endpoints.iter().map(|endpoint| Entry::active(endpoint, site.zones[0])).collect();
    let discovery = Discovery::start(record, entries)?;
    let folder = Folder::new("stopped-download")?;
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
    // One sidecar after another is restarted: the other one of the two runs on.
    let other_folder = Folder::new("stopped-download-other")?;
    let other_start =
        Start { folder: &other_folder, listen: free_address()?, console: free_address()?, ..start };
    let mut other = Sidecar::start("other sidecar", &other_start, record)?;
    other.wait_until_ready()?;
    thread::sleep(ms(1000));
    let (class, tenant, time_left) = (site.classes[0].name, site.tenant, site.classes[0].give_up_ms);
    let (sender, results) = channel();
    for _ in 0..DOWNLOADS {
        let (sender, record, target) = (sender.clone(), record.clone(), start.listen);
        thread::spawn(move || {
            let id = new_id();
            let begun = Instant::now();
            record.add(format_args!("client sends {id}"));
            let result = download(&safe_request(class, tenant, &id, time_left), target);
            let took = begun.elapsed().as_secs_f64();
            record.add(format_args!("client of {id}: {result:?} after {took:.3} s"));
            let _ = sender.send((result, Instant::now()));
        });
    }
    drop(sender);
    thread::sleep(STOPPED_AFTER);
    let stopped = Instant::now();
    if trouble {
        sidecar.signal("TERM")?;
    }
    let killed_at = stopped + KILLED_AFTER;
    let mut ended = None;
    while Instant::now() < killed_at {
        if ended.is_none() && sidecar.has_ended() {
            ended = Some(Instant::now());
            record.add("the sidecar has ended by itself");
        }
        thread::sleep(ms(10));
    }
    sidecar.kill();
    if other.has_ended() {
        return Err("the other sidecar has ended".to_owned());
    }
    let results: Vec<(Result<usize, Failure>, Instant)> = results.iter().collect();
    let is_cut = |result: &Result<usize, Failure>| matches!(result, Err(Failure::Cut { .. }));
    let cut = results.iter().filter(|(result, at)| is_cut(result) && *at < killed_at).count();
    if results.iter().any(|(result, _)| matches!(result, Err(Failure::NotBegun(_)))) {
        return Err("an answer has not begun".to_owned());
    }
    let line = format!(
        "{DOWNLOADS} long answers, {cut} cut off before SIGKILL, which came {:.1} s after SIGTERM",
        KILLED_AFTER.as_secs_f64()
    );
    record.say(line);
    Ok(cut > 0)
}

/// Why an answer is not whole.
#[derive(Debug)]
enum Failure {
    /// There is no answer with status 200.
    NotBegun(#[allow(dead_code)] String),
    /// It ended after so many bytes of its body.
    Cut {
        #[allow(dead_code)]
        received: usize,
    },
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::NotBegun(error.to_string())
    }
}

/// Reads a whole answer of known length. Returns the length of its body.
fn download(request: &str, target: std::net::SocketAddr) -> Result<usize, Failure> {
    let mut stream = TcpStream::connect(target)?;
    stream.set_read_timeout(Some(ms(20_000)))?;
    stream.write_all(request.as_bytes())?;
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(Failure::NotBegun("no answer".to_owned())),
            n => bytes.extend_from_slice(&buffer[..n]),
        }
    };
    if !bytes.starts_with(b"HTTP/1.1 200") {
        return Err(Failure::NotBegun(String::from_utf8_lossy(&bytes[..head_end]).into_owned()));
    }
    let mut received = bytes.len() - head_end;
    while received < LENGTH {
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => received += n,
            _ => return Err(Failure::Cut { received }),
        }
    }
    Ok(received)
}
