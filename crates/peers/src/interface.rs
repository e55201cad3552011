//! What a member is told, what it asks for, and what it says to others. Plain data, no behaviour.

use cottonpoint_decide::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Names a member: the same at every other one and across restarts of its process (a hash of its name).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// The longest name of a member, in bytes: several of them have to fit into one packet.
pub const NAME_LIMIT: usize = 32;
/// Members held at most, this one included, whatever their standing; news of further ones is counted and dropped.
pub const MEMBERS_LIMIT: usize = 1024;
/// The longest packet in bytes as sent, seal and all: the least that any IPv4 path in use carries unsplit, with
/// room (RFC 9000, 14).
pub const PACKET_LIMIT: usize = 1200;
/// Bytes of a packet kept for the seal: version 1, cluster 8, MAC 16.
pub const SEAL_ROOM: usize = 1 + 8 + 16;
/// Updates in one packet at most; further ones are counted and dropped. The shortest update takes 12 bytes by
/// postcard, the longest 81 (10 + 33 + 7 + 10 + 10 + 1 + 10), so that no more than these, and no fewer than 13, fit.
pub const UPDATES_LIMIT: usize = 96;

/// All that a member is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Its identity.
    pub me: MemberId,
    /// Its name, [`NAME_LIMIT`] bytes at most.
    pub name: String,
    /// Where others reach it. Answers go to the address that the asker names, never to where a packet came from.
    pub address: SocketAddrV4,
    /// Whom to ask at first, and again for as long as it is alone.
    pub seeds: Vec<SocketAddrV4>,
    /// Its first incarnation: 1, or more than any before where an earlier one is remembered.
    pub incarnation: u64,
    /// Drawn anew by each process: tells two processes of one name apart.
    pub boot: u64,
    /// Between two probes.
    pub period: Duration,
    /// The seed of all randomness.
    pub seed: u64,
}

/// What others hold of a member. Order matters: of one incarnation the later of these wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It answers.
    Reachable,
    /// It has not answered; it may yet say so itself.
    Suspected,
    /// It did not answer in time: what is known of it is the last that was known.
    LastKnown,
    /// It said goodbye.
    Left,
}

/// News of one member, as members pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// Of whom.
    pub id: MemberId,
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its incarnation: only the member itself raises it, to contradict what is said of it.
    pub incarnation: u64,
    /// Its process, as drawn at its start.
    pub boot: u64,
    /// How it stands.
    pub standing: Standing,
    /// Who says so: of a suspicion the member whose own probe went unanswered, of all else (and where that is not
    /// known) the member itself. Tells suspicions that several came to by themselves from one that was passed on.
    pub by: MemberId,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver is there.
    Ping {
        /// Handed back in the answer.
        number: u32,
    },
    /// Asks the receiver to ping a third member on the sender's behalf.
    PingFor {
        /// Handed back in the answer.
        number: u32,
        /// Whom to ping.
        whom: MemberId,
        /// Where it is reached.
        address: SocketAddrV4,
    },
    /// The one asked about is there.
    Ack {
        /// The number asked under.
        number: u32,
    },
    /// The one asked for has not answered the helper in time; the helper itself is well.
    Nack {
        /// The number asked under.
        number: u32,
    },
    /// Asks for all that the receiver knows, in as many packets as it takes.
    Sync,
    /// A part of all that the sender knows: its updates.
    Known,
    /// Goodbye.
    Leave,
}

/// One packet: who speaks, what for, and news that travel along.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// The sender as it sees itself.
    pub from: Update,
    /// What it is for.
    pub body: Body,
    /// News of members.
    pub updates: Vec<Update>,
}

/// What a member is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A packet came whose seal was right. It may be late, a second copy, or an old one sent again.
    Packet(&'a Packet),
    /// The time asked for by [`Action::WakeAt`] has come (or any other time: it does no harm).
    Wake,
    /// It leaves: others are told, and nothing is sent after that but goodbyes.
    Leave,
    /// It is a member again after [`Event::Leave`].
    Join,
    /// A packet could not be sent, by a fault of this process: no silence that follows is the other member's.
    NotSent(&'a Packet),
}

/// What a member asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a packet.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// What.
        packet: Packet,
    },
    /// Give [`Event::Wake`] at that time; only the latest such action counts.
    WakeAt(Time),
}

/// One member as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The news held of it.
    pub news: Update,
    /// When it came to that standing.
    pub since: Time,
}

/// How far a view can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Nobody else was ever met.
    Alone,
    /// All members that have not left answer.
    Whole,
    /// Some do not answer; those that do are more than half, or half with the lowest id among them.
    Larger,
    /// Those that answer are fewer than half, or half without the lowest id: others may decide elsewhere.
    Smaller,
}

/// Who is there, as this member sees it; it names its own uncertainty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Grows with each change.
    pub version: u64,
    /// This member.
    pub me: MemberId,
    /// Its incarnation.
    pub incarnation: u64,
    /// All members held, this one included, by id.
    pub members: Vec<Member>,
    /// How far it can be trusted.
    pub part: Part,
    /// How unwell this member itself is: 0 is well; its own waits are longer by that many times.
    pub unwell: u32,
}

/// What has happened so far, in counts that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members probed by a direct ping.
    pub pings: u64,
    /// Probes answered, directly or through others.
    pub acks: u64,
    /// Helpers that said they had no answer either.
    pub nacks: u64,
    /// Pings sent on behalf of others.
    pub helped: u64,
    /// Pings to members last known, to suspects and to seeds.
    pub knocks: u64,
    /// Suspicions that this member came to by its own probe.
    pub suspicions: u64,
    /// Suspicions that ran out here: members held last known by this one's own word.
    pub deaths: u64,
    /// Times this member spoke up against news of its own being suspected, last known or gone.
    pub refutations: u64,
    /// Packets of another process by this member's name, and times this member spoke up because of one: a few after
    /// a restart; a count that goes on growing means two live processes of one name.
    pub namesakes: u64,
    /// Full exchanges asked for.
    pub syncs: u64,
    /// Full exchanges given.
    pub given: u64,
    /// Full exchanges and pings for others withheld, because too many were asked for at once.
    pub withheld: u64,
    /// News of a member dropped because the table is full.
    pub full: u64,
    /// Members forgotten for age or to make room.
    pub forgotten: u64,
    /// Packets and updates dropped for a value that no honest member sends: a long name, an address nobody can
    /// have, this member's own id, more updates than a packet may carry.
    pub bad: u64,
    /// Updates dropped for an incarnation that no honest member reaches.
    pub absurd: u64,
    /// Wakes that came so late that this process must have stood still.
    pub late: u64,
}

/// What is past decides nothing: two states that differ in their counts alone are one to a model checker.
impl std::hash::Hash for Counts {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}
