//! Book: what came of an attempt is told to the balancer, exactly once.

use super::{AttemptFacts, Denial, Halt, Sidecar, Target};
use async_channel::Receiver;
use cottonpoint_decide::*;
use std::rc::Rc;
use std::time::Duration;

/// One attempt of a flow to a target. It is booked once: by [`Attempt::book`], or as withdrawn when it is
/// dropped without.
pub struct Attempt {
    sidecar: Rc<Sidecar>,
    flow: RequestId,
    /// Its place among those of its flow, from 0.
    number: u8,
    /// Where it goes.
    pub target: Target,
    /// When it is abandoned.
    pub until: Time,
    sent: Time,
    halted: Receiver<Halt>,
    booked: bool,
}

impl Attempt {
    pub(super) fn new(
        sidecar: Rc<Sidecar>,
        flow: RequestId,
        number: u8,
        target: Target,
        until: Time,
        halted: Receiver<Halt>,
    ) -> Attempt {
        let sent = sidecar.clock.now();
        Attempt { sidecar, flow, number, target, until, sent, halted, booked: false }
    }

    /// Waits until it should end early.
    pub async fn halted(&self) -> Halt {
        self.halted.recv().await.unwrap_or(Halt::Withdrawn)
    }

    /// Whether its next byte may be written, if the last one comes to the target `way` from now; else why not. The guard
    /// says so: a target that wants nothing new gets no first byte, and nothing goes out for a flow that is over, whose
    /// client has gone, or that the balancer would not have run then.
    pub fn may_write(&self, begun: bool, client_waits: bool, way: Duration) -> Result<(), Denial> {
        let sidecar = &self.sidecar;
        let now = sidecar.clock.now();
        let (request_open, repeatable) = sidecar.may_reach(self.flow, now + way);
        let facts = AttemptFacts {
            begun,
            client_waits,
            request_open,
            repeatable,
            until: self.until,
            endpoint: sidecar.core.borrow().group.standing(self.target.id),
            list_valid: sidecar.lease.borrow().is_valid(now),
        };
        sidecar.guard.may_write(now, facts).inspect_err(|denial| self.log_denial(*denial, facts))
    }

    fn log_denial(&self, denial: Denial, facts: AttemptFacts) {
        let (age, _) = self.sidecar.list_age();
        tracing::debug!(
            flow = self.flow.0,
            attempt = self.number,
            endpoint = %format_args!("{:016x}", self.target.id.0),
            reason = denial.name(),
            standing = ?facts.endpoint,
            list_age_ms = age.map(|age| age.as_millis() as u64),
            "an attempt is denied"
        );
    }

    /// Checks, by the clock as it stands after its first byte was written, whether a rule was broken.
    pub fn check_begun(&self) {
        let sidecar = &self.sidecar;
        let now = sidecar.clock.now();
        let list_violated = sidecar.lease.borrow().is_violated(now);
        if let Some(violation) = sidecar.guard.check_begun(now, self.until, list_violated) {
            let (age, _) = sidecar.list_age();
            tracing::error!(
                flow = self.flow.0,
                attempt = self.number,
                endpoint = %format_args!("{:016x}", self.target.id.0),
                rule = violation.name(),
                list_age_ms = age.map(|age| age.as_millis() as u64),
                "a rule was broken"
            );
        }
    }

    /// Whether its target still takes new work.
    pub fn wanted(&self) -> bool {
        self.sidecar.takes_work(self.target.id)
    }

    /// Tells the balancer how it ended. Returns whether the answer of a served attempt is the client's.
    pub fn book(mut self, outcome: Outcome, report: Option<LoadReport>) -> bool {
        self.finish(outcome, report)
    }

    fn finish(&mut self, outcome: Outcome, report: Option<LoadReport>) -> bool {
        self.booked = true;
        self.sidecar.counts.book(outcome);
        let was_closed = {
            let mut core = self.sidecar.core.borrow_mut();
            match core.flows.get_mut(&self.flow) {
                Some(entry) if outcome == Outcome::Ok => std::mem::replace(&mut entry.closed, true),
                Some(entry) => entry.closed,
                None => true,
            }
        };
        let served = outcome == Outcome::Ok && !was_closed;
        self.sidecar.feed(Event::Finished {
            id: self.flow,
            attempt: self.number,
            endpoint: self.target.id,
            outcome,
            closed: served || was_closed,
            elapsed: self.sidecar.clock.now().since(self.sent),
            report,
        });
        served
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.booked {
            self.finish(Outcome::Cancelled, None);
        }
    }
}
