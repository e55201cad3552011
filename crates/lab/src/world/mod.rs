//! The emulator: a day in virtual time, event by event, with one decider for each sidecar.
//!
//! Everything that happens is an event with a time, a rank and a number. Of two at the same nanosecond the lower
//! rank goes first (answers before those who give up waiting for them), then the one that
//! was planned first. Memory follows what is open at the moment, never how much has passed.

mod agenda;
mod answers;
mod build;
mod cold;
mod feed;
mod fleet;
mod front;
mod late;
mod life;
mod listing;
mod played;
mod rules;
pub mod server;
mod troubles;
mod work;

use agenda::{Agenda, Answer, Happening};
pub use fleet::share_of;
pub use late::View;
pub use played::Played;
pub use rules::{Breach, Rule, stands};

use crate::draw::{Draw, Purpose};
use crate::policies::{Decider, Truth};
use crate::scenario::Scenario;
use crate::score::Book;
use cottonpoint_decide::{
    Action, ClassId, EndpointId, Event, ListKind, LoadReport, Outcome, Request, RequestId, Settings,
    TenantId, Time, TimerToken,
};
use rules::Rules;
use rustc_hash::FxHashMap;
use server::{Nanos, Server};
use slotmap::{Key, KeyData, SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::time::Duration;

new_key_type! {
    /// A request at a sidecar.
    pub struct FlowKey;
    /// A request at a server.
    pub struct JobKey;
    /// A client with all its tries.
    pub struct ClientKey;
}

/// Where the deciders' clock stands at the start of a day: later than any start "long ago".
const START: u64 = 1 << 50;

/// Who asked a sidecar.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Client(ClientKey, u32),
    Job(JobKey),
}

/// One attempt of a flow.
#[derive(Clone, Debug)]
struct Attempt {
    job: Option<JobKey>,
    server: u32,
    sent: Nanos,
    outcome: Option<Outcome>,
}

/// A request at a sidecar.
#[derive(Clone, Debug)]
struct Flow {
    sidecar: u32,
    class: u16,
    tenant: u16,
    due: Nanos,
    origin: Origin,
    answered: bool,
    attempts: Vec<Attempt>,
    outstanding: u8,
    /// Work of the request over all tiers, in seconds of a core of speed 1.
    work: f64,
    /// Names its draws.
    key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Travelling,
    Waiting,
    /// Running; the reading of the server's clock at which it is done, and the work of this part.
    Running(f64, f64),
    Calling(Option<FlowKey>),
    /// Its answer is on the way.
    Answering(Outcome),
}

/// A request at a server.
#[derive(Clone, Debug)]
struct Job {
    flow: FlowKey,
    attempt: u8,
    server: u32,
    process: u32,
    sidecar: u32,
    stage: Stage,
    /// Nobody waits for it any more.
    orphan: bool,
    new_connection: bool,
    before: f64,
    after: f64,
    calls_left: u8,
    ordinal: u8,
    /// Work done for it so far, in all tiers.
    carried: f64,
    class: u16,
    tenant: u16,
    due: Nanos,
    work: f64,
    key: u64,
}

/// A client with all its tries.
#[derive(Clone, Debug)]
struct Client {
    number: u64,
    class: u16,
    tenant: u16,
    over_share: bool,
    counts: bool,
    first_sent: Nanos,
    work: f64,
    tries: u32,
    patience: Nanos,
    leaves: Option<Nanos>,
    honours: bool,
    may_have_run: Option<Nanos>,
    flow: Option<FlowKey>,
    written: bool,
}

/// A sidecar as the world knows it.
struct Side {
    tier: usize,
    me: u32,
    alive: bool,
    process: u32,
    decider: Box<dyn Decider>,
    known: FxHashMap<u32, (cottonpoint_decide::EndpointState, Option<Nanos>)>,
    told: FxHashMap<u32, Nanos>,
    pools: FxHashMap<u32, Pool>,
    subscribed: bool,
    asked_at: Nanos,
    asks_failed: bool,
}

/// Idle connections of one sidecar to one process of one server.
#[derive(Default)]
struct Pool {
    process: u32,
    idle: Vec<Nanos>,
}

/// A cut between some sidecars and some servers, by index.
struct Cut {
    trouble: u32,
    sidecars: Vec<bool>,
    servers: Vec<bool>,
}

/// What of the fleet is as drawn.
struct Drawn {
    settings: Vec<Settings>,
    class_weights: Vec<f64>,
    class_work: Vec<f64>,
    class_cv: Vec<f64>,
    class_noise: Vec<f64>,
    tenant_weights: Vec<f64>,
    /// Share of the whole patience that a first try has.
    try_share: f64,
    rate: f64,
    calls: Vec<f64>,
    report: Vec<Option<(Nanos, Nanos, f64)>>,
}

/// Makes the decider of one sidecar.
pub type Maker<'a> = &'a (dyn Fn(Settings, u64, Time) -> Box<dyn Decider> + Sync);

/// A running day.
pub struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    maker: Maker<'a>,
    now: Nanos,
    agenda: Agenda,
    happened: u64,
    decisions: u64,
    servers: Vec<Server>,
    sidecars: Vec<Side>,
    /// Sidecars of the first tier, which come first.
    fronts: usize,
    /// The sidecar beside a server, if it calls a further tier.
    beside: FxHashMap<u32, u32>,
    registry: Vec<BTreeMap<u32, (cottonpoint_decide::EndpointState, Option<Nanos>)>>,
    listed_at: FxHashMap<u32, Nanos>,
    flows: SlotMap<FlowKey, Flow>,
    jobs: SlotMap<JobKey, Job>,
    clients: SlotMap<ClientKey, Client>,
    arrivals: Draw,
    network: Draw,
    listing: Draw,
    noise: Draw,
    drawn: Drawn,
    quotas: Vec<(f64, Nanos)>,
    next_client: u64,
    outages: u32,
    burst: f64,
    cuts: Vec<Cut>,
    struck: BTreeMap<u32, Vec<u32>>,
    pressures: FxHashMap<u32, cold::Pressure>,
    /// Servers that were pushed over: they stay down.
    fallen: Vec<u32>,
    /// The true state a while ago, where a decider looks at it.
    late: Option<late::Views>,
    rules: Rules,
    book: Book,
    spare: Vec<Vec<Action>>,
    /// Which client's life is written down, and what was.
    traced: Option<u64>,
    trace: Vec<String>,
}

fn request_id(flow: FlowKey) -> RequestId {
    RequestId(flow.data().as_ffi())
}

fn flow_key(id: RequestId) -> FlowKey {
    FlowKey::from(KeyData::from_ffi(id.0))
}

fn endpoint_id(server: u32) -> EndpointId {
    EndpointId(u64::from(server))
}

fn decider_time(at: Nanos) -> Time {
    Time(START + at)
}

impl<'a> World<'a> {
    /// A day that has not begun. `maker` makes the decider of each sidecar.
    pub fn new(scenario: &'a Scenario, seed: u64, maker: Maker<'a>) -> World<'a> {
        let mut fleet = Draw::new(seed, Purpose::Fleet, 0);
        let (servers, drawn) = fleet::draw(scenario, &mut fleet);
        let tiers = scenario.tiers.len();
        let mut world = World {
            scenario,
            seed,
            maker,
            now: 0,
            agenda: Agenda::default(),
            happened: 0,
            decisions: 0,
            quotas: vec![(f64::INFINITY, 0); scenario.tenants.len()],
            book: Book::new(scenario),
            late: None,
            rules: Rules::new(scenario),
            servers,
            sidecars: Vec::new(),
            fronts: 0,
            beside: FxHashMap::default(),
            registry: vec![BTreeMap::new(); tiers],
            listed_at: FxHashMap::default(),
            flows: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            clients: SlotMap::with_key(),
            arrivals: Draw::new(seed, Purpose::Arrivals, 0),
            network: Draw::new(seed, Purpose::Network, 0),
            listing: Draw::new(seed, Purpose::Discovery, 0),
            noise: Draw::new(seed, Purpose::Reports, 0),
            drawn,
            next_client: 0,
            outages: 0,
            burst: 1.0,
            cuts: Vec::new(),
            struck: BTreeMap::new(),
            pressures: FxHashMap::default(),
            fallen: Vec::new(),
            spare: Vec::new(),
            traced: None,
            trace: Vec::new(),
        };
        for server in 0..world.servers.len() {
            let tier = world.servers[server].build.tier;
            let listed = (cottonpoint_decide::EndpointState::Ready, None);
            world.registry[tier].insert(server as u32, listed);
        }
        let fronts = scenario.tiers[0].sidecars.unwrap_or(crate::scenario::Span::just(1.0));
        let fronts = fleet.span(fronts).round().max(1.0) as u32;
        for _ in 0..fronts {
            world.add_sidecar(0);
        }
        world.fronts = world.sidecars.len();
        for server in 0..world.servers.len() {
            world.add_sidecar_beside(server as u32);
        }
        world.late = late::Views::wanted(&world.sidecars, &world.drawn);
        world.plan_troubles();
        world.plan(0, Happening::Arrive);
        world.plan(1_000_000_000, Happening::Second);
        world
    }

    /// Writes down the life of the client of that number, counted from 0 in the order of arrival.
    pub fn trace(mut self, client: u64) -> World<'a> {
        self.traced = Some(client);
        self
    }

    fn plan(&mut self, at: Nanos, what: Happening) {
        self.agenda.plan(at.max(self.now), what);
    }

    fn note(&mut self, client: u64, text: impl FnOnce(&Self) -> String) {
        if self.traced == Some(client) {
            let text = text(self);
            self.trace.push(format!("{:>12.3} ms  {text}", self.now as f64 / 1e6));
        }
    }

    fn note_flow(&mut self, flow: FlowKey, text: impl FnOnce(&Self) -> String) {
        if self.traced.is_some()
            && let Some(client) = self.client_of(flow)
        {
            self.note(client, text);
        }
    }

    /// The number of the client that a flow, through whatever tiers, is for.
    fn client_of(&self, flow: FlowKey) -> Option<u64> {
        let mut flow = flow;
        loop {
            match self.flows.get(flow)?.origin {
                Origin::Client(client, _) => return Some(self.clients.get(client)?.number),
                Origin::Job(job) => flow = self.jobs.get(job)?.flow,
            }
        }
    }

    /// Plays the next event; false when nothing is left to happen.
    pub fn step(&mut self) -> bool {
        let Some((at, what)) = self.agenda.next() else { return false };
        self.now = at;
        self.happened += 1;
        match what {
            Happening::Arrive => self.arrive(),
            Happening::Try(client) => self.start_try(client),
            Happening::AtSidecar { client, try_no, sidecar, process, due } => {
                self.at_sidecar(client, try_no, sidecar, process, due);
            }
            Happening::AtClient { client, try_no, answer } => self.at_client(client, try_no, answer),
            Happening::GiveUp { client, try_no } => self.give_up(client, try_no),
            Happening::Leave { client, try_no } => self.leave(client, try_no),
            Happening::Overdue { flow } => self.overdue(flow),
            Happening::Wake { sidecar, process, token } => {
                if self.is_process(sidecar, process) {
                    self.feed(sidecar, Event::Timer { token: TimerToken(token) });
                }
            }
            Happening::AtServer(job) => self.at_server(job),
            Happening::Step { server, plan } => self.step_server(server, plan),
            Happening::Crowd { server } => self.look_at_crowd(server),
            Happening::Back(job, report) => self.back(job, report),
            Happening::Short { flow, attempt, outcome } => self.finish(flow, attempt, outcome, None),
            Happening::AttemptDue { flow, attempt } => self.attempt_due(flow, attempt),
            Happening::Stop(job) => self.stop_job(job),
            Happening::Listed { server, state } => self.listed(server, state),
            Happening::Told { sidecar, process, server, state, started } => {
                self.told(sidecar, process, server, state, started);
            }
            Happening::Whole { sidecar, process } => self.whole_list(sidecar, process),
            Happening::NoList { sidecar, process } => {
                if self.is_process(sidecar, process) {
                    self.sidecars[sidecar as usize].asks_failed = true;
                    self.feed(sidecar, Event::DiscoveryFailed);
                }
            }
            Happening::Trouble { number, begins } => self.trouble(number, begins),
            Happening::DrainServer { server, ends } => self.drain_server(server, ends),
            Happening::EndServer { server, replace } => self.end_server(server, replace),
            Happening::Second => self.second(),
        }
        true
    }
}
