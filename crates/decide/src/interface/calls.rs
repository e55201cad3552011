//! A call, and how an attempt at it may end.

use super::{ClassId, RequestId, TenantId, Time};
use std::time::Duration;

/// A call that a client hands to this balancer, which owes it exactly one final answer before `due`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Its identity.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the deployment has tenants.
    pub tenant: Option<TenantId>,
    /// When the client gives up this try.
    pub due: Time,
    /// Expected work, if hinted.
    pub cost: Option<Duration>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served. The first one is the call's final answer.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in the time allowed; it may have run or be running.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn by [`Action::Cancel`](super::Action::Cancel); it may have run.
    Cancelled,
    /// Not sent at all; it never ran.
    Moot,
}

impl Outcome {
    /// All of them, in the order in which they are counted and shown: as declared, so that `outcome as usize` is the
    /// place of each.
    pub const ALL: [Outcome; 8] = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Moot,
    ];

    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}
