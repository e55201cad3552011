//! Settings, messages, events, actions and views of the membership protocol: plain data without
//! behaviour.

use cottonpoint_decide::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Identifies a member. It is a hash of the member's name, hence the same at all members and across
/// restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// The longest name of a member, in bytes. Several names have to fit into one packet.
pub const NAME_LIMIT: usize = 32;
/// Members held at most, in any state, this one included. Updates of further members are counted
/// and dropped.
pub const MEMBERS_LIMIT: usize = 1024;
/// The longest packet as sent, in bytes, including its seal: the least that any IPv4 path in use
/// carries without fragmentation, with room to spare (RFC 9000, 14).
pub const PACKET_LIMIT: usize = 1200;
/// Bytes of a packet reserved for the seal: version 1, cluster 8, MAC 16.
pub const SEAL_ROOM: usize = 1 + 8 + 16;
/// Updates in one packet at most; further ones are counted and dropped. Encoded by postcard the
/// shortest update takes 12 bytes and the longest 81 (10 + 33 + 7 + 10 + 10 + 1 + 10), so a packet
/// has room for at least 13 and at most this many.
pub const UPDATES_LIMIT: usize = 96;

/// The configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The id of this member.
    pub me: MemberId,
    /// The name of this member, at most [`NAME_LIMIT`] bytes.
    pub name: String,
    /// The address at which other members reach this one. Answers go to the address that a packet
    /// names, never to the one it was received from.
    pub address: SocketAddrV4,
    /// Addresses contacted to join the fleet, and again for as long as no member is known at them.
    pub seeds: Vec<SocketAddrV4>,
    /// The first incarnation: 1, or higher than any earlier one that is remembered.
    pub incarnation: u64,
    /// A random number drawn by each process at its start, which distinguishes two processes of the
    /// same name.
    pub boot: u64,
    /// The interval between two probes.
    pub period: Duration,
    /// The seed of all pseudo-random decisions.
    pub seed: u64,
}

/// The state of a member as another one sees it. The order matters: at the same incarnation the
/// later state overrides the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Reachable,
    /// It has not answered a probe; it may still refute the suspicion.
    Suspected,
    /// It did not refute a suspicion in time (SWIM's "confirmed faulty"). Its last known details are
    /// kept, and operators see it as `last-known`.
    Dead,
    /// It left the fleet on its own account.
    Left,
}

/// A membership update about one member, as gossiped between members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// The member that this update is about.
    pub id: MemberId,
    /// The name of the member.
    pub name: String,
    /// The address at which the member is reached.
    pub address: SocketAddrV4,
    /// The incarnation of the member. Only the member itself raises it, to refute what others
    /// report.
    pub incarnation: u64,
    /// The random number that the member's process drew at its start.
    pub boot: u64,
    /// The state of the member.
    pub state: MemberState,
    /// The member that reported this: for a suspicion the member whose own probe went unanswered,
    /// otherwise (and where that is not known) the subject itself. It distinguishes independent
    /// suspicions from a suspicion that was passed on.
    pub reported_by: MemberId,
}

/// The purpose of a packet and its parameters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A direct probe: asks the receiver for an ack.
    Ping {
        /// An unpredictable number that the answer echoes.
        nonce: u32,
    },
    /// A request for an indirect probe (SWIM's ping-req): asks the receiver to ping a third member
    /// on the sender's behalf.
    PingRequest {
        /// An unpredictable number that the answer echoes.
        nonce: u32,
        /// The member to ping.
        target: MemberId,
        /// The address of the member to ping.
        address: SocketAddrV4,
    },
    /// The probed member answered.
    Ack {
        /// The nonce of the request.
        nonce: u32,
    },
    /// The member to ping did not answer the helper in time; the helper itself is up.
    Nack {
        /// The nonce of the request.
        nonce: u32,
    },
    /// Requests a full state sync: all members that the receiver knows, in as many packets as
    /// needed.
    SyncRequest,
    /// One packet of the answer to a sync request; the members are in its updates.
    SyncResponse,
    /// The sender leaves the fleet.
    Leave,
}

/// One packet: its sender, its purpose, and piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's own state.
    pub from: Update,
    /// The purpose of the packet.
    pub body: Body,
    /// Updates about other members.
    pub updates: Vec<Update>,
}

/// An input to the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A packet arrived whose seal was valid. It may be delayed, duplicated or replayed.
    Packet(&'a Packet),
    /// The time requested by [`Action::WakeAt`] has come. A wake at any other time is harmless.
    Wake,
    /// Leave the fleet: other members are notified, and nothing but leave messages is sent after
    /// that.
    Leave,
    /// Rejoin the fleet after [`Event::Leave`].
    Join,
    /// A packet could not be sent because of a fault of this process, so the lack of an answer says
    /// nothing about the receiver.
    SendFailed(&'a Packet),
}

/// An output of the state machine, carried out by the embedder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a packet.
    Send {
        /// The destination.
        to: SocketAddrV4,
        /// The packet.
        packet: Packet,
    },
    /// Deliver [`Event::Wake`] at that time. Only the latest such action counts.
    WakeAt(Time),
}

/// One member as this member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The latest update about the member.
    pub update: Update,
    /// When the member entered its current state.
    pub since: Time,
}

/// How complete a view is: whether this member may be on one side of a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionStatus {
    /// This member has never met another one.
    Alone,
    /// All members that have not left answer.
    Whole,
    /// Some members don't answer. Those that do are more than half, or exactly half including the
    /// lowest id.
    Majority,
    /// Those that answer are fewer than half, or exactly half without the lowest id: the other side
    /// may make different decisions.
    Minority,
}

/// The fleet as this member sees it, with how far the view can be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Increases with each change.
    pub version: u64,
    /// The id of this member.
    pub me: MemberId,
    /// The incarnation of this member.
    pub incarnation: u64,
    /// All members held, this one included, sorted by id.
    pub members: Vec<Member>,
    /// How complete the view is.
    pub partition: PartitionStatus,
    /// The local health score of this member (Lifeguard): 0 is healthy. The member multiplies its
    /// own timeouts by the score plus one.
    pub local_health: u32,
}

/// Event counters, which only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members probed by a direct ping.
    pub pings: u64,
    /// Probes answered, directly or through a helper.
    pub acks: u64,
    /// Nacks received from helpers.
    pub nacks: u64,
    /// Pings sent on behalf of other members.
    pub indirect_pings: u64,
    /// Pings outside the probe schedule: to dead members, to suspects and to seeds.
    pub extra_pings: u64,
    /// Suspicions raised by this member's own probes.
    pub suspicions: u64,
    /// Suspicions that timed out at this member, which then considered the suspect dead.
    pub deaths: u64,
    /// Times this member refuted an update that called it suspected, dead or left.
    pub refutations: u64,
    /// Packets from another process that uses this member's id, and refutations caused by one. A
    /// few are normal after a restart; a count that keeps growing means that two live processes
    /// share one name.
    pub name_conflicts: u64,
    /// Full state syncs requested.
    pub syncs_requested: u64,
    /// Full state syncs answered.
    pub syncs_answered: u64,
    /// Sync requests and indirect probe requests declined because too many came at once.
    pub requests_declined: u64,
    /// Updates dropped because the member table is full.
    pub dropped_table_full: u64,
    /// Members removed because their retention time was over or to make room.
    pub members_removed: u64,
    /// Packets and updates dropped for a value that no correct member sends: a name that is too
    /// long, an unusable address, this member's own id, or more updates than a packet may carry.
    pub malformed: u64,
    /// Updates dropped for an incarnation that no correct member reaches.
    pub implausible_incarnations: u64,
    /// Wakes that came so late that this process must have been stalled.
    pub late_wakes: u64,
}

/// Counters influence no decision: for a model checker, states that differ only in them are equal.
impl std::hash::Hash for Counts {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}
