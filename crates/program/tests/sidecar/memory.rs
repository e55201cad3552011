//! Memory: hundreds of clients that make the process hold as much as they can. The limit is that of
//! the settings, which the two processes of an upgrade share.

use crate::harness::*;
use crate::program::Program;
use crate::retries::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const KIB: usize = 1 << 10;
const CLIENTS: usize = 1000;
/// How long the clients of a test go on.
const PRESSURE_TIME: Duration = Duration::from_secs(4);
/// A client that behaves well has its answer within this time: it is served, or refused.
const CALM_ANSWER_TIME: Duration = Duration::from_secs(3);

/// What a client does with its connection.
type Act = fn(&mut TcpStream, usize) -> std::io::Result<()>;

fn order(number: usize, headers: &str, length: usize) -> String {
    let headers = format!("{headers}X-Time-Left-Ms: 3000\n");
    let head =
        ORDER.replace("Content-Length: 5\n\npaper", &format!("{headers}Content-Length: {length}\n\n"));
    head.replace("c2", &format!("order{number}")).replace('\n', "\r\n")
}

fn trickle(stream: &mut TcpStream, piece: usize) -> std::io::Result<()> {
    for _ in 0..30 {
        thread::sleep(Duration::from_millis(100));
        stream.write_all(&vec![b'p'; piece])?;
    }
    Ok(())
}

fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    for _ in 0..30 {
        thread::sleep(Duration::from_millis(100));
        stream.read_exact(&mut [0; 512])?;
    }
    Ok(())
}

fn stop_in_the_body(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    stream.write_all((order(number, "", 64 * KIB) + &"p".repeat(40 * KIB)).as_bytes())?;
    thread::sleep(PRESSURE_TIME);
    Ok(())
}

fn send_long_head_and_stop(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    let headers: String = (0..90).map(|n| format!("X-Long-{n}: {}\n", "v".repeat(140))).collect();
    stream.write_all((order(number, &headers, 64 * KIB) + &"p".repeat(40 * KIB)).as_bytes())?;
    thread::sleep(PRESSURE_TIME);
    Ok(())
}

fn send_many_short_fields(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    let headers: String = (0..5000).map(|n| format!("X{n}:\n")).collect();
    stream.write_all(order(number, &headers, 5).as_bytes())?;
    thread::sleep(PRESSURE_TIME);
    Ok(())
}

fn write_slowly(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    stream.write_all((order(number, "", 64 * KIB) + &"p".repeat(30 * KIB)).as_bytes())?;
    trickle(stream, KIB)
}

fn write_a_long_body_slowly(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    stream.write_all((order(number, "", 1 << 20) + &"p".repeat(200 * KIB)).as_bytes())?;
    trickle(stream, 6 * KIB)
}

fn send_two_and_read_slowly(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    let body = "p".repeat(64 * KIB);
    let two = [number, number + CLIENTS].map(|number| order(number, "", 64 * KIB) + &body).concat();
    stream.write_all(two.as_bytes())?;
    read_slowly(stream)
}

fn read_an_answer_slowly(stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    let look = LOOK.replace("c1", &format!("look{number}")).replace("/look/7", "/look/long");
    stream.write_all(look.replace('\n', "\r\n").as_bytes())?;
    read_slowly(stream)
}

/// Serves each request: with 1 MiB if its path says so, else with 64 KiB.
fn serve(endpoint: ScriptedServer) {
    thread::spawn(move || {
        loop {
            let mut stream = endpoint.accept_stream_without_limit();
            thread::spawn(move || -> std::io::Result<()> {
                loop {
                    let head = read_and_discard(&mut stream)?;
                    let length = if head.contains("/look/long") { 1 << 20 } else { 64 * KIB };
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    stream.write_all((answer + &"y".repeat(length)).as_bytes())?;
                }
            });
        }
    });
}

/// Reads a request and returns its head.
fn read_and_discard(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.to_lowercase().split("content-length: ").nth(1).map_or(0, |rest| {
        rest.split("\r\n").next().and_then(|length| length.parse().ok()).expect("a length")
    });
    std::io::copy(&mut stream.take(length), &mut std::io::sink())?;
    Ok(head)
}

/// Asks again and again, and returns the longest time for an answer. Each is served or refused.
fn ask_calmly(address: SocketAddr, running: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    for number in 0.. {
        if !running.load(Ordering::Relaxed) {
            break;
        }
        let asked = Instant::now();
        let mut client = TcpStream::connect(address).expect("it listens");
        send(&mut client, &LOOK.replace("c1", &format!("calm{number}")));
        let answer = read_message(&mut client);
        assert!(["200", "503"].contains(&status_code(&answer)), "{answer:.60}");
        longest = longest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    longest
}

/// Plays a thousand clients of one kind against a process with this limit.
fn play(act: Act, limit_mb: usize) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let config = config_with_endpoints(discovery.address, &[endpoint.address]);
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{limit_mb}"));
    let config = config.replace("\"ask_within_ns\":400000000", "\"ask_within_ns\":60000000000");
    let program = Program::start(&config, 1024);
    serve(endpoint);
    let (running, address) = (Arc::new(AtomicBool::new(true)), program.address);
    let calm = thread::spawn({
        let running = running.clone();
        move || ask_calmly(address, &running)
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::spawn(move || {
                // Some are refused, and some closed to make room.
                let mut stream = TcpStream::connect(address)?;
                SockRef::from(&stream).set_recv_buffer_size(8 * KIB)?;
                stream.set_read_timeout(Some(PRESSURE_TIME))?;
                stream.set_write_timeout(Some(PRESSURE_TIME))?;
                act(&mut stream, number)
            })
        })
        .collect();
    for client in clients {
        let _ = client.join().expect("it does not panic");
    }
    running.store(false, Ordering::Relaxed);
    let longest = calm.join().expect("every calm request is answered");
    let peak_mb = program.peak_kb() >> 10;
    assert!(peak_mb < limit_mb / 2, "{peak_mb} MB of {limit_mb} MB for two processes");
    assert!(longest < CALM_ANSWER_TIME, "{longest:?}");
}

/// Guards against memory that grows with the number of clients that stop in a request.
#[test]
fn memory_is_bounded_where_requests_stop() {
    [stop_in_the_body as Act, send_long_head_and_stop, send_many_short_fields]
        .into_iter()
        .for_each(|act| play(act, 64));
}

/// Guards against memory that grows with the number of clients that write slowly.
#[test]
fn memory_is_bounded_where_clients_write_slowly() {
    [write_slowly as Act, write_a_long_body_slowly].into_iter().for_each(|act| play(act, 64));
}

/// Guards against memory that grows with the number of clients that read their answers slowly, also
/// with another request behind each.
#[test]
fn memory_is_bounded_where_clients_read_slowly() {
    [send_two_and_read_slowly as Act, read_an_answer_slowly].into_iter().for_each(|act| play(act, 64));
}

/// Guards against a bound that does not follow the limit.
#[test]
fn memory_is_bounded_at_larger_limits() {
    [96, 192].into_iter().for_each(|limit_mb| play(send_two_and_read_slowly, limit_mb));
}

/// Guards against connections that leave no memory for messages at the least limit of the pages, or
/// exceed it by themselves.
#[test]
fn memory_is_bounded_at_the_least_limit() {
    [stop_in_the_body as Act, send_two_and_read_slowly].into_iter().for_each(|act| play(act, 32));
}

/// Guards against an answer that fills the system's buffers where its client does not read: a few
/// hundred such answers would take more than the process may have.
#[test]
fn unread_answer_holds_little_in_the_kernel() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let program = Program::start(&config_with_endpoints(discovery.address, &[endpoint.address]), 1024);
    let client = program.client(LOOK);
    SockRef::from(&client).set_recv_buffer_size(8 * KIB).expect("a socket");
    let mut connection = endpoint.accept();
    SockRef::from(&connection.stream).set_send_buffer_size(64 * KIB).expect("a socket");
    connection.stream.set_write_timeout(Some(Duration::from_secs(1))).expect("a socket");
    let mut written = 0;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 16 << 20);
    connection.stream.write_all(head.as_bytes()).expect("it reads");
    while written < 16 << 20 {
        match connection.stream.write(&[b'y'; 4 * KIB]) {
            Ok(n) => written += n,
            Err(_) => break,
        }
    }
    // The buffers of both ends of the test hold a part of it.
    assert!(written < 600 * KIB, "{written} bytes");
}
