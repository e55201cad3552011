//! Open-loop clients of a rig: requests go out at times drawn in advance, whatever becomes of
//! earlier ones. Latency is measured from the time at which a request was scheduled to go out.

use super::{Executor, with_timeout};
use crate::draw::{Purpose, RandomStream};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http;
use futures_lite::AsyncWriteExt;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limit on requests that await their answers at the same time. A request beyond it is not sent and
/// counted as such.
const OPEN_REQUESTS_LIMIT: usize = 2000;

/// A class of requests, as clients send it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name in the settings.
    pub name: &'static str,
    /// The HTTP method of its requests.
    pub method: &'static str,
    /// Its weight among the classes.
    pub share: f64,
    /// How long a client waits for the answer.
    pub client_timeout: Duration,
}

/// Counts and latencies of the requests.
pub struct RequestStats {
    /// Requests sent.
    pub sent: Cell<u64>,
    /// Requests answered with status 200.
    pub served: Cell<u64>,
    /// Requests answered with status 429 or 503.
    pub refused: Cell<u64>,
    /// Requests answered with any other status.
    pub failed: Cell<u64>,
    /// Requests not answered before the client timeout, or whose connection broke.
    pub unanswered: Cell<u64>,
    /// Requests not sent because too many were open.
    pub not_sent: Cell<u64>,
    /// Latencies of requests served since this histogram was last reset, in microseconds.
    pub recent_latencies: RefCell<Histogram<u64>>,
    /// Latencies of all requests served, in microseconds.
    pub latencies: RefCell<Histogram<u64>>,
}

fn histogram() -> RefCell<Histogram<u64>> {
    // From 1 microsecond to 100 s with two significant digits. The bounds are valid, so this cannot
    // fail.
    RefCell::new(Histogram::new_with_bounds(1, 100_000_000, 2).unwrap_or_else(|_| unreachable!()))
}

impl Default for RequestStats {
    fn default() -> RequestStats {
        RequestStats {
            sent: Cell::default(),
            served: Cell::default(),
            refused: Cell::default(),
            failed: Cell::default(),
            unanswered: Cell::default(),
            not_sent: Cell::default(),
            recent_latencies: histogram(),
            latencies: histogram(),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The clients of a rig, which share a pool of connections to one sidecar.
pub struct Clients {
    /// The address of the sidecar.
    pub address: SocketAddr,
    /// Counts and latencies of their requests.
    pub stats: RequestStats,
    classes: Vec<Class>,
    idle_connections: RefCell<Vec<Connection>>,
    open_requests: Cell<usize>,
    next_number: Cell<u64>,
}

struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

impl Clients {
    /// Creates clients that send nothing until [`Clients::run`] is called.
    pub fn new(address: SocketAddr, classes: Vec<Class>) -> Rc<Clients> {
        Rc::new(Clients {
            address,
            stats: RequestStats::default(),
            classes,
            idle_connections: RefCell::default(),
            open_requests: Cell::default(),
            next_number: Cell::default(),
        })
    }

    /// Requests that wait for their answers.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Sends `rate` requests per second on average, with exponential intervals between them. It
    /// never returns.
    pub async fn run(self: Rc<Self>, executor: Executor, rate: f64, seed: u64) {
        let mut draw = RandomStream::new(seed, Purpose::Arrivals, 0);
        let weights: Vec<f64> = self.classes.iter().map(|c| c.share).collect();
        let mut scheduled_at = Instant::now();
        loop {
            scheduled_at += Duration::from_secs_f64(draw.exponential(1.0 / rate));
            let class = self.classes[crate::world::weighted_index(&weights, draw.uniform())];
            Timer::at(scheduled_at).await;
            if self.open_requests.get() >= OPEN_REQUESTS_LIMIT {
                increment(&self.stats.not_sent);
                continue;
            }
            self.open_requests.set(self.open_requests.get() + 1);
            increment(&self.stats.sent);
            let this = self.clone();
            executor.spawn(async move { this.request(class, scheduled_at).await }).detach();
        }
    }

    async fn request(&self, class: Class, scheduled_at: Instant) {
        let answer = with_timeout(class.client_timeout, self.exchange(class)).await;
        self.open_requests.set(self.open_requests.get() - 1);
        match answer {
            Ok(200) => {
                increment(&self.stats.served);
                let micros = (scheduled_at.elapsed().as_micros() as u64).max(1);
                self.stats.recent_latencies.borrow_mut().saturating_record(micros);
                self.stats.latencies.borrow_mut().saturating_record(micros);
            }
            Ok(429 | 503) => increment(&self.stats.refused),
            Ok(_) => increment(&self.stats.failed),
            Err(_) => increment(&self.stats.unanswered),
        }
    }

    async fn exchange(&self, class: Class) -> io::Result<u16> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let pooled = self.idle_connections.borrow_mut().pop();
        let mut c = match pooled {
            Some(c) => c,
            None => {
                let stream = Async::<TcpStream>::connect(self.address).await?;
                stream.get_ref().set_nodelay(true)?;
                Connection { stream, buffer: Buffer::default() }
            }
        };
        let key = if class.method == "POST" {
            format!("Idempotency-Key: k{number}\r\nContent-Length: 0\r\n")
        } else {
            String::new()
        };
        let request = format!(
            "{} /{}/{number} HTTP/1.1\r\nHost: rig.internal\r\nX-Correlation-Id: c{number}\r\n\
             X-Service-Class: {}\r\nX-Account: office\r\nX-Time-Left-Ms: {}\r\n{key}\r\n",
            class.method,
            class.name,
            class.name,
            class.client_timeout.as_millis()
        );
        c.stream.write_all(request.as_bytes()).await?;
        let answer = http::read_one_answer(&mut c.buffer, &mut c.stream, http::BODY_LIMIT).await;
        let answer = answer.map_err(|fault| io::Error::other(fault.to_string()))?;
        let Some((_, status, _, keep)) = answer else { return Err(io::Error::other("a 1xx response")) };
        if keep && c.buffer.is_empty() {
            self.idle_connections.borrow_mut().push(c);
        }
        Ok(status)
    }
}
