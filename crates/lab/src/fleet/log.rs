//! The recorded changes of what members hold of each other.

use cottonpoint_peers::{MemberState, PartitionStatus};

/// What one member holds of another; a state of `None` means that it does not know the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The membership state.
    pub state: Option<MemberState>,
    /// Its incarnation.
    pub incarnation: u64,
    /// The boot id of its process.
    pub boot: u64,
}

impl MemberView {
    /// Whether the member is held as reachable or suspected.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, Some(MemberState::Reachable | MemberState::Suspected))
    }

    /// Whether the member is held as dead: last known, without having left.
    pub fn is_dead(&self) -> bool {
        self.state == Some(MemberState::Dead)
    }
}

/// A change of what one member holds of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// Time of the change, in nanoseconds of the simulation.
    pub at: u64,
    /// The member that holds it.
    pub observer: usize,
    /// The member that it is about.
    pub subject: usize,
    /// What was held before.
    pub before: MemberView,
    /// What is held since.
    pub after: MemberView,
}

/// All changes recorded while views were recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Changes, in order of time.
    pub changes: Vec<ViewChange>,
    /// Changes of partition status: time, member, new status.
    pub partitions: Vec<(u64, usize, PartitionStatus)>,
}

/// An interval in which one member held another as dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadInterval {
    /// The member that held it.
    pub observer: usize,
    /// The member that it was about.
    pub subject: usize,
    /// Its start, in nanoseconds.
    pub from: u64,
    /// Its end, in nanoseconds.
    pub to: u64,
}

impl Log {
    /// The time of the last change from `from` on that satisfies the predicate; `from` itself if
    /// there is none.
    pub fn last_change(&self, from: u64, predicate: impl Fn(&ViewChange) -> bool) -> u64 {
        let late = self.changes.iter().rev().take_while(|change| change.at >= from);
        late.filter(|change| predicate(change)).map(|change| change.at).next().unwrap_or(from)
    }

    /// All intervals up to `end` in which one member held another as dead. An interval whose start
    /// was not recorded begins with the first recorded change.
    pub fn dead_intervals(&self, end: u64) -> Vec<DeadInterval> {
        let (mut open, mut all) = (rustc_hash::FxHashMap::default(), Vec::new());
        for change in &self.changes {
            let pair = (change.observer, change.subject);
            if change.after.is_dead() {
                open.entry(pair).or_insert(change.at);
            } else if let Some(from) = open.remove(&pair) {
                all.push(DeadInterval { observer: pair.0, subject: pair.1, from, to: change.at });
            }
        }
        let rest = open.into_iter().map(|((observer, subject), from)| DeadInterval {
            observer,
            subject,
            from,
            to: end,
        });
        all.extend(rest);
        all.sort_by_key(|dead| (dead.from, dead.observer, dead.subject));
        all
    }
}
