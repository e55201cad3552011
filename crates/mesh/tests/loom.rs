//! Publish and read of a table, through all interleavings. The code under test is that of the program; its lock is
//! loom's, and the place of the snapshot is a cell that swaps whole values in one step, as `arc-swap` is trusted to do.
#![allow(missing_docs)]

use cottonpoint_mesh::tables::{Board, Guard, Table};
use loom::sync::Mutex;
use std::sync::Arc;

struct Lock(Mutex<u64>);

impl Guard<u64> for Lock {
    fn with<R>(&self, f: impl FnOnce(&mut u64) -> R) -> R {
        f(&mut self.0.lock().expect("nobody falls"))
    }
}

/// A version, and what the snapshot says under it: twice the version.
type Snapshot = (u64, u64);

struct Cell(Mutex<Arc<Snapshot>>);

impl Board<Snapshot> for Cell {
    fn put(&self, snapshot: Arc<Snapshot>) {
        *self.0.lock().expect("nobody falls") = snapshot;
    }

    fn get(&self) -> Arc<Snapshot> {
        self.0.lock().expect("nobody falls").clone()
    }
}

type Modelled = Table<Lock, Cell>;

fn next(version: &mut u64) -> Snapshot {
    *version += 1;
    (*version, *version * 2)
}

/// As the program does it.
fn under_the_lock(table: &Modelled) {
    table.change(|version: &mut u64| ((), Some(next(version))));
}

/// As it must not be done: the snapshot is made under the lock, and published after it.
fn after_the_lock(table: &Modelled) {
    let snapshot = table.change(|version: &mut u64| (next(version), None::<Snapshot>));
    table.change(|_: &mut u64| ((), Some(snapshot)));
}

/// Two workers that change the table, and a reader that looks twice.
fn model(publish: fn(&Modelled)) {
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
        assert!(seen[0].0 <= seen[1].0, "a reader saw {} after {}", seen[1].0, seen[0].0);
        assert!(seen.iter().all(|snapshot| snapshot.1 == snapshot.0 * 2), "a snapshot that is not whole");
        for worker in workers {
            worker.join().expect("it ends");
        }
        assert_eq!(table.read::<Snapshot>().0, 2, "the newest was lost");
    });
}

/// Guards against: a reader that sees a table go back, half a snapshot, or an older one that stays.
#[test]
fn readers_see_whole_snapshots_in_order_and_the_newest_stays() {
    model(under_the_lock);
}

/// Guards against: a model that would not notice if snapshots were published after the lock was let go of.
#[test]
#[should_panic(expected = "the newest was lost")]
fn the_model_notices_a_snapshot_published_after_the_lock() {
    model(after_the_lock);
}
