//! Timers: what falls due, and when discovery is asked.

use super::*;

/// Each endpoint in hand is probed this often, where reports need probes.
const PROBE_EVERY: Duration = Duration::from_secs(3);
/// First pause before discovery is asked again after a failure.
const ASK_AGAIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Expire(RequestId),
    Again(RequestId),
    Probe,
    Ask,
    AskUnlessAnswered,
}

impl Balancer {
    pub(super) fn discovery_failed(&mut self) {
        let Discovery::OnRequest { ask_within } = self.set.discovery else { return };
        self.awaiting = false;
        let pause = (ASK_AGAIN * (1 << self.ask_failures.min(4))).min(ask_within / 2);
        self.ask_failures += 1;
        let pause = pause.mul_f64(0.5 + self.rng.f64());
        // This pause alone counts: asks due from before would come on top, more with each failure.
        self.timers.retain(|t| !matches!(t.0.1, Due::Ask | Due::AskUnlessAnswered));
        self.at(self.now + pause, Due::Ask);
    }

    pub(super) fn at(&mut self, when: Time, what: Due) {
        self.timers.push(Reverse((when, what)));
    }

    pub(super) fn expire(&mut self, actions: &mut Vec<Action>) {
        while let Some(&Reverse((when, what))) = self.timers.peek() {
            if when > self.now {
                return;
            }
            self.timers.pop();
            match what {
                Due::Expire(id) if self.requests.get(&id).is_some_and(|r| r.seat.is_none()) => {
                    self.refuse(id, actions);
                }
                Due::Expire(_) => {}
                Due::Again(id) => self.again(id, actions),
                Due::Probe => {
                    let count = self.hand.len().max(1);
                    self.probe_next = (self.probe_next + 1) % count;
                    if let Some(&i) = self.hand.get(self.probe_next) {
                        actions.push(Action::Probe { endpoint: self.servers[i].info.id });
                    }
                    let pause = (PROBE_EVERY / count as u32).mul_f64(0.5 + self.rng.f64());
                    self.at(self.now + pause.max(Duration::from_millis(1)), Due::Probe);
                }
                Due::AskUnlessAnswered if !self.awaiting => {}
                Due::Ask | Due::AskUnlessAnswered => {
                    if let Discovery::OnRequest { ask_within } = self.set.discovery {
                        actions.push(Action::Subscribe);
                        self.awaiting = true;
                        self.at(self.now + ask_within, Due::AskUnlessAnswered);
                    }
                }
            }
        }
    }

    /// Keeps one timer set for the earliest thing due.
    pub(super) fn arm(&mut self, actions: &mut Vec<Action>) {
        if let Some(&Reverse((when, _))) = self.timers.peek()
            && self.wake.is_none_or(|w| when < w)
        {
            self.wake = Some(when);
            actions.push(Action::SetTimer { after: when.since(self.now), token: TimerToken(when.0) });
        }
    }
}
