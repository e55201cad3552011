//! Whole fleets on a discovery that comes back from an outage, against the schedule before congestion control.

use super::crowd::{Discovery, Figures, Outage, Polls, play};
use super::*;

/// The schedule before congestion control: every answer within 1.1 s, a short poll after each failure and a watch after
/// that, polls by the balancer's pause or every 2.4 s, whichever is sooner.
struct Fixed {
    unheard: bool,
    silent: u32,
    failures: u32,
}

impl Fixed {
    const PATIENCE: Duration = ms(1100);
    const AGAIN: Duration = ms(2400);
    const AT_ONCE: u32 = 3;
}

impl Polls for Fixed {
    fn hold(&self) -> Duration {
        if self.unheard { Duration::ZERO } else { HOLD }
    }

    fn answer_timeout(&self) -> Duration {
        self.hold() + Fixed::PATIENCE
    }

    fn ended(&mut self, outcome: Outcome, took: Duration, random: &mut fastrand::Rng) -> Duration {
        self.unheard = !matches!(outcome, Outcome::Answered { .. });
        match outcome {
            Outcome::Answered { .. } => {
                (self.silent, self.failures) = (0, 0);
                return Duration::ZERO;
            }
            Outcome::Silent { waits: true } => return SPREAD.mul_f64(random.f64()),
            Outcome::Silent { waits: false } if self.silent < Fixed::AT_ONCE => {
                self.silent += 1;
                return SPREAD.mul_f64(random.f64());
            }
            _ => {}
        }
        let balancer = (ms(500) * (1 << self.failures.min(4))).min(ms(5000)).mul_f64(0.5 + random.f64());
        self.failures += 1;
        let again = Fixed::AGAIN.mul_f64(1.0 - (1.0 - random.f64()) / 3.0);
        balancer.min(again - took.min(Fixed::PATIENCE))
    }
}

const SIZES: [usize; 4] = [15, 60, 300, 610];

/// A fifth is taken by other callers: `610 <= 120 * (INTERVAL + 1 s)` holds.
const TERMS: Discovery = Discovery {
    rate: 150,
    queue_limit: ms(1000),
    rejects_at_once: false,
    turning_away_costs: 1.0,
    others: 0.2,
    outage: Outage::TurnedAway(ms(2000)),
    continued_counts: false,
};

fn fixed(size: usize, terms: Discovery, seed: u64) -> Figures {
    play(size, terms, seed, |_| Fixed { unheard: false, silent: 0, failures: 0 })
}

fn learned(size: usize, terms: Discovery, seed: u64) -> Figures {
    play(size, terms, seed, |_| Schedule::new(false).0)
}

/// Outages that refuse or turn away, of a discovery that turns away what waited too long, for which it has worked as for
/// what it serves.
const QUEUES: [Discovery; 2] = [TERMS, Discovery { outage: Outage::Refused, ..TERMS }];

/// The same of one that rejects at once, for a hundredth of the work; while it is down, too.
const REJECTING: [Discovery; 3] = [
    Discovery { rejects_at_once: true, turning_away_costs: 0.01, ..QUEUES[0] },
    Discovery { rejects_at_once: true, turning_away_costs: 0.01, ..QUEUES[1] },
    Discovery {
        rejects_at_once: true,
        turning_away_costs: 0.01,
        outage: Outage::TurnedAway(ms(1)),
        ..TERMS
    },
];

/// Each of them with four draws.
fn draws(all: &[Discovery]) -> impl Iterator<Item = (Discovery, u64)> {
    all.iter().flat_map(|terms| (1..=4).map(|seed| (*terms, seed)))
}

/// Guards against: a fleet that overruns a discovery which has come back and could serve it. Polls given up after 1.1 s
/// and polls of all in half the time that the deadline leaves filled its queue with work for nobody, and most sidecars
/// were without the list for good.
#[test]
fn a_discovery_that_comes_back_gives_every_sidecar_its_list_in_time() {
    for (size, (terms, seed)) in
        SIZES.into_iter().flat_map(|size| draws(&QUEUES).chain(draws(&REJECTING)).map(move |o| (size, o)))
    {
        let figures = learned(size, terms, seed);
        let in_time = figures.in_time >= 1.0 && figures.last.is_some_and(|last| last <= NEWS_DUE);
        assert!(in_time && figures.goodput >= 0.9, "{size} sidecars, seed {seed}: {figures:?}");
    }
}

/// What the one above rests on: that its model shows the collapse which the schedule before it had on the bench.
#[test]
fn the_fixed_schedule_collapses_where_the_fleet_is_large() {
    for (terms, seed) in draws(&QUEUES) {
        let figures = fixed(610, terms, seed);
        assert!(figures.in_time < 0.7 && figures.goodput < 0.6, "seed {seed}: {figures:?}");
        let figures = fixed(60, terms, seed);
        assert!(figures.in_time >= 1.0 && figures.goodput >= 0.9, "seed {seed}: {figures:?}");
    }
}

/// Guards against: a fleet that returns together and fells discovery again. First pauses are drawn over `INTERVAL` (4.5 s)
/// and later polls keep their distance, so 100 ms hold 1/45 of the fleet on average and a second 10/45; twice that where the
/// last first polls meet the first second ones, and five standard deviations.
#[test]
fn a_fleet_does_not_return_together() {
    for (size, (terms, seed)) in SIZES.into_iter().flat_map(|size| draws(&QUEUES).map(move |o| (size, o))) {
        let figures = learned(size, terms, seed);
        let bound = |span: Duration| {
            let mean = 2.0 * size as f64 * span.as_secs_f64() / INTERVAL.as_secs_f64();
            (mean + 5.0 * mean.sqrt()).ceil() as usize + 1
        };
        let most = (figures.most_in_100_ms, figures.most_in_a_second);
        assert!(most.0 <= bound(ms(100)) && most.1 <= bound(ms(1000)), "{size}, seed {seed}: {most:?}");
    }
}
