//! A lock with a rank. Who holds one may only take locks of higher ranks: so no two threads can wait for each other.
//! Debug builds check it at each taking and panic with both names; release builds check nothing.

use parking_lot::{Mutex, MutexGuard};
use std::ops::{Deref, DerefMut};

#[cfg(debug_assertions)]
thread_local! {
    /// The ranks that this thread holds, in the order of their taking, which is that of the ranks.
    static HELD: std::cell::RefCell<Vec<Rank>> = const { std::cell::RefCell::new(Vec::new()) };
}

/// A place in the order of locks. All ranks stand in `tables.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Higher ranks are taken later.
    pub order: u8,
    /// What the lock guards.
    pub name: &'static str,
}

/// A value under a lock with a rank.
#[derive(Debug)]
pub struct Ranked<T> {
    #[cfg_attr(not(debug_assertions), expect(dead_code, reason = "only debug builds check it"))]
    rank: Rank,
    value: Mutex<T>,
}

/// The value, for as long as the lock is held.
pub struct Held<'a, T> {
    value: MutexGuard<'a, T>,
    #[cfg(debug_assertions)]
    rank: Rank,
}

impl<T> Ranked<T> {
    /// A value under a lock of that rank.
    pub fn new(rank: Rank, value: T) -> Ranked<T> {
        Ranked { rank, value: Mutex::new(value) }
    }

    /// Takes the lock and waits for it where another thread holds it.
    ///
    /// # Panics
    /// In debug builds, where this thread holds a lock whose rank is not lower: a fault of the program.
    pub fn lock(&self) -> Held<'_, T> {
        #[cfg(debug_assertions)]
        HELD.with_borrow_mut(|held| {
            if let Some(last) = held.last().filter(|last| last.order >= self.rank.order) {
                panic!("the lock of {} is taken under that of {}", self.rank.name, last.name);
            }
            held.push(self.rank);
        });
        Held {
            value: self.value.lock(),
            #[cfg(debug_assertions)]
            rank: self.rank,
        }
    }
}

/// Panics in debug builds where this thread holds a lock: called before I/O.
pub fn assert_none_held() {
    #[cfg(debug_assertions)]
    HELD.with_borrow(|held| {
        if let Some(last) = held.last() {
            panic!("the lock of {} is held over I/O", last.name);
        }
    });
}

impl<T> Deref for Held<'_, T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> DerefMut for Held<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.value
    }
}

#[cfg(debug_assertions)]
impl<T> Drop for Held<'_, T> {
    fn drop(&mut self) {
        // Locks may be let go in any order.
        HELD.with_borrow_mut(|held| held.retain(|rank| rank.order != self.rank.order));
    }
}

#[cfg(all(test, debug_assertions))]
mod tests {
    use super::*;
    use std::panic::{AssertUnwindSafe, catch_unwind};

    const LOW: Rank = Rank { order: 1, name: "low" };
    const HIGH: Rank = Rank { order: 2, name: "high" };

    /// Guards against: two threads that each wait for the other's lock, which no test would meet but by luck.
    #[test]
    fn a_lock_is_taken_only_under_lower_ones() {
        let (low, high) = (Ranked::new(LOW, 1), Ranked::new(HIGH, 2));
        let said = |take: &dyn Fn()| {
            let panic = catch_unwind(AssertUnwindSafe(take)).expect_err("out of order");
            *panic.downcast::<String>().expect("a text")
        };
        let under_high = high.lock();
        assert_eq!(said(&|| drop(low.lock())), "the lock of low is taken under that of high");
        assert_eq!(said(&|| drop(high.lock())), "the lock of high is taken under that of high");
        assert_eq!(said(&assert_none_held), "the lock of high is held over I/O");
        drop(under_high);
        assert_none_held();
        // In order, and let go in either order; a panic under locks lets go of them too.
        let (under_low, under_high) = (low.lock(), high.lock());
        assert_eq!(*under_low + *under_high, 3);
        drop(under_low);
        drop(under_high);
        let fell = catch_unwind(AssertUnwindSafe(|| {
            let _low = low.lock();
            panic!("under a lock");
        }));
        assert!(fell.is_err());
        *low.lock() += 1;
        assert_eq!(*low.lock(), 2);
    }
}
