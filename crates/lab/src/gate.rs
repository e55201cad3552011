//! The acceptance gate of the deployment's requirements, applied to scenarios of the laboratory. It compares what a
//! policy serves of each class and each tenant with what a reference policy serves. The reference policy sees the
//! true state of the endpoints, delayed by the age of load reports.
//!
//! A policy passes a run if it breaks no rule and serves the following, before prices are deducted:
//! - Of the worth of the whole run, at least half of what the reference policy serves. Where bursts are the only
//!   troubles of the scenario, it also has to serve at least the share of the baseline policy less 0.05, or the share
//!   of the reference policy less 0.1 if that is lower.
//! - Of each class, at least half of what the reference policy serves. This holds for classes with at least a
//!   twentieth of the requests or of the worth, and for classes that may not simply be repeated, unless the reference
//!   policy serves less than 0.3 of the class.
//! - Of each tenant with at least a twentieth of the worth inside quotas, at least a third of what the reference
//!   policy serves.

use crate::experiment::play;
use crate::policies::Policy;
use crate::scenario::{Effect, Scenario, TroubleKind};
use crate::score::Worth;
use crate::world::RunResult;
use rayon::prelude::*;
use serde::Serialize;

/// The reference policy of the gate, which sees the true state of the endpoints with a delay.
pub const DELAYED_VIEW_POLICY: &str = "late";
/// The simplest policy, which the gate uses as a baseline for runs without failures.
pub const BASELINE_POLICY: &str = "random";

/// Classes and tenants with a smaller share of the requests or of the worth are too small to be judged.
const MIN_SHARE_JUDGED: f64 = 0.05;
/// The least ratio to the share that the reference policy serves, for the whole run and for each class.
const MIN_RATIO: f64 = 0.5;
/// The least ratio to the share that the reference policy serves, for each tenant.
const MIN_RATIO_TENANT: f64 = 1.0 / 3.0;
/// A class of which the reference policy serves a smaller share is not judged.
const MIN_REFERENCE_SERVICE: f64 = 0.3;
/// In runs with no trouble but bursts: how far the policy may be below the baseline, and below the reference policy.
const CALM_MARGINS: (f64, f64) = (0.05, 0.1);

/// One criterion of the gate, evaluated on one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Criterion {
    /// What is judged: the rules, the whole run, a class or a tenant.
    pub what: String,
    /// The share of the worth that the policy serves; for the rules, 1 if all are kept and 0 otherwise.
    pub ours: f64,
    /// The same figure for the reference policy.
    pub late: f64,
    /// The least share that passes; `None` if the criterion is not judged.
    pub wanted: Option<f64>,
}

impl Criterion {
    /// Whether the policy meets the criterion.
    pub fn passes(&self) -> bool {
        self.wanted.is_none_or(|wanted| self.ours >= wanted)
    }

    /// The distance to the least share that passes: below 0 if the criterion fails, infinite if it is not judged.
    pub fn margin(&self) -> f64 {
        self.wanted.map_or(f64::INFINITY, |wanted| self.ours - wanted)
    }
}

/// Judges a run of a policy against runs of the reference policy and of the baseline policy with the same scenario
/// and seed.
pub fn judge(
    scenario: &Scenario,
    ours: &RunResult,
    late: &RunResult,
    baseline: &RunResult,
) -> Vec<Criterion> {
    let whole = |p: &RunResult| p.statistics.figures().whole;
    let mut wanted = MIN_RATIO * whole(late);
    if scenario.troubles.iter().all(|t| t.what == TroubleKind::Burst) {
        wanted = wanted.max((whole(baseline) - CALM_MARGINS.0).min(whole(late) - CALM_MARGINS.1));
    }
    let keeps_rules = |p: &RunResult| if p.breach_count.iter().all(|n| *n == 0) { 1.0 } else { 0.0 };
    let rules = Criterion {
        what: "rules kept".into(),
        ours: keeps_rules(ours),
        late: keeps_rules(late),
        wanted: Some(1.0),
    };
    let whole_run =
        Criterion { what: "whole day".into(), ours: whole(ours), late: whole(late), wanted: Some(wanted) };
    let mut criteria = vec![rules, whole_run];
    // All three policies meet the same requests; what was asked is taken from the reference policy's run.
    let share = |part: f64, of: &mut dyn Iterator<Item = f64>| part / of.sum::<f64>().max(1e-9);
    let classes = &late.statistics.by_class;
    for ((class, reference), policy_worth) in
        scenario.classes.iter().zip(classes).zip(&ours.statistics.by_class)
    {
        let requests = share(reference.clients as f64, &mut classes.iter().map(|w| w.clients as f64));
        let worth = share(reference.asked, &mut classes.iter().map(|w| w.asked));
        let judged =
            requests >= MIN_SHARE_JUDGED || worth >= MIN_SHARE_JUDGED || class.effect != Effect::Safe;
        let judged = judged && reference.clients > 0 && reference.service() >= MIN_REFERENCE_SERVICE;
        criteria.push(criterion(
            format!("class {}", class.name),
            policy_worth,
            reference,
            judged.then_some(MIN_RATIO),
        ));
    }
    let tenants = &late.statistics.by_tenant;
    for ((tenant, reference), policy_worth) in
        scenario.tenants.iter().zip(tenants).zip(&ours.statistics.by_tenant)
    {
        let judged = share(reference.asked, &mut tenants.iter().map(|w| w.asked)) >= MIN_SHARE_JUDGED;
        criteria.push(criterion(
            format!("tenant {}", tenant.name),
            policy_worth,
            reference,
            judged.then_some(MIN_RATIO_TENANT),
        ));
    }
    criteria
}

fn criterion(what: String, ours: &Worth, late: &Worth, min_ratio: Option<f64>) -> Criterion {
    let (ours, late) = (ours.service(), late.service());
    Criterion { what, ours, late, wanted: min_ratio.map(|share| share * late) }
}

/// One criterion of the gate over all runs of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct CriterionSummary {
    /// What is judged.
    pub what: String,
    /// The mean share that the policy serves.
    pub ours: f64,
    /// The mean share that the reference policy serves.
    pub late: f64,
    /// The seed of the run with the smallest margin.
    pub worst_seed: u64,
    /// The criterion on that run.
    pub worst: Criterion,
    /// The seeds of the runs that fail.
    pub failed: Vec<u64>,
}

/// Runs a scenario with seeds from 0 under a policy, the reference policy and the baseline policy, on all cores. An
/// error names a policy that is not known.
pub fn evaluate(scenario: &Scenario, seeds: u64, policy: Policy) -> Result<Vec<CriterionSummary>, String> {
    let (late, baseline): (Policy, Policy) = (DELAYED_VIEW_POLICY.parse()?, BASELINE_POLICY.parse()?);
    let run = |seed: u64| {
        let run_policy = |policy| play(scenario, seed, policy);
        judge(scenario, &run_policy(policy), &run_policy(late), &run_policy(baseline))
    };
    let runs: Vec<Vec<Criterion>> = (0..seeds).into_par_iter().map(run).collect();
    Ok(summarize(&runs))
}

/// Summarizes each criterion over many runs; the index of a run is its seed.
fn summarize(runs: &[Vec<Criterion>]) -> Vec<CriterionSummary> {
    let count = runs.first().map_or(0, Vec::len);
    let summary = |i: usize| -> Option<CriterionSummary> {
        let criteria: Vec<&Criterion> = runs.iter().filter_map(|run| run.get(i)).collect();
        let mean = |of: &dyn Fn(&Criterion) -> f64| {
            criteria.iter().map(|l| of(l)).sum::<f64>() / criteria.len() as f64
        };
        let worst =
            (0..criteria.len()).min_by(|&a, &b| criteria[a].margin().total_cmp(&criteria[b].margin()))?;
        let failed = (0..criteria.len()).filter(|&s| !criteria[s].passes()).map(|s| s as u64).collect();
        Some(CriterionSummary {
            what: criteria[worst].what.clone(),
            ours: mean(&|l| l.ours),
            late: mean(&|l| l.late),
            worst_seed: worst as u64,
            worst: criteria[worst].clone(),
            failed,
        })
    };
    (0..count).filter_map(summary).collect()
}
