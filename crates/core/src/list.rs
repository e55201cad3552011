//! The list as the core holds it: what discovery tells, what is taken out by hand, and the lease under which all of it may
//! be used.

use super::{Group, Listed, NotListed, PollEvent, Sidecar};
use async_io::Timer;
use cottonpoint_decide::*;
use futures_lite::future;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The most that an answer's way from discovery may take: an answer that has begun must be whole within this time.
pub const ANSWER_WAY: Duration = Duration::from_millis(1100);

impl Sidecar {
    /// Takes the list that a process is started with: it is as old as the process.
    pub fn listed(self: &Rc<Self>, kind: ListKind, entries: &[Listed]) {
        let endpoints = {
            let mut core = self.core.borrow_mut();
            let endpoints = core.group.update(kind, entries, &self.clock);
            core.halt_unwanted();
            endpoints
        };
        self.counts.list(true);
        self.feed(Event::Endpoints { kind, entries: &endpoints });
    }

    /// Takes discovery's answer to a poll that began at that time, and acts on it at once: a send that has not begun to a
    /// target that wants nothing new is halted.
    pub fn answered(self: &Rc<Self>, kind: ListKind, entries: &[Listed], begun: Time) {
        let now = self.clock.now();
        let as_of = match self.lease.borrow().is_pushed() {
            true => now,
            false => begun.max(now - ANSWER_WAY),
        };
        self.lease.borrow_mut().observe(now, PollEvent::Answered { as_of });
        let renewed = self.lease.borrow().is_valid(now) && self.set_suspended(false);
        self.listed(kind, entries);
        if renewed {
            self.tell_suspension();
        }
        let _ = self.lease_changed.0.try_send(());
    }

    /// Takes how a poll began or failed.
    pub fn polled(self: &Rc<Self>, event: PollEvent) {
        self.lease.borrow_mut().observe(self.clock.now(), event);
        self.check_lease();
        let _ = self.lease_changed.0.try_send(());
    }

    /// Tells the balancer that the list could not be had.
    pub fn list_failed(self: &Rc<Self>) {
        self.counts.list(false);
        self.feed(Event::DiscoveryFailed);
    }

    /// How long something new may go to an endpoint once it has left, by the settings.
    pub fn set_drain_grace(self: &Rc<Self>, grace: Duration) {
        let discovery = self.discovery.get();
        self.lease.borrow_mut().set_terms(discovery, grace);
        self.check_lease();
        let _ = self.lease_changed.0.try_send(());
    }

    /// How long ago the list was known to be complete (`None`: never), and for how long it may still be used.
    pub fn list_age(&self) -> (Option<Duration>, Duration) {
        let (now, lease) = (self.clock.now(), self.lease.borrow());
        (lease.age(now), lease.expires_at(now).since(now))
    }

    /// How soon discovery is to be asked at first, by the settings; `None` where an agent pushes the list.
    pub fn ask_within(&self) -> Option<Duration> {
        match self.discovery.get() {
            Discovery::OnRequest { ask_within } => Some(ask_within),
            Discovery::Pushed => None,
        }
    }

    /// Whether nothing new is sent since the list could not be confirmed.
    pub fn is_suspended(&self) -> bool {
        self.core.borrow().group.is_suspended()
    }

    /// Begins or ends the suspension of all endpoints, as the lease says now.
    fn check_lease(self: &Rc<Self>) {
        let valid = self.lease.borrow().is_valid(self.clock.now());
        if self.set_suspended(!valid) {
            self.tell_suspension();
        }
    }

    /// Whether that is a change.
    fn set_suspended(&self, suspended: bool) -> bool {
        let changed = self.core.borrow_mut().group.set_suspended(suspended);
        if changed {
            let (age, left) = self.list_age();
            let (age_ms, left_ms) = (age.map(|age| age.as_millis() as u64), left.as_millis() as u64);
            let (polls_answered, polls_failed) = self.counts.lists();
            if suspended {
                self.counts.lease_expired();
                tracing::warn!(
                    age_ms,
                    polls_answered,
                    polls_failed,
                    "the list has expired: nothing new is sent"
                );
            } else {
                tracing::info!(age_ms, left_ms, polls_answered, polls_failed, "the list may be used again");
            }
        }
        changed
    }

    fn tell_suspension(self: &Rc<Self>) {
        let endpoints = self.core.borrow().group.all();
        self.feed(Event::Endpoints { kind: ListKind::Delta, entries: &endpoints });
    }

    /// Ends the use of the list when its lease runs out, for as long as the sidecar lives.
    pub(super) async fn follow_lease(sidecar: Weak<Sidecar>) {
        loop {
            let Some((next, changed)) = sidecar.upgrade().map(|s| s.next_lease_change()) else { return };
            let due = async {
                match next {
                    Some(next) => drop(Timer::at(next).await),
                    None => future::pending().await,
                }
                false
            };
            let closed = future::or(async { changed.recv().await.is_err() }, due);
            if closed.await {
                return;
            }
            if let Some(sidecar) = sidecar.upgrade() {
                sidecar.check_lease();
            }
        }
    }

    /// When the lease has to be looked at again, and what tells of an earlier change of it.
    fn next_lease_change(&self) -> (Option<std::time::Instant>, async_channel::Receiver<()>) {
        let next = self.lease.borrow().next_change(self.clock.now());
        (next.map(|next| self.clock.instant(next)), self.lease_changed.1.clone())
    }
}

impl Sidecar {
    /// Targets that are listed and take new work.
    pub fn targets_that_take_work(&self) -> usize {
        self.core.borrow().group.that_take_work()
    }

    /// Whether the list names any target, of whatever lifecycle.
    pub fn has_targets(&self) -> bool {
        !self.core.borrow().group.is_empty()
    }

    /// Whether a target is listed and takes new work.
    pub fn takes_work(&self, target: EndpointId) -> bool {
        self.core.borrow().group.takes_work(target)
    }

    /// Takes a target out by hand (`out`), or puts it back: nothing new goes to a target taken out, and a send
    /// to it that has not begun is halted. The balancer hears of it as of a drain and of a return.
    pub fn set_out(self: &Rc<Self>, id: EndpointId, out: bool) -> Result<(), NotListed> {
        self.change_out(|group| group.set_out(id, out))
    }

    /// Takes out a target that an earlier process of this sidecar had taken out, whether listed or not.
    pub fn restore_out(self: &Rc<Self>, id: EndpointId) {
        let _ = self.change_out(|group| Ok(group.restore_out(id)));
    }

    fn change_out(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Group) -> Result<Option<Endpoint>, NotListed>,
    ) -> Result<(), NotListed> {
        let endpoint = {
            let mut core = self.core.borrow_mut();
            let endpoint = change(&mut core.group)?;
            core.halt_unwanted();
            endpoint
        };
        if let Some(endpoint) = endpoint {
            self.feed(Event::Endpoints { kind: ListKind::Delta, entries: &[endpoint] });
        }
        Ok(())
    }

    /// The targets taken out by hand.
    pub fn taken_out(&self) -> Vec<EndpointId> {
        self.core.borrow().group.taken_out().collect()
    }

    /// Targets that the list names, and of them those that get nothing new.
    pub fn rotation(&self) -> (usize, usize) {
        let core = self.core.borrow();
        (core.group.listed(), core.group.out_of_rotation())
    }
}
