//! Claims on the membership protocol (`docs/design/peers.md`), checked on fleets of 3, 10, 50 and (in the full form)
//! 500 members in virtual time. Claims that rest on one part of the protocol are also checked to fail with that part
//! disabled.

mod disabled;

use super::Claim;
use crate::fleet::experiments::{
    self, LossOutcome, NEVER, PauseOutcome, SplitOutcome, T, agreement_bound, bound_nanos,
};
use crate::fleet::{Disabled, Fleet};
use crate::report::{Line, lines};
use cottonpoint_peers::{PACKET_LIMIT, bounds};
use disabled::check_disabled_parts;
use rayon::prelude::*;
use std::path::Path;

/// For each number of members the number of fleets and of crashes in each fleet, in the short and in the full form. The
/// largest fleets are simulated in the full form only.
const SIZES: [(usize, [(u64, u64); 2]); 4] = [
    (3, [(60, 2), (400, 2)]),
    (10, [(40, 2), (400, 2)]),
    (50, [(8, 2), (100, 3)]),
    (500, [(0, 0), (4, 25)]),
];
/// Protocol periods for which each fleet is simulated under packet loss.
const LOSS_PERIODS: u64 = 100;
/// The largest ratio of the bytes per second that a member sends in a large fleet to those in a fleet of 50. The rate
/// must not grow with the size of the fleet; the excess over 1 allows for chance.
const MAX_BYTES_RATIO: f64 = 1.25;
/// The largest ratio of suspicions to those expected from packet loss alone. The expectation assumes that all 3 helpers
/// of an indirect probe are available, which nearly always holds.
const MAX_SUSPICION_RATIO: f64 = 1.25;
/// The largest number of live members declared dead per member-period at 30% loss. The protocol needs more than two
/// packets in three to arrive, and 30% loss is the limit of its usefulness.
const MAX_DEATHS_PER_MEMBER_PERIOD: f64 = 0.01;
/// The share of packets that are replayed.
const REPLAYED_SHARE: f64 = 0.2;
/// For how long processes are stopped, in halves of a period.
const STOP_HALF_PERIODS: [u64; 4] = [1, 4, 20, 120];
/// After how long a process is restarted at its address, in tenths of a period.
const RESTART_TENTH_PERIODS: [u64; 4] = [1, 20, 200, 1000];

/// Formats a time in nanoseconds as a number of periods.
fn format_periods(time: u64) -> String {
    if time == NEVER { "never".into() } else { format!("{:.1} T", time as f64 / T as f64) }
}

/// The smallest time that at least the given share of all times does not exceed; [`NEVER`] if there are none.
fn quantile(times: &[u64], share: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len().max(1));
    times.get(at - 1).copied().unwrap_or(NEVER)
}

/// A claim that the longest of some times keeps a bound.
fn worst_case_claim(claim: String, times: &[u64], bound: u64) -> Claim {
    let worst = quantile(times, 1.0);
    let measured = format!(
        "p50 {}, worst {} of {}",
        format_periods(quantile(times, 0.5)),
        format_periods(worst),
        times.len()
    );
    Claim::new(claim, format!("{} at most", format_periods(bound)), measured, worst <= bound)
}

/// The bound on the time until all know of a crash: 3 T, the confirmed suspicion timeout and the dissemination time.
fn crash_known_bound(n: usize) -> u64 {
    agreement_bound(n) + bound_nanos(bounds::suspicion_min, n)
}

/// The expected number of suspicions per member-period from packet loss alone: the direct probe fails, and so does the
/// indirect probe through each helper.
fn expected_suspicions(n: usize, loss: f64) -> f64 {
    let delivered = 1.0 - loss;
    let indirect_fails = 1.0 - delivered.powi(4);
    (1.0 - delivered * delivered) * indirect_fails.powi(n.saturating_sub(2).min(bounds::HELPERS) as i32)
}

/// Checks that can run in parallel with others.
type Job<'a> = Box<dyn Fn() -> Vec<Claim> + Send + Sync + 'a>;

/// Fleets of one size in which all members have come to agree, each with the time that this took.
struct Fleets {
    n: usize,
    crashes: u64,
    settled: Vec<(Fleet, u64)>,
}

impl Fleets {
    fn new(n: usize, seeds: u64, crashes: u64) -> Fleets {
        Fleets {
            n,
            crashes,
            settled: (1..=seeds).into_par_iter().map(|s| experiments::start_fleet(n, s)).collect(),
        }
    }

    /// Simulates each fleet from its settled state; the results are in the order of the fleets.
    fn for_each_fleet<R: Send>(&self, experiment: impl Fn(&Fleet) -> R + Sync) -> Vec<R> {
        self.settled.par_iter().map(|(fleet, _)| experiment(fleet)).collect()
    }

    fn with_size(&self, claim: &str) -> String {
        format!("{claim}, {} members", self.n)
    }

    fn crashes(&self) -> Vec<Vec<u64>> {
        let times = (0..self.crashes)
            .into_par_iter()
            .flat_map(|k| self.for_each_fleet(|fleet| experiments::crash_detection_times(fleet, 100 + k)));
        times.collect()
    }

    fn loss(&self, share: f64, disabled: Option<Disabled>) -> LossOutcome {
        let all =
            self.for_each_fleet(|fleet| experiments::packet_loss(fleet, share, LOSS_PERIODS, disabled));
        all.into_iter().fold(LossOutcome::default(), |sum, one| LossOutcome {
            member_periods: sum.member_periods + one.member_periods,
            suspicions: sum.suspicions + one.suspicions,
            deaths: sum.deaths + one.deaths,
        })
    }

    fn split(&self, part_size: usize, disabled: Option<Disabled>) -> Vec<SplitOutcome> {
        self.for_each_fleet(|fleet| experiments::split_and_heal(fleet, part_size, disabled))
    }

    fn stop(&self, half_periods: u64, disabled: Option<Disabled>) -> Vec<PauseOutcome> {
        self.for_each_fleet(|fleet| experiments::pause_members(fleet, half_periods * T / 2, disabled))
    }

    /// The checks for this size.
    fn jobs(&self) -> Vec<Job<'_>> {
        let n = self.n;
        let mut jobs: Vec<Job<'_>> = vec![
            Box::new(move || self.check_crashes()),
            Box::new(move || self.check_loss()),
            Box::new(move || {
                let dead_times = self.for_each_fleet(|fleet| experiments::one_way_cut(fleet, None));
                let claim =
                    "a live member that reaches a majority is held dead, links cut one way, 10% loss";
                vec![worst_case_claim(
                    self.with_size(claim),
                    &dead_times,
                    bound_nanos(bounds::refutation_round, n),
                )]
            }),
            Box::new(move || {
                let (falsely_dead, agreed): (Vec<_>, Vec<_>) =
                    self.for_each_fleet(experiments::flap_links).into_iter().unzip();
                let falsely_dead: usize = falsely_dead.iter().sum();
                let claim = self.with_size("held dead while the links of one come and go each 1.5 T, 60 T");
                let first = Claim::new(claim, "nobody", format!("{falsely_dead} times"), falsely_dead == 0);
                let claim = self.with_size("after links that came and went all agree");
                vec![first, worst_case_claim(claim, &agreed, agreement_bound(n))]
            }),
            Box::new(move || {
                let times: Vec<u64> = RESTART_TENTH_PERIODS
                    .iter()
                    .flat_map(|gap| {
                        self.for_each_fleet(|fleet| experiments::restart_member(fleet, gap * T / 10))
                    })
                    .collect();
                let claim = "a new process at the same address is one member, known to all as itself";
                vec![worst_case_claim(self.with_size(claim), &times, agreement_bound(n))]
            }),
            Box::new(move || {
                let mut times: Vec<u64> =
                    self.settled.iter().map(|(_, settle_time)| *settle_time).collect();
                for interval in [3 * T, 30 * T] {
                    times.extend(
                        self.for_each_fleet(|fleet| experiments::restart_fleet(fleet, interval, None)),
                    );
                }
                let claim =
                    "all ended at one instant and started again in any order: all agree after the last";
                vec![worst_case_claim(self.with_size(claim), &times, agreement_bound(n))]
            }),
        ];
        // An even split, where the number of members allows it, and an uneven one.
        let part_sizes = if n.is_multiple_of(2) { vec![n / 2, n / 3] } else { vec![n / 3] };
        for part_size in part_sizes {
            jobs.push(Box::new(move || self.check_split(part_size)));
        }
        for half_periods in STOP_HALF_PERIODS {
            jobs.push(Box::new(move || self.check_standstill(half_periods)));
        }
        // Replayed packets have little effect in large fleets, where each packet is one of many. Those are left out.
        if n <= 50 {
            jobs.push(Box::new(move || self.check_replay()));
        }
        jobs
    }

    fn check_crashes(&self) -> Vec<Claim> {
        let (n, runs) = (self.n, self.crashes());
        let first: Vec<u64> = runs.iter().map(|run| run.iter().copied().min().unwrap_or(NEVER)).collect();
        let all: Vec<u64> = runs.iter().map(|run| run.iter().copied().max().unwrap_or(NEVER)).collect();
        let claim = |what: &str, times: &[u64], bound: u64| {
            let p99 = quantile(times, 0.99);
            let (p50, worst) = (format_periods(quantile(times, 0.5)), format_periods(quantile(times, 1.0)));
            let measured =
                format!("p50 {p50}, p99 {}, worst {worst} of {}", format_periods(p99), times.len());
            Claim::new(
                self.with_size(what),
                format!("p99 {} at most", format_periods(bound)),
                measured,
                p99 <= bound,
            )
        };
        let detected = 3 * T + bound_nanos(bounds::suspicion_max, n);
        vec![
            claim("a crash is known to the first: 3 T + S, unconfirmed", &first, detected),
            claim("a crash is known to all: 3 T + S, unconfirmed", &all, detected),
            claim(
                "a crash is known to all: 3 T + S, confirmed, + dissemination",
                &all,
                crash_known_bound(n),
            ),
        ]
    }

    fn check_loss(&self) -> Vec<Claim> {
        let (moderate, severe) = (self.loss(0.1, None), self.loss(0.3, None));
        let share = |count: u64, of: LossOutcome| count as f64 / of.member_periods.max(1) as f64;
        let bound = MAX_SUSPICION_RATIO * expected_suspicions(self.n, 0.1);
        let suspected = share(moderate.suspicions, moderate);
        let per_thousand = |share: f64| format!("{:.1}", 1000.0 * share);
        let moderate_deaths = format!("{} in {} member-periods", moderate.deaths, moderate.member_periods);
        let severe_deaths = format!("{} in {} member-periods", severe.deaths, severe.member_periods);
        vec![
            Claim::new(
                self.with_size("live members held dead at 10% loss"),
                "none",
                moderate_deaths,
                moderate.deaths == 0,
            ),
            Claim::new(
                self.with_size("live members suspected at 10% loss, of 1000 member-periods"),
                format!("{} at most", per_thousand(bound)),
                per_thousand(suspected),
                suspected <= bound,
            ),
            Claim::new(
                self.with_size("live members held dead at 30% loss"),
                format!("{} of 1000 at most", per_thousand(MAX_DEATHS_PER_MEMBER_PERIOD)),
                severe_deaths,
                share(severe.deaths, severe) <= MAX_DEATHS_PER_MEMBER_PERIOD,
            ),
        ]
    }

    fn check_split(&self, part_size: usize) -> Vec<Claim> {
        let splits = self.split(part_size, None);
        let partition_known: Vec<u64> = splits.iter().map(|split| split.partition_known_after).collect();
        let agreed: Vec<u64> = splits.iter().map(|split| split.agreed_after).collect();
        let (sides, n) = (format!("a split of {part_size} and {}", self.n - part_size), self.n);
        vec![
            worst_case_claim(
                format!("in {sides} each member names its part"),
                &partition_known,
                bound_nanos(bounds::known_to_all, n),
            ),
            worst_case_claim(format!("after {sides} has healed all agree"), &agreed, agreement_bound(n)),
        ]
    }

    fn check_standstill(&self, half_periods: u64) -> Vec<Claim> {
        let stops = self.stop(half_periods, None);
        let falsely_dead: usize = stops.iter().map(|stop| stop.falsely_dead).sum();
        let agreed: Vec<u64> = stops.iter().map(|stop| stop.agreed_after).collect();
        let standstill = format!("one in five stood still for {}", format_periods(half_periods * T / 2));
        let claim = self.with_size(&format!("others held dead, {standstill}"));
        let runs = format!("{falsely_dead} times in {} runs", stops.len());
        vec![
            Claim::new(claim, "none", runs, falsely_dead == 0),
            worst_case_claim(
                self.with_size(&format!("all agree after {standstill}")),
                &agreed,
                agreement_bound(self.n),
            ),
        ]
    }

    fn check_replay(&self) -> Vec<Claim> {
        let pairs = self.for_each_fleet(|fleet| {
            (experiments::mixed_faults(fleet, 0.0), experiments::mixed_faults(fleet, REPLAYED_SHARE))
        });
        let differ = pairs.iter().filter(|(without, with)| without.0 != with.0).count();
        let dead_times: Vec<u64> = pairs.iter().map(|(_, with)| with.1).collect();
        let claim = "views in the end with one packet in five sent again later, and without";
        let equal = format!("{differ} of {} differ", pairs.len());
        let claims = vec![Claim::new(self.with_size(claim), "the same", equal, differ == 0)];
        let claim = self.with_size("a live member is held dead, one packet in five sent again later");
        claims
            .into_iter()
            .chain([worst_case_claim(claim, &dead_times, bound_nanos(bounds::refutation_round, self.n))])
            .collect()
    }
}

/// Compares the bytes per second that members send in a large fleet with those in a fleet of 50.
fn check_bytes(short: bool) -> Vec<Claim> {
    let (seeds, largest) = if short { (1, 150) } else { (4, 500) };
    let measure = |n| -> (f64, f64, usize) {
        let fleets = Fleets::new(n, seeds, 0);
        let rates = fleets.for_each_fleet(|fleet| experiments::sending_rates(fleet, 0.0));
        let mean = rates.iter().map(|rate| rate.0).sum::<f64>() / rates.len() as f64;
        let longest =
            fleets.settled.iter().flat_map(|(f, _)| (0..n).map(|i| f.sent(i).2)).max().unwrap_or(0);
        (mean, rates.iter().map(|rate| rate.1).fold(0.0, f64::max), longest)
    };
    let (small, large) = rayon::join(|| measure(50), || measure(largest));
    let claim = |what: &str, small: f64, large: f64| {
        let measured = format!("{small:.0} and {large:.0} bytes a second, {:.2}", large / small);
        let claim = format!("{what}, {largest} members against 50");
        Claim::new(
            claim,
            format!("{MAX_BYTES_RATIO} times at most"),
            measured,
            large <= MAX_BYTES_RATIO * small,
        )
    };
    vec![
        claim("bytes a second of a member, mean", small.0, large.0),
        claim("bytes a second of the busiest member", small.1, large.1),
        Claim::new(
            format!("longest packet at the start of {largest} members, with its seal"),
            format!("{PACKET_LIMIT} bytes at most"),
            large.2.max(small.2).to_string(),
            large.2.max(small.2) <= PACKET_LIMIT,
        ),
    ]
}

/// Writes the charts of the measured figures by fleet size to `docs/peers`.
fn write_charts() -> std::io::Result<()> {
    let sizes = [3, 10, 25, 50, 100, 200];
    let in_t = |time: u64| time as f64 / T as f64;
    let mut known_by: [Line; 3] =
        ["p50", "p99", "3 T + S, confirmed, + dissemination"].map(|l| (l.into(), vec![]));
    let mut sent: [Line; 3] = ["mean", "busiest member", "mean at 10% loss"].map(|l| (l.into(), vec![]));
    let mut heals: Vec<Line> = Vec::new();
    for n in sizes {
        let fleets = Fleets::new(n, if n > 50 { 4 } else { 25 }, if n > 50 { 25 } else { 4 });
        let all: Vec<u64> =
            fleets.crashes().iter().map(|run| run.iter().copied().max().unwrap_or(NEVER)).collect();
        let figures = [quantile(&all, 0.5), quantile(&all, 0.99), crash_known_bound(n)];
        known_by.iter_mut().zip(figures).for_each(|(line, time)| line.1.push((n as f64, in_t(time))));
        let quiet = experiments::sending_rates(&fleets.settled[0].0, 0.0);
        let lossy = experiments::sending_rates(&fleets.settled[0].0, 0.1);
        let rates = [quiet.0, quiet.1, lossy.0];
        sent.iter_mut().zip(rates).for_each(|(line, rate)| line.1.push((n as f64, rate)));
        if [10, 50, 200].contains(&n) {
            let split = experiments::split_and_heal(&fleets.settled[0].0, n / 2, None);
            let pairs = (n * (n - 1)) as f64;
            let share = split.disagreements.iter().enumerate().take(160);
            let points =
                share.map(|(i, disagreeing)| (i as f64 / 4.0, 100.0 * *disagreeing as f64 / pairs));
            heals.push((format!("{n} members"), points.collect()));
        }
    }
    let to = Path::new("docs/peers");
    std::fs::create_dir_all(to)?;
    std::fs::write(to.join("known.svg"), lines("a crash is known to all, periods", "members", &known_by))?;
    std::fs::write(to.join("bytes.svg"), lines("bytes a second sent by a member", "members", &sent))?;
    let title = "pairs that do not agree after an even split has healed, %";
    std::fs::write(to.join("heal.svg"), lines(title, "periods", &heals))
}

/// Checks the claims on the membership protocol at each size. The full form also writes the charts under `docs/peers`.
pub fn prove(short: bool) -> Vec<Claim> {
    let charts_written = if short { Ok(()) } else { write_charts() };
    let form_index = usize::from(!short);
    let fleets: Vec<Fleets> = SIZES
        .par_iter()
        .filter(|(_, counts)| counts[form_index].0 > 0)
        .map(|(n, counts)| {
            let (seeds, crashes) = counts[form_index];
            Fleets::new(*n, seeds, crashes)
        })
        .collect();
    let mut jobs: Vec<Job<'_>> = fleets.iter().flat_map(Fleets::jobs).collect();
    jobs.push(Box::new(move || check_bytes(short)));
    jobs.push(Box::new(move || check_disabled_parts(short)));
    // The longest jobs are last in the list and are started first.
    let mut claims: Vec<Vec<Claim>> = jobs.par_iter().rev().with_max_len(1).map(|job| job()).collect();
    claims.reverse();
    if let Err(e) = charts_written {
        claims.push(vec![Claim::new("charts", "written to docs/peers", e.to_string(), false)]);
    }
    claims.into_iter().flatten().collect()
}
