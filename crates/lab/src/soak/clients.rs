//! The clients of one process in a soak: requests at times drawn ahead on kept and new connections; some leave early, some
//! stop in the middle of a request and stay, some only hold connections.

use super::endpoint::body_for;
use super::records::*;
use crate::live::{Executor, with_timeout};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests that wait for their answers at one process, at most.
const OPEN_LIMIT: usize = 200;
/// A client looks for its answer so long after its time.
const WAITS_ON: Duration = Duration::from_millis(1500);
/// Of a hundred clients so many leave before their time, and so many have very little time.
const LEAVE_PERCENT: u32 = 4;
const LITTLE_TIME_PERCENT: u32 = 3;
/// New connections come for so long after the word to stop (the protocol page: 0.2 to 0.4 s).
const NEW_AFTER_WORD: Duration = Duration::from_millis(300);
/// Kept connections of one process, at most.
const KEPT_LIMIT: usize = 12;
/// How long bad clients look for an answer or a close.
const BAD_CLIENTS_LOOK: Duration = Duration::from_secs(6);
/// What bad clients send.
const HALVES: [&str; 4] = [
    "GET /view/1 HTTP/1.1\r\nHost: soak\r\nX-Corr",
    "POST /order/1 HTTP/1.1\r\nHost: soak\r\nContent-Length: 4000\r\nIdempotency-Key: k\r\n\r\nhalf",
    "\u{1}\u{2}noise\r\n\r\n",
    "POST /pay/1 HTTP/1.1\r\nHost: soak\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
];

const CLASSES: [(&str, &str, Effect); 3] =
    [("view", "GET", Effect::Safe), ("order", "POST", Effect::Keyed), ("pay", "POST", Effect::Unsafe)];

struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// The clients of one process.
pub struct Clients {
    /// Whom they ask.
    pub address: SocketAddr,
    member: usize,
    began: Instant,
    patience: [Duration; 3],
    kept: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    next: Cell<u64>,
    random: RefCell<fastrand::Rng>,
    leave: Event,
    word: Cell<Option<Instant>>,
    over: Cell<bool>,
    /// What became of their requests.
    pub requests: RefCell<Vec<Request>>,
    /// Bad clients.
    pub bad: RefCell<Vec<BadClient>>,
    /// When idle ones filled the descriptors.
    pub crowds: RefCell<Vec<(usize, Moment, Moment)>>,
}

impl Clients {
    /// Clients of a process, that have not begun.
    pub fn new(
        address: SocketAddr,
        member: usize,
        began: Instant,
        seed: u64,
        patience: [Duration; 3],
    ) -> Rc<Clients> {
        Rc::new(Clients {
            address,
            member,
            began,
            patience,
            kept: RefCell::default(),
            open: Cell::new(0),
            next: Cell::new(0),
            random: RefCell::new(fastrand::Rng::with_seed(seed.wrapping_add(member as u64))),
            leave: Event::new(),
            word: Cell::new(None),
            over: Cell::new(false),
            requests: RefCell::default(),
            bad: RefCell::default(),
            crowds: RefCell::default(),
        })
    }

    /// Requests that wait for their answers.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The process has been told to stop: no new connections come soon.
    pub fn word_to_stop(&self) {
        self.word.set(Some(Instant::now()));
    }

    /// No more requests are sent.
    pub fn end(&self) {
        self.over.set(true);
    }

    /// All that wait leave now.
    pub fn all_leave(&self) {
        self.leave.notify(usize::MAX);
    }

    /// Sends so many requests a second until the end.
    pub async fn run(self: Rc<Self>, executor: Executor, rate: f64) {
        let mut due = Instant::now();
        while !self.over.get() {
            let pause = -self.random.borrow_mut().f64().max(1e-9).ln() / rate;
            due += Duration::from_secs_f64(pause);
            Timer::at(due).await;
            if self.open.get() < OPEN_LIMIT && !self.over.get() {
                self.open.set(self.open.get() + 1);
                let this = self.clone();
                executor
                    .spawn(async move {
                        this.request().await;
                        this.open.set(this.open.get() - 1);
                    })
                    .detach();
            }
        }
    }

    async fn request(&self) {
        let class = self.random.borrow_mut().usize(0..CLASSES.len());
        let kept = self.kept.borrow_mut().pop();
        let on_kept = kept.is_some();
        let connection = match kept {
            Some(connection) => connection,
            None if self.takes_no_new() => return,
            None => match self.connect().await {
                Ok(connection) => connection,
                Err(_) => return,
            },
        };
        let request = self.send_on(connection, class, on_kept).await;
        let again = on_kept && request.end == RequestEnd::Broken && !self.takes_no_new();
        self.requests.borrow_mut().push(request);
        // A close may have crossed the request: it is sent once more on a new connection.
        if again && let Ok(connection) = self.connect().await {
            let request = self.send_on(connection, class, false).await;
            self.requests.borrow_mut().push(request);
        }
    }

    fn takes_no_new(&self) -> bool {
        self.over.get() || self.word.get().is_some_and(|word| word.elapsed() > NEW_AFTER_WORD)
    }

    async fn connect(&self) -> io::Result<Connection> {
        let stream =
            with_timeout(Duration::from_secs(2), Async::<TcpStream>::connect(self.address)).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection { stream, buffer: Buffer::default() })
    }

    /// Sends a request and waits until it has ended.
    async fn send_on(&self, mut connection: Connection, class: usize, on_kept_connection: bool) -> Request {
        let number = self.next.replace(self.next.get() + 1);
        let id = format!("m{}-{number}", self.member);
        let (name, method, effect) = CLASSES[class];
        let (patience, leaves_after) = self.draw_times(self.patience[class]);
        let path = format!("/{name}/{number}");
        let text = request_text(method, &path, name, &id, patience, effect);
        let mut request = Request {
            id,
            member: self.member,
            effect,
            sent: Duration::ZERO,
            patience,
            end: RequestEnd::NotTaken,
            ended: Duration::ZERO,
            on_kept_connection,
            fault: None,
        };
        let leave = self.leave.listen();
        let written = connection.stream.write_all(text.as_bytes()).await;
        request.sent = self.began.elapsed();
        request.ended = request.sent;
        if written.is_err() {
            return request;
        }
        let answer = async {
            let answered =
                http::read_one_answer(&mut connection.buffer, &mut connection.stream, http::BODY_LIMIT);
            match answered.await {
                Ok(Some((_, status, body, keep))) => {
                    let genuine = body == body_for(&path).as_bytes();
                    (RequestEnd::Answered { status, genuine }, keep, None)
                }
                Ok(None) => (RequestEnd::Broken, false, Some("an interim answer".to_owned())),
                Err(fault) => (RequestEnd::Broken, false, Some(fault.to_string())),
            }
        };
        let leaves = async {
            let early = async {
                match leaves_after {
                    Some(after) => drop(Timer::after(after).await),
                    None => future::pending().await,
                }
            };
            future::or(early, leave).await;
            (RequestEnd::Left, false, None)
        };
        let gives_up = async {
            Timer::after(patience + WAITS_ON).await;
            (RequestEnd::Unanswered, false, None)
        };
        let (end, keep, fault) = future::or(answer, future::or(leaves, gives_up)).await;
        if end == RequestEnd::Left {
            // Not by dropping it alone: a process that is being started holds copies of all descriptors for a moment.
            let _ = connection.stream.get_ref().shutdown(Shutdown::Both);
        } else if keep && connection.buffer.is_empty() && self.kept.borrow().len() < KEPT_LIMIT {
            self.kept.borrow_mut().push(connection);
        }
        request.ended = self.began.elapsed();
        (request.end, request.fault) = (end, fault);
        request
    }

    /// How long a client waits, and when it leaves, if before.
    fn draw_times(&self, usual: Duration) -> (Duration, Option<Duration>) {
        let mut random = self.random.borrow_mut();
        let little = random.u32(0..100) < LITTLE_TIME_PERCENT;
        let patience = if little { Duration::from_millis(random.u64(1..40)) } else { usual };
        let leaves = (random.u32(0..100) < LEAVE_PERCENT).then(|| patience.mul_f64(random.f64() * 0.3));
        (patience, leaves)
    }

    /// Clients that stop in the middle of a request, and stay.
    pub async fn bad_clients(self: Rc<Self>, executor: Executor) {
        for half in HALVES {
            let this = self.clone();
            executor.spawn(async move { drop(this.bad_client(half).await) }).detach();
        }
    }

    async fn bad_client(&self, half: &str) -> io::Result<()> {
        let mut connection = self.connect().await?;
        connection.stream.write_all(half.as_bytes()).await?;
        let sent = self.began.elapsed();
        let ended = with_timeout(BAD_CLIENTS_LOOK, async {
            // An answer, an end and a reset are all fine.
            let _ = connection.stream.read(&mut [0; 64]).await;
            Ok(self.began.elapsed())
        });
        let ended = ended.await.ok();
        self.bad.borrow_mut().push(BadClient { member: self.member, sent, ended });
        Ok(())
    }

    /// Idle clients that hold so many connections for so long.
    pub async fn idle_crowd(self: Rc<Self>, count: usize, lasts: Duration) {
        let from = self.began.elapsed();
        let mut held = Vec::new();
        for _ in 0..count {
            held.extend(self.connect().await.ok());
        }
        Timer::after(lasts).await;
        drop(held);
        self.crowds.borrow_mut().push((self.member, from, self.began.elapsed() + Duration::from_secs(1)));
    }
}

fn request_text(
    method: &str,
    path: &str,
    class: &str,
    id: &str,
    patience: Duration,
    effect: Effect,
) -> String {
    let key = match effect {
        Effect::Safe => String::new(),
        Effect::Keyed => format!("Idempotency-Key: {id}\r\nContent-Length: 5\r\n"),
        Effect::Unsafe => "Content-Length: 5\r\n".to_owned(),
    };
    let body = if effect == Effect::Safe { "" } else { "paper" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: soak.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: office\r\nX-Time-Left-Ms: {}\r\n{key}\r\n{body}",
        patience.as_millis()
    )
}
