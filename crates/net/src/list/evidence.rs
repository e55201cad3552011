//! Maps the end of a poll to evidence about discovery.

use super::schedule::{PollOutcome, REJECTION_TIME};
use crate::origin::Origin;
use cottonpoint_core::PollEvent;
use std::io::{Error, ErrorKind};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The outcome of a poll whose connect failed. Only a response from the other side, or silence for
/// the whole connect timeout, counts against discovery; a path error does so once it has persisted
/// for that time (`super::poll`).
pub(super) fn connect_outcome(error: &Error) -> PollOutcome {
    match Origin::of(error) {
        Origin::Peer if error.kind() == ErrorKind::ConnectionRefused => PollOutcome::Refused,
        Origin::Peer => PollOutcome::Failed,
        Origin::Timeout => PollOutcome::Unconnected,
        Origin::Path => PollOutcome::PathFailed,
        Origin::Local => PollOutcome::NotMade,
    }
}

/// The outcome of a poll whose connection failed during the exchange; `on_timeout` applies where
/// nothing was received in time.
pub(super) fn exchange_outcome(error: &Error, on_timeout: PollOutcome) -> PollOutcome {
    match Origin::of(error) {
        Origin::Peer => PollOutcome::Failed,
        Origin::Timeout => on_timeout,
        Origin::Path | Origin::Local => PollOutcome::PathFailed,
    }
}

/// A failed poll as evidence for the lease on the list.
pub(super) fn evidence(outcome: PollOutcome, took: Duration) -> PollEvent {
    match outcome {
        PollOutcome::TurnedAway if took < REJECTION_TIME => PollEvent::RejectedAtOnce,
        PollOutcome::TurnedAway => PollEvent::RejectedAfterWait,
        PollOutcome::Refused | PollOutcome::Unconnected => PollEvent::Unreachable,
        PollOutcome::Silent { .. } => PollEvent::TimedOut,
        // Where discovery is down, a poll may end with a reset in place of 503 (the protocol
        // specification).
        PollOutcome::Failed if took >= REJECTION_TIME => PollEvent::RejectedAfterWait,
        PollOutcome::Failed => PollEvent::BrokenAtOnce,
        PollOutcome::Unusable => PollEvent::Unusable,
        PollOutcome::PathFailed
        | PollOutcome::ErrorStatus
        | PollOutcome::NotMade
        | PollOutcome::Answered { .. } => PollEvent::Inconclusive,
    }
}
