//! Every decision that cottonpoint makes; its events, actions and settings are in `interface`.
//!
//! A call is classified into a priority level by what it is worth, and into a flow by its tenant. It joins
//! the shortest queue of the hand its flow is dealt. While the width-weighted running calls stay below the
//! learned limit, the highest level under its assured share, else the highest that waits, releases the head
//! with the earliest virtual finish. The call then goes to one endpoint of this balancer's own hand of
//! endpoints, by weights learned from load reports. What comes back moves the limit, the weights and the
//! virtual start of the queue. Further attempts keep the seat and draw on a budget. Timers end what waits
//! too long.

mod attempts;
mod levels;
mod limit;
mod targets;
mod timers;

use crate::interface::*;
use attempts::*;
use levels::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;
use targets::*;
use timers::*;

/// The decisions of one balancer. See the crate's documentation for how to embed it.
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    now: Time,
    top_worth: f64,
    shortest_aim: f64,
    quotas: Vec<(f64, Time)>,
    requests: HashMap<RequestId, Request>,
    queues: Vec<Queue>,
    seats: Seats,
    guess: f64,
    limit: f64,
    last_cut: Time,
    trouble: f64,
    idle: f64,
    class_time: Vec<f64>,
    /// For each class, the usual length of a client's first try and the votes for it.
    patience: Vec<(Duration, u32)>,
    servers: Vec<Server>,
    index: HashMap<EndpointId, usize>,
    order: Vec<usize>,
    hand: Vec<usize>,
    away: Vec<usize>,
    kinds: HashMap<KindId, (f64, f64)>,
    mean_weight: f64,
    sends: Faded,
    budget: f64,
    probe_next: usize,
    ask_failures: u32,
    awaiting: bool,
    timers: BinaryHeap<Reverse<(Time, Due)>>,
    wake: Option<Time>,
}

impl Balancer {
    /// A balancer without endpoints or calls. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let classes = settings.classes.len();
        let positive = |w: f64| if w.is_finite() && w > 0.0 { w } else { 0.0 };
        let top = settings.classes.iter().map(|c| positive(c.worth)).fold(0.0, f64::max);
        let guess = settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.001, f64::max);
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            shortest_aim: settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(guess, f64::min),
            top_worth: if top > 0.0 { top } else { 1.0 },
            quotas: vec![(f64::INFINITY, now); settings.tenants.len()],
            requests: HashMap::new(),
            queues: (0..LEVELS * 2 * QUEUES).map(|_| Queue::default()).collect(),
            seats: Seats::default(),
            guess,
            limit: f64::INFINITY,
            last_cut: now,
            trouble: 0.0,
            idle: 0.0,
            class_time: vec![0.0; classes],
            patience: vec![(Duration::ZERO, 0); classes],
            servers: Vec::new(),
            index: HashMap::new(),
            order: Vec::new(),
            hand: Vec::new(),
            away: Vec::new(),
            kinds: HashMap::new(),
            mean_weight: 1.0,
            sends: Faded::default(),
            budget: RETRY_MAX / 2.0,
            probe_next: 0,
            ask_failures: 0,
            awaiting: false,
            timers: BinaryHeap::new(),
            wake: None,
            set: settings,
        };
        if let Discovery::OnRequest { ask_within } = balancer.set.discovery {
            let wait = ask_within.mul_f64(0.3 * balancer.rng.f64());
            balancer.at(now + wait, Due::Ask);
        }
        if balancer.probes() {
            balancer.at(now, Due::Probe);
        }
        balancer
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Endpoints { kind, entries } => self.endpoints(kind, entries),
            Event::DiscoveryFailed => self.discovery_failed(),
            Event::Arrived(call) => self.arrived(call, actions),
            Event::StreamStarted { id } => {
                if let Some(r) = self.requests.get_mut(&id) {
                    r.streaming = true;
                }
            }
            Event::Finished { .. } => self.finished(event, actions),
            Event::ProbeFinished { endpoint, outcome, report } => {
                self.report(endpoint, report, false);
                if outcome == Outcome::ConnectFailed || outcome == Outcome::Reset {
                    self.fault(endpoint, PAUSE_SHORTEST);
                }
            }
            Event::Departed { id } => self.end(id, actions),
            Event::Timer { token } => {
                // By token, not by time: a timer that fires a little early must be set again.
                if self.wake.is_some_and(|w| w.0 == token.0) {
                    self.wake = None;
                }
            }
        }
        self.expire(actions);
        self.release(actions);
        self.arm(actions);
    }
}

#[cfg(test)]
mod tests;
