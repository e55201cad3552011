//! The host of one member: its address and clock, and the process that runs there, if any.

use super::log::MemberView;
use cottonpoint_decide::Time;
use cottonpoint_peers::{MemberId, Packet, PartitionStatus, Peers};
use std::collections::VecDeque;
use std::sync::Arc;

/// The host of a member.
#[derive(Clone)]
pub(super) struct Host {
    pub(super) id: MemberId,
    pub(super) peers: Option<Peers>,
    /// Offset of its clock from the time of the simulation, in nanoseconds.
    pub(super) clock_offset: u64,
    pub(super) paused: bool,
    /// Packets that arrived while the process was paused, with their senders.
    pub(super) queued_packets: VecDeque<(usize, Arc<Packet>)>,
    /// The number of the wake that is valid: the last one requested.
    pub(super) wake_number: u64,
    /// The time on its clock at which it asked to be woken.
    pub(super) wake_at: Option<Time>,
    /// Whether a wake became due while the process was paused.
    pub(super) missed_wake: bool,
    /// The version of the view that was recorded last, the state of each member in it, and the
    /// partition status.
    pub(super) recorded_version: u64,
    pub(super) recorded_views: Vec<MemberView>,
    pub(super) partition: Option<PartitionStatus>,
    /// The random boot id of the process that runs.
    pub(super) boot: u64,
    /// Packets and bytes sent, and the size of the longest packet.
    pub(super) packets_sent: u64,
    pub(super) bytes_sent: u64,
    pub(super) longest_packet: usize,
}

impl Host {
    /// Creates a host where no process runs, in a fleet of that many members.
    pub(super) fn new(id: MemberId, clock_offset: u64, members: usize) -> Host {
        Host {
            id,
            peers: None,
            clock_offset,
            paused: false,
            queued_packets: VecDeque::new(),
            wake_number: 0,
            wake_at: None,
            missed_wake: false,
            recorded_version: 0,
            recorded_views: vec![MemberView::default(); members],
            partition: None,
            boot: 0,
            packets_sent: 0,
            bytes_sent: 0,
            longest_packet: 0,
        }
    }

    /// Discards the process and its state.
    pub(super) fn end_process(&mut self, members: usize) {
        (self.peers, self.paused, self.missed_wake) = (None, false, false);
        (self.wake_number, self.wake_at) = (0, None);
        (self.recorded_version, self.partition) = (0, None);
        self.recorded_views = vec![MemberView::default(); members];
    }

    /// Counts a packet sent, by its size with the seal.
    pub(super) fn count_sent(&mut self, size: usize) {
        self.packets_sent += 1;
        self.bytes_sent += size as u64;
        self.longest_packet = self.longest_packet.max(size);
    }
}
