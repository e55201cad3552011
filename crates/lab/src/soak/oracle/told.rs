//! When a process counts as told of a change, by the terms of the protocol page.

use crate::soak::records::*;
use std::collections::HashMap;
use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached.
const NEWS_DUE: Duration = Duration::from_millis(6050);
/// What a silent watch misses counts as told so long after its wait.
const DUE_AFTER_WAIT: Duration = Duration::from_millis(2050);

/// The times at which processes count as told, each looked up once.
pub(super) struct ToldTimes<'a> {
    records: &'a Records,
    told: HashMap<(usize, u64), Option<Moment>>,
}

impl<'a> ToldTimes<'a> {
    pub(super) fn new(records: &'a Records) -> ToldTimes<'a> {
        ToldTimes { records, told: HashMap::new() }
    }

    /// Since when a process counts as told that an endpoint leaves or has left, if it does at that time.
    pub(super) fn left_for(&mut self, member: usize, endpoint: usize, now: Moment) -> Option<Moment> {
        let records = self.records;
        let changes = records.changes.iter().filter(|change| change.endpoint == endpoint);
        let mut since: Option<Moment> = None;
        for change in changes {
            let Some(told) = self.told(member, change).filter(|told| *told <= now) else {
                // Whether it has heard of a return cannot count against it.
                if change.to == Standing::Active && change.at <= now {
                    since = None;
                }
                continue;
            };
            since = match change.to {
                Standing::Active => None,
                Standing::Leaving | Standing::Left => since.or(Some(told)),
            };
        }
        since
    }

    /// Whether a process counts as told of a version at that time.
    pub(super) fn knows(&mut self, member: usize, version: u64, now: Moment) -> bool {
        let records = self.records;
        let change = records.changes.iter().find(|change| change.version == version);
        change.and_then(|change| self.told(member, change)).is_some_and(|told| told <= now)
    }

    fn told(&mut self, member: usize, change: &Change) -> Option<Moment> {
        let key = (member, change.version);
        if let Some(known) = self.told.get(&key) {
            return *known;
        }
        let told = self.written(member, change).into_iter().chain(self.due(member, change)).min();
        self.told.insert(key, told);
        told
    }

    /// When discovery wrote it.
    fn written(&self, member: usize, change: &Change) -> Option<Moment> {
        let written = self.records.written.get(member)?;
        written.iter().find(|(version, _)| *version >= change.version).map(|(_, at)| *at)
    }

    /// When it counts as told whether or not it arrived.
    fn due(&self, member: usize, change: &Change) -> Option<Moment> {
        let started = self.records.members[member].started;
        let has_it = change.at.max(started);
        let reached = self.records.reachable.iter().find_map(|reachable| {
            let due = has_it.max(reachable.from) + NEWS_DUE;
            reachable.until.is_none_or(|until| due <= until).then_some(due)
        })?;
        let silent = self.records.silent_watches.iter().filter(|watch| watch.member == member);
        let missed = silent.filter(|watch| {
            // It would have told what came before it at once.
            let given_up = watch.begun + watch.hold + DUE_AFTER_WAIT;
            watch.begun <= reached && change.at <= given_up
        });
        let due =
            |watch: &SilentWatch| (watch.silent + NEWS_DUE).max(watch.begun + watch.hold + DUE_AFTER_WAIT);
        Some(missed.map(due).fold(reached, Moment::max))
    }
}
