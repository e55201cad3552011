//! The member table, and which of two updates about one member takes precedence.
//!
//! Updates about one member are totally ordered: by incarnation, then state, then the remaining
//! fields as tie-breakers. The greater one is kept, so reordered, duplicated and delayed packets
//! lead to the same table in the end.

use crate::interface::{MEMBERS_LIMIT, Member, MemberId, MemberState, Update};
use cottonpoint_decide::Time;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Retention of a dead member, during which it is pinged now and then. An hour exceeds what
/// operators call an outage; a longer partition heals through the seeds.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(3600);
/// Retention of a member that left: far longer than any update travels.
pub(crate) const LEFT_RETENTION: Duration = Duration::from_secs(300);

impl MemberState {
    /// Whether the member counts as answering: a suspect does until its timeout expires.
    pub fn is_alive(self) -> bool {
        matches!(self, MemberState::Reachable | MemberState::Suspected)
    }

    /// How long a member in this state is retained; `None` means without limit.
    pub(crate) fn retention(self) -> Option<Duration> {
        match self {
            MemberState::Reachable | MemberState::Suspected => None,
            MemberState::Dead => Some(DEAD_RETENTION),
            MemberState::Left => Some(LEFT_RETENTION),
        }
    }
}

impl Update {
    /// The sort key by which one of two updates about the same member takes precedence.
    pub(crate) fn precedence(&self) -> (u64, MemberState, u64, SocketAddrV4, &str) {
        (self.incarnation, self.state, self.boot, self.address, &self.name)
    }
}

/// All members but this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    members: BTreeMap<MemberId, (Update, Time)>,
    alive: usize,
}

impl Table {
    pub(crate) fn get(&self, id: MemberId) -> Option<&Update> {
        self.members.get(&id).map(|(update, _)| update)
    }

    pub(crate) fn state(&self, id: MemberId) -> Option<MemberState> {
        self.get(id).map(|update| update.state)
    }

    /// Members that count as answering, without this one.
    pub(crate) fn alive(&self) -> usize {
        self.alive
    }

    /// Those of the given addresses at which a member counts as answering.
    pub(crate) fn alive_at(&self, addresses: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let alive = self.members.values().filter(|(update, _)| update.state.is_alive());
        alive.map(|(update, _)| update.address).filter(|address| addresses.contains(address)).collect()
    }

    /// Sets who reported the update held of a member and leaves the rest of it unchanged.
    pub(crate) fn set_reporter(&mut self, id: MemberId, by: MemberId) {
        if let Some((update, _)) = self.members.get_mut(&id) {
            update.reported_by = by;
        }
    }

    /// Stores an update; the caller has checked that it takes precedence.
    pub(crate) fn insert(&mut self, update: Update, now: Time) {
        let id = update.id;
        let previous = self.members.get(&id).map(|(held, since)| (held.state, *since));
        let since = previous.filter(|(state, _)| *state == update.state).map_or(now, |(_, since)| since);
        self.alive -= usize::from(previous.is_some_and(|(state, _)| state.is_alive()));
        self.alive += usize::from(update.state.is_alive());
        self.members.insert(id, (update, since));
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        let removed = self.members.remove(&id);
        self.alive -= usize::from(removed.is_some_and(|(update, _)| update.state.is_alive()));
    }

    /// Whether one more member fits, beside this one.
    pub(crate) fn has_room(&self) -> bool {
        self.members.len() + 1 < MEMBERS_LIMIT
    }

    /// The member that has been dead or left for longest; `None` if all are alive.
    pub(crate) fn longest_not_alive(&self) -> Option<MemberId> {
        let not_alive = self.members.iter().filter(|(_, (update, _))| !update.state.is_alive());
        not_alive.min_by_key(|(id, (_, since))| (*since, **id)).map(|(id, _)| *id)
    }

    /// Members whose retention time is over.
    pub(crate) fn past_retention(&self, now: Time) -> Vec<MemberId> {
        let past_limit = |update: &Update, since| {
            update.state.retention().is_some_and(|retention| now.since(since) >= retention)
        };
        self.members
            .iter()
            .filter(|(_, (update, since))| past_limit(update, *since))
            .map(|(id, _)| *id)
            .collect()
    }

    /// The ids of all members in the given states.
    pub(crate) fn ids_in_state(&self, matches: impl Fn(MemberState) -> bool) -> Vec<MemberId> {
        self.members.iter().filter(|(_, (update, _))| matches(update.state)).map(|(id, _)| *id).collect()
    }

    /// The updates sent in answer to a sync request. Dead and left members are omitted in the
    /// second half of their retention time; otherwise two members could keep an entry alive between
    /// them forever.
    pub(crate) fn sync_entries(&self, now: Time) -> impl Iterator<Item = &Update> {
        let in_first_half = move |update: &Update, since| {
            update.state.retention().is_none_or(|retention| now.since(since) < retention / 2)
        };
        self.members
            .values()
            .filter(move |(update, since)| in_first_half(update, *since))
            .map(|(update, _)| update)
    }

    /// All members, sorted by id.
    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        self.members.values().map(|(update, since)| Member { update: update.clone(), since: *since })
    }
}
