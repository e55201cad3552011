//! Regression checks on scenarios that `hunt` found and that were kept: the policy must not score lower on them than
//! when they were recorded.

use super::Claim;
use crate::experiment::{Outcome, play};
use crate::policies::Policy;
use crate::scenario::Scenario;
use rayon::prelude::*;
use serde::Deserialize;
use std::fs;
use std::path::Path;

const HUNTED_FOLDER: &str = "lab/hunted";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeptRuns {
    day: Vec<KeptRun>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeptRun {
    /// The name of a scenario file in the same folder, without its extension.
    scenario: String,
    seed: u64,
    /// The least score that the balancer has to reach, from 0 to 1.
    at_least: f64,
}

/// Repeats one kept run. An error says which file cannot be read.
fn check_run(run: &KeptRun) -> Result<Claim, String> {
    let file = Path::new(HUNTED_FOLDER).join(&run.scenario).with_extension("toml");
    let scenario = Scenario::load(&file).map_err(|e| e.to_string())?;
    let outcome = Outcome::from(play(&scenario, run.seed, Policy::Ours));
    let (score, breaches) = (outcome.figures.score, outcome.breaches);
    Ok(Claim::new(
        format!("score of {}, seed {}", run.scenario, run.seed),
        format!("{} at least, no breach", run.at_least),
        format!("{score:.3}, {breaches} breaches"),
        score >= run.at_least && breaches == 0,
    ))
}

/// Repeats all kept runs. They take about a second together, so the short form repeats all of them too.
pub fn prove(_: bool) -> Vec<Claim> {
    let file = Path::new(HUNTED_FOLDER).join("kept.toml");
    let text = fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()));
    let kept = text
        .and_then(|text| toml::from_str::<KeptRuns>(&text).map_err(|e| format!("{}: {e}", file.display())));
    let runs = match kept {
        Ok(kept) if !kept.day.is_empty() => kept.day,
        Ok(_) => return vec![Claim::new("kept days", "one at least", "none is named", false)],
        Err(e) => return vec![Claim::new("kept days", "to be read", e, false)],
    };
    let unreadable = |e| Claim::new("a kept day", "to be read", e, false);
    runs.par_iter().map(|run| check_run(run).unwrap_or_else(unreadable)).collect()
}
