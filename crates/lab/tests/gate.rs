//! The gate: a policy that starves a class or a tenant is seen, and ours passes.
#![allow(missing_docs)]

use cottonpoint_decide::{ClassId, TenantId};
use cottonpoint_lab::experiment::play;
use cottonpoint_lab::gate::{LATE, Line, PLAINEST, judge};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::policies::broken::StarvingPolicy;
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::world::{RunResult, World};

const DAYS: [&str; 2] = ["gallery-slow", "gallery-calm"];

fn day(name: &str) -> Scenario {
    let file = format!("../../lab/scenarios/{name}.toml");
    Scenario::load(std::path::Path::new(&file)).unwrap_or_else(|e| panic!("{e}"))
}

fn held(scenario: &Scenario, ours: &RunResult) -> Vec<Line> {
    let [late, plainest] =
        [LATE, PLAINEST].map(|p| play(scenario, 1, p.parse::<Policy>().expect("a known policy")));
    assert!(
        late.statistics.figures().whole > 0.5,
        "the mark is worth something: {:?}",
        late.statistics.figures()
    );
    judge(scenario, ours, &late, &plainest)
}

fn failing(lines: &[Line]) -> Vec<&str> {
    lines.iter().filter(|l| !l.kept()).map(|l| l.what.as_str()).collect()
}

/// Guards against: a gate that fails what is served well.
#[test]
fn our_policy_passes() {
    for name in DAYS {
        let scenario = day(name);
        let lines = held(&scenario, &play(&scenario, 1, Policy::Ours));
        assert_eq!(failing(&lines), [""; 0], "{lines:?}");
        assert_eq!(lines.len(), 2 + scenario.classes.len() + scenario.tenants.len());
    }
}

/// Guards against: a class or a tenant that is served nothing while the whole day looks well.
#[test]
fn a_policy_that_starves_a_class_or_a_tenant_fails_for_it() {
    let scenario = day("gallery-slow");
    let starved = |class: Option<u16>, tenant: Option<u16>| {
        let make_decider = |settings, seed, now| -> Box<dyn cottonpoint_lab::policies::Decider> {
            Box::new(StarvingPolicy::new(class.map(ClassId), tenant.map(TenantId), settings, seed, now))
        };
        held(&scenario, &World::new(&scenario, 1, &make_decider).play())
    };
    // full-photo: a seventh to a quarter of the requests, a small part of the worth.
    let lines = starved(Some(1), None);
    assert_eq!(failing(&lines), ["class full-photo"], "{lines:?}");
    let lines = starved(None, Some(1));
    assert!(failing(&lines).contains(&"tenant pokhara-office"), "{lines:?}");
    assert!(!failing(&lines).contains(&"tenant kathmandu-office"), "{lines:?}");
}

/// Guards against: a breach of a rule that the gate does not ask about.
#[test]
fn a_broken_rule_fails_the_day() {
    let scenario = day("gallery-slow");
    let mut ours = play(&scenario, 1, Policy::Ours);
    ours.breach_count[3] = 1;
    assert_eq!(failing(&held(&scenario, &ours)), ["rules kept"]);
}
