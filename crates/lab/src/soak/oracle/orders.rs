//! Checks that endpoints taken offline by an operator stay offline until they are put back online, at
//! all processes of the slot: the one that took the command, the one beside it in an upgrade, and
//! those that follow.

use super::{DRAIN_GRACE, Invariant, Oracle, SOCKET_SLACK, Violation, ms};
use crate::soak::records::*;
use std::time::Duration;

/// A command is stored on disk within this time once the disk accepts writes.
const PERSISTED_WITHIN: Duration = ms(1500);
/// A process whose disk failed retries a write within this time after that.
const WRITE_RETRIED_WITHIN: Duration = ms(1000);

impl Oracle<'_> {
    pub(super) fn check_orders(&self) -> Vec<Violation> {
        let offline = self.records.orders.iter().filter(|order| order.offline);
        offline.filter_map(|order| self.first_attempt_against(order)).collect()
    }

    /// The first attempt that a command forbids.
    fn first_attempt_against(&self, order: &EndpointOrder) -> Option<Violation> {
        let confirmed = order.confirmed?;
        let ends = self.holds_until(order, confirmed)?;
        let taken_at = &self.records.members[order.member];
        let grace = DRAIN_GRACE + SOCKET_SLACK + self.observation_slack;
        let is_against = |attempt: &&Attempt| {
            let Some(member) = self.records.member_of(&attempt.id) else { return false };
            let since = if member == order.member { Some(confirmed) } else { self.persisted(order) };
            attempt.endpoint == order.endpoint
                && self.slot_of(member) == self.slot_of(order.member)
                && since.is_some_and(|since| attempt.started > since + grace)
                && attempt.started < ends
        };
        let attempt =
            self.records.attempts.iter().filter(is_against).min_by_key(|attempt| attempt.started)?;
        let endpoint = &self.records.endpoints[order.endpoint];
        let description = format!(
            "{} went to {endpoint}, taken offline at {} at {:.3}",
            attempt.id,
            taken_at.name,
            confirmed.as_secs_f64()
        );
        Some(Violation { invariant: Invariant::StaysOut, at: attempt.started, description })
    }

    /// Until when a command holds: the next command to put the endpoint back online. `None` if such a
    /// command overlaps with it in time, so that either may be the later one.
    fn holds_until(&self, order: &EndpointOrder, confirmed: Timestamp) -> Option<Timestamp> {
        let online = self.records.orders.iter().filter(|other| {
            !other.offline
                && other.endpoint == order.endpoint
                && self.slot_of(other.member) == self.slot_of(order.member)
        });
        let mut ends = Timestamp::MAX;
        for other in online.filter(|other| other.confirmed.is_none_or(|end| end >= order.sent)) {
            if other.sent <= confirmed {
                return None;
            }
            ends = ends.min(other.sent);
        }
        Some(ends)
    }

    /// Since when other processes of the slot know of a command: since it was confirmed, unless the
    /// disk failed at that time. `None` if the process was killed before the disk accepted it.
    fn persisted(&self, order: &EndpointOrder) -> Option<Timestamp> {
        let confirmed = order.confirmed?;
        let member = &self.records.members[order.member];
        if order.sent >= member.file_writes_fail_until + WRITE_RETRIED_WITHIN {
            return Some(confirmed);
        }
        let persisted = confirmed.max(member.file_writes_fail_until) + PERSISTED_WITHIN;
        member.killed.is_none_or(|killed| killed > persisted).then_some(persisted)
    }

    fn slot_of(&self, member: usize) -> Option<&str> {
        self.records.members.get(member)?.name.split('.').next()
    }
}
