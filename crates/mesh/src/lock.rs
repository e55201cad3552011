//! A mutex with a rank. A thread that holds one may lock only mutexes of higher ranks, so deadlocks
//! are impossible. Debug builds check this on every lock and panic with both names; release builds
//! check nothing.

use parking_lot::{Mutex, MutexGuard};
use std::ops::{Deref, DerefMut};

#[cfg(debug_assertions)]
thread_local! {
    /// The ranks held by this thread, in the order of locking, which is ascending.
    static HELD_RANKS: std::cell::RefCell<Vec<Rank>> = const { std::cell::RefCell::new(Vec::new()) };
}

/// A position in the lock order. All ranks are defined in `tables.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Higher ranks are locked later.
    pub order: u8,
    /// What the lock guards.
    pub name: &'static str,
}

/// A value protected by a mutex with a rank.
#[derive(Debug)]
pub struct RankedMutex<T> {
    #[cfg_attr(not(debug_assertions), expect(dead_code, reason = "only debug builds check it"))]
    rank: Rank,
    value: Mutex<T>,
}

/// The guard of a locked mutex, which gives access to its value.
pub struct RankedMutexGuard<'a, T> {
    value: MutexGuard<'a, T>,
    #[cfg(debug_assertions)]
    rank: Rank,
}

impl<T> RankedMutex<T> {
    /// Creates a mutex of that rank.
    pub fn new(rank: Rank, value: T) -> RankedMutex<T> {
        RankedMutex { rank, value: Mutex::new(value) }
    }

    /// Locks the mutex; blocks while another thread holds it.
    ///
    /// # Panics
    /// In debug builds, if this thread holds a lock whose rank is not lower, which is a bug.
    pub fn lock(&self) -> RankedMutexGuard<'_, T> {
        #[cfg(debug_assertions)]
        HELD_RANKS.with_borrow_mut(|held| {
            if let Some(last) = held.last().filter(|last| last.order >= self.rank.order) {
                panic!("lock order violation: {} locked while holding {}", self.rank.name, last.name);
            }
            held.push(self.rank);
        });
        RankedMutexGuard {
            value: self.value.lock(),
            #[cfg(debug_assertions)]
            rank: self.rank,
        }
    }
}

/// Panics in debug builds if this thread holds a lock; called before I/O.
pub fn assert_none_held() {
    #[cfg(debug_assertions)]
    HELD_RANKS.with_borrow(|held| {
        if let Some(last) = held.last() {
            panic!("lock {} is held during I/O", last.name);
        }
    });
}

impl<T> Deref for RankedMutexGuard<'_, T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> DerefMut for RankedMutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.value
    }
}

#[cfg(debug_assertions)]
impl<T> Drop for RankedMutexGuard<'_, T> {
    fn drop(&mut self) {
        // Locks may be released in any order.
        HELD_RANKS.with_borrow_mut(|held| held.retain(|rank| rank.order != self.rank.order));
    }
}

#[cfg(all(test, debug_assertions))]
mod tests {
    use super::*;
    use std::panic::{AssertUnwindSafe, catch_unwind};

    const LOW: Rank = Rank { order: 1, name: "low" };
    const HIGH: Rank = Rank { order: 2, name: "high" };

    /// Guards against deadlocks between two threads that wait for each other's lock, which tests
    /// would hit only by luck.
    #[test]
    fn locks_are_taken_in_rank_order_only() {
        let (low, high) = (RankedMutex::new(LOW, 1), RankedMutex::new(HIGH, 2));
        let panic_message = |take: &dyn Fn()| {
            let panic = catch_unwind(AssertUnwindSafe(take)).expect_err("a lock order violation");
            *panic.downcast::<String>().expect("a string")
        };
        let under_high = high.lock();
        assert_eq!(
            panic_message(&|| drop(low.lock())),
            "lock order violation: low locked while holding high"
        );
        assert_eq!(
            panic_message(&|| drop(high.lock())),
            "lock order violation: high locked while holding high"
        );
        assert_eq!(panic_message(&assert_none_held), "lock high is held during I/O");
        drop(under_high);
        assert_none_held();
        // Locks taken in order may be released in either order; a panic releases them, too.
        let (under_low, under_high) = (low.lock(), high.lock());
        assert_eq!(*under_low + *under_high, 3);
        drop(under_low);
        drop(under_high);
        let result = catch_unwind(AssertUnwindSafe(|| {
            let _low = low.lock();
            panic!("under a lock");
        }));
        assert!(result.is_err());
        *low.lock() += 1;
        assert_eq!(*low.lock(), 2);
    }
}
