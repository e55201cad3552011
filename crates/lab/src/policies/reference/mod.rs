//! Reference policies behind the same interface as ours: each a published way to choose an
//! endpoint, with a simple implementation of everything else that keeps the rules.
//! A request that arrives at the limit is queued, first come first served, for at most a quarter of
//! its latency target. An attempt lasts as long as an answer has worth. A failed attempt is
//! repeated where the class allows, attempts remain and (with a budget) one token is left, of which
//! each request adds a fifth (Finagle's `RetryBudget`). A request that may not be repeated is
//! refused, or failed where a refusal would promise too much.

mod choose;

use super::limits::{Limit, LimitKind};
use super::{Decider, Truth};
use crate::draw::{Purpose, RandomStream};
use crate::world::EndpointView;
pub use choose::Choice;
use choose::DECAY_S;
use cottonpoint_decide::*;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

struct EndpointStats {
    id: EndpointId,
    ready: bool,
    outstanding: u32,
    /// Peak-sensitive average of response times (seconds), and its time.
    peak_average: (f64, Time),
    /// Average of response times (seconds).
    average: f64,
    weight: f64,
    weight_at: Time,
    error_share: f64,
    /// Virtual time of its next turn in the weighted schedule.
    next_turn: f64,
}

struct OpenRequest {
    request: Request,
    began_at: Time,
    useful_until: Time,
    attempts: u8,
    attempt_outstanding: bool,
    may_have_run_at: Option<Time>,
    queued: bool,
}

/// A reference policy.
pub struct ReferencePolicy {
    settings: Settings,
    choice: Choice,
    limit: Limit,
    retry_budget: Option<f64>,
    draw: RandomStream,
    endpoints: Vec<EndpointStats>,
    index: FxHashMap<EndpointId, usize>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    queue: VecDeque<RequestId>,
    running: usize,
    next_index: usize,
    virtual_time: f64,
    mean_work: Vec<f64>,
    timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    subscribe_at: Option<Time>,
}

const QUEUE_TIME_SHARE: f64 = 0.25;

impl ReferencePolicy {
    /// A decider in its initial state.
    pub fn new(
        settings: Settings,
        seed: u64,
        now: Time,
        choice: Choice,
        limit: LimitKind,
        budget: bool,
    ) -> ReferencePolicy {
        let mean_work = settings.classes.iter().map(|c| c.latency_target.as_secs_f64() / 10.0).collect();
        let subscribe_at = matches!(settings.discovery, Discovery::OnRequest { .. }).then_some(now);
        ReferencePolicy {
            limit: Limit::new(limit),
            retry_budget: budget.then_some(10.0),
            draw: RandomStream::new(seed, Purpose::Sidecar, 1),
            endpoints: Vec::new(),
            index: FxHashMap::default(),
            open_requests: FxHashMap::default(),
            queue: VecDeque::new(),
            running: 0,
            next_index: 0,
            virtual_time: 0.0,
            mean_work,
            timers: BinaryHeap::new(),
            settings,
            choice,
            subscribe_at,
        }
    }

    fn update_endpoints(&mut self, now: Time, kind: ListKind, entries: &[Endpoint]) {
        if kind == ListKind::Full {
            self.endpoints.iter_mut().for_each(|t| t.ready = false);
        }
        for e in entries {
            let ready = e.state == EndpointState::Ready;
            if let Some(&i) = self.index.get(&e.id) {
                self.endpoints[i].ready = ready;
                continue;
            }
            self.index.insert(e.id, self.endpoints.len());
            let (virtual_time, offset) = (self.virtual_time, self.draw.uniform());
            self.endpoints.push(EndpointStats {
                id: e.id,
                ready,
                outstanding: 0,
                peak_average: (0.0, now),
                average: 0.0,
                weight: 0.0,
                weight_at: now,
                error_share: 0.0,
                next_turn: virtual_time + offset,
            });
        }
        self.endpoints.retain(|t| t.ready || t.outstanding > 0);
        self.index = self.endpoints.iter().enumerate().map(|(i, t)| (t.id, i)).collect();
    }

    /// Sends a request's next attempt; returns false if none can be sent in time.
    fn try_send(&mut self, now: Time, id: RequestId, truth: &Truth<'_>, actions: &mut Vec<Action>) -> bool {
        let Some((request, until)) = self.open_requests.get(&id).map(|o| (o.request, o.useful_until))
        else {
            return true;
        };
        let Some(i) = self.pick(now, &request, truth) else { return false };
        if matches!(self.choice, Choice::TrueState | Choice::DelayedState) {
            let takes = self.expected_time(&self.endpoints[i], usize::from(request.class.0), truth);
            if takes > until.since(now).as_secs_f64() {
                return false;
            }
        }
        self.endpoints[i].outstanding += 1;
        if let Some(o) = self.open_requests.get_mut(&id) {
            o.attempts += 1;
            o.attempt_outstanding = true;
        }
        actions.push(Action::Send { id, endpoint: self.endpoints[i].id, attempt_deadline: until });
        true
    }

    fn request_arrived(
        &mut self,
        now: Time,
        request: Request,
        truth: &Truth<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            return actions.push(Action::Refuse { id: request.id, retry_after: None });
        };
        let useful_until = if class.late_worth > 0.0 {
            request.deadline
        } else {
            (now + class.latency_target).min(request.deadline)
        };
        let max_queue_time = class.latency_target.mul_f64(QUEUE_TIME_SHARE);
        if let Some(budget) = &mut self.retry_budget {
            *budget = (*budget + 0.2).min(20.0);
        }
        let open = OpenRequest {
            request,
            began_at: now,
            useful_until,
            attempts: 0,
            attempt_outstanding: false,
            may_have_run_at: None,
            queued: false,
        };
        self.open_requests.insert(request.id, open);
        if (self.running as f64) < self.limit.value() {
            self.running += 1;
            if !self.try_send(now, request.id, truth, actions) {
                self.refuse(request.id, actions);
            }
            return;
        }
        self.queue.push_back(request.id);
        if let Some(o) = self.open_requests.get_mut(&request.id) {
            o.queued = true;
        }
        self.set_timer(now, now + max_queue_time, request.id, actions);
    }

    fn set_timer(&mut self, now: Time, when: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.timers.push(Reverse((when, id)));
        actions.push(Action::SetTimer { after: when.since(now), token: TimerToken(id.0) });
    }

    fn remove_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open_requests.remove(&id)?;
        if open.queued {
            self.queue.retain(|w| *w != id);
        } else {
            self.running -= 1;
        }
        Some(open)
    }

    fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.remove_request(id).is_some() {
            actions.push(Action::Refuse { id, retry_after: None });
        }
    }

    fn serve_queue(&mut self, now: Time, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        while (self.running as f64) < self.limit.value() {
            let Some(id) = self.queue.pop_front() else { return };
            let Some(o) = self.open_requests.get_mut(&id) else { continue };
            o.queued = false;
            self.running += 1;
            if !self.try_send(now, id, truth, actions) {
                self.refuse(id, actions);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_finished(
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
            let t = &mut self.endpoints[i];
            t.outstanding = t.outstanding.saturating_sub(1);
            let took = elapsed.as_secs_f64();
            // A failure counts at least as the average time, or fast failures would attract more
            // requests.
            let took = if outcome == Outcome::Ok { took } else { took.max(t.average) };
            let now_cost = ReferencePolicy::decayed_peak(t, now);
            t.peak_average = if took > now_cost {
                (took, now)
            } else {
                let keep = libm::exp(-now.since(t.peak_average.1).as_secs_f64() / DECAY_S);
                (t.peak_average.0 * keep + took * (1.0 - keep), now)
            };
            t.average = if t.average > 0.0 { t.average * 0.9 + took * 0.1 } else { took };
            t.error_share = t.error_share * 0.95 + if outcome == Outcome::Ok { 0.0 } else { 0.05 };
        }
        let dropped = matches!(outcome, Outcome::Rejected | Outcome::TimedOut);
        if outcome != Outcome::Cancelled {
            self.limit.record(elapsed, dropped, self.running);
        }
        let Some(o) = self.open_requests.get_mut(&id) else { return };
        o.attempt_outstanding = false;
        if !outcome.never_ran() {
            let began_at = o.began_at;
            o.may_have_run_at.get_or_insert(began_at);
        }
        if outcome == Outcome::Ok {
            let class = usize::from(o.request.class.0);
            self.mean_work[class] += (elapsed.as_secs_f64() / 2.0 - self.mean_work[class]) * 0.02;
        }
        if closed {
            self.remove_request(id);
            return self.serve_queue(now, truth, actions);
        }
        let effect = self.settings.classes[usize::from(o.request.class.0)].effect;
        let (may_repeat, refusable) = match (effect, o.may_have_run_at) {
            (_, None) | (Effect::Safe, _) => (true, true),
            (Effect::Keyed { window, scope }, Some(may_have_run_at)) => {
                (now < may_have_run_at + window && scope == Scope::All, scope == Scope::All)
            }
            (Effect::Unsafe, Some(_)) => (false, false),
        };
        let in_time = now < o.useful_until && u32::from(o.attempts) < self.settings.limits.max_attempts;
        let within_budget = self.retry_budget.is_none_or(|b| b >= 1.0);
        if may_repeat && in_time && within_budget && self.try_send(now, id, truth, actions) {
            if let Some(budget) = &mut self.retry_budget {
                *budget -= 1.0;
            }
            return;
        }
        self.remove_request(id);
        actions.push(match refusable {
            true => Action::Refuse { id, retry_after: None },
            false => Action::Fail { id },
        });
        self.serve_queue(now, truth, actions);
    }

    fn record_report(&mut self, now: Time, endpoint: EndpointId, report: Option<LoadReport>) {
        let (Some(&i), Some(LoadReport { utilization: Some(u), rate: Some(r) })) =
            (self.index.get(&endpoint), report)
        else {
            return;
        };
        if u > 0.0 && r > 0.0 && u.is_finite() && r.is_finite() {
            let t = &mut self.endpoints[i];
            // A58: rate / (utilization + errors per second / rate * penalty), with a penalty of 1.
            t.weight = r / (u + t.error_share);
            t.weight_at = now;
        }
    }
}

impl Decider for ReferencePolicy {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Some(subscribe_at) = self.subscribe_at.take_if(|subscribe_at| now >= *subscribe_at) {
            let _ = subscribe_at;
            actions.push(Action::Subscribe);
        }
        match event {
            Event::Endpoints { kind, entries } => self.update_endpoints(now, kind, entries),
            Event::DiscoveryFailed => {
                self.subscribe_at = Some(now + Duration::from_millis(500));
                actions.push(Action::SetTimer { after: Duration::from_millis(500), token: TimerToken(0) });
            }
            Event::Arrived(request) => self.request_arrived(now, request, truth, actions),
            Event::Finished { id, endpoint, outcome, closed, elapsed, report, .. } => {
                self.record_report(now, endpoint, report);
                self.attempt_finished(now, id, endpoint, outcome, closed, elapsed, truth, actions);
            }
            Event::ClientGone { id } => {
                if let Some(open) = self.remove_request(id) {
                    if open.attempt_outstanding && self.settings.limits.may_cancel {
                        actions.push(Action::Cancel { id, attempt: open.attempts - 1 });
                    }
                    self.serve_queue(now, truth, actions);
                }
            }
            Event::Timer { .. } => {
                while let Some(&Reverse((when, id))) = self.timers.peek() {
                    if when > now {
                        break;
                    }
                    self.timers.pop();
                    if self.open_requests.get(&id).is_some_and(|o| o.queued) {
                        self.refuse(id, actions);
                    }
                }
            }
            Event::StreamStarted { .. } | Event::ProbeFinished { .. } => {}
        }
    }

    fn uses_delayed_state(&self) -> bool {
        self.choice == Choice::DelayedState
    }

    fn limit(&self) -> Option<f64> {
        Some(self.limit.value()).filter(|l| l.is_finite())
    }
}
