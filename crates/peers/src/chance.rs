//! Randomness that is part of the state: a key and a count of draws. A generator is made from both for each draw,
//! so that two equal states go on alike, and states can be told apart by hash.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Chance {
    key: u64,
    draws: u64,
}

impl Chance {
    /// The seed goes through a generator of its own: neighbouring seeds must not share draws.
    pub(crate) fn new(seed: u64) -> Chance {
        Chance { key: Xoshiro256PlusPlus::seed_from_u64(seed).next_u64(), draws: 0 }
    }

    fn generator(&mut self) -> Xoshiro256PlusPlus {
        self.draws = self.draws.wrapping_add(1);
        Xoshiro256PlusPlus::seed_from_u64(self.key.wrapping_add(self.draws))
    }

    /// A number that nobody foresees, to know an answer by.
    pub(crate) fn number(&mut self) -> u32 {
        self.generator().next_u32()
    }

    /// One of `0..below`; 0 if that is empty.
    pub(crate) fn below(&mut self, below: usize) -> usize {
        if below < 2 { 0 } else { self.generator().random_range(0..below) }
    }

    pub(crate) fn shuffle<X>(&mut self, all: &mut [X]) {
        if all.len() > 1 {
            all.shuffle(&mut self.generator());
        }
    }

    /// One of them, drawn evenly.
    pub(crate) fn one_of<X>(&mut self, all: &[X]) -> Option<X>
    where
        X: Copy,
    {
        if all.is_empty() { None } else { Some(all[self.below(all.len())]) }
    }
}
