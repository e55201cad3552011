//! A stand-in for a discovery that can be overrun: it serves polls in turn at a stated rate, and can be down.
//!
//! The list is that of a [`Discovery`]. Each caller has an address of its own here, by which polls of different
//! processes are told apart. A poll that waited longer than the queue allows is turned away with status 503. Discovery
//! does not notice that a caller has gone: its poll is worked off all the same, for nobody. A poll that follows the last
//! answer on its connection soon continues a watch and costs nothing.

use super::discovery::{Discovery, Poll, send};
use super::{CountedIn, Executor, is_there};
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

/// A poll so soon after the last answer on its connection continues a watch (the protocol page).
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Connections served at once, polls in the queue included; others are closed at once.
const CONNECTIONS_LIMIT: usize = 4096;
/// Moments of arrival that are kept between two changes of condition.
const ARRIVALS_LIMIT: usize = 100_000;
const SERVED: &str = "200 OK";
const UNAVAILABLE: &str = "503 Service Unavailable";

/// How much can be served.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The time that one poll takes: the inverse of the rate.
    pub service: Duration,
    /// A poll that waited longer for its turn is turned away.
    pub queue_limit: Duration,
    /// The time that it takes to turn a poll away.
    pub turning_away: Duration,
}

impl Capacity {
    /// So many polls a second; turning one away costs as much as serving it.
    pub fn per_second(rate: u32, queue_limit: Duration) -> Capacity {
        let service = Duration::from_secs(1) / rate.max(1);
        Capacity { service, queue_limit, turning_away: service }
    }
}

/// What discovery does with polls.
#[derive(Clone, Copy, Debug)]
pub enum Condition {
    /// It serves them in turn.
    Serves(Capacity),
    /// It is down: each poll is answered with status 503 after that time, and an open watch at once.
    TurnsAway {
        /// From the arrival of a poll to its answer.
        after: Duration,
    },
    /// It is down: connections are closed, with open watches at once, others with their next poll.
    Closes,
}

/// What was counted since the condition last changed. Polls that continue a watch are left out.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// When polls arrived.
    pub arrived: Vec<Instant>,
    /// Polls served to callers that were there for the answer.
    pub taken: u64,
    /// Polls served to callers that had gone.
    pub wasted: u64,
    /// Polls turned away since they waited too long.
    pub turned_away: u64,
}

impl Counts {
    /// The part of the polls worked on whose answers were taken; 1 where there were none.
    pub fn goodput(&self) -> f64 {
        let worked_on = self.taken + self.wasted + self.turned_away;
        if worked_on == 0 { 1.0 } else { self.taken as f64 / worked_on as f64 }
    }
}

/// What becomes of a poll in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Turn {
    /// When discovery has worked it off.
    ends: Instant,
    served: bool,
}

/// The queue. A poll's turn is known when it arrives, since polls are worked off in turn whatever becomes of their
/// callers.
#[derive(Clone, Copy, Debug)]
struct Queue {
    /// When all polls so far are worked off.
    free: Instant,
}

impl Queue {
    fn arrive(&mut self, now: Instant, capacity: Capacity) -> Turn {
        let begins = self.free.max(now);
        let served = begins - now <= capacity.queue_limit;
        let takes = if served { capacity.service } else { capacity.turning_away };
        self.free = begins + takes;
        Turn { ends: self.free, served }
    }
}

/// What is known of a caller.
struct Caller {
    address: SocketAddr,
    /// The version that its last poll said it has, and when a poll first said so.
    has: Cell<Option<(u64, Instant)>>,
}

/// The stand-in.
pub struct Overrun {
    list: Rc<Discovery>,
    callers: Vec<Caller>,
    condition: Cell<Condition>,
    changed: Event,
    queue: Cell<Queue>,
    counts: RefCell<Counts>,
    connections: Cell<usize>,
    watches: Cell<usize>,
}

impl Overrun {
    /// Serves that list on ports of loopback, one for each caller.
    pub fn start(
        executor: &Executor,
        list: Rc<Discovery>,
        callers: usize,
        condition: Condition,
    ) -> io::Result<Rc<Overrun>> {
        let listeners = (0..callers).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let caller = |listener: &TcpListener| {
            listener.local_addr().map(|address| Caller { address, has: Cell::new(None) })
        };
        let this = Rc::new(Overrun {
            list,
            callers: listeners.iter().map(caller).collect::<io::Result<_>>()?,
            condition: Cell::new(condition),
            changed: Event::new(),
            queue: Cell::new(Queue { free: Instant::now() }),
            counts: RefCell::default(),
            connections: Cell::new(0),
            watches: Cell::new(0),
        });
        for (caller, listener) in listeners.into_iter().enumerate() {
            let listener = Async::new(listener)?;
            executor.spawn(this.clone().accept(executor.clone(), listener, caller)).detach();
        }
        Ok(this)
    }

    /// Where a caller finds it.
    pub fn address(&self, caller: usize) -> SocketAddr {
        self.callers[caller].address
    }

    /// Changes what it does with polls that arrive from now on, and says what was counted until now. The queue is
    /// empty then; polls that are in it are worked off beside the new one.
    pub fn change(&self, condition: Condition) -> Counts {
        self.condition.set(condition);
        self.queue.set(Queue { free: Instant::now() });
        self.changed.notify(usize::MAX);
        self.counts.take()
    }

    /// What was counted since the condition last changed.
    pub fn counts(&self) -> Counts {
        self.counts.borrow().clone()
    }

    /// Watches that are open.
    pub fn open_watches(&self) -> usize {
        self.watches.get()
    }

    /// When a caller first polled for what is newer than that version; `None` where its last poll was for another.
    pub fn has_since(&self, caller: usize, generation: u64) -> Option<Instant> {
        self.callers[caller].has.get().filter(|(has, _)| *has == generation).map(|(_, since)| since)
    }

    async fn accept(self: Rc<Self>, executor: Executor, listener: Async<TcpListener>, caller: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.connections.get() >= CONNECTIONS_LIMIT {
                continue;
            }
            let this = self.clone();
            let connection = async move {
                let _open = CountedIn::new(&this.connections);
                // An error is a caller that has gone, or does not speak the protocol.
                let _ = this.connection(stream, caller).await;
            };
            executor.spawn(connection).detach();
        }
    }

    async fn connection(&self, stream: Async<TcpStream>, caller: usize) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), &stream);
        let mut last_answer: Option<Instant> = None;
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let (poll, now) = (Poll::read(&head), Instant::now());
            self.note(caller, poll, now);
            let continued = last_answer.is_some_and(|last| now - last <= CONTINUES_WITHIN);
            if !continued {
                self.note_arrival(now);
            }
            let served = match self.condition.get() {
                Condition::Closes => return Ok(()),
                Condition::TurnsAway { after } => {
                    Timer::after(after).await;
                    false
                }
                Condition::Serves(_) if continued => true,
                Condition::Serves(capacity) => self.wait_for_turn(&stream, now, capacity).await,
            };
            let served = served && self.watch(poll).await;
            if !served && matches!(self.condition.get(), Condition::Closes) {
                return Ok(());
            }
            if served {
                let body = self.list.answer(poll.from)?;
                send(&stream, SERVED, &body).await?;
                last_answer = Some(Instant::now());
            } else {
                send(&stream, UNAVAILABLE, &[]).await?;
                last_answer = None;
            }
        }
        Ok(())
    }

    /// Works off a poll in its turn; says whether it is served.
    async fn wait_for_turn(&self, stream: &Async<TcpStream>, arrived: Instant, capacity: Capacity) -> bool {
        let mut queue = self.queue.get();
        let turn = queue.arrive(arrived, capacity);
        self.queue.set(queue);
        Timer::at(turn.ends).await;
        let mut counts = self.counts.borrow_mut();
        match (turn.served, is_there(stream)) {
            (false, _) => counts.turned_away += 1,
            (true, true) => counts.taken += 1,
            (true, false) => counts.wasted += 1,
        }
        turn.served
    }

    /// Waits until there is something for a poll, or its wait is over; false where discovery goes down meanwhile.
    async fn watch(&self, poll: Poll) -> bool {
        let changed = self.changed.listen();
        if poll.from != Some(self.list.generation()) {
            return true;
        }
        let _open = CountedIn::new(&self.watches);
        let news = async {
            self.list.wait_for_news(poll).await;
            true
        };
        let down = async {
            changed.await;
            matches!(self.condition.get(), Condition::Serves(_))
        };
        future::or(down, news).await
    }

    fn note(&self, caller: usize, poll: Poll, now: Instant) {
        let has = &self.callers[caller].has;
        if has.get().map(|(generation, _)| generation) != poll.from {
            has.set(poll.from.map(|generation| (generation, now)));
        }
    }

    fn note_arrival(&self, now: Instant) {
        let arrived = &mut self.counts.borrow_mut().arrived;
        if arrived.len() < ARRIVALS_LIMIT {
            arrived.push(now);
        }
    }
}

#[cfg(test)]
mod tests;
