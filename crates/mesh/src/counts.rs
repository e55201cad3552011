//! What the shell has seen and done, counted without a lock.

use crate::seal::Refusal;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One count.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) taken: Count,
    pub(crate) refused: [Count; Refusal::ALL.len()],
    pub(crate) receive_failed: Count,
    pub(crate) sent: Count,
    pub(crate) send_failed: Count,
    pub(crate) too_long: Count,
    pub(crate) commands_dropped: Count,
    pub(crate) panics: Count,
}

/// Figures of the shell since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Datagrams whose seal was right.
    pub taken: u64,
    /// Datagrams refused, in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Times the socket gave an error instead of a datagram, such as word of a peer that is not there.
    pub receive_failed: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that the socket did not take; they are not sent again.
    pub send_failed: u64,
    /// Packets too long for a datagram: a fault of a plane.
    pub too_long: u64,
    /// Words of the sidecar's loop that found no room.
    pub commands_dropped: u64,
    /// Faults that a worker fell over. The member starts anew after each.
    pub panics: u64,
}

impl Counters {
    pub(crate) fn figures(&self) -> Figures {
        Figures {
            taken: self.taken.get(),
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
