//! Every decision of the balancer; its events, actions and settings are in `interface`.
//!
//! A request is assigned to a priority level by its worth and to a flow by its tenant. It joins the
//! shortest queue of the hand that shuffle sharding deals its flow. While the width-weighted number
//! of running requests stays below the learned concurrency limit, the highest level below its
//! assured concurrency releases a request, or else the highest level that has requests waiting;
//! within the level, the queue head with the earliest virtual finish goes first. The request is
//! then sent to one endpoint of this balancer's own subset, by weights learned from load reports.
//! Outcomes adjust the limit, the weights and the virtual start of the queue. Further attempts of a
//! request keep its seat and draw on a retry budget. Timers end what has waited too long.

mod attempts;
mod levels;
mod limit;
mod reconfigure;
mod targets;
mod timers;

use crate::interface::*;
use attempts::*;
use levels::*;
use reconfigure::ClassFigures;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;
use targets::*;
use timers::*;

/// The decision state machine of one balancer. See the crate's documentation for how to embed it.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time of the latest event.
    now: Time,
    /// Greatest worth of a class; 1 if none has a positive one.
    max_class_worth: f64,
    /// Shortest latency target of all classes, in seconds.
    shortest_target_s: f64,
    /// For each tenant, the tokens (requests) left in its quota and when they were last refilled.
    quota_buckets: Vec<(f64, Time)>,
    /// All requests that have no final answer yet.
    requests: HashMap<RequestId, TrackedRequest>,
    /// The queues of all levels and widths; see `level_and_width_of`.
    queues: Vec<Queue>,
    scheduler: SchedulerState,
    /// Service time in seconds assumed for a request until it is closed (the paper's G): the
    /// longest latency target.
    service_guess_s: f64,
    /// Most width-weighted requests that may run at once.
    concurrency_limit: f64,
    /// When the limit was last decreased.
    last_limit_decrease: Time,
    /// Moving share of outcomes that were not accepted, 0 to 1.
    overload_share: f64,
    /// Moving average of the idle share that endpoints report with answers, 0 to 1.
    idle_share: f64,
    /// For each class, the moving average of its service time in seconds; 0 before the first
    /// answer.
    class_service_time_s: Vec<f64>,
    /// For each class, the usual time allowance of a client's first request and the votes for it.
    usual_timeouts: Vec<(Duration, u32)>,
    /// Endpoints that are listed or still owe an outcome.
    endpoints: Vec<TrackedEndpoint>,
    /// Index of each endpoint in `endpoints`.
    index_by_id: HashMap<EndpointId, usize>,
    /// Indices of the ready endpoints, in hash order.
    ready: Vec<usize>,
    /// Indices of this balancer's subset: of its own zone, or of all zones if crossing has no
    /// price.
    local_subset: Vec<usize>,
    /// Indices of its subset in other zones; empty if crossing has no price.
    remote_subset: Vec<usize>,
    /// For each machine type, the decaying sums of reported rates and utilizations.
    machine_type_sums: HashMap<MachineTypeId, (f64, f64)>,
    /// Mean weight of the endpoints of the local subset that have reported.
    mean_weight: f64,
    /// Recent attempts to all endpoints.
    recent_sends: DecayingSum,
    /// Further attempts that may be made now.
    retry_budget: f64,
    /// Position in the local subset of the latest probe.
    probe_cursor: usize,
    /// Failures of discovery since the last list.
    discovery_failures: u32,
    /// Discovery was asked and has not answered.
    subscription_pending: bool,
    /// What is due, earliest first.
    timers: BinaryHeap<Reverse<(Time, TimerKind)>>,
    /// The time for which the embedder has been asked to set a timer.
    armed_timer: Option<Time>,
}

impl Balancer {
    /// Creates a balancer without endpoints or requests. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let classes = settings.classes.len();
        let figures = ClassFigures::of(&settings.classes);
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            shortest_target_s: figures.shortest_target_s,
            max_class_worth: figures.max_worth,
            quota_buckets: vec![(f64::INFINITY, now); settings.tenants.len()],
            requests: HashMap::new(),
            queues: (0..LEVELS * 2 * QUEUES_PER_WIDTH).map(|_| Queue::default()).collect(),
            scheduler: SchedulerState::default(),
            service_guess_s: figures.longest_target_s,
            concurrency_limit: f64::INFINITY,
            last_limit_decrease: now,
            overload_share: 0.0,
            idle_share: 0.0,
            class_service_time_s: vec![0.0; classes],
            usual_timeouts: vec![(Duration::ZERO, 0); classes],
            endpoints: Vec::new(),
            index_by_id: HashMap::new(),
            ready: Vec::new(),
            local_subset: Vec::new(),
            remote_subset: Vec::new(),
            machine_type_sums: HashMap::new(),
            mean_weight: 1.0,
            recent_sends: DecayingSum::default(),
            retry_budget: RETRY_BUDGET_MAX / 2.0,
            probe_cursor: 0,
            discovery_failures: 0,
            subscription_pending: false,
            timers: BinaryHeap::new(),
            armed_timer: None,
            settings,
        };
        balancer.schedule_first_subscription();
        if balancer.uses_probes() {
            balancer.schedule(now, TimerKind::Probe);
        }
        balancer
    }

    /// Handles one event and appends the actions that it leads to.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        match event {
            Event::Endpoints { kind, entries } => self.on_endpoint_list(kind, entries),
            Event::DiscoveryFailed => self.on_discovery_failed(),
            Event::Arrived(request) => self.on_arrival(request, actions),
            Event::StreamStarted { id } => {
                if let Some(r) = self.requests.get_mut(&id) {
                    r.streaming = true;
                }
            }
            Event::Finished { .. } => self.on_attempt_finished(event, actions),
            Event::ProbeFinished { endpoint, outcome, report } => {
                self.record_report(endpoint, report, false);
                if outcome == Outcome::ConnectFailed || outcome == Outcome::Reset {
                    self.eject(endpoint, EJECTION_MIN);
                }
            }
            Event::ClientGone { id } => self.close_request(id, actions),
            Event::Timer { token } => {
                // Compared by token, not by time: a timer that fires slightly early must be set
                // again.
                if self.armed_timer.is_some_and(|w| w.0 == token.0) {
                    self.armed_timer = None;
                }
            }
        }
        self.run_due_timers(actions);
        self.dispatch_waiting(actions);
        self.arm_timer(actions);
    }
}

#[cfg(test)]
mod tests;
