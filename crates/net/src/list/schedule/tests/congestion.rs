//! Whole fleets at a discovery that recovers from an outage, with the adaptive schedule and with
//! the one before congestion control.

use super::simulation::{DiscoveryModel, Outage, PollSchedule, SimulationResults, simulate};
use super::*;

/// The schedule before congestion control: every answer within 1.1 s, a short poll after each
/// failure and a watch after that, and polls after the balancer's backoff or every 2.4 s, whichever
/// is sooner.
struct FixedSchedule {
    no_sign_of_life: bool,
    silent_polls: u32,
    failures: u32,
}

impl FixedSchedule {
    const ANSWER_TIMEOUT: Duration = ms(1100);
    const INTERVAL_MAX: Duration = ms(2400);
    const MAX_IMMEDIATE_RETRIES: u32 = 3;
}

impl PollSchedule for FixedSchedule {
    fn hold_time(&self) -> Duration {
        if self.no_sign_of_life { Duration::ZERO } else { HOLD_TIME }
    }

    fn answer_timeout(&self) -> Duration {
        self.hold_time() + FixedSchedule::ANSWER_TIMEOUT
    }

    fn poll_ended(&mut self, outcome: PollOutcome, took: Duration, random: &mut fastrand::Rng) -> Duration {
        self.no_sign_of_life = !matches!(outcome, PollOutcome::Answered { .. });
        match outcome {
            PollOutcome::Answered { .. } => {
                (self.silent_polls, self.failures) = (0, 0);
                return Duration::ZERO;
            }
            PollOutcome::Silent { waits: true } => return SILENCE_JITTER.mul_f64(random.f64()),
            PollOutcome::Silent { waits: false }
                if self.silent_polls < FixedSchedule::MAX_IMMEDIATE_RETRIES =>
            {
                self.silent_polls += 1;
                return SILENCE_JITTER.mul_f64(random.f64());
            }
            _ => {}
        }
        let balancer = (ms(500) * (1 << self.failures.min(4))).min(ms(5000)).mul_f64(0.5 + random.f64());
        self.failures += 1;
        let interval = FixedSchedule::INTERVAL_MAX.mul_f64(1.0 - (1.0 - random.f64()) / 3.0);
        balancer.min(interval - took.min(FixedSchedule::ANSWER_TIMEOUT))
    }
}

const SIZES: [usize; 4] = [15, 60, 300, 610];

/// A fifth of the rate is taken by other clients: `610 <= 120 * (RETRY_INTERVAL + 1 s)` holds.
const BASE_MODEL: DiscoveryModel = DiscoveryModel {
    rate: 150,
    queue_limit: ms(1000),
    rejects_on_arrival: false,
    rejection_cost: 1.0,
    other_load: 0.2,
    outage: Outage::TurnedAway(ms(2000)),
    continued_counts: false,
};

fn simulate_fixed(size: usize, model: DiscoveryModel, seed: u64) -> SimulationResults {
    simulate(size, model, seed, |_| FixedSchedule { no_sign_of_life: false, silent_polls: 0, failures: 0 })
}

fn simulate_adaptive(size: usize, model: DiscoveryModel, seed: u64) -> SimulationResults {
    simulate(size, model, seed, |_| Schedule::new(false).0)
}

/// Outages that refuse connections or reject polls, of a discovery that rejects polls which waited
/// too long and spends as much work on them as on those it serves.
const QUEUEING_MODELS: [DiscoveryModel; 2] =
    [BASE_MODEL, DiscoveryModel { outage: Outage::Refused, ..BASE_MODEL }];

/// The same of a discovery that rejects at once, for a hundredth of the work; in the third case
/// during the outage, too.
const REJECTING_MODELS: [DiscoveryModel; 3] = [
    DiscoveryModel { rejects_on_arrival: true, rejection_cost: 0.01, ..QUEUEING_MODELS[0] },
    DiscoveryModel { rejects_on_arrival: true, rejection_cost: 0.01, ..QUEUEING_MODELS[1] },
    DiscoveryModel {
        rejects_on_arrival: true,
        rejection_cost: 0.01,
        outage: Outage::TurnedAway(ms(1)),
        ..BASE_MODEL
    },
];

/// Each of the models with four seeds.
fn with_seeds(all: &[DiscoveryModel]) -> impl Iterator<Item = (DiscoveryModel, u64)> {
    all.iter().flat_map(|model| (1..=4).map(|seed| (*model, seed)))
}

/// Guards against a fleet that overloads a discovery which has recovered and could serve it. Polls
/// that timed out after 1.1 s, and polls of all sidecars in half the time that the deadline leaves,
/// filled its queue with work for nobody, and most sidecars never got the list.
#[test]
fn every_sidecar_gets_its_list_in_time_after_recovery() {
    for (size, (model, seed)) in SIZES.into_iter().flat_map(|size| {
        with_seeds(&QUEUEING_MODELS).chain(with_seeds(&REJECTING_MODELS)).map(move |o| (size, o))
    }) {
        let results = simulate_adaptive(size, model, seed);
        let in_time = results.in_time >= 1.0 && results.last.is_some_and(|last| last <= UPDATE_DEADLINE);
        assert!(in_time && results.goodput >= 0.9, "{size} sidecars, seed {seed}: {results:?}");
    }
}

/// Checks the model that the test above depends on: it shows the collapse that the earlier schedule
/// had on the test bench.
#[test]
fn fixed_schedule_collapses_with_large_fleet() {
    for (model, seed) in with_seeds(&QUEUEING_MODELS) {
        let results = simulate_fixed(610, model, seed);
        assert!(results.in_time < 0.7 && results.goodput < 0.6, "seed {seed}: {results:?}");
        let results = simulate_fixed(60, model, seed);
        assert!(results.in_time >= 1.0 && results.goodput >= 0.9, "seed {seed}: {results:?}");
    }
}

/// Guards against a fleet that returns together and brings discovery down again. First delays are
/// spread over `RETRY_INTERVAL` (4.5 s) and later polls keep their distance, so 100 ms contain 1/45
/// of the fleet on average and a second 10/45. The bound is twice that, where the last first polls
/// meet the first second ones, and five standard deviations.
#[test]
fn polls_of_fleet_are_spread_after_recovery() {
    for (size, (model, seed)) in
        SIZES.into_iter().flat_map(|size| with_seeds(&QUEUEING_MODELS).map(move |o| (size, o)))
    {
        let results = simulate_adaptive(size, model, seed);
        let bound = |span: Duration| {
            let mean = 2.0 * size as f64 * span.as_secs_f64() / RETRY_INTERVAL.as_secs_f64();
            (mean + 5.0 * mean.sqrt()).ceil() as usize + 1
        };
        let most = (results.most_in_100_ms, results.most_in_a_second);
        assert!(most.0 <= bound(ms(100)) && most.1 <= bound(ms(1000)), "{size}, seed {seed}: {most:?}");
    }
}
