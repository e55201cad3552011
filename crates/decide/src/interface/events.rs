//! What happens to a balancer, and what it asks its embedder to do.

use super::{Endpoint, EndpointId, ListKind, LoadReport, Outcome, Request, RequestId, Time, TimerToken};
use std::time::Duration;

/// Something that happened, as reported to a balancer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Discovery sent endpoints.
    Endpoints {
        /// How the entries relate to the list already held.
        kind: ListKind,
        /// The entries.
        entries: &'a [Endpoint],
    },
    /// A subscription or fetch failed, or the subscription broke. The list already held stays
    /// valid.
    DiscoveryFailed,
    /// A request arrived.
    Arrived(Request),
    /// A streamed answer has begun to reach the client: from now on the balancer neither repeats nor
    /// answers the request.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended. Every [`Action::Send`] is followed by exactly one of these.
    Finished {
        /// The request.
        id: RequestId,
        /// The attempt, numbered from 0 in the order of sending.
        attempt: u8,
        /// The endpoint that it was sent to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is closed, by this outcome or before: no answer is owed any more.
        closed: bool,
        /// Time since the attempt was sent.
        elapsed: Duration,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A probe ended.
    ProbeFinished {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// The client of a request is gone; no answer is owed for it any more.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] fired. Late, early or unknown timers do no harm.
    Timer {
        /// The token that it was set with.
        token: TimerToken,
    },
}

/// What a balancer asks its embedder to do, to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts an attempt. The attempts of a request are numbered 0, 1, ... in this order.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// When to abandon the attempt (as [`Outcome::TimedOut`]); never later than the request's
        /// `deadline`.
        attempt_deadline: Time,
    },
    /// Final answer: refused. The request had no effect, or repeating it is harmless, so that a
    /// client retry is safe.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a client retry.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, with no promise about the request's effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Withdraws one attempt; also permitted after the request is closed.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Asks an endpoint for its health and load report.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Delivers [`Event::Timer`] once `after` has passed.
    SetTimer {
        /// The time from now.
        after: Duration,
        /// Returned with the event.
        token: TimerToken,
    },
    /// Subscribes to discovery. Answered by [`Event::Endpoints`] or [`Event::DiscoveryFailed`].
    Subscribe,
}
