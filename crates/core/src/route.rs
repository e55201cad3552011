//! Routing: the balancer's decisions for a request, delivered one after another.

use super::{Attempt, Core, RequestHandle, Sidecar};
use cottonpoint_decide::*;
use std::rc::Rc;
use std::time::Duration;

/// The sidecar's own final answer to a request, without an endpoint's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// Refused: the request had no effect, a retry is harmless.
    Refused {
        /// How long the client should wait before a retry.
        retry_after: Option<Duration>,
    },
    /// Failed, with no promise about the request's effect.
    Failed,
}

/// Why an attempt should be aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The balancer cancelled it.
    Cancelled,
    /// Its endpoint accepts no new attempts; an attempt that has started may continue.
    Unavailable,
}

/// What to do next for a request.
pub enum Decision {
    /// Send it to an endpoint and report the outcome.
    Attempt(Attempt),
    /// Answer the client with this local reply.
    LocalReply(LocalReply),
    /// Nothing is owed any more.
    Ended,
}

impl RequestHandle {
    /// Waits for the next decision. After a final answer, or once the client has gone, it is always
    /// [`Decision::Ended`].
    pub async fn next_decision(&self) -> Decision {
        self.decisions.recv().await.unwrap_or(Decision::Ended)
    }

    /// Records that the client has not sent its last byte yet: the request's times count from that.
    pub fn note_still_arriving(&self) {
        let now = self.sidecar.clock.now();
        if let Some(entry) = self.sidecar.core.borrow_mut().requests.get_mut(&self.id) {
            entry.arriving_for = now.since(entry.admitted_at);
        }
    }

    /// When the client stops waiting for the answer, as far as is known.
    pub fn deadline(&self) -> Time {
        let core = self.sidecar.core.borrow();
        core.requests.get(&self.id).map_or(self.sidecar.clock.now(), |entry| entry.deadline())
    }

    /// Records that an answer begins to be passed on to the client as it arrives: no other attempt
    /// and no other answer can follow. False if the request has had its final answer, or is owed
    /// none.
    pub fn start_answer(&self) -> bool {
        let opened = {
            let mut core = self.sidecar.core.borrow_mut();
            let entry = core.requests.get_mut(&self.id);
            entry.is_some_and(|entry| !std::mem::replace(&mut entry.closed, true))
        };
        if opened {
            self.sidecar.feed(Event::StreamStarted { id: self.id });
        }
        opened
    }

    /// Reports that the client has gone. The balancer then cancels the attempts under way.
    pub fn abandon(&self) {
        let mut core = self.sidecar.core.borrow_mut();
        if let Some(entry) = core.requests.get_mut(&self.id)
            && !std::mem::replace(&mut entry.closed, true)
        {
            let _ = entry.decisions.try_send(Decision::Ended);
            drop(core);
            self.sidecar.counts.count_departed();
            self.sidecar.feed(Event::ClientGone { id: self.id });
        }
    }
}

/// Queues an attempt. If the endpoint is not on the list, the attempt ends at once as a failed
/// connect.
pub(super) fn queue_attempt(
    sidecar: &Rc<Sidecar>,
    core: &mut Core,
    id: RequestId,
    endpoint: EndpointId,
    until: Time,
) -> Option<Event<'static>> {
    let (abort, aborted) = async_channel::unbounded();
    let address = core.endpoint_list.find(endpoint);
    let Some(entry) = core.requests.get_mut(&id) else {
        let (outcome, elapsed) = (Outcome::NotSent, Duration::ZERO);
        let (attempt, report) = (0, None);
        return Some(Event::Finished { id, attempt, endpoint, outcome, closed: true, elapsed, report });
    };
    let number = u8::try_from(entry.attempts.len()).unwrap_or(u8::MAX);
    entry.attempts.push((abort, address));
    let Some(address) = address else {
        let (outcome, elapsed) = (Outcome::ConnectFailed, Duration::ZERO);
        let (attempt, closed, report) = (number, entry.closed, None);
        return Some(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report });
    };
    let attempt = Attempt::new(sidecar.clone(), id, number, address, until, aborted);
    // The receiver lives as long as the request's state, so no attempt is dropped here, where the
    // core is borrowed.
    let _ = entry.decisions.try_send(Decision::Attempt(attempt));
    None
}

/// Queues a final answer unless the request has had one. Returns whether it was queued.
pub(super) fn queue_reply(core: &mut Core, id: RequestId, response: LocalReply) -> bool {
    let open = core.requests.get_mut(&id).filter(|entry| !entry.closed);
    open.is_some_and(|entry| {
        entry.closed = true;
        entry.decisions.try_send(Decision::LocalReply(response)).is_ok()
    })
}
