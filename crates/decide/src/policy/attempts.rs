//! Attempts: the record of a request, what an outcome means, and what happens to the request after
//! it.

use super::*;

/// An endpoint that carries at least this many requests of this balancer, and refuses one while it
/// has less than this share of them, refuses for reasons other than load.
const SERVED_CONCURRENCY_MIN: f64 = 4.0;
const LOW_CONCURRENCY_SHARE: f64 = 0.6;
/// Weight of one answer in a class's average service time.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// Further attempts: what each arriving request adds to the retry budget, and the most that it
/// holds.
pub(super) const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
pub(super) const RETRY_BUDGET_MAX: f64 = 8.0;
/// Delay before a request for which no endpoint was usable is tried again.
const NO_ENDPOINT_DELAY: Duration = Duration::from_millis(40);

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// Where the endpoint was when the attempt was sent.
    location: (ZoneId, CellId),
    /// When it was sent.
    sent_at: Time,
    /// Outstanding requests of this balancer at the endpoint after this one was sent, itself
    /// included.
    outstanding_at_send: u32,
    /// Its outcome is still owed.
    pub(super) in_flight: bool,
}

/// The rules of a request: those of the settings under which it arrived, whatever is in force later.
pub(super) struct RequestRules {
    pub(super) class: Class,
    pub(super) limits: Limits,
}

/// A request that has no final answer yet.
pub(super) struct TrackedRequest {
    /// The class, and the limits of the settings, as they were when it arrived.
    pub(super) rules: RequestRules,
    /// Its class among those of the settings in force; `None` if they do not have it any more.
    pub(super) class: Option<ClassId>,
    /// Index of its queue.
    pub(super) queue: usize,
    /// An answer after this time is worth nothing.
    pub(super) worth_until: Time,
    /// When it took its seat, and the virtual service time in seconds charged for it; `None` while
    /// it waits.
    pub(super) seat: Option<(Time, f64)>,
    /// Its attempts, in the order of sending.
    pub(super) attempts: Vec<Attempt>,
    /// The first attempt that may have run: when it was sent, and the zone and cell of its
    /// endpoint.
    pub(super) may_have_run: Option<(Time, ZoneId, CellId)>,
    /// The answer of an attempt has begun to be streamed to the client.
    pub(super) streaming: bool,
}

impl TrackedRequest {
    /// Whether it may reach an endpoint at that time, given its earlier attempts.
    fn may_run(&self, at: Time) -> bool {
        match (self.rules.class.effect, self.may_have_run) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some((first, ..))) => at < first + window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }
}

impl Balancer {
    /// Sends a request's next attempt; false if no endpoint is usable.
    pub(super) fn send_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut r) = self.requests.remove(&id) else { return false };
        self.refill_cold_credit();
        let (own_time, known_times) =
            (self.service_time_of(r.class).unwrap_or(0.0), self.class_service_time_s.iter());
        let (sum, count) =
            known_times.filter(|&&t| t > 0.0).fold((0.0, 0.0), |(total, n), t| (total + t.ln(), n + 1.0));
        let relative_work = if own_time > 0.0 { own_time / f64::exp(sum / count) } else { 1.0 };
        let mut picked = self.pick_endpoint(&r);
        // The credit of a cold endpoint is counted in requests of mean work: a request of twice
        // that uses up a unit without being sent there about every other time.
        while let Some(i) = picked.filter(|&i| self.warmth(&self.endpoints[i]) < 1.0) {
            if relative_work * self.rng.f64() <= 1.0 {
                break;
            }
            self.endpoints[i].cold_credit.0 -= 1.0;
            picked = self.pick_endpoint(&r);
        }
        if let Some(i) = picked {
            let e = &mut self.endpoints[i];
            e.cold_credit.0 -= 1.0;
            e.outstanding += 1;
            e.recent_sends.add(self.now, 1.0);
            let endpoint = e.info.id;
            r.attempts.push(Attempt {
                endpoint,
                location: (e.info.zone, e.info.cell),
                sent_at: self.now,
                outstanding_at_send: e.outstanding,
                in_flight: true,
            });
            self.recent_sends.add(self.now, 1.0);
            actions.push(Action::Send { id, endpoint, attempt_deadline: r.worth_until });
        }
        self.requests.insert(id, r);
        picked.is_some()
    }

    /// Learns from the outcome of an attempt, then closes the request or decides what happens to
    /// it.
    pub(super) fn on_attempt_finished(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report } = event else {
            return;
        };
        self.record_report(endpoint, report, outcome == Outcome::Ok);
        let mut was_failing = false;
        if let Some(&i) = self.index_by_id.get(&endpoint) {
            let e = &mut self.endpoints[i];
            e.outstanding = e.outstanding.saturating_sub(1);
            was_failing = e.consecutive_failures > 0;
            match outcome {
                Outcome::Ok => e.consecutive_failures = 0,
                Outcome::Error | Outcome::Cancelled | Outcome::NotSent => {}
                _ => self.eject(endpoint, elapsed),
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        let (sent_at, outstanding_at_send) = (a.sent_at, f64::from(a.outstanding_at_send));
        let (zone, cell) = a.location;
        let mut unrelated_to_load = false;
        if let Some(&i) = self.index_by_id.get(&endpoint) {
            let served_concurrency = &mut self.endpoints[i].served_concurrency;
            let peak = served_concurrency.get(self.now);
            if outcome == Outcome::Ok && outstanding_at_send > peak {
                *served_concurrency = DecayingSum { value: outstanding_at_send, updated_at: self.now };
            }
            unrelated_to_load = outcome == Outcome::Rejected
                && peak >= SERVED_CONCURRENCY_MIN
                && outstanding_at_send < peak * LOW_CONCURRENCY_SHARE;
        }
        let (class, latency_target) = (r.class, r.rules.class.latency_target);
        if !outcome.never_ran() && r.may_have_run.is_none_or(|(first, ..)| sent_at < first) {
            r.may_have_run = Some((sent_at, zone, cell));
        }
        if let Some(ClassId(class)) = class.filter(|_| outcome == Outcome::Ok) {
            let average = &mut self.class_service_time_s[usize::from(class)];
            let service_time = elapsed.as_secs_f64();
            *average +=
                if *average > 0.0 { (service_time - *average) * SERVICE_TIME_GAIN } else { service_time };
        }
        // Failures of one endpoint in a row say no more about the limit than the first did: a few
        // endpoints that hang would lower it for all. Neither do refusals by an endpoint that has
        // far fewer requests than it carries: two of four endpoints that refused a quarter of their
        // requests, whatever their load, lowered the limit to its minimum.
        let counts_for_limit =
            !was_failing && !unrelated_to_load && !matches!(outcome, Outcome::Cancelled | Outcome::NotSent);
        if outcome == Outcome::Ok || counts_for_limit {
            // An answer later than the whole latency target counts as a time-out.
            let late = outcome == Outcome::Ok && elapsed > latency_target;
            self.update_limit(if late { Outcome::TimedOut } else { outcome }, sent_at);
        }
        if closed {
            return self.close_request(id, actions);
        }
        self.retry_or_answer(id, actions);
    }

    /// Whether an attempt of a request may still be sent if it reaches its endpoint at that time.
    pub fn may_reach(&self, id: RequestId, at: Time) -> bool {
        self.requests.get(&id).is_some_and(|r| r.may_run(at))
    }

    /// Whether another attempt would be made at `now` if the one under way, which may have run, were
    /// given up.
    pub fn may_repeat(&self, id: RequestId, now: Time) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let first_sent_at =
            r.may_have_run.map(|(first, ..)| first).or(r.attempts.last().map(|a| a.sent_at));
        let effect_allows = match (r.rules.class.effect, first_sent_at) {
            (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some(first)) => now < first + window,
            (Effect::Keyed { .. }, None) => true,
            (Effect::Unsafe, _) => false,
        };
        let attempts_left = r.attempts.len() < r.rules.limits.max_attempts as usize;
        effect_allows && attempts_left && now < r.worth_until && self.retry_budget >= 1.0
    }

    /// The average service time of a class in seconds; 0 before its first answer. `None` if the
    /// settings in force do not have the class.
    fn service_time_of(&self, class: Option<ClassId>) -> Option<f64> {
        class.map(|class| self.class_service_time_s[usize::from(class.0)])
    }

    /// Decides what happens to a request none of whose attempts has answered. The request keeps its
    /// seat: one that may have run and cannot be refused is at level 0 from here on, in that it
    /// neither waits nor yields.
    pub(super) fn retry_or_answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.streaming || r.attempts.iter().any(|a| a.in_flight) {
            return;
        }
        let effect = r.rules.class.effect;
        let safe_to_repeat = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
        let (may_repeat, may_refuse) = (r.may_run(self.now), safe_to_repeat || r.may_have_run.is_none());
        let attempts_left = r.attempts.len() < r.rules.limits.max_attempts as usize;
        let in_time = self.now < r.worth_until;
        if may_repeat && attempts_left && in_time && self.retry_budget >= 1.0 {
            let retry_until = r.worth_until;
            if self.send_attempt(id, actions) {
                self.retry_budget -= 1.0;
            } else {
                self.schedule((self.now + NO_ENDPOINT_DELAY).min(retry_until), TimerKind::Retry(id));
            }
            return;
        }
        if may_refuse {
            return self.refuse(id, actions);
        }
        actions.push(Action::Fail { id });
        self.close_request(id, actions);
    }

    /// Refuses a request and closes it.
    pub(super) fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let retry_after = self.retry_after(r.worth_until, &r.rules.limits);
        actions.push(Action::Refuse { id, retry_after });
        self.close_request(id, actions);
    }

    /// How long a refused client should wait before a client retry. While an answer is still worth
    /// something, that is a share of the time left, so that the retry can wait and be served; after
    /// that a retry only costs, and the client is given the longest delay.
    pub(super) fn retry_after(&self, worth_until: Time, limits: &Limits) -> Option<Duration> {
        let longest = limits.max_retry_after?;
        let remaining = worth_until.since(self.now);
        Some(if remaining.is_zero() { longest } else { remaining.mul_f64(WAIT_SHARE).min(longest) })
    }
}
