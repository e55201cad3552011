//! Claims on the whole fleet. Discovery calls, attempts at cold endpoints and connections are counted over all of about
//! a hundred sidecars, and the rule on cold endpoints is checked with three hundred.

use super::Claim;
use crate::policies::broken::without_cold_budget;
use crate::policies::{Decider, Policy, Truth};
use crate::scenario::{Class, Scenario, ValueRange};
use crate::world::endpoint::ProcessState;
use crate::world::{Breach, DeciderFactory, Rule, World};
use cottonpoint_decide::{Action, ClassId, EndpointId, Event, RequestId, Settings, Time};
use rayon::prelude::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Scenarios under `lab/scenarios` in which all figures are counted.
const SCENARIOS: [&str; 3] = ["fleet-disco", "fleet-zone", "fleet-join"];
/// The scenario in which most endpoints of a tier are cold.
const REPLACEMENT_SCENARIO: &str = "fleet-join";
/// Discovery calls that a sidecar may make in one second, on average over the fleet. The first backoff after a failure
/// is half a second on average, the next one a second.
const MAX_CALLS_PER_SECOND: f64 = 1.0;
/// Connections that all sidecars together may have open to one endpoint. Each sidecar uses eight of about twenty
/// endpoints, so an endpoint is used by 18 of 44 sidecars on average and by 26 at worst, with two requests each.
const MAX_CONNECTIONS: usize = 52;
/// Attempts at a cold endpoint at the worst moment of the median run, as a share of the attempts that overload it. The
/// balancers plan for 0.4, the rest is chance.
const MAX_MEDIAN_COLD_ATTEMPTS: f64 = 0.55;
/// Attempts that chance alone adds at a cold endpoint in the median of what is planned. They are subtracted from the
/// figures in `docs/design/fleet.md`.
const CHANCE_ATTEMPTS: f64 = 4.0;
/// The scenario in which each cold endpoint is used by 60 to 77 of three hundred sidecars.
const COLD_RULE_SCENARIO: &str = "fleet-cold";
/// Share of the runs in which a cold endpoint may be overloaded. The balancers know the usual work of a class, not that
/// of a single request, which may be many times as much. See `docs/operations/fleet.md`.
const MAX_BREAKING_SHARE: f64 = 0.05;
/// Attempts at cold endpoints as a share of what these can serve, while nearly all endpoints are cold and the load is
/// what all of them carry when warm. It is 0.33 if their budget follows a sidecar's own attempts.
const MIN_COLD_CAPACITY_USED: f64 = 0.4;
/// The interval at which the capacity of cold endpoints is sampled.
const SAMPLE_INTERVAL_NANOS: u64 = 100_000_000;

/// Counts over all sidecars in one run.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    sidecars: u32,
    started_at: Option<Time>,
    discovery_calls: BTreeMap<u64, u32>,
    /// The largest number of connections open to one endpoint.
    pub max_connections: usize,
    /// Attempts at cold endpoints.
    cold_attempts: u64,
    /// Attempts that the cold endpoints could serve in the same time.
    cold_capacity: f64,
    /// The time up to which `cold_capacity` is counted, in nanoseconds since the start of the run.
    sampled_until: u64,
    /// For each cold endpoint the attempts within the rule's window: when each was sent, and its work relative to the
    /// mean.
    recent_cold_attempts: HashMap<EndpointId, VecDeque<(Time, f64)>>,
    /// The largest number of attempts within the window, less `CHANCE_ATTEMPTS`, relative to the rule's multiple of
    /// what the endpoint can serve.
    pub max_cold_less_chance: f64,
    /// The largest number of attempts within the window, relative to the number that overloads a cold endpoint if each
    /// is of mean work.
    pub max_cold_attempts: f64,
    /// The same figure with each attempt weighted by the mean work of its class.
    pub max_cold_work: f64,
    /// Overloads of cold endpoints that broke the rule, judged by the work that was sent to them.
    pub cold_breaches: Vec<Breach>,
}

/// The rule that bounds attempts at a cold endpoint.
#[derive(Clone, Copy)]
struct ColdRule {
    window: Duration,
    multiple: f64,
    /// Mean work of an attempt at each tier, in seconds of a core of speed 1.
    tier_work: [f64; 8],
    /// Mean work of each class, relative to the mean over all classes.
    class_work: [f64; 16],
}

/// The bound on requests of mean work with an allowance for chance, where the rule itself allows `allowed` of them. It
/// is less than the slack that the deployment's requirements state, which the emulator applies.
fn bound_with_chance(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

impl ColdRule {
    fn for_scenario(scenario: &Scenario) -> ColdRule {
        let midpoint = |span: ValueRange| (span.from + span.to) / 2.0;
        let shares: f64 = scenario.classes.iter().map(|c| midpoint(c.share)).sum();
        let work = |c: &Class| (c.work.from.seconds() + c.work.to.seconds()) / 2.0;
        let mean: f64 = scenario.classes.iter().map(|c| midpoint(c.share) / shares * work(c)).sum();
        let mut class_work = [1.0; 16];
        for (at, class) in class_work.iter_mut().zip(&scenario.classes) {
            *at = work(class) / mean;
        }
        let mut tier_work = [f64::INFINITY; 8];
        for (at, tier) in tier_work.iter_mut().zip(&scenario.tiers) {
            *at = mean * tier.work;
        }
        let (window, multiple) = (scenario.rules.fall_after.duration(), scenario.rules.fall_multiple);
        ColdRule { window, multiple, tier_work, class_work }
    }
}

impl FleetCounts {
    /// Attempts at cold endpoints as a share of what these could serve in the same time.
    pub fn cold_capacity_used(&self) -> f64 {
        self.cold_attempts as f64 / self.cold_capacity.max(1.0)
    }

    /// The largest number of discovery calls in one second, per sidecar.
    pub fn max_calls_per_second(&self) -> f64 {
        f64::from(self.discovery_calls.values().copied().max().unwrap_or(0))
            / f64::from(self.sidecars.max(1))
    }
}

/// A decider that adds its discovery calls and attempts to the counts of the fleet.
struct CountingDecider {
    inner: Box<dyn Decider>,
    counts: Arc<Mutex<FleetCounts>>,
    rule: ColdRule,
    /// When each endpoint last started, as far as discovery has notified this sidecar.
    known_starts: HashMap<EndpointId, Option<Time>>,
    request_classes: HashMap<RequestId, ClassId>,
}

impl Decider for CountingDecider {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Endpoints { entries, .. } = event {
            self.known_starts.extend(entries.iter().map(|e| (e.id, e.started)));
        }
        if let Event::Arrived(request) = &event {
            self.request_classes.insert(request.id, request.class);
        }
        let from = actions.len();
        self.inner.handle(now, event, truth, actions);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        // Each attempt that ends has held a connection, so examining the endpoints of ended attempts covers all
        // endpoints that have connections.
        if let Event::Finished { endpoint, .. } = event
            && let Some(emulated) = truth.endpoints.get(endpoint.0 as usize)
        {
            counts.max_connections = counts.max_connections.max(emulated.open_connections);
        }
        if truth.now >= counts.sampled_until + SAMPLE_INTERVAL_NANOS {
            let elapsed = (truth.now - counts.sampled_until) as f64 / 1e9;
            counts.sampled_until = truth.now;
            let cold = truth
                .endpoints
                .iter()
                .filter(|s| s.process_state == ProcessState::Up && s.warmth(truth.now) < 1.0);
            let rate = cold.map(|s| {
                let work = self.rule.tier_work.get(s.spec.tier).copied().unwrap_or(f64::INFINITY);
                s.undisturbed_capacity(truth.now) / work
            });
            counts.cold_capacity += rate.sum::<f64>() * elapsed;
        }
        let second = now.since(*counts.started_at.get_or_insert(now)).as_secs();
        for action in &actions[from..] {
            match action {
                Action::Subscribe => *counts.discovery_calls.entry(second).or_default() += 1,
                Action::Send { id, endpoint, .. } => {
                    let Some(emulated) = truth.endpoints.get(endpoint.0 as usize) else { continue };
                    let work =
                        self.rule.tier_work.get(emulated.spec.tier).copied().unwrap_or(f64::INFINITY);
                    if emulated.warmth(truth.now) < 1.0 {
                        counts.cold_attempts += 1;
                    }
                    // The rule binds only sidecars that know of the endpoint's start.
                    let origin = now.0.saturating_sub(truth.now);
                    let known_start = self.known_starts.get(endpoint).copied().flatten();
                    let knows_start =
                        known_start.is_some_and(|t| Some(t.0.saturating_sub(origin)) == emulated.started);
                    if !knows_start || emulated.warmth(truth.now) >= 1.0 {
                        continue;
                    }
                    let allowed = self.rule.multiple
                        * emulated.undisturbed_capacity(truth.now)
                        * self.rule.window.as_secs_f64()
                        / work;
                    let sent = counts.recent_cold_attempts.entry(*endpoint).or_default();
                    let class = self.request_classes.get(id).map(|c| usize::from(c.0));
                    sent.push_back((
                        now,
                        class.and_then(|c| self.rule.class_work.get(c)).copied().unwrap_or(1.0),
                    ));
                    while sent.front().is_some_and(|(at, _)| now.since(*at) > self.rule.window) {
                        sent.pop_front();
                    }
                    let (count, work) = (sent.len() as f64, sent.iter().map(|s| s.1).sum::<f64>());
                    counts.max_cold_less_chance =
                        counts.max_cold_less_chance.max((count - CHANCE_ATTEMPTS) / allowed);
                    counts.max_cold_attempts =
                        counts.max_cold_attempts.max(count / bound_with_chance(allowed));
                    counts.max_cold_work = counts.max_cold_work.max(work / bound_with_chance(allowed));
                }
                _ => {}
            }
        }
    }

    fn limit(&self) -> Option<f64> {
        self.inner.limit()
    }
}

/// Simulates a run with a policy and counts over all sidecars.
pub fn count_with_policy(scenario: &Scenario, seed: u64, policy: Policy) -> FleetCounts {
    count_with_deciders(scenario, seed, &|settings, seed, now| policy.make(settings, seed, now))
}

/// Simulates a run with deciders made by `make` and counts over all sidecars.
pub fn count_with_deciders(scenario: &Scenario, seed: u64, make: DeciderFactory<'_>) -> FleetCounts {
    let counts = Arc::new(Mutex::new(FleetCounts::default()));
    let rule = ColdRule::for_scenario(scenario);
    let make_counting = |settings: Settings, seed, now| -> Box<dyn Decider> {
        counts.lock().unwrap_or_else(PoisonError::into_inner).sidecars += 1;
        Box::new(CountingDecider {
            inner: make(settings, seed, now),
            counts: counts.clone(),
            rule,
            known_starts: HashMap::new(),
            request_classes: HashMap::new(),
        })
    };
    let result = World::new(scenario, seed, &make_counting).play();
    let cold_breaches = result.breaches.into_iter().filter(|b| b.rule == Rule::Cold).collect();
    let counts = counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    FleetCounts { cold_breaches, ..counts }
}

fn load_scenario(name: &str) -> Result<Scenario, Claim> {
    let file = Path::new("lab/scenarios").join(name).with_extension("toml");
    Scenario::load(&file).map_err(|e| Claim::new(name, "found under lab/scenarios", e.to_string(), false))
}

/// Checks that three hundred sidecars keep the rule on cold endpoints, and that they break it without the budget for
/// cold endpoints.
fn check_cold_rule(seeds: u64, claims: &mut Vec<Claim>) {
    let scenario = match load_scenario(COLD_RULE_SCENARIO) {
        Ok(scenario) => scenario,
        Err(claim) => return claims.push(claim),
    };
    let simulate = |make: DeciderFactory<'_>| -> Vec<FleetCounts> {
        (1..=seeds).into_par_iter().map(|seed| count_with_deciders(&scenario, seed, make)).collect()
    };
    let count_breaking_runs =
        |runs: &[FleetCounts]| runs.iter().filter(|counts| !counts.cold_breaches.is_empty()).count();
    let ours = simulate(&|settings, seed, now| Policy::Ours.make(settings, seed, now));
    let without_budget = simulate(&without_cold_budget);
    let fleet = ours.iter().map(|counts| counts.sidecars).min().unwrap_or(0);
    let conditions = format!("{COLD_RULE_SCENARIO}, {seeds} seeds, {fleet} sidecars or more");
    let max = ours.iter().map(|counts| counts.max_cold_attempts).fold(0.0, f64::max);
    claims.push(Claim::new(
        format!("attempts at a cold target, against N + 2 root N + 2: {conditions}"),
        "below 1",
        format!("{max:.2}"),
        max < 1.0 && fleet >= 300,
    ));
    let max = ours.iter().map(|counts| counts.max_cold_work).fold(0.0, f64::max);
    claims.push(Claim::new(
        format!("the same by the mean work of their classes: {conditions}"),
        "below 1",
        format!("{max:.2}"),
        max < 1.0,
    ));
    let (count, bound) = (count_breaking_runs(&ours), (MAX_BREAKING_SHARE * seeds as f64) as usize);
    let first = ours.iter().zip(1..).find_map(|(counts, seed)| Some((seed, counts.cold_breaches.first()?)));
    let first = first.map_or_else(String::new, |(seed, breach)| format!(", first seed {seed}, {breach}"));
    claims.push(Claim::new(
        format!("days on which a cold target falls by the work that those told of it sent: {conditions}"),
        format!("{bound} at most"),
        format!("{count}{first}"),
        count <= bound,
    ));
    let max = without_budget.iter().map(|counts| counts.max_cold_attempts).fold(0.0, f64::max);
    let count = count_breaking_runs(&without_budget);
    claims.push(Claim::new(
        format!("both without the budget for cold targets, whose want must show: {conditions}"),
        format!("1 at least, and above {bound}"),
        format!("{max:.2}, {count}"),
        max >= 1.0 && count > bound,
    ));
}

/// Checks discovery calls, attempts at cold endpoints and connections to an endpoint, counted over the fleet.
pub fn prove(short: bool) -> Vec<Claim> {
    let seeds = if short { 20 } else { 60 };
    let mut claims = Vec::new();
    check_cold_rule(seeds, &mut claims);
    for name in SCENARIOS {
        let scenario = match load_scenario(name) {
            Ok(scenario) => scenario,
            Err(claim) => {
                claims.push(claim);
                continue;
            }
        };
        let runs: Vec<FleetCounts> = (1..=seeds)
            .into_par_iter()
            .map(|seed| count_with_policy(&scenario, seed, Policy::Ours))
            .collect();
        let calls = runs.iter().map(FleetCounts::max_calls_per_second).fold(0.0, f64::max);
        let connections = runs.iter().map(|counts| counts.max_connections).max().unwrap_or(0);
        let cold_attempts = runs.iter().map(|counts| counts.max_cold_less_chance).fold(0.0, f64::max);
        let median_cold_attempts = median(runs.iter().map(|counts| counts.max_cold_less_chance));
        let fleet = runs.iter().map(|counts| counts.sidecars).min().unwrap_or(0);
        let conditions = format!("{name}, {seeds} seeds, {fleet} sidecars or more");
        claims.push(Claim::new(
            format!("calls on discovery in the worst second: {conditions}"),
            format!("{MAX_CALLS_PER_SECOND} for each sidecar"),
            format!("{calls:.2}"),
            calls <= MAX_CALLS_PER_SECOND && fleet >= 80,
        ));
        claims.push(Claim::new(
            format!(
                "attempts at a cold target less four, against the multiple of what it can do: {conditions}"
            ),
            "below 1",
            format!("{cold_attempts:.2}"),
            cold_attempts < 1.0,
        ));
        claims.push(Claim::new(
            format!("the same on the middle day: {conditions}"),
            format!("{MAX_MEDIAN_COLD_ATTEMPTS} at most"),
            format!("{median_cold_attempts:.2}"),
            median_cold_attempts <= MAX_MEDIAN_COLD_ATTEMPTS,
        ));
        claims.push(Claim::new(
            format!("connections of all sidecars open at one target: {conditions}"),
            format!("{MAX_CONNECTIONS} at most"),
            connections.to_string(),
            connections <= MAX_CONNECTIONS,
        ));
        if name == REPLACEMENT_SCENARIO {
            let capacity_used = median(runs.iter().map(FleetCounts::cold_capacity_used));
            claims.push(Claim::new(
                format!("attempts at cold targets, against what they can serve, middle day: {conditions}"),
                format!("{MIN_COLD_CAPACITY_USED} at least"),
                format!("{capacity_used:.2}"),
                capacity_used >= MIN_COLD_CAPACITY_USED,
            ));
        }
    }
    claims
}

/// The median, which is the upper one of an even number of values, or 0 if there are none.
fn median(figures: impl Iterator<Item = f64>) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
