//! The clients of one process in a soak. They send requests at random times on reused and new
//! connections. Some disconnect early, some stop in the middle of a request and stay connected, and
//! some only hold idle connections.

use super::classes::{self, ARCHIVE, CLASSES, ClassList, SoakClass};
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

/// Maximum number of requests in progress at one process.
const OPEN_REQUEST_LIMIT: usize = 200;
/// How long a client waits for its answer after its timeout.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);
/// Percentage of requests whose client disconnects before its timeout, and percentage of requests
/// with a very short timeout.
const DISCONNECT_PERCENT: u32 = 4;
const SHORT_TIMEOUT_PERCENT: u32 = 3;
/// New connections arrive for this long after SIGTERM (the protocol specification: 0.2 to 0.4 s).
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Maximum number of idle connections kept open to one process for reuse.
const IDLE_CONNECTION_LIMIT: usize = 12;
/// How long a bad client waits for an answer or a close.
const BAD_CLIENT_WAIT: Duration = Duration::from_secs(6);
/// What bad clients send: incomplete or invalid requests.
const BAD_REQUESTS: [&str; 4] = [
    "GET /view/1 HTTP/1.1\r\nHost: soak\r\nX-Corr",
    "POST /order/1 HTTP/1.1\r\nHost: soak\r\nContent-Length: 4000\r\nIdempotency-Key: k\r\n\r\nhalf",
    "\u{1}\u{2}noise\r\n\r\n",
    "POST /pay/1 HTTP/1.1\r\nHost: soak\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
];

/// Clients use a new class this long after the configuration that names it (the deployment's
/// requirements).
const CLASSES_USED_AFTER: Duration = Duration::from_millis(1200);
/// Number of requests of a long class that come right before a configuration.
const LONG_REQUESTS: usize = 8;

struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// The clients of one process.
pub struct Clients {
    /// The address of the process that they send requests to.
    pub address: SocketAddr,
    member: usize,
    run_start: Instant,
    client_timeouts: [Duration; 3],
    /// The classes of the configuration in force that clients use, as positions in
    /// [`CLASSES`].
    classes: RefCell<Vec<usize>>,
    /// Number of configurations that the process has got.
    configurations: Cell<u64>,
    idle_connections: RefCell<Vec<Connection>>,
    open_requests: Cell<usize>,
    next_number: Cell<u64>,
    random: RefCell<fastrand::Rng>,
    disconnect: Event,
    sigterm_at: Cell<Option<Instant>>,
    stopped: Cell<bool>,
    /// The requests that have ended.
    pub requests: RefCell<Vec<Request>>,
    /// The bad clients that have ended.
    pub bad_clients: RefCell<Vec<BadClient>>,
    /// The process (by index) and the start and end of each period in which idle connections filled
    /// its descriptors.
    pub idle_connection_periods: RefCell<Vec<(usize, Timestamp, Timestamp)>>,
}

impl Clients {
    /// Creates the clients of a process; [`Clients::run`] starts their requests.
    pub fn new(
        address: SocketAddr,
        member: usize,
        run_start: Instant,
        seed: u64,
        client_timeouts: [Duration; 3],
        classes: ClassList,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            address,
            member,
            run_start,
            client_timeouts,
            classes: RefCell::new(classes.positions().to_vec()),
            configurations: Cell::new(0),
            idle_connections: RefCell::default(),
            open_requests: Cell::new(0),
            next_number: Cell::new(0),
            random: RefCell::new(fastrand::Rng::with_seed(seed.wrapping_add(member as u64))),
            disconnect: Event::new(),
            sigterm_at: Cell::new(None),
            stopped: Cell::new(false),
            requests: RefCell::default(),
            bad_clients: RefCell::default(),
            idle_connection_periods: RefCell::default(),
        })
    }

    /// Number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Notes that the process has received SIGTERM: new connections stop shortly afterwards.
    pub fn note_sigterm(&self) {
        self.sigterm_at.set(Some(Instant::now()));
    }

    /// Stops sending new requests.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Disconnects all clients that are waiting for an answer.
    pub fn disconnect_all(&self) {
        self.disconnect.notify(usize::MAX);
    }

    /// Sends `rate` requests per second until the clients are stopped.
    pub async fn run(self: Rc<Self>, executor: Executor, rate: f64) {
        let mut next_at = Instant::now();
        while !self.stopped.get() {
            let interval = -self.random.borrow_mut().f64().max(1e-9).ln() / rate;
            next_at += Duration::from_secs_f64(interval);
            Timer::at(next_at).await;
            if self.open_requests.get() < OPEN_REQUEST_LIMIT && !self.stopped.get() {
                self.open_requests.set(self.open_requests.get() + 1);
                let this = self.clone();
                executor
                    .spawn(async move {
                        if let Some(class) = this.draw_class() {
                            this.run_request(class).await;
                        }
                        this.open_requests.set(this.open_requests.get() - 1);
                    })
                    .detach();
            }
        }
    }

    /// Whether clients use this class of the configuration in force.
    pub fn uses(&self, class: usize) -> bool {
        self.classes.borrow().contains(&class)
    }

    /// Draws one of the classes in use; there may be none for a while after a configuration.
    fn draw_class(&self) -> Option<usize> {
        self.random.borrow_mut().choice(self.classes.borrow().iter().copied())
    }

    /// Sends requests of a long class, if the process knows it.
    pub fn send_long_requests(self: &Rc<Self>, executor: &Executor) {
        if !self.classes.borrow().contains(&ARCHIVE) || self.stopped.get() {
            return;
        }
        for _ in 0..LONG_REQUESTS {
            self.open_requests.set(self.open_requests.get() + 1);
            let this = self.clone();
            executor
                .spawn(async move {
                    this.run_request(ARCHIVE).await;
                    this.open_requests.set(this.open_requests.get() - 1);
                })
                .detach();
        }
    }

    /// Notes that the process has got a configuration with these classes. Those that it had before
    /// and has still are used on; the others after a while, unless there is another configuration by
    /// then.
    pub fn note_classes(self: &Rc<Self>, classes: ClassList, executor: &Executor) {
        let configuration = self.configurations.get() + 1;
        self.configurations.set(configuration);
        self.classes.borrow_mut().retain(|class| classes.positions().contains(class));
        let this = self.clone();
        executor
            .spawn(async move {
                Timer::after(CLASSES_USED_AFTER).await;
                if this.configurations.get() == configuration {
                    *this.classes.borrow_mut() = classes.positions().to_vec();
                }
            })
            .detach();
    }

    async fn run_request(&self, class: usize) {
        let reused = self.idle_connections.borrow_mut().pop();
        let on_reused = reused.is_some();
        let connection = match reused {
            Some(connection) => connection,
            None if self.opens_no_connections() => return,
            None => match self.connect().await {
                Ok(connection) => connection,
                Err(_) => return,
            },
        };
        let request = self.send_on(connection, class, on_reused).await;
        let retry = on_reused && request.end == RequestEnd::Broken && !self.opens_no_connections();
        self.requests.borrow_mut().push(request);
        // The process may have closed the connection while the request was on its way, so the
        // request is sent once more on a new connection.
        if retry && let Ok(connection) = self.connect().await {
            let request = self.send_on(connection, class, false).await;
            self.requests.borrow_mut().push(request);
        }
    }

    fn opens_no_connections(&self) -> bool {
        self.stopped.get()
            || self.sigterm_at.get().is_some_and(|sigterm_at| sigterm_at.elapsed() > CONNECTS_AFTER_SIGTERM)
    }

    async fn connect(&self) -> io::Result<Connection> {
        let stream =
            with_timeout(Duration::from_secs(2), Async::<TcpStream>::connect(self.address)).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection { stream, buffer: Buffer::default() })
    }

    /// Sends a request and waits until it has ended.
    async fn send_on(
        &self,
        mut connection: Connection,
        class: usize,
        on_reused_connection: bool,
    ) -> Request {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let id = format!("m{}-{number}", self.member);
        let SoakClass { name, effect, .. } = CLASSES[class];
        let method = if effect == Effect::Safe { "GET" } else { "POST" };
        let (client_timeout, disconnect_after) =
            self.draw_times(classes::client_timeout(class, self.client_timeouts));
        let path = format!("/{name}/{number}");
        let text = request_text(method, &path, name, &id, client_timeout, effect);
        let mut request = Request {
            id,
            member: self.member,
            effect,
            sent: Duration::ZERO,
            client_timeout,
            end: RequestEnd::NotSent,
            ended: Duration::ZERO,
            on_reused_connection,
            answer_error: None,
        };
        let disconnect = self.disconnect.listen();
        let written = connection.stream.write_all(text.as_bytes()).await;
        request.sent = self.run_start.elapsed();
        request.ended = request.sent;
        if written.is_err() {
            return request;
        }
        let answer = async {
            let answered =
                http::read_one_answer(&mut connection.buffer, &mut connection.stream, http::BODY_LIMIT);
            match answered.await {
                Ok(Some((_, status, body, reusable))) => {
                    let genuine = body == body_for(&path).as_bytes();
                    (RequestEnd::Answered { status, genuine }, reusable, None)
                }
                Ok(None) => (RequestEnd::Broken, false, Some("an interim answer".to_owned())),
                Err(error) => (RequestEnd::Broken, false, Some(error.to_string())),
            }
        };
        let disconnects = async {
            let early = async {
                match disconnect_after {
                    Some(after) => drop(Timer::after(after).await),
                    None => future::pending().await,
                }
            };
            future::or(early, disconnect).await;
            (RequestEnd::Disconnected, false, None)
        };
        let times_out = async {
            Timer::after(client_timeout + ANSWER_GRACE).await;
            (RequestEnd::Unanswered, false, None)
        };
        let (end, reusable, error) = future::or(answer, future::or(disconnects, times_out)).await;
        if end == RequestEnd::Disconnected {
            // Dropping the stream would not be enough: a process that is being started holds copies
            // of all descriptors for a moment.
            let _ = connection.stream.get_ref().shutdown(Shutdown::Both);
        } else if reusable
            && connection.buffer.is_empty()
            && self.idle_connections.borrow().len() < IDLE_CONNECTION_LIMIT
        {
            self.idle_connections.borrow_mut().push(connection);
        }
        request.ended = self.run_start.elapsed();
        (request.end, request.answer_error) = (end, error);
        request
    }

    /// Draws the client timeout of a request and, if the client disconnects before that, the time
    /// after which it does.
    fn draw_times(&self, class_timeout: Duration) -> (Duration, Option<Duration>) {
        let mut random = self.random.borrow_mut();
        let short = random.u32(0..100) < SHORT_TIMEOUT_PERCENT;
        let client_timeout = if short { Duration::from_millis(random.u64(1..40)) } else { class_timeout };
        let disconnect_after =
            (random.u32(0..100) < DISCONNECT_PERCENT).then(|| client_timeout.mul_f64(random.f64() * 0.3));
        (client_timeout, disconnect_after)
    }

    /// Starts clients that stop in the middle of a request and stay connected.
    pub async fn start_bad_clients(self: Rc<Self>, executor: Executor) {
        for text in BAD_REQUESTS {
            let this = self.clone();
            executor.spawn(async move { drop(this.run_bad_client(text).await) }).detach();
        }
    }

    async fn run_bad_client(&self, text: &str) -> io::Result<()> {
        let mut connection = self.connect().await?;
        connection.stream.write_all(text.as_bytes()).await?;
        let sent = self.run_start.elapsed();
        let ended = with_timeout(BAD_CLIENT_WAIT, async {
            // An answer, an end of stream and a reset are all acceptable.
            let _ = connection.stream.read(&mut [0; 64]).await;
            Ok(self.run_start.elapsed())
        });
        let ended = ended.await.ok();
        self.bad_clients.borrow_mut().push(BadClient { member: self.member, sent, ended });
        Ok(())
    }

    /// Opens `count` idle connections and holds them for `duration`.
    pub async fn hold_idle_connections(self: Rc<Self>, count: usize, duration: Duration) {
        let from = self.run_start.elapsed();
        let mut held = Vec::new();
        for _ in 0..count {
            held.extend(self.connect().await.ok());
        }
        Timer::after(duration).await;
        drop(held);
        self.idle_connection_periods.borrow_mut().push((
            self.member,
            from,
            self.run_start.elapsed() + Duration::from_secs(1),
        ));
    }
}

/// The text of a request with a short body, or none where its class is safe.
pub(super) fn request_text(
    method: &str,
    path: &str,
    class: &str,
    id: &str,
    client_timeout: Duration,
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
        client_timeout.as_millis()
    )
}
