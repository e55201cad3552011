//! A discovery stand-in: it serves the whole endpoint list, and watches that wait for a newer
//! version.

use super::{Executor, with_timeout};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Head};
use event_listener::Event;
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Context};
use std::time::Duration;

const MAX_HOLD: Duration = Duration::from_secs(60);
/// Time within which a client has to accept an answer; its connection is closed otherwise.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Line {
    /// The identity of the endpoint.
    pub instance_id: String,
    /// The address at which it accepts requests.
    pub host_port: SocketAddr,
    /// The zone of the endpoint.
    pub zone: String,
    /// The type of its machine.
    pub machine_type: String,
    /// The cell of the endpoint.
    pub cell: u16,
    /// `active`, `leaving` or, among changes only, `left`.
    pub lifecycle: &'static str,
    /// When its process last started, as Unix time in milliseconds; 0 means long ago.
    pub started_at_ms: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
    generation: u64,
    reset: bool,
    instances: Vec<&'a Line>,
}

/// The query of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Poll {
    /// The version that the client has; `None` asks for the whole list.
    pub known_version: Option<u64>,
    /// How long the poll is held open when there is no newer version.
    pub hold: Duration,
}

impl Poll {
    /// Reads the query of a request; a parameter that is missing or invalid counts as not given.
    pub fn read(head: &Head) -> Poll {
        let query = head.line[1].split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let hold = Duration::from_millis(parameter("hold_ms").unwrap_or(0)).min(MAX_HOLD);
        Poll { known_version: parameter("from"), hold }
    }
}

/// Sends an answer and returns its size in bytes, head included.
pub(super) async fn send(mut stream: &Async<TcpStream>, status: &str, body: &[u8]) -> io::Result<usize> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    let bytes = [head.as_bytes(), body].concat();
    with_timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await?;
    Ok(bytes.len())
}

/// Count and size of the answers of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Number of answers.
    pub count: u64,
    /// Bytes of these answers, heads included.
    pub bytes: u64,
}

impl Answers {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
    }
}

/// Traffic since the start, and the state of the open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Request heads received.
    pub calls: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Answers with the whole list.
    pub whole: Answers,
    /// Answers with changes.
    pub changes: Answers,
    /// Answers without changes, sent when the hold time of a watch ended.
    pub quiet: Answers,
    /// Connections accepted.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
    /// Open connections whose last poll was for changes since the newest version, which means that
    /// the client holds that version.
    pub up_to_date: u64,
}

/// Traffic, and what is known of each open connection.
#[derive(Default)]
struct ConnectionStats {
    traffic: Traffic,
    /// The version that the last poll of each open connection named, by connection number.
    known_versions: BTreeMap<u64, Option<u64>>,
}

/// A reader that counts the bytes received on a connection.
struct CountingReader<'a> {
    stream: &'a Async<TcpStream>,
    stats: &'a RefCell<ConnectionStats>,
}

impl AsyncRead for CountingReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, bytes);
        if let task::Poll::Ready(Ok(n)) = &read {
            self.stats.borrow_mut().traffic.bytes_in += *n as u64;
        }
        read
    }
}

/// The form of the answers to polls that name a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// The entries that changed since that version.
    Changes,
    /// The whole list, which leaves out what drains (the protocol specification allows it in place
    /// of changes).
    Whole,
}

/// The discovery stand-in with its endpoint list.
pub struct Discovery {
    /// The address at which it accepts polls.
    pub address: SocketAddr,
    generation: Cell<u64>,
    /// Each entry with the version in which it last changed, by endpoint. Entries that have `left`
    /// stay, so that they appear among the changes.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    answer_form: Cell<AnswerForm>,
    changed: Event,
    stats: RefCell<ConnectionStats>,
}

impl Discovery {
    /// Starts listening on a loopback port, with an empty list.
    pub fn start(executor: &Executor) -> io::Result<Rc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let this = Rc::new(Discovery {
            address: listener.local_addr()?,
            generation: Cell::new(0),
            lines: RefCell::default(),
            answer_form: Cell::new(AnswerForm::Changes),
            changed: Event::new(),
            stats: RefCell::default(),
        });
        let (listener, discovery, connection_executor) =
            (Async::new(listener)?, this.clone(), executor.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                connection_executor
                    .spawn(async move { discovery.handle_connection(stream).await })
                    .detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(this)
    }

    /// Adds or replaces an entry, which makes a new version of the list and answers open watches.
    pub fn publish(&self, line: Line) {
        self.publish_all([line]);
    }

    /// Adds or replaces entries in one new version of the list, and answers open watches.
    pub fn publish_all(&self, lines: impl IntoIterator<Item = Line>) {
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let entries = lines.into_iter().map(|line| (line.instance_id.clone(), (generation, line)));
        self.lines.borrow_mut().extend(entries);
        self.changed.notify(usize::MAX);
    }

    /// Sets the form of answers to polls that name a version.
    pub fn set_answer_form(&self, form: AnswerForm) {
        self.answer_form.set(form);
    }

    /// The JSON answer to a poll: the changes since a version, or the whole list for `None`.
    pub fn answer(&self, known_version: Option<u64>) -> serde_json::Result<Vec<u8>> {
        let lines = self.lines.borrow();
        let form = self.answer_form.get();
        let wanted = |(changed, line): &&(u64, Line)| match (known_version, form) {
            (None, _) => line.lifecycle != "left",
            (Some(_), AnswerForm::Whole) => line.lifecycle == "active",
            (Some(known_version), AnswerForm::Changes) => *changed > known_version,
        };
        let instances = lines.values().filter(wanted).map(|(_, line)| line).collect();
        let reset = known_version.is_none() || form == AnswerForm::Whole;
        let answer = Answer { generation: self.generation.get(), reset, instances };
        serde_json::to_vec(&answer)
    }

    /// Traffic so far, and the state of the open connections.
    pub fn traffic(&self) -> Traffic {
        let stats = self.stats.borrow();
        let newest = Some(self.generation.get());
        let up_to_date = stats.known_versions.values().filter(|known| **known == newest).count() as u64;
        Traffic { open: stats.known_versions.len() as u64, up_to_date, ..stats.traffic }
    }

    /// The newest version of the list.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Waits until there is a change to answer a poll with, or its hold time ends.
    pub(super) async fn wait_for_change(&self, poll: Poll) {
        let changed = self.changed.listen();
        if poll.known_version == Some(self.generation.get()) {
            future::or(changed, async {
                Timer::after(poll.hold).await;
            })
            .await;
        }
    }

    async fn handle_connection(&self, stream: Async<TcpStream>) {
        let number = {
            let mut stats = self.stats.borrow_mut();
            stats.traffic.connections += 1;
            let number = stats.traffic.connections;
            stats.known_versions.insert(number, None);
            number
        };
        self.serve_connection(stream, number).await;
        self.stats.borrow_mut().known_versions.remove(&number);
    }

    fn count_answer(&self, known_version: Option<u64>, bytes: usize) {
        let traffic = &mut self.stats.borrow_mut().traffic;
        match known_version {
            None => traffic.whole.add(bytes),
            Some(known_version) if known_version == self.generation.get() => traffic.quiet.add(bytes),
            Some(_) => traffic.changes.add(bytes),
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>, number: u64) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = Buffer::default();
        let mut reader = CountingReader { stream: &stream, stats: &self.stats };
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let poll = Poll::read(&head);
            {
                let mut stats = self.stats.borrow_mut();
                stats.traffic.calls += 1;
                stats.known_versions.insert(number, poll.known_version);
            }
            self.wait_for_change(poll).await;
            let Ok(body) = self.answer(poll.known_version) else { return };
            let sent = send(&stream, "200 OK", &body).await;
            let Ok(bytes) = sent else { return };
            self.count_answer(poll.known_version, bytes);
        }
    }
}
