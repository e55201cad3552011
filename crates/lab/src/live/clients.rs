//! Clients of a rig: requests at times drawn ahead, whatever becomes of earlier ones, and each time counted from
//! the moment at which its request was due to go out.

use super::{Executor, within};
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

/// Requests that wait for their answers at once; beyond it a request is counted as not sent.
const OPEN: usize = 2000;

/// A class of requests as clients send it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its method.
    pub method: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// How long a client waits.
    pub patience: Duration,
}

/// What became of the requests.
pub struct Tally {
    /// Sent.
    pub sent: Cell<u64>,
    /// Answered 200.
    pub served: Cell<u64>,
    /// Answered 429 or 503.
    pub refused: Cell<u64>,
    /// Answered otherwise.
    pub failed: Cell<u64>,
    /// Not answered in their time, or the connection broke.
    pub unanswered: Cell<u64>,
    /// Not sent: too many were open.
    pub held_back: Cell<u64>,
    /// Times of those served, in microseconds, since the last look and in all.
    pub recent: RefCell<Histogram<u64>>,
    /// Times of all served, in microseconds.
    pub times: RefCell<Histogram<u64>>,
}

fn histogram() -> RefCell<Histogram<u64>> {
    // From 1 microsecond to 100 s, two digits: the bounds are in order, so this cannot fail.
    RefCell::new(Histogram::new_with_bounds(1, 100_000_000, 2).unwrap_or_else(|_| unreachable!()))
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            sent: Cell::default(),
            served: Cell::default(),
            refused: Cell::default(),
            failed: Cell::default(),
            unanswered: Cell::default(),
            held_back: Cell::default(),
            recent: histogram(),
            times: histogram(),
        }
    }
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The clients of a rig.
pub struct Clients {
    /// Whom they ask.
    pub address: SocketAddr,
    /// What became of their requests.
    pub tally: Tally,
    classes: Vec<Class>,
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    next: Cell<u64>,
}

struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

impl Clients {
    /// Clients that have not begun.
    pub fn new(address: SocketAddr, classes: Vec<Class>) -> Rc<Clients> {
        Rc::new(Clients {
            address,
            tally: Tally::default(),
            classes,
            idle: RefCell::default(),
            open: Cell::default(),
            next: Cell::default(),
        })
    }

    /// Requests that wait for their answers.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sends so many requests a second, for ever.
    pub async fn run(self: Rc<Self>, executor: Executor, rate: f64, seed: u64) {
        let mut draw = RandomStream::new(seed, Purpose::Arrivals, 0);
        let weights: Vec<f64> = self.classes.iter().map(|c| c.share).collect();
        let mut due = Instant::now();
        loop {
            due += Duration::from_secs_f64(draw.exponential(1.0 / rate));
            let class = self.classes[crate::world::weighted_index(&weights, draw.uniform())];
            Timer::at(due).await;
            if self.open.get() >= OPEN {
                more(&self.tally.held_back);
                continue;
            }
            self.open.set(self.open.get() + 1);
            more(&self.tally.sent);
            let this = self.clone();
            executor.spawn(async move { this.request(class, due).await }).detach();
        }
    }

    async fn request(&self, class: Class, due: Instant) {
        let answer = within(class.patience, self.exchange(class)).await;
        self.open.set(self.open.get() - 1);
        match answer {
            Ok(200) => {
                more(&self.tally.served);
                let micros = (due.elapsed().as_micros() as u64).max(1);
                self.tally.recent.borrow_mut().saturating_record(micros);
                self.tally.times.borrow_mut().saturating_record(micros);
            }
            Ok(429 | 503) => more(&self.tally.refused),
            Ok(_) => more(&self.tally.failed),
            Err(_) => more(&self.tally.unanswered),
        }
    }

    async fn exchange(&self, class: Class) -> io::Result<u16> {
        let number = self.next.replace(self.next.get() + 1);
        let kept = self.idle.borrow_mut().pop();
        let mut c = match kept {
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
            class.patience.as_millis()
        );
        c.stream.write_all(request.as_bytes()).await?;
        let answer = http::read_one_answer(&mut c.buffer, &mut c.stream, http::BODY_LIMIT).await;
        let answer = answer.map_err(|fault| io::Error::other(fault.to_string()))?;
        let Some((_, status, _, keep)) = answer else { return Err(io::Error::other("an interim answer")) };
        if keep && c.buffer.is_empty() {
            self.idle.borrow_mut().push(c);
        }
        Ok(status)
    }
}
