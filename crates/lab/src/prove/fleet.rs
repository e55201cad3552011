//! What a hundred sidecars do together, counted over all of them on the days of a large fleet, and three hundred by the
//! rule on cold targets.

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

/// The days, as scenarios under `lab/scenarios`.
const DAYS: [&str; 3] = ["fleet-disco", "fleet-zone", "fleet-join"];
/// The day on which most targets of a tier are cold.
const REPLACED: &str = "fleet-join";
/// Calls on discovery that a sidecar may make in one second, on average over the fleet: the first pause after a
/// failure is half a second on average, the next a whole one.
const ASKS: f64 = 1.0;
/// Connections of all sidecars at one target: eight in hand of some twenty make it the business of eighteen of 44
/// sidecars on average and of 26 at worst, with two calls each.
const OPEN: usize = 52;
/// Attempts at a cold target in the worst moment of the middle day, against those that push it over: 0.4 is what the
/// balancers plan on, the rest is chance.
const COLD_MIDDLE: f64 = 0.55;
/// Attempts that chance alone brings a cold target in the middle of what is planned; the figures of
/// `docs/design/fleet.md` are less these.
const CHANCE: f64 = 4.0;
/// The day on which each cold target is the business of 60 to 77 sidecars of three hundred.
const BY_RULE: &str = "fleet-cold";
/// Share of its days on which a cold target may fall: the balancers know the usual work of a class, not that of one
/// request, which may be many times as much. See `docs/operations/fleet.md`.
const BROKEN: f64 = 0.05;
/// What cold targets are sent while nearly all targets are cold and the load is what all of them carry when warm,
/// against what they can serve; it is 0.33 where their budget follows a sidecar's own sends.
const COLD_USED: f64 = 0.4;
/// How often the capacity of cold targets is taken, in nanoseconds.
const SAMPLE: u64 = 100_000_000;

/// What all sidecars did on a day.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    sidecars: u32,
    begun: Option<Time>,
    asks: BTreeMap<u64, u32>,
    /// Most connections open at one target.
    pub most_open: usize,
    /// Attempts at cold targets ...
    to_cold: u64,
    /// ... and those that they can serve meanwhile.
    cold_serve: f64,
    /// Up to when that is counted, in nanoseconds of the day.
    counted_to: u64,
    /// When each cold target was sent what is within the rule's window.
    sent_cold: HashMap<EndpointId, VecDeque<(Time, f64)>>,
    /// Most attempts, less four, within that window, against the rule's multiple of what the target can do.
    pub most_cold: f64,
    /// Most attempts within that window, against those that push a cold target over if their work is the mean.
    pub most_of_rule: f64,
    /// The same with each attempt counted by the mean work of its class.
    pub most_work: f64,
    /// Falls of cold targets that broke the rule, by the work that they were sent.
    pub falls: Vec<Breach>,
}

/// What attempts at a cold target are held against.
#[derive(Clone, Copy)]
struct ColdRule {
    window: Duration,
    multiple: f64,
    /// Work of a mean attempt at each tier, in seconds of a core of speed 1.
    work: [f64; 8],
    /// Mean work of each class, against that of all.
    classes: [f64; 16],
}

/// Requests of mean work beyond which no more is put down to chance, where the rule allows `allowed` of them: less than
/// the slack that the operators' page states, which the world plays by.
fn chance(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

impl ColdRule {
    fn of(scenario: &Scenario) -> ColdRule {
        let mid = |span: ValueRange| (span.from + span.to) / 2.0;
        let shares: f64 = scenario.classes.iter().map(|c| mid(c.share)).sum();
        let work = |c: &Class| (c.work.from.seconds() + c.work.to.seconds()) / 2.0;
        let mean: f64 = scenario.classes.iter().map(|c| mid(c.share) / shares * work(c)).sum();
        let mut classes = [1.0; 16];
        for (at, class) in classes.iter_mut().zip(&scenario.classes) {
            *at = work(class) / mean;
        }
        let mut tiers = [f64::INFINITY; 8];
        for (at, tier) in tiers.iter_mut().zip(&scenario.tiers) {
            *at = mean * tier.work;
        }
        let (window, multiple) = (scenario.rules.fall_after.duration(), scenario.rules.fall_multiple);
        ColdRule { window, multiple, work: tiers, classes }
    }
}

impl Tally {
    /// What cold targets were sent, against what they could serve meanwhile.
    pub fn cold_used(&self) -> f64 {
        self.to_cold as f64 / self.cold_serve.max(1.0)
    }

    /// Most calls on discovery in one second, for each sidecar.
    pub fn most_asks(&self) -> f64 {
        f64::from(self.asks.values().copied().max().unwrap_or(0)) / f64::from(self.sidecars.max(1))
    }
}

/// A decider whose asks and sends are counted with those of all others.
struct Counted {
    inner: Box<dyn Decider>,
    tally: Arc<Mutex<Tally>>,
    rule: ColdRule,
    /// When each target last started, as this sidecar was told.
    told: HashMap<EndpointId, Option<Time>>,
    classes: HashMap<RequestId, ClassId>,
}

impl Decider for Counted {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Endpoints { entries, .. } = event {
            self.told.extend(entries.iter().map(|e| (e.id, e.started)));
        }
        if let Event::Arrived(call) = &event {
            self.classes.insert(call.id, call.class);
        }
        let from = actions.len();
        self.inner.handle(now, event, truth, actions);
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        // An attempt that ends has had its connection: no other server needs a look.
        if let Event::Finished { endpoint, .. } = event
            && let Some(server) = truth.endpoints.get(endpoint.0 as usize)
        {
            tally.most_open = tally.most_open.max(server.open_connections);
        }
        if truth.now >= tally.counted_to + SAMPLE {
            let passed = (truth.now - tally.counted_to) as f64 / 1e9;
            tally.counted_to = truth.now;
            let cold = truth
                .endpoints
                .iter()
                .filter(|s| s.process_state == ProcessState::Up && s.warmth(truth.now) < 1.0);
            let rate = cold.map(|s| {
                let work = self.rule.work.get(s.spec.tier).copied().unwrap_or(f64::INFINITY);
                s.undisturbed_capacity(truth.now) / work
            });
            tally.cold_serve += rate.sum::<f64>() * passed;
        }
        let second = now.since(*tally.begun.get_or_insert(now)).as_secs();
        for action in &actions[from..] {
            match action {
                Action::Subscribe => *tally.asks.entry(second).or_default() += 1,
                Action::Send { id, endpoint, .. } => {
                    let Some(server) = truth.endpoints.get(endpoint.0 as usize) else { continue };
                    let work = self.rule.work.get(server.spec.tier).copied().unwrap_or(f64::INFINITY);
                    if server.warmth(truth.now) < 1.0 {
                        tally.to_cold += 1;
                    }
                    // Only those that know of the start are bound.
                    let origin = now.0.saturating_sub(truth.now);
                    let told = self.told.get(endpoint).copied().flatten();
                    let knows = told.is_some_and(|t| Some(t.0.saturating_sub(origin)) == server.started);
                    if !knows || server.warmth(truth.now) >= 1.0 {
                        continue;
                    }
                    let pushes = self.rule.multiple
                        * server.undisturbed_capacity(truth.now)
                        * self.rule.window.as_secs_f64()
                        / work;
                    let sent = tally.sent_cold.entry(*endpoint).or_default();
                    let class = self.classes.get(id).map(|c| usize::from(c.0));
                    sent.push_back((
                        now,
                        class.and_then(|c| self.rule.classes.get(c)).copied().unwrap_or(1.0),
                    ));
                    while sent.front().is_some_and(|(at, _)| now.since(*at) > self.rule.window) {
                        sent.pop_front();
                    }
                    let (count, work) = (sent.len() as f64, sent.iter().map(|s| s.1).sum::<f64>());
                    tally.most_cold = tally.most_cold.max((count - CHANCE) / pushes);
                    tally.most_of_rule = tally.most_of_rule.max(count / chance(pushes));
                    tally.most_work = tally.most_work.max(work / chance(pushes));
                }
                _ => {}
            }
        }
    }

    fn limit(&self) -> Option<f64> {
        self.inner.limit()
    }
}

/// Plays a day with a policy and counts over all sidecars.
pub fn count(scenario: &Scenario, seed: u64, policy: Policy) -> Tally {
    count_all(scenario, seed, &|settings, seed, now| policy.make(settings, seed, now))
}

/// Plays a day with deciders made by `make` and counts over all sidecars.
pub fn count_all(scenario: &Scenario, seed: u64, make: DeciderFactory<'_>) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let rule = ColdRule::of(scenario);
    let make_decider = |settings: Settings, seed, now| -> Box<dyn Decider> {
        tally.lock().unwrap_or_else(PoisonError::into_inner).sidecars += 1;
        Box::new(Counted {
            inner: make(settings, seed, now),
            tally: tally.clone(),
            rule,
            told: HashMap::new(),
            classes: HashMap::new(),
        })
    };
    let result = World::new(scenario, seed, &make_decider).play();
    let falls = result.breaches.into_iter().filter(|b| b.rule == Rule::Cold).collect();
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Tally { falls, ..tally }
}

fn day(name: &str) -> Result<Scenario, Claim> {
    let file = Path::new("lab/scenarios").join(name).with_extension("toml");
    Scenario::load(&file).map_err(|e| Claim::new(name, "found under lab/scenarios", e.to_string(), false))
}

/// The rule on cold targets, held by three hundred sidecars, and not held without the budget for cold targets.
fn cold_rule(seeds: u64, claims: &mut Vec<Claim>) {
    let scenario = match day(BY_RULE) {
        Ok(scenario) => scenario,
        Err(claim) => return claims.push(claim),
    };
    let play = |make: DeciderFactory<'_>| -> Vec<Tally> {
        (1..=seeds).into_par_iter().map(|seed| count_all(&scenario, seed, make)).collect()
    };
    let broken = |tallies: &[Tally]| tallies.iter().filter(|t| !t.falls.is_empty()).count();
    let ours = play(&|settings, seed, now| Policy::Ours.make(settings, seed, now));
    let unbounded = play(&without_cold_budget);
    let fleet = ours.iter().map(|t| t.sidecars).min().unwrap_or(0);
    let days = format!("{BY_RULE}, {seeds} seeds, {fleet} sidecars or more");
    let most = ours.iter().map(|t| t.most_of_rule).fold(0.0, f64::max);
    claims.push(Claim::new(
        format!("attempts at a cold target, against N + 2 root N + 2: {days}"),
        "below 1",
        format!("{most:.2}"),
        most < 1.0 && fleet >= 300,
    ));
    let most = ours.iter().map(|t| t.most_work).fold(0.0, f64::max);
    claims.push(Claim::new(
        format!("the same by the mean work of their classes: {days}"),
        "below 1",
        format!("{most:.2}"),
        most < 1.0,
    ));
    let (count, bound) = (broken(&ours), (BROKEN * seeds as f64) as usize);
    let first = ours.iter().zip(1..).find_map(|(t, seed)| Some((seed, t.falls.first()?)));
    let first = first.map_or_else(String::new, |(seed, fall)| format!(", first seed {seed}, {fall}"));
    claims.push(Claim::new(
        format!("days on which a cold target falls by the work that those told of it sent: {days}"),
        format!("{bound} at most"),
        format!("{count}{first}"),
        count <= bound,
    ));
    let most = unbounded.iter().map(|t| t.most_of_rule).fold(0.0, f64::max);
    let count = broken(&unbounded);
    claims.push(Claim::new(
        format!("both without the budget for cold targets, whose want must show: {days}"),
        format!("1 at least, and above {bound}"),
        format!("{most:.2}, {count}"),
        most >= 1.0 && count > bound,
    ));
}

/// Calls on discovery, attempts at cold targets and connections at a target, counted over the fleet.
pub fn prove(short: bool) -> Vec<Claim> {
    let seeds = if short { 20 } else { 60 };
    let mut claims = Vec::new();
    cold_rule(seeds, &mut claims);
    for name in DAYS {
        let scenario = match day(name) {
            Ok(scenario) => scenario,
            Err(claim) => {
                claims.push(claim);
                continue;
            }
        };
        let tallies: Vec<Tally> =
            (1..=seeds).into_par_iter().map(|seed| count(&scenario, seed, Policy::Ours)).collect();
        let asks = tallies.iter().map(Tally::most_asks).fold(0.0, f64::max);
        let open = tallies.iter().map(|t| t.most_open).max().unwrap_or(0);
        let cold = tallies.iter().map(|t| t.most_cold).fold(0.0, f64::max);
        let cold_middle = middle(tallies.iter().map(|t| t.most_cold));
        let fleet = tallies.iter().map(|t| t.sidecars).min().unwrap_or(0);
        let days = format!("{name}, {seeds} seeds, {fleet} sidecars or more");
        claims.push(Claim::new(
            format!("calls on discovery in the worst second: {days}"),
            format!("{ASKS} for each sidecar"),
            format!("{asks:.2}"),
            asks <= ASKS && fleet >= 80,
        ));
        claims.push(Claim::new(
            format!("attempts at a cold target less four, against the multiple of what it can do: {days}"),
            "below 1",
            format!("{cold:.2}"),
            cold < 1.0,
        ));
        claims.push(Claim::new(
            format!("the same on the middle day: {days}"),
            format!("{COLD_MIDDLE} at most"),
            format!("{cold_middle:.2}"),
            cold_middle <= COLD_MIDDLE,
        ));
        claims.push(Claim::new(
            format!("connections of all sidecars open at one target: {days}"),
            format!("{OPEN} at most"),
            open.to_string(),
            open <= OPEN,
        ));
        if name == REPLACED {
            let used = middle(tallies.iter().map(Tally::cold_used));
            claims.push(Claim::new(
                format!("attempts at cold targets, against what they can serve, middle day: {days}"),
                format!("{COLD_USED} at least"),
                format!("{used:.2}"),
                used >= COLD_USED,
            ));
        }
    }
    claims
}

/// The middle of a few figures, 0 of none.
fn middle(figures: impl Iterator<Item = f64>) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
