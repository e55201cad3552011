//! Random draws. Each purpose has a stream of its own, so that two policies meet the same run: what
//! a request needs depends on the seed and its number, never on what a policy did before.

use crate::scenario::{DurationRange, ValueRange, WorkDistribution};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Normal, Pareto};
use rand_xoshiro::Xoshiro256PlusPlus;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The purpose of a stream of draws.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// The fleet and its machines.
    Fleet = 1,
    /// Arrivals of clients.
    Arrivals,
    /// The properties of one request: its class, tenant, work and timeout.
    Request,
    /// The work of one attempt at an endpoint.
    Attempt,
    /// Network delays, and which sidecar a client sends to.
    Network,
    /// Delays of discovery.
    Discovery,
    /// Noise of load reports.
    Reports,
    /// The times and affected parts of troubles.
    Troubles,
    /// A sidecar's own seed.
    Sidecar,
    /// Resampling of results.
    Bootstrap,
}

/// A stream of draws. The generator (xoshiro256++) and the distributions give the same numbers on
/// every machine.
#[derive(Clone, Debug)]
pub struct RandomStream(Xoshiro256PlusPlus);

impl RandomStream {
    /// The stream of a seed for a purpose; `index` selects one of many.
    pub fn new(seed: u64, purpose: Purpose, index: u64) -> RandomStream {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&(purpose as u64).to_le_bytes());
        key[8..].copy_from_slice(&index.to_le_bytes());
        RandomStream(Xoshiro256PlusPlus::seed_from_u64(xxh3_64_with_seed(&key, seed)))
    }

    /// Uniform from 0 (included) to 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// A uniform whole number below `n`, which must be above 0.
    pub fn index_below(&mut self, n: usize) -> usize {
        ((self.uniform() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// 64 uniform bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Uniform from a range.
    pub fn value_in(&mut self, span: ValueRange) -> f64 {
        span.at(self.uniform())
    }

    /// Uniform from a range of durations, in nanoseconds.
    pub fn duration_in(&mut self, span: DurationRange) -> u64 {
        span.at(self.uniform())
    }

    /// Exponential with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        Exp::new(1.0).map_or(mean, |distribution| distribution.sample(&mut self.0) * mean)
    }

    /// Normal around 1, with a minimum of 0.1.
    pub fn around_one(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        Normal::new(1.0, cv)
            .map_or(1.0, |distribution: Normal<f64>| distribution.sample(&mut self.0).max(0.1))
    }

    /// From a distribution of mean 1 with a coefficient of variation. The Pareto distribution with
    /// coefficient `cv` has the shape 1 + sqrt(1 + 1 / cv^2).
    pub fn mean_one(&mut self, distribution: WorkDistribution, cv: f64) -> f64 {
        match distribution {
            WorkDistribution::Fixed => 1.0,
            WorkDistribution::Exponential => self.exponential(1.0),
            WorkDistribution::Lognormal if cv <= 0.0 => 1.0,
            WorkDistribution::Lognormal => {
                let variance = libm::log(1.0 + cv * cv);
                let distribution = LogNormal::new(-variance / 2.0, libm::sqrt(variance));
                distribution.map_or(1.0, |distribution| distribution.sample(&mut self.0))
            }
            WorkDistribution::Pareto => {
                let shape = 1.0 + libm::sqrt(1.0 + 1.0 / (cv * cv));
                let distribution = Pareto::new((shape - 1.0) / shape, shape);
                distribution.map_or(1.0, |distribution| distribution.sample(&mut self.0))
            }
        }
    }
}
