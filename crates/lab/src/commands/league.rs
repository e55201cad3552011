//! `league`: several policies on several scenarios, as a page with tables and charts.

use super::{CommandResult, load_scenario, shipped_scenarios, store_runs, stored_run};
use cottonpoint_lab::experiment::{Outcome, Task, compare, play_all};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::report::{self, markdown};
use cottonpoint_lab::store::version;
use std::fs;
use std::path::Path;

/// The policies that are compared by default.
const DEFAULT_POLICIES: [&str; 12] = [
    "ours",
    "random",
    "round-robin",
    "least-out",
    "p2c",
    "p2c+aimd+budget",
    "p2c+gradient+budget",
    "peak-ewma+budget",
    "peak-ewma+gradient+budget",
    "wrr+aimd+budget",
    "prequal+aimd+budget",
    "top",
];

pub(super) fn league(
    scenarios: &[String],
    policies: &[String],
    seeds: u64,
    out: &Path,
) -> CommandResult<bool> {
    let scenarios = if scenarios.is_empty() { shipped_scenarios()? } else { scenarios.to_vec() };
    let names = match policies.is_empty() {
        true => DEFAULT_POLICIES.map(str::to_owned).to_vec(),
        false => policies.to_vec(),
    };
    let policies: Vec<Policy> = names.iter().map(|n| n.parse()).collect::<Result<_, String>>()?;
    fs::create_dir_all(out)?;
    let mut scores = Vec::new();
    let mut details = String::new();
    for name in &scenarios {
        let loaded = load_scenario(name, &[])?;
        let mut tasks = Vec::new();
        for &policy in &policies {
            tasks.extend((0..seeds).map(|seed| Task { scenario: &loaded.scenario, seed, policy }));
        }
        let outcomes = play_all(&tasks, name);
        let rows =
            tasks.iter().zip(&outcomes).map(|(t, o)| stored_run(&loaded, t.seed, t.policy, o.clone()));
        store_runs(rows.collect())?;
        let by_policy: Vec<&[Outcome]> = outcomes.chunks(seeds as usize).collect();
        let mean =
            |o: &[Outcome], of: &dyn Fn(&Outcome) -> f64| o.iter().map(of).sum::<f64>() / o.len() as f64;
        let score = |o: &Outcome| o.figures.score;
        scores.push((name.clone(), by_policy.iter().map(|o| mean(o, &score)).collect::<Vec<f64>>()));
        let header = [
            "policy",
            "score",
            "ours less it",
            "95% interval",
            "whole",
            "worst 10 s",
            "refused",
            "failed",
            "attempts",
            "waste",
            "p99 ms",
            "breaches",
        ];
        let lines = names.iter().zip(&by_policy).map(|(policy, o)| {
            let pairs: Vec<(f64, f64)> =
                by_policy[0].iter().zip(*o).map(|(a, b)| (score(a), score(b))).collect();
            let c = compare(&pairs);
            vec![
                policy.clone(),
                format!("{:.3}", mean(o, &score)),
                format!("{:+.3}", c.difference),
                format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
                format!("{:.3}", mean(o, &|o| o.figures.whole)),
                format!("{:.3}", mean(o, &|o| o.figures.worst_window)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.refused)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.failed)),
                format!("{:.2}", mean(o, &|o| o.figures.attempts)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.waste)),
                format!("{:.0}", mean(o, &|o| o.figures.p99_ms)),
                o.iter().map(|o| o.breaches).sum::<u64>().to_string(),
            ]
        });
        details += &format!("\n## {name}\n\n{}\n\n{}\n", loaded.scenario.about, markdown(header, lines));
        let lines: Vec<report::Line> = names
            .iter()
            .zip(&by_policy)
            .map(|(policy, o)| {
                let mut sorted: Vec<f64> = o.iter().map(score).collect();
                sorted.sort_unstable_by(f64::total_cmp);
                (
                    policy.clone(),
                    sorted.into_iter().enumerate().map(|(i, s)| (i as f64, s.max(0.0))).collect(),
                )
            })
            .collect();
        let chart =
            report::lines(&format!("{name}: scores of the seeds, sorted"), "seeds, worst to best", &lines);
        fs::write(out.join(format!("{name}.svg")), chart)?;
        details += &format!("\n![scores of the seeds]({name}.svg)\n");
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(std::iter::once("scenario".to_owned()).chain(names.iter().cloned()));
    for (name, scores) in &scores {
        table.add_row(std::iter::once(name.clone()).chain(scores.iter().map(|s| format!("{s:.3}"))));
    }
    let page = format!(
        "# The league\n\nMean scores over {seeds} seeds, code {}. Written by `cottonpoint-lab league`; `docs/lab.md` says \
         how a score is\ncomputed, `docs/lab-lessons.md` what this teaches.\n\n{table}\n{details}",
        version()
    );
    fs::write(out.join("README.md"), page)?;
    println!("{table}\n\n{}", out.join("README.md").display());
    Ok(true)
}
