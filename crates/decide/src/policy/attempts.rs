//! Attempts: what a call has behind it, what an outcome means, and what becomes of the call after it.

use super::*;

/// An endpoint that carries this many calls of ours, and refuses one beside less than this share of them,
/// refuses for reasons of its own.
const CARRIED_MIN: f64 = 4.0;
const CARRIED_SHARE: f64 = 0.6;
/// Weight of one answer in a class's usual time.
const TIME_GAIN: f64 = 0.05;
/// Further attempts: what each arriving call adds to the budget, and the most it holds.
pub(super) const RETRY_RATIO: f64 = 0.15;
pub(super) const RETRY_MAX: f64 = 8.0;
/// Pause before a call that finds no endpoint looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    sent: Time,
    /// Calls of ours that its endpoint had when it was sent, this one included.
    beside: u32,
    pub(super) out: bool,
}

pub(super) struct Request {
    pub(super) call: Call,
    pub(super) queue: usize,
    pub(super) worth_until: Time,
    /// When it took its seat, and the virtual service time charged for it; `None` while it waits.
    pub(super) seat: Option<(Time, f64)>,
    pub(super) attempts: Vec<Attempt>,
    /// The first attempt that may have run: when it was sent, and where.
    pub(super) may_have_run: Option<(Time, ZoneId, CellId)>,
    pub(super) streaming: bool,
}

impl Balancer {
    /// Sends a call's next attempt, if an endpoint is to be had.
    pub(super) fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut r) = self.requests.remove(&id) else { return false };
        self.earn();
        let (own, known) = (self.class_time[usize::from(r.call.class.0)], self.class_time.iter());
        let (sum, count) = known.filter(|&&t| t > 0.0).fold((0.0, 0.0), |(s, n), t| (s + t.ln(), n + 1.0));
        let work = if own > 0.0 { own / f64::exp(sum / count) } else { 1.0 };
        let mut picked = self.pick(&r);
        // A cold endpoint's token stands for mean work: of twice that, every other call takes it in vain.
        while let Some(i) = picked.filter(|&i| self.warmth(&self.servers[i]) < 1.0) {
            if work * self.rng.f64() <= 1.0 {
                break;
            }
            self.servers[i].cold_credit.0 -= 1.0;
            picked = self.pick(&r);
        }
        if let Some(i) = picked {
            let s = &mut self.servers[i];
            s.cold_credit.0 -= 1.0;
            s.out += 1;
            s.recent.add(self.now, 1.0);
            let endpoint = s.info.id;
            r.attempts.push(Attempt { endpoint, sent: self.now, beside: s.out, out: true });
            self.sends.add(self.now, 1.0);
            actions.push(Action::Send { id, endpoint, until: r.worth_until });
        }
        self.requests.insert(id, r);
        picked.is_some()
    }

    pub(super) fn finished(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report } = event else {
            return;
        };
        self.report(endpoint, report, outcome == Outcome::Ok);
        let mut place = None;
        let mut failing = false;
        if let Some(&i) = self.index.get(&endpoint) {
            let s = &mut self.servers[i];
            s.out = s.out.saturating_sub(1);
            place = Some((s.info.zone, s.info.cell));
            failing = s.strikes > 0;
            match outcome {
                Outcome::Ok => s.strikes = 0,
                Outcome::Error | Outcome::Cancelled | Outcome::Moot => {}
                _ => self.fault(endpoint, elapsed),
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        a.out = false;
        let (sent, beside) = (a.sent, f64::from(a.beside));
        let mut own_reasons = false;
        if let Some(&i) = self.index.get(&endpoint) {
            let carried = &mut self.servers[i].carried;
            let most = carried.get(self.now);
            if outcome == Outcome::Ok && beside > most {
                *carried = Faded { value: beside, at: self.now };
            }
            own_reasons = outcome == Outcome::Full && most >= CARRIED_MIN && beside < most * CARRIED_SHARE;
        }
        let class = usize::from(r.call.class.0);
        if !outcome.never_ran() && r.may_have_run.is_none_or(|(first, ..)| sent < first) {
            let (zone, cell) = place.unwrap_or((ZoneId(u16::MAX), CellId(u16::MAX)));
            r.may_have_run = Some((sent, zone, cell));
        }
        if outcome == Outcome::Ok {
            let (usual, taken) = (&mut self.class_time[class], elapsed.as_secs_f64());
            *usual += if *usual > 0.0 { (taken - *usual) * TIME_GAIN } else { taken };
        }
        // One endpoint's failures in a row say no more about the limit than the first did (a few
        // that hang would shrink it for all), nor do refusals beside far fewer calls than it carries (two of
        // four that refused a quarter of their calls, whatever they held, shrank it to its least).
        let telling = !failing && !own_reasons && !matches!(outcome, Outcome::Cancelled | Outcome::Moot);
        if outcome == Outcome::Ok || telling {
            // An attempt that outlives its whole aim is a time-out in all but name.
            let late = outcome == Outcome::Ok && elapsed > self.set.classes[class].aim;
            self.learn(if late { Outcome::TimedOut } else { outcome }, sent);
        }
        if closed {
            return self.end(id, actions);
        }
        self.again(id, actions);
    }

    /// Whether a call may reach an endpoint at that time, for all that it has behind it.
    fn may_run(&self, r: &Request, at: Time) -> bool {
        match (self.set.classes[usize::from(r.call.class.0)].effect, r.may_have_run) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some((first, ..))) => at < first + window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// Whether an attempt at a call may still go out if it reaches its endpoint at that time.
    pub fn may_reach(&self, id: RequestId, at: Time) -> bool {
        self.requests.get(&id).is_some_and(|r| self.may_run(r, at))
    }

    /// Decides what becomes of a call none of whose attempts has answered. It keeps its seat: a call that
    /// may have run and cannot be refused is at level 0 from here on, in that it neither waits nor yields.
    pub(super) fn again(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.streaming || r.attempts.iter().any(|a| a.out) {
            return;
        }
        let effect = self.set.classes[usize::from(r.call.class.0)].effect;
        let shared = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
        let (may_repeat, may_refuse) = (self.may_run(r, self.now), shared || r.may_have_run.is_none());
        let tries_left = r.attempts.len() < self.set.limits.max_attempts as usize;
        let in_time = self.now < r.worth_until;
        if may_repeat && tries_left && in_time && self.budget >= 1.0 {
            let until = r.worth_until;
            if self.send(id, actions) {
                self.budget -= 1.0;
            } else {
                self.at((self.now + LOOK_AGAIN).min(until), Due::Again(id));
            }
            return;
        }
        if may_refuse {
            return self.refuse(id, actions);
        }
        actions.push(Action::Fail { id });
        self.end(id, actions);
    }

    pub(super) fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        actions.push(Action::Refuse { id, retry_after: self.stay_away(r.worth_until) });
        self.end(id, actions);
    }

    /// When a refused client should come back. In time, after a share of what is left, so that another try
    /// can still wait and be served; once an answer would be worthless it only costs: stay away.
    pub(super) fn stay_away(&self, worth_until: Time) -> Option<Duration> {
        let longest = self.set.limits.max_retry_after?;
        let left = worth_until.since(self.now);
        Some(if left.is_zero() { longest } else { left.mul_f64(WAIT_SHARE).min(longest) })
    }
}
