//! The tables shared by the workers. **The order of their locks**, from the first locked to the
//! last:
//!
//! | rank | table | content |
//! | --- | --- | --- |
//! | 1 | members | the state machine of `cottonpoint-peers` |
//! | 2 | throughput | (planned) the throughput of each endpoint |
//! | 3 | pressure | (planned) the load of the cluster |
//! | 4 | plans | (planned) the plan table |
//! | 5 | memory | (planned) state to be persisted |
//!
//! A thread that holds one of these locks may lock only those below it in the table
//! ([`RankedMutex`] checks this in debug builds), and holds none during I/O: packets to send are
//! collected under the lock and sent after it.
//!
//! Each table is changed under its lock and published as a whole snapshot **before the lock is
//! released**. So snapshots are published in the order of the changes, a reader never sees a table
//! go back, and of two workers the later one's snapshot remains. Readers take no lock.
//! `tests/loom.rs` runs this code under all thread interleavings, with loom's lock and, instead of
//! `arc-swap`, a cell that replaces the whole value atomically; that `arc-swap` does the same is
//! assumed.

use crate::lock::{Rank, RankedMutex};
use arc_swap::ArcSwap;
use std::sync::Arc;

/// The rank of the member table's lock, the first in the order.
pub const MEMBERS: Rank = Rank { order: 1, name: "members" };

/// A lock around a value.
pub trait StateLock<T> {
    /// Calls `f` with the value while holding the lock.
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R;
}

/// A cell for the latest snapshot, which is replaced atomically.
pub trait SnapshotCell<S> {
    /// Replaces the snapshot.
    fn publish(&self, snapshot: Arc<S>);
    /// The latest snapshot.
    fn latest(&self) -> Arc<S>;
}

impl<T> StateLock<T> for RankedMutex<T> {
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.lock())
    }
}

impl<S> SnapshotCell<S> for ArcSwap<S> {
    fn publish(&self, snapshot: Arc<S>) {
        self.store(snapshot);
    }

    fn latest(&self) -> Arc<S> {
        self.load_full()
    }
}

/// A table: its state under a lock, and the latest snapshot for readers.
#[derive(Debug)]
pub struct Table<L, C> {
    lock: L,
    cell: C,
}

impl<L, C> Table<L, C> {
    /// Creates a table from its locked state and a cell with its first snapshot.
    pub fn new(lock: L, cell: C) -> Table<L, C> {
        Table { lock, cell }
    }

    /// Changes the state. The snapshot returned by `f`, if any, is published before the lock is
    /// released.
    pub fn change<T, S, R>(&self, f: impl FnOnce(&mut T) -> (R, Option<S>)) -> R
    where
        L: StateLock<T>,
        C: SnapshotCell<S>,
    {
        self.lock.with(|state| {
            let (result, snapshot) = f(state);
            if let Some(snapshot) = snapshot {
                self.cell.publish(Arc::new(snapshot));
            }
            result
        })
    }

    /// The latest snapshot, read without a lock.
    pub fn read<S>(&self) -> Arc<S>
    where
        C: SnapshotCell<S>,
    {
        self.cell.latest()
    }
}
