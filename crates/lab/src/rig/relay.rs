//! A relay on loopback between members: each has an address here, the one it advertises, and behind it the real
//! socket of its process. Who sends is known by the real socket, who is meant by the address written to, so that
//! each directed link can have faults of its own.
//!
//! Members may answer to the address that a message names, never to where it came from: only then does a relay in
//! between change nothing. A datagram from a socket that is not (or no longer) a member's is dropped and counted.

use super::links::{Change, Counts, Links, Schedule};
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

/// Members of one relay at most: each takes a socket here, and a process elsewhere.
pub const MEMBERS_LIMIT: usize = 64;
/// Datagrams under way at most; past that they are dropped and counted. At 1,200 bytes each, 20 MB.
const WAITING_LIMIT: usize = 16_384;
/// Datagrams that are remembered for [`Relay::send_again`]; the oldest is forgotten first.
const KEPT_LIMIT: usize = 4_096;
/// Longer than any datagram over IPv4.
const DATAGRAM: usize = 65_536;
/// After an error of a socket, which the system gives on loopback only when it is short of memory.
const RECEIVE_AGAIN: Duration = Duration::from_millis(5);

/// What has passed through the relay from one member, and to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams that it sent, whatever became of them.
    pub sent: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Datagrams that were handed to it.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
}

/// What could not be handed on, apart from what links dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// From a socket of no member.
    pub strangers: u64,
    /// To a member whose socket is not known.
    pub nobody: u64,
    /// Because too many were under way.
    pub overflow: u64,
    /// Because the system refused.
    pub refused: u64,
}

/// A datagram as it came from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Who sent it.
    pub from: usize,
    /// Who was meant.
    pub to: usize,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
}

struct State {
    links: Links,
    schedule: Schedule,
    real: Vec<Option<SocketAddrV4>>,
    members: FxHashMap<SocketAddrV4, usize>,
    /// Those under way, the next one first; of those due at one time, the one that came first.
    waiting: BinaryHeap<Reverse<(Time, u64)>>,
    under_way: FxHashMap<u64, Datagram>,
    number: u64,
    traffic: Vec<Traffic>,
    undelivered: Undelivered,
    kept: VecDeque<Datagram>,
}

struct Shared {
    began: Instant,
    sockets: Vec<Async<UdpSocket>>,
    addresses: Vec<SocketAddrV4>,
    /// Never held over I/O.
    state: Mutex<State>,
    /// Something is due earlier than it was.
    sooner: Event,
}

/// A running relay. Dropped, it ends.
pub struct Relay {
    shared: Arc<Shared>,
    end: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Binds an address for each member and relays between them on a thread of its own. Fails with more than
    /// [`MEMBERS_LIMIT`] members, or where no socket can be bound.
    pub fn start(members: usize, seed: u64) -> io::Result<Relay> {
        if members > MEMBERS_LIMIT {
            return Err(io::Error::other(format!("{members} members: at most {MEMBERS_LIMIT}")));
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
            real: vec![None; members],
            members: FxHashMap::default(),
            waiting: BinaryHeap::new(),
            under_way: FxHashMap::default(),
            number: 0,
            traffic: vec![Traffic::default(); members],
            undelivered: Undelivered::default(),
            kept: VecDeque::new(),
        });
        let (began, sooner) = (Instant::now(), Event::new());
        let shared = Arc::new(Shared { began, sockets, addresses, state, sooner });
        let (end, ended) = async_channel::bounded::<()>(1);
        let own = shared.clone();
        let thread = thread::Builder::new().name("relay".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for member in 0..own.sockets.len() {
                executor.spawn(receive(own.clone(), member)).detach();
            }
            executor.spawn(deliver_later(own)).detach();
            let _ = async_io::block_on(executor.run(ended.recv()));
        })?;
        Ok(Relay { shared, end: Some(end), thread: Some(thread) })
    }

    /// The address of a member here, for it to advertise. Panics on a member that does not exist.
    pub fn address(&self, member: usize) -> SocketAddrV4 {
        self.shared.addresses[member]
    }

    /// Tells where the process of a member really listens; an earlier process of it is a stranger from now on.
    pub fn learn(&self, member: usize, real: SocketAddrV4) {
        self.forget(member);
        let mut state = self.shared.state();
        state.members.insert(real, member);
        state.real[member] = Some(real);
    }

    /// Tells that the process of a member is gone: the system may give its port to another one.
    pub fn forget(&self, member: usize) {
        let mut state = self.shared.state();
        if let Some(earlier) = state.real[member].take() {
            state.members.remove(&earlier);
        }
    }

    /// Changes links now.
    pub fn change(&self, change: &Change) {
        self.shared.state().links.change(change);
    }

    /// Changes links after a time from now.
    pub fn change_after(&self, after: Duration, change: Change) {
        let at = self.shared.now() + after;
        self.shared.state().schedule.add(at, change);
        self.shared.sooner.notify(1);
    }

    /// What has passed from each member and to it.
    pub fn traffic(&self) -> Vec<Traffic> {
        self.shared.state().traffic.clone()
    }

    /// What a directed link has done; `None` for a member that does not exist.
    pub fn counts(&self, from: usize, to: usize) -> Option<Counts> {
        self.shared.state().links.counts(from, to)
    }

    /// What all links together have done.
    pub fn sum(&self) -> Counts {
        self.shared.state().links.sum()
    }

    /// What could not be handed on.
    pub fn undelivered(&self) -> Undelivered {
        self.shared.state().undelivered
    }

    /// The last datagrams that members have sent, the oldest first.
    pub fn kept(&self) -> Vec<Datagram> {
        self.shared.state().kept.iter().cloned().collect()
    }

    /// Hands a datagram to the member that is meant, whatever the links are: as someone would who has listened
    /// in and sends it again, or sends one of his own making.
    pub fn send_again(&self, datagram: &Datagram) {
        self.shared.hand_over(datagram);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(0) + self.began.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Every change of the state is whole by itself: one that panicked elsewhere has left nothing half done.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A datagram came for a member. What arrives at once is handed over at once.
    fn came(&self, from: SocketAddrV4, to: usize, bytes: &[u8]) {
        let now = self.now();
        let mut at_once = 0;
        let datagram = {
            let mut state = self.state();
            let state = &mut *state;
            let Some(&from) = state.members.get(&from) else {
                state.undelivered.strangers += 1;
                return;
            };
            state.traffic[from].sent += 1;
            state.traffic[from].sent_bytes += bytes.len() as u64;
            let datagram = Datagram { from, to, bytes: bytes.into() };
            if state.kept.len() == KEPT_LIMIT {
                state.kept.pop_front();
            }
            state.kept.push_back(datagram.clone());
            state.schedule.play(now, &mut state.links);
            for at in state.links.pass(now, from, to) {
                if at <= now {
                    at_once += 1;
                } else if state.under_way.len() < WAITING_LIMIT {
                    state.waiting.push(Reverse((at, state.number)));
                    state.under_way.insert(state.number, datagram.clone());
                    state.number += 1;
                    self.sooner.notify(1);
                } else {
                    state.undelivered.overflow += 1;
                }
            }
            datagram
        };
        (0..at_once).for_each(|_| self.hand_over(&datagram));
    }

    fn hand_over(&self, Datagram { from, to, bytes }: &Datagram) {
        let Some(real) = self.state().real[*to] else {
            self.state().undelivered.nobody += 1;
            return;
        };
        // From the sender's address here, as if it were the sender's own.
        let sent = self.sockets[*from].get_ref().send_to(bytes, real);
        let mut state = self.state();
        match sent {
            Ok(n) => {
                state.traffic[*to].received += 1;
                state.traffic[*to].received_bytes += n as u64;
            }
            Err(_) => state.undelivered.refused += 1,
        }
    }
}

async fn receive(shared: Arc<Shared>, member: usize) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        match shared.sockets[member].recv_from(&mut buffer).await {
            Ok((n, SocketAddr::V4(from))) => shared.came(from, member, &buffer[..n]),
            Ok(_) => {}
            Err(_) => drop(Timer::after(RECEIVE_AGAIN).await),
        }
    }
}

/// Hands over what was delayed, and plays the schedule.
async fn deliver_later(shared: Arc<Shared>) {
    loop {
        let sooner = shared.sooner.listen();
        let now = shared.now();
        let (due, next) = {
            let mut state = shared.state();
            let state = &mut *state;
            state.schedule.play(now, &mut state.links);
            let mut due = Vec::new();
            while let Some(Reverse((at, number))) = state.waiting.peek().copied() {
                if at > now {
                    break;
                }
                state.waiting.pop();
                due.extend(state.under_way.remove(&number));
            }
            let first = state.waiting.peek().map(|Reverse((at, _))| *at);
            (due, first.into_iter().chain(state.schedule.next()).min())
        };
        due.iter().for_each(|datagram| shared.hand_over(datagram));
        let timer = async {
            match next {
                Some(at) => drop(Timer::at(shared.began + at.since(Time(0))).await),
                None => future::pending().await,
            }
        };
        future::or(sooner, timer).await;
    }
}
