//! The setup of a simulated fleet, operations on it, and packet counts.

use super::disabled::Disabled;
use crate::rig::links::{Faults, LinkChange};
use std::time::Duration;

/// Bytes that the seal adds to a packet: version 1, cluster 8, MAC 16 (`docs/design/peers.md`).
pub const SEAL_BYTES: usize = 25;
/// Packets that are queued at a paused process: Linux gives a socket 212,992 bytes
/// (`net.core.rmem_default`) and counts 768 for a small datagram with its bookkeeping. Further
/// packets are lost.
pub const SOCKET_QUEUE_PACKETS: usize = 212_992 / 768;

/// The setup of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of members; they are named by their index from 0.
    pub members: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Protocol period: the time between two probes of a member.
    pub period: Duration,
    /// Resolution of the clocks: a member is given the time, and woken, in whole multiples of it.
    pub tick: Duration,
    /// Faults of all links at the start.
    pub faults: Faults,
    /// Share of packets that a third party on the network replays.
    pub replay_share: f64,
    /// Mean delay of a replay, which is drawn from an exponential distribution.
    pub replay_delay: Duration,
    /// The protocol feature that is disabled, if any.
    pub disabled: Option<Disabled>,
}

impl Setup {
    /// A fleet on a quiet local network: periods of a second, delays of 0.2 to 2 ms, clocks with a
    /// resolution of a millisecond.
    pub fn new(members: usize, seed: u64) -> Setup {
        let delay = (Duration::from_micros(200), Duration::from_millis(2));
        Setup {
            members,
            seed,
            period: Duration::from_secs(1),
            tick: Duration::from_millis(1),
            faults: Faults { delay, ..Faults::default() },
            replay_share: 0.0,
            replay_delay: Duration::from_secs(30),
            disabled: None,
        }
    }
}

/// An operation on a simulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// A new process without any state starts at that member's address. A process that runs there
    /// ends without leaving the fleet.
    Start(usize),
    /// The member's process ends without leaving the fleet.
    Crash(usize),
    /// The member's process is paused (SIGSTOP): packets for it are queued at its socket as long as
    /// there is room.
    Pause(usize),
    /// The member's process continues (SIGCONT) and gets all queued packets at once.
    Resume(usize),
    /// The member leaves the fleet and announces it.
    Leave(usize),
    /// The member joins the fleet again.
    Join(usize),
    /// The faults of links change.
    Links(LinkChange),
    /// From now on that share of packets is replayed, after that mean delay.
    Replay(f64, Duration),
    /// A feature of the membership protocol is disabled.
    Disable(Disabled),
    /// Whether views are recorded after each event. Changes made before recording starts appear in
    /// the log as one change.
    RecordViews(bool),
}

/// Counts of the packets from one member to another, copies included. At each moment sent +
/// duplicated + replayed = dropped + delivered + overflowed + undeliverable + in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// Packets sent by the member.
    pub sent: u64,
    /// Copies added by the link.
    pub duplicated: u64,
    /// Copies replayed by a third party on the network.
    pub replayed: u64,
    /// Packets lost on the link.
    pub dropped: u64,
    /// Packets given to the receiver.
    pub delivered: u64,
    /// Packets lost because the queue of a paused process was full.
    pub overflowed: u64,
    /// Packets that arrived where no process ran, or that were queued at a process when it ended.
    pub undeliverable: u64,
}
