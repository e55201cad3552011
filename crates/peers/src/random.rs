//! Pseudo-random numbers as part of the state: a key and a count of draws. Each draw builds a
//! generator from both, so that equal states continue alike and states can be compared by hash.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random {
    key: u64,
    draws: u64,
}

impl Random {
    /// The seed passes through a generator first, so that neighbouring seeds don't produce
    /// overlapping draws.
    pub(crate) fn new(seed: u64) -> Random {
        Random { key: Xoshiro256PlusPlus::seed_from_u64(seed).next_u64(), draws: 0 }
    }

    fn generator(&mut self) -> Xoshiro256PlusPlus {
        self.draws = self.draws.wrapping_add(1);
        Xoshiro256PlusPlus::seed_from_u64(self.key.wrapping_add(self.draws))
    }

    /// An unpredictable number by which an answer is matched to its request.
    pub(crate) fn nonce(&mut self) -> u32 {
        self.generator().next_u32()
    }

    /// A number in `0..bound`, or 0 if that range is empty.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        if bound < 2 { 0 } else { self.generator().random_range(0..bound) }
    }

    pub(crate) fn shuffle<X>(&mut self, all: &mut [X]) {
        if all.len() > 1 {
            all.shuffle(&mut self.generator());
        }
    }

    /// A uniformly drawn element.
    pub(crate) fn choose<X>(&mut self, all: &[X]) -> Option<X>
    where
        X: Copy,
    {
        if all.is_empty() { None } else { Some(all[self.below(all.len())]) }
    }
}
