//! Route: what the balancer decided for a flow, one step after another.

use super::{Attempt, Core, Flow, Sidecar};
use cottonpoint_decide::*;
use std::rc::Rc;
use std::time::Duration;

/// A final answer that no target made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FixedResponse {
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Failed, with no promise about its effect.
    Failed,
}

/// Why an attempt should end early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halt {
    /// The balancer withdrew it.
    Withdrawn,
    /// Its target wants nothing new: it may only go on if it has begun.
    TargetLeft,
}

/// What comes next for a flow.
pub enum Step {
    /// Send it to a target and book the outcome.
    Attempt(Attempt),
    /// Answer it.
    Answer(FixedResponse),
    /// Nothing is owed any more.
    Over,
}

impl Flow {
    /// Waits for the next step. After an answer, or once the client has left, it is always [`Step::Over`].
    pub async fn route(&self) -> Step {
        self.steps.recv().await.unwrap_or(Step::Over)
    }

    /// The client has left: tells the balancer, which withdraws what is out.
    pub fn depart(&self) {
        let mut core = self.sidecar.core.borrow_mut();
        if let Some(entry) = core.flows.get_mut(&self.id)
            && !std::mem::replace(&mut entry.closed, true)
        {
            let _ = entry.steps.try_send(Step::Over);
            drop(core);
            self.sidecar.counts.depart();
            self.sidecar.feed(Event::ClientGone { id: self.id });
        }
    }
}

/// Queues an attempt; a target that is not listed cannot be connected to.
pub(super) fn attempt(
    sidecar: &Rc<Sidecar>,
    core: &mut Core,
    id: RequestId,
    endpoint: EndpointId,
    until: Time,
) -> Option<Event<'static>> {
    let (halt, halted) = async_channel::unbounded();
    let target = core.group.find(endpoint);
    let Some(entry) = core.flows.get_mut(&id) else {
        let (outcome, elapsed) = (Outcome::NotSent, Duration::ZERO);
        let (attempt, report) = (0, None);
        return Some(Event::Finished { id, attempt, endpoint, outcome, closed: true, elapsed, report });
    };
    let number = u8::try_from(entry.attempts.len()).unwrap_or(u8::MAX);
    entry.attempts.push((halt, endpoint));
    let Some(target) = target else {
        let (outcome, elapsed) = (Outcome::ConnectFailed, Duration::ZERO);
        let (attempt, closed, report) = (number, entry.closed, None);
        return Some(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report });
    };
    let attempt = Attempt::new(sidecar.clone(), id, number, target, until, halted);
    // The receiver lives as long as the entry: nothing is dropped here, where the core is borrowed.
    let _ = entry.steps.try_send(Step::Attempt(attempt));
    None
}

/// Queues a final answer, unless the flow has had one; whether it did.
pub(super) fn answer(core: &mut Core, id: RequestId, response: FixedResponse) -> bool {
    let open = core.flows.get_mut(&id).filter(|entry| !entry.closed);
    open.is_some_and(|entry| {
        entry.closed = true;
        entry.steps.try_send(Step::Answer(response)).is_ok()
    })
}
