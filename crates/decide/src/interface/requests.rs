//! A request, and how an attempt of it may end.

use super::{ClassId, RequestId, TenantId, Time};
use std::time::Duration;

/// A request from a client to this balancer, which owes it exactly one final answer before `deadline`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant, if the deployment has tenants.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting for an answer to this request. A client retry is another
    /// request.
    pub deadline: Time,
    /// Expected work of the request, if the client gave a hint.
    pub cost: Option<Duration>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint answered. The first such outcome is the request's final answer.
    Ok,
    /// The endpoint answered with an error; the attempt may have run.
    Error,
    /// The endpoint refused the attempt without processing it; it never ran.
    Rejected,
    /// No answer in the time allowed; the attempt may have run or be running.
    TimedOut,
    /// No connection; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Withdrawn by [`Action::Cancel`](super::Action::Cancel); the attempt may have run.
    Cancelled,
    /// The embedder did not send the attempt; it never ran.
    NotSent,
}

impl Outcome {
    /// All outcomes, in the order in which they are counted and shown, which is the order of
    /// declaration, so that `outcome as usize` is the index of each.
    pub const ALL: [Outcome; 8] = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];

    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
