//! Admission: hands a request that a front end has read to the balancer.

use super::{Decision, RequestState, Sidecar};
use async_channel::Receiver;
use cottonpoint_decide::*;
use std::rc::Rc;
use std::time::Duration;

/// The properties of a request that the balancer needs.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Class of the request.
    pub class: ClassId,
    /// Tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// Time by which the answer must be on its way to the client.
    pub deadline: Time,
}

/// Handle of an admitted request. Dropping it ends the request; no answer is owed after that.
pub struct RequestHandle {
    pub(super) sidecar: Rc<Sidecar>,
    pub(super) id: RequestId,
    pub(super) decisions: Receiver<Decision>,
}

impl Sidecar {
    /// Admits a request and hands it to the balancer.
    pub fn admit(self: &Rc<Self>, new: NewRequest) -> RequestHandle {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        let (sender, decisions) = async_channel::unbounded();
        let mut core = self.core.borrow_mut();
        let entry = RequestState {
            decisions: sender,
            attempts: Vec::new(),
            deadline: new.deadline,
            admitted_at: self.clock.now(),
            arriving_for: Duration::ZERO,
            closed: false,
        };
        core.requests.insert(id, entry);
        drop(core);
        let request =
            Request { id, class: new.class, tenant: new.tenant, deadline: new.deadline, cost: None };
        self.counts.count_admitted();
        self.feed(Event::Arrived(request));
        RequestHandle { sidecar: self.clone(), id, decisions }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.abandon();
        // Attempts that were never taken from the queue report their outcome when dropped, which
        // borrows the core; so drop them before the core is borrowed below.
        while let Ok(decision) = self.decisions.try_recv() {
            drop(decision);
        }
        self.sidecar.core.borrow_mut().requests.remove(&self.id);
    }
}
