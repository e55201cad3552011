//! `results`: lists, shows and compares stored runs.

use super::{CommandResult, RESULTS_FOLDER, print_json};
use crate::{Form, ResultsCommand};
use cottonpoint_lab::experiment::compare;
use cottonpoint_lab::report::markdown;
use cottonpoint_lab::store::{RunKey, Store, StoredRun};
use std::collections::BTreeMap;
use std::path::Path;

pub(super) fn results(what: ResultsCommand, form: Form) -> CommandResult<bool> {
    let store = Store::open(Path::new(RESULTS_FOLDER))?;
    match what {
        ResultsCommand::List => {
            let mut counts = BTreeMap::new();
            for row in store.rows() {
                *counts.entry(row.key.code).or_insert(0_u64) += 1;
            }
            if form.json {
                print_json(&counts)?;
            } else {
                counts.iter().for_each(|(code, n)| println!("{code}  {n} runs"));
            }
        }
        ResultsCommand::Show { version } => {
            let rows: Vec<StoredRun> = store.rows().filter(|r| r.key.code == version).collect();
            if form.json {
                print_json(&rows)?;
                return Ok(true);
            }
            let lines = rows.iter().map(|r| {
                let (key, figures) = (&r.key, &r.outcome.figures);
                vec![
                    key.scenario.clone(),
                    key.policy.clone(),
                    key.seed.to_string(),
                    format!("{:.3}", figures.score),
                ]
            });
            println!("{}", markdown(["scenario", "policy", "seed", "score"], lines));
        }
        ResultsCommand::Diff { old, new } => {
            let mut score_pairs: BTreeMap<(String, String), Vec<(f64, f64)>> = BTreeMap::new();
            let old_scores: BTreeMap<RunKey, f64> = store
                .rows()
                .filter(|r| r.key.code == old)
                .map(|r| (RunKey { code: String::new(), ..r.key }, r.outcome.figures.score))
                .collect();
            for r in store.rows().filter(|r| r.key.code == new) {
                let key = RunKey { code: String::new(), ..r.key };
                if let Some(old_score) = old_scores.get(&key) {
                    let pair = (r.outcome.figures.score, *old_score);
                    score_pairs.entry((key.scenario, key.policy)).or_default().push(pair);
                }
            }
            let lines = score_pairs.iter().map(|((scenario, policy), pairs)| {
                let c = compare(pairs);
                vec![
                    scenario.clone(),
                    policy.clone(),
                    c.pairs.to_string(),
                    format!("{:.3}", c.b),
                    format!("{:.3}", c.a),
                    format!("{:+.3}", c.difference),
                    format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
                    if c.says_something { "yes" } else { "no" }.to_owned(),
                ]
            });
            let header = [
                "scenario",
                "policy",
                "pairs",
                "old",
                "new",
                "new minus old",
                "95% interval",
                "significant",
            ];
            println!("{}", markdown(header, lines));
        }
    }
    Ok(true)
}
