//! Model-checks publishing and reading a table under all thread interleavings. The code under test
//! is the production code; its lock is loom's, and the snapshot is held by a cell that replaces the
//! whole value atomically, as `arc-swap` is trusted to do.
#![allow(missing_docs)]

use cottonpoint_mesh::tables::{SnapshotCell, StateLock, Table};
use loom::sync::Mutex;
use std::sync::Arc;

struct Lock(Mutex<u64>);

impl StateLock<u64> for Lock {
    fn with<R>(&self, f: impl FnOnce(&mut u64) -> R) -> R {
        f(&mut self.0.lock().expect("no thread panics"))
    }
}

/// A version, and the content of its snapshot: twice the version.
type Snapshot = (u64, u64);

struct Cell(Mutex<Arc<Snapshot>>);

impl SnapshotCell<Snapshot> for Cell {
    fn publish(&self, snapshot: Arc<Snapshot>) {
        *self.0.lock().expect("no thread panics") = snapshot;
    }

    fn latest(&self) -> Arc<Snapshot> {
        self.0.lock().expect("no thread panics").clone()
    }
}

type ModelTable = Table<Lock, Cell>;

fn next(version: &mut u64) -> Snapshot {
    *version += 1;
    (*version, *version * 2)
}

/// What the production code does.
fn publish_under_lock(table: &ModelTable) {
    table.change(|version: &mut u64| ((), Some(next(version))));
}

/// What it must not do: the snapshot is created under the lock and published after its release.
fn publish_after_release(table: &ModelTable) {
    let snapshot = table.change(|version: &mut u64| (next(version), None::<Snapshot>));
    table.change(|_: &mut u64| ((), Some(snapshot)));
}

/// Two workers that change the table, and a reader that reads twice.
fn model(publish: fn(&ModelTable)) {
    loom::model(move || {
        let cell = Cell(Mutex::new(Arc::new((0, 0))));
        let table = Arc::new(Table::new(Lock(Mutex::new(0)), cell));
        let workers: Vec<_> = (0..2)
            .map(|_| {
                let table = table.clone();
                loom::thread::spawn(move || publish(&table))
            })
            .collect();
        let seen: [Arc<Snapshot>; 2] = [table.read(), table.read()];
        assert!(seen[0].0 <= seen[1].0, "a reader saw version {} after {}", seen[1].0, seen[0].0);
        assert!(seen.iter().all(|snapshot| snapshot.1 == snapshot.0 * 2), "a torn snapshot");
        for worker in workers {
            worker.join().expect("the worker ends");
        }
        assert_eq!(table.read::<Snapshot>().0, 2, "the latest snapshot was lost");
    });
}

/// Guards against a reader that sees a table go back or a torn snapshot, and against an older
/// snapshot that stays published.
#[test]
fn readers_see_whole_snapshots_in_order_and_the_latest_remains() {
    model(publish_under_lock);
}

/// Guards against a model that would not detect snapshots published after the lock is released.
#[test]
#[should_panic(expected = "the latest snapshot was lost")]
fn model_detects_a_snapshot_published_after_release() {
    model(publish_after_release);
}
