//! Membership updates: which are accepted, what they change, and how this member refutes updates
//! about itself.
//!
//! Even a member that holds the key may be faulty, so every value is checked. No update can shut a
//! member out forever: reports about a third member raise its incarnation in bounded steps only,
//! the member itself may raise it by any amount, and a member that doesn't answer is removed in the
//! end and can join again.

use crate::bounds;
use crate::interface::{MemberId, MemberState, NAME_LIMIT, Update};
use crate::state::{Peers, PendingRefutation, Suspicion};
use std::net::SocketAddrV4;

/// Upper bound, exclusive, of all incarnations.
pub(crate) const INCARNATION_LIMIT: u64 = 1 << 63;
/// Incarnations up to this one are accepted from other members regardless of what is held. At four
/// refutations a second a member gets here in 34 years.
const GOSSIP_INCARNATION_LIMIT: u64 = 1 << 32;
/// Above [`GOSSIP_INCARNATION_LIMIT`], an update from another member may exceed the incarnation held
/// by this much. Reaching the upper bound takes 2^47 such false updates.
const GOSSIP_INCARNATION_STEP: u64 = 1 << 16;
/// How far an update about this member may exceed its own incarnation and still be refuted. The
/// steps are longer than those for other members, so that a new process overtakes the incarnation
/// that others hold of its predecessor.
const OWN_INCARNATION_STEP: u64 = 1 << 40;

/// Where an update came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// From the member that it is about.
    Subject,
    /// Gossip: piggybacked on a packet of another member.
    Gossip,
    /// From another member's table by a full state sync, which may be out of date.
    Sync,
}

/// Whether a member can be reached at an address of that kind.
pub(crate) fn is_usable(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}

/// The highest incarnation accepted for a member, by the source of the update and the incarnation
/// held.
fn highest_accepted_incarnation(source: UpdateSource, held: Option<u64>) -> u64 {
    match source {
        UpdateSource::Subject => INCARNATION_LIMIT - 1,
        UpdateSource::Gossip | UpdateSource::Sync => held
            .map_or(GOSSIP_INCARNATION_LIMIT, |incarnation| incarnation.max(GOSSIP_INCARNATION_LIMIT))
            .saturating_add(GOSSIP_INCARNATION_STEP)
            .min(INCARNATION_LIMIT - 1),
    }
}

/// The update as it is stored, by its source and the state already held.
fn as_stored(update: &Update, source: UpdateSource, held: Option<MemberState>) -> Update {
    let mut update = update.clone();
    // The table may come from the far side of a partition that has healed since. It must not
    // declare dead a member that is alive here.
    if source == UpdateSource::Sync
        && update.state == MemberState::Dead
        && held.is_some_and(|state| state.is_alive())
    {
        update.state = MemberState::Suspected;
    }
    if update.state != MemberState::Suspected {
        update.reported_by = update.id;
    }
    update
}

impl Peers {
    /// Processes an update about any member. Returns whether it brought to life a member that was
    /// not alive here.
    pub(crate) fn apply_update(&mut self, update: &Update, source: UpdateSource) -> bool {
        if !self.is_well_formed(update) {
            self.counts.malformed += 1;
            return false;
        }
        if update.id == self.settings.me {
            self.handle_update_about_self(update);
            return false;
        }
        let held = self.table.get(update.id).map(|held| (held.incarnation, held.state));
        if update.incarnation
            > highest_accepted_incarnation(source, held.map(|(incarnation, _)| incarnation))
        {
            self.counts.implausible_incarnations += 1;
            return false;
        }
        let update = as_stored(update, source, held.map(|(_, state)| state));
        if self.table.get(update.id).is_none_or(|held| update.precedence() > held.precedence()) {
            return self.store_update(update);
        }
        if update.state == MemberState::Suspected
            && held == Some((update.incarnation, MemberState::Suspected))
        {
            self.confirm_suspicion(update.id, update.reported_by);
        }
        false
    }

    /// Whether the name is within the limit, and the address is usable and not this member's own
    /// (unless the update is about this member).
    fn is_well_formed(&self, update: &Update) -> bool {
        let name_and_address_valid = update.name.len() <= NAME_LIMIT && is_usable(update.address);
        name_and_address_valid && (update.id == self.settings.me || update.address != self.settings.address)
    }

    /// Stores an update that takes precedence over the one held. Returns whether it made a member
    /// alive that was not. Updates of unknown members that don't fit are counted and dropped.
    pub(crate) fn store_update(&mut self, update: Update) -> bool {
        let (id, state) = (update.id, update.state);
        let previous = self.table.get(id).map(|held| (held.incarnation, held.state));
        if previous.is_none() && !self.table.has_room() {
            match self.table.longest_not_alive().filter(|_| state.is_alive()) {
                Some(removable) => self.remove_member(removable),
                None => {
                    self.counts.dropped_table_full += 1;
                    return false;
                }
            }
        }
        let was_alive = previous.is_some_and(|(_, state)| state.is_alive());
        let new_suspicion =
            previous.is_none_or(|previous| previous != (update.incarnation, MemberState::Suspected));
        if state != MemberState::Suspected {
            self.suspicions.remove(&id);
        } else if new_suspicion {
            let members = self.alive_count() + usize::from(!was_alive);
            let expected_confirmations = bounds::confirmations(members);
            let suspicion = Suspicion {
                start: self.now,
                suspected_by: vec![update.reported_by],
                final_ping_sent: false,
                expected_confirmations,
                members,
            };
            self.suspicions.insert(id, suspicion);
        }
        self.table.insert(update, self.now);
        self.has_met_peer = true;
        self.gossip.add(id);
        self.bump_version();
        if state.is_alive() && !was_alive {
            // A random position in the rest of the round, so that all members are probed in turn.
            let position = self.random.below(self.probe_order.len() + 1);
            self.probe_order.insert(position, id);
        }
        state.is_alive() && !was_alive
    }

    /// Records that another member suspects this one independently. Only members held here count,
    /// so that invented ids have no effect.
    pub(crate) fn confirm_suspicion(&mut self, id: MemberId, by: MemberId) {
        let known = by == self.settings.me || self.table.get(by).is_some();
        let Some(suspicion) = self.suspicions.get_mut(&id) else { return };
        if known
            && by != id
            && suspicion.suspected_by.len() <= suspicion.expected_confirmations
            && !suspicion.suspected_by.contains(&by)
        {
            suspicion.suspected_by.push(by);
            self.table.set_reporter(id, by);
            self.gossip.add(id);
            self.bump_version();
        }
    }

    /// Suspects a member that did not answer this member's own probe.
    pub(crate) fn suspect(&mut self, id: MemberId) {
        let Some(held) = self.table.get(id) else { return };
        match held.state {
            MemberState::Reachable => {
                let update =
                    Update { state: MemberState::Suspected, reported_by: self.settings.me, ..held.clone() };
                self.counts.suspicions += 1;
                self.store_update(update);
            }
            MemberState::Suspected => self.confirm_suspicion(id, self.settings.me),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Declares dead the members whose suspicion timeout has expired.
    pub(crate) fn expire_suspicions(&mut self) {
        let expired = |suspicion: &Suspicion| self.suspicion_deadline(suspicion) <= self.now;
        let expired: Vec<_> =
            self.suspicions.iter().filter(|(_, it)| expired(it)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(held) = self.table.get(id) else { continue };
            let update = Update { state: MemberState::Dead, reported_by: id, ..held.clone() };
            self.counts.deaths += 1;
            self.store_update(update);
        }
    }

    /// Removes a member from the table.
    pub(crate) fn remove_member(&mut self, id: MemberId) {
        self.table.remove(id);
        self.suspicions.remove(&id);
        self.gossip.remove(id);
        self.counts.members_removed += 1;
        self.bump_version();
    }

    /// Handles an update by others about this member.
    pub(crate) fn handle_update_about_self(&mut self, update: &Update) {
        let own = &self.local.update;
        let name_conflict = update.boot != own.boot;
        // An update of lower precedence needs no refutation: members that receive both keep this
        // member's own.
        let contradicts = update.precedence() > own.precedence();
        if !contradicts {
            return;
        }
        let highest = own
            .incarnation
            .max(GOSSIP_INCARNATION_LIMIT)
            .saturating_add(OWN_INCARNATION_STEP)
            .min(INCARNATION_LIMIT - 2);
        if update.incarnation > highest {
            self.counts.implausible_incarnations += 1;
            return;
        }
        if self.local.pending_refutation.is_none_or(|pending| update.incarnation >= pending.incarnation) {
            self.local.pending_refutation =
                Some(PendingRefutation { incarnation: update.incarnation, name_conflict });
        }
        self.refute_if_due();
    }

    /// Refutes reports about this member if the rate limit permits. After leaving there is nothing
    /// to refute.
    pub(crate) fn refute_if_due(&mut self) {
        let Some(pending) = self.local.pending_refutation else { return };
        if self.has_left() || self.now < self.local.next_refutation {
            return;
        }
        self.local.pending_refutation = None;
        self.raise_incarnation(pending.incarnation);
        // A quarter of a period lets a genuine refutation pass at once; another process of the same
        // name is answered once a period.
        let interval = self.settings.period / if pending.name_conflict { 1 } else { 4 };
        self.local.next_refutation = self.now + interval;
        if pending.name_conflict {
            self.counts.name_conflicts += 1;
        } else {
            // Other members did not receive its answers, which may well be this member's own fault.
            self.counts.refutations += 1;
            self.set_local_health(self.local_health + 1);
        }
    }

    /// Raises the own incarnation above the given one.
    pub(crate) fn raise_incarnation(&mut self, above: u64) {
        let incarnation = self.local.update.incarnation.max(above);
        self.local.update.incarnation = (incarnation + 1).min(INCARNATION_LIMIT - 1);
        self.bump_version();
    }
}
