//! Timers: what is due at which time, and when to subscribe to discovery.

use super::*;

/// Interval of probes to each endpoint of the local subset, where load reports need probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// First backoff before discovery is asked again after a failure.
const SUBSCRIBE_BACKOFF_MIN: Duration = Duration::from_millis(500);

/// What is to be done when a timer is due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Refuse the request if it still waits.
    QueueTimeout(RequestId),
    /// Try again a request for which no endpoint was usable.
    Retry(RequestId),
    /// Probe the next endpoint.
    Probe,
    /// Subscribe to discovery.
    Subscribe,
    /// Subscribe again if discovery has not answered.
    SubscribeIfUnanswered,
}

impl TimerKind {
    /// Whether it is due for a subscription to discovery.
    pub(super) fn is_subscription(self) -> bool {
        matches!(self, TimerKind::Subscribe | TimerKind::SubscribeIfUnanswered)
    }
}

impl Balancer {
    /// Schedules the first subscription under the settings in force, if discovery wants any, after
    /// a random part of the time that they allow.
    pub(super) fn schedule_first_subscription(&mut self) {
        if let Discovery::OnRequest { ask_within } = self.settings.discovery {
            let delay = ask_within.mul_f64(0.3 * self.rng.f64());
            self.schedule(self.now + delay, TimerKind::Subscribe);
        }
    }

    /// Schedules the next subscription with exponential backoff and jitter.
    pub(super) fn on_discovery_failed(&mut self) {
        let Discovery::OnRequest { ask_within } = self.settings.discovery else { return };
        self.subscription_pending = false;
        let backoff = (SUBSCRIBE_BACKOFF_MIN * (1 << self.discovery_failures.min(4))).min(ask_within / 2);
        self.discovery_failures += 1;
        let backoff = backoff.mul_f64(0.5 + self.rng.f64());
        // Only this backoff counts: subscriptions scheduled earlier would come on top of it, more
        // with each failure.
        self.timers.retain(|t| !t.0.1.is_subscription());
        self.schedule(self.now + backoff, TimerKind::Subscribe);
    }

    pub(super) fn schedule(&mut self, when: Time, kind: TimerKind) {
        self.timers.push(Reverse((when, kind)));
    }

    /// Runs everything that is due by now.
    pub(super) fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(&Reverse((when, kind))) = self.timers.peek() {
            if when > self.now {
                return;
            }
            self.timers.pop();
            match kind {
                TimerKind::QueueTimeout(id) if self.requests.get(&id).is_some_and(|r| r.seat.is_none()) => {
                    self.refuse(id, actions);
                }
                TimerKind::QueueTimeout(_) => {}
                TimerKind::Retry(id) => self.retry_or_answer(id, actions),
                TimerKind::Probe => {
                    let count = self.local_subset.len().max(1);
                    self.probe_cursor = (self.probe_cursor + 1) % count;
                    if let Some(&i) = self.local_subset.get(self.probe_cursor) {
                        actions.push(Action::Probe { endpoint: self.endpoints[i].info.id });
                    }
                    let interval = (PROBE_INTERVAL / count as u32).mul_f64(0.5 + self.rng.f64());
                    self.schedule(self.now + interval.max(Duration::from_millis(1)), TimerKind::Probe);
                }
                TimerKind::SubscribeIfUnanswered if !self.subscription_pending => {}
                TimerKind::Subscribe | TimerKind::SubscribeIfUnanswered => {
                    if let Discovery::OnRequest { ask_within } = self.settings.discovery {
                        actions.push(Action::Subscribe);
                        self.subscription_pending = true;
                        self.schedule(self.now + ask_within, TimerKind::SubscribeIfUnanswered);
                    }
                }
            }
        }
    }

    /// Keeps one timer set for the earliest entry.
    pub(super) fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        if let Some(&Reverse((when, _))) = self.timers.peek()
            && self.armed_timer.is_none_or(|w| when < w)
        {
            self.armed_timer = Some(when);
            actions.push(Action::SetTimer { after: when.since(self.now), token: TimerToken(when.0) });
        }
    }
}
