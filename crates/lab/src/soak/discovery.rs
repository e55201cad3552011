//! The discovery stand-in of a soak: one endpoint list, two addresses for each process, and the
//! handling of polls by the current [`DiscoveryCondition`].

mod answers;

use super::addresses;
use super::plan::{AnswerStyle, DiscoveryCondition, WatchFault};
use super::records::*;
use crate::live::discovery::Line;
use crate::live::{Executor, is_connected};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Head};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A poll that follows the last answer on its connection within this time continues a watch (the
/// protocol specification).
const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Delay before a poll is rejected "at once", and before listening is retried.
const REJECT_DELAY: Duration = Duration::from_millis(6);
/// Bounds, in seconds, of the random delay of a poll that finds a place in a full queue.
const QUEUE_DELAY_S: (f64, f64) = (0.2, 1.0);
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Number of discovery addresses that each process is given.
pub const ADDRESSES_PER_PROCESS: usize = 2;

/// How an open watch ends.
#[derive(Clone, Copy)]
enum WatchEnd {
    Changed,
    HoldExpired,
    Down,
    Fault(WatchFault),
}

/// A poll in progress, as the records need it.
#[derive(Clone, Copy)]
struct Watch {
    member: usize,
    opened: Timestamp,
    hold: Duration,
}

/// The discovery stand-in.
pub struct Discovery {
    run_start: Instant,
    condition: Cell<DiscoveryCondition>,
    condition_changed: Event,
    watch_fault: Cell<(u64, WatchFault)>,
    answer_style: Cell<AnswerStyle>,
    /// When a watch was last answered at each address.
    last_answers: RefCell<HashMap<SocketAddr, Instant>>,
    version: Cell<u64>,
    /// Each line of the list with the version in which it last changed.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    list_changed: Event,
    random: RefCell<fastrand::Rng>,
    /// The periods in which discovery was reachable.
    pub reachable_periods: RefCell<Vec<ReachablePeriod>>,
    /// For each process, the versions sent to it, and when.
    pub sent_versions: RefCell<Vec<Vec<(u64, Timestamp)>>>,
    /// Watches that became silent.
    pub silent_watches: RefCell<Vec<SilentWatch>>,
    /// Counts of polls by outcome.
    pub polls: Cell<Polls>,
}

impl Discovery {
    /// Creates a discovery stand-in that is up and has an empty list.
    pub fn new(run_start: Instant, seed: u64) -> Rc<Discovery> {
        Rc::new(Discovery {
            run_start,
            condition: Cell::new(DiscoveryCondition::Up),
            condition_changed: Event::new(),
            watch_fault: Cell::new((0, WatchFault::Reset)),
            answer_style: Cell::new(AnswerStyle::Changes),
            last_answers: RefCell::default(),
            version: Cell::new(0),
            lines: RefCell::default(),
            list_changed: Event::new(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            reachable_periods: RefCell::new(vec![ReachablePeriod { from: Duration::ZERO, until: None }]),
            sent_versions: RefCell::default(),
            silent_watches: RefCell::default(),
            polls: Cell::default(),
        })
    }

    /// Starts listening for one more process and returns the addresses.
    pub fn add_member(
        self: &Rc<Self>,
        executor: &Executor,
    ) -> io::Result<[SocketAddr; ADDRESSES_PER_PROCESS]> {
        let member = {
            let mut sent_versions = self.sent_versions.borrow_mut();
            sent_versions.push(Vec::new());
            sent_versions.len() - 1
        };
        let mut addresses = [SocketAddr::from((addresses::host(), 0)); ADDRESSES_PER_PROCESS];
        for address in &mut addresses {
            let listener = addresses::listen()?;
            *address = listener.local_addr()?;
            let accept = self.clone().accept(executor.clone(), listener, *address, member);
            executor.spawn(accept).detach();
        }
        Ok(addresses)
    }

    /// Updates lines of the list in one new version, which is returned.
    pub fn update_lines(&self, lines: impl IntoIterator<Item = Line>) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        let lines = lines.into_iter().map(|line| (line.instance_id.clone(), (version, line)));
        self.lines.borrow_mut().extend(lines);
        self.list_changed.notify(usize::MAX);
        version
    }

    /// Changes the style of answers.
    pub fn set_answer_style(&self, style: AnswerStyle) {
        self.answer_style.set(style);
    }

    /// Changes how polls are handled.
    pub fn set_condition(&self, condition: DiscoveryCondition) {
        let was_reachable = self.condition.replace(condition).is_reachable();
        let now = self.run_start.elapsed();
        let mut reachable = self.reachable_periods.borrow_mut();
        match (was_reachable, condition.is_reachable()) {
            (true, false) => reachable
                .iter_mut()
                .filter(|period| period.until.is_none())
                .for_each(|period| period.until = Some(now)),
            (false, true) => reachable.push(ReachablePeriod { from: now, until: None }),
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

    /// Accepts connections on `address`. The listener is closed while discovery refuses
    /// connections.
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
            let Some(open_listener) = &listener else {
                Timer::after(REJECT_DELAY).await;
                continue;
            };
            let accepted = future::or(async { open_listener.accept().await.ok() }, async {
                changed.await;
                None
            });
            if let Some((stream, _)) = accepted.await {
                let this = self.clone();
                executor
                    .spawn(async move { drop(this.connection(stream, address, member).await) })
                    .detach();
            }
        }
    }

    async fn connection(
        &self,
        stream: Async<TcpStream>,
        address: SocketAddr,
        member: usize,
    ) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), &stream);
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let opened = Instant::now();
            let last_answer = self.last_answers.borrow_mut().remove(&address);
            let continues = last_answer.is_some_and(|last| last.elapsed() <= WATCH_CONTINUES_WITHIN);
            let (from, hold) = poll_query(&head);
            let watch = Watch { member, opened: opened.saturating_duration_since(self.run_start), hold };
            if !continues && !self.admit(&stream, watch).await? {
                continue;
            }
            let end = self.wait_for_change(from, hold).await;
            match end {
                // Nothing is written to a client that has closed its connection.
                WatchEnd::Changed | WatchEnd::HoldExpired if !is_connected(&stream) => return Ok(()),
                WatchEnd::Changed | WatchEnd::HoldExpired => {
                    let (version, style) = (self.version.get(), self.style_of_answer(from));
                    let sent = self.answer(&stream, from, style).await;
                    // What was written counts as notified, also where it cannot be applied.
                    if sent.is_ok() || style == AnswerStyle::Cut {
                        self.sent_versions.borrow_mut()[member].push((version, self.run_start.elapsed()));
                    }
                    sent?;
                    if !hold.is_zero() {
                        self.last_answers.borrow_mut().insert(address, Instant::now());
                    }
                }
                WatchEnd::Down => return self.end_watch(&stream, watch).await,
                WatchEnd::Fault(WatchFault::Reset) => return reset(&stream),
                WatchEnd::Fault(WatchFault::TruncatedAnswer) => {
                    (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"gen").await?;
                    return Ok(());
                }
                WatchEnd::Fault(WatchFault::Silence) => return self.stay_silent(&stream, watch).await,
            }
        }
        Ok(())
    }

    /// Applies the current condition to a poll and returns whether the poll is to be served. The
    /// answer of a poll that is not served is sent here.
    async fn admit(&self, stream: &Async<TcpStream>, watch: Watch) -> io::Result<bool> {
        let draw = self.random.borrow_mut().f64();
        match self.condition.get() {
            DiscoveryCondition::Up => Ok(true),
            DiscoveryCondition::Slow(after) => {
                Timer::after(after).await;
                Ok(true)
            }
            DiscoveryCondition::Overloaded(percent) if draw * 100.0 < f64::from(percent) => {
                self.count_poll(|polls| polls.rejected += 1);
                self.answer_unavailable(stream, REJECT_DELAY).await?;
                Ok(false)
            }
            DiscoveryCondition::Overloaded(_) => {
                Timer::after(Duration::from_secs_f64(
                    QUEUE_DELAY_S.0 + (QUEUE_DELAY_S.1 - QUEUE_DELAY_S.0) * draw,
                ))
                .await;
                Ok(true)
            }
            DiscoveryCondition::Unavailable(after) => {
                self.count_poll(|polls| polls.failed += 1);
                self.answer_unavailable(stream, after).await?;
                Ok(false)
            }
            DiscoveryCondition::AgentCutOff => {
                self.wait_for_return().await;
                Ok(true)
            }
            DiscoveryCondition::Resets | DiscoveryCondition::Refuses => {
                self.count_poll(|polls| polls.failed += 1);
                reset(stream)?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            DiscoveryCondition::Silent => {
                self.count_poll(|polls| polls.failed += 1);
                self.stay_silent(stream, watch).await?;
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }

    /// Ends an open watch when discovery goes down.
    async fn end_watch(&self, stream: &Async<TcpStream>, watch: Watch) -> io::Result<()> {
        match self.condition.get() {
            DiscoveryCondition::Silent => self.stay_silent(stream, watch).await,
            DiscoveryCondition::Unavailable(_) => self.answer_unavailable(stream, Duration::ZERO).await,
            _ => reset(stream),
        }
    }

    async fn answer_unavailable(&self, mut stream: &Async<TcpStream>, after: Duration) -> io::Result<()> {
        Timer::after(after).await;
        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await
    }

    /// Sends nothing until the client closes the connection. A poll with a hold time is recorded as
    /// a silent watch.
    async fn stay_silent(&self, mut stream: &Async<TcpStream>, watch: Watch) -> io::Result<()> {
        let Watch { member, opened, hold } = watch;
        if !hold.is_zero() {
            let silent_since = self.run_start.elapsed();
            self.silent_watches.borrow_mut().push(SilentWatch { member, opened, hold, silent_since });
        }
        let mut buffer = Buffer::default();
        while buffer.fill(&mut stream).await? > 0 {
            buffer.consume(usize::MAX);
        }
        Ok(())
    }

    /// Waits until discovery is reachable again.
    async fn wait_for_return(&self) {
        loop {
            let changed = self.condition_changed.listen();
            if self.condition.get().is_reachable() {
                return;
            }
            changed.await;
        }
    }

    fn count_poll(&self, update: impl FnOnce(&mut Polls)) {
        let mut polls = self.polls.get();
        update(&mut polls);
        self.polls.set(polls);
    }

    /// Waits until the list differs from the version `from` or the watch ends for another reason.
    async fn wait_for_change(&self, from: Option<u64>, hold: Duration) -> WatchEnd {
        let (until, fault_number) = (Instant::now() + hold, self.watch_fault.get().0);
        loop {
            let (list_changed, changed) = (self.list_changed.listen(), self.condition_changed.listen());
            if from != Some(self.version.get()) {
                return WatchEnd::Changed;
            }
            let woken = async {
                future::or(list_changed, changed).await;
                true
            };
            let woken = future::or(woken, async {
                Timer::at(until).await;
                false
            });
            if !woken.await {
                return WatchEnd::HoldExpired;
            }
            if self.condition.get() == DiscoveryCondition::AgentCutOff {
                self.wait_for_return().await;
            }
            if !self.condition.get().is_reachable() {
                return WatchEnd::Down;
            }
            if self.watch_fault.get().0 != fault_number {
                return WatchEnd::Fault(self.watch_fault.get().1);
            }
        }
    }
}

/// The version that the client has and the hold time, from the query string of a poll.
fn poll_query(head: &Head) -> (Option<u64>, Duration) {
    let query = head.line[1].split_once('?').map_or("", |(_, query)| query);
    let number = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<u64>().ok())
    };
    let hold = Duration::from_millis(number("hold_ms").unwrap_or(0)).min(MAX_HOLD);
    (number("from"), hold)
}

/// Makes a connection end with a reset when it is dropped.
pub(super) fn reset(stream: &Async<TcpStream>) -> io::Result<()> {
    socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))
}
