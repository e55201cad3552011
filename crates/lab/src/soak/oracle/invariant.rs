//! The invariants of a soak, and what a violation of one looks like.

use crate::soak::records::Timestamp;
use std::fmt;

/// A rule of the protocol specification, as a soak checks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets one final answer before its deadline.
    Answered,
    /// A served answer is one that an endpoint made for that request.
    Genuine,
    /// A request that may have run is sent again only as its class allows.
    NotRepeated,
    /// A request has at most one attempt at a time.
    OneAttempt,
    /// No new attempts go to a draining or removed endpoint after the grace period.
    Drain,
    /// No new attempts are made for a client that has disconnected.
    ClientGone,
    /// The time left that an attempt states is no more than its client has left.
    TimeLeft,
    /// No cold endpoint is overloaded by all processes together.
    SlowStart,
    /// Bad clients receive an error or a close.
    BadClients,
    /// A process that receives SIGTERM exits successfully before SIGKILL.
    Ends,
    /// No process panics or crashes.
    NoPanic,
    /// The program's own guard has counted no violation.
    Guard,
    /// An endpoint taken offline by an operator stays offline, also for the next process in the
    /// same slot.
    StaysOut,
    /// No process holds more memory than its part of the limit.
    Memory,
    /// Long requests and answers pass, and what an endpoint still gives is not cut off.
    LongMessages,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 15] = [
        Invariant::Answered,
        Invariant::Genuine,
        Invariant::NotRepeated,
        Invariant::OneAttempt,
        Invariant::Drain,
        Invariant::ClientGone,
        Invariant::TimeLeft,
        Invariant::SlowStart,
        Invariant::BadClients,
        Invariant::Ends,
        Invariant::NoPanic,
        Invariant::Guard,
        Invariant::StaysOut,
        Invariant::Memory,
        Invariant::LongMessages,
    ];
}

/// One violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// When it was violated.
    pub at: Timestamp,
    /// What was observed.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {:?}: {}", self.at.as_secs_f64(), self.invariant, self.description)
    }
}
