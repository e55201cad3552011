//! The ids of requests: those that are open, and those that may have run. Both are known to all
//! processes of the sidecar, where these share a state directory.

use super::Clients;
use super::take_in::AcceptedRequest;
use cottonpoint_core::{is_shared, may_run_again, request_id_hash};
use cottonpoint_decide::Effect;

/// Ids of requests, shared by the processes of the sidecar.
pub trait SharedIds {
    /// Adds the id of a request that may have run.
    fn insert(&self, id: u64);

    /// Whether any process has added the id.
    fn contains(&self, id: u64) -> bool;

    /// Claims the id of an open request; false where another process holds it. Of two processes that
    /// claim an id at once, one gets it. A claim ends with [`SharedIds::release`], or with its
    /// process.
    fn claim(&self, id: u64) -> bool;

    /// Ends a claim.
    fn release(&self, id: u64);
}

/// The claim on the id of an open request, which ends when this is dropped.
pub(super) struct IdClaim<'a> {
    clients: &'a Clients,
    id: &'a str,
    /// Whether the id is claimed among all processes.
    shared: bool,
}

impl Drop for IdClaim<'_> {
    fn drop(&mut self) {
        if let Some(shared_ids) = self.clients.shared_ids.as_ref().filter(|_| self.shared) {
            shared_ids.release(request_id_hash(self.id));
        }
        self.clients.open_ids.borrow_mut().remove(self.id);
    }
}

impl Clients {
    /// Claims the id of a request that is about to be admitted; `None` if a request with this id is
    /// open, at this process or another one of the sidecar.
    pub(super) fn claim_id<'a>(&'a self, id: &'a str) -> Option<IdClaim<'a>> {
        if !self.open_ids.borrow_mut().insert(id.to_owned()) {
            return None;
        }
        let mut claim = IdClaim { clients: self, id, shared: false };
        if let Some(shared_ids) = &self.shared_ids {
            claim.shared = shared_ids.claim(request_id_hash(id));
            return Some(claim).filter(|claim| claim.shared);
        }
        Some(claim)
    }

    /// Whether a request with this id may run, given that it may have run before. The id has to be
    /// claimed: only then no other process can run it in between.
    pub(super) fn may_run(&self, accepted: &AcceptedRequest) -> bool {
        let id = request_id_hash(&accepted.id);
        let first_sent = self.executed_ids.borrow().first_sent(id);
        let shared = self.shared_ids.as_ref().filter(|_| is_shared(accepted.effect));
        let elsewhere = shared.is_some_and(|ids| ids.contains(id));
        may_run_again(accepted.effect, first_sent, elsewhere, self.sidecar.clock().now())
    }

    /// Remembers the id of a request that may have run from now on.
    pub(super) fn record_executed(&self, accepted: &AcceptedRequest) {
        if accepted.effect == Effect::Safe {
            return;
        }
        let id = request_id_hash(&accepted.id);
        self.executed_ids.borrow_mut().record(id, self.sidecar.clock().now());
        if let Some(shared) = self.shared_ids.as_ref().filter(|_| is_shared(accepted.effect)) {
            shared.insert(id);
        }
    }
}
