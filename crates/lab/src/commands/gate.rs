//! The gate of the operators' standing days, on scenarios.

use super::{Done, print_json, read};
use crate::Form;
use cottonpoint_lab::gate::{self, Row};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::report::markdown;
use std::collections::BTreeMap;

pub(super) fn gate(
    scenarios: &[String],
    policy: &str,
    set: &[(String, String)],
    seeds: u64,
    form: Form,
) -> Done<bool> {
    let policy: Policy = policy.parse()?;
    let mut held: BTreeMap<&str, Vec<Row>> = BTreeMap::new();
    for name in scenarios {
        let scenario = read(name, set)?.scenario;
        held.insert(name, gate::hold(&scenario, seeds.max(1), policy)?);
    }
    let passed = held.values().flatten().all(|r| r.failed.is_empty());
    if form.json {
        print_json(&held)?;
        return Ok(passed);
    }
    let share = |x: f64| format!("{x:.3}");
    let lines =
        held.iter().flat_map(|(name, rows)| rows.iter().map(move |r| (name, r))).map(|(name, r)| {
            vec![
                (*name).to_owned(),
                r.what.clone(),
                share(r.ours),
                share(r.late),
                r.worst_seed.to_string(),
                share(r.worst.ours),
                share(r.worst.late),
                r.worst.wanted.map_or_else(|| "nothing".into(), share),
                if r.failed.is_empty() {
                    "yes".into()
                } else {
                    format!("NO, on {} of {seeds} days", r.failed.len())
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
    for (name, rows) in &held {
        for r in rows.iter().filter(|r| !r.failed.is_empty()) {
            println!("fails: {name}, {}, seeds {:?}", r.what, r.failed);
        }
    }
    println!("gate {}", if passed { "passed" } else { "failed" });
    Ok(passed)
}
