//! The stand-in discovery of a soak: one list, two addresses for each process, and what it does with polls by condition.

use super::addresses;
use super::plan::{DiscoveryCondition, WatchFault};
use super::records::*;
use crate::live::discovery::{Answers, Line};
use crate::live::{Executor, is_connected};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Head};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A poll so soon after the last answer on its connection continues a watch (the protocol page).
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// A poll that is turned away at once is, after so long.
const AT_ONCE: Duration = Duration::from_millis(6);
/// A poll that finds a place in a full queue is served after so long, drawn.
const QUEUE: (f64, f64) = (0.2, 1.0);
const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// How many addresses each process knows discovery by.
pub const PLACES: usize = 2;

/// What becomes of an open watch.
#[derive(Clone, Copy)]
enum WatchEnd {
    News,
    TimeIsUp,
    Down,
    Fault(WatchFault),
}

/// A poll under way, as the records need it.
#[derive(Clone, Copy)]
struct Watch {
    member: usize,
    begun: Moment,
    hold: Duration,
}

/// The stand-in.
pub struct Discovery {
    began: Instant,
    condition: Cell<DiscoveryCondition>,
    condition_changed: Event,
    watch_fault: Cell<(u64, WatchFault)>,
    version: Cell<u64>,
    /// Each line with the version in which it last changed.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    news: Event,
    random: RefCell<fastrand::Rng>,
    /// When it could be reached, and so on: what the oracle needs.
    pub reachable: RefCell<Vec<Reachable>>,
    /// For each process, versions written.
    pub written: RefCell<Vec<Vec<(u64, Moment)>>>,
    /// Watches that fell silent.
    pub silent_watches: RefCell<Vec<SilentWatch>>,
    /// Polls by what became of them.
    pub polls: Cell<Polls>,
}

impl Discovery {
    /// A discovery that is up, with an empty list.
    pub fn new(began: Instant, seed: u64) -> Rc<Discovery> {
        Rc::new(Discovery {
            began,
            condition: Cell::new(DiscoveryCondition::Up),
            condition_changed: Event::new(),
            watch_fault: Cell::new((0, WatchFault::AreReset)),
            version: Cell::new(0),
            lines: RefCell::default(),
            news: Event::new(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            reachable: RefCell::new(vec![Reachable { from: Duration::ZERO, until: None }]),
            written: RefCell::default(),
            silent_watches: RefCell::default(),
            polls: Cell::default(),
        })
    }

    /// Listens for one more process, and says where.
    pub fn add_member(self: &Rc<Self>, executor: &Executor) -> io::Result<[SocketAddr; PLACES]> {
        let member = {
            let mut written = self.written.borrow_mut();
            written.push(Vec::new());
            written.len() - 1
        };
        let mut addresses = [SocketAddr::from((addresses::host(), 0)); PLACES];
        for address in &mut addresses {
            let listener = addresses::listen()?;
            *address = listener.local_addr()?;
            let accept = self.clone().accept(executor.clone(), listener, *address, member);
            executor.spawn(accept).detach();
        }
        Ok(addresses)
    }

    /// Changes a line of the list and says the new version.
    pub fn list(&self, line: Line) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.lines.borrow_mut().insert(line.instance_id.clone(), (version, line));
        self.news.notify(usize::MAX);
        version
    }

    /// Changes what it does with polls.
    pub fn change(&self, condition: DiscoveryCondition) {
        let was_reachable = self.condition.replace(condition).is_reachable();
        let now = self.began.elapsed();
        let mut reachable = self.reachable.borrow_mut();
        match (was_reachable, condition.is_reachable()) {
            (true, false) => {
                reachable.iter_mut().filter(|r| r.until.is_none()).for_each(|r| r.until = Some(now))
            }
            (false, true) => reachable.push(Reachable { from: now, until: None }),
            _ => {}
        }
        drop(reachable);
        self.condition_changed.notify(usize::MAX);
    }

    /// Breaks the watches that are open.
    pub fn break_watches(&self, fault: WatchFault) {
        self.watch_fault.set((self.watch_fault.get().0 + 1, fault));
        self.condition_changed.notify(usize::MAX);
    }

    /// The whole list, as it stands in a configuration too.
    pub fn whole_list(&self) -> String {
        self.answer(None)
    }

    fn answer(&self, from: Option<u64>) -> String {
        let lines = self.lines.borrow();
        let wanted = |(changed, line): &&(u64, Line)| match from {
            Some(from) => *changed > from,
            // A whole list leaves out what drains: that is gone, also where it still answers.
            None => line.lifecycle == "active",
        };
        let instances: Vec<&Line> = lines.values().filter(wanted).map(|(_, line)| line).collect();
        let list = serde_json::json!({
            "generation": self.version.get(), "reset": from.is_none(), "instances": instances,
        });
        match self.random.borrow_mut().u32(0..4) {
            0 => serde_json::to_string_pretty(&list).unwrap_or_default(),
            _ => list.to_string(),
        }
    }

    /// Accepts for as long as it listens; while it refuses, nobody does.
    async fn accept(
        self: Rc<Self>,
        executor: Executor,
        listener: TcpListener,
        address: SocketAddr,
        member: usize,
    ) {
        let mut listener = Async::new(listener).ok();
        loop {
            let changed = self.condition_changed.listen();
            if self.condition.get() == DiscoveryCondition::Refuses {
                listener = None;
                changed.await;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).and_then(Async::new).ok();
            }
            let Some(listens) = &listener else {
                Timer::after(AT_ONCE).await;
                continue;
            };
            let accepted = future::or(async { listens.accept().await.ok() }, async {
                changed.await;
                None
            });
            if let Some((stream, _)) = accepted.await {
                let this = self.clone();
                executor.spawn(async move { drop(this.connection(stream, member).await) }).detach();
            }
        }
    }

    async fn connection(&self, stream: Async<TcpStream>, member: usize) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), &stream);
        let mut last_answer: Option<Instant> = None;
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let begun = Instant::now();
            let continues = last_answer.is_some_and(|last| last.elapsed() <= CONTINUES_WITHIN);
            let (from, hold) = query(&head);
            let watch = Watch { member, begun: begun.saturating_duration_since(self.began), hold };
            if !continues && !self.admit(&stream, watch).await? {
                continue;
            }
            let end = self.wait(from, hold).await;
            match end {
                // Nothing is written to a caller that has closed.
                WatchEnd::News | WatchEnd::TimeIsUp if !is_connected(&stream) => return Ok(()),
                WatchEnd::News | WatchEnd::TimeIsUp => {
                    let (version, body) = (self.version.get(), self.answer(from));
                    self.send(&stream, &body).await?;
                    self.written.borrow_mut()[member].push((version, self.began.elapsed()));
                    last_answer = (!hold.is_zero()).then(Instant::now);
                }
                WatchEnd::Down => return self.go_down(&stream, watch).await,
                WatchEnd::Fault(WatchFault::AreReset) => return reset(&stream),
                WatchEnd::Fault(WatchFault::EndInMidAnswer) => {
                    (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"gen").await?;
                    return Ok(());
                }
                WatchEnd::Fault(WatchFault::FallSilent) => return self.stay_silent(&stream, watch).await,
            }
        }
        Ok(())
    }

    /// Whether a poll is served, after what its condition asks of it; the answer of one that is not is sent here.
    async fn admit(&self, stream: &Async<TcpStream>, watch: Watch) -> io::Result<bool> {
        let draw = self.random.borrow_mut().f64();
        match self.condition.get() {
            DiscoveryCondition::Up => Ok(true),
            DiscoveryCondition::Slow(after) => {
                Timer::after(after).await;
                Ok(true)
            }
            DiscoveryCondition::Crowded(of_hundred) if draw * 100.0 < f64::from(of_hundred) => {
                self.count(|polls| polls.turned_away += 1);
                self.refuse(stream, AT_ONCE).await?;
                Ok(false)
            }
            DiscoveryCondition::Crowded(_) => {
                Timer::after(Duration::from_secs_f64(QUEUE.0 + (QUEUE.1 - QUEUE.0) * draw)).await;
                Ok(true)
            }
            DiscoveryCondition::Unavailable(after) => {
                self.count(|polls| polls.failed += 1);
                self.refuse(stream, after).await?;
                Ok(false)
            }
            DiscoveryCondition::Resets | DiscoveryCondition::Refuses => {
                self.count(|polls| polls.failed += 1);
                reset(stream)?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            DiscoveryCondition::Silent => {
                self.count(|polls| polls.failed += 1);
                self.stay_silent(stream, watch).await?;
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }

    /// Ends an open watch as discovery goes down.
    async fn go_down(&self, stream: &Async<TcpStream>, watch: Watch) -> io::Result<()> {
        match self.condition.get() {
            DiscoveryCondition::Silent => self.stay_silent(stream, watch).await,
            DiscoveryCondition::Unavailable(_) => self.refuse(stream, Duration::ZERO).await,
            _ => reset(stream),
        }
    }

    async fn refuse(&self, mut stream: &Async<TcpStream>, after: Duration) -> io::Result<()> {
        Timer::after(after).await;
        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await
    }

    /// Says nothing until the caller closes; a poll that waits is a watch that has fallen silent.
    async fn stay_silent(&self, mut stream: &Async<TcpStream>, watch: Watch) -> io::Result<()> {
        let Watch { member, begun, hold } = watch;
        if !hold.is_zero() {
            let silent = self.began.elapsed();
            self.silent_watches.borrow_mut().push(SilentWatch { member, begun, hold, silent });
        }
        let mut buffer = Buffer::default();
        while buffer.fill(&mut stream).await? > 0 {
            buffer.consume(usize::MAX);
        }
        Ok(())
    }

    /// Sends an answer whole or in pieces.
    async fn send(&self, mut stream: &Async<TcpStream>, body: &str) -> io::Result<()> {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let bytes = [head.as_bytes(), body.as_bytes()].concat();
        let pieces = self.random.borrow_mut().usize(1..5);
        for piece in bytes.chunks(bytes.len() / pieces + 1) {
            if !is_connected(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            stream.write_all(piece).await?;
            Timer::after(Duration::from_millis(pieces as u64 - 1)).await;
        }
        self.count(|polls| {
            let Answers { count, bytes: sent } = polls.answered;
            polls.answered = Answers { count: count + 1, bytes: sent + bytes.len() as u64 };
        });
        Ok(())
    }

    fn count(&self, count: impl FnOnce(&mut Polls)) {
        let mut polls = self.polls.get();
        count(&mut polls);
        self.polls.set(polls);
    }

    /// Waits until there is something for a poll.
    async fn wait(&self, from: Option<u64>, hold: Duration) -> WatchEnd {
        let (until, fault) = (Instant::now() + hold, self.watch_fault.get().0);
        loop {
            let (news, changed) = (self.news.listen(), self.condition_changed.listen());
            if from != Some(self.version.get()) {
                return WatchEnd::News;
            }
            let happened = async {
                future::or(news, changed).await;
                true
            };
            let happened = future::or(happened, async {
                Timer::at(until).await;
                false
            });
            if !happened.await {
                return WatchEnd::TimeIsUp;
            }
            if !self.condition.get().is_reachable() {
                return WatchEnd::Down;
            }
            if self.watch_fault.get().0 != fault {
                return WatchEnd::Fault(self.watch_fault.get().1);
            }
        }
    }
}

/// The version that a poll has, and how long it waits.
fn query(head: &Head) -> (Option<u64>, Duration) {
    let query = head.line[1].split_once('?').map_or("", |(_, query)| query);
    let figure = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<u64>().ok())
    };
    let hold = Duration::from_millis(figure("hold_ms").unwrap_or(0)).min(LONGEST_HOLD);
    (figure("from"), hold)
}

/// Resets a connection once it is dropped.
pub(super) fn reset(stream: &Async<TcpStream>) -> io::Result<()> {
    socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))
}
