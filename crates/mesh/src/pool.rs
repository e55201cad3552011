//! The workers: threads that share one UDP socket, each blocking until a datagram, a command, the
//! next wake of the state machine or the stop event. A datagram is verified without a lock, the
//! state machine runs under it, and packets are sent after it is released. No worker spins or
//! retries in a loop, and no panic in one affects the sidecar.

use crate::counts::{Stats, WorkerCounters};
use crate::lock::{RankedMutex, assert_none_held};
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

/// Workers at most: beyond a few, all wait for the same lock.
pub const WORKERS_LIMIT: usize = 8;
/// Datagrams that a worker reads before it checks the clock, the commands and the stop event again.
const RECEIVE_BATCH: usize = 32;
/// Length of the command queue. The event loop sends few commands: leave and join.
const COMMAND_QUEUE_LENGTH: usize = 64;
/// The minimum sleep of a worker without events, so that no wake time requested by the state
/// machine makes workers spin.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// How long a worker waits after a panic, or when the socket returns nothing but errors.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// The id of a member: a hash of its name.
pub fn member_id(name: &str) -> MemberId {
    MemberId(xxh3_64(name.as_bytes()))
}

/// The configuration of the runtime.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the membership state machine.
    pub peers: cottonpoint_peers::Settings,
    /// The name of the cluster.
    pub cluster: String,
    /// The cluster keys: the first one signs, all are accepted.
    pub keys: Vec<Key>,
    /// The number of threads, 1 to [`WORKERS_LIMIT`].
    pub workers: usize,
}

/// A command from the sidecar's event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Leave the fleet.
    Leave,
    /// Rejoin the fleet.
    Join,
    /// Panics under the lock.
    #[cfg(test)]
    Panic,
}

/// The published state of the member table.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The fleet as this member sees it.
    pub view: Arc<View>,
    /// The counters of the state machine.
    pub counts: Counts,
}

struct Shared {
    socket: UdpSocket,
    seal: Seal,
    origin: Instant,
    table: Table<RankedMutex<Members>, ArcSwap<Snapshot>>,
    /// When the state machine wants to be woken, in nanoseconds; written under the members lock.
    wake_at: AtomicU64,
    commands: Receiver<Command>,
    /// Signalled for each command, and cleared by the worker that takes the commands.
    command_event: OwnedFd,
    /// Signalled once and never cleared, so that each worker sees it.
    stop_event: OwnedFd,
    counters: WorkerCounters,
}

/// The running workers. Dropping it stops them and waits for them; commands sent before that are
/// still executed.
pub struct Mesh {
    shared: Arc<Shared>,
    commands: Sender<Command>,
    workers: Vec<JoinHandle<()>>,
}

/// The event loop's access to the runtime. It takes no lock and never blocks.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    commands: Sender<Command>,
}

impl Mesh {
    /// Starts the workers on a bound socket. Fails if the system provides no thread or descriptor.
    pub fn start(socket: UdpSocket, settings: Settings) -> io::Result<Mesh> {
        socket.set_nonblocking(true)?;
        let members = Members::new(settings.peers, Time(0));
        let cell = ArcSwap::from_pointee(members.published());
        let (commands, command_receiver) = async_channel::bounded(COMMAND_QUEUE_LENGTH);
        let new_event = || eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC);
        let shared = Arc::new(Shared {
            socket,
            seal: Seal::new(&settings.cluster, &settings.keys),
            origin: Instant::now(),
            table: Table::new(RankedMutex::new(MEMBERS, members), cell),
            wake_at: AtomicU64::new(0),
            commands: command_receiver,
            command_event: new_event()?,
            stop_event: new_event()?,
            counters: WorkerCounters::default(),
        });
        // If this function returns early, dropping the mesh stops the workers already started.
        let mut mesh = Mesh { shared: shared.clone(), commands, workers: Vec::new() };
        for n in 0..settings.workers.clamp(1, WORKERS_LIMIT) {
            let shared = shared.clone();
            let thread = std::thread::Builder::new().name(format!("mesh-{n}"));
            mesh.workers.push(thread.spawn(move || shared.run())?);
        }
        Ok(mesh)
    }

    /// Creates a handle for the event loop.
    pub fn handle(&self) -> Handle {
        Handle { shared: self.shared.clone(), commands: self.commands.clone() }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        // Adding 1 to a counter of 0 cannot fail.
        let _ = rustix::io::write(&self.shared.stop_event, &1u64.to_ne_bytes());
        for worker in self.workers.drain(..) {
            // Panics of the worker were caught and counted.
            let _ = worker.join();
        }
    }
}

impl Handle {
    /// The latest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.table.read()
    }

    /// Queues a command; if the queue is full, the command is dropped and counted.
    pub fn send_command(&self, command: Command) {
        match self.commands.try_send(command) {
            // The write can fail only if the counter is at its maximum, so the event is signalled
            // already.
            Ok(()) => drop(rustix::io::write(&self.shared.command_event, &1u64.to_ne_bytes())),
            Err(_) => self.shared.counters.commands_dropped.add(),
        }
    }

    /// The counters of the runtime.
    pub fn stats(&self) -> Stats {
        self.shared.counters.stats()
    }

    /// The current time on the clock used in snapshots.
    pub fn now(&self) -> Time {
        self.shared.now()
    }

    /// The address that the socket is bound to.
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

    /// Runs a worker until the stop event. A panic is logged and counted and the worker continues;
    /// the next event restarts the state machine.
    fn run(&self) {
        while catch_unwind(AssertUnwindSafe(|| self.serve_events())).is_err() {
            self.counters.panics.add();
            tracing::error!("fleet worker panicked; restarting the membership state machine");
            let _ = self.wait_for(&mut [PollFd::new(&self.stop_event, PollFlags::IN)], ERROR_BACKOFF);
        }
    }

    fn serve_events(&self) {
        let mut buffer = [0; DATAGRAM_LIMIT + 1];
        loop {
            let mut ready =
                [&self.stop_event, &self.command_event].map(|fd| PollFd::new(fd, PollFlags::IN)).to_vec();
            ready.push(PollFd::new(&self.socket, PollFlags::IN));
            let sleep = Time(self.wake_at.load(Relaxed)).since(self.now()).max(MIN_SLEEP);
            if self.wait_for(&mut ready, sleep).is_err() {
                std::thread::sleep(ERROR_BACKOFF); // Poll can fail only for lack of memory.
            }
            let has_events: Vec<bool> = ready.iter().map(|fd| !fd.revents().is_empty()).collect();
            self.run_commands(has_events[1]);
            if has_events[0] {
                return;
            }
            self.handle_event(Event::Wake);
            if has_events[2] {
                self.receive(&mut buffer);
            }
        }
    }

    fn wait_for(&self, fds: &mut [PollFd<'_>], max_wait: Duration) -> io::Result<()> {
        let max_wait = Timespec::try_from(max_wait.min(Duration::from_secs(3600))).unwrap_or_default();
        match poll(fds, Some(&max_wait)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Executes the queued commands.
    fn run_commands(&self, signalled: bool) {
        if signalled {
            // Cleared first, so that a command queued from here on signals it again.
            let _ = rustix::io::read(&self.command_event, &mut [0u8; 8]);
        }
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Leave => self.handle_event(Event::Leave),
                Command::Join => self.handle_event(Event::Join),
                #[cfg(test)]
                Command::Panic => self.table.change(|members| ((), Some(members.panic_for_test()))),
            }
        }
    }

    /// Reads the datagrams available, at most one batch.
    fn receive(&self, buffer: &mut [u8]) {
        let mut failed = 0;
        for _ in 0..RECEIVE_BATCH {
            match self.socket.recv_from(buffer) {
                Ok((length, from)) => match self.seal.open(&buffer[..length]) {
                    Ok(packet) => {
                        self.counters.received.add();
                        self.handle_event(Event::Packet(&packet));
                    }
                    Err(refusal) => {
                        self.counters.refused[refusal as usize].add();
                        tracing::warn!(%from, reason = refusal.label(), "datagram rejected");
                    }
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    // Usually the report that no process listens at an address sent to; each is
                    // delivered once.
                    failed += 1;
                    self.counters.receive_failed.add();
                    tracing::debug!(%e, "failed to receive a datagram");
                }
            }
        }
        if failed == RECEIVE_BATCH {
            let _ = self.wait_for(&mut [PollFd::new(&self.stop_event, PollFlags::IN)], ERROR_BACKOFF);
        }
    }

    /// Passes one event to the state machine under the members lock, then sends the resulting
    /// packets without it.
    fn handle_event(&self, event: Event<'_>) {
        let (now, mut actions) = (self.now(), Vec::new());
        if matches!(event, Event::Wake) && now < Time(self.wake_at.load(Relaxed)) {
            return;
        }
        self.table.change(|members: &mut Members| {
            let snapshot = members.handle(now, event, &mut actions);
            self.wake_at.store(members.wake_at.0, Relaxed);
            ((), snapshot)
        });
        assert_none_held();
        for action in actions {
            let Action::Send { to, packet } = action else { continue };
            if let Err(error) = self.send(to, &packet)
                && is_local_failure(&error)
            {
                self.handle_event(Event::SendFailed(&packet));
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
                tracing::debug!(%to, %e, "failed to send a datagram");
            }
        }
        sent.map(drop)
    }
}

/// Whether a send failed because of this process (no buffer, memory or route), not because of an
/// error that the peer or the path to it caused earlier.
fn is_local_failure(error: &io::Error) -> bool {
    !matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::TimedOut)
}
