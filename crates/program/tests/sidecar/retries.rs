//! Retries of a request: after which outcomes, until when, at which endpoints, and never two
//! attempts at once.

use crate::harness::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::thread;
use std::time::Duration;

/// Longer than any wait in these tests: it elapses only in a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Receives the first request of each new connection, with the number of the listener.
pub fn receive_requests(listeners: Vec<TcpListener>) -> Receiver<(usize, AcceptedConnection)> {
    let (sender, receiver) = channel();
    for (i, listener) in listeners.into_iter().enumerate() {
        let sender = sender.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || {
                    let text = read_message(&mut stream);
                    if !text.is_empty() {
                        let _ = sender.send((i, AcceptedConnection { stream, text }));
                    }
                });
            }
        });
    }
    receiver
}

/// Starts so many endpoints and receives their requests. Of two, one is never in backoff.
pub fn start_endpoints(count: usize) -> (Vec<SocketAddr>, Receiver<(usize, AcceptedConnection)>) {
    let (listeners, addresses): (Vec<_>, Vec<_>) = (0..count).map(|_| listen()).unzip();
    (addresses, receive_requests(listeners))
}

pub fn next_request(requests: &Receiver<(usize, AcceptedConnection)>) -> (usize, AcceptedConnection) {
    requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives")
}

/// A listener with room for one connection that is not accepted yet: further ones are established
/// once that one is accepted, when they retransmit their SYN after a second. Its connections have
/// small receive buffers.
pub fn constrained_listener() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small window");
    socket.set_tcp_mss(536).expect("small segments");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Ends a connection by a reset.
pub fn reset_connection(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
}

/// Whether the other side has closed this connection by now.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    !matches!(stream.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// The configuration of `config_with_endpoints`, with the class `order` unsafe to repeat.
pub fn config_with_unsafe_orders(discovery: SocketAddr, endpoints: &[SocketAddr]) -> String {
    config_with_endpoints(discovery, endpoints).replace("idempotency_key", "non_idempotent")
}

pub fn config_with_endpoints(discovery: SocketAddr, endpoints: &[SocketAddr]) -> String {
    let endpoints = endpoints.iter().enumerate();
    let lines: Vec<_> = endpoints.map(|(i, a)| instance_json(&format!("t{i}"), *a, "active")).collect();
    with_long_latency_target(&config_json(discovery, &list_json(1, true, &lines), 1024))
}

/// With a latency target that leaves time for a retry on a busy machine too.
fn with_long_latency_target(config: &str) -> String {
    config.replace(r#""aim_ns":1000000000"#, r#""aim_ns":2500000000"#)
}

/// The next connection to a listener that the test answers for.
pub fn accept_connection(listener: &TcpListener) -> AcceptedConnection {
    let (listener, (sender, receiver)) = (listener.try_clone().expect("a descriptor"), channel());
    thread::spawn(move || sender.send(listener.accept()));
    let (stream, _) = receiver.recv_timeout(TEST_TIMEOUT).expect("the sidecar connects").expect("a socket");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
    stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("a socket");
    AcceptedConnection { stream, text: String::new() }
}

/// An order without an idempotency key and with a body of so many bytes.
pub fn order_request(id: &str, length: usize) -> String {
    let head = ORDER.replace("Idempotency-Key: k2\n", "").replace("c2", id);
    let head = head.replace("Content-Length: 5\n\npaper", "");
    format!("{head}Content-Length: {length}\n\n{}", "p".repeat(length))
}

fn look_request(id: &str) -> String {
    LOOK.replace("c1", id)
}

/// The status of an answer.
pub fn status_code(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// Guards against giving up an unsafe request for which another attempt is harmless.
#[test]
fn unsafe_request_is_retried_where_it_surely_never_ran() {
    let discovery = ScriptedServer::new();
    for rejection in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let (addresses, requests) = start_endpoints(2);
        let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &addresses));
        let mut client = sidecar.client();
        send(&mut client, &order_request("c2", 5));
        let (_, mut first) = next_request(&requests);
        first.reply(rejection, "X-Unprocessed: 1\r\nConnection: close\r\n", "");
        let (_, mut second) = next_request(&requests);
        assert!(second.text.ends_with("\n\nppppp"));
        second.reply("200 OK", "", "done");
        assert!(read_message(&mut client).ends_with("done"));
        sidecar.stop_and_join();
    }
}

/// Guards against giving up or refusing an unsafe request because an endpoint is not there, or no
/// connection to it is established.
#[test]
fn unsafe_request_is_retried_elsewhere_after_connect_failure() {
    let discovery = ScriptedServer::new();
    let (dead, refuses) = listen();
    drop(dead);
    let (full, silent) = constrained_listener();
    let _filler = TcpStream::connect(silent).expect("the last that fits");
    for gone in [refuses, silent] {
        let (listener, address) = listen();
        let requests = receive_requests(vec![listener]);
        let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &[gone, address]));
        // The second request goes to the other endpoint than the first, by least work: one of them
        // is sent to the dead one.
        let mut clients = [sidecar.client(), sidecar.client()];
        send(&mut clients[0], &order_request("c0", 5));
        let (_, mut one) = next_request(&requests);
        send(&mut clients[1], &order_request("c1", 5));
        let (_, mut other) = next_request(&requests);
        one.reply("200 OK", "", "c0");
        other.reply("200 OK", "", "c1");
        for (client, id) in clients.iter_mut().zip(["c0", "c1"]) {
            assert!(read_message(client).ends_with(id));
        }
        sidecar.stop_and_join();
    }
    drop(full);
}

/// Guards against a second execution of an unsafe request, a failure reported as a refusal, which
/// would invite one, and the rest of a failed attempt's answer given to the next request.
#[test]
fn unsafe_request_that_may_have_run_fails_without_retry() {
    let short = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
    let open = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab";
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    let busy = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    // What the endpoint writes, and what it does then: it closes or resets the connection, or
    // waits.
    let endings = [
        ("", "reset"),
        ("", "end"),
        ("", "wait"),
        ("HTTP/1.1 500 Oh\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "wait"),
        (busy, "wait"),
        (busy, "reset"),
        ("HTTP/1.1 100 Continue\r\n\r\n", "end"),
        ("HTTP/1.1 100 Continue\r\n\r\n", "wait"),
        ("HTTP/1.1 20", "reset"),
        ("noise", "wait"),
        (short, "reset"),
        (short, "end"),
        (short, "wait"),
        (open, "reset"),
        (open, "wait"),
        (chunks, "reset"),
        (chunks, "end"),
        (chunks, "wait"),
    ];
    let cases = endings.map(|(text, then)| {
        thread::spawn(move || {
            let discovery = ScriptedServer::new();
            let (addresses, requests) = start_endpoints(2);
            let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &addresses));
            let mut client = sidecar.client();
            send(&mut client, &order_request("c2", 5));
            let (_, mut first) = next_request(&requests);
            first.stream.write_all(text.as_bytes()).expect("it reads");
            let kept = match then {
                "wait" => Some(first),
                "end" => {
                    drop(first);
                    None
                }
                _ => {
                    reset_connection(first.stream);
                    None
                }
            };
            let answer = read_message(&mut client);
            assert!(!matches!(status_code(&answer), "200" | "429" | "503"), "{text:?}, {then}: {answer}");
            assert!(
                matches!(requests.try_recv(), Err(TryRecvError::Empty)),
                "{text:?}, {then}: sent again"
            );
            drop(kept);
            // The next request is sent next, and gets its own answer.
            send(&mut client, &look_request("c3"));
            let (_, mut next) = next_request(&requests);
            assert!(next.text.starts_with("GET"), "{text:?}, {then}: {}", next.text);
            next.reply("200 OK", "", "own");
            assert!(read_message(&mut client).ends_with("own"), "{text:?}, {then}");
            sidecar.stop_and_join();
        })
    });
    for case in cases {
        case.join().expect("the case passes");
    }
}

/// Guards against passing on as complete an answer without a length that was cut off by a reset,
/// and against taking one for a failure that ended orderly.
#[test]
fn answer_without_length_is_complete_only_after_orderly_close() {
    let discovery = ScriptedServer::new();
    let (addresses, requests) = start_endpoints(2);
    let sidecar = TestSidecar::start(&config_with_endpoints(discovery.address, &addresses));
    for body in ["ab".to_owned(), "b".repeat(64 << 10)] {
        let mut client = sidecar.client();
        send(&mut client, LOOK);
        let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
        let (_, mut first) = next_request(&requests);
        first.stream.write_all(answer.as_bytes()).expect("it reads");
        reset_connection(first.stream);
        let (_, mut second) = next_request(&requests);
        second.stream.write_all(answer.as_bytes()).expect("it reads");
        drop(second);
        let answer = read_message(&mut client);
        assert!(answer.ends_with(&format!("\n\n{body}")), "{answer:.60}");
    }
    sidecar.stop_and_join();
}

/// Guards against two simultaneous attempts: the first is closed before the first byte of the next
/// one.
#[test]
fn abandoned_attempt_is_closed_before_the_next_begins() {
    let discovery = ScriptedServer::new();
    for invalid in ["noise", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 200 OK\r\nX-"] {
        for kept in [false, true] {
            let (addresses, requests) = start_endpoints(1);
            let sidecar = TestSidecar::start(&config_with_endpoints(discovery.address, &addresses));
            let mut client = sidecar.client();
            send(&mut client, &look_request("c1"));
            let (_, mut first) = next_request(&requests);
            if kept {
                first.reply("200 OK", "", "one");
                assert!(read_message(&mut client).ends_with("one"));
                send(&mut client, &look_request("c2"));
                assert!(first.read_next().starts_with("GET"));
            }
            first.stream.write_all(invalid.as_bytes()).expect("it reads");
            let (_, mut second) = next_request(&requests);
            assert!(is_closed(&mut first.stream), "{invalid}");
            second.reply("200 OK", "", "good");
            let answer = read_message(&mut client);
            assert!(answer.ends_with("good"), "{invalid} {kept} {answer}");
            sidecar.stop_and_join();
        }
    }
}

/// Guards against retrying a keyed request after its window, which counts from the first attempt
/// that may have run: the endpoint may have forgotten the key by then.
#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let discovery = ScriptedServer::new();
    let (listener, address) = listen();
    let requests = receive_requests(vec![listener]);
    let config = config_with_endpoints(discovery.address, &[address]).replace("10000000000", "300000000");
    let sidecar = TestSidecar::start(&config);
    let mut client = sidecar.client();
    send(&mut client, ORDER);
    let (_, first) = next_request(&requests);
    thread::sleep(Duration::from_millis(310));
    reset_connection(first.stream);
    assert!(status_code(&read_message(&mut client)).starts_with('5'));
    assert!(matches!(requests.try_recv(), Err(TryRecvError::Empty)), "sent again");
    sidecar.stop_and_join();
}

/// Guards against retrying a keyed request where its key is not known: outside the zone or cell of
/// the attempt that may have run.
#[test]
fn keyed_request_is_retried_only_within_its_scope() {
    let discovery = ScriptedServer::new();
    for (scope, here, there) in
        [("cell", r#""cell":0"#, r#""cell":1"#), ("zone", r#""zone":"a""#, r#""zone":"b""#)]
    {
        let ((one, at_one), (other, at_other)) = (listen(), listen());
        let requests = receive_requests(vec![one, other]);
        let lines = [
            instance_json("t0", at_one, "active"),
            instance_json("t1", at_other, "active").replace(here, there),
        ];
        let config =
            with_long_latency_target(&config_json(discovery.address, &list_json(1, true, &lines), 1024));
        let config = config.replace(r#""group":"all""#, &format!(r#""group":"{scope}""#));
        let sidecar = TestSidecar::start(&config.replace(r#""azs":["a"]"#, r#""azs":["a","b"]"#));
        let mut client = sidecar.client();
        send(&mut client, ORDER);
        let (first_at, first) = next_request(&requests);
        reset_connection(first.stream);
        let (second_at, mut second) = next_request(&requests);
        assert_eq!(first_at, second_at, "{scope}");
        second.reply("200 OK", "", "done");
        assert!(read_message(&mut client).ends_with("done"));
        sidecar.stop_and_join();
    }
}

/// Guards against a second final answer, or an answer to another client, made of an answer that
/// continues while its attempt is abandoned.
#[test]
fn answer_after_its_latency_target_is_dropped_completely() {
    let discovery = ScriptedServer::new();
    let (addresses, requests) = start_endpoints(2);
    let sidecar = TestSidecar::start(&config_with_endpoints(discovery.address, &addresses));
    let mut client = sidecar.client();
    send(&mut client, &look_request("c1"));
    let (_, mut first) = next_request(&requests);
    // An answer that begins in time and does not end in time is no answer.
    thread::sleep(Duration::from_millis(2200));
    first.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla").expect("it reads");
    let answer = read_message(&mut client);
    assert!(status_code(&answer).starts_with('5'), "{answer}");
    let _ = first.stream.write_all(b"te");
    send(&mut client, &look_request("c2"));
    let (_, mut second) = next_request(&requests);
    assert!(is_closed(&mut first.stream));
    second.reply("200 OK", "", "own");
    assert!(read_message(&mut client).ends_with("\n\nown"));
    sidecar.stop_and_join();
}

/// Guards against retrying a request whose connection is reset long after it was written if it may
/// run twice, and against not retrying it if that is harmless.
#[test]
fn late_reset_is_retried_only_for_safe_request() {
    let discovery = ScriptedServer::new();
    let (addresses, requests) = start_endpoints(2);
    let sidecar = TestSidecar::start(&config_with_unsafe_orders(discovery.address, &addresses));
    let mut clients = [sidecar.client(), sidecar.client()];
    send(&mut clients[0], &order_request("c0", 5));
    let (_, first) = next_request(&requests);
    send(&mut clients[1], &look_request("c1"));
    let (_, other) = next_request(&requests);
    thread::sleep(Duration::from_millis(600));
    reset_connection(first.stream);
    let answer = read_message(&mut clients[0]);
    assert!(!matches!(status_code(&answer), "200" | "429" | "503"), "{answer}");
    reset_connection(other.stream);
    let (_, mut second) = next_request(&requests);
    assert!(second.text.starts_with("GET"), "{}", second.text);
    second.reply("200 OK", "", "good");
    assert!(read_message(&mut clients[1]).ends_with("good"));
    sidecar.stop_and_join();
}
