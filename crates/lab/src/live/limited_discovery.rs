//! A discovery stand-in with limited capacity, which can be overloaded or unavailable.
//!
//! It serves polls in order of arrival at a configured rate, with the list of a [`Discovery`]. Each
//! sidecar is given an address of its own, which tells the polls of different processes apart. A
//! poll that would wait longer than the queue allows is rejected with status 503. The stand-in does
//! not notice that a client has closed its connection: its poll takes up capacity all the same. A
//! poll that follows soon after the last answer on its connection continues a watch and takes up no
//! capacity.

use super::discovery::{Discovery, Poll, send};
use super::{CountGuard, Executor, is_connected};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http;
use event_listener::Event;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A poll within this time after the last answer on its connection continues a watch (the protocol
/// specification).
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Limit on open connections, those with queued polls included; further ones are closed at once.
const CONNECTIONS_LIMIT: usize = 4096;
/// Limit on arrival times that are kept between two changes of availability.
const ARRIVALS_LIMIT: usize = 100_000;
const STATUS_OK: &str = "200 OK";
const STATUS_UNAVAILABLE: &str = "503 Service Unavailable";

/// How many polls can be served, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The time that serving one poll takes: the inverse of the rate.
    pub service_time: Duration,
    /// A poll that would wait longer in the queue is rejected.
    pub max_queue_time: Duration,
    /// The time that rejecting one poll takes.
    pub rejection_time: Duration,
}

impl Capacity {
    /// `rate` polls per second. Rejecting a poll costs as much as serving it.
    pub fn per_second(rate: u32, max_queue_time: Duration) -> Capacity {
        let service_time = Duration::from_secs(1) / rate.max(1);
        Capacity { service_time, max_queue_time, rejection_time: service_time }
    }
}

/// How discovery handles polls.
#[derive(Clone, Copy, Debug)]
pub enum Availability {
    /// It serves them in order of arrival.
    Serving(Capacity),
    /// It is unavailable: it answers each poll with status 503 after a delay, and an open watch at
    /// once.
    Unavailable {
        /// Time from the arrival of a poll to its answer.
        delay: Duration,
    },
    /// It is unavailable and closes connections: those with an open watch at once, others on their
    /// next poll.
    ClosingConnections,
}

/// Counts since the availability last changed. Polls that continue a watch are not counted.
#[derive(Clone, Debug, Default)]
pub struct PollCounts {
    /// The arrival times of polls.
    pub arrivals: Vec<Instant>,
    /// Polls whose clients were still connected when they were served.
    pub delivered: u64,
    /// Polls whose clients had closed the connection before they were served.
    pub wasted: u64,
    /// Polls rejected because they would have waited too long.
    pub rejected: u64,
}

impl PollCounts {
    /// The share of processed polls that reached a connected client; 1 where none were processed.
    pub fn goodput(&self) -> f64 {
        let processed = self.delivered + self.wasted + self.rejected;
        if processed == 0 { 1.0 } else { self.delivered as f64 / processed as f64 }
    }
}

/// The result of adding a poll to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct QueuedPoll {
    /// When the poll has been processed.
    done_at: Instant,
    served: bool,
}

/// The queue of polls. When a poll is processed is known on arrival, since the order does not
/// depend on whether clients stay connected.
#[derive(Clone, Copy, Debug)]
struct Queue {
    /// When all polls so far will have been processed.
    free_at: Instant,
}

impl Queue {
    fn enqueue(&mut self, now: Instant, capacity: Capacity) -> QueuedPoll {
        let begins = self.free_at.max(now);
        let served = begins - now <= capacity.max_queue_time;
        let takes = if served { capacity.service_time } else { capacity.rejection_time };
        self.free_at = begins + takes;
        QueuedPoll { done_at: self.free_at, served }
    }
}

/// A sidecar's address of this discovery, and the version of the list that the sidecar has.
struct Sidecar {
    address: SocketAddr,
    /// The version that its last poll named, and when a poll first named it.
    reported_version: Cell<Option<(u64, Instant)>>,
}

/// The discovery stand-in.
pub struct LimitedDiscovery {
    list: Rc<Discovery>,
    sidecars: Vec<Sidecar>,
    availability: Cell<Availability>,
    availability_changed: Event,
    queue: Cell<Queue>,
    counts: RefCell<PollCounts>,
    connections: Cell<usize>,
    watches: Cell<usize>,
}

impl LimitedDiscovery {
    /// Starts serving `list` on loopback ports, one for each sidecar.
    pub fn start(
        executor: &Executor,
        list: Rc<Discovery>,
        sidecars: usize,
        availability: Availability,
    ) -> io::Result<Rc<LimitedDiscovery>> {
        let listeners = (0..sidecars).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let sidecar = |listener: &TcpListener| {
            listener.local_addr().map(|address| Sidecar { address, reported_version: Cell::new(None) })
        };
        let this = Rc::new(LimitedDiscovery {
            list,
            sidecars: listeners.iter().map(sidecar).collect::<io::Result<_>>()?,
            availability: Cell::new(availability),
            availability_changed: Event::new(),
            queue: Cell::new(Queue { free_at: Instant::now() }),
            counts: RefCell::default(),
            connections: Cell::new(0),
            watches: Cell::new(0),
        });
        for (sidecar, listener) in listeners.into_iter().enumerate() {
            let listener = Async::new(listener)?;
            executor.spawn(this.clone().accept(executor.clone(), listener, sidecar)).detach();
        }
        Ok(this)
    }

    /// The discovery address of a sidecar.
    pub fn address(&self, sidecar: usize) -> SocketAddr {
        self.sidecars[sidecar].address
    }

    /// Changes how polls that arrive from now on are handled, and returns the counts until now. The
    /// new queue is empty; polls in the previous one are processed independently of it.
    pub fn set_availability(&self, availability: Availability) -> PollCounts {
        self.availability.set(availability);
        self.queue.set(Queue { free_at: Instant::now() });
        self.availability_changed.notify(usize::MAX);
        self.counts.take()
    }

    /// Counts since the availability last changed.
    pub fn counts(&self) -> PollCounts {
        self.counts.borrow().clone()
    }

    /// Number of open watches.
    pub fn open_watches(&self) -> usize {
        self.watches.get()
    }

    /// When a sidecar first polled for changes since that version; `None` if its last poll named
    /// another version.
    pub fn has_version_since(&self, sidecar: usize, generation: u64) -> Option<Instant> {
        self.sidecars[sidecar]
            .reported_version
            .get()
            .filter(|(reported_version, _)| *reported_version == generation)
            .map(|(_, since)| since)
    }

    async fn accept(self: Rc<Self>, executor: Executor, listener: Async<TcpListener>, sidecar: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.connections.get() >= CONNECTIONS_LIMIT {
                continue;
            }
            let this = self.clone();
            let connection = async move {
                let _open = CountGuard::new(&this.connections);
                // An error means that the client has closed the connection or does not speak the
                // protocol.
                let _ = this.serve_connection(stream, sidecar).await;
            };
            executor.spawn(connection).detach();
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>, sidecar: usize) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), &stream);
        let mut last_answer: Option<Instant> = None;
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let (poll, now) = (Poll::read(&head), Instant::now());
            self.record_version(sidecar, poll, now);
            let continued = last_answer.is_some_and(|last| now - last <= CONTINUES_WITHIN);
            if !continued {
                self.record_arrival(now);
            }
            let served = match self.availability.get() {
                Availability::ClosingConnections => return Ok(()),
                Availability::Unavailable { delay } => {
                    Timer::after(delay).await;
                    false
                }
                Availability::Serving(_) if continued => true,
                Availability::Serving(capacity) => self.wait_for_turn(&stream, now, capacity).await,
            };
            let served = served && self.wait_for_update(poll).await;
            if !served && matches!(self.availability.get(), Availability::ClosingConnections) {
                return Ok(());
            }
            if served {
                let body = self.list.answer(poll.known_version)?;
                send(&stream, STATUS_OK, &body).await?;
                last_answer = Some(Instant::now());
            } else {
                send(&stream, STATUS_UNAVAILABLE, &[]).await?;
                last_answer = None;
            }
        }
        Ok(())
    }

    /// Waits until a poll has been processed in its turn. Returns whether it is served.
    async fn wait_for_turn(
        &self,
        stream: &Async<TcpStream>,
        arrived_at: Instant,
        capacity: Capacity,
    ) -> bool {
        let mut queue = self.queue.get();
        let turn = queue.enqueue(arrived_at, capacity);
        self.queue.set(queue);
        Timer::at(turn.done_at).await;
        let mut counts = self.counts.borrow_mut();
        match (turn.served, is_connected(stream)) {
            (false, _) => counts.rejected += 1,
            (true, true) => counts.delivered += 1,
            (true, false) => counts.wasted += 1,
        }
        turn.served
    }

    /// Waits until there is a change to answer a poll with, or its hold time ends. Returns false if
    /// discovery becomes unavailable meanwhile.
    async fn wait_for_update(&self, poll: Poll) -> bool {
        let availability_changed = self.availability_changed.listen();
        if poll.known_version != Some(self.list.generation()) {
            return true;
        }
        let _open = CountGuard::new(&self.watches);
        let change = async {
            self.list.wait_for_change(poll).await;
            true
        };
        let unavailable = async {
            availability_changed.await;
            matches!(self.availability.get(), Availability::Serving(_))
        };
        future::or(unavailable, change).await
    }

    fn record_version(&self, sidecar: usize, poll: Poll, now: Instant) {
        let reported_version = &self.sidecars[sidecar].reported_version;
        if reported_version.get().map(|(generation, _)| generation) != poll.known_version {
            reported_version.set(poll.known_version.map(|generation| (generation, now)));
        }
    }

    fn record_arrival(&self, now: Instant) {
        let arrivals = &mut self.counts.borrow_mut().arrivals;
        if arrivals.len() < ARRIVALS_LIMIT {
            arrivals.push(now);
        }
    }
}

#[cfg(test)]
mod tests;
