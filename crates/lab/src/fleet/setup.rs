//! What a fleet is made of, what is done to it, and what becomes of its packets.

use super::disabled::Disabled;
use crate::rig::links::{Faults, LinkChange};
use std::time::Duration;

/// Bytes that the seal adds to a packet: version 1, cluster 8, MAC 16 (`docs/design/peers.md`).
pub const SEAL_BYTES: usize = 25;
/// Packets that wait at a process which stands still: Linux gives a socket 212,992 bytes (`net.core.rmem_default`) and
/// counts 768 for a small datagram with its bookkeeping. Further ones are lost.
pub const SOCKET_HOLDS: usize = 212_992 / 768;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Members, by index from 0.
    pub members: usize,
    /// Of all that is drawn.
    pub seed: u64,
    /// Between two probes.
    pub period: Duration,
    /// What clocks count in: a member is given the time, and woken, in whole ones of these.
    pub tick: Duration,
    /// Of all links at the start.
    pub faults: Faults,
    /// The share of packets that are sent once more by somebody who listens ...
    pub again: f64,
    /// ... and the mean time after which; it is drawn from an exponential law.
    pub again_after: Duration,
    /// The part of the plane that is disabled.
    pub disabled: Option<Disabled>,
}

impl Setup {
    /// A fleet on a quiet local network: periods of a second, delays of 0.2 to 2 ms, clocks in milliseconds.
    pub fn new(members: usize, seed: u64) -> Setup {
        let delay = (Duration::from_micros(200), Duration::from_millis(2));
        Setup {
            members,
            seed,
            period: Duration::from_secs(1),
            tick: Duration::from_millis(1),
            faults: Faults { delay, ..Faults::default() },
            again: 0.0,
            again_after: Duration::from_secs(30),
            disabled: None,
        }
    }
}

/// Something done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// A new process starts at that member's address and knows nothing; one that runs there ends without a word.
    Start(usize),
    /// Its process ends without a word.
    Crash(usize),
    /// Its process stands still (SIGSTOP): what comes waits at its socket as long as there is room.
    Stop(usize),
    /// It goes on (SIGCONT) and finds all at once what waited.
    Resume(usize),
    /// It leaves the fleet and says so.
    Leave(usize),
    /// It joins the fleet again.
    Join(usize),
    /// Links change.
    Links(LinkChange),
    /// From now on that share of packets is sent once more, after such a time on average.
    Listen(f64, Duration),
    /// A part of the plane is disabled.
    Disable(Disabled),
    /// Whether views are recorded after each event. What changed before comes into the log as one change.
    Watch(bool),
}

/// What became of the packets from one member to another, in copies. At each moment sent + doubled + again =
/// dropped + delivered + overflowed + unheard + in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// Sent by the member.
    pub sent: u64,
    /// Copies that the link added.
    pub doubled: u64,
    /// Copies sent once more by somebody who listens.
    pub again: u64,
    /// Lost on the link.
    pub dropped: u64,
    /// Given to the receiver.
    pub delivered: u64,
    /// Lost because too many waited at a process that stood still.
    pub overflowed: u64,
    /// Come to an address where no process was, or lost with one.
    pub unheard: u64,
}
