//! Lock-free counters of the runtime.

use crate::seal::Refusal;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

#[derive(Debug, Default)]
pub(crate) struct WorkerCounters {
    pub(crate) received: Counter,
    pub(crate) refused: [Counter; Refusal::ALL.len()],
    pub(crate) receive_failed: Counter,
    pub(crate) sent: Counter,
    pub(crate) send_failed: Counter,
    pub(crate) too_long: Counter,
    pub(crate) commands_dropped: Counter,
    pub(crate) panics: Counter,
}

/// The counters of the runtime since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams received whose seal was valid.
    pub received: u64,
    /// Datagrams rejected, in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Errors returned by the socket instead of a datagram, for example because no process listens
    /// at a peer's address.
    pub receive_failed: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that the socket did not accept; they are not resent.
    pub send_failed: u64,
    /// Packets too long for a datagram, which is a bug in the protocol implementation.
    pub too_long: u64,
    /// Commands dropped because the queue was full.
    pub commands_dropped: u64,
    /// Panics caught in workers. After each one the membership state machine is restarted.
    pub panics: u64,
}

impl WorkerCounters {
    pub(crate) fn stats(&self) -> Stats {
        Stats {
            received: self.received.get(),
            refused: std::array::from_fn(|i| self.refused[i].get()),
            receive_failed: self.receive_failed.get(),
            sent: self.sent.get(),
            send_failed: self.send_failed.get(),
            too_long: self.too_long.get(),
            commands_dropped: self.commands_dropped.get(),
            panics: self.panics.get(),
        }
    }
}
