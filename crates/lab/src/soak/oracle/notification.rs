//! Determines when a process counts as notified of a list change, by the rules of the protocol
//! specification.

use crate::soak::records::*;
use std::collections::HashMap;
use std::time::Duration;

/// A process counts as notified of a change this long after discovery had the change and was
/// reachable.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(6050);
/// A process counts as notified of what a silent watch missed this long after the end of the hold
/// time.
const NOTIFIED_AFTER_HOLD: Duration = Duration::from_millis(2050);

/// The times from which processes count as notified of list changes, cached by process and version.
pub(super) struct NotificationTimes<'a> {
    records: &'a Records,
    notified_at: HashMap<(usize, u64), Option<Timestamp>>,
}

impl<'a> NotificationTimes<'a> {
    pub(super) fn new(records: &'a Records) -> NotificationTimes<'a> {
        NotificationTimes { records, notified_at: HashMap::new() }
    }

    /// The time since which a process counts as notified that an endpoint is draining or removed,
    /// if it does at `now`.
    pub(super) fn draining_since(
        &mut self,
        member: usize,
        endpoint: usize,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let records = self.records;
        let changes = records.changes.iter().filter(|change| change.endpoint == endpoint);
        let mut since: Option<Timestamp> = None;
        for change in changes {
            let Some(notified_at) =
                self.notified_at(member, change).filter(|notified_at| *notified_at <= now)
            else {
                // A process is not faulted for using an endpoint that has become active again,
                // whether or not it has been notified of that.
                if change.lifecycle == Lifecycle::Active && change.at <= now {
                    since = None;
                }
                continue;
            };
            since = match change.lifecycle {
                Lifecycle::Active => None,
                Lifecycle::Draining | Lifecycle::Removed => since.or(Some(notified_at)),
            };
        }
        since
    }

    /// Whether a process counts as notified of a version at `now`.
    pub(super) fn is_notified(&mut self, member: usize, version: u64, now: Timestamp) -> bool {
        let records = self.records;
        let change = records.changes.iter().find(|change| change.version == version);
        change
            .and_then(|change| self.notified_at(member, change))
            .is_some_and(|notified_at| notified_at <= now)
    }

    fn notified_at(&mut self, member: usize, change: &Change) -> Option<Timestamp> {
        let key = (member, change.version);
        if let Some(cached) = self.notified_at.get(&key) {
            return *cached;
        }
        let notified_at =
            self.sent_at(member, change).into_iter().chain(self.notified_by(member, change)).min();
        self.notified_at.insert(key, notified_at);
        notified_at
    }

    /// When discovery sent the change to the process.
    fn sent_at(&self, member: usize, change: &Change) -> Option<Timestamp> {
        let versions = self.records.sent_versions.get(member)?;
        versions.iter().find(|(version, _)| *version >= change.version).map(|(_, at)| *at)
    }

    /// The first time, not before `since`, at which discovery has been reachable `for_time` without a
    /// break.
    fn reachable_at(&self, since: Timestamp, for_time: Duration) -> Option<Timestamp> {
        self.records.reachable_periods.iter().find_map(|period| {
            let at = since.max(period.from) + for_time;
            period.until.is_none_or(|until| at <= until).then_some(at)
        })
    }

    /// When the process counts as notified whether or not the change arrived.
    fn notified_by(&self, member: usize, change: &Change) -> Option<Timestamp> {
        let started = self.records.members[member].started;
        let reachable_due = match self.records.pushed {
            // Whether or not the agent answers a process that has started since.
            true => self.reachable_at(change.at, Duration::ZERO)?.max(started),
            false => self.reachable_at(change.at.max(started), NOTIFIED_WITHIN)?,
        };
        let silent = self.records.silent_watches.iter().filter(|watch| watch.member == member);
        let missed_by = silent.filter(|watch| {
            // A watch that opened after the change would have been answered with it at once.
            let hold_over = watch.opened + watch.hold + NOTIFIED_AFTER_HOLD;
            watch.opened <= reachable_due && change.at <= hold_over
        });
        let due = |watch: &SilentWatch| {
            (watch.silent_since + NOTIFIED_WITHIN).max(watch.opened + watch.hold + NOTIFIED_AFTER_HOLD)
        };
        Some(missed_by.map(due).fold(reachable_due, Timestamp::max))
    }
}
