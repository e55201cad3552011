//! A UDP relay on loopback between members. Each member advertises an address of the relay, behind
//! which is the real socket of its process. The relay identifies the sender by its real socket and
//! the receiver by the relay address that was written to, so each directed link can have faults of
//! its own.
//!
//! Members must reply to the address that a message names, never to its source address; only then
//! is the relay transparent. A datagram from a socket that is not, or no longer, a member's is
//! dropped and counted.

use super::links::{LinkChange, LinkCounts, Links, Schedule};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottonpoint_decide::Time;
use event_listener::Event;
use futures_lite::future;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The largest number of members of a relay. Each takes a socket here and a process elsewhere.
pub const MEMBERS_LIMIT: usize = 64;
/// The largest number of delayed datagrams; further ones are dropped and counted. At 1,200 bytes
/// each they take 20 MB.
const IN_FLIGHT_LIMIT: usize = 16_384;
/// The number of recent datagrams that are kept for [`Relay::replay`]. The oldest is evicted first.
const RECENT_LIMIT: usize = 4_096;
/// The receive buffer's size in bytes, more than any datagram over IPv4 has.
const DATAGRAM_LIMIT: usize = 65_536;
/// The delay after a receive error, which on loopback the system reports only when it is short of
/// memory.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// What one member has sent and received through the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams that the member sent, whatever happened to them later.
    pub sent: u64,
    /// Payload bytes of the datagrams that it sent, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Datagrams that were delivered to the member.
    pub received: u64,
    /// Payload bytes of the datagrams that were delivered.
    pub received_bytes: u64,
}

/// Datagrams that the relay could not deliver, apart from those that links dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// Sent by a socket that is no member's.
    pub unknown_sender: u64,
    /// Sent to a member whose process address is not known.
    pub unknown_receiver: u64,
    /// Dropped because too many datagrams were delayed.
    pub overflow: u64,
    /// Refused by the system when they were sent on.
    pub send_failed: u64,
}

/// A datagram as it was received from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The sending member.
    pub from: usize,
    /// The member to which it was sent.
    pub to: usize,
    /// The payload.
    pub bytes: Arc<[u8]>,
}

struct State {
    links: Links,
    schedule: Schedule,
    /// The address at which the process of each member listens.
    process_addresses: Vec<Option<SocketAddrV4>>,
    members_by_address: FxHashMap<SocketAddrV4, usize>,
    /// Delayed datagrams by due time and number, earliest first. Those with the same due time keep
    /// the order in which they came.
    due_times: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: FxHashMap<u64, Datagram>,
    next_number: u64,
    traffic: Vec<Traffic>,
    undelivered: Undelivered,
    recent: VecDeque<Datagram>,
}

struct Shared {
    began: Instant,
    sockets: Vec<Async<UdpSocket>>,
    addresses: Vec<SocketAddrV4>,
    /// Never locked during I/O.
    state: Mutex<State>,
    /// Notified when something may be due earlier than before.
    schedule_changed: Event,
}

/// A running relay. Its thread is stopped on drop.
pub struct Relay {
    shared: Arc<Shared>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Binds an address for each member and starts to relay on a thread of its own. Fails with more
    /// than [`MEMBERS_LIMIT`] members, or when a socket cannot be bound.
    pub fn start(members: usize, seed: u64) -> io::Result<Relay> {
        if members > MEMBERS_LIMIT {
            return Err(io::Error::other(format!(
                "the relay cannot take {members} members: at most {MEMBERS_LIMIT}"
            )));
        }
        let sockets = (0..members).map(|_| Async::<UdpSocket>::bind((Ipv4Addr::LOCALHOST, 0)));
        let sockets = sockets.collect::<io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(|socket| match socket.get_ref().local_addr()? {
            SocketAddr::V4(address) => Ok(address),
            SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
        });
        let addresses = addresses.collect::<io::Result<Vec<_>>>()?;
        let state = Mutex::new(State {
            links: Links::new(members, seed),
            schedule: Schedule::default(),
            process_addresses: vec![None; members],
            members_by_address: FxHashMap::default(),
            due_times: BinaryHeap::new(),
            in_flight: FxHashMap::default(),
            next_number: 0,
            traffic: vec![Traffic::default(); members],
            undelivered: Undelivered::default(),
            recent: VecDeque::new(),
        });
        let (began, schedule_changed) = (Instant::now(), Event::new());
        let shared = Arc::new(Shared { began, sockets, addresses, state, schedule_changed });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread_shared = shared.clone();
        let thread = thread::Builder::new().name("relay".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for member in 0..thread_shared.sockets.len() {
                executor.spawn(receive_from(thread_shared.clone(), member)).detach();
            }
            executor.spawn(deliver_due(thread_shared)).detach();
            let _ = async_io::block_on(executor.run(stopped.recv()));
        })?;
        Ok(Relay { shared, stop: Some(stop), thread: Some(thread) })
    }

    /// The relay's address for a member, which the member advertises. Panics for a member that does
    /// not exist.
    pub fn address(&self, member: usize) -> SocketAddrV4 {
        self.shared.addresses[member]
    }

    /// Sets the address at which the process of a member listens. Datagrams from an earlier process
    /// of this member then come from an unknown sender.
    pub fn set_process_address(&self, member: usize, address: SocketAddrV4) {
        self.clear_process_address(member);
        let mut state = self.shared.state();
        state.members_by_address.insert(address, member);
        state.process_addresses[member] = Some(address);
    }

    /// Records that the process of a member has exited, because the system may give its port to
    /// another process.
    pub fn clear_process_address(&self, member: usize) {
        let mut state = self.shared.state();
        if let Some(earlier) = state.process_addresses[member].take() {
            state.members_by_address.remove(&earlier);
        }
    }

    /// Changes links now.
    pub fn change(&self, change: &LinkChange) {
        self.shared.state().links.change(change);
    }

    /// Changes links after a delay.
    pub fn change_after(&self, after: Duration, change: LinkChange) {
        let at = self.shared.now() + after;
        self.shared.state().schedule.add(at, change);
        self.shared.schedule_changed.notify(1);
    }

    /// The traffic of each member so far.
    pub fn traffic(&self) -> Vec<Traffic> {
        self.shared.state().traffic.clone()
    }

    /// The counts of a directed link so far, or `None` for a member that does not exist.
    pub fn counts(&self, from: usize, to: usize) -> Option<LinkCounts> {
        self.shared.state().links.counts(from, to)
    }

    /// The sum of the counts of all links so far.
    pub fn sum(&self) -> LinkCounts {
        self.shared.state().links.sum()
    }

    /// The datagrams that could not be delivered so far.
    pub fn undelivered(&self) -> Undelivered {
        self.shared.state().undelivered
    }

    /// The most recent datagrams that members have sent, oldest first.
    pub fn recent_datagrams(&self) -> Vec<Datagram> {
        self.shared.state().recent.iter().cloned().collect()
    }

    /// Delivers a datagram to its receiver, bypassing the links. This stands for an attacker who
    /// replays recorded datagrams or sends forged ones.
    pub fn replay(&self, datagram: &Datagram) {
        self.shared.deliver(datagram);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    /// Counts and stores a datagram. Returns `None` if the sender is no member's socket.
    fn record(&mut self, from: SocketAddrV4, to: usize, bytes: &[u8]) -> Option<Datagram> {
        let Some(&from) = self.members_by_address.get(&from) else {
            self.undelivered.unknown_sender += 1;
            return None;
        };
        self.traffic[from].sent += 1;
        self.traffic[from].sent_bytes += bytes.len() as u64;
        let datagram = Datagram { from, to, bytes: bytes.into() };
        if self.recent.len() == RECENT_LIMIT {
            self.recent.pop_front();
        }
        self.recent.push_back(datagram.clone());
        Some(datagram)
    }

    /// Sends a datagram over its link. Returns how many copies arrive at once, and whether any copy
    /// was scheduled for later.
    fn transmit(&mut self, now: Time, datagram: &Datagram) -> (usize, bool) {
        let (mut at_once, mut scheduled) = (0, false);
        self.schedule.apply_due(now, &mut self.links);
        for at in self.links.pass(now, datagram.from, datagram.to) {
            if at <= now {
                at_once += 1;
            } else if self.in_flight.len() < IN_FLIGHT_LIMIT {
                self.due_times.push(Reverse((at, self.next_number)));
                self.in_flight.insert(self.next_number, datagram.clone());
                self.next_number += 1;
                scheduled = true;
            } else {
                self.undelivered.overflow += 1;
            }
        }
        (at_once, scheduled)
    }

    /// Removes the datagrams that are due, and returns them with the next time at which something
    /// is due.
    fn take_due(&mut self, now: Time) -> (Vec<Datagram>, Option<Time>) {
        self.schedule.apply_due(now, &mut self.links);
        let mut due = Vec::new();
        while let Some(Reverse((at, number))) = self.due_times.peek().copied() {
            if at > now {
                break;
            }
            self.due_times.pop();
            due.extend(self.in_flight.remove(&number));
        }
        let first = self.due_times.peek().map(|Reverse((at, _))| *at);
        (due, first.into_iter().chain(self.schedule.next()).min())
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(0) + self.began.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Every update of the state is complete in itself, so a panic of another thread cannot
        // leave it inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a datagram that arrived at the address of member `to`. Copies without delay are
    /// delivered at once.
    fn on_datagram(&self, from: SocketAddrV4, to: usize, bytes: &[u8]) {
        let now = self.now();
        let mut state = self.state();
        let Some(datagram) = state.record(from, to, bytes) else { return };
        let (at_once, scheduled) = state.transmit(now, &datagram);
        drop(state);
        if scheduled {
            self.schedule_changed.notify(1);
        }
        (0..at_once).for_each(|_| self.deliver(&datagram));
    }

    /// Delivers a datagram to the process of the receiving member.
    fn deliver(&self, Datagram { from, to, bytes }: &Datagram) {
        let Some(address) = self.state().process_addresses[*to] else {
            self.state().undelivered.unknown_receiver += 1;
            return;
        };
        // Sent from the sender's relay address, so that it appears to come from there.
        let sent = self.sockets[*from].get_ref().send_to(bytes, address);
        let mut state = self.state();
        match sent {
            Ok(n) => {
                state.traffic[*to].received += 1;
                state.traffic[*to].received_bytes += n as u64;
            }
            Err(_) => state.undelivered.send_failed += 1,
        }
    }
}

/// Receives what is sent to the relay address of a member.
async fn receive_from(shared: Arc<Shared>, member: usize) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match shared.sockets[member].recv_from(&mut buffer).await {
            Ok((n, SocketAddr::V4(from))) => shared.on_datagram(from, member, &buffer[..n]),
            Ok(_) => {}
            Err(_) => drop(Timer::after(RECEIVE_RETRY_DELAY).await),
        }
    }
}

/// Delivers delayed datagrams when they are due, and applies scheduled changes.
async fn deliver_due(shared: Arc<Shared>) {
    loop {
        let schedule_changed = shared.schedule_changed.listen();
        let now = shared.now();
        let (due, next) = shared.state().take_due(now);
        due.iter().for_each(|datagram| shared.deliver(datagram));
        let timer = async {
            match next {
                Some(at) => drop(Timer::at(shared.began + at.since(Time(0))).await),
                None => future::pending().await,
            }
        };
        future::or(schedule_changed, timer).await;
    }
}
