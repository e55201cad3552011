//! Properties of the emulator that must hold whatever happens in a run.
#![allow(missing_docs)]

use cottonpoint_lab::experiment::{compare, play, rank_correlation};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::prove::lab::{audit_stress_run, breaches_by_rule};
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::world::{Rule, World};
use proptest::prelude::*;

fn policy(name: &str) -> Policy {
    name.parse().expect("a known policy")
}

fn scenario(text: &str) -> Scenario {
    Scenario::parse("(test)", text).unwrap_or_else(|e| panic!("{e}"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against requests or work that are lost or invented, under every trouble and any
    /// policy.
    #[test]
    fn requests_and_work_are_conserved(seed in 0_u64..10_000, policy_index in 0_usize..4) {
        let policy = policy(["ours", "p2c+gradient", "wrr+aimd+budget", "top"][policy_index]);
        let (events, audits, difference) = audit_stress_run(seed, policy, 200);
        prop_assert_eq!(difference, None);
        prop_assert!(events > 1000 && audits > 5);
    }
}

/// Guards against a check that detects nothing, and one that reports breaches of policies that keep
/// the rules.
#[test]
fn each_check_detects_its_breach_and_reports_none_for_a_correct_policy() {
    for (i, rule) in Rule::ALL.into_iter().enumerate() {
        assert!(breaches_by_rule(Some(rule))[i] > 0, "{rule:?}");
    }
    assert_eq!(breaches_by_rule(None), [0; 5]);
}

/// One endpoint, no network delay, fixed work: times are exact.
fn exact(work: &str, give_up: &str) -> String {
    format!(
        r#"
name = "exact"
about = "Exact times."
length = "20s"
[network]
one_way = "0s"
client = "0s"
jitter = 0.0
[discovery]
asked = false
[rules]
answer_slack = "0s"
[clients]
retries = 0
impatient = 0.0
try_share = 1.0
[load]
rate = 50
[[class]]
name = "only"
share = 1
work = "{work}"
law = "fixed"
aim = "{give_up}"
give_up = "{give_up}"
worth = 1
[[tier]]
name = "only"
servers = 1
sidecars = 1
[tier.connections]
handshake_work = "0s"
handshake_trips = 0.0
full_tax = 0.0
[[tier.kind]]
name = "wide"
cores = 100
slots = 1
"#
    )
}

/// Guards against an undefined order of events in the same nanosecond.
#[test]
fn answer_in_the_nanosecond_of_the_client_timeout_is_in_time() {
    let at = |work: &str| play(&scenario(&exact(work, "10ms")), 1, policy("round-robin")).statistics;
    let in_time = at("10ms");
    assert!(in_time.arrived > 500);
    assert_eq!((in_time.served, in_time.failed + in_time.refused), (in_time.arrived, 0));
    let too_late = at("10000001ns");
    assert_eq!(too_late.served, 0, "an answer one nanosecond after the timeout is too late");
}

/// Guards against calls to lower tiers that outlive the endpoint that made them, or are not
/// accounted for after its end.
#[test]
fn dying_endpoint_with_calls_in_three_tiers_leaves_no_open_request() {
    let tier = |name: &str, more: &str| {
        format!(
            "[[tier]]\nname = \"{name}\"\nservers = 4\nwork = 0.3\n{more}[[tier.kind]]\nname = \"plain\"\n"
        )
    };
    let dies = |tier: u32, at: u32| {
        format!("[[trouble]]\nwhat = \"die\"\ntier = {tier}\npart = 0.5\nat = \"{at}ms\"\nfor = \"2s\"\n")
    };
    let scenario_text = exact("200ms", "2s").split("[[tier]]").next().unwrap_or_default().to_owned()
        + &tier("front", "sidecars = 2\ncalls = 2\n")
        + &tier("middle", "calls = 2\n")
        + &tier("back", "")
        + &dies(0, 3000)
        + &dies(1, 5000)
        + &dies(2, 7000);
    let scenario = scenario(&scenario_text);
    let make_decider = |settings, seed, now| policy("p2c").make(settings, seed, now);
    let mut world = World::new(&scenario, 5, &make_decider);
    while world.step() {}
    world.audit().expect("all clients and work are accounted for");
    assert_eq!(world.open_counts()[1..], [0, 0, 0], "requests at sidecars, requests at endpoints, clients");
    let statistics = world.into_result().statistics;
    assert!(
        statistics.outcomes[0][5] > 0 && statistics.outcomes[1][5] > 0,
        "connections were reset in two tiers"
    );
}

/// Guards against policies that meet different runs for the same seed, and against runs that are
/// not reproducible.
#[test]
fn equal_seeds_give_equal_runs_and_equal_load_for_every_policy() {
    let text = std::fs::read_to_string("../../lab/scenarios/gallery-deploy.toml")
        .expect("shipped with the project");
    let scenario = scenario(&text);
    let ours = || play(&scenario, 3, Policy::Ours);
    let (first, second, reference) = (ours(), ours(), play(&scenario, 3, policy("random")));
    assert_eq!(first.statistics.figures(), second.statistics.figures());
    assert_eq!(first.event_count, second.event_count);
    assert_eq!(first.statistics.arrived, reference.statistics.arrived);
    assert_eq!(first.statistics.offered_work, reference.statistics.offered_work);
    assert_ne!(first.statistics.figures(), reference.statistics.figures());
}

/// Guards against statistics that find a difference where there is none, or none where there is
/// one.
#[test]
fn comparisons_and_ranks_match_values_worked_by_hand() {
    let same: Vec<(f64, f64)> = (0..40).map(|i| (f64::from(i % 7), f64::from((i + 3) % 7))).collect();
    assert!(!compare(&same).says_something);
    let more: Vec<(f64, f64)> = same.iter().map(|p| (p.1 + 0.1, p.1)).collect();
    let c = compare(&more);
    assert!(c.says_something && (c.difference - 0.1).abs() < 1e-9 && c.wins == 1.0);
    assert_eq!(rank_correlation(&[1.0, 2.0, 3.0], &[10.0, 20.0, 30.0]), 1.0);
    assert_eq!(rank_correlation(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]), -1.0);
    // Ranks 1, 2.5, 2.5, 4 against 1, 2, 3, 4: covariance 4.5, variances 4.5 and 5.
    let tied = rank_correlation(&[1.0, 2.0, 2.0, 4.0], &[1.0, 2.0, 3.0, 4.0]);
    assert!((tied - 4.5 / f64::sqrt(4.5 * 5.0)).abs() < 1e-12);
}
