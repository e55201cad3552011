//! The protocol-independent core of the sidecar. It owns the balancer, the clock, the timers, the
//! ids and the life cycle of requests; it feeds events to the balancer and performs the actions
//! that the balancer returns.
//!
//! A protocol front end reads a request, calls [`Sidecar::admit`] and then awaits
//! [`RequestHandle::next_decision`] in a loop. It sends each [`Attempt`] to its endpoint and
//! reports the outcome, until a decision ends the request.

mod admit;
mod book;
mod clock;
mod counts;
mod guard;
mod lease;
mod list;
mod route;
mod stop;
mod targets;

pub use admit::{NewRequest, RequestHandle};
pub use book::Attempt;
pub use clock::Clock;
pub use counts::{ClassCounts, Counts, RequestOutcome};
pub use guard::{AttemptFacts, Denial, EndpointStanding, Guard, Violation};
pub use lease::{Lease, PollEvent};
pub use list::MAX_ANSWER_TRANSIT;
pub use route::{AbortReason, Decision, LocalReply};
pub use stop::Shutdown;
pub use targets::{EndpointAddress, EndpointList, EndpointRecord, Lifecycle, UnknownEndpoint, endpoint_id};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_decide::Balancer;
use cottonpoint_decide::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The executor that runs all of a sidecar's tasks on one thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// State of one request from its admission until its handle is dropped.
struct RequestState {
    /// Version of the settings under which the request was admitted; names the balancer that owns
    /// it.
    settings_version: u32,
    decisions: Sender<Decision>,
    /// For each attempt, the channel that aborts it and the endpoint it goes to.
    attempts: Vec<(Sender<AbortReason>, EndpointId)>,
    /// The final answer has been given, or none is owed any more.
    closed: bool,
}

/// Maximum number of balancers held at once: the one for the current settings, and those for
/// earlier settings whose requests are still open. A reload beyond this is deferred until one of
/// them has no open request.
const MAX_BALANCERS: usize = 4;

struct Core {
    /// Ordered by settings version, oldest first; the last one takes new requests.
    balancers: VecDeque<(u32, Balancer)>,
    /// Settings of a reload that arrived while [`MAX_BALANCERS`] balancers were held.
    pending: Option<Settings>,
    seed: u64,
    requests: HashMap<RequestId, RequestState>,
    endpoint_list: EndpointList,
    actions: Vec<Action>,
}

/// The core of a sidecar: its balancer and what connects it to real time.
pub struct Sidecar {
    core: RefCell<Core>,
    clock: Clock,
    executor: Executor,
    next_request_id: Cell<u64>,
    subscribe: Sender<()>,
    counts: Counts,
    guard: Guard,
    /// How the endpoint list is obtained, according to the current settings.
    discovery: Cell<Discovery>,
    lease: RefCell<Lease>,
    /// Whether there has been an endpoint list, empty or not.
    has_list: Cell<bool>,
    /// Signals that the lease has changed.
    lease_changed: (Sender<()>, Receiver<()>),
}

/// Default time for which new attempts may still go to an endpoint after it starts draining, for
/// settings that do not state it (the site files).
const DRAIN_GRACE: Duration = Duration::from_millis(500);

impl Sidecar {
    /// Creates a sidecar with an empty endpoint list. The receiver yields whenever the balancer
    /// asks for the endpoint list.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        executor: Executor,
    ) -> (Rc<Self>, Receiver<()>) {
        // One pending signal is enough: several requests for the list are served by one.
        let (subscribe, subscriptions) = async_channel::bounded(1);
        let (now, discovery) = (clock.now(), settings.discovery);
        let core = Core {
            balancers: VecDeque::from([(0, Balancer::new(settings, seed, now))]),
            pending: None,
            seed,
            requests: HashMap::new(),
            endpoint_list: EndpointList::default(),
            actions: Vec::new(),
        };
        let sidecar = Sidecar {
            core: core.into(),
            clock,
            executor,
            next_request_id: Cell::new(1),
            subscribe,
            counts: Counts::default(),
            guard: Guard::default(),
            discovery: Cell::new(discovery),
            lease: Lease::new(now, discovery, DRAIN_GRACE).into(),
            has_list: Cell::new(false),
            lease_changed: async_channel::bounded(1),
        };
        let sidecar = Rc::new(sidecar);
        let follow = Sidecar::follow_lease(Rc::downgrade(&sidecar));
        sidecar.executor.spawn(follow).detach();
        (sidecar, subscriptions)
    }

    /// The clock that timestamps all events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Counters since the sidecar was created.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The guard that allows or denies each attempt and counts its denials.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Whether `request` is still owed an answer, and whether an attempt of it may reach its
    /// endpoint at `at`.
    fn may_reach(&self, request: RequestId, at: Time) -> (bool, bool) {
        let core = &mut *self.core.borrow_mut();
        let open =
            core.requests.get(&request).filter(|entry| !entry.closed).map(|entry| entry.settings_version);
        (
            open.is_some(),
            open.is_some_and(|settings_version| core.balancer(settings_version).may_reach(request, at)),
        )
    }

    /// Number of requests that were admitted and have not ended.
    pub fn open_requests(&self) -> usize {
        self.core.borrow().requests.len()
    }

    /// Applies new settings to requests admitted from now on. Open requests keep the settings and
    /// the balancer under which they were admitted, until the last of them ends. The new balancer
    /// starts with the current endpoint list, as at process start.
    pub fn reload_settings(self: &Rc<Self>, settings: Settings) {
        self.discovery.set(settings.discovery);
        let settings_version = {
            let mut core = self.core.borrow_mut();
            core.drop_idle_balancers();
            if core.balancers.len() >= MAX_BALANCERS {
                let (held, version) = (core.balancers.len(), core.current_version());
                tracing::info!(held, version, replaced = core.pending.is_some(), "balancer settings put off");
                core.pending = Some(settings);
                return;
            }
            let settings_version = core.balancers.back().map_or(0, |(n, _)| n + 1);
            let seed = core.seed ^ u64::from(settings_version).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let (held, open_requests) = (core.balancers.len(), core.requests.len());
            tracing::info!(held, version = settings_version, open_requests, "balancer settings in force");
            core.balancers.push_back((settings_version, Balancer::new(settings, seed, self.clock.now())));
            settings_version
        };
        let endpoints = self.core.borrow().endpoint_list.balancer_endpoints();
        self.feed_to(
            Some(settings_version),
            Event::Endpoints { kind: ListKind::Full, entries: &endpoints },
        );
    }

    /// Feeds one event to the balancer that it concerns. Events about endpoints go to all
    /// balancers.
    fn feed(self: &Rc<Self>, event: Event<'_>) {
        let settings_version = {
            let core = self.core.borrow();
            match &event {
                Event::Endpoints { .. } | Event::DiscoveryFailed => None,
                Event::Arrived(request) => core.requests.get(&request.id).map(|e| e.settings_version),
                Event::Finished { id, .. } | Event::StreamStarted { id } | Event::ClientGone { id } => {
                    Some(
                        core.requests
                            .get(id)
                            .map_or_else(|| core.current_version(), |e| e.settings_version),
                    )
                }
                Event::Timer { .. } | Event::ProbeFinished { .. } => Some(core.current_version()),
            }
        };
        self.feed_to(settings_version, event);
        let pending = {
            let mut core = self.core.borrow_mut();
            core.drop_idle_balancers();
            let room = core.balancers.len() < MAX_BALANCERS;
            if room { core.pending.take() } else { None }
        };
        if let Some(settings) = pending {
            self.reload_settings(settings);
        }
    }

    /// Feeds one event to one balancer, or to all, and executes the resulting actions. Executing an
    /// action only queues decisions and starts timers, so this function is not re-entered while the
    /// core is borrowed.
    fn feed_to(self: &Rc<Self>, settings_version: Option<u32>, event: Event<'_>) {
        let mut core = self.core.borrow_mut();
        // Balancers are added and removed only by a reload or after a feed, never during one.
        for index in 0..core.balancers.len() {
            let n = core.balancers[index].0;
            if settings_version.is_some_and(|version| version != n) {
                continue;
            }
            let mut follow_ups = VecDeque::new();
            let mut actions = std::mem::take(&mut core.actions);
            let now = self.clock.now();
            tracing::trace!(?event, tuning = n);
            core.balancer(n).handle(now, event, &mut actions);
            loop {
                for action in actions.drain(..) {
                    tracing::trace!(?action);
                    follow_ups.extend(self.execute(&mut core, n, action));
                }
                let Some(event) = follow_ups.pop_front() else { break };
                tracing::trace!(?event);
                core.balancer(n).handle(self.clock.now(), event, &mut actions);
            }
            core.actions = actions;
        }
    }

    fn reply_locally(&self, core: &mut Core, id: RequestId, response: LocalReply) {
        if route::queue_reply(core, id, response) {
            self.counts.count_reply(response);
        }
    }

    fn execute(
        self: &Rc<Self>,
        core: &mut Core,
        settings_version: u32,
        action: Action,
    ) -> Option<Event<'static>> {
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                return route::queue_attempt(self, core, id, endpoint, until);
            }
            Action::Refuse { id, retry_after } => {
                self.reply_locally(core, id, LocalReply::Refused { retry_after });
            }
            Action::Fail { id } => self.reply_locally(core, id, LocalReply::Failed),
            Action::Cancel { id, attempt } => {
                let entry = core.requests.get(&id);
                if let Some((abort, _)) = entry.and_then(|e| e.attempts.get(usize::from(attempt))) {
                    let _ = abort.try_send(AbortReason::Cancelled);
                }
            }
            Action::SetTimer { after, token } => {
                let sidecar = Rc::downgrade(self);
                let timer = async move {
                    Timer::after(after).await;
                    if let Some(sidecar) = sidecar.upgrade() {
                        sidecar.feed_to(Some(settings_version), Event::Timer { token });
                    }
                };
                self.executor.spawn(timer).detach();
            }
            Action::Subscribe => {
                let _ = self.subscribe.try_send(());
            }
            // The deployment forbids probes, and the protocol defines no message for them.
            Action::Probe { .. } => {}
        }
        None
    }
}

impl Core {
    /// Aborts each attempt that has not started if its endpoint accepts no new attempts.
    fn abort_unwanted(&self) {
        for entry in self.requests.values() {
            if let Some((abort, endpoint)) = entry.attempts.last()
                && !self.endpoint_list.takes_work(*endpoint)
            {
                let _ = abort.try_send(AbortReason::Unavailable);
            }
        }
    }

    /// The balancer for these settings, or the newest one if it has been dropped.
    fn balancer(&mut self, settings_version: u32) -> &mut Balancer {
        let at = self.balancers.iter().position(|(n, _)| *n == settings_version);
        let last = self.balancers.len() - 1;
        &mut self.balancers[at.unwrap_or(last)].1
    }

    /// Version of the current settings.
    fn current_version(&self) -> u32 {
        self.balancers.back().map_or(0, |(n, _)| *n)
    }

    /// Drops the balancers for earlier settings that own no open request.
    fn drop_idle_balancers(&mut self) {
        let current_version = self.current_version();
        let requests = &self.requests;
        self.balancers
            .retain(|(n, _)| *n == current_version || requests.values().any(|e| e.settings_version == *n));
    }
}
