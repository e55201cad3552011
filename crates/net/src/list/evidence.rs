//! What the end of a poll says about discovery.

use super::schedule::{AT_THE_DOOR, Outcome};
use cottonpoint_core::PollEvent;
use std::io::{Error, ErrorKind};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How a poll ended whose connection did not come up. Only what the other side, or the way to it, says counts against
/// discovery: a process that runs out of ports, buffers or descriptors has failed by itself.
pub(super) fn connect_outcome(why: &Error) -> Outcome {
    match why.kind() {
        ErrorKind::ConnectionRefused => Outcome::Refused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable => Outcome::Unconnected,
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Outcome::Failed,
        _ => Outcome::NotMade,
    }
}

/// A failed poll as evidence for the lease on the list.
pub(super) fn evidence(outcome: Outcome, took: Duration) -> PollEvent {
    match outcome {
        Outcome::TurnedAway if took < AT_THE_DOOR => PollEvent::Rejected,
        Outcome::TurnedAway => PollEvent::TurnedAway,
        Outcome::Refused | Outcome::Unconnected => PollEvent::Unreachable,
        Outcome::Silent { .. } => PollEvent::Silent,
        // Where discovery is down, a call may end with a reset in place of 503 (the protocol page).
        Outcome::Failed if took >= AT_THE_DOOR => PollEvent::TurnedAway,
        Outcome::Failed | Outcome::Unusable | Outcome::NotMade | Outcome::Answered { .. } => {
            PollEvent::Broken
        }
    }
}
