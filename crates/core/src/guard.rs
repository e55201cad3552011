//! The guard: the one place that says whether something may begin now (a first attempt, a retry, the first byte after a
//! connection came up late, the end of a client's connection), and that checks afterwards whether a rule was broken.
//!
//! Who asks gives the facts; the guard has no I/O and no clock. It counts what it denies by reason, and violations by rule.

use cottonpoint_decide::{Outcome, Time};
use std::cell::Cell;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A write may end so long after the time that the guard was asked about (the operators' page: a process may be held up).
const HELD_UP: Duration = Duration::from_millis(150);

/// Why an attempt must not begin, or not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The client has closed its connection.
    ClientGone,
    /// The request has had its final answer, or is owed none.
    RequestOver,
    /// An earlier attempt may have run, and the request's class does not allow another one now.
    NotRepeatable,
    /// The time of the attempt is over.
    OutOfTime,
    /// The list could not be confirmed for so long that any endpoint on it may have left.
    ListExpired,
    /// The endpoint drains, or was taken out by hand.
    EndpointLeaving,
    /// The list does not name the endpoint any more.
    EndpointGone,
}

impl Denial {
    /// All of them, in the order of their numbers.
    pub const ALL: [Denial; 7] = [
        Denial::ClientGone,
        Denial::RequestOver,
        Denial::NotRepeatable,
        Denial::OutOfTime,
        Denial::ListExpired,
        Denial::EndpointLeaving,
        Denial::EndpointGone,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ClientGone => "client_gone",
            Denial::RequestOver => "request_over",
            Denial::NotRepeatable => "not_repeatable",
            Denial::OutOfTime => "out_of_time",
            Denial::ListExpired => "list_expired",
            Denial::EndpointLeaving => "endpoint_leaving",
            Denial::EndpointGone => "endpoint_gone",
        }
    }

    /// How an attempt that it ends is booked: none of them ran, and what this process did not let begin says nothing of the
    /// endpoint.
    pub fn outcome(self) -> Outcome {
        Outcome::NotSent
    }
}

/// A rule that was found broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt began after the lease on the list and the whole grace.
    SentOnExpiredList,
    /// An attempt began after its time.
    SentOutOfTime,
    /// A connection was to be closed under a request that was owed an answer.
    ClosedWithoutAnswer,
}

impl Violation {
    /// All of them, in the order of their numbers.
    pub const ALL: [Violation; 3] =
        [Violation::SentOnExpiredList, Violation::SentOutOfTime, Violation::ClosedWithoutAnswer];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentOnExpiredList => "sent_on_expired_list",
            Violation::SentOutOfTime => "sent_out_of_time",
            Violation::ClosedWithoutAnswer => "closed_without_answer",
        }
    }
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStanding {
    /// It takes new work.
    Active,
    /// It finishes what it has.
    Leaving,
    /// The list does not name it.
    Unlisted,
}

/// What the guard must know of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether its first byte is written.
    pub begun: bool,
    /// Whether its client still waits.
    pub client_waits: bool,
    /// Whether its request is still owed an answer.
    pub request_open: bool,
    /// Whether the request's class allows an attempt that comes to its endpoint at the expected time.
    pub repeatable: bool,
    /// When it is given up.
    pub until: Time,
    /// What is known of its endpoint.
    pub endpoint: EndpointStanding,
    /// Whether the lease on the list holds.
    pub list_valid: bool,
}

impl AttemptFacts {
    /// Why its next byte must not be written; `None` where it may be.
    fn denial(&self, now: Time) -> Option<Denial> {
        let endpoint = match self.endpoint {
            EndpointStanding::Active => None,
            EndpointStanding::Leaving => Some(Denial::EndpointLeaving),
            EndpointStanding::Unlisted => Some(Denial::EndpointGone),
        };
        let expired = (!self.list_valid).then_some(Denial::ListExpired);
        // What has begun may go on at an endpoint that leaves meanwhile.
        let endpoint = expired.or(endpoint).filter(|_| !self.begun);
        let denied = |denial, holds: bool| (!holds).then_some(denial);
        denied(Denial::ClientGone, self.client_waits)
            .or(denied(Denial::RequestOver, self.request_open))
            .or(denied(Denial::OutOfTime, now < self.until))
            .or(endpoint)
            .or(denied(Denial::NotRepeatable, self.repeatable))
    }
}

/// The guard, and what it has counted.
#[derive(Debug, Default)]
pub struct Guard {
    denials: [Cell<u64>; Denial::ALL.len()],
    violations: [Cell<u64>; Violation::ALL.len()],
}

impl Guard {
    /// Whether the next byte of an attempt may be written now.
    pub fn may_write(&self, now: Time, facts: AttemptFacts) -> Result<(), Denial> {
        match facts.denial(now) {
            None => Ok(()),
            Some(denial) => {
                more(&self.denials[denial as usize]);
                Err(denial)
            }
        }
    }

    /// Checks an attempt whose first byte is written, by a clock that was read afterwards.
    pub fn check_begun(&self, now: Time, until: Time, list_violated: bool) -> Option<Violation> {
        if list_violated {
            return Some(self.violation(Violation::SentOnExpiredList));
        }
        (now > until + HELD_UP).then(|| self.violation(Violation::SentOutOfTime))
    }

    /// Whether a client's connection may be closed with no answer to a request that was read: only where nobody is there.
    /// What is asked otherwise is a violation, and the request is to be answered as failed.
    pub fn may_close_unanswered(&self, client_waits: bool) -> Result<(), Violation> {
        if client_waits { Err(self.violation(Violation::ClosedWithoutAnswer)) } else { Ok(()) }
    }

    fn violation(&self, violation: Violation) -> Violation {
        more(&self.violations[violation as usize]);
        violation
    }

    /// How often each reason denied something.
    pub fn denials(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Denial::ALL.iter().zip(&self.denials).map(|(denial, count)| (denial.name(), count.get()))
    }

    /// How often each rule was found broken.
    pub fn violations(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Violation::ALL.iter().zip(&self.violations).map(|(rule, count)| (rule.name(), count.get()))
    }
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
