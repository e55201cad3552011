//! Test doubles on loopback: a sidecar on a thread of its own, scripted clients, endpoints and
//! discovery.

use cottonpoint::config::Config;
use cottonpoint::serve::{self, ControlEvent};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longer than any wait in these tests: it elapses only in a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// The body length that the head of a message declares. The parser is not the sidecar's own: what
/// the two disagree on fails the test.
fn body_length(head: &[u8]) -> usize {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let whole = if head.starts_with(b"HTTP/") {
        httparse::Response::new(&mut headers).parse(head)
    } else {
        httparse::Request::new(&mut headers).parse(head)
    };
    let text = String::from_utf8_lossy(head);
    assert_eq!(whole, Ok(httparse::Status::Complete(head.len())), "the head is valid HTTP: {text}");
    let lengths = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    let mut lengths = lengths.map(|h| str::from_utf8(h.value).ok().and_then(|l| l.parse().ok()));
    let length = lengths.next().map_or(0, |l| l.expect("a length"));
    assert_eq!(lengths.next(), None, "one length: {text}");
    length
}

/// Reads the next HTTP message from a stream, head and body, or what arrived before the stream
/// ended. It is read byte by byte up to its end, which leaves what follows to the next call.
pub fn read_message(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    let mut left = None;
    while left != Some(0) {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) => break,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
            Err(e) => {
                assert_eq!(
                    e.kind(),
                    std::io::ErrorKind::ConnectionReset,
                    "the message did not arrive in time"
                );
                break;
            }
        }
        left = match left {
            Some(left) => Some(left - 1),
            None => bytes.ends_with(b"\r\n\r\n").then(|| body_length(&bytes)),
        };
    }
    String::from_utf8_lossy(&bytes).replace("\r\n", "\n")
}

/// A connection that an endpoint or discovery has accepted, and the last message read from it.
pub struct AcceptedConnection {
    pub stream: TcpStream,
    pub text: String,
}

impl AcceptedConnection {
    pub fn read_from(mut stream: TcpStream) -> AcceptedConnection {
        let text = read_message(&mut stream);
        AcceptedConnection { stream, text }
    }

    pub fn reply(&mut self, status: &str, headers: &str, body: &str) {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(head.as_bytes()).expect("the sidecar reads");
    }

    /// Reads the next message from the same connection; empty if the sidecar closes it.
    pub fn read_next(&mut self) -> &str {
        self.text = read_message(&mut self.stream);
        &self.text
    }
}

/// A listener that the test answers for message by message; the first message of each connection is
/// read with `accept`.
pub struct ScriptedServer {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl ScriptedServer {
    pub fn new() -> ScriptedServer {
        let (listener, address) = listen();
        ScriptedServer { listener, address }
    }

    /// Another handle of the same listener, to wait on elsewhere.
    pub fn share(&self) -> ScriptedServer {
        ScriptedServer { listener: self.listener.try_clone().expect("a descriptor"), address: self.address }
    }

    pub fn accept(&self) -> AcceptedConnection {
        AcceptedConnection::read_from(self.accept_stream())
    }

    /// Waits for the sidecar to connect, and fails the test if it does not.
    pub fn accept_stream(&self) -> TcpStream {
        self.listener.set_nonblocking(false).expect("a socket");
        let (listener, (sender, receiver)) = (self.listener.try_clone().expect("a descriptor"), channel());
        thread::spawn(move || sender.send(listener.accept()));
        let (stream, _) =
            receiver.recv_timeout(TEST_TIMEOUT).expect("the sidecar connects").expect("a socket");
        stream
    }

    /// The same as [`ScriptedServer::accept_stream`], for as long as it takes.
    pub fn accept_stream_without_limit(&self) -> TcpStream {
        self.listener.accept().expect("a socket").0
    }

    /// Answers every message with 200 and the message's first line from now on, on threads of its
    /// own. Returns the messages as they arrive.
    pub fn echo_requests(self) -> Receiver<String> {
        let (sender, receiver) = channel();
        self.listener.set_nonblocking(false).expect("a socket");
        thread::spawn(move || {
            for stream in self.listener.incoming() {
                let (sender, mut stream): (Sender<String>, _) =
                    (sender.clone(), stream.expect("a connection"));
                thread::spawn(move || {
                    loop {
                        let text = read_message(&mut stream);
                        let Some(line) = text.lines().next().map(str::to_owned) else { return };
                        let _ = sender.send(text);
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{line}", line.len());
                        if stream.write_all(head.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        receiver
    }
}

/// One instance of discovery's list.
pub fn instance_json(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

pub fn list_json(generation: u64, reset: bool, lines: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, lines.join(","))
}

/// A configuration with two classes, `look` (safe) and `order` (keyed), a latency target of 1 s and
/// a client timeout of 3 s.
pub fn config_json(discovery: SocketAddr, known: &str, sockets: u32) -> String {
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","semantics":"{semantics}","group":"all","window_ns":10000000000,
                "aim_ns":1000000000,"give_up_ns":3000000000,"worth":1.0,"streaming":false}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"2a",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
            "settings":{{"me":0,"siblings":1,"my_zone":0,"azs":["a"],"shapes":["m"],"a_new_key":[1],
            "discovery":"on_request","telemetry":{{"how":"piggyback","fields":["throughput","utilization"]}},
            "lanes":[{},{}],"orgs":[{{"name":"north","quota_per_s":1000.0}}],
            "limits":{{"max_attempts":3,"may_duplicate":false,"cancelling":true,"probes":false,
            "retry_after":false,"max_retry_after_ns":2000000000,"connect_timeout_ns":500000000}},
            "obligations":{{"ask_within_ns":400000000,"cold_from":0.3,"warm_after_ns":5000000000,
            "fall_multiple":3.0,"tip_after_ns":2000000000}}}}}}"#,
        class("look", "read_like"),
        class("order", "idempotency_key")
    )
}

/// A running sidecar.
pub struct TestSidecar {
    pub address: SocketAddr,
    control_events: async_channel::Sender<ControlEvent>,
    thread: JoinHandle<()>,
}

impl TestSidecar {
    pub fn start(config: &str) -> TestSidecar {
        let config = Config::parse(config, |_| None).expect("a good configuration");
        let (listener, address) = listen();
        let (control_events, receiver) = async_channel::unbounded();
        let serve = move || serve::run(config, listener, None, Box::pin(receiver)).expect("it serves");
        TestSidecar { address, control_events, thread: thread::spawn(serve) }
    }

    /// Starts a sidecar with a console; its state is kept in `state`, if given.
    pub fn with_console(config: &str, state: Option<&std::path::Path>) -> (TestSidecar, SocketAddr) {
        let state = state.map(|s| s.display().to_string());
        let config = Config::parse(config, |name| state.clone().filter(|_| name == "TMPDIR"));
        let config = config.expect("a good configuration");
        let ((listener, address), (console, console_address)) = (listen(), listen());
        let (control_events, receiver) = async_channel::unbounded();
        let listeners = serve::Listeners { clients: listener, metrics: None, console: Some(console) };
        let serve = move || serve::run_with(config, listeners, Box::pin(receiver)).expect("it serves");
        (TestSidecar { address, control_events, thread: thread::spawn(serve) }, console_address)
    }

    /// Starts a sidecar that knows these endpoints and whose discovery is scripted by the test.
    pub fn with_endpoints(endpoints: &[SocketAddr], discovery: &ScriptedServer) -> TestSidecar {
        let endpoints = endpoints.iter().enumerate();
        let lines: Vec<_> = endpoints.map(|(i, a)| instance_json(&format!("t{i}"), *a, "active")).collect();
        TestSidecar::start(&config_json(discovery.address, &list_json(1, true, &lines), 1024))
    }

    pub fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("it listens")
    }

    /// Sends one request on a connection of its own and returns the answer.
    pub fn request(&self, request: &str) -> String {
        let mut client = self.client();
        send(&mut client, request);
        read_message(&mut client)
    }

    pub fn stop(&self) {
        let _ = self.control_events.try_send(ControlEvent::Stop);
    }

    /// Reloads the configuration with this text.
    pub fn reload(&self, config: &str) {
        let config = Config::parse(config, |_| None).map(Box::new);
        let _ = self.control_events.try_send(ControlEvent::Reload(config));
    }

    pub fn stop_and_join(self) {
        self.stop();
        self.thread.join().expect("it ends without a panic");
    }
}

pub fn send(stream: &mut TcpStream, request: &str) {
    stream.write_all(request.replace('\n', "\r\n").as_bytes()).expect("it reads");
}

pub const LOOK: &str = "GET /look/7?size=2 HTTP/1.1
Host: service.internal
X-Correlation-Id: c1
X-Service-Class: look
X-Account: north
X-Time-Left-Ms: 3000

";

pub const ORDER: &str = "POST /order HTTP/1.1
Host: service.internal
X-Correlation-Id: c2
X-Account: north
Idempotency-Key: k2
Content-Length: 5

paper";

/// Sends a command to the console and returns the whole answer: a line, or for `DUMP` the lines up
/// to `.`.
pub fn console_command(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("the console listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
    stream.write_all(format!("{line}\n").as_bytes()).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer in time");
    answer
}

/// The statistics of `DUMP`, as JSON.
pub fn console_statistics(console: SocketAddr) -> serde_json::Value {
    let answer = console_command(console, "DUMP");
    let lines: Vec<&str> = answer.lines().collect();
    assert_eq!((lines.len(), lines[lines.len() - 1]), (2, "."), "{answer}");
    serde_json::from_str(lines[0]).expect("JSON")
}
