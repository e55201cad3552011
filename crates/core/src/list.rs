//! The endpoint list in the core: updates from discovery, endpoints taken offline by an operator,
//! and the lease that limits how long the list may be used.

use super::{EndpointAddress, EndpointList, EndpointRecord, PollEvent, Sidecar, UnknownEndpoint};
use async_io::Timer;
use cottonpoint_decide::*;
use futures_lite::future;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// A process takes clients this long after its start at the latest, confirmed list or not: a
/// restarted one has 6 s to be ready (the deployment's requirements).
const MAX_CONFIRMATION_TIME: Duration = Duration::from_secs(5);

/// Longest time that an answer from discovery may be on its way: once it has begun, it must be
/// complete within this time.
pub const MAX_ANSWER_TRANSIT: Duration = Duration::from_millis(1100);

impl Sidecar {
    /// Starts without a list: there are no endpoints until discovery answers. The balancer sets its
    /// first timer with its first event, so it is given an empty list.
    pub fn start_without_list(self: &Rc<Self>) {
        self.feed(Event::Endpoints { kind: ListKind::Full, entries: &[] });
    }

    /// Applies a list or changes without confirming the list: one that the process is started with,
    /// which is as old as the process, or one of a discovery that a reload has replaced.
    pub fn apply_list(self: &Rc<Self>, kind: ListKind, entries: &[EndpointRecord]) {
        self.has_list.set(true);
        let endpoints = {
            let mut core = self.core.borrow_mut();
            let endpoints = core.endpoint_list.update(kind, entries, &self.clock);
            core.abort_unwanted();
            endpoints
        };
        self.counts.count_list(true);
        self.feed(Event::Endpoints { kind, entries: &endpoints });
    }

    /// Applies discovery's answer to a poll that began at `begun`, and acts on it at once: an
    /// attempt that has not started is aborted if its endpoint accepts no new attempts.
    pub fn apply_answer(self: &Rc<Self>, kind: ListKind, entries: &[EndpointRecord], begun: Time) {
        let now = self.clock.now();
        let as_of = match self.lease.borrow().is_pushed() {
            true => now,
            false => begun.max(now - MAX_ANSWER_TRANSIT),
        };
        self.lease.borrow_mut().observe(now, PollEvent::Answered { as_of });
        let renewed = self.lease.borrow().is_valid(now) && self.set_suspended(false);
        self.apply_list(kind, entries);
        if renewed {
            self.feed_suspension();
        }
        let _ = self.lease_changed.0.try_send(());
    }

    /// Records how a poll began or failed.
    pub fn record_poll(self: &Rc<Self>, event: PollEvent) {
        self.lease.borrow_mut().observe(self.clock.now(), event);
        self.check_lease();
        let _ = self.lease_changed.0.try_send(());
    }

    /// Records that a poll is connected and about to be sent. Returns the hold time to ask for.
    pub fn poll_connected(self: &Rc<Self>) -> Duration {
        self.record_poll(PollEvent::Connected);
        self.lease.borrow().hold_time()
    }

    /// Tells the balancer that the list could not be obtained.
    pub fn list_failed(self: &Rc<Self>) {
        self.counts.count_list(false);
        self.feed(Event::DiscoveryFailed);
    }

    /// Sets how long new attempts may still go to an endpoint after it starts draining.
    pub fn set_drain_grace(self: &Rc<Self>, grace: Duration) {
        let discovery = self.discovery.get();
        self.lease.borrow_mut().configure(self.clock.now(), discovery, grace);
        self.check_lease();
        let _ = self.lease_changed.0.try_send(());
    }

    /// Time since the list was known to be complete (`None`: never), and time left until the lease
    /// expires.
    pub fn list_age(&self) -> (Option<Duration>, Duration) {
        let (now, lease) = (self.clock.now(), self.lease.borrow());
        (lease.age(now), lease.expires_at(now).since(now))
    }

    /// Time within which the settings want discovery to be polled first; `None` if an agent pushes
    /// the list.
    pub fn ask_within(&self) -> Option<Duration> {
        match self.discovery.get() {
            Discovery::OnRequest { ask_within } => Some(ask_within),
            Discovery::Pushed => None,
        }
    }

    /// Whether new attempts are suspended because the list could not be confirmed.
    pub fn is_suspended(&self) -> bool {
        self.core.borrow().endpoint_list.is_suspended()
    }

    /// Whether a request that came now would wait in vain: the list may not be used, and the agent that
    /// pushes it shows no sign of answering.
    pub fn waits_in_vain(&self) -> bool {
        self.is_suspended() && self.lease.borrow().is_agent_failing(self.clock.now())
    }

    /// Begins or ends the suspension of all endpoints according to the lease.
    fn check_lease(self: &Rc<Self>) {
        let valid = self.lease.borrow().is_valid(self.clock.now());
        if self.set_suspended(!valid) {
            self.feed_suspension();
        }
    }

    /// Returns whether that is a change.
    fn set_suspended(&self, suspended: bool) -> bool {
        let changed = self.core.borrow_mut().endpoint_list.set_suspended(suspended);
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
                    "lease on the endpoint list expired; new attempts are suspended"
                );
            } else {
                tracing::info!(
                    age_ms,
                    left_ms,
                    polls_answered,
                    polls_failed,
                    "lease on the endpoint list renewed; new attempts are sent again"
                );
            }
        }
        changed
    }

    fn feed_suspension(self: &Rc<Self>) {
        let endpoints = self.core.borrow().endpoint_list.balancer_endpoints();
        self.feed(Event::Endpoints { kind: ListKind::Delta, entries: &endpoints });
    }

    /// Suspends the use of the list when its lease expires, for as long as the sidecar exists.
    pub(super) async fn follow_lease(sidecar: Weak<Sidecar>) {
        loop {
            let Some((next, changed)) = sidecar.upgrade().map(|s| s.next_lease_change()) else { return };
            let expiry = async {
                match next {
                    Some(next) => drop(Timer::at(next).await),
                    None => future::pending().await,
                }
                false
            };
            let channel_closed = future::or(async { changed.recv().await.is_err() }, expiry);
            if channel_closed.await {
                return;
            }
            if let Some(sidecar) = sidecar.upgrade() {
                sidecar.check_lease();
            }
        }
    }

    /// When the lease has to be checked next, and the channel that signals an earlier change.
    fn next_lease_change(&self) -> (Option<std::time::Instant>, async_channel::Receiver<()>) {
        let next = self.lease.borrow().next_change(self.clock.now());
        (next.map(|next| self.clock.instant(next)), self.lease_changed.1.clone())
    }
}

impl Sidecar {
    /// Number of listed endpoints that accept new attempts.
    pub fn available_endpoints(&self) -> usize {
        self.core.borrow().endpoint_list.available_count()
    }

    /// Whether there has been an endpoint list. It may be empty: a tier can be removed completely.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Whether clients should come: there is a list, and it may be used or the process has waited for
    /// that for as long as it may.
    pub fn is_ready(&self) -> bool {
        self.has_list() && self.is_list_settled()
    }

    /// Whether there is nothing to wait for before clients come: no agent pushes the list, or it has
    /// answered, or it has not for too long.
    pub fn is_list_settled(&self) -> bool {
        let lease = self.lease.borrow();
        let waited = self.clock.now().since(self.started_at);
        !lease.is_pushed() || lease.is_confirmed() || waited >= MAX_CONFIRMATION_TIME
    }

    /// Whether an endpoint is listed and accepts new attempts.
    pub fn takes_work(&self, endpoint: EndpointId) -> bool {
        self.core.borrow().endpoint_list.takes_work(endpoint)
    }

    /// Whether this start of an endpoint is the listed one and accepts new attempts.
    pub fn is_active(&self, endpoint: EndpointAddress) -> bool {
        self.core.borrow().endpoint_list.is_active(endpoint)
    }

    /// Takes an endpoint offline (`offline`) or puts it back online. An offline endpoint gets no
    /// new attempts, and an attempt that has not started is aborted. The balancer sees a drain or a
    /// return of the endpoint.
    pub fn set_offline(self: &Rc<Self>, id: EndpointId, offline: bool) -> Result<(), UnknownEndpoint> {
        self.change_offline(|list| list.set_offline(id, offline))
    }

    /// Takes an endpoint offline that an earlier process of this sidecar had taken offline, whether
    /// listed or not.
    pub fn restore_offline(self: &Rc<Self>, id: EndpointId) {
        let _ = self.change_offline(|list| Ok(list.restore_offline(id)));
    }

    fn change_offline(
        self: &Rc<Self>,
        change: impl FnOnce(&mut EndpointList) -> Result<Option<Endpoint>, UnknownEndpoint>,
    ) -> Result<(), UnknownEndpoint> {
        let endpoint = {
            let mut core = self.core.borrow_mut();
            let endpoint = change(&mut core.endpoint_list)?;
            core.abort_unwanted();
            endpoint
        };
        if let Some(endpoint) = endpoint {
            self.feed(Event::Endpoints { kind: ListKind::Delta, entries: &[endpoint] });
        }
        Ok(())
    }

    /// The endpoints taken offline by an operator.
    pub fn offline_endpoints(&self) -> Vec<EndpointId> {
        self.core.borrow().endpoint_list.offline_endpoints().collect()
    }

    /// Number of listed endpoints, and of those among them that get no new attempts.
    pub fn rotation(&self) -> (usize, usize) {
        let core = self.core.borrow();
        (core.endpoint_list.listed_count(), core.endpoint_list.out_of_rotation())
    }
}
