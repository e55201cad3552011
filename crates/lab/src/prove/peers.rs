//! What the membership plane owes (`docs/design/peers.md`), on fleets of 3, 10, 50 and (in full) 500 in virtual time.
//! Each claim on one of its parts is seen to fail with that part taken out.

use super::Claim;
use crate::fleet::experiments::{
    self, LossOutcome, NEVER, PauseOutcome, SplitOutcome, T, agreement_bound, bound_nanos,
};
use crate::fleet::{Disabled, Fleet};
use crate::report::{Line, lines};
use cottonpoint_peers::{PACKET_LIMIT, bounds};
use rayon::prelude::*;
use std::path::Path;

/// Members, fleets, and crashes of each fleet: in short and in full. Large fleets are played in full only.
const SIZES: [(usize, [(u64, u64); 2]); 4] = [
    (3, [(60, 2), (400, 2)]),
    (10, [(40, 2), (400, 2)]),
    (50, [(8, 2), (100, 3)]),
    (500, [(0, 0), (4, 25)]),
];
/// Periods for which each fleet is played under loss.
const PERIODS: u64 = 100;
/// Bytes a second of one member in a large fleet against 50: flat, but for chance.
const FLAT: f64 = 1.25;
/// Suspicions against what chance alone brings: all of 3 helpers are at hand nearly always.
const SUSPICIONS: f64 = 1.25;
/// Members wrongly held dead at 30% loss, for each member-period: more than two packets in three have to come
/// through for the plane to be of use, and this is where it stops to be.
const DEATHS: f64 = 0.01;
/// The share of packets sent again.
const AGAIN: f64 = 0.2;
/// How long processes stand still, in halves of a period.
const STOPS: [u64; 4] = [1, 4, 20, 120];
/// After which times a process starts again at its address, in tenths of a period.
const RESTARTS: [u64; 4] = [1, 20, 200, 1000];

/// A time in periods.
fn periods(time: u64) -> String {
    if time == NEVER { "never".into() } else { format!("{:.1} T", time as f64 / T as f64) }
}

/// The figure that a share of all does not exceed.
fn quantile(times: &[u64], share: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len().max(1));
    times.get(at - 1).copied().unwrap_or(NEVER)
}

/// A claim on the worst of some times.
fn within(claim: String, times: &[u64], bound: u64) -> Claim {
    let worst = quantile(times, 1.0);
    let measured =
        format!("p50 {}, worst {} of {}", periods(quantile(times, 0.5)), periods(worst), times.len());
    Claim::new(claim, format!("{} at most", periods(bound)), measured, worst <= bound)
}

/// 3 T, the suspicion time once confirmed, and dissemination.
fn known(n: usize) -> u64 {
    agreement_bound(n) + bound_nanos(bounds::suspicion_min, n)
}

/// Suspicions that loss alone brings in each member-period: the direct exchange fails, and each helper's.
fn chance(n: usize, loss: f64) -> f64 {
    let passes = 1.0 - loss;
    let helper = 1.0 - passes.powi(4);
    (1.0 - passes * passes) * helper.powi(n.saturating_sub(2).min(bounds::HELPERS) as i32)
}

type Job<'a> = Box<dyn Fn() -> Vec<Claim> + Send + Sync + 'a>;

/// Fleets of one size that have come to agree.
struct Fleets {
    n: usize,
    crashes: u64,
    all: Vec<(Fleet, u64)>,
}

impl Fleets {
    fn new(n: usize, seeds: u64, crashes: u64) -> Fleets {
        Fleets {
            n,
            crashes,
            all: (1..=seeds).into_par_iter().map(|s| experiments::start_fleet(n, s)).collect(),
        }
    }

    /// One figure of each fleet.
    fn each<R: Send>(&self, play: impl Fn(&Fleet) -> R + Sync) -> Vec<R> {
        self.all.par_iter().map(|(fleet, _)| play(fleet)).collect()
    }

    fn named(&self, claim: &str) -> String {
        format!("{claim}, {} members", self.n)
    }

    fn crashes(&self) -> Vec<Vec<u64>> {
        let times = (0..self.crashes)
            .into_par_iter()
            .flat_map(|k| self.each(|fleet| experiments::crash_detection_times(fleet, 100 + k)));
        times.collect()
    }

    fn loss(&self, share: f64, disabled: Option<Disabled>) -> LossOutcome {
        let all = self.each(|fleet| experiments::packet_loss(fleet, share, PERIODS, disabled));
        all.into_iter().fold(LossOutcome::default(), |sum, one| LossOutcome {
            member_periods: sum.member_periods + one.member_periods,
            suspicions: sum.suspicions + one.suspicions,
            deaths: sum.deaths + one.deaths,
        })
    }

    fn split(&self, one: usize, disabled: Option<Disabled>) -> Vec<SplitOutcome> {
        self.each(|fleet| experiments::split_and_heal(fleet, one, disabled))
    }

    fn stop(&self, halves: u64, disabled: Option<Disabled>) -> Vec<PauseOutcome> {
        self.each(|fleet| experiments::pause_members(fleet, halves * T / 2, disabled))
    }

    /// All that is claimed at any size.
    fn jobs(&self) -> Vec<Job<'_>> {
        let n = self.n;
        let mut jobs: Vec<Job<'_>> = vec![
            Box::new(move || self.on_crashes()),
            Box::new(move || self.on_loss()),
            Box::new(move || {
                let dead = self.each(|fleet| experiments::one_way_cut(fleet, None));
                let claim =
                    "a live member that reaches a majority is held dead, links cut one way, 10% loss";
                vec![within(self.named(claim), &dead, bound_nanos(bounds::refutation_round, n))]
            }),
            Box::new(move || {
                let (dead, back): (Vec<_>, Vec<_>) = self.each(experiments::flap_links).into_iter().unzip();
                let dead: usize = dead.iter().sum();
                let claim = self.named("held dead while the links of one come and go each 1.5 T, 60 T");
                let first = Claim::new(claim, "nobody", format!("{dead} times"), dead == 0);
                let claim = self.named("after links that came and went all agree");
                vec![first, within(claim, &back, agreement_bound(n))]
            }),
            Box::new(move || {
                let times: Vec<u64> = RESTARTS
                    .iter()
                    .flat_map(|gap| self.each(|fleet| experiments::restart_member(fleet, gap * T / 10)))
                    .collect();
                let claim = "a new process at the same address is one member, known to all as itself";
                vec![within(self.named(claim), &times, agreement_bound(n))]
            }),
            Box::new(move || {
                let mut times: Vec<u64> = self.all.iter().map(|(_, settled)| *settled).collect();
                for within in [3 * T, 30 * T] {
                    times.extend(self.each(|fleet| experiments::restart_fleet(fleet, within, None)));
                }
                let claim =
                    "all ended at one instant and started again in any order: all agree after the last";
                vec![within(self.named(claim), &times, agreement_bound(n))]
            }),
        ];
        // An even split, and an uneven one.
        let parts = if n.is_multiple_of(2) { vec![n / 2, n / 3] } else { vec![n / 3] };
        for one in parts {
            jobs.push(Box::new(move || self.on_split(one)));
        }
        for halves in STOPS {
            jobs.push(Box::new(move || self.on_stop(halves)));
        }
        // What is sent again matters little where each packet is one in many: large fleets are left out.
        if n <= 50 {
            jobs.push(Box::new(move || self.on_replay()));
        }
        jobs
    }

    fn on_crashes(&self) -> Vec<Claim> {
        let (n, runs) = (self.n, self.crashes());
        let first: Vec<u64> = runs.iter().map(|run| run.iter().copied().min().unwrap_or(NEVER)).collect();
        let all: Vec<u64> = runs.iter().map(|run| run.iter().copied().max().unwrap_or(NEVER)).collect();
        let claim = |what: &str, times: &[u64], bound: u64| {
            let p99 = quantile(times, 0.99);
            let (p50, worst) = (periods(quantile(times, 0.5)), periods(quantile(times, 1.0)));
            let measured = format!("p50 {p50}, p99 {}, worst {worst} of {}", periods(p99), times.len());
            Claim::new(self.named(what), format!("p99 {} at most", periods(bound)), measured, p99 <= bound)
        };
        let detected = 3 * T + bound_nanos(bounds::suspicion_max, n);
        vec![
            claim("a crash is known to the first: 3 T + S, unconfirmed", &first, detected),
            claim("a crash is known to all: 3 T + S, unconfirmed", &all, detected),
            claim("a crash is known to all: 3 T + S, confirmed, + dissemination", &all, known(n)),
        ]
    }

    fn on_loss(&self) -> Vec<Claim> {
        let (some, much) = (self.loss(0.1, None), self.loss(0.3, None));
        let share = |count: u64, of: LossOutcome| count as f64 / of.member_periods.max(1) as f64;
        let bound = SUSPICIONS * chance(self.n, 0.1);
        let suspected = share(some.suspicions, some);
        let thousand = |share: f64| format!("{:.1}", 1000.0 * share);
        let looked = format!("{} in {} member-periods", some.deaths, some.member_periods);
        let more = format!("{} in {} member-periods", much.deaths, much.member_periods);
        vec![
            Claim::new(self.named("live members held dead at 10% loss"), "none", looked, some.deaths == 0),
            Claim::new(
                self.named("live members suspected at 10% loss, of 1000 member-periods"),
                format!("{} at most", thousand(bound)),
                thousand(suspected),
                suspected <= bound,
            ),
            Claim::new(
                self.named("live members held dead at 30% loss"),
                format!("{} of 1000 at most", thousand(DEATHS)),
                more,
                share(much.deaths, much) <= DEATHS,
            ),
        ]
    }

    fn on_split(&self, one: usize) -> Vec<Claim> {
        let splits = self.split(one, None);
        let named: Vec<u64> = splits.iter().map(|split| split.partition_known_after).collect();
        let healed: Vec<u64> = splits.iter().map(|split| split.agreed_after).collect();
        let (sides, n) = (format!("a split of {one} and {}", self.n - one), self.n);
        vec![
            within(
                format!("in {sides} each member names its part"),
                &named,
                bound_nanos(bounds::known_to_all, n),
            ),
            within(format!("after {sides} has healed all agree"), &healed, agreement_bound(n)),
        ]
    }

    fn on_stop(&self, halves: u64) -> Vec<Claim> {
        let stops = self.stop(halves, None);
        let falsely_dead: usize = stops.iter().map(|stop| stop.falsely_dead).sum();
        let back: Vec<u64> = stops.iter().map(|stop| stop.agreed_after).collect();
        let still = format!("one in five stood still for {}", periods(halves * T / 2));
        let claim = self.named(&format!("others held dead, {still}"));
        let runs = format!("{falsely_dead} times in {} runs", stops.len());
        vec![
            Claim::new(claim, "none", runs, falsely_dead == 0),
            within(self.named(&format!("all agree after {still}")), &back, agreement_bound(self.n)),
        ]
    }

    fn on_replay(&self) -> Vec<Claim> {
        let pairs = self
            .each(|fleet| (experiments::mixed_faults(fleet, 0.0), experiments::mixed_faults(fleet, AGAIN)));
        let differ = pairs.iter().filter(|(without, with)| without.0 != with.0).count();
        let dead: Vec<u64> = pairs.iter().map(|(_, with)| with.1).collect();
        let claim = "views in the end with one packet in five sent again later, and without";
        let equal = format!("{differ} of {} differ", pairs.len());
        let claims = vec![Claim::new(self.named(claim), "the same", equal, differ == 0)];
        let claim = self.named("a live member is held dead, one packet in five sent again later");
        claims
            .into_iter()
            .chain([within(claim, &dead, bound_nanos(bounds::refutation_round, self.n))])
            .collect()
    }
}

/// Bytes a second of members, with 50 and with more.
fn flat(short: bool) -> Vec<Claim> {
    let (seeds, most) = if short { (1, 150) } else { (4, 500) };
    let sent = |n| -> (f64, f64, usize) {
        let fleets = Fleets::new(n, seeds, 0);
        let rates = fleets.each(|fleet| experiments::sending_rates(fleet, 0.0));
        let mean = rates.iter().map(|rate| rate.0).sum::<f64>() / rates.len() as f64;
        let longest = fleets.all.iter().flat_map(|(f, _)| (0..n).map(|i| f.sent(i).2)).max().unwrap_or(0);
        (mean, rates.iter().map(|rate| rate.1).fold(0.0, f64::max), longest)
    };
    let (few, many) = rayon::join(|| sent(50), || sent(most));
    let claim = |what: &str, few: f64, many: f64| {
        let measured = format!("{few:.0} and {many:.0} bytes a second, {:.2}", many / few);
        let claim = format!("{what}, {most} members against 50");
        Claim::new(claim, format!("{FLAT} times at most"), measured, many <= FLAT * few)
    };
    vec![
        claim("bytes a second of a member, mean", few.0, many.0),
        claim("bytes a second of the busiest member", few.1, many.1),
        Claim::new(
            format!("longest packet at the start of {most} members, with its seal"),
            format!("{PACKET_LIMIT} bytes at most"),
            many.2.max(few.2).to_string(),
            many.2.max(few.2) <= PACKET_LIMIT,
        ),
    ]
}

/// With a part taken out the claim that rests on it has to fail.
fn without(short: bool) -> Vec<Claim> {
    let (n, seeds) = (10, if short { 20 } else { 100 });
    let fleets = Fleets::new(n, seeds, 0);
    let fails = |part: &str, claim: &str, measured: String, kept: bool| {
        Claim::new(format!("without {part}: {claim}, {n} members"), "fails", measured, !kept)
    };
    let lost = |part: &str, disabled| {
        let loss = fleets.loss(0.1, Some(disabled));
        let measured = format!("{} deaths in {} member-periods", loss.deaths, loss.member_periods);
        fails(part, "no live member is held dead at 10% loss", measured, loss.deaths == 0)
    };
    let suspected = {
        let loss = fleets.loss(0.1, Some(Disabled::IndirectProbes));
        let share = loss.suspicions as f64 / loss.member_periods as f64;
        let kept = share <= SUSPICIONS * chance(n, 0.1);
        let measured = format!("{:.1} of 1000 member-periods", 1000.0 * share);
        fails("pings through others", "suspicions at 10% loss keep their bound", measured, kept)
    };
    let dead = fleets.each(|fleet| experiments::one_way_cut(fleet, Some(Disabled::Refutation)));
    let dead = quantile(&dead, 1.0);
    let round = bound_nanos(bounds::refutation_round, n);
    let healed: Vec<u64> = fleets
        .split(n / 2, Some(Disabled::DeadMemberProbes))
        .iter()
        .map(|split| split.agreed_after)
        .collect();
    let falsely_dead: usize =
        fleets.stop(120, Some(Disabled::StallDetection)).iter().map(|stop| stop.falsely_dead).sum();
    let never = healed.iter().filter(|time| **time == NEVER).count();
    let never = format!("{never} of {seeds} never agree");
    let kept = quantile(&healed, 1.0) <= agreement_bound(n);
    vec![
        lost("contradiction", Disabled::Refutation),
        fails(
            "contradiction",
            "held dead for no longer than a round, links cut one way",
            periods(dead),
            dead <= round,
        ),
        suspected,
        fails("knocks", "all agree after an even split has healed", never, kept),
        fails(
            "the look at its own lateness",
            "nobody is held dead by one that stood still for 60 T",
            format!("{falsely_dead} times in {seeds} runs"),
            falsely_dead == 0,
        ),
    ]
}

/// Draws what is measured for each size.
fn charts() -> std::io::Result<()> {
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
        let figures = [quantile(&all, 0.5), quantile(&all, 0.99), known(n)];
        known_by.iter_mut().zip(figures).for_each(|(line, time)| line.1.push((n as f64, in_t(time))));
        let quiet = experiments::sending_rates(&fleets.all[0].0, 0.0);
        let lossy = experiments::sending_rates(&fleets.all[0].0, 0.1);
        let rates = [quiet.0, quiet.1, lossy.0];
        sent.iter_mut().zip(rates).for_each(|(line, rate)| line.1.push((n as f64, rate)));
        if [10, 50, 200].contains(&n) {
            let split = experiments::split_and_heal(&fleets.all[0].0, n / 2, None);
            let pairs = (n * (n - 1)) as f64;
            let share = split.disagreements.iter().enumerate().take(160);
            let points = share.map(|(i, astray)| (i as f64 / 4.0, 100.0 * *astray as f64 / pairs));
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

/// What the plane owes, at each size; in full the charts under `docs/peers` are drawn too.
pub fn prove(short: bool) -> Vec<Claim> {
    let drawn = if short { Ok(()) } else { charts() };
    let at = usize::from(!short);
    let fleets: Vec<Fleets> = SIZES
        .par_iter()
        .filter(|(_, counts)| counts[at].0 > 0)
        .map(|(n, counts)| {
            let (seeds, crashes) = counts[at];
            Fleets::new(*n, seeds, crashes)
        })
        .collect();
    let mut jobs: Vec<Job<'_>> = fleets.iter().flat_map(Fleets::jobs).collect();
    jobs.push(Box::new(move || flat(short)));
    jobs.push(Box::new(move || without(short)));
    // The longest ones come last in the list and first in the run.
    let mut claims: Vec<Vec<Claim>> = jobs.par_iter().rev().with_max_len(1).map(|job| job()).collect();
    claims.reverse();
    if let Err(e) = drawn {
        claims.push(vec![Claim::new("charts", "written to docs/peers", e.to_string(), false)]);
    }
    claims.into_iter().flatten().collect()
}
