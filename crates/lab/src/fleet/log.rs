//! What members held of each other, change by change.

use cottonpoint_peers::{MemberState, PartitionStatus};

/// What one member holds of another; standing `None` is one that it does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// How it stands.
    pub standing: Option<MemberState>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its process.
    pub boot: u64,
}

impl Held {
    /// Whether it is held as one that answers, or may.
    pub fn alive(&self) -> bool {
        matches!(self.standing, Some(MemberState::Reachable | MemberState::Suspected))
    }

    /// Whether it is held dead: last known, though it did not say goodbye.
    pub fn dead(&self) -> bool {
        self.standing == Some(MemberState::Dead)
    }
}

/// One member came to hold something else of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When, in nanoseconds of the run.
    pub at: u64,
    /// Who.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// What it held before ...
    pub before: Held,
    /// ... and holds now.
    pub now: Held,
}

/// All that was seen while views were recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Changes, in order of time.
    pub changes: Vec<Change>,
    /// What a member came to call its part: when, who, what.
    pub parts: Vec<(u64, usize, PartitionStatus)>,
}

/// A stretch of time in which one member held another dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadInterval {
    /// Who.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// From when, in nanoseconds.
    pub from: u64,
    /// Up to when.
    pub to: u64,
}

impl Log {
    /// When, from a time on, a change of that kind was seen last; that time itself if never.
    pub fn last(&self, from: u64, of_kind: impl Fn(&Change) -> bool) -> u64 {
        let late = self.changes.iter().rev().take_while(|change| change.at >= from);
        late.filter(|change| of_kind(change)).map(|change| change.at).next().unwrap_or(from)
    }

    /// All stretches in which one member held another dead, up to an end. A start that was not recorded counts from
    /// the first change.
    pub fn dead_intervals(&self, end: u64) -> Vec<DeadInterval> {
        let (mut open, mut all) = (rustc_hash::FxHashMap::default(), Vec::new());
        for change in &self.changes {
            let pair = (change.by, change.of);
            if change.now.dead() {
                open.entry(pair).or_insert(change.at);
            } else if let Some(from) = open.remove(&pair) {
                all.push(DeadInterval { by: pair.0, of: pair.1, from, to: change.at });
            }
        }
        let rest = open.into_iter().map(|((by, of), from)| DeadInterval { by, of, from, to: end });
        all.extend(rest);
        all.sort_by_key(|dead| (dead.from, dead.by, dead.of));
        all
    }
}
