//! Answers that are long, or take long: they pass through at the pace of both sides, in every
//! framing, and the client can tell where one breaks.

use crate::harness::*;
use crate::program::Program;
use crate::retries::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// How an endpoint delimits its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// Writes an answer of `length` bytes in pieces, over `time`, and stops after `stop_after` bytes.
fn write_answer(
    stream: &mut TcpStream,
    framing: Framing,
    length: usize,
    time: Duration,
    stop_after: usize,
) {
    let head = match framing {
        Framing::Length => format!("Content-Length: {length}\r\n"),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Close => "Connection: close\r\n".to_owned(),
    };
    let mut written = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes());
    let (pieces, start) = (30, Instant::now());
    let (piece, mut sent) = (length.div_ceil(pieces), 0);
    for number in 1..=pieces {
        let due = start + time.mul_f64(number as f64 / pieces as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let size = piece.min(length - sent).min(stop_after - sent);
        let data = "x".repeat(size);
        let bytes = match framing {
            Framing::Chunked if size > 0 => format!("{size:x}\r\n{data}\r\n"),
            _ => data,
        };
        written = written.and_then(|()| stream.write_all(bytes.as_bytes()));
        sent += size;
        if sent == stop_after {
            break;
        }
    }
    if framing == Framing::Chunked && sent == length {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// An answer as a client has read it.
#[derive(Debug, PartialEq)]
struct ReadAnswer {
    status: u16,
    /// Number of bytes of the body.
    length: usize,
    /// Whether the framing says that the body is whole.
    whole: bool,
}

/// Reads one answer; `pause` is called before each read.
fn read_answer(stream: &mut TcpStream, mut pause: impl FnMut(usize)) -> ReadAnswer {
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket");
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * KIB]);
    loop {
        if let Some(answer) = parse_answer(&bytes, false) {
            return answer;
        }
        pause(bytes.len());
        match stream.read(&mut piece) {
            Ok(0) => return parse_answer(&bytes, true).expect("a head"),
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
            Err(_) => {
                let answer = parse_answer(&bytes, true).expect("a head");
                return ReadAnswer { whole: false, ..answer };
            }
        }
    }
}

/// The answer, if it is complete or the stream has `ended`.
fn parse_answer(bytes: &[u8], ended: bool) -> Option<ReadAnswer> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = response.parse(bytes).expect("valid HTTP") else { return None };
    let status = response.code.expect("a status");
    let value = |name: &str| {
        let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.map(|h| String::from_utf8_lossy(h.value).into_owned())
    };
    let body = &bytes[head..];
    let (length, whole) = match value("content-length") {
        Some(length) => (body.len(), body.len() == length.parse::<usize>().expect("a length")),
        None if value("transfer-encoding").is_some() => chunked_length(body),
        None => (body.len(), ended),
    };
    (whole || ended).then_some(ReadAnswer { status, length, whole })
}

fn chunked_length(mut body: &[u8]) -> (usize, bool) {
    let mut length = 0;
    loop {
        match httparse::parse_chunk_size(body).expect("a chunk") {
            httparse::Status::Complete((_, 0)) => return (length, true),
            httparse::Status::Complete((start, size)) if body.len() >= start + size as usize + 2 => {
                length += size as usize;
                body = &body[start + size as usize + 2..];
            }
            _ => return (length, false),
        }
    }
}

fn whole(length: usize) -> ReadAnswer {
    ReadAnswer { status: 200, length, whole: true }
}

/// A sidecar with one endpoint whose class `order` is unsafe to repeat, and the endpoint.
fn start() -> (TestSidecar, ScriptedServer, ScriptedServer) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &[endpoint.address]));
    (sidecar, endpoint, discovery)
}

/// Guards against cutting off an answer that takes more than half a second, of any length, in any
/// framing, for a class that may be repeated and for one that must not.
#[test]
fn answer_in_slow_pieces_arrives_whole() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for length in [60 * KIB, 237 * KIB] {
            for request in [LOOK.to_owned(), order_request("c2", 5)] {
                cases.push(thread::spawn(move || {
                    let (sidecar, endpoint, _discovery) = start();
                    let mut client = sidecar.client();
                    send(&mut client, &request);
                    let mut connection = endpoint.accept();
                    let time = Duration::from_millis(1500);
                    let writes = thread::spawn(move || {
                        write_answer(&mut connection.stream, framing, length, time, length)
                    });
                    let answer = read_answer(&mut client, |_| ());
                    assert_eq!(answer, whole(length), "{framing:?} {length}");
                    writes.join().expect("it writes");
                    sidecar.stop_and_join();
                }));
            }
        }
    }
    cases.into_iter().for_each(|case| case.join().expect("the case passes"));
}

/// Guards against cutting off at the request's deadline what the endpoint still gives: of an answer
/// over 64 KiB the first bytes are timed.
#[test]
fn long_answer_goes_on_beyond_the_deadline() {
    let cases = FRAMINGS.map(|framing| {
        thread::spawn(move || {
            let (sidecar, endpoint, _discovery) = start();
            let mut client = sidecar.client();
            send(
                &mut client,
                &order_request("c2", 5).replace("X-Account", "X-Time-Left-Ms: 1500\nX-Account"),
            );
            let begun = Instant::now();
            let mut connection = endpoint.accept();
            let time = Duration::from_secs(4);
            thread::spawn(move || {
                write_answer(&mut connection.stream, framing, 237 * KIB, time, 237 * KIB)
            });
            let mut first_byte = None;
            let answer = read_answer(&mut client, |bytes| {
                if bytes > 0 {
                    first_byte.get_or_insert(begun.elapsed());
                }
            });
            assert_eq!(answer, whole(237 * KIB), "{framing:?}");
            assert!(first_byte.is_some_and(|after| after < Duration::from_millis(1500)), "{first_byte:?}");
            sidecar.stop_and_join();
        })
    });
    cases.into_iter().for_each(|case| case.join().expect("the case passes"));
}

/// Guards against holding a long answer whole, and against reading it faster than its client does:
/// while the client does not read, the endpoint has to wait.
#[test]
fn long_answer_is_passed_on_at_the_pace_of_its_reader() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let config = config_with_unsafe_orders(discovery.address, &[endpoint.address]);
    let program = Program::start(&config, 1024);
    let mut client = program.client(&order_request("c2", 5));
    SockRef::from(&client).set_recv_buffer_size(256 * KIB).expect("a socket");
    let mut connection = endpoint.accept();
    SockRef::from(&connection.stream).set_send_buffer_size(64 * KIB).expect("a socket");
    let writes = thread::spawn(move || {
        let start = Instant::now();
        write_answer(&mut connection.stream, Framing::Length, 16 * MIB, Duration::ZERO, 16 * MIB);
        start.elapsed()
    });
    let mut paused = false;
    let answer = read_answer(&mut client, |bytes| {
        if bytes > 0 && !std::mem::replace(&mut paused, true) {
            thread::sleep(Duration::from_secs(1));
        }
    });
    assert_eq!(answer, whole(16 * MIB));
    assert!(writes.join().expect("it writes") > Duration::from_millis(900), "it had to wait");
    assert!(program.peak_kb() < 24 << 10, "{} kB", program.peak_kb());
}

/// Guards against cutting off a client that reads slowly, but goes on reading.
#[test]
fn slow_reader_of_a_long_answer_gets_all_of_it() {
    let (sidecar, endpoint, _discovery) = start();
    let mut client = sidecar.client();
    SockRef::from(&client).set_recv_buffer_size(256 * KIB).expect("a socket");
    send(&mut client, &order_request("c2", 5));
    let mut connection = endpoint.accept();
    thread::spawn(move || {
        write_answer(&mut connection.stream, Framing::Chunked, 12 * MIB, Duration::ZERO, 12 * MIB)
    });
    let start = Instant::now();
    // For 7 s in all, at first: no read of it stalls for long.
    let answer = read_answer(&mut client, |_| {
        if start.elapsed() < Duration::from_secs(7) {
            thread::sleep(Duration::from_millis(200));
        }
    });
    assert_eq!(answer, whole(12 * MIB));
    sidecar.stop_and_join();
}

/// Guards against an answer that breaks and looks whole to its client, and against another attempt
/// or another answer behind its first bytes.
#[test]
fn client_can_tell_that_an_answer_broke() {
    for framing in FRAMINGS {
        let (sidecar, endpoint, _discovery) = start();
        let mut client = sidecar.client();
        send(&mut client, LOOK);
        let mut connection = endpoint.accept();
        let writes = thread::spawn(move || {
            write_answer(&mut connection.stream, framing, 237 * KIB, Duration::from_millis(300), 150 * KIB);
            thread::sleep(Duration::from_millis(100));
            reset_connection(connection.stream);
        });
        let answer = read_answer(&mut client, |_| ());
        assert!(
            answer.status == 200 && !answer.whole && answer.length <= 150 * KIB,
            "{framing:?} {answer:?}"
        );
        writes.join().expect("it writes");
        sidecar.stop_and_join();
    }
}

/// Guards against an answer that looks whole to a client of HTTP/1.0, which knows its end only by
/// the end of the connection: a broken one ends by a reset.
#[test]
fn client_without_chunks_can_tell_that_an_answer_broke() {
    for breaks in [false, true] {
        let (sidecar, endpoint, _discovery) = start();
        let mut client = sidecar.client();
        send(&mut client, &LOOK.replace("HTTP/1.1", "HTTP/1.0"));
        let mut connection = endpoint.accept();
        let writes = thread::spawn(move || {
            let length = 237 * KIB;
            let sent = if breaks { 150 * KIB } else { length };
            write_answer(
                &mut connection.stream,
                Framing::Chunked,
                length,
                Duration::from_millis(300),
                sent,
            );
            if breaks {
                reset_connection(connection.stream);
            }
        });
        let mut bytes = Vec::new();
        let read = client.read_to_end(&mut bytes);
        assert!(bytes.starts_with(b"HTTP/1.1 200") && bytes.len() > 100 * KIB, "{} bytes", bytes.len());
        assert_eq!(read.is_err(), breaks, "{} bytes: {read:?}", bytes.len());
        writes.join().expect("it writes");
        sidecar.stop_and_join();
    }
}

/// Guards against reading on for a client that has left in the middle of its answer.
#[test]
fn endpoint_is_let_go_when_the_reader_leaves() {
    let (sidecar, endpoint, _discovery) = start();
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    let writes = thread::spawn(move || {
        let start = Instant::now();
        let time = Duration::from_secs(8);
        write_answer(&mut connection.stream, Framing::Length, 2 * MIB, time, 200 * KIB);
        assert_eq!(connection.read_next(), "", "its connection is closed");
        start.elapsed()
    });
    client.read_exact(&mut [0; 1000]).expect("an answer");
    drop(client);
    assert!(writes.join().expect("it writes") < Duration::from_secs(4), "when the client leaves");
    sidecar.stop_and_join();
}
