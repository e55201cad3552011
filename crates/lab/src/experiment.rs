//! Experiments: single runs, many runs in parallel, and paired comparisons of their scores.

use crate::draw::{Purpose, RandomStream};
use crate::policies::Policy;
use crate::scenario::Scenario;
use crate::score::Figures;
use crate::world::{RunResult, World};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Serialize;

/// Simulates one run of a scenario with a seed and a policy.
pub fn play(scenario: &Scenario, seed: u64, policy: Policy) -> RunResult {
    let make_decider = move |settings, seed, now| policy.make(settings, seed, now);
    World::new(scenario, seed, &make_decider).play()
}

/// One run to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Task<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: Policy,
}

/// The results that are stored for a run.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct Outcome {
    /// The figures.
    pub figures: Figures,
    /// The number of breaches of all rules together.
    pub breaches: u64,
    /// A description of the first breach.
    pub first_breach: Option<String>,
}

impl From<RunResult> for Outcome {
    fn from(result: RunResult) -> Outcome {
        Outcome {
            figures: result.statistics.figures(),
            breaches: result.breach_count.iter().sum(),
            first_breach: result.breaches.first().map(ToString::to_string),
        }
    }
}

/// Simulates many runs on all cores. The results are in the order of the tasks and do not depend on the number
/// of threads.
pub fn play_all(tasks: &[Task<'_>], label: &str) -> Vec<Outcome> {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(tasks.len() as u64).with_message(label.to_owned());
    let bar = match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    };
    let run = |t: &Task<'_>| Outcome::from(play(t.scenario, t.seed, t.policy));
    tasks.par_iter().progress_with(bar).map(run).collect()
}

/// The result of a paired comparison of A and B.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Comparison {
    /// The number of pairs.
    pub pairs: usize,
    /// The mean of A.
    pub a: f64,
    /// The mean of B.
    pub b: f64,
    /// The mean of A minus B.
    pub difference: f64,
    /// The 95% confidence interval of the mean difference, by bootstrap over the pairs.
    pub interval: (f64, f64),
    /// The share of pairs in which A is higher; a tie counts as half.
    pub wins: f64,
    /// Whether the difference is significant: there are at least two pairs and the interval excludes 0.
    pub says_something: bool,
}

/// Bootstrap resamples for one confidence interval.
const RESAMPLES: usize = 2000;

/// Compares pairs of figures (A, B), one pair for each seed, by a percentile bootstrap of the mean difference
/// (Efron, 1979).
pub fn compare(pairs: &[(f64, f64)]) -> Comparison {
    let n = pairs.len().max(1);
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / n as f64;
    let differences: Vec<f64> = pairs.iter().map(|p| p.0 - p.1).collect();
    let mut draw = RandomStream::new(n as u64, Purpose::Bootstrap, 0);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..differences.len()).map(|_| differences[draw.index_below(n)]).sum::<f64>() / n as f64)
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let quantile = |q: f64| means[((RESAMPLES - 1) as f64 * q).round() as usize];
    let interval = (quantile(0.025), quantile(0.975));
    let wins =
        differences.iter().map(|d| if *d > 0.0 { 1.0 } else { f64::from(u8::from(*d == 0.0)) / 2.0 });
    Comparison {
        pairs: pairs.len(),
        a: mean(&|p| p.0),
        b: mean(&|p| p.1),
        difference: mean(&|p| p.0 - p.1),
        interval,
        wins: wins.sum::<f64>() / n as f64,
        says_something: pairs.len() > 1 && (interval.0 > 0.0 || interval.1 < 0.0),
    }
}

/// Spearman's rank correlation of two lists of the same length; equal values share their mean rank.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> f64 {
    let ranks = |values: &[f64]| -> Vec<f64> {
        values
            .iter()
            .map(|v| {
                let below = values.iter().filter(|o| *o < v).count() as f64;
                let same = values.iter().filter(|o| *o == v).count() as f64;
                below + (same + 1.0) / 2.0
            })
            .collect()
    };
    let (a, b) = (ranks(a), ranks(b));
    let mean = (a.len() as f64 + 1.0) / 2.0;
    let (mut ab, mut aa, mut bb) = (0.0, 0.0, 0.0);
    for (x, y) in a.iter().zip(&b) {
        ab += (x - mean) * (y - mean);
        aa += (x - mean) * (x - mean);
        bb += (y - mean) * (y - mean);
    }
    if aa > 0.0 && bb > 0.0 { ab / libm::sqrt(aa * bb) } else { 0.0 }
}
