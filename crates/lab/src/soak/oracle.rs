//! Checks the invariants of a soak on what both ends recorded, without I/O.
//!
//! Each time limit includes the slack of the protocol specification and that of the stand-ins,
//! which may be late themselves.

pub use invariant::{Invariant, Violation};

use super::records::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

mod invariant;
mod notification;
mod orders;
mod pressure;
#[cfg(test)]
mod tests;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Every time limit is extended by this on sockets (the protocol specification).
const SOCKET_SLACK: Duration = ms(50);
/// On a busy machine a stand-in may record something this much later than it happened, in addition
/// to its measured timer lateness.
const OBSERVATION_SLACK: Duration = ms(100);
/// An answer that is late by up to this earns nothing but violates no rule (the deployment's
/// requirements).
const ANSWER_SLACK: Duration = ms(500);
/// New attempts may go to an endpoint for this long after the process was notified that it drains
/// (the settings).
pub const DRAIN_GRACE: Duration = ms(500);
/// No attempt starts later than this after its client has closed the connection (the deployment's
/// requirements).
const CLIENT_GONE_SLACK: Duration = ms(100);
/// Slack for the time left that an attempt states (the deployment's requirements).
const TIME_LEFT_SLACK: Duration = ms(150);
/// Bad clients receive an error or a close within this time (the deployment's requirements).
const BAD_CLIENT_TIMEOUT: Duration = ms(3000);
/// A request sent up to this long after SIGTERM may be lost if SIGKILL finds it unanswered (the
/// protocol specification).
const EXCUSED_AFTER_SIGTERM: Duration = ms(700);
/// A keyed request may be repeated within this time (the settings of a soak).
pub const IDEMPOTENCY_WINDOW: Duration = ms(10_000);
/// The window in which the requests of a cold endpoint are counted. This and the following three
/// constants are values of the settings and the endpoints of a soak.
pub const COLD_WINDOW: Duration = ms(1500);
/// Within [`COLD_WINDOW`], a cold endpoint may get at most this multiple of what its current
/// capacity serves, plus the slack in [`cold_budget`].
pub const COLD_MULTIPLE: f64 = 3.0;
/// The share of its capacity that a cold endpoint begins with.
pub const COLD_FROM: f64 = 0.3;
/// The time after which an endpoint is warm.
pub const WARM_AFTER: Duration = ms(5000);

/// If the first bytes of two attempts are read within this time, the attempt that was read later
/// may have been sent first: one thread reads for all stand-ins.
const ORDER_UNCERTAINTY: Duration = ms(5);

/// All violations, ordered by time.
pub fn check(records: &Records) -> Vec<Violation> {
    let oracle = Oracle::new(records);
    let mut violations = [
        oracle.check_requests(),
        oracle.check_repeats(),
        oracle.check_attempts(),
        oracle.check_drains(),
        oracle.check_slow_starts(),
        oracle.check_bad_clients(),
        oracle.check_members(),
        oracle.check_orders(),
        oracle.check_memory(),
        oracle.check_long_messages(),
        oracle.check_returned_ids(),
        oracle.check_shared_ids(),
    ]
    .concat();
    violations.sort_by_key(|violation| violation.at);
    violations
}

struct Oracle<'a> {
    records: &'a Records,
    /// How much later than it happened a stand-in may have recorded something.
    observation_slack: Duration,
    requests: HashMap<&'a str, &'a Request>,
    /// The attempts of each request, ordered by their start.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Oracle<'a> {
    fn new(records: &'a Records) -> Oracle<'a> {
        let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &records.attempts {
            attempts.entry(&attempt.id).or_default().push(attempt);
        }
        attempts.values_mut().for_each(|of_one| of_one.sort_by_key(|attempt| attempt.started));
        Oracle {
            records,
            observation_slack: OBSERVATION_SLACK + records.timer_lateness,
            requests: records.requests.iter().map(|request| (request.id.as_str(), request)).collect(),
            attempts,
        }
    }

    fn check_requests(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for request in &self.records.requests {
            let latest = request.sent + request.client_timeout + ANSWER_SLACK + self.observation_slack;
            let lost = match request.end {
                RequestEnd::Answered { .. } => request.ended > latest,
                RequestEnd::Broken => !self.connection_may_break(request),
                RequestEnd::Unanswered => !self.killed_while_open(request),
                RequestEnd::Disconnected | RequestEnd::NotSent => false,
            };
            if lost {
                let attempts = self.attempts.get(request.id.as_str()).map_or(0, Vec::len);
                let description = format!("{request}, {attempts} attempts");
                violations.push(Violation {
                    invariant: Invariant::Answered,
                    at: request.ended,
                    description,
                });
            }
            if matches!(request.end, RequestEnd::Answered { status: 200, genuine: false }) {
                let invariant = Invariant::Genuine;
                violations.push(Violation {
                    invariant,
                    at: request.ended,
                    description: request.to_string(),
                });
            }
        }
        violations
    }

    /// Whether a connection may end with a request on it: the process was killed, or it had not
    /// read the request.
    fn connection_may_break(&self, request: &Request) -> bool {
        let unread = !self.attempts.contains_key(request.id.as_str());
        let idle_periods = self.records.idle_connection_periods.iter();
        let during_idle_period = { idle_periods }.any(|(member, from, until)| {
            *member == request.member && (*from..=*until).contains(&request.sent)
        });
        self.killed_while_open(request) || unread && (request.on_reused_connection || during_idle_period)
    }

    /// Whether the request's process was killed while the request was open, at a time that excuses
    /// the loss.
    fn killed_while_open(&self, request: &Request) -> bool {
        let member = &self.records.members[request.member];
        let Some(killed) = member.killed else { return false };
        let open = request.sent <= killed + self.observation_slack;
        match member.terminated {
            Some(sigterm_at) => {
                open && request.sent <= sigterm_at + EXCUSED_AFTER_SIGTERM
                    && request.sent + request.client_timeout >= killed
            }
            None => {
                open && killed
                    <= request.sent + request.client_timeout + ANSWER_SLACK + self.observation_slack
            }
        }
    }

    fn check_repeats(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, attempts) in &self.attempts {
            let Some(request) = self.requests.get(id) else { continue };
            for (index, earlier) in attempts.iter().enumerate() {
                let (Some(ran), false) = (earlier.received, earlier.rejected) else { continue };
                for later in attempts[index + 1..].iter().filter(|later| later.received.is_some()) {
                    let allowed = match request.effect {
                        Effect::Safe => true,
                        Effect::Keyed => {
                            later.started
                                <= ran + IDEMPOTENCY_WINDOW + SOCKET_SLACK + self.observation_slack
                        }
                        Effect::Unsafe => false,
                    };
                    let description = format!(
                        "{request}; at {} from {:.3} to {:.3?}, again at {} at {:.3}",
                        self.records.endpoints[earlier.endpoint],
                        earlier.started.as_secs_f64(),
                        earlier.ended.map(|ended| ended.as_secs_f64()),
                        self.records.endpoints[later.endpoint],
                        later.started.as_secs_f64(),
                    );
                    if !allowed {
                        let invariant = Invariant::NotRepeated;
                        violations.push(Violation {
                            invariant,
                            at: later.started,
                            description: description.clone(),
                        });
                    }
                    if self.are_concurrent(earlier, later) {
                        violations.push(Violation {
                            invariant: Invariant::OneAttempt,
                            at: later.started,
                            description,
                        });
                    }
                }
            }
        }
        violations
    }

    /// Whether two attempts were open at once. Where the order in which they were sent is
    /// uncertain, both orders are considered.
    fn are_concurrent(&self, earlier: &Attempt, later: &Attempt) -> bool {
        let outlasts = |one: &Attempt, other: &Attempt| {
            let received = other.received.unwrap_or(other.started);
            one.ended.is_none_or(|ended| ended > received + self.observation_slack)
        };
        let order_seen = later.started > earlier.started + ORDER_UNCERTAINTY + self.records.timer_lateness;
        outlasts(earlier, later) && (order_seen || outlasts(later, earlier))
    }

    fn check_attempts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for attempt in &self.records.attempts {
            let Some(request) = self.requests.get(attempt.id.as_str()) else { continue };
            let endpoint = &self.records.endpoints[attempt.endpoint];
            let at = attempt.started;
            if request.end == RequestEnd::Disconnected
                && at > request.ended + CLIENT_GONE_SLACK + self.observation_slack
            {
                let description = format!("{request}, and an attempt at {endpoint}");
                violations.push(Violation { invariant: Invariant::ClientGone, at, description });
            }
            let left = (request.sent + request.client_timeout).saturating_sub(attempt.started);
            if let Some(stated) =
                attempt.time_left.filter(|stated| *stated > left + TIME_LEFT_SLACK + self.observation_slack)
            {
                let description = format!(
                    "{request}, and an attempt at {endpoint} states {stated:?}, its client has {left:?}"
                );
                violations.push(Violation { invariant: Invariant::TimeLeft, at, description });
            }
        }
        violations
    }

    fn check_drains(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut notifications = notification::NotificationTimes::new(self.records);
        for attempt in &self.records.attempts {
            let Some(member) = self.records.member_of(&attempt.id) else { continue };
            let Some(since) = notifications.draining_since(member, attempt.endpoint, attempt.started)
            else {
                continue;
            };
            let limit = since + DRAIN_GRACE + SOCKET_SLACK + self.observation_slack;
            if attempt.started > limit {
                let description = format!(
                    "{} of {} went to {} {:.3} s after its process was notified that it drains",
                    attempt.id,
                    self.records.members[member].name,
                    self.records.endpoints[attempt.endpoint],
                    (attempt.started - since).as_secs_f64()
                );
                violations.push(Violation {
                    invariant: Invariant::Drain,
                    at: attempt.started,
                    description,
                });
            }
        }
        violations
    }

    fn check_slow_starts(&self) -> Vec<Violation> {
        let mut notifications = notification::NotificationTimes::new(self.records);
        let mut violations = Vec::new();
        for start in self.records.changes.iter().filter(|change| change.cold) {
            let (from, until) = (start.at, start.at + WARM_AFTER);
            let of_endpoint =
                self.records.attempts.iter().filter(|attempt| attempt.endpoint == start.endpoint);
            let mut attempts_while_cold: Vec<&Attempt> =
                of_endpoint.filter(|attempt| (from..until).contains(&attempt.started)).collect();
            attempts_while_cold.sort_by_key(|attempt| attempt.started);
            let exceeded = attempts_while_cold.iter().enumerate().find_map(|(index, last)| {
                let first = attempts_while_cold
                    .partition_point(|attempt| attempt.started + COLD_WINDOW <= last.started);
                let window = &attempts_while_cold[first..=index];
                let budget = cold_budget(last.started - from);
                let notified = window.iter().filter(|attempt| {
                    let member = self.records.member_of(&attempt.id);
                    member.is_some_and(|member| {
                        notifications.is_notified(member, start.version, attempt.started)
                    })
                });
                let notified = notified.count();
                (window.len() as f64 > budget && notified * 3 >= window.len() * 2).then_some((
                    last.started,
                    window.len(),
                    budget,
                ))
            });
            if let Some((at, count, budget)) = exceeded {
                let name = &self.records.endpoints[start.endpoint];
                let description = format!("{count} requests in a window at {name}, {budget:.1} allowed");
                violations.push(Violation { invariant: Invariant::SlowStart, at, description });
            }
        }
        violations
    }

    fn check_bad_clients(&self) -> Vec<Violation> {
        let served = |client: &&BadClient| {
            let member = &self.records.members[client.member];
            member.killed.is_none_or(|killed| killed > client.sent + BAD_CLIENT_TIMEOUT)
        };
        let late = |client: &&BadClient| {
            let limit = client.sent + BAD_CLIENT_TIMEOUT + self.observation_slack;
            client.ended.is_none_or(|ended| ended > limit)
        };
        let clients = self.records.bad_clients.iter().filter(served).filter(late);
        let violation = |client: &BadClient| Violation {
            invariant: Invariant::BadClients,
            at: client.sent,
            description: format!("{}: ended {:?}", self.records.members[client.member].name, client.ended),
        };
        clients.map(violation).collect()
    }

    fn check_members(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for member in &self.records.members {
            let at = member.killed.or(member.terminated).unwrap_or(member.started);
            if member.exited_cleanly == Some(false) {
                let description = format!("{} did not exit successfully before SIGKILL", member.name);
                violations.push(Violation { invariant: Invariant::Ends, at, description });
            }
            for line in &member.panics {
                let description = format!("{}: {line}", member.name);
                violations.push(Violation { invariant: Invariant::NoPanic, at, description });
            }
            let guard_violations =
                member.guard_violations.iter().flatten().filter(|(_, count)| **count > 0);
            for (rule, count) in guard_violations {
                let description = format!("{}: rule {rule} violated {count} times", member.name);
                violations.push(Violation { invariant: Invariant::Guard, at, description });
            }
        }
        violations
    }
}

/// The number of requests that a cold endpoint can take in one window at the given age (the
/// deployment's requirements).
pub fn cold_budget(age: Duration) -> f64 {
    let warmth = COLD_FROM + (1.0 - COLD_FROM) * (age.as_secs_f64() / WARM_AFTER.as_secs_f64()).min(1.0);
    let allowed = COLD_MULTIPLE * super::endpoint::CAPACITY_PER_S * warmth * COLD_WINDOW.as_secs_f64();
    let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
    allowed + slack
}
