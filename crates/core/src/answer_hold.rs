//! Decides how long an endpoint's answer is held back. While it is held, another attempt can still
//! be made; once its first byte has been passed on to the client, none can. Does no I/O and reads no
//! clock.

use cottonpoint_decide::Time;
use std::time::Duration;

/// Longest body that is held whole, in bytes. Only the first bytes of a longer answer are timed (the
/// deployment's requirements).
pub const HOLD_LIMIT_BYTES: u64 = 64 << 10;
/// An answer of unknown length that has not ended this long after its head may be a long one, and is
/// passed on as it comes.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// A held answer without a byte for this long is given up, if another attempt can be made.
const STALL_TIME: Duration = Duration::from_millis(500);
/// At the request's deadline an answer of unknown length that cannot be repeated is passed on, unless
/// it has stalled for this long.
const LATE_STALL_TIME: Duration = Duration::from_secs(2);
/// With less than this, in bytes, an answer that may be repeated is given up rather than passed on
/// late: it may be one that never ends.
const SUBSTANTIAL_BYTES: u64 = 1 << 10;

/// What to do with a held answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Hold it, and decide again at this time or after the next bytes.
    HoldUntil(Time),
    /// Pass on what there is, and from now on all that comes.
    PassOn,
    /// Give it up: it has stalled, and another attempt can be made.
    GiveUp,
    /// The time of the request is over.
    TimedOut,
}

/// An answer that has begun and is held back.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHold {
    /// The length of the body in bytes, if the answer states it.
    declared: Option<u64>,
    /// Whether another attempt would be allowed.
    repeatable: bool,
    /// When the client stops waiting for its first bytes.
    deadline: Time,
    head_at: Time,
    last_byte_at: Time,
    received: u64,
}

impl AnswerHold {
    /// An answer whose head has arrived now.
    pub fn new(declared: Option<u64>, repeatable: bool, deadline: Time, now: Time) -> AnswerHold {
        AnswerHold { declared, repeatable, deadline, head_at: now, last_byte_at: now, received: 0 }
    }

    /// Records bytes of the body.
    pub fn receive(&mut self, bytes: usize, now: Time) {
        self.received += bytes as u64;
        self.last_byte_at = now;
    }

    /// Number of bytes of the body received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// What to do now with the answer, which is not complete.
    pub fn decide(&self, now: Time) -> HoldDecision {
        let is_long = self.declared.is_some_and(|length| length > HOLD_LIMIT_BYTES);
        if is_long || self.received > HOLD_LIMIT_BYTES {
            return HoldDecision::PassOn;
        }
        let may_be_long = self.declared.is_none() && self.received > 0;
        let has_stalled = now >= self.last_byte_at + STALL_TIME;
        let is_substantial = self.received >= SUBSTANTIAL_BYTES;
        if now >= self.deadline {
            let arrives = !self.repeatable && now < self.last_byte_at + LATE_STALL_TIME;
            let arrives = arrives || is_substantial;
            return if may_be_long && arrives { HoldDecision::PassOn } else { HoldDecision::TimedOut };
        }
        if self.repeatable && has_stalled {
            return HoldDecision::GiveUp;
        }
        let late = now >= self.head_at + HOLD_TIME;
        if may_be_long && late && !has_stalled {
            let give_up = self.repeatable && !is_substantial;
            return if give_up { HoldDecision::GiveUp } else { HoldDecision::PassOn };
        }
        HoldDecision::HoldUntil(self.next_decision(may_be_long && !late))
    }

    fn next_decision(&self, awaits_hold_time: bool) -> Time {
        let stall = self.repeatable.then(|| self.last_byte_at + STALL_TIME);
        let late = awaits_hold_time.then(|| self.head_at + HOLD_TIME);
        stall.into_iter().chain(late).fold(self.deadline, Time::min)
    }
}

#[cfg(test)]
mod tests;
