//! The protocol-independent core of the sidecar. It owns the balancer, the clock, the timers, the
//! ids and the life cycle of requests; it feeds events to the balancer and performs the actions
//! that the balancer returns.
//!
//! A protocol front end reads a request, calls [`Sidecar::admit`] and then awaits
//! [`RequestHandle::next_decision`] in a loop. It sends each [`Attempt`] to its endpoint and
//! reports the outcome, until a decision ends the request.

mod admit;
mod answer_hold;
mod book;
mod clock;
mod counts;
mod executed_ids;
mod guard;
mod lease;
mod list;
mod memory;
mod reuse;
mod route;
mod stop;
mod targets;

pub use admit::{NewRequest, RequestHandle};
pub use answer_hold::{AnswerHold, HOLD_LIMIT_BYTES, HoldDecision};
pub use book::Attempt;
pub use clock::Clock;
pub use counts::{ClassCounts, Counts, RequestOutcome};
pub use executed_ids::{ExecutedIds, is_shared, may_run_again, request_id_hash};
pub use guard::{AttemptFacts, Denial, EndpointStanding, Guard, Violation};
pub use lease::{Lease, PollEvent};
pub use list::MAX_ANSWER_TRANSIT;
pub use memory::{ConnectionLimits, MemoryAccount, Purpose};
pub use reuse::{AnswerTiming, Arrival, PathHistory, QUIET_TIME, UNCLEAR_HOLD_TIME};
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
    decisions: Sender<Decision>,
    /// For each attempt, the channel that aborts it and the endpoint it goes to.
    attempts: Vec<(Sender<AbortReason>, Option<EndpointAddress>)>,
    /// When the client stops waiting for the answer, if its last byte had arrived at the admission.
    deadline: Time,
    admitted_at: Time,
    /// How long after the admission the last byte of the request had not arrived yet.
    arriving_for: Duration,
    /// The final answer has been given or has begun, or none is owed any more.
    closed: bool,
}

impl RequestState {
    /// When the client stops waiting for the answer, as far as is known.
    fn deadline(&self) -> Time {
        self.deadline + self.arriving_for
    }
}

struct Core {
    balancer: Balancer,
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
    /// Number of times that the settings have been replaced.
    settings_version: Cell<u64>,
    /// How the endpoint list is obtained, according to the current settings.
    discovery: Cell<Discovery>,
    lease: RefCell<Lease>,
    started_at: Time,
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
            balancer: Balancer::new(settings, seed, now),
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
            settings_version: Cell::new(0),
            discovery: Cell::new(discovery),
            lease: Lease::new(now, discovery, DRAIN_GRACE).into(),
            started_at: now,
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
        let core = self.core.borrow();
        let open = core.requests.get(&request).is_some_and(|entry| !entry.closed);
        (open, open && core.balancer.may_reach(request, at))
    }

    /// Number of requests that were admitted and have not ended.
    pub fn open_requests(&self) -> usize {
        self.core.borrow().requests.len()
    }

    /// Puts new settings in force at once. Requests admitted from now on are decided by them; open
    /// requests keep the rules under which they were admitted. `renumbering` relates the ids of
    /// classes and tenants to those of the settings before.
    pub fn reload_settings(self: &Rc<Self>, settings: Settings, renumbering: &Renumbering) {
        self.discovery.set(settings.discovery);
        let open_requests = self.open_requests();
        let version = self.settings_version.get() + 1;
        self.settings_version.set(version);
        tracing::info!(version, open_requests, "balancer settings in force");
        self.step(|balancer, now, actions| balancer.reconfigure(now, settings, renumbering, actions));
    }

    /// Feeds one event to the balancer.
    fn feed(self: &Rc<Self>, event: Event<'_>) {
        tracing::trace!(?event);
        self.step(|balancer, now, actions| balancer.handle(now, event, actions));
    }

    /// Runs one step of the balancer and executes the resulting actions. Executing an action only
    /// queues decisions and starts timers, so this function is not re-entered while the core is
    /// borrowed.
    fn step(self: &Rc<Self>, step: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>)) {
        let mut core = self.core.borrow_mut();
        let mut follow_ups = VecDeque::new();
        let mut actions = std::mem::take(&mut core.actions);
        step(&mut core.balancer, self.clock.now(), &mut actions);
        loop {
            for action in actions.drain(..) {
                tracing::trace!(?action);
                follow_ups.extend(self.execute(&mut core, action));
            }
            let Some(event) = follow_ups.pop_front() else { break };
            tracing::trace!(?event);
            core.balancer.handle(self.clock.now(), event, &mut actions);
        }
        core.actions = actions;
    }

    fn reply_locally(&self, core: &mut Core, id: RequestId, response: LocalReply) {
        if route::queue_reply(core, id, response) {
            self.counts.count_reply(response);
        }
    }

    fn execute(self: &Rc<Self>, core: &mut Core, action: Action) -> Option<Event<'static>> {
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
                        sidecar.feed(Event::Timer { token });
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
            if let Some((abort, Some(endpoint))) = entry.attempts.last()
                && !self.endpoint_list.is_active(*endpoint)
            {
                let _ = abort.try_send(AbortReason::Unavailable);
            }
        }
    }
}
