//! Scripted peers on loopback: a sidecar in a thread of its own, clients, targets and discovery.

use cottonpoint::config::Config;
use cottonpoint::serve::{self, ControlEvent};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longer than any wait in these stories: only a failure takes it.
const PATIENCE: Duration = Duration::from_secs(20);

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// What a message's head says of its body's length. Read by a reader that is not the sidecar's own: what the two
/// did not agree on would fail the story.
fn body_length(head: &[u8]) -> usize {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let whole = if head.starts_with(b"HTTP/") {
        httparse::Response::new(&mut headers).parse(head)
    } else {
        httparse::Request::new(&mut headers).parse(head)
    };
    let text = String::from_utf8_lossy(head);
    assert_eq!(whole, Ok(httparse::Status::Complete(head.len())), "a head as HTTP has it: {text}");
    let lengths = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    let mut lengths = lengths.map(|h| str::from_utf8(h.value).ok().and_then(|l| l.parse().ok()));
    let length = lengths.next().map_or(0, |l| l.expect("a length"));
    assert_eq!(lengths.next(), None, "one length: {text}");
    length
}

/// The next HTTP message on a stream, head and body, or what came before the stream ended. It is read byte by byte
/// up to its end: what comes behind it is left to the next call.
pub fn message(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    let mut left = None;
    while left != Some(0) {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) => break,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
            Err(e) => {
                assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "it did not come in time");
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

/// A connection that a target or discovery accepted, and what came on it.
pub struct Came {
    pub stream: TcpStream,
    pub text: String,
}

impl Came {
    pub fn reply(&mut self, status: &str, headers: &str, body: &str) {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(head.as_bytes()).expect("the sidecar reads");
    }

    /// Waits for the next message on the same connection; empty when the sidecar closes it.
    pub fn next(&mut self) -> &str {
        self.text = message(&mut self.stream);
        &self.text
    }
}

/// A listener that the story answers for, message by message, each connection's first one by itself.
pub struct Peer {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Peer {
    pub fn new() -> Peer {
        let (listener, address) = listen();
        Peer { listener, address }
    }

    /// The same listener, to be waited on elsewhere.
    pub fn again(&self) -> Peer {
        Peer { listener: self.listener.try_clone().expect("a descriptor"), address: self.address }
    }

    pub fn accept(&self) -> Came {
        let mut stream = self.next();
        let text = message(&mut stream);
        Came { stream, text }
    }

    /// Waits for the sidecar to connect; the story fails where it does not.
    fn next(&self) -> TcpStream {
        self.listener.set_nonblocking(false).expect("a socket");
        let (listener, (came, comes)) = (self.listener.try_clone().expect("a descriptor"), channel());
        thread::spawn(move || came.send(listener.accept()));
        let (stream, _) = comes.recv_timeout(PATIENCE).expect("the sidecar connects").expect("a socket");
        stream
    }

    /// Answers all that comes with 200 and its own first line, from here on, on threads of its own. Yields
    /// each message as it comes.
    pub fn echo(self) -> Receiver<String> {
        let (seen, sees) = channel();
        self.listener.set_nonblocking(false).expect("a socket");
        thread::spawn(move || {
            for stream in self.listener.incoming() {
                let (seen, mut stream): (Sender<String>, _) = (seen.clone(), stream.expect("a connection"));
                thread::spawn(move || {
                    loop {
                        let text = message(&mut stream);
                        let Some(line) = text.lines().next().map(str::to_owned) else { return };
                        let _ = seen.send(text);
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{line}", line.len());
                        if stream.write_all(head.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        sees
    }
}

/// One line of discovery's list.
pub fn line(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

pub fn list(generation: u64, reset: bool, lines: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, lines.join(","))
}

/// A configuration: two classes, `look` (safe) and `order` (keyed), aim 1 s, given up after 3 s.
pub fn config(discovery: SocketAddr, known: &str, sockets: u32) -> String {
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

/// A sidecar that serves.
pub struct Running {
    pub address: SocketAddr,
    words: async_channel::Sender<ControlEvent>,
    thread: JoinHandle<()>,
}

impl Running {
    pub fn start(config: &str) -> Running {
        let config = Config::parse(config, |_| None).expect("a good configuration");
        let (listener, address) = listen();
        let (words, heard) = async_channel::unbounded();
        let serve = move || serve::run(config, listener, None, Box::pin(heard)).expect("it serves");
        Running { address, words, thread: thread::spawn(serve) }
    }

    /// One with a console, whose state outlives it in `state`, if given.
    pub fn with_console(config: &str, state: Option<&std::path::Path>) -> (Running, SocketAddr) {
        let state = state.map(|s| s.display().to_string());
        let config = Config::parse(config, |name| state.clone().filter(|_| name == "TMPDIR"));
        let config = config.expect("a good configuration");
        let ((listener, address), (console, at)) = (listen(), listen());
        let (words, heard) = async_channel::unbounded();
        let listeners = serve::Listeners { clients: listener, metrics: None, console: Some(console) };
        let serve = move || serve::run_with(config, listeners, Box::pin(heard)).expect("it serves");
        (Running { address, words, thread: thread::spawn(serve) }, at)
    }

    /// One that knows these targets and whose discovery is scripted by the story.
    pub fn knowing(targets: &[SocketAddr], discovery: &Peer) -> Running {
        let targets = targets.iter().enumerate();
        let lines: Vec<_> = targets.map(|(i, a)| line(&format!("t{i}"), *a, "active")).collect();
        Running::start(&config(discovery.address, &list(1, true, &lines), 1024))
    }

    pub fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("it listens")
    }

    /// Sends one request on a connection of its own and returns the answer.
    pub fn ask(&self, request: &str) -> String {
        let mut client = self.client();
        send(&mut client, request);
        message(&mut client)
    }

    pub fn stop(&self) {
        let _ = self.words.try_send(ControlEvent::Stop);
    }

    /// Gives it another configuration, as a file might hold it.
    pub fn reload(&self, config: &str) {
        let config = Config::parse(config, |_| None).map(Box::new);
        let _ = self.words.try_send(ControlEvent::Reload(config));
    }

    pub fn ends(self) {
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

/// One call on the console, and its whole answer: a line, or for `DUMP` the lines up to `.`.
pub fn call(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("the console listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(format!("{line}\n").as_bytes()).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer in time");
    answer
}

/// The figures of `DUMP`, as JSON.
pub fn figures(console: SocketAddr) -> serde_json::Value {
    let answer = call(console, "DUMP");
    let lines: Vec<&str> = answer.lines().collect();
    assert_eq!((lines.len(), lines[lines.len() - 1]), (2, "."), "{answer}");
    serde_json::from_str(lines[0]).expect("JSON")
}
