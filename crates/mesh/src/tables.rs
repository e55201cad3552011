//! The tables that workers share. **The order of their locks**, from the first taken to the last:
//!
//! | rank | table | what it holds |
//! | --- | --- | --- |
//! | 1 | members | the plane of `cottonpoint-peers` |
//! | 2 | throughput | (to come) what each target gets done |
//! | 3 | pressure | (to come) how loaded the cluster is |
//! | 4 | plans | (to come) the plan table |
//! | 5 | memory | (to come) what is to be kept on disk |
//!
//! A thread that holds one may take those below it only ([`Ranked`] sees to that in debug builds), and none is held
//! over I/O: what is to be sent is gathered under the lock and sent after it.
//!
//! Each table is changed under its lock and published as a whole snapshot **before the lock is let go of**: so
//! snapshots come out in the order of the changes, a reader never sees one go back, and of two workers the later one's
//! stays. Readers take no lock. `tests/loom.rs` runs this very code through all interleavings, with loom's lock, and
//! for `arc-swap` a cell that swaps whole values in one step; that `arc-swap` does so is taken on trust.

use crate::lock::{Rank, Ranked};
use arc_swap::ArcSwap;
use std::sync::Arc;

/// The members' table: the first in the order.
pub const MEMBERS: Rank = Rank { order: 1, name: "members" };

/// A lock around a value.
pub trait Guard<T> {
    /// Runs `f` on the value under the lock.
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R;
}

/// A place for the newest snapshot, swapped whole.
pub trait Board<S> {
    /// Puts a snapshot in the place of the last one.
    fn put(&self, snapshot: Arc<S>);
    /// The newest snapshot.
    fn get(&self) -> Arc<S>;
}

impl<T> Guard<T> for Ranked<T> {
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.lock())
    }
}

impl<S> Board<S> for ArcSwap<S> {
    fn put(&self, snapshot: Arc<S>) {
        self.store(snapshot);
    }

    fn get(&self) -> Arc<S> {
        self.load_full()
    }
}

/// A table: its state under a lock, and the newest snapshot for whoever reads.
#[derive(Debug)]
pub struct Table<G, B> {
    guard: G,
    board: B,
}

impl<G, B> Table<G, B> {
    /// A table whose first snapshot is on the board already.
    pub fn new(guard: G, board: B) -> Table<G, B> {
        Table { guard, board }
    }

    /// Changes the state; the snapshot that `f` gives, if any, is published under the same lock.
    pub fn change<T, S, R>(&self, f: impl FnOnce(&mut T) -> (R, Option<S>)) -> R
    where
        G: Guard<T>,
        B: Board<S>,
    {
        self.guard.with(|state| {
            let (result, snapshot) = f(state);
            if let Some(snapshot) = snapshot {
                self.board.put(Arc::new(snapshot));
            }
            result
        })
    }

    /// The newest snapshot, without a lock.
    pub fn read<S>(&self) -> Arc<S>
    where
        B: Board<S>,
    {
        self.board.get()
    }
}
