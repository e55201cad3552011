//! The guard: the single place that decides whether something may start now (a first attempt, a
//! retry, the first byte after a connection was established late, closing a client's connection),
//! and that checks afterwards whether a rule was violated.
//!
//! Callers supply the facts; the guard does no I/O and reads no clock. It counts denials by reason
//! and violations by rule.

use cottonpoint_decide::{Outcome, Time};
use std::cell::Cell;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A write may complete this long after the time that the guard was given, since a process may be
/// stalled for that long (the deployment's requirements).
const MAX_STALL: Duration = Duration::from_millis(150);

/// Why an attempt must not start or continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The client has closed its connection.
    ClientGone,
    /// The request has had its final answer, or is owed none.
    RequestOver,
    /// An earlier attempt may have run, and the request's class does not allow another one now.
    NotRepeatable,
    /// The deadline of the attempt has passed.
    OutOfTime,
    /// The lease on the endpoint list has expired: any endpoint on it may have been removed.
    ListExpired,
    /// The endpoint is draining, or an operator has taken it offline.
    EndpointLeaving,
    /// The endpoint is no longer on the list.
    EndpointGone,
}

impl Denial {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Denial; 7] = [
        Denial::ClientGone,
        Denial::RequestOver,
        Denial::NotRepeatable,
        Denial::OutOfTime,
        Denial::ListExpired,
        Denial::EndpointLeaving,
        Denial::EndpointGone,
    ];

    /// Name in logs and metrics.
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

    /// Outcome reported for an attempt that was denied. No such attempt has run, and a denial by
    /// this process is no evidence about the endpoint.
    pub fn outcome(self) -> Outcome {
        Outcome::NotSent
    }
}

/// A violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt started after the lease on the endpoint list and its whole grace period.
    SentOnExpiredList,
    /// An attempt started after its deadline.
    SentOutOfTime,
    /// A connection was about to be closed while a request on it was owed an answer.
    ClosedWithoutAnswer,
}

impl Violation {
    /// All rules, in the order of their discriminants.
    pub const ALL: [Violation; 3] =
        [Violation::SentOnExpiredList, Violation::SentOutOfTime, Violation::ClosedWithoutAnswer];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentOnExpiredList => "sent_on_expired_list",
            Violation::SentOutOfTime => "sent_out_of_time",
            Violation::ClosedWithoutAnswer => "closed_without_answer",
        }
    }
}

/// Status of an endpoint as far as the guard is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStanding {
    /// Accepts new attempts.
    Active,
    /// Draining: finishes the requests that it has.
    Leaving,
    /// Not on the list.
    Unlisted,
}

/// The facts that decide whether an attempt may start or continue.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether the first byte has been written.
    pub started: bool,
    /// Whether the client is still waiting.
    pub client_waits: bool,
    /// Whether the request is still owed an answer.
    pub request_open: bool,
    /// Whether the request's class allows an attempt that reaches its endpoint at the expected
    /// time.
    pub repeatable: bool,
    /// Time at which the attempt is abandoned.
    pub deadline: Time,
    /// Status of the endpoint.
    pub endpoint: EndpointStanding,
    /// Whether the lease on the endpoint list is valid.
    pub list_valid: bool,
}

impl AttemptFacts {
    /// Why the next byte must not be written; `None` if it may be.
    fn denial(&self, now: Time) -> Option<Denial> {
        let endpoint = match self.endpoint {
            EndpointStanding::Active => None,
            EndpointStanding::Leaving => Some(Denial::EndpointLeaving),
            EndpointStanding::Unlisted => Some(Denial::EndpointGone),
        };
        let expired = (!self.list_valid).then_some(Denial::ListExpired);
        // An attempt that has started may continue at an endpoint that starts draining meanwhile.
        let endpoint = expired.or(endpoint).filter(|_| !self.started);
        let deny_unless = |denial, allowed: bool| (!allowed).then_some(denial);
        deny_unless(Denial::ClientGone, self.client_waits)
            .or(deny_unless(Denial::RequestOver, self.request_open))
            .or(deny_unless(Denial::OutOfTime, now < self.deadline))
            .or(endpoint)
            .or(deny_unless(Denial::NotRepeatable, self.repeatable))
    }
}

/// The guard and its counters.
#[derive(Debug, Default)]
pub struct Guard {
    denials: [Cell<u64>; Denial::ALL.len()],
    violations: [Cell<u64>; Violation::ALL.len()],
}

impl Guard {
    /// Whether the next byte of an attempt may be written now. Counts the denial if not.
    pub fn may_write(&self, now: Time, facts: AttemptFacts) -> Result<(), Denial> {
        match facts.denial(now) {
            None => Ok(()),
            Some(denial) => {
                increment(&self.denials[denial as usize]);
                Err(denial)
            }
        }
    }

    /// Checks an attempt after its first byte was written; `now` must have been read after the
    /// write.
    pub fn check_started(&self, now: Time, deadline: Time, list_violated: bool) -> Option<Violation> {
        if list_violated {
            return Some(self.violation(Violation::SentOnExpiredList));
        }
        (now > deadline + MAX_STALL).then(|| self.violation(Violation::SentOutOfTime))
    }

    /// Whether a client's connection may be closed without an answer to a request that was read:
    /// only if the client has gone. Otherwise the attempt to close is a violation, and the caller
    /// must answer the request as failed.
    pub fn may_close_unanswered(&self, client_waits: bool) -> Result<(), Violation> {
        if client_waits { Err(self.violation(Violation::ClosedWithoutAnswer)) } else { Ok(()) }
    }

    fn violation(&self, violation: Violation) -> Violation {
        increment(&self.violations[violation as usize]);
        violation
    }

    /// Number of denials for each reason.
    pub fn denials(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Denial::ALL.iter().zip(&self.denials).map(|(denial, count)| (denial.name(), count.get()))
    }

    /// Number of violations of each rule.
    pub fn violations(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Violation::ALL.iter().zip(&self.violations).map(|(rule, count)| (rule.name(), count.get()))
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
