//! The emulator: a discrete-event simulation in virtual time, with one decider for each sidecar.
//! Each event has a time, a rank and a sequence number. Of two events at the same nanosecond the
//! one with the lower rank is processed first (answers before the timeouts that wait for them),
//! then the one that was scheduled first. Memory use follows what is open at the moment, not the
//! length of the run.

mod answers;
mod calendar;
mod clients;
mod cold;
mod deciders;
mod delayed_view;
pub mod endpoint;
mod fleet;
mod keys;
mod lifecycle;
mod listing;
mod result;
mod rules;
mod spec;
mod troubles;
mod work;

use calendar::{Answer, EventCalendar, SimEvent};
pub use delayed_view::EndpointView;
pub use fleet::weighted_index;
pub use keys::{ClientKey, JobKey, RequestKey};
pub use result::RunResult;
pub use rules::{Breach, Rule, tolerated_requests};

use crate::draw::{Purpose, RandomStream};
use crate::policies::{Decider, Truth};
use crate::scenario::Scenario;
use crate::score::RunStatistics;
use cottonpoint_decide::{
    Action, ClassId, EndpointId, Event, ListKind, LoadReport, Outcome, Request, RequestId, Settings,
    TenantId, Time, TimerToken,
};
use endpoint::{EmulatedEndpoint, Nanos};
use rules::Rules;
use rustc_hash::FxHashMap;
use slotmap::{Key, KeyData, SlotMap};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reading of the deciders' clock at the start of a run, large enough that every earlier start time
/// is positive.
const DECIDER_CLOCK_START_NS: u64 = 1 << 50;

/// Who sent a request to a sidecar.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Client(ClientKey, u32),
    Job(JobKey),
}

/// One attempt of a request.
#[derive(Clone, Debug)]
struct Attempt {
    job: Option<JobKey>,
    endpoint: u32,
    sent: Nanos,
    outcome: Option<Outcome>,
}

/// A request at a sidecar.
#[derive(Clone, Debug)]
struct OpenRequest {
    sidecar: u32,
    class: u16,
    tenant: u16,
    deadline: Nanos,
    origin: Origin,
    answered: bool,
    attempts: Vec<Attempt>,
    outstanding: u8,
    /// Work of the request over all tiers, in seconds of a core of speed 1.
    work: f64,
    /// Selects the request's streams of random draws.
    key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    InTransit,
    Queued,
    /// Running: the reading of the endpoint's service clock at which the work is done, and the
    /// amount of work.
    Running(f64, f64),
    CallingNextTier(Option<RequestKey>),
    /// The answer is on its way to the sidecar.
    AnswerInTransit(Outcome),
}

/// A request at an endpoint: the receiving side of an attempt.
#[derive(Clone, Debug)]
struct Job {
    request: RequestKey,
    attempt: u8,
    endpoint: u32,
    process: u32,
    sidecar: u32,
    stage: Stage,
    /// The sidecar no longer waits for the answer.
    orphaned: bool,
    new_connection: bool,
    work_before_calls: f64,
    work_after_calls: f64,
    calls_left: u8,
    ordinal: u8,
    /// Work done for the request so far, in all tiers.
    work_done: f64,
    class: u16,
    tenant: u16,
    deadline: Nanos,
    work: f64,
    key: u64,
}

/// A client with all its tries, that is its first request and its retries.
#[derive(Clone, Debug)]
struct Client {
    number: u64,
    class: u16,
    tenant: u16,
    over_quota: bool,
    after_warm_up: bool,
    first_sent: Nanos,
    work: f64,
    tries: u32,
    timeout: Nanos,
    leaves_at: Option<Nanos>,
    honours_retry_after: bool,
    first_attempt_at: Option<Nanos>,
    request: Option<RequestKey>,
    attempt_sent: bool,
}

/// The emulator's state of a sidecar.
struct SidecarState {
    tier: usize,
    index_in_tier: u32,
    alive: bool,
    process: u32,
    decider: Box<dyn Decider>,
    known_ready: FxHashMap<u32, (cottonpoint_decide::EndpointState, Option<Nanos>)>,
    notified_unready: FxHashMap<u32, Nanos>,
    pools: FxHashMap<u32, Pool>,
    subscribed: bool,
    last_list_at: Nanos,
    poll_failed: bool,
}

/// Idle connections of one sidecar to one process of an endpoint.
#[derive(Default)]
struct Pool {
    process: u32,
    idle: Vec<Nanos>,
}

/// A partition between some sidecars and some endpoints, by index.
struct Partition {
    trouble: u32,
    sidecars: Vec<bool>,
    endpoints: Vec<bool>,
}

/// Parameters of the run that were drawn from the seed.
struct DrawnParameters {
    settings: Vec<Settings>,
    class_weights: Vec<f64>,
    class_work: Vec<f64>,
    class_cv: Vec<f64>,
    class_noise: Vec<f64>,
    tenant_weights: Vec<f64>,
    /// Share of the client timeout that a first try has.
    try_share: f64,
    rate: f64,
    calls: Vec<f64>,
    report: Vec<Option<(Nanos, Nanos, f64)>>,
}

/// Makes the decider of one sidecar.
pub type DeciderFactory<'a> = &'a (dyn Fn(Settings, u64, Time) -> Box<dyn Decider> + Sync);

/// A run in progress.
pub struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    make_decider: DeciderFactory<'a>,
    now: Nanos,
    calendar: EventCalendar,
    event_count: u64,
    decisions: u64,
    endpoints: Vec<EmulatedEndpoint>,
    sidecars: Vec<SidecarState>,
    /// Number of sidecars of the first tier; they have the lowest indices.
    first_tier_sidecars: usize,
    /// The sidecar of an endpoint that calls a further tier.
    sidecar_of: FxHashMap<u32, u32>,
    registry: Vec<BTreeMap<u32, (cottonpoint_decide::EndpointState, Option<Nanos>)>>,
    listed_at: FxHashMap<u32, Nanos>,
    requests: SlotMap<RequestKey, OpenRequest>,
    jobs: SlotMap<JobKey, Job>,
    clients: SlotMap<ClientKey, Client>,
    arrivals_draw: RandomStream,
    network_draw: RandomStream,
    listing_draw: RandomStream,
    noise_draw: RandomStream,
    parameters: DrawnParameters,
    quotas: Vec<(f64, Nanos)>,
    next_client: u64,
    active_outages: u32,
    load_multiple: f64,
    partitions: Vec<Partition>,
    affected: BTreeMap<u32, Vec<u32>>,
    cold_load: FxHashMap<u32, cold::RecentLoad>,
    /// Endpoints that failed because they were overloaded while cold; they stay down.
    overloaded: Vec<u32>,
    /// Past true states, if any decider uses them.
    delayed_views: Option<delayed_view::ViewHistory>,
    rules: Rules,
    statistics: RunStatistics,
    action_buffers: Vec<Vec<Action>>,
    /// The client whose events are traced, and its trace.
    traced: Option<u64>,
    trace: Vec<String>,
}

fn request_id(request: RequestKey) -> RequestId {
    RequestId(request.data().as_ffi())
}

fn request_key(id: RequestId) -> RequestKey {
    RequestKey::from(KeyData::from_ffi(id.0))
}

fn endpoint_id(endpoint: u32) -> EndpointId {
    EndpointId(u64::from(endpoint))
}

fn decider_time(at: Nanos) -> Time {
    Time(DECIDER_CLOCK_START_NS + at)
}

impl<'a> World<'a> {
    /// A run that has not begun. `make_decider` makes the decider of each sidecar.
    pub fn new(scenario: &'a Scenario, seed: u64, make_decider: DeciderFactory<'a>) -> World<'a> {
        let mut fleet = RandomStream::new(seed, Purpose::Fleet, 0);
        let (endpoints, parameters) = fleet::draw(scenario, &mut fleet);
        let tiers = scenario.tiers.len();
        let mut world = World {
            scenario,
            seed,
            make_decider,
            now: 0,
            calendar: EventCalendar::default(),
            event_count: 0,
            decisions: 0,
            quotas: vec![(f64::INFINITY, 0); scenario.tenants.len()],
            statistics: RunStatistics::new(scenario),
            delayed_views: None,
            rules: Rules::new(scenario),
            endpoints,
            sidecars: Vec::new(),
            first_tier_sidecars: 0,
            sidecar_of: FxHashMap::default(),
            registry: vec![BTreeMap::new(); tiers],
            listed_at: FxHashMap::default(),
            requests: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            clients: SlotMap::with_key(),
            arrivals_draw: RandomStream::new(seed, Purpose::Arrivals, 0),
            network_draw: RandomStream::new(seed, Purpose::Network, 0),
            listing_draw: RandomStream::new(seed, Purpose::Discovery, 0),
            noise_draw: RandomStream::new(seed, Purpose::Reports, 0),
            parameters,
            next_client: 0,
            active_outages: 0,
            load_multiple: 1.0,
            partitions: Vec::new(),
            affected: BTreeMap::new(),
            cold_load: FxHashMap::default(),
            overloaded: Vec::new(),
            action_buffers: Vec::new(),
            traced: None,
            trace: Vec::new(),
        };
        for endpoint in 0..world.endpoints.len() {
            let tier = world.endpoints[endpoint].spec.tier;
            let listed = (cottonpoint_decide::EndpointState::Ready, None);
            world.registry[tier].insert(endpoint as u32, listed);
        }
        let first_tier_sidecars =
            scenario.tiers[0].sidecars.unwrap_or(crate::scenario::ValueRange::single(1.0));
        let first_tier_sidecars = fleet.value_in(first_tier_sidecars).round().max(1.0) as u32;
        for _ in 0..first_tier_sidecars {
            world.add_sidecar(0);
        }
        world.first_tier_sidecars = world.sidecars.len();
        for endpoint in 0..world.endpoints.len() {
            world.add_endpoint_sidecar(endpoint as u32);
        }
        world.delayed_views = delayed_view::ViewHistory::for_deciders(&world.sidecars, &world.parameters);
        world.schedule_troubles();
        world.schedule(0, SimEvent::Arrival);
        world.schedule(1_000_000_000, SimEvent::SecondElapsed);
        world
    }

    /// Traces the events of one client, numbered from 0 in the order of arrival.
    pub fn trace(mut self, client: u64) -> World<'a> {
        self.traced = Some(client);
        self
    }

    fn schedule(&mut self, at: Nanos, event: SimEvent) {
        self.calendar.schedule(at.max(self.now), event);
    }

    fn trace_client(&mut self, client: u64, text: impl FnOnce(&Self) -> String) {
        if self.traced == Some(client) {
            let text = text(self);
            self.trace.push(format!("{:>12.3} ms  {text}", self.now as f64 / 1e6));
        }
    }

    fn trace_request(&mut self, request: RequestKey, text: impl FnOnce(&Self) -> String) {
        if self.traced.is_some()
            && let Some(client) = self.client_of(request)
        {
            self.trace_client(client, text);
        }
    }

    /// The number of the client that a request, through any number of tiers, belongs to.
    fn client_of(&self, request: RequestKey) -> Option<u64> {
        let mut request = request;
        loop {
            match self.requests.get(request)?.origin {
                Origin::Client(client, _) => return Some(self.clients.get(client)?.number),
                Origin::Job(job) => request = self.jobs.get(job)?.request,
            }
        }
    }

    /// Processes the next event; returns false when none is left.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.calendar.next() else { return false };
        self.now = at;
        self.event_count += 1;
        match event {
            SimEvent::Arrival => self.arrive(),
            SimEvent::RetryDue(client) => self.start_try(client),
            SimEvent::RequestAtSidecar { client, try_no, sidecar, process, deadline } => {
                self.request_at_sidecar(client, try_no, sidecar, process, deadline);
            }
            SimEvent::AnswerAtClient { client, try_no, answer } => {
                self.answer_at_client(client, try_no, answer)
            }
            SimEvent::ClientTimeout { client, try_no } => self.client_timed_out(client, try_no),
            SimEvent::ClientLeaves { client, try_no } => self.client_leaves(client, try_no),
            SimEvent::DeadlinePassed { request } => self.deadline_passed(request),
            SimEvent::TimerFired { sidecar, process, token } => {
                if self.is_process(sidecar, process) {
                    self.deliver_event(sidecar, Event::Timer { token: TimerToken(token) });
                }
            }
            SimEvent::AttemptAtEndpoint(job) => self.attempt_at_endpoint(job),
            SimEvent::CompletionDue { endpoint, schedule_version } => {
                self.completion_due(endpoint, schedule_version)
            }
            SimEvent::CrowdingCheck { endpoint } => self.check_crowding(endpoint),
            SimEvent::AnswerAtSidecar(job, report) => self.answer_at_sidecar(job, report),
            SimEvent::AttemptEnd { request, attempt, outcome } => {
                self.finish_attempt(request, attempt, outcome, None)
            }
            SimEvent::AttemptTimeout { request, attempt } => self.attempt_timed_out(request, attempt),
            SimEvent::CancelAtEndpoint(job) => self.cancel_at_endpoint(job),
            SimEvent::ListChange { endpoint, state } => self.apply_list_change(endpoint, state),
            SimEvent::ChangeDelivered { sidecar, process, endpoint, state, started } => {
                self.change_delivered(sidecar, process, endpoint, state, started);
            }
            SimEvent::FullListDelivered { sidecar, process } => self.full_list_delivered(sidecar, process),
            SimEvent::PollFailed { sidecar, process } => {
                if self.is_process(sidecar, process) {
                    self.sidecars[sidecar as usize].poll_failed = true;
                    self.deliver_event(sidecar, Event::DiscoveryFailed);
                }
            }
            SimEvent::Trouble { number, begins } => self.trouble(number, begins),
            SimEvent::DrainEndpoint { endpoint, ends } => self.drain_endpoint(endpoint, ends),
            SimEvent::StopEndpoint { endpoint, replace } => self.stop_endpoint(endpoint, replace),
            SimEvent::SecondElapsed => self.every_second(),
        }
        true
    }
}
