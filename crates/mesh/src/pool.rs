//! The workers: threads on one UDP socket, each blocking until a datagram, a command, the plane's next wake or the
//! stop. A datagram is opened without a lock, the plane's step is made under it, and what there is to send is sent
//! after it. Nothing here spins, retries in a loop or takes the sidecar along when it falls.

use crate::counts::{Counters, Figures};
use crate::lock::{Ranked, assert_none_held};
use crate::members::Members;
use crate::seal::{DATAGRAM_LIMIT, Key, Seal};
use crate::tables::{MEMBERS, Table};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use cottonpoint_decide::Time;
use cottonpoint_peers::{Action, Counts, Event, MemberId, Packet, View};
use rustix::event::{EventfdFlags, PollFd, PollFlags, Timespec, eventfd, poll};
use std::io::{self, ErrorKind};
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::OwnedFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Workers at most: past a few, all wait for one lock.
pub const WORKERS_LIMIT: usize = 8;
/// Datagrams that a worker reads before it looks at the clock, the commands and the stop again.
const BATCH: usize = 32;
/// Commands that wait at most. The loop's are few: goodbyes and returns.
const COMMANDS: usize = 64;
/// The least sleep of a worker that nothing wakes: whatever a plane asks for, none spins.
const SLEEP_LEAST: Duration = Duration::from_millis(1);
/// After a fall, or where the socket gives nothing but errors, a worker waits this long.
const PAUSE: Duration = Duration::from_millis(10);

/// The identity of a member: a hash of its name.
pub fn id_of(name: &str) -> MemberId {
    MemberId(xxh3_64(name.as_bytes()))
}

/// All that the shell is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For the plane.
    pub peers: cottonpoint_peers::Settings,
    /// The cluster's name.
    pub cluster: String,
    /// The first signs, any is taken.
    pub keys: Vec<Key>,
    /// Threads, 1 to [`WORKERS_LIMIT`].
    pub workers: usize,
}

/// What the sidecar's loop tells the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Say goodbye.
    Leave,
    /// Be a member again.
    Join,
    /// Falls under the lock.
    #[cfg(test)]
    Fall,
}

/// What is published of the members' table.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Who is there.
    pub view: Arc<View>,
    /// What the plane has counted.
    pub counts: Counts,
}

struct Shared {
    socket: UdpSocket,
    seal: Seal,
    origin: Instant,
    table: Table<Ranked<Members>, ArcSwap<Snapshot>>,
    /// When the plane wants to wake, in nanoseconds; written under the members' lock.
    wake_at: AtomicU64,
    commands: Receiver<Command>,
    /// Rung for each command, and hushed by the worker that takes them.
    bell: OwnedFd,
    /// Rung once, and never hushed: each worker sees it.
    stop: OwnedFd,
    counters: Counters,
}

/// The shell at work. Dropped, it ends its workers and waits for them; commands handed over by then are heeded.
pub struct Mesh {
    shared: Arc<Shared>,
    commands: Sender<Command>,
    workers: Vec<JoinHandle<()>>,
}

/// What the sidecar's loop holds of the shell. It takes no lock and never waits.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    commands: Sender<Command>,
}

impl Mesh {
    /// Starts the workers on a bound socket. Fails where the system gives no thread or descriptor.
    pub fn start(socket: UdpSocket, settings: Settings) -> io::Result<Mesh> {
        socket.set_nonblocking(true)?;
        let members = Members::new(settings.peers, Time(0));
        let board = ArcSwap::from_pointee(members.published());
        let (commands, taken) = async_channel::bounded(COMMANDS);
        let ring = || eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC);
        let shared = Arc::new(Shared {
            socket,
            seal: Seal::new(&settings.cluster, &settings.keys),
            origin: Instant::now(),
            table: Table::new(Ranked::new(MEMBERS, members), board),
            wake_at: AtomicU64::new(0),
            commands: taken,
            bell: ring()?,
            stop: ring()?,
            counters: Counters::default(),
        });
        // Dropped on the way out, it ends those already started.
        let mut mesh = Mesh { shared: shared.clone(), commands, workers: Vec::new() };
        for n in 0..settings.workers.clamp(1, WORKERS_LIMIT) {
            let shared = shared.clone();
            let thread = std::thread::Builder::new().name(format!("mesh-{n}"));
            mesh.workers.push(thread.spawn(move || shared.run())?);
        }
        Ok(mesh)
    }

    /// What the sidecar's loop holds.
    pub fn handle(&self) -> Handle {
        Handle { shared: self.shared.clone(), commands: self.commands.clone() }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        // A counter from 0 takes 1: that cannot fail.
        let _ = rustix::io::write(&self.shared.stop, &1u64.to_ne_bytes());
        for worker in self.workers.drain(..) {
            // Its falls were caught and counted.
            let _ = worker.join();
        }
    }
}

impl Handle {
    /// The newest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.table.read()
    }

    /// Hands a command over; where there is no room for it, it is dropped and counted.
    pub fn tell(&self, command: Command) {
        match self.commands.try_send(command) {
            // A bell that cannot be rung any louder rings already.
            Ok(()) => drop(rustix::io::write(&self.shared.bell, &1u64.to_ne_bytes())),
            Err(_) => self.shared.counters.commands_dropped.add(),
        }
    }

    /// The shell's figures.
    pub fn figures(&self) -> Figures {
        self.shared.counters.figures()
    }

    /// The time on the clock by which snapshots are dated.
    pub fn now(&self) -> Time {
        self.shared.now()
    }

    /// Where the socket is bound.
    pub fn address(&self) -> Option<SocketAddrV4> {
        match self.shared.socket.local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => Some(address),
            _ => None,
        }
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(0) + self.origin.elapsed()
    }

    /// A worker's life. A fall is logged and counted, and it goes on: the next step starts the member anew.
    fn run(&self) {
        while catch_unwind(AssertUnwindSafe(|| self.work())).is_err() {
            self.counters.panics.add();
            tracing::error!("a worker of the fleet fell over a fault; this member starts anew");
            let _ = self.wait_for(&mut [PollFd::new(&self.stop, PollFlags::IN)], PAUSE);
        }
    }

    fn work(&self) {
        let mut buffer = [0; DATAGRAM_LIMIT + 1];
        loop {
            let mut ready = [&self.stop, &self.bell].map(|fd| PollFd::new(fd, PollFlags::IN)).to_vec();
            ready.push(PollFd::new(&self.socket, PollFlags::IN));
            let sleep = Time(self.wake_at.load(Relaxed)).since(self.now()).max(SLEEP_LEAST);
            if self.wait_for(&mut ready, sleep).is_err() {
                std::thread::sleep(PAUSE); // No memory for a poll: that is all it can be.
            }
            let came: Vec<bool> = ready.iter().map(|fd| !fd.revents().is_empty()).collect();
            self.heed(came[1]);
            if came[0] {
                return;
            }
            self.step(Event::Wake);
            if came[2] {
                self.receive(&mut buffer);
            }
        }
    }

    fn wait_for(&self, fds: &mut [PollFd<'_>], most: Duration) -> io::Result<()> {
        let most = Timespec::try_from(most.min(Duration::from_secs(3600))).unwrap_or_default();
        match poll(fds, Some(&most)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Takes the commands that wait.
    fn heed(&self, rung: bool) {
        if rung {
            // Hushed first: whoever rings from here on is heard again.
            let _ = rustix::io::read(&self.bell, &mut [0u8; 8]);
        }
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Leave => self.step(Event::Leave),
                Command::Join => self.step(Event::Join),
                #[cfg(test)]
                Command::Fall => self.table.change(|members| ((), Some(members.fall()))),
            }
        }
    }

    /// Reads what has come, a batch at most.
    fn receive(&self, buffer: &mut [u8]) {
        let mut failed = 0;
        for _ in 0..BATCH {
            match self.socket.recv_from(buffer) {
                Ok((length, from)) => match self.seal.open(&buffer[..length]) {
                    Ok(packet) => {
                        self.counters.taken.add();
                        self.step(Event::Packet(&packet));
                    }
                    Err(refusal) => {
                        self.counters.refused[refusal as usize].add();
                        tracing::warn!(%from, reason = refusal.word(), "a datagram was refused");
                    }
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    // Mostly word that nobody listens where we sent to; each is given once.
                    failed += 1;
                    self.counters.receive_failed.add();
                    tracing::debug!(%e, "nothing received");
                }
            }
        }
        if failed == BATCH {
            let _ = self.wait_for(&mut [PollFd::new(&self.stop, PollFlags::IN)], PAUSE);
        }
    }

    /// One step of the plane under the members' lock, and after it what there is to send.
    fn step(&self, event: Event<'_>) {
        let (now, mut to_do) = (self.now(), Vec::new());
        if matches!(event, Event::Wake) && now < Time(self.wake_at.load(Relaxed)) {
            return;
        }
        self.table.change(|members: &mut Members| {
            let snapshot = members.step(now, event, &mut to_do);
            self.wake_at.store(members.wake_at.0, Relaxed);
            ((), snapshot)
        });
        assert_none_held();
        for action in to_do {
            let Action::Send { to, packet } = action else { continue };
            if let Err(why) = self.send(to, &packet)
                && is_of_this_process(&why)
            {
                self.step(Event::NotSent(&packet));
            }
        }
    }

    fn send(&self, to: SocketAddrV4, packet: &Packet) -> io::Result<()> {
        let Some(datagram) = self.seal.seal(packet) else {
            self.counters.too_long.add();
            return Ok(());
        };
        let sent = self.socket.send_to(&datagram, to);
        match &sent {
            Ok(_) => self.counters.sent.add(),
            Err(e) => {
                self.counters.send_failed.add();
                tracing::debug!(%to, %e, "not sent");
            }
        }
        sent.map(drop)
    }
}

/// Whether a datagram was not sent for want of a buffer, memory or route here, rather than for what the other side, or the
/// way to it, said before.
fn is_of_this_process(why: &io::Error) -> bool {
    !matches!(why.kind(), ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::TimedOut)
}
