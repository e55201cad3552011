//! News for a balancer, and what it asks of its embedder.

use super::{Call, Endpoint, EndpointId, ListKind, LoadReport, Outcome, RequestId, Time, TimerToken};
use std::time::Duration;

/// News for a balancer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Discovery's word on endpoints.
    Endpoints {
        /// How the entries relate to the list held.
        kind: ListKind,
        /// The entries.
        entries: &'a [Endpoint],
    },
    /// A subscription or fetch failed, or the subscription broke. The list held stays valid.
    DiscoveryFailed,
    /// A call arrived.
    Arrived(Call),
    /// The answer of a streamed call has begun: the attempt belongs to the client from now on.
    StreamStarted {
        /// The call.
        id: RequestId,
    },
    /// An attempt ended. Every [`Action::Send`] is followed by exactly one of these.
    Finished {
        /// The call.
        id: RequestId,
        /// The attempt, numbered from 0 in the order of sending.
        attempt: u8,
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Set if the call is closed, by this outcome or before: no answer is owed any more.
        closed: bool,
        /// Time since it was sent.
        elapsed: Duration,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A probe ended.
    ProbeFinished {
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// The client has left; nothing is owed for the call any more.
    Departed {
        /// The call.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] fired. Late, early or unknown ones are harmless.
    Timer {
        /// The token it was set with.
        token: TimerToken,
    },
}

/// What a balancer asks of its embedder, to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt. Attempts of a call are numbered 0, 1, ... in this order.
    Send {
        /// The call.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Abandon it (as [`Outcome::TimedOut`]) at this time; never later than the call's `due`.
        until: Time,
    },
    /// Final answer: refused; the client may safely try again.
    Refuse {
        /// The call.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The call.
        id: RequestId,
    },
    /// Withdraw one attempt; also legal after the call is closed.
    Cancel {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Ask an endpoint for its health and load report.
    Probe {
        /// Where to.
        endpoint: EndpointId,
    },
    /// Deliver [`Event::Timer`] once `after` has passed.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// Handed back with the event.
        token: TimerToken,
    },
    /// Subscribe to discovery. Answered by [`Event::Endpoints`] or [`Event::DiscoveryFailed`].
    Subscribe,
}
