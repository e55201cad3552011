//! Admit: a flow that a front has taken in is handed to the balancer.

use super::{Entry, Sidecar, Step};
use async_channel::Receiver;
use cottonpoint_decide::*;
use std::rc::Rc;

/// What the balancer must know of a flow.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// By when its answer must be on the way.
    pub due: Time,
}

/// A flow under way. Dropping it ends it: nothing is owed for it any more.
pub struct Flow {
    pub(super) sidecar: Rc<Sidecar>,
    pub(super) id: RequestId,
    pub(super) steps: Receiver<Step>,
}

impl Sidecar {
    /// Hands a flow to the balancer.
    pub fn admit(self: &Rc<Self>, new: NewFlow) -> Flow {
        let id = RequestId(self.next_flow.get());
        self.next_flow.set(id.0 + 1);
        let (sender, steps) = async_channel::unbounded();
        let mut core = self.core.borrow_mut();
        let tuning = core.newest();
        let entry = Entry { tuning, steps: sender, attempts: Vec::new(), closed: false };
        core.flows.insert(id, entry);
        drop(core);
        let call = Request { id, class: new.class, tenant: new.tenant, deadline: new.due, cost: None };
        self.counts.admit();
        self.feed(Event::Arrived(call));
        Flow { sidecar: self.clone(), id, steps }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.depart();
        // Attempts that nobody took are booked as they drop, while the core is free.
        while let Ok(step) = self.steps.try_recv() {
            drop(step);
        }
        self.sidecar.core.borrow_mut().flows.remove(&self.id);
    }
}
