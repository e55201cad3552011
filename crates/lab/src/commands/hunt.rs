//! The search for the day on which a policy falls furthest below the top.

use super::{Done, print_json, read};
use crate::Form;
use cottonpoint_file::TomlText;
use cottonpoint_lab::experiment::{Outcome, Task, play_all};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::scenario::Scenario;
use serde::Serialize;
use std::fs;
use std::path::Path;

/// What a hunt found.
#[derive(Serialize)]
struct Hunted {
    seed: u64,
    set: Vec<(String, String)>,
    ours: f64,
    top: f64,
    gap: f64,
    breaches: u64,
}

/// How far a policy falls below the top on a day.
fn gap(scenario: &Scenario, seed: u64, policy: Policy) -> Done<(Outcome, Outcome)> {
    let top: Policy = "top".parse()?;
    let tasks = [Task { scenario, seed, policy }, Task { scenario, seed, policy: top }];
    let mut outcomes = play_all(&tasks, "").into_iter();
    match (outcomes.next(), outcomes.next()) {
        (Some(ours), Some(top)) => Ok((ours, top)),
        _ => Err("a day was not played".into()),
    }
}

pub(super) fn hunt(scenario: &str, policy: &str, tries: u64, out: &Path, form: Form) -> Done<bool> {
    let policy: Policy = policy.parse()?;
    let top: Policy = "top".parse()?;
    let base = read(scenario, &[])?;
    // Search: each try is a seed, at one of three loads; both policies meet the same day.
    let loads = [None, Some(0.45), Some(0.7)];
    let load_key = if base.scenario.load.rate.is_some() { "load.rate" } else { "load.of_capacity" };
    let mut variants = Vec::new();
    for load in loads {
        let set = match (load, base.scenario.load.rate) {
            (None, _) => Vec::new(),
            (Some(share), Some(rate)) => vec![(load_key.to_owned(), format!("{}", rate * 2.0 * share))],
            (Some(share), None) => vec![(load_key.to_owned(), format!("{share}"))],
        };
        variants.push((read(scenario, &set)?, set));
    }
    let mut tasks = Vec::new();
    for i in 0..tries {
        let scenario = &variants[i as usize % variants.len()].0.scenario;
        tasks.extend([policy, top].map(|policy| Task { scenario, seed: i, policy }));
    }
    let outcomes = play_all(&tasks, "hunting");
    let below = |pair: &[Outcome]| match pair {
        [ours, top] if ours.breaches > 0 => 10.0 + top.figures.score - ours.figures.score,
        [ours, top] => top.figures.score - ours.figures.score,
        _ => 0.0,
    };
    let worst = outcomes.chunks(2).enumerate().max_by(|a, b| below(a.1).total_cmp(&below(b.1)));
    let Some((number, pair)) = worst else { return Err("no day was tried".into()) };
    let (seed, mut set) = (number as u64, variants[number % variants.len()].1.clone());
    let wanted = below(pair) * 0.8;

    // Shrink: leave out troubles, shorten the day, halve the tiers, for as long as most of the gap stays.
    let mut text = variants[number % variants.len()].0.text.as_str().to_owned();
    let still = |text: &str| -> Done<bool> {
        let Ok(scenario) = Scenario::parse("(hunted)", text) else { return Ok(false) };
        let (ours, top) = gap(&scenario, seed, policy)?;
        Ok(below(&[ours, top]) >= wanted)
    };
    let mut trouble = 0;
    while let Some(smaller) = without_trouble(&text, trouble)? {
        if still(&smaller)? { text = smaller } else { trouble += 1 }
    }
    for key in ["length", "tier.0.servers", "tier.1.servers", "tier.2.servers"] {
        while let Some(smaller) = halved(&text, key)? {
            if !still(&smaller)? {
                break;
            }
            text = smaller;
        }
    }
    let scenario = Scenario::parse("(hunted)", &text)?;
    let (ours, best) = gap(&scenario, seed, policy)?;
    let text = format!("# Found by `hunt`: play it with --seed {seed}.\n{text}");
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, text)?;
    set.sort();
    let hunted = Hunted {
        seed,
        set,
        ours: ours.figures.score,
        top: best.figures.score,
        gap: best.figures.score - ours.figures.score,
        breaches: ours.breaches,
    };
    if form.json {
        print_json(&hunted)?;
    } else {
        println!(
            "seed {seed} of {tries} days: {policy} {:.3}, top {:.3}, {} breaches; written to {}",
            hunted.ours,
            hunted.top,
            hunted.breaches,
            out.display()
        );
    }
    Ok(true)
}

/// The text without its trouble of that number, if it has one.
fn without_trouble(text: &str, number: usize) -> Done<Option<String>> {
    let mut document: toml_edit::DocumentMut = text.parse()?;
    let Some(troubles) = document.get_mut("trouble").and_then(|t| t.as_array_of_tables_mut()) else {
        return Ok(None);
    };
    if number >= troubles.len() {
        return Ok(None);
    }
    troubles.remove(number);
    if troubles.is_empty() {
        document.remove("trouble");
    }
    Ok(Some(document.to_string()))
}

/// The text with a count or a length halved, if that leaves anything.
fn halved(text: &str, key: &str) -> Done<Option<String>> {
    let scenario = Scenario::parse("(hunted)", text)?;
    let value = if key == "length" {
        let seconds = scenario.length.seconds() / 2.0;
        (seconds >= 5.0).then(|| format!("\"{}ms\"", (seconds * 1e3) as u64))
    } else {
        let tier = key.split('.').nth(1).and_then(|t| t.parse::<usize>().ok()).unwrap_or(0);
        let servers = scenario.tiers.get(tier).map(|t| t.servers);
        servers
            .filter(|s| s.from >= 4.0)
            .map(|s| format!("[{}, {}]", (s.from / 2.0).floor(), (s.to / 2.0).floor()))
    };
    let Some(value) = value else { return Ok(None) };
    let changed = TomlText::new("(hunted)", text).with_overrides(&[(key.to_owned(), value)])?;
    Ok(Some(changed.as_str().to_owned()))
}
