//! Compares simulated queues with the closed forms of queueing theory.

use crate::experiment;
use crate::policies::Policy;
use crate::prove::Claim;
use crate::scenario::Scenario;
use rayon::prelude::*;

/// The text of a scenario that is a plain queue: one tier, one class and one sidecar without a limit.
fn queue_scenario(rate: f64, cores: u32, slots: u32, law: &str, length_s: u64) -> String {
    // Slots are per core. The huge queue, the absence of impatient clients and the client timeout of 1000 s ensure
    // that no request is refused or abandoned.
    format!(
        r#"
name = "queue"
about = "A plain queue, for closed forms."
length = "{length_s}s"
[network]
one_way = "0s"
client = "0s"
jitter = 0.0
[discovery]
asked = false
[clients]
retries = 0
impatient = 0.0
try_share = 1.0
[load]
rate = {rate}
[[class]]
name = "only"
share = 1
work = "10ms"
{law}
aim = "1000s"
give_up = "1000s"
worth = 1
[[tier]]
name = "only"
servers = 1
sidecars = 1
[tier.connections]
handshake_work = "0s"
handshake_trips = 0.0
cap = 1000000
full_tax = 0.0
[[tier.kind]]
name = "plain"
cores = {cores}
slots = {slots}
queue = 1000000
"#
    )
}

/// Mean time that a request spends in the system in milliseconds, averaged over seeds.
fn mean_time(text: &str, seeds: u64) -> f64 {
    let Ok(scenario) = Scenario::parse("(proof)", text) else { return f64::NAN };
    let policy =
        Policy::Reference(crate::policies::Choice::RoundRobin, crate::policies::LimitKind::None, false);
    let means = (0..seeds).into_par_iter().map(|seed| {
        let result = experiment::play(&scenario, seed, policy);
        // The histogram records two significant digits. Its mean over many values is much more precise.
        result.statistics.times.mean() / 1e3
    });
    // The sum is in the order of the seeds, so that the number of threads does not change the rounding.
    means.collect::<Vec<f64>>().iter().sum::<f64>() / seeds as f64
}

/// The Erlang C formula: the share of requests that wait, with `c` servers and an offered load of `a` (Erlang, 1917).
fn erlang_c(c: u32, a: f64) -> f64 {
    let mut term = 1.0;
    let mut sum = 0.0;
    for k in 0..c {
        sum += term;
        term *= a / f64::from(k + 1);
    }
    let waiting = term * f64::from(c) / (f64::from(c) - a);
    waiting / (sum + waiting)
}

pub(super) fn check_closed_forms(short: bool, claims: &mut Vec<Claim>) {
    // The mean service time is 10 ms. Pollaczek-Khinchine formula: wait = rho (1 + cv^2) / 2 / (1 - rho) * s.
    let (s, rho) = (10.0, 0.7);
    let mut queues = vec![
        ("M/M/1 at 70%", queue_scenario(70.0, 1, 1, r#"law = "exponential""#, 2000), s / (1.0 - rho)),
        (
            "M/D/1 at 70%",
            queue_scenario(70.0, 1, 1, r#"law = "fixed""#, 2000),
            s + s * rho / 2.0 / (1.0 - rho),
        ),
        (
            "M/G/1 at 70%, log-normal of cv 1.5",
            queue_scenario(70.0, 1, 1, "cv = 1.5", 2000),
            s + s * rho * (1.0 + 1.5 * 1.5) / 2.0 / (1.0 - rho),
        ),
        (
            "M/G/1 with shared cores (insensitive to the law)",
            queue_scenario(70.0, 1, 1000, "cv = 1.5", 2000),
            s / (1.0 - rho),
        ),
    ];
    for cores in [4_u32, 16] {
        let a = f64::from(cores) * 0.8;
        let expected = s + erlang_c(cores, a) * s / (f64::from(cores) - a);
        let name = if cores == 4 { "M/M/4 at 80%" } else { "M/M/16 at 80%" };
        queues.push((name, queue_scenario(100.0 * a, cores, 1, r#"law = "exponential""#, 2000), expected));
    }
    let seeds = if short { 4 } else { 40 };
    for (name, text, expected) in queues {
        let measured = mean_time(&text, seeds);
        let deviation = (measured - expected) / expected;
        claims.push(Claim::new(
            format!("mean time in {name}"),
            format!("{expected:.3} ms within 3%"),
            format!("{measured:.3} ms, {:+.2}%", deviation * 100.0),
            deviation.abs() <= 0.03,
        ));
    }
}
