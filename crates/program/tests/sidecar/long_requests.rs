//! Requests that are longer than is held: they pass through to one attempt, and have not run until
//! its last byte is written.

use crate::harness::*;
use crate::program::Program;
use crate::retries::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// A request as an endpoint has read it.
#[derive(Debug, PartialEq)]
struct ReadRequest {
    /// Number of bytes of the body.
    length: usize,
    whole: bool,
}

/// Reads one request, with a pause before each read of up to 64 KiB, and answers it if it is whole.
fn read_request(stream: &mut TcpStream, mut pause: impl FnMut()) -> ReadRequest {
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * KIB]);
    loop {
        if let Some(request) = parse_request(&bytes).filter(|request| request.whole) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            return request;
        }
        pause();
        match stream.read(&mut piece) {
            Ok(n @ 1..) => bytes.extend_from_slice(&piece[..n]),
            _ => return parse_request(&bytes).unwrap_or(ReadRequest { length: 0, whole: false }),
        }
    }
}

fn parse_request(bytes: &[u8]) -> Option<ReadRequest> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let body = &bytes[head..];
    match text.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next()) {
        Some(length) => Some(ReadRequest { length: body.len(), whole: length.parse() == Ok(body.len()) }),
        None if text.contains("transfer-encoding") => Some(chunked_body(body)),
        None => Some(ReadRequest { length: body.len(), whole: body.is_empty() }),
    }
}

fn chunked_body(mut body: &[u8]) -> ReadRequest {
    let mut length = 0;
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(body) {
        let end = start + size as usize + 2;
        if body.len() < end {
            break;
        }
        if size == 0 {
            return ReadRequest { length, whole: true };
        }
        length += size as usize;
        body = &body[end..];
    }
    ReadRequest { length, whole: false }
}

/// The head of an order whose client waits this long for its answer.
fn order_head(time_left: Duration, framing: &str) -> String {
    let head = order_request("c2", 0).replace("Content-Length: 0\n\n", "");
    format!("{head}X-Time-Left-Ms: {}\n{framing}\n\n", time_left.as_millis())
}

/// Writes a body in pieces over a time, from a thread of its own.
fn write_body(client: &TcpStream, length: usize, time: Duration, chunked: bool) -> JoinHandle<()> {
    let mut client = client.try_clone().expect("a descriptor");
    thread::spawn(move || {
        let (piece, start) = (8 * KIB, Instant::now());
        for sent in (0..length).step_by(piece) {
            let size = piece.min(length - sent);
            let data = "p".repeat(size);
            let bytes = if chunked { format!("{size:x}\r\n{data}\r\n") } else { data };
            if client.write_all(bytes.as_bytes()).is_err() {
                return;
            }
            let due = start + time.mul_f64((sent + size) as f64 / length as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        if chunked {
            let _ = client.write_all(b"0\r\n\r\n");
        }
    })
}

/// A sidecar whose class `order` is unsafe to repeat, with one endpoint.
fn start() -> (TestSidecar, ScriptedServer, ScriptedServer) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &[endpoint.address]));
    (sidecar, endpoint, discovery)
}

const TIME_LEFT: Duration = Duration::from_millis(1500);

/// Guards against refusing a body over 64 KiB, in either framing, and against counting the time of a
/// request from its first byte: this one takes longer to send than its client waits.
#[test]
fn long_request_passes_while_its_client_sends() {
    let cases = [(MIB, false), (MIB, true), (100 * KIB, true)].map(|(length, chunked)| {
        thread::spawn(move || {
            let (sidecar, endpoint, _discovery) = start();
            let mut client = sidecar.client();
            let length_header = format!("Content-Length: {length}");
            let framing = if chunked { "Transfer-Encoding: chunked" } else { length_header.as_str() };
            send(&mut client, &order_head(TIME_LEFT, framing));
            let writes = write_body(&client, length, Duration::from_secs(3), chunked);
            let mut connection = endpoint.accept_stream();
            assert_eq!(read_request(&mut connection, || ()), ReadRequest { length, whole: true });
            assert!(read_message(&mut client).ends_with("done"), "{length} {chunked}");
            writes.join().expect("it is read");
            // The connection goes on with the next request.
            send(&mut client, LOOK);
            assert!(read_request(&mut connection, || ()).whole);
            assert!(read_message(&mut client).ends_with("done"));
            sidecar.stop_and_join();
        })
    });
    cases.into_iter().for_each(|case| case.join().expect("the case passes"));
}

/// Guards against holding a long body whole.
#[test]
fn longest_body_passes_in_little_memory() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let config = config_with_unsafe_orders(discovery.address, &[endpoint.address]);
    let program = Program::start(&config, 1024);
    let mut client = program.client(&order_head(TIME_LEFT, &format!("Content-Length: {}", 32 * MIB)));
    let writes = write_body(&client, 32 * MIB, Duration::ZERO, false);
    let mut connection = endpoint.accept_stream();
    assert!(read_request(&mut connection, || ()).whole);
    assert!(read_message(&mut client).ends_with("done"));
    writes.join().expect("it is read");
    assert!(program.peak_kb() < 24 << 10, "{} kB", program.peak_kb());
}

/// Guards against a final answer that comes seconds after its time, where the endpoint reads a long
/// request slowly; and against running it.
#[test]
fn request_that_its_endpoint_reads_slowly_is_answered_in_time() {
    let (sidecar, endpoint, _discovery) = start();
    let mut client = sidecar.client();
    SockRef::from(&client).set_send_buffer_size(MIB).expect("a socket");
    send(&mut client, &order_head(TIME_LEFT, &format!("Content-Length: {}", 700 * KIB)));
    client.write_all(&vec![b'p'; 700 * KIB]).expect("the system holds it");
    let sent = Instant::now();
    let mut connection = endpoint.accept_stream();
    SockRef::from(&connection).set_recv_buffer_size(8 * KIB).expect("a socket");
    let reads = thread::spawn(move || {
        let mut piece = [0; 4 * KIB];
        let mut length = 0;
        while let Ok(n @ 1..) = connection.read(&mut piece) {
            length += n;
            thread::sleep(Duration::from_millis(100));
        }
        length
    });
    let answer = read_message(&mut client);
    assert!(sent.elapsed() < TIME_LEFT + Duration::from_millis(500), "{:?}", sent.elapsed());
    assert_eq!(status_code(&answer), "503", "it never ran: {answer}");
    assert!(reads.join().expect("it reads") < 700 * KIB, "its last byte is not written");
    sidecar.stop_and_join();
}

/// Guards against a request that is said to have failed where it surely never ran, and against
/// sending what is left of it to another endpoint.
#[test]
fn long_request_that_breaks_on_its_way_is_refused() {
    let (sidecar, endpoint, _discovery) = start();
    let mut client = sidecar.client();
    send(&mut client, &order_head(Duration::from_secs(3), &format!("Content-Length: {}", 900 * KIB)));
    let writes = write_body(&client, 900 * KIB, Duration::from_millis(1500), false);
    let mut connection = endpoint.accept_stream();
    connection.read_exact(&mut [0; 200 << 10]).expect("a part of it");
    reset_connection(connection);
    let answer = read_message(&mut client);
    assert_eq!(status_code(&answer), "503", "{answer}");
    writes.join().expect("it ends");
    // Nothing of it goes anywhere else: the next attempt is that of the next request.
    let mut next = sidecar.client();
    send(&mut next, LOOK);
    let mut connection = endpoint.accept();
    assert!(connection.text.starts_with("GET"), "{}", connection.text);
    connection.reply("200 OK", "", "next");
    assert!(read_message(&mut next).ends_with("next"));
    sidecar.stop_and_join();
}

/// Guards against waiting for the rest of a long request whose client has stopped or left, and
/// against running what there is of it.
#[test]
fn half_of_a_long_request_is_given_up() {
    for leaves in [false, true] {
        let (sidecar, endpoint, _discovery) = start();
        let mut client = sidecar.client();
        let framing = format!("Content-Length: {}", 900 * KIB);
        send(&mut client, &order_head(Duration::from_secs(3), &framing));
        client.write_all(&vec![b'p'; 300 * KIB]).expect("it reads");
        let stopped = Instant::now();
        let mut connection = endpoint.accept_stream();
        let reads = thread::spawn(move || read_request(&mut connection, || ()));
        if leaves {
            drop(client);
        } else {
            assert_eq!(status_code(&read_message(&mut client)), "408");
        }
        assert!(!reads.join().expect("its connection is closed").whole);
        assert!(stopped.elapsed() < Duration::from_secs(3), "{:?}", stopped.elapsed());
        sidecar.stop_and_join();
    }
}
