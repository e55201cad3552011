//! The acceptance gate detects a policy that starves a class or a tenant, and passes the balancer.
#![allow(missing_docs)]

use cottonpoint_decide::{ClassId, TenantId};
use cottonpoint_lab::experiment::play;
use cottonpoint_lab::gate::{BASELINE_POLICY, Criterion, DELAYED_VIEW_POLICY, judge};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::policies::broken::StarvingPolicy;
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::world::{RunResult, World};

const SCENARIOS: [&str; 2] = ["gallery-slow", "gallery-calm"];

fn scenario(name: &str) -> Scenario {
    let file = format!("../../lab/scenarios/{name}.toml");
    Scenario::load(std::path::Path::new(&file)).unwrap_or_else(|e| panic!("{e}"))
}

fn judge_seed_1(scenario: &Scenario, ours: &RunResult) -> Vec<Criterion> {
    let [late, baseline] = [DELAYED_VIEW_POLICY, BASELINE_POLICY]
        .map(|p| play(scenario, 1, p.parse::<Policy>().expect("a known policy")));
    assert!(
        late.statistics.figures().whole > 0.5,
        "the reference policy has to serve more than half: {:?}",
        late.statistics.figures()
    );
    judge(scenario, ours, &late, &baseline)
}

fn failed_criteria(criteria: &[Criterion]) -> Vec<&str> {
    criteria.iter().filter(|l| !l.passes()).map(|l| l.what.as_str()).collect()
}

/// Guards against a gate that fails a policy although it serves every class and tenant well.
#[test]
fn balancer_passes_every_criterion() {
    for name in SCENARIOS {
        let scenario = scenario(name);
        let criteria = judge_seed_1(&scenario, &play(&scenario, 1, Policy::Ours));
        assert_eq!(failed_criteria(&criteria), [""; 0], "{criteria:?}");
        assert_eq!(criteria.len(), 2 + scenario.classes.len() + scenario.tenants.len());
    }
}

/// Guards against a gate that passes a policy because the whole run looks good, while one class or one tenant gets
/// nothing.
#[test]
fn policy_that_starves_a_class_or_a_tenant_fails_that_criterion() {
    let scenario = scenario("gallery-slow");
    let judge_starving = |class: Option<u16>, tenant: Option<u16>| {
        let make_decider = |settings, seed, now| -> Box<dyn cottonpoint_lab::policies::Decider> {
            Box::new(StarvingPolicy::new(class.map(ClassId), tenant.map(TenantId), settings, seed, now))
        };
        judge_seed_1(&scenario, &World::new(&scenario, 1, &make_decider).play())
    };
    // full-photo has a seventh to a quarter of the requests, but only a small part of the worth.
    let criteria = judge_starving(Some(1), None);
    assert_eq!(failed_criteria(&criteria), ["class full-photo"], "{criteria:?}");
    let criteria = judge_starving(None, Some(1));
    assert!(failed_criteria(&criteria).contains(&"tenant pokhara-office"), "{criteria:?}");
    assert!(!failed_criteria(&criteria).contains(&"tenant kathmandu-office"), "{criteria:?}");
}

/// Guards against a gate that ignores breaches of a rule.
#[test]
fn broken_rule_fails_the_run() {
    let scenario = scenario("gallery-slow");
    let mut ours = play(&scenario, 1, Policy::Ours);
    ours.breach_count[3] = 1;
    assert_eq!(failed_criteria(&judge_seed_1(&scenario, &ours)), ["rules kept"]);
}
