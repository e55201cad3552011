//! The sidecar's core, free of any protocol: it owns the balancer, the clock, the timers, the ids and the
//! lifecycle of flows. It feeds events to the balancer and carries out what the balancer asks for.
//!
//! A front takes a flow in, calls [`Sidecar::admit`], then follows [`Flow::route`] step by step: each
//! [`Forward`] is sent by whatever speaks to targets and booked with its outcome, until a step ends the flow.

mod admit;
mod book;
mod clock;
mod counts;
mod route;
mod targets;

pub use admit::{Flow, NewFlow};
pub use book::Forward;
pub use clock::Clock;
pub use counts::{ClassCounts, Counts, Fate};
pub use route::{FixedResponse, Halt, Step};
pub use targets::{Group, Lifecycle, Listed, NotListed, Target, target_id};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_decide::Balancer;
use cottonpoint_decide::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The executor that runs all of a sidecar's tasks on one thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// One flow as the core follows it.
struct Entry {
    steps: Sender<Step>,
    /// For each forward: what may halt it, and where it goes.
    forwards: Vec<(Sender<Halt>, EndpointId)>,
    /// The final answer has been given, or is owed no more.
    closed: bool,
}

struct Core {
    balancer: Balancer,
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
}

impl Sidecar {
    /// A sidecar without targets. The receiver yields whenever the balancer asks for the target group.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        executor: Executor,
    ) -> (Rc<Self>, Receiver<()>) {
        let (subscribe, subscriptions) = async_channel::unbounded();
        let core = Core {
            balancer: Balancer::new(settings, seed, clock.now()),
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
        };
        (Rc::new(sidecar), subscriptions)
    }

    /// The clock of all events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What it has counted since its start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

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

    /// Takes discovery's word on targets and acts on it at once: a send that has not begun to a target that
    /// wants nothing new is halted.
    pub fn listed(self: &Rc<Self>, kind: ListKind, entries: &[Listed]) {
        let endpoints = {
            let mut core = self.core.borrow_mut();
            let endpoints = core.group.update(kind, entries);
            for entry in core.flows.values() {
                if let Some((halt, target)) = entry.forwards.last()
                    && !core.group.takes_work(*target)
                {
                    let _ = halt.try_send(Halt::TargetLeft);
                }
            }
            endpoints
        };
        self.counts.list(true);
        self.feed(Event::Endpoints { kind, entries: &endpoints });
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
            for entry in core.flows.values() {
                if let Some((halt, target)) = entry.forwards.last()
                    && !core.group.takes_work(*target)
                {
                    let _ = halt.try_send(Halt::TargetLeft);
                }
            }
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

    /// Flows taken and not ended.
    pub fn open_flows(&self) -> usize {
        self.core.borrow().flows.len()
    }

    /// Tells the balancer that the list could not be had; the one held stays valid.
    pub fn list_failed(self: &Rc<Self>) {
        self.counts.list(false);
        self.feed(Event::DiscoveryFailed);
    }

    /// Feeds one event and carries out what follows from it. Carrying out only queues steps and starts
    /// timers, so it never comes back here while the core is borrowed.
    fn feed(self: &Rc<Self>, event: Event<'_>) {
        let mut core = self.core.borrow_mut();
        let mut follow_ups = VecDeque::new();
        let mut actions = std::mem::take(&mut core.actions);
        tracing::trace!(?event, limit = core.balancer.limit());
        core.balancer.handle(self.clock.now(), event, &mut actions);
        loop {
            for action in actions.drain(..) {
                tracing::trace!(?action);
                follow_ups.extend(self.carry_out(&mut core, action));
            }
            let Some(event) = follow_ups.pop_front() else { break };
            tracing::trace!(?event);
            core.balancer.handle(self.clock.now(), event, &mut actions);
        }
        core.actions = actions;
    }

    fn answer(&self, core: &mut Core, id: RequestId, response: FixedResponse) {
        if route::answer(core, id, response) {
            self.counts.answer(response);
        }
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) -> Option<Event<'static>> {
        match action {
            Action::Send { id, endpoint, until } => {
                return route::forward(self, core, id, endpoint, until);
            }
            Action::Refuse { id, retry_after } => {
                self.answer(core, id, FixedResponse::Refused { retry_after });
            }
            Action::Fail { id } => self.answer(core, id, FixedResponse::Failed),
            Action::Cancel { id, attempt } => {
                let entry = core.flows.get(&id);
                if let Some((halt, _)) = entry.and_then(|e| e.forwards.get(usize::from(attempt))) {
                    let _ = halt.try_send(Halt::Withdrawn);
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
            // The platform forbids probes and gives them no form on the socket.
            Action::Probe { .. } => {}
        }
        None
    }
}
