//! Random draws. Each purpose has a stream of its own, so that two policies meet the very same day: what a
//! request needs depends on the seed and its number, never on what a policy did before.

use crate::scenario::{Law, Lengths, Span};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Normal, Pareto};
use rand_xoshiro::Xoshiro256PlusPlus;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a stream of draws is for.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// The fleet and its machines.
    Fleet = 1,
    /// Arrivals of clients.
    Arrivals,
    /// What one request is: its class, tenant, work, patience.
    Request,
    /// What one attempt needs at a server.
    Attempt,
    /// Delays on the network, and which sidecar a client meets.
    Network,
    /// Delays of discovery.
    Discovery,
    /// Noise of load reports.
    Reports,
    /// The timeline of troubles.
    Troubles,
    /// A sidecar's own seed.
    Sidecar,
    /// Resampling of results.
    Bootstrap,
}

/// A stream of draws. The generator (xoshiro256++) and the laws give the same figures on every machine.
#[derive(Clone, Debug)]
pub struct Draw(Xoshiro256PlusPlus);

impl Draw {
    /// The stream of a seed for a purpose; `index` names one of many such.
    pub fn new(seed: u64, purpose: Purpose, index: u64) -> Draw {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&(purpose as u64).to_le_bytes());
        key[8..].copy_from_slice(&index.to_le_bytes());
        Draw(Xoshiro256PlusPlus::seed_from_u64(xxh3_64_with_seed(&key, seed)))
    }

    /// Evenly from 0 (included) to 1.
    pub fn share(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// A whole number below `n`, which must be above 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.share() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// 64 even bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Evenly from a span.
    pub fn span(&mut self, span: Span) -> f64 {
        span.at(self.share())
    }

    /// Evenly from a span of lengths, in nanoseconds.
    pub fn length(&mut self, span: Lengths) -> u64 {
        span.at(self.share())
    }

    /// Exponential with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        Exp::new(1.0).map_or(mean, |law| law.sample(&mut self.0) * mean)
    }

    /// Normal around 1, cut off at a tenth.
    pub fn around_one(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        Normal::new(1.0, cv).map_or(1.0, |law: Normal<f64>| law.sample(&mut self.0).max(0.1))
    }

    /// From a law of mean 1 with a coefficient of variation. A Pareto law of that coefficient has the shape
    /// 1 + sqrt(1 + 1 / cv^2).
    pub fn law(&mut self, law: Law, cv: f64) -> f64 {
        match law {
            Law::Fixed => 1.0,
            Law::Exponential => self.exponential(1.0),
            Law::Lognormal if cv <= 0.0 => 1.0,
            Law::Lognormal => {
                let variance = libm::log(1.0 + cv * cv);
                let law = LogNormal::new(-variance / 2.0, libm::sqrt(variance));
                law.map_or(1.0, |law| law.sample(&mut self.0))
            }
            Law::Pareto => {
                let shape = 1.0 + libm::sqrt(1.0 + 1.0 / (cv * cv));
                let law = Pareto::new((shape - 1.0) / shape, shape);
                law.map_or(1.0, |law| law.sample(&mut self.0))
            }
        }
    }
}
