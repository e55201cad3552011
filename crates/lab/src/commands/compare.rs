//! `compare`: two policies on the same runs. `sweep`: one policy with several values of a scenario's key.

use super::{CommandResult, load_scenario, print_json, store_runs, stored_run};
use crate::Form;
use cottonpoint_lab::experiment::{Outcome, Task, compare, play_all};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::report::markdown;
use std::collections::BTreeMap;

pub(super) fn compare_policies(
    a: &str,
    b: &str,
    scenarios: &[String],
    set: &[(String, String)],
    seeds: u64,
    form: Form,
) -> CommandResult<bool> {
    let (a, b): (Policy, Policy) = (a.parse()?, b.parse()?);
    let mut results = BTreeMap::new();
    let mut rows = Vec::new();
    for name in scenarios {
        let loaded = load_scenario(name, set)?;
        let runs_of = |policy| (0..seeds).map(move |seed| (seed, policy));
        let runs: Vec<(u64, Policy)> = runs_of(a).chain(runs_of(b)).collect();
        let tasks: Vec<Task<'_>> =
            runs.iter().map(|&(seed, policy)| Task { scenario: &loaded.scenario, seed, policy }).collect();
        let outcomes = play_all(&tasks, name);
        let (first, second) = outcomes.split_at(seeds as usize);
        let pairs: Vec<(f64, f64)> =
            first.iter().zip(second).map(|(a, b)| (a.figures.score, b.figures.score)).collect();
        let count_breaches = |o: &[Outcome]| o.iter().map(|o| o.breaches).sum::<u64>();
        results.insert(name.clone(), (compare(&pairs), count_breaches(first), count_breaches(second)));
        rows.extend(runs.iter().zip(&outcomes).map(|(&(s, p), o)| stored_run(&loaded, s, p, o.clone())));
    }
    store_runs(rows)?;
    if form.json {
        print_json(&results)?;
        return Ok(true);
    }
    let header = ["scenario", "A", "B", "A minus B", "95% interval", "A wins", "breaches A, B", "says"];
    let lines = results.iter().map(|(name, (c, breaches_a, breaches_b))| {
        let verdict = match (c.says_something, c.difference > 0.0) {
            (false, _) => "nothing",
            (true, true) => "A is better",
            (true, false) => "B is better",
        };
        vec![
            name.clone(),
            format!("{:.3}", c.a),
            format!("{:.3}", c.b),
            format!("{:+.3}", c.difference),
            format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
            format!("{:.0}%", c.wins * 100.0),
            format!("{breaches_a}, {breaches_b}"),
            verdict.to_owned(),
        ]
    });
    println!("A = {a}, B = {b}, {seeds} seeds\n\n{}", markdown(header, lines));
    Ok(true)
}

pub(super) fn sweep(
    scenario: &str,
    policy: &str,
    set: &str,
    seeds: u64,
    form: Form,
) -> CommandResult<bool> {
    let policy: Policy = policy.parse()?;
    let (key, values) = set.split_once('=').ok_or("--set must be KEY=A,B,C")?;
    let mut lines = Vec::new();
    let mut results = BTreeMap::new();
    for value in values.split(',') {
        let loaded = load_scenario(scenario, &[(key.to_owned(), value.to_owned())])?;
        let tasks: Vec<Task<'_>> =
            (0..seeds).map(|seed| Task { scenario: &loaded.scenario, seed, policy }).collect();
        let outcomes = play_all(&tasks, value);
        let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
        let score = mean(&|o| o.figures.score);
        let deviation = libm::sqrt(mean(&|o| (o.figures.score - score) * (o.figures.score - score)));
        lines.push(vec![
            value.to_owned(),
            format!("{score:.3}"),
            format!("{deviation:.3}"),
            format!("{:.3}", mean(&|o| o.figures.whole)),
            format!("{:.3}", mean(&|o| o.figures.refused)),
            format!("{:.2}", mean(&|o| o.figures.attempts)),
            outcomes.iter().map(|o| o.breaches).sum::<u64>().to_string(),
        ]);
        results.insert(value.to_owned(), outcomes);
    }
    if form.json {
        print_json(&results)?;
    } else {
        let header = ["value", "score", "spread", "whole", "refused", "attempts", "breaches"];
        println!("{key}, {policy}, {seeds} seeds\n\n{}", markdown(header, lines));
    }
    Ok(true)
}
