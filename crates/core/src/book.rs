//! Attempts: each one reports its outcome to the balancer exactly once.

use super::{AbortReason, AttemptFacts, Denial, EndpointAddress, Sidecar};
use async_channel::Receiver;
use cottonpoint_decide::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One attempt of a request at an endpoint. Its outcome is reported once: by [`Attempt::complete`],
/// or as cancelled if it is dropped before.
pub struct Attempt {
    sidecar: Rc<Sidecar>,
    request: RequestId,
    /// Index among the attempts of its request, from 0.
    number: u8,
    /// The endpoint that it goes to.
    pub endpoint: EndpointAddress,
    /// Time at which the attempt is abandoned if its answer has not begun.
    deadline: Time,
    sent_at: Time,
    /// When its answer began to be passed on, if it is passed on as it arrives.
    passed_on_at: Cell<Option<Time>>,
    aborted: Receiver<AbortReason>,
    completed: bool,
}

impl Attempt {
    pub(super) fn new(
        sidecar: Rc<Sidecar>,
        request: RequestId,
        number: u8,
        endpoint: EndpointAddress,
        deadline: Time,
        aborted: Receiver<AbortReason>,
    ) -> Attempt {
        let sent_at = sidecar.clock.now();
        Attempt {
            sidecar,
            request,
            number,
            endpoint,
            deadline,
            sent_at,
            passed_on_at: Cell::new(None),
            aborted,
            completed: false,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.sidecar.clock.now()
    }

    /// The [`Instant`] of a time, for use with timers.
    pub fn instant(&self, time: Time) -> Instant {
        self.sidecar.clock.instant(time)
    }

    /// When the attempt is abandoned if its answer has not begun.
    pub fn deadline(&self) -> Instant {
        self.instant(self.deadline_time())
    }

    /// The time of [`Attempt::deadline`], which is later while the request is still arriving.
    fn deadline_time(&self) -> Time {
        let core = self.sidecar.core.borrow();
        let entry = core.requests.get(&self.request);
        self.deadline + entry.map_or(Duration::ZERO, |entry| entry.arriving_for)
    }

    /// When the client of the request stops waiting for its answer.
    pub fn request_deadline_time(&self) -> Time {
        let core = self.sidecar.core.borrow();
        core.requests.get(&self.request).map_or(self.deadline, |entry| entry.deadline())
    }

    /// The same as [`Attempt::request_deadline_time`], for use with timers.
    pub fn request_deadline(&self) -> Instant {
        self.instant(self.request_deadline_time())
    }

    /// Whether another attempt would be made if this one, which may have run, were given up now.
    pub fn may_be_repeated(&self) -> bool {
        self.sidecar.core.borrow().balancer.may_repeat(self.request, self.now())
    }

    /// Notes that the answer begins to be passed on as it arrives. The endpoint's time ends here: how
    /// long the rest takes depends on its length and its reader.
    pub fn note_passed_on(&self) {
        self.passed_on_at.set(Some(self.now()));
    }

    /// Counts an answer that was cut off while it was passed on.
    pub fn record_cut(&self, reason: &'static str) {
        self.sidecar.counts.answer_cut(reason);
    }

    /// Waits until the attempt should be aborted.
    pub async fn aborted(&self) -> AbortReason {
        self.aborted.recv().await.unwrap_or(AbortReason::Cancelled)
    }

    /// Whether the next byte may be written, given that the last byte reaches the endpoint
    /// `arrives_in` from now; otherwise the reason. The guard decides: no first byte is sent to an
    /// endpoint that accepts no new attempts, and nothing is sent for a request that has ended,
    /// whose client has gone, or for which the balancer would not allow an attempt at the time of
    /// arrival.
    pub fn may_write(&self, started: bool, client_waits: bool, arrives_in: Duration) -> Result<(), Denial> {
        let sidecar = &self.sidecar;
        let now = sidecar.clock.now();
        let (request_open, repeatable) = sidecar.may_reach(self.request, now + arrives_in);
        let facts = AttemptFacts {
            started,
            client_waits,
            request_open,
            repeatable,
            deadline: self.deadline_time(),
            endpoint: sidecar.core.borrow().endpoint_list.standing(self.endpoint),
            list_valid: sidecar.lease.borrow().is_valid(now),
        };
        sidecar.guard.may_write(now, facts).inspect_err(|denial| self.log_denial(*denial, facts))
    }

    fn log_denial(&self, denial: Denial, facts: AttemptFacts) {
        let (age, _) = self.sidecar.list_age();
        tracing::debug!(
            flow = self.request.0,
            attempt = self.number,
            endpoint = %format_args!("{:016x}", self.endpoint.id.0),
            reason = denial.name(),
            standing = ?facts.endpoint,
            list_age_ms = age.map(|age| age.as_millis() as u64),
            "attempt denied by the guard"
        );
    }

    /// Checks, by the clock read after the first byte was written, whether the attempt violated a
    /// rule.
    pub fn check_started(&self) {
        let sidecar = &self.sidecar;
        let now = sidecar.clock.now();
        let list_violated = sidecar.lease.borrow().is_violated(now);
        if let Some(violation) = sidecar.guard.check_started(now, self.deadline_time(), list_violated) {
            let (age, _) = sidecar.list_age();
            tracing::error!(
                flow = self.request.0,
                attempt = self.number,
                endpoint = %format_args!("{:016x}", self.endpoint.id.0),
                rule = violation.name(),
                list_age_ms = age.map(|age| age.as_millis() as u64),
                "attempt violated a protocol rule"
            );
        }
    }

    /// Whether the endpoint still accepts new attempts, and has not been restarted.
    pub fn endpoint_takes_work(&self) -> bool {
        self.sidecar.is_active(self.endpoint)
    }

    /// Reports the outcome to the balancer. Returns whether this attempt's answer is the one to
    /// pass on to the client.
    pub fn complete(mut self, outcome: Outcome, report: Option<LoadReport>) -> bool {
        self.finish(outcome, report)
    }

    fn finish(&mut self, outcome: Outcome, report: Option<LoadReport>) -> bool {
        self.completed = true;
        self.sidecar.counts.count_attempt(outcome);
        let was_closed = {
            let mut core = self.sidecar.core.borrow_mut();
            match core.requests.get_mut(&self.request) {
                Some(entry) if outcome == Outcome::Ok => std::mem::replace(&mut entry.closed, true),
                Some(entry) => entry.closed,
                None => true,
            }
        };
        let served = outcome == Outcome::Ok && !was_closed;
        self.sidecar.feed(Event::Finished {
            id: self.request,
            attempt: self.number,
            endpoint: self.endpoint.id,
            outcome,
            closed: served || was_closed,
            elapsed: self.passed_on_at.get().unwrap_or(self.now()).since(self.sent_at),
            report,
        });
        served
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.completed {
            self.finish(Outcome::Cancelled, None);
        }
    }
}
