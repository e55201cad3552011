//! What the end of a poll says about discovery.

use super::schedule::{Outcome, REJECTED_WITHIN};
use crate::origin::Origin;
use cottonpoint_core::PollEvent;
use std::io::{Error, ErrorKind};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How a connect ended that failed. Only what the other side says counts against discovery, and a silence for the whole
/// time-out; an error of the way does so once it has lasted as long (`super::poll`).
pub(super) fn connect_outcome(why: &Error) -> Outcome {
    match Origin::of(why) {
        Origin::Peer if why.kind() == ErrorKind::ConnectionRefused => Outcome::Refused,
        Origin::Peer => Outcome::Failed,
        Origin::Silence => Outcome::Unconnected,
        Origin::Path => Outcome::PathFailed,
        Origin::Process => Outcome::NotMade,
    }
}

/// How a poll ended whose connection failed under it; `silent` where nothing was heard in time.
pub(super) fn exchange_outcome(why: &Error, silent: Outcome) -> Outcome {
    match Origin::of(why) {
        Origin::Peer => Outcome::Failed,
        Origin::Silence => silent,
        Origin::Path | Origin::Process => Outcome::PathFailed,
    }
}

/// A failed poll as evidence for the lease on the list.
pub(super) fn evidence(outcome: Outcome, took: Duration) -> PollEvent {
    match outcome {
        Outcome::TurnedAway if took < REJECTED_WITHIN => PollEvent::RejectedAtOnce,
        Outcome::TurnedAway => PollEvent::RejectedAfterWait,
        Outcome::Refused | Outcome::Unconnected => PollEvent::Unreachable,
        Outcome::Silent { .. } => PollEvent::TimedOut,
        // Where discovery is down, a call may end with a reset in place of 503 (the protocol page).
        Outcome::Failed if took >= REJECTED_WITHIN => PollEvent::RejectedAfterWait,
        Outcome::Failed
        | Outcome::PathFailed
        | Outcome::Unusable
        | Outcome::NotMade
        | Outcome::Answered { .. } => PollEvent::Inconclusive,
    }
}
