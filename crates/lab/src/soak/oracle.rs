//! The invariants of a soak, looked for in what both ends saw: no I/O.
//!
//! Each time limit has the protocol page's own slack, and that of the stand-ins, which may be late themselves.

use super::records::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

#[cfg(test)]
mod tests;
mod told;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Each limit of time is so much longer on sockets (the protocol page).
const SOCKET_SLACK: Duration = ms(50);
/// A stand-in on a busy machine may see something so much later than it happened, beside its measured lateness.
const SEEN_LATE: Duration = ms(100);
/// An answer up to so long after its time earns nothing, and breaks no rule (the operators' page).
const ANSWER_LATE: Duration = ms(500);
/// Something new may go to an endpoint for so long after its process was told that it leaves (the settings).
pub const DRAIN_GRACE: Duration = ms(500);
/// No attempt begins later than this after its client has closed (the operators' page).
const GONE_FOR: Duration = ms(100);
/// The slack of the time that an attempt is told (the operators' page).
const TIME_LEFT_SLACK: Duration = ms(150);
/// Bad clients get their error or close within this (the operators' page).
const BAD_CLIENT_WITHIN: Duration = ms(3000);
/// Requests that came so long after the word to stop are lost if SIGKILL finds them unanswered (the protocol page).
const AFTER_WORD: Duration = ms(700);
/// A call that takes an endpoint out is on the disk so long after the disk takes it again.
const WRITTEN_WITHIN: Duration = ms(1500);
/// A keyed request may be repeated for so long (the settings of a soak).
pub const KEY_WINDOW: Duration = ms(10_000);
/// The window in which a cold endpoint's requests are counted, the multiple, and its rate once warm (the settings and the
/// endpoints of a soak).
pub const COLD_WINDOW: Duration = ms(1500);
/// See [`COLD_WINDOW`].
pub const COLD_MULTIPLE: f64 = 3.0;
/// The share of its capacity that a cold endpoint begins with.
pub const COLD_FROM: f64 = 0.3;
/// After this time it is warm.
pub const WARM_AFTER: Duration = ms(5000);

/// Of two attempts whose first bytes are read so close together, the later one may have been sent first: one thread
/// reads for all stand-ins.
const ORDER_UNSEEN: Duration = ms(5);

/// A rule of the protocol page, as a soak checks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// One final answer per request before its time is over.
    Answered,
    /// A served answer is one that an endpoint made for that request.
    Genuine,
    /// What may have run goes out again only as its class allows.
    NotRepeated,
    /// One attempt at a time.
    OneAttempt,
    /// Nothing new to an endpoint that leaves or has left, after the grace.
    Drain,
    /// Nothing new for a client that has gone.
    ClientGone,
    /// The time that an attempt is told is no more than its client has left.
    TimeLeft,
    /// No cold endpoint overloaded by all processes together.
    SlowStart,
    /// Bad clients get their error or close.
    BadClients,
    /// A process that is told to stop ends well, before the kill.
    Ends,
    /// No panic, and no crash.
    NoPanic,
    /// The program's own guard has counted no violation.
    Guard,
    /// An endpoint out by hand stays out, also at the next process.
    StaysOut,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 13] = [
        Invariant::Answered,
        Invariant::Genuine,
        Invariant::NotRepeated,
        Invariant::OneAttempt,
        Invariant::Drain,
        Invariant::ClientGone,
        Invariant::TimeLeft,
        Invariant::SlowStart,
        Invariant::BadClients,
        Invariant::Ends,
        Invariant::NoPanic,
        Invariant::Guard,
        Invariant::StaysOut,
    ];
}

/// One break of an invariant.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which.
    pub invariant: Invariant,
    /// When.
    pub at: Moment,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {:?}: {}", self.at.as_secs_f64(), self.invariant, self.what)
    }
}

/// All breaks, in the order of their times.
pub fn check(records: &Records) -> Vec<Breach> {
    let oracle = Oracle::new(records);
    let mut breaches = [
        oracle.requests(),
        oracle.repeats(),
        oracle.attempts(),
        oracle.drains(),
        oracle.slow_starts(),
        oracle.bad_clients(),
        oracle.members(),
        oracle.bans(),
    ]
    .concat();
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

struct Oracle<'a> {
    records: &'a Records,
    /// How late a stand-in may have seen something.
    seen_late: Duration,
    requests: HashMap<&'a str, &'a Request>,
    /// In the order of their beginnings.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Oracle<'a> {
    fn new(records: &'a Records) -> Oracle<'a> {
        let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &records.attempts {
            attempts.entry(&attempt.id).or_default().push(attempt);
        }
        attempts.values_mut().for_each(|of_one| of_one.sort_by_key(|attempt| attempt.began));
        Oracle {
            records,
            seen_late: SEEN_LATE + records.lateness,
            requests: records.requests.iter().map(|request| (request.id.as_str(), request)).collect(),
            attempts,
        }
    }

    fn requests(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for request in &self.records.requests {
            let late = request.sent + request.patience + ANSWER_LATE + self.seen_late;
            let lost = match request.end {
                RequestEnd::Answered { .. } => request.ended > late,
                RequestEnd::Broken => !self.may_break(request),
                RequestEnd::Unanswered => !self.died_under(request),
                RequestEnd::Left | RequestEnd::NotTaken => false,
            };
            if lost {
                let attempts = self.attempts.get(request.id.as_str()).map_or(0, Vec::len);
                let what = format!("{request}, {attempts} attempts");
                breaches.push(Breach { invariant: Invariant::Answered, at: request.ended, what });
            }
            if matches!(request.end, RequestEnd::Answered { status: 200, genuine: false }) {
                let invariant = Invariant::Genuine;
                breaches.push(Breach { invariant, at: request.ended, what: request.to_string() });
            }
        }
        breaches
    }

    /// Whether a connection may end under a request: its process was killed, or it had not read the request.
    fn may_break(&self, request: &Request) -> bool {
        let unread = !self.attempts.contains_key(request.id.as_str());
        let crowd = self.records.crowded_clients.iter();
        let crowded = { crowd }.any(|(member, from, until)| {
            *member == request.member && (*from..=*until).contains(&request.sent)
        });
        self.died_under(request) || unread && (request.on_kept_connection || crowded)
    }

    /// Whether a request's process was killed while it was open, at a time at which that excuses.
    fn died_under(&self, request: &Request) -> bool {
        let member = &self.records.members[request.member];
        let Some(killed) = member.killed else { return false };
        let open = request.sent <= killed + self.seen_late;
        match member.terminated {
            Some(word) => {
                open && request.sent <= word + AFTER_WORD && request.sent + request.patience >= killed
            }
            None => open && killed <= request.sent + request.patience + ANSWER_LATE + self.seen_late,
        }
    }

    fn repeats(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (id, attempts) in &self.attempts {
            let Some(request) = self.requests.get(id) else { continue };
            for (index, earlier) in attempts.iter().enumerate() {
                let (Some(ran), false) = (earlier.whole, earlier.turned_away) else { continue };
                for later in attempts[index + 1..].iter().filter(|later| later.whole.is_some()) {
                    let allowed = match request.effect {
                        Effect::Safe => true,
                        Effect::Keyed => later.began <= ran + KEY_WINDOW + SOCKET_SLACK + self.seen_late,
                        Effect::Unsafe => false,
                    };
                    let what = format!(
                        "{request}; at {} from {:.3} to {:.3?}, again at {} at {:.3}",
                        self.records.endpoints[earlier.endpoint],
                        earlier.began.as_secs_f64(),
                        earlier.over.map(|over| over.as_secs_f64()),
                        self.records.endpoints[later.endpoint],
                        later.began.as_secs_f64(),
                    );
                    if !allowed {
                        let invariant = Invariant::NotRepeated;
                        breaches.push(Breach { invariant, at: later.began, what: what.clone() });
                    }
                    if self.are_together(earlier, later) {
                        breaches.push(Breach { invariant: Invariant::OneAttempt, at: later.began, what });
                    }
                }
            }
        }
        breaches
    }

    /// Whether both were open at once, in whichever order they were sent where that was not seen.
    fn are_together(&self, earlier: &Attempt, later: &Attempt) -> bool {
        let outlasts = |one: &Attempt, other: &Attempt| {
            let whole = other.whole.unwrap_or(other.began);
            one.over.is_none_or(|over| over > whole + self.seen_late)
        };
        let order_seen = later.began > earlier.began + ORDER_UNSEEN + self.records.lateness;
        outlasts(earlier, later) && (order_seen || outlasts(later, earlier))
    }

    fn attempts(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for attempt in &self.records.attempts {
            let Some(request) = self.requests.get(attempt.id.as_str()) else { continue };
            let endpoint = &self.records.endpoints[attempt.endpoint];
            let at = attempt.began;
            if request.end == RequestEnd::Left && at > request.ended + GONE_FOR + self.seen_late {
                let what = format!("{request}, and an attempt at {endpoint}");
                breaches.push(Breach { invariant: Invariant::ClientGone, at, what });
            }
            let left = (request.sent + request.patience).saturating_sub(attempt.began);
            if let Some(told) =
                attempt.time_left.filter(|told| *told > left + TIME_LEFT_SLACK + self.seen_late)
            {
                let what = format!("{request}, and an attempt at {endpoint} is told {told:?} of {left:?}");
                breaches.push(Breach { invariant: Invariant::TimeLeft, at, what });
            }
        }
        breaches
    }

    fn drains(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let mut told = told::ToldTimes::new(self.records);
        for attempt in &self.records.attempts {
            let Some(member) = self.records.member_of(&attempt.id) else { continue };
            let Some(since) = told.left_for(member, attempt.endpoint, attempt.began) else { continue };
            let limit = since + DRAIN_GRACE + SOCKET_SLACK + self.seen_late;
            if attempt.began > limit {
                let what = format!(
                    "{} of {} went to {} {:.3} s after its process was told that it leaves",
                    attempt.id,
                    self.records.members[member].name,
                    self.records.endpoints[attempt.endpoint],
                    (attempt.began - since).as_secs_f64()
                );
                breaches.push(Breach { invariant: Invariant::Drain, at: attempt.began, what });
            }
        }
        breaches
    }

    fn slow_starts(&self) -> Vec<Breach> {
        let mut told = told::ToldTimes::new(self.records);
        let mut breaches = Vec::new();
        for start in self.records.changes.iter().filter(|change| change.cold) {
            let (from, until) = (start.at, start.at + WARM_AFTER);
            let of_endpoint =
                self.records.attempts.iter().filter(|attempt| attempt.endpoint == start.endpoint);
            let mut begun: Vec<&Attempt> =
                of_endpoint.filter(|attempt| (from..until).contains(&attempt.began)).collect();
            begun.sort_by_key(|attempt| attempt.began);
            let over = begun.iter().enumerate().find_map(|(index, last)| {
                let first = begun.partition_point(|attempt| attempt.began + COLD_WINDOW <= last.began);
                let window = &begun[first..=index];
                let budget = cold_budget(last.began - from);
                let informed = window.iter().filter(|attempt| {
                    let member = self.records.member_of(&attempt.id);
                    member.is_some_and(|member| told.knows(member, start.version, attempt.began))
                });
                let informed = informed.count();
                (window.len() as f64 > budget && informed * 3 >= window.len() * 2).then_some((
                    last.began,
                    window.len(),
                    budget,
                ))
            });
            if let Some((at, count, budget)) = over {
                let name = &self.records.endpoints[start.endpoint];
                let what = format!("{count} requests in a window at {name}, {budget:.1} allowed");
                breaches.push(Breach { invariant: Invariant::SlowStart, at, what });
            }
        }
        breaches
    }

    fn bad_clients(&self) -> Vec<Breach> {
        let served = |client: &&BadClient| {
            let member = &self.records.members[client.member];
            member.killed.is_none_or(|killed| killed > client.sent + BAD_CLIENT_WITHIN)
        };
        let late = |client: &&BadClient| {
            let limit = client.sent + BAD_CLIENT_WITHIN + self.seen_late;
            client.ended.is_none_or(|ended| ended > limit)
        };
        let clients = self.records.bad_clients.iter().filter(served).filter(late);
        let breach = |client: &BadClient| Breach {
            invariant: Invariant::BadClients,
            at: client.sent,
            what: format!("{}: ended {:?}", self.records.members[client.member].name, client.ended),
        };
        clients.map(breach).collect()
    }

    fn members(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for member in &self.records.members {
            let at = member.killed.or(member.terminated).unwrap_or(member.started);
            if member.ended_well == Some(false) {
                let what = format!("{} did not end well by the kill", member.name);
                breaches.push(Breach { invariant: Invariant::Ends, at, what });
            }
            for line in &member.panics {
                let what = format!("{}: {line}", member.name);
                breaches.push(Breach { invariant: Invariant::NoPanic, at, what });
            }
            let violations = member.violations.iter().flatten().filter(|(_, count)| **count > 0);
            for (rule, count) in violations {
                let what = format!("{}: {count} of {rule}", member.name);
                breaches.push(Breach { invariant: Invariant::Guard, at, what });
            }
        }
        breaches
    }

    fn bans(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for ban in &self.records.bans {
            let banned_at = &self.records.members[ban.member];
            let name = &banned_at.name;
            let place = name.split('.').next().unwrap_or_default();
            let limit = ban.confirmed + DRAIN_GRACE + SOCKET_SLACK + self.seen_late;
            // What the disk did not take before a kill, no later process can know.
            let written = ban.confirmed.max(banned_at.files_failed_until) + WRITTEN_WITHIN;
            let kept = banned_at.killed.is_none_or(|killed| killed > written);
            let same_place = |attempt: &&Attempt| {
                let index = self.records.member_of(&attempt.id);
                let own = index == Some(ban.member);
                let next = index.and_then(|index| self.records.members.get(index));
                own || kept && next.is_some_and(|next| next.name.split('.').next() == Some(place))
            };
            let broken = self.records.attempts.iter();
            let broken = broken.filter(|attempt| attempt.endpoint == ban.endpoint && attempt.began > limit);
            if let Some(attempt) = { broken }.find(same_place) {
                let endpoint = &self.records.endpoints[ban.endpoint];
                let what = format!("{} went to {endpoint}, out by hand at {name}", attempt.id);
                breaches.push(Breach { invariant: Invariant::StaysOut, at: attempt.began, what });
            }
        }
        breaches
    }
}

/// Requests that a cold endpoint bears in a window, at that age (the operators' terms).
pub fn cold_budget(age: Duration) -> f64 {
    let warmth = COLD_FROM + (1.0 - COLD_FROM) * (age.as_secs_f64() / WARM_AFTER.as_secs_f64()).min(1.0);
    let allowed = COLD_MULTIPLE * super::endpoint::CAPACITY_PER_S * warmth * COLD_WINDOW.as_secs_f64();
    let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
    allowed + slack
}
