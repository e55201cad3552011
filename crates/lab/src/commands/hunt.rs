//! `hunt`: the search for the run in which a policy scores furthest below the policy `top`.

use super::{CommandResult, load_scenario, print_json};
use crate::Form;
use cottonpoint_file::TomlText;
use cottonpoint_lab::experiment::{Outcome, Task, play_all};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::scenario::Scenario;
use serde::Serialize;
use std::fs;
use std::path::Path;

/// The result of a search.
#[derive(Serialize)]
struct Hunted {
    seed: u64,
    set: Vec<(String, String)>,
    ours: f64,
    top: f64,
    gap: f64,
    breaches: u64,
}

/// The outcomes of one run under a policy and under the policy `top`, in this order.
fn run_with_top(scenario: &Scenario, seed: u64, policy: Policy) -> CommandResult<(Outcome, Outcome)> {
    let top: Policy = "top".parse()?;
    let tasks = [Task { scenario, seed, policy }, Task { scenario, seed, policy: top }];
    let mut outcomes = play_all(&tasks, "").into_iter();
    match (outcomes.next(), outcomes.next()) {
        (Some(ours), Some(top)) => Ok((ours, top)),
        _ => Err("a run has no outcome".into()),
    }
}

pub(super) fn hunt(
    scenario: &str,
    policy: &str,
    tries: u64,
    out: &Path,
    form: Form,
) -> CommandResult<bool> {
    let policy: Policy = policy.parse()?;
    let top: Policy = "top".parse()?;
    let base = load_scenario(scenario, &[])?;
    // Search: each try is a seed at one of three loads. Both policies meet the same scenario and seed.
    let loads = [None, Some(0.45), Some(0.7)];
    let load_key = if base.scenario.load.rate.is_some() { "load.rate" } else { "load.of_capacity" };
    let mut variants = Vec::new();
    for load in loads {
        let set = match (load, base.scenario.load.rate) {
            (None, _) => Vec::new(),
            (Some(share), Some(rate)) => vec![(load_key.to_owned(), format!("{}", rate * 2.0 * share))],
            (Some(share), None) => vec![(load_key.to_owned(), format!("{share}"))],
        };
        variants.push((load_scenario(scenario, &set)?, set));
    }
    let mut tasks = Vec::new();
    for i in 0..tries {
        let scenario = &variants[i as usize % variants.len()].0.scenario;
        tasks.extend([policy, top].map(|policy| Task { scenario, seed: i, policy }));
    }
    let outcomes = play_all(&tasks, "hunting");
    let score_gap = |pair: &[Outcome]| match pair {
        [ours, top] if ours.breaches > 0 => 10.0 + top.figures.score - ours.figures.score,
        [ours, top] => top.figures.score - ours.figures.score,
        _ => 0.0,
    };
    let worst = outcomes.chunks(2).enumerate().max_by(|a, b| score_gap(a.1).total_cmp(&score_gap(b.1)));
    let Some((index, pair)) = worst else { return Err("no runs were tried: --tries is 0".into()) };
    let (seed, mut set) = (index as u64, variants[index % variants.len()].1.clone());
    let least_gap = score_gap(pair) * 0.8;

    // Reduce: remove troubles, then halve the length and the tiers, as long as at least 80% of the gap remains.
    let mut text = variants[index % variants.len()].0.text.as_str().to_owned();
    let keeps_gap = |text: &str| -> CommandResult<bool> {
        let Ok(scenario) = Scenario::parse("(hunted)", text) else { return Ok(false) };
        let (ours, top) = run_with_top(&scenario, seed, policy)?;
        Ok(score_gap(&[ours, top]) >= least_gap)
    };
    let mut trouble = 0;
    while let Some(smaller) = without_trouble(&text, trouble)? {
        if keeps_gap(&smaller)? { text = smaller } else { trouble += 1 }
    }
    for key in ["length", "tier.0.servers", "tier.1.servers", "tier.2.servers"] {
        while let Some(smaller) = halved(&text, key)? {
            if !keeps_gap(&smaller)? {
                break;
            }
            text = smaller;
        }
    }
    let scenario = Scenario::parse("(hunted)", &text)?;
    let (ours, top) = run_with_top(&scenario, seed, policy)?;
    let text = format!("# Found by `hunt`: run it with --seed {seed}.\n{text}");
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, text)?;
    set.sort();
    let hunted = Hunted {
        seed,
        set,
        ours: ours.figures.score,
        top: top.figures.score,
        gap: top.figures.score - ours.figures.score,
        breaches: ours.breaches,
    };
    if form.json {
        print_json(&hunted)?;
    } else {
        println!(
            "seed {seed} of {tries} runs: {policy} {:.3}, top {:.3}, {} breaches; written to {}",
            hunted.ours,
            hunted.top,
            hunted.breaches,
            out.display()
        );
    }
    Ok(true)
}

/// The scenario's text without the trouble at the given index; `None` if there is no such trouble.
fn without_trouble(text: &str, index: usize) -> CommandResult<Option<String>> {
    let mut document: toml_edit::DocumentMut = text.parse()?;
    let Some(troubles) = document.get_mut("trouble").and_then(|t| t.as_array_of_tables_mut()) else {
        return Ok(None);
    };
    if index >= troubles.len() {
        return Ok(None);
    }
    troubles.remove(index);
    if troubles.is_empty() {
        document.remove("trouble");
    }
    Ok(Some(document.to_string()))
}

/// The scenario's text with the value of a key halved: the length, or the number of endpoints of a tier. `None` if
/// there is no such tier, or if the result would be below 5 s or 2 endpoints.
fn halved(text: &str, key: &str) -> CommandResult<Option<String>> {
    let scenario = Scenario::parse("(hunted)", text)?;
    let value = if key == "length" {
        let seconds = scenario.length.seconds() / 2.0;
        (seconds >= 5.0).then(|| format!("\"{}ms\"", (seconds * 1e3) as u64))
    } else {
        let tier = key.split('.').nth(1).and_then(|t| t.parse::<usize>().ok()).unwrap_or(0);
        let endpoint_count = scenario.tiers.get(tier).map(|t| t.servers);
        endpoint_count
            .filter(|s| s.from >= 4.0)
            .map(|s| format!("[{}, {}]", (s.from / 2.0).floor(), (s.to / 2.0).floor()))
    };
    let Some(value) = value else { return Ok(None) };
    let changed = TomlText::new("(hunted)", text).with_overrides(&[(key.to_owned(), value)])?;
    Ok(Some(changed.as_str().to_owned()))
}
