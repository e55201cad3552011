//! One member's place in a fleet: its address and clock, and the process that runs there, if one does.

use super::log::Held;
use cottonpoint_decide::Time;
use cottonpoint_peers::{MemberId, Packet, PartitionStatus, Peers};
use std::collections::VecDeque;
use std::sync::Arc;

/// A member's place in a fleet.
#[derive(Clone)]
pub(super) struct Host {
    pub(super) id: MemberId,
    pub(super) plane: Option<Peers>,
    /// Its clock shows the run's time and that much more.
    pub(super) clock: u64,
    pub(super) stopped: bool,
    /// What waits while it stands still.
    pub(super) waiting: VecDeque<(usize, Arc<Packet>)>,
    /// The number of the wake that counts.
    pub(super) wake_number: u64,
    /// The time of its clock at which it wants to be woken.
    pub(super) wake_at: Option<Time>,
    /// A wake fell due while it stood still.
    pub(super) missed_wake: bool,
    /// The version of the view that was recorded last, what it held of each member, and its part.
    pub(super) seen_version: u64,
    pub(super) seen: Vec<Held>,
    pub(super) part: Option<PartitionStatus>,
    /// The process that runs, as it drew it.
    pub(super) boot: u64,
    /// Packets and bytes that it has sent, and its longest packet.
    pub(super) packets: u64,
    pub(super) bytes: u64,
    pub(super) longest_packet: usize,
}

impl Host {
    /// A place where no process has started, in a fleet of so many members.
    pub(super) fn new(id: MemberId, clock: u64, members: usize) -> Host {
        Host {
            id,
            plane: None,
            clock,
            stopped: false,
            waiting: VecDeque::new(),
            wake_number: 0,
            wake_at: None,
            missed_wake: false,
            seen_version: 0,
            seen: vec![Held::default(); members],
            part: None,
            boot: 0,
            packets: 0,
            bytes: 0,
            longest_packet: 0,
        }
    }

    /// Its process is gone, and what that held.
    pub(super) fn end_process(&mut self, members: usize) {
        (self.plane, self.stopped, self.missed_wake) = (None, false, false);
        (self.wake_number, self.wake_at) = (0, None);
        (self.seen_version, self.part) = (0, None);
        self.seen = vec![Held::default(); members];
    }

    /// Counts a packet that it has sent, by its size with the seal.
    pub(super) fn count_sent(&mut self, size: usize) {
        self.packets += 1;
        self.bytes += size as u64;
        self.longest_packet = self.longest_packet.max(size);
    }
}
