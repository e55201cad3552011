//! Rival policies behind the same interface: each a published way to choose a server, with a plain frame
//! around it that keeps the rules.
//!
//! The frame: a call that finds the limit full waits, first come first served, for a quarter of its aim at the
//! most; an attempt lasts as long as an answer has worth; a failed one goes again where the class allows, the
//! attempts last and (with a budget) one token is left, of which each call brings a fifth (Finagle's
//! `RetryBudget`); what may not go again is refused, or failed where a refusal would promise too much.

mod choose;

use super::limits::{Limit, Limiting};
use super::{Decider, Truth};
use crate::draw::{Draw, Purpose};
use crate::world::EndpointView;
pub use choose::Choice;
use choose::DECAY_S;
use cottonpoint_decide::*;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

struct Target {
    id: EndpointId,
    ready: bool,
    out: u32,
    /// Peak-sensitive average of answer times (seconds), as of a time.
    cost: (f64, Time),
    /// Average of answer times (seconds).
    usual: f64,
    weight: f64,
    reported: Time,
    errors: f64,
    /// When it is next due in the schedule by weights.
    deadline: f64,
}

struct Open {
    call: Request,
    began: Time,
    worth_until: Time,
    attempts: u8,
    out: bool,
    ran: Option<Time>,
    waits: bool,
}

/// A rival.
pub struct Rival {
    set: Settings,
    choice: Choice,
    limit: Limit,
    budget: Option<f64>,
    draw: Draw,
    targets: Vec<Target>,
    index: FxHashMap<EndpointId, usize>,
    open: FxHashMap<RequestId, Open>,
    waiting: VecDeque<RequestId>,
    running: usize,
    next: usize,
    schedule: f64,
    work: Vec<f64>,
    timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    asked: Option<Time>,
}

const WAIT_SHARE: f64 = 0.25;

impl Rival {
    /// A rival that knows nothing.
    pub fn new(
        set: Settings,
        seed: u64,
        now: Time,
        choice: Choice,
        limit: Limiting,
        budget: bool,
    ) -> Rival {
        let work = set.classes.iter().map(|c| c.latency_target.as_secs_f64() / 10.0).collect();
        let asked = matches!(set.discovery, Discovery::OnRequest { .. }).then_some(now);
        Rival {
            limit: Limit::new(limit),
            budget: budget.then_some(10.0),
            draw: Draw::new(seed, Purpose::Sidecar, 1),
            targets: Vec::new(),
            index: FxHashMap::default(),
            open: FxHashMap::default(),
            waiting: VecDeque::new(),
            running: 0,
            next: 0,
            schedule: 0.0,
            work,
            timers: BinaryHeap::new(),
            set,
            choice,
            asked,
        }
    }

    fn endpoints(&mut self, now: Time, kind: ListKind, entries: &[Endpoint]) {
        if kind == ListKind::Full {
            self.targets.iter_mut().for_each(|t| t.ready = false);
        }
        for e in entries {
            let ready = e.state == EndpointState::Ready;
            if let Some(&i) = self.index.get(&e.id) {
                self.targets[i].ready = ready;
                continue;
            }
            self.index.insert(e.id, self.targets.len());
            let (schedule, deadline) = (self.schedule, self.draw.share());
            self.targets.push(Target {
                id: e.id,
                ready,
                out: 0,
                cost: (0.0, now),
                usual: 0.0,
                weight: 0.0,
                reported: now,
                errors: 0.0,
                deadline: schedule + deadline,
            });
        }
        self.targets.retain(|t| t.ready || t.out > 0);
        self.index = self.targets.iter().enumerate().map(|(i, t)| (t.id, i)).collect();
    }

    /// Sends a call's next attempt if it may go out now.
    fn try_send(&mut self, now: Time, id: RequestId, truth: &Truth<'_>, actions: &mut Vec<Action>) -> bool {
        let Some((call, until)) = self.open.get(&id).map(|o| (o.call, o.worth_until)) else { return true };
        let Some(i) = self.pick(now, &call, truth) else { return false };
        if matches!(self.choice, Choice::TrueState | Choice::LateState) {
            let takes = self.true_time(&self.targets[i], usize::from(call.class.0), truth);
            if takes > until.since(now).as_secs_f64() {
                return false;
            }
        }
        self.targets[i].out += 1;
        if let Some(o) = self.open.get_mut(&id) {
            o.attempts += 1;
            o.out = true;
        }
        actions.push(Action::Send { id, endpoint: self.targets[i].id, attempt_deadline: until });
        true
    }

    fn arrived(&mut self, now: Time, call: Request, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(usize::from(call.class.0)) else {
            return actions.push(Action::Refuse { id: call.id, retry_after: None });
        };
        let worth_until = if class.late_worth > 0.0 {
            call.deadline
        } else {
            (now + class.latency_target).min(call.deadline)
        };
        let wait = class.latency_target.mul_f64(WAIT_SHARE);
        if let Some(budget) = &mut self.budget {
            *budget = (*budget + 0.2).min(20.0);
        }
        let open = Open { call, began: now, worth_until, attempts: 0, out: false, ran: None, waits: false };
        self.open.insert(call.id, open);
        if (self.running as f64) < self.limit.value() {
            self.running += 1;
            if !self.try_send(now, call.id, truth, actions) {
                self.end_refused(call.id, actions);
            }
            return;
        }
        self.waiting.push_back(call.id);
        if let Some(o) = self.open.get_mut(&call.id) {
            o.waits = true;
        }
        self.at(now, now + wait, call.id, actions);
    }

    fn at(&mut self, now: Time, when: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.timers.push(Reverse((when, id)));
        actions.push(Action::SetTimer { after: when.since(now), token: TimerToken(id.0) });
    }

    fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        if open.waits {
            self.waiting.retain(|w| *w != id);
        } else {
            self.running -= 1;
        }
        Some(open)
    }

    fn end_refused(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.close(id).is_some() {
            actions.push(Action::Refuse { id, retry_after: None });
        }
    }

    fn serve_waiting(&mut self, now: Time, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        while (self.running as f64) < self.limit.value() {
            let Some(id) = self.waiting.pop_front() else { return };
            let Some(o) = self.open.get_mut(&id) else { continue };
            o.waits = false;
            self.running += 1;
            if !self.try_send(now, id, truth, actions) {
                self.end_refused(id, actions);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn finished(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: EndpointId,
        outcome: Outcome,
        closed: bool,
        elapsed: Duration,
        truth: &Truth<'_>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(&i) = self.index.get(&endpoint) {
            let t = &mut self.targets[i];
            t.out = t.out.saturating_sub(1);
            let took = elapsed.as_secs_f64();
            // A failure counts as the worst that is usual, or fast failures would draw more calls.
            let took = if outcome == Outcome::Ok { took } else { took.max(t.usual) };
            let now_cost = Rival::cost(t, now);
            t.cost = if took > now_cost {
                (took, now)
            } else {
                let keep = libm::exp(-now.since(t.cost.1).as_secs_f64() / DECAY_S);
                (t.cost.0 * keep + took * (1.0 - keep), now)
            };
            t.usual = if t.usual > 0.0 { t.usual * 0.9 + took * 0.1 } else { took };
            t.errors = t.errors * 0.95 + if outcome == Outcome::Ok { 0.0 } else { 0.05 };
        }
        let dropped = matches!(outcome, Outcome::Rejected | Outcome::TimedOut);
        if outcome != Outcome::Cancelled {
            self.limit.learn(elapsed, dropped, self.running);
        }
        let Some(o) = self.open.get_mut(&id) else { return };
        o.out = false;
        if !outcome.never_ran() {
            let began = o.began;
            o.ran.get_or_insert(began);
        }
        if outcome == Outcome::Ok {
            let class = usize::from(o.call.class.0);
            self.work[class] += (elapsed.as_secs_f64() / 2.0 - self.work[class]) * 0.02;
        }
        if closed {
            self.close(id);
            return self.serve_waiting(now, truth, actions);
        }
        let effect = self.set.classes[usize::from(o.call.class.0)].effect;
        let (again, refusable) = match (effect, o.ran) {
            (_, None) | (Effect::Safe, _) => (true, true),
            (Effect::Keyed { window, scope }, Some(ran)) => {
                (now < ran + window && scope == Scope::All, scope == Scope::All)
            }
            (Effect::Unsafe, Some(_)) => (false, false),
        };
        let in_time = now < o.worth_until && u32::from(o.attempts) < self.set.limits.max_attempts;
        let paid = self.budget.is_none_or(|b| b >= 1.0);
        if again && in_time && paid && self.try_send(now, id, truth, actions) {
            if let Some(budget) = &mut self.budget {
                *budget -= 1.0;
            }
            return;
        }
        self.close(id);
        actions.push(match refusable {
            true => Action::Refuse { id, retry_after: None },
            false => Action::Fail { id },
        });
        self.serve_waiting(now, truth, actions);
    }

    fn report(&mut self, now: Time, endpoint: EndpointId, report: Option<LoadReport>) {
        let (Some(&i), Some(LoadReport { utilization: Some(u), rate: Some(r) })) =
            (self.index.get(&endpoint), report)
        else {
            return;
        };
        if u > 0.0 && r > 0.0 && u.is_finite() && r.is_finite() {
            let t = &mut self.targets[i];
            // A58: rate / (utilisation + errors a second / rate * penalty), with a penalty of 1.
            t.weight = r / (u + t.errors);
            t.reported = now;
        }
    }
}

impl Decider for Rival {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Some(asked) = self.asked.take_if(|asked| now >= *asked) {
            let _ = asked;
            actions.push(Action::Subscribe);
        }
        match event {
            Event::Endpoints { kind, entries } => self.endpoints(now, kind, entries),
            Event::DiscoveryFailed => {
                self.asked = Some(now + Duration::from_millis(500));
                actions.push(Action::SetTimer { after: Duration::from_millis(500), token: TimerToken(0) });
            }
            Event::Arrived(call) => self.arrived(now, call, truth, actions),
            Event::Finished { id, endpoint, outcome, closed, elapsed, report, .. } => {
                self.report(now, endpoint, report);
                self.finished(now, id, endpoint, outcome, closed, elapsed, truth, actions);
            }
            Event::ClientGone { id } => {
                if let Some(open) = self.close(id) {
                    if open.out && self.set.limits.may_cancel {
                        actions.push(Action::Cancel { id, attempt: open.attempts - 1 });
                    }
                    self.serve_waiting(now, truth, actions);
                }
            }
            Event::Timer { .. } => {
                while let Some(&Reverse((when, id))) = self.timers.peek() {
                    if when > now {
                        break;
                    }
                    self.timers.pop();
                    if self.open.get(&id).is_some_and(|o| o.waits) {
                        self.end_refused(id, actions);
                    }
                }
            }
            Event::StreamStarted { .. } | Event::ProbeFinished { .. } => {}
        }
    }

    fn sees_late(&self) -> bool {
        self.choice == Choice::LateState
    }

    fn limit(&self) -> Option<f64> {
        Some(self.limit.value()).filter(|l| l.is_finite())
    }
}
