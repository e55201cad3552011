//! Checks of the emulator itself: queueing formulas, conservation, rule checkers, determinism, speed and memory.

mod queues;

use super::Claim;
use crate::experiment::{self, Task};
use crate::policies::broken::RuleBreaker;
use crate::policies::{Decider, Policy};
use crate::scenario::Scenario;
use crate::world::{Rule, World};
use cottonpoint_decide::{Settings, Time};
use cottonpoint_file::TomlText;
use queues::check_closed_forms;
use std::path::Path;
use std::time::Instant;

/// A scenario of two tiers under high load with every kind of trouble, for checks that have to hold at any moment.
fn stress_scenario(seed: u64) -> String {
    let kinds = [
        "slow",
        "fast-errors",
        "burst",
        "deploy",
        "shared-slow",
        "vanish",
        "die",
        "partition",
        "gray",
        "outage",
        "sidecar-down",
        "drain",
    ];
    let mut troubles = String::new();
    for (i, kind) in kinds.iter().enumerate() {
        let size = match *kind {
            "fast-errors" => 0.5,
            "deploy" => 0.2,
            _ => 2.0,
        };
        let at = 500 + (i as u64 * 700 + seed * 137) % 8000;
        let tier = (i as u64 + seed) % 2;
        troubles += &format!(
            "[[trouble]]\nwhat = \"{kind}\"\nat = \"{at}ms\"\nfor = \"3s\"\ntier = {tier}\npart = 0.4\nsize = {size}\ndrain = \"400ms\"\nsidecars = 0.5\n"
        );
    }
    let stops = seed.is_multiple_of(2);
    format!(
        r#"
name = "rough"
about = "Every trouble at once."
length = "10s"
[discovery]
notice = ["100ms", "700ms"]
add = ["10ms", "300ms"]
silent = ["1s", "2s"]
[load]
of_capacity = 0.7
[[class]]
name = "safe"
share = 2
work = "40ms"
aim = "300ms"
give_up = "1s"
worth = 3
[[class]]
name = "keyed"
share = 1
work = "60ms"
aim = "500ms"
give_up = "2s"
worth = 8
effect = "keyed"
window = "1s"
[[class]]
name = "unsafe"
share = 1
work = "30ms"
aim = "400ms"
give_up = "1s"
worth = 1
effect = "unsafe"
[[tenant]]
name = "north"
share = 0.6
[[tenant]]
name = "south"
share = 0.4
[[tier]]
name = "front"
servers = 6
sidecars = 2
work = 0.5
calls = [0.5, 1.5]
[[tier.kind]]
name = "plain"
slots = 8
queue = 4
cold_from = 0.2
cold_for = "5s"
stops_running = {stops}
error_rate = 0.01
[tier.report]
period = "100ms"
delay = "50ms"
noise = 0.1
[tier.choke]
waiting = 3
over = "500ms"
slower = 3
rest = "1s"
below = 0.3
most = "3s"
[[tier]]
name = "back"
servers = 8
work = 0.5
[[tier.kind]]
name = "plain"
cores = 2
slots = 4
queue = 4
cold_from = 0.2
cold_for = "5s"
stops_running = {stops}
{troubles}
"#
    )
}

/// Simulates a run of the stress scenario event by event and audits the emulator after every `audit_every` events.
/// Returns the number of events, the number of audits and the first failure, if any.
pub fn audit_stress_run(seed: u64, policy: Policy, audit_every: u64) -> (u64, u64, Option<String>) {
    let scenario = match Scenario::parse("(proof)", &stress_scenario(seed)) {
        Ok(scenario) => scenario,
        Err(e) => return (0, 0, Some(e.to_string())),
    };
    let make_decider = move |settings, seed, now| policy.make(settings, seed, now);
    let mut world = World::new(&scenario, seed, &make_decider);
    let (mut events, mut audits) = (0, 0);
    while world.step() {
        events += 1;
        if events % audit_every == 0 {
            audits += 1;
            if let Err(error) = world.audit() {
                return (events, audits, Some(format!("seed {seed}, event {events}: {error}")));
            }
        }
    }
    let audit_error = world.audit().err();
    let remaining = world.open_counts();
    let left_open = (remaining[1] + remaining[2] + remaining[3] > 0)
        .then(|| format!("seed {seed}: left open at the end: {remaining:?}"));
    (events, audits + 1, audit_error.or(left_open))
}

fn check_conservation(short: bool, claims: &mut Vec<Claim>) {
    let (mut events, mut audits, mut failure) = (0, 0, None);
    for seed in 0..if short { 6 } else { 100 } {
        for policy in ["ours", "p2c+aimd"] {
            let Ok(policy) = policy.parse() else { continue };
            let (run_events, run_audits, run_failure) = audit_stress_run(seed, policy, 50);
            (events, audits, failure) = (events + run_events, audits + run_audits, failure.or(run_failure));
        }
    }
    claims.push(Claim::new(
        "requests and work are conserved on days with every trouble",
        "nothing lost or made at any audit, nothing left open",
        failure.clone().unwrap_or_else(|| format!("{audits} audits over {events} events")),
        failure.is_none() && audits > 0,
    ));
}

/// The scenario in which a policy that ignores the rule breaks it most easily.
pub fn scenario_that_breaks(rule: Rule) -> String {
    let scenario = stress_scenario(1);
    match rule {
        Rule::Cold => scenario.replace("of_capacity = 0.7", "of_capacity = 0.5"),
        _ => scenario,
    }
}

/// The number of breaches of each rule, in the order of [`Rule::ALL`], by a policy that breaks the given rule, or by
/// the balancer if none is given.
pub fn breaches_by_rule(rule: Option<Rule>) -> [u64; 5] {
    let Ok(scenario) = Scenario::parse("(proof)", &scenario_that_breaks(rule.unwrap_or(Rule::Drains)))
    else {
        return [0; 5];
    };
    let make_decider = move |settings: Settings, seed, now: Time| -> Box<dyn Decider> {
        match rule {
            Some(rule) => Box::new(RuleBreaker::new(rule, settings, seed, now)),
            None => Policy::Ours.make(settings, seed, now),
        }
    };
    World::new(&scenario, 1, &make_decider).play().breach_count
}

fn check_rule_checkers(claims: &mut Vec<Claim>) {
    for (i, rule) in Rule::ALL.into_iter().enumerate() {
        let found = breaches_by_rule(Some(rule))[i];
        claims.push(Claim::new(
            format!("the checker of {rule:?} sees a policy written to break it"),
            "one breach at least",
            format!("{found} breaches"),
            found > 0,
        ));
    }
    let balancer_breaches = breaches_by_rule(None);
    claims.push(Claim::new(
        "our policy on the same rough day",
        "no breach",
        format!("{} breaches", balancer_breaches.iter().sum::<u64>()),
        balancer_breaches.iter().all(|n| *n == 0),
    ));
}

fn check_thread_independence(claims: &mut Vec<Claim>) {
    let Ok(scenario) = Scenario::parse("(proof)", &stress_scenario(3)) else { return };
    let tasks: Vec<Task<'_>> =
        (0..8).map(|seed| Task { scenario: &scenario, seed, policy: Policy::Ours }).collect();
    let play_on = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
        let result = pool.map(|p| p.install(|| experiment::play_all(&tasks, "threads")));
        result.ok().and_then(|p| serde_json::to_string(&p).ok())
    };
    let (one, four) = (play_on(1), play_on(4));
    claims.push(Claim::new(
        "eight seeds on one thread and on four",
        "the same bytes",
        one.as_ref().map_or_else(|| "nothing".into(), |o| format!("{} bytes", o.len())),
        one.is_some() && one == four,
    ));
}

fn check_speed_and_memory(short: bool, claims: &mut Vec<Claim>) {
    let shipped =
        |name: &str| TomlText::load(&Path::new("lab/scenarios").join(name).with_extension("toml")).ok();
    let with_length = |text: &TomlText, length: &str| {
        let set = [("length".to_owned(), length.to_owned())];
        text.with_overrides(&set).and_then(|text| Scenario::read(&text))
    };
    let Some(text) = shipped("gallery-calm") else {
        return claims.push(Claim::new(
            "shipped scenarios",
            "found under lab/scenarios",
            "not found",
            false,
        ));
    };
    if let Ok(scenario) = with_length(&text, "60s") {
        let started = Instant::now();
        let result = experiment::play(&scenario, 1, Policy::Ours);
        let elapsed = started.elapsed().as_secs_f64();
        claims.push(Claim::new(
            "a minute of the gallery on one core",
            "under 1 s",
            format!(
                "{elapsed:.2} s, {:.2} million events a second",
                result.event_count as f64 / elapsed / 1e6
            ),
            elapsed < 1.0,
        ));
    }
    if short {
        return;
    }
    if let Some(scenario) = shipped("wide").and_then(|t| with_length(&t, "20s").ok()) {
        let started = Instant::now();
        let result = experiment::play(&scenario, 1, Policy::Ours);
        let (elapsed, simulated) = (started.elapsed().as_secs_f64(), scenario.length.seconds());
        claims.push(Claim::new(
            "200 sidecars, 2,000 servers, 50,000 requests a second, on one core",
            "none; faster than real time is the aim",
            format!(
                "{simulated:.0} s in {elapsed:.1} s, {:.2} million events a second, {} clients",
                result.event_count as f64 / elapsed / 1e6,
                result.statistics.arrived
            ),
            true,
        ));
    }
    if let Ok(scenario) = with_length(&text, "3600s") {
        let make_decider = |settings, seed, now| Policy::Ours.make(settings, seed, now);
        let mut world = World::new(&scenario, 1, &make_decider);
        let (mut max_held, mut quarters, mut max_by_quarter) = (0, 0, Vec::new());
        while world.step() {
            max_held = max_held.max(world.open_counts().iter().sum::<usize>());
            if world.now() >= (quarters + 1) * 900_000_000_000 && quarters < 4 {
                max_by_quarter.push(std::mem::take(&mut max_held));
                quarters += 1;
            }
        }
        let stable = max_by_quarter.len() == 4 && max_by_quarter[3] <= max_by_quarter[0] * 2;
        claims.push(Claim::new(
            "things held in memory over a simulated hour, most by quarters",
            "the last quarter no more than twice the first",
            format!("{max_by_quarter:?}"),
            stable,
        ));
    }
}

/// Checks closed forms, conservation, rule checkers, independence of the number of threads, speed and memory.
pub fn prove(short: bool) -> Vec<Claim> {
    let mut claims = Vec::new();
    check_closed_forms(short, &mut claims);
    check_conservation(short, &mut claims);
    check_rule_checkers(&mut claims);
    check_thread_independence(&mut claims);
    check_speed_and_memory(short, &mut claims);
    claims
}
