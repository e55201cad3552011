//! The sidecar's core, free of any protocol: it owns the balancer, the clock, the timers, the ids and the
//! lifecycle of flows. It feeds events to the balancer and carries out what the balancer asks for.
//!
//! A front takes a flow in, calls [`Sidecar::admit`], then follows [`Flow::route`] step by step: each
//! [`Attempt`] is sent by whatever speaks to targets and booked with its outcome, until a step ends the flow.

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

pub use admit::{Flow, NewFlow};
pub use book::Attempt;
pub use clock::Clock;
pub use counts::{ClassCounts, Counts, Fate};
pub use guard::{AttemptFacts, Denial, EndpointStanding, Guard, Violation};
pub use lease::{Lease, PollEvent};
pub use list::ANSWER_WAY;
pub use route::{FixedResponse, Halt, Step};
pub use stop::Stop;
pub use targets::{Group, Lifecycle, Listed, NotListed, Target, target_id};

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

/// One flow as the core follows it.
struct Entry {
    /// The settings that it came in under: the balancer that holds it.
    tuning: u32,
    steps: Sender<Step>,
    /// For each attempt: what may halt it, and where it goes.
    attempts: Vec<(Sender<Halt>, EndpointId)>,
    /// The final answer has been given, or is owed no more.
    closed: bool,
}

/// Balancers held at once: the one of the settings in force, and those of earlier settings while flows that
/// came in under them are open. A reload past that is put off until one of them is empty.
const TUNINGS: usize = 4;

struct Core {
    /// By the settings' number, oldest first; the last takes new flows.
    balancers: VecDeque<(u32, Balancer)>,
    /// Settings given at a reload while [`TUNINGS`] balancers were held.
    pending: Option<Settings>,
    seed: u64,
    flows: HashMap<RequestId, Entry>,
    group: Group,
    actions: Vec<Action>,
}

/// The core: one balancer with all that it needs to live on real time.
pub struct Sidecar {
    core: RefCell<Core>,
    clock: Clock,
    executor: Executor,
    next_flow: Cell<u64>,
    subscribe: Sender<()>,
    counts: Counts,
    guard: Guard,
    /// How the list is learned, by the settings in force.
    discovery: Cell<Discovery>,
    lease: RefCell<Lease>,
    /// Tells of a change of the lease.
    lease_changed: (Sender<()>, Receiver<()>),
}

/// How long something new may go to a target that has left, where the settings do not say (the site files).
const DRAIN_GRACE: Duration = Duration::from_millis(500);

impl Sidecar {
    /// A sidecar without targets. The receiver yields whenever the balancer asks for the target group.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        executor: Executor,
    ) -> (Rc<Self>, Receiver<()>) {
        // One word says as much as many.
        let (subscribe, subscriptions) = async_channel::bounded(1);
        let (now, discovery) = (clock.now(), settings.discovery);
        let core = Core {
            balancers: VecDeque::from([(0, Balancer::new(settings, seed, now))]),
            pending: None,
            seed,
            flows: HashMap::new(),
            group: Group::default(),
            actions: Vec::new(),
        };
        let sidecar = Sidecar {
            core: core.into(),
            clock,
            executor,
            next_flow: Cell::new(1),
            subscribe,
            counts: Counts::default(),
            guard: Guard::default(),
            discovery: Cell::new(discovery),
            lease: Lease::new(now, discovery, DRAIN_GRACE).into(),
            lease_changed: async_channel::bounded(1),
        };
        let sidecar = Rc::new(sidecar);
        let follow = Sidecar::follow_lease(Rc::downgrade(&sidecar));
        sidecar.executor.spawn(follow).detach();
        (sidecar, subscriptions)
    }

    /// The clock of all events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What it has counted since its start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What says whether something may begin, and counts what it denies.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Whether a flow is owed an answer, and whether an attempt of it may come to its target at that time.
    fn may_reach(&self, flow: RequestId, at: Time) -> (bool, bool) {
        let core = &mut *self.core.borrow_mut();
        let open = core.flows.get(&flow).filter(|entry| !entry.closed).map(|entry| entry.tuning);
        (open.is_some(), open.is_some_and(|tuning| core.balancer(tuning).may_reach(flow, at)))
    }

    /// Flows taken and not ended.
    pub fn open_flows(&self) -> usize {
        self.core.borrow().flows.len()
    }

    /// New flows go by these settings from now on; open flows keep the settings they came in under, with the
    /// balancer that holds them, until the last of them ends. The new balancer learns the target group as it
    /// stands, as at a start.
    pub fn retune(self: &Rc<Self>, settings: Settings) {
        self.discovery.set(settings.discovery);
        let tuning = {
            let mut core = self.core.borrow_mut();
            core.retire();
            if core.balancers.len() >= TUNINGS {
                core.pending = Some(settings);
                return;
            }
            let tuning = core.balancers.back().map_or(0, |(n, _)| n + 1);
            let seed = core.seed ^ u64::from(tuning).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            core.balancers.push_back((tuning, Balancer::new(settings, seed, self.clock.now())));
            tuning
        };
        let endpoints = self.core.borrow().group.all();
        self.feed_to(Some(tuning), Event::Endpoints { kind: ListKind::Full, entries: &endpoints });
    }

    /// Feeds one event to the balancer that it concerns (to all, for what concerns targets).
    fn feed(self: &Rc<Self>, event: Event<'_>) {
        let tuning = {
            let core = self.core.borrow();
            match &event {
                Event::Endpoints { .. } | Event::DiscoveryFailed => None,
                Event::Arrived(call) => core.flows.get(&call.id).map(|e| e.tuning),
                Event::Finished { id, .. } | Event::StreamStarted { id } | Event::ClientGone { id } => {
                    Some(core.flows.get(id).map_or_else(|| core.newest(), |e| e.tuning))
                }
                Event::Timer { .. } | Event::ProbeFinished { .. } => Some(core.newest()),
            }
        };
        self.feed_to(tuning, event);
        let pending = {
            let mut core = self.core.borrow_mut();
            core.retire();
            let room = core.balancers.len() < TUNINGS;
            if room { core.pending.take() } else { None }
        };
        if let Some(settings) = pending {
            self.retune(settings);
        }
    }

    /// Feeds one event to one balancer, or to each, and carries out what follows from it. Carrying out only
    /// queues steps and starts timers, so it never comes back here while the core is borrowed.
    fn feed_to(self: &Rc<Self>, tuning: Option<u32>, event: Event<'_>) {
        let mut core = self.core.borrow_mut();
        // Balancers come and go only at a reload and after a feed, never during one.
        for at in 0..core.balancers.len() {
            let n = core.balancers[at].0;
            if tuning.is_some_and(|t| t != n) {
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
                    follow_ups.extend(self.carry_out(&mut core, n, action));
                }
                let Some(event) = follow_ups.pop_front() else { break };
                tracing::trace!(?event);
                core.balancer(n).handle(self.clock.now(), event, &mut actions);
            }
            core.actions = actions;
        }
    }

    fn answer(&self, core: &mut Core, id: RequestId, response: FixedResponse) {
        if route::answer(core, id, response) {
            self.counts.answer(response);
        }
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, tuning: u32, action: Action) -> Option<Event<'static>> {
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                return route::attempt(self, core, id, endpoint, until);
            }
            Action::Refuse { id, retry_after } => {
                self.answer(core, id, FixedResponse::Refused { retry_after });
            }
            Action::Fail { id } => self.answer(core, id, FixedResponse::Failed),
            Action::Cancel { id, attempt } => {
                let entry = core.flows.get(&id);
                if let Some((halt, _)) = entry.and_then(|e| e.attempts.get(usize::from(attempt))) {
                    let _ = halt.try_send(Halt::Withdrawn);
                }
            }
            Action::SetTimer { after, token } => {
                let sidecar = Rc::downgrade(self);
                let timer = async move {
                    Timer::after(after).await;
                    if let Some(sidecar) = sidecar.upgrade() {
                        sidecar.feed_to(Some(tuning), Event::Timer { token });
                    }
                };
                self.executor.spawn(timer).detach();
            }
            Action::Subscribe => {
                let _ = self.subscribe.try_send(());
            }
            // The platform forbids probes and gives them no form on the socket.
            Action::Probe { .. } => {}
        }
        None
    }
}

impl Core {
    /// Halts each send that has not begun to a target that wants nothing new.
    fn halt_unwanted(&self) {
        for entry in self.flows.values() {
            if let Some((halt, target)) = entry.attempts.last()
                && !self.group.takes_work(*target)
            {
                let _ = halt.try_send(Halt::TargetLeft);
            }
        }
    }

    /// The balancer of those settings; the newest where they are gone.
    fn balancer(&mut self, tuning: u32) -> &mut Balancer {
        let at = self.balancers.iter().position(|(n, _)| *n == tuning);
        let last = self.balancers.len() - 1;
        &mut self.balancers[at.unwrap_or(last)].1
    }

    /// The number of the settings in force.
    fn newest(&self) -> u32 {
        self.balancers.back().map_or(0, |(n, _)| *n)
    }

    /// Drops the balancers of earlier settings that hold no open flow.
    fn retire(&mut self) {
        let newest = self.newest();
        let flows = &self.flows;
        self.balancers.retain(|(n, _)| *n == newest || flows.values().any(|e| e.tuning == *n));
    }
}
