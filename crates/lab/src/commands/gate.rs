//! `gate`: the acceptance gate of the deployment's requirements, applied to scenarios.

use super::{CommandResult, load_scenario, print_json};
use crate::Form;
use cottonpoint_lab::gate::{self, CriterionSummary};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::report::markdown;
use std::collections::BTreeMap;

pub(super) fn run_gate(
    scenarios: &[String],
    policy: &str,
    set: &[(String, String)],
    seeds: u64,
    form: Form,
) -> CommandResult<bool> {
    let policy: Policy = policy.parse()?;
    let mut summaries: BTreeMap<&str, Vec<CriterionSummary>> = BTreeMap::new();
    for name in scenarios {
        let scenario = load_scenario(name, set)?.scenario;
        summaries.insert(name, gate::evaluate(&scenario, seeds.max(1), policy)?);
    }
    let passed = summaries.values().flatten().all(|c| c.failed.is_empty());
    if form.json {
        print_json(&summaries)?;
        return Ok(passed);
    }
    let share = |x: f64| format!("{x:.3}");
    let lines =
        summaries.iter().flat_map(|(name, rows)| rows.iter().map(move |c| (name, c))).map(|(name, c)| {
            vec![
                (*name).to_owned(),
                c.what.clone(),
                share(c.ours),
                share(c.late),
                c.worst_seed.to_string(),
                share(c.worst.ours),
                share(c.worst.late),
                c.worst.wanted.map_or_else(|| "nothing".into(), share),
                if c.failed.is_empty() {
                    "yes".into()
                } else {
                    format!("NO, on {} of {seeds} runs", c.failed.len())
                },
            ]
        });
    let header = [
        "scenario",
        "what",
        "served",
        "late-seeing",
        "worst seed",
        "served",
        "late-seeing",
        "wanted",
        "kept",
    ];
    println!("{}", markdown(header, lines));
    for (name, rows) in &summaries {
        for c in rows.iter().filter(|c| !c.failed.is_empty()) {
            println!("fails: {name}, {}, seeds {:?}", c.what, c.failed);
        }
    }
    println!("gate {}", if passed { "passed" } else { "failed" });
    Ok(passed)
}
