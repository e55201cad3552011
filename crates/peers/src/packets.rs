//! Outgoing packets: piggybacked updates and full state syncs.

use crate::bounds;
use crate::gossip::Choice;
use crate::interface::{
    Action, Body, MemberId, MemberState, PACKET_LIMIT, Packet, SEAL_ROOM, UPDATES_LIMIT, Update,
};
use crate::state::Peers;
use serde::Serialize;
use std::net::SocketAddrV4;

/// Sync requests answered in one period. A fleet that starts all at once spreads its state by
/// doubling, and no member has to send its table more often than that.
const SYNC_RESPONSES_LIMIT: u32 = 2;
/// Members notified in one round of leave messages, and the number of rounds. A member that leaves
/// is done before a period is over, and this many recipients gossip the update to the rest.
const LEAVE_FANOUT: usize = 8;
pub(crate) const LEAVE_ROUNDS: u32 = 3;

/// The space left on a packet for updates, measured with the codec that sends it. Names and numbers
/// are usually far shorter than their limits, so a packet carries three times as many updates as if
/// each were counted at its maximum size.
struct RemainingSpace {
    bytes: usize,
    updates: usize,
}

impl RemainingSpace {
    fn after(packet: &Packet) -> RemainingSpace {
        let limit = PACKET_LIMIT - SEAL_ROOM;
        RemainingSpace {
            bytes: limit.saturating_sub(encoded_length(packet)),
            updates: UPDATES_LIMIT - packet.updates.len(),
        }
    }

    /// Reserves space for one more update; returns whether it fits.
    fn reserve(&mut self, update: &Update) -> bool {
        let length = encoded_length(update);
        let fits = length <= self.bytes && self.updates > 0;
        if fits {
            self.bytes -= length;
            self.updates -= 1;
        }
        fits
    }
}

fn encoded_length(value: &impl Serialize) -> usize {
    // Serializing these types never fails; if it did, no further updates would be added.
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(PACKET_LIMIT)
}

impl Peers {
    /// Sends a packet with the queued updates. `receiver` is the receiver's own state if it has just
    /// been received: an update held here that takes precedence over it is put first, so that the
    /// receiver can refute it.
    pub(crate) fn send(
        &mut self,
        to: SocketAddrV4,
        receiver: Option<&Update>,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let held = receiver.and_then(|receiver| {
            self.table.get(receiver.id).filter(|held| held.precedence() > receiver.precedence())
        });
        let first = held.cloned();
        self.send_with(to, receiver.map(|receiver| receiver.id), first, body, actions);
    }

    /// Sends a packet to a known member, with the update about it first if it is not held as
    /// reachable.
    pub(crate) fn send_to(&mut self, id: MemberId, body: Body, actions: &mut Vec<Action>) {
        let Some(held) = self.table.get(id).cloned() else { return };
        let to = held.address;
        let first = Some(held).filter(|held| held.state != MemberState::Reachable);
        self.send_with(to, Some(id), first, body, actions);
    }

    /// Sends a packet with the given update first.
    pub(crate) fn send_with(
        &mut self,
        to: SocketAddrV4,
        receiver: Option<MemberId>,
        first: Option<Update>,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let mut packet =
            Packet { from: self.local.update.clone(), body, updates: first.into_iter().collect() };
        if !self.has_left() {
            let (table, limit) = (&self.table, bounds::retransmit_limit(self.alive_count()));
            let mut space = RemainingSpace::after(&packet);
            self.gossip.take(limit, |next| match table.get(next) {
                Some(update) if Some(next) != receiver => {
                    if !space.reserve(update) {
                        return Choice::Full;
                    }
                    packet.updates.push(update.clone());
                    Choice::Take
                }
                _ => Choice::Skip,
            });
        }
        actions.push(Action::Send { to, packet });
    }

    /// Answers a sync request with all members known, in as many packets as needed.
    pub(crate) fn answer_sync_request(&mut self, to: &Update, actions: &mut Vec<Action>) {
        if self.sync_state.answered >= SYNC_RESPONSES_LIMIT {
            self.counts.requests_declined += 1;
            return;
        }
        self.sync_state.answered += 1;
        self.counts.syncs_answered += 1;
        let empty =
            Packet { from: self.local.update.clone(), body: Body::SyncResponse, updates: Vec::new() };
        let (mut packet, mut space) = (empty.clone(), RemainingSpace::after(&empty));
        for update in self.table.sync_entries(self.now) {
            if !space.reserve(update) {
                let full = std::mem::replace(&mut packet, empty.clone());
                actions.push(Action::Send { to: to.address, packet: full });
                space = RemainingSpace::after(&empty);
                space.reserve(update);
            }
            packet.updates.push(update.clone());
        }
        actions.push(Action::Send { to: to.address, packet });
    }

    /// Requests a full state sync from a member, or leaves it to the next period: one request a
    /// period is enough.
    pub(crate) fn request_sync(&mut self, id: MemberId, actions: &mut Vec<Action>) {
        self.sync_state.remaining = self.sync_state.remaining.max(1);
        if !self.sync_state.requested {
            self.sync_state.requested = true;
            self.sync_state.source = Some(id);
            self.sync_state.changes = None;
            self.counts.syncs_requested += 1;
            self.send_to(id, Body::SyncRequest, actions);
        }
    }

    /// Sends one round of leave messages to random members.
    pub(crate) fn send_leave_round(&mut self, actions: &mut Vec<Action>) {
        let mut all = self.table.ids_in_state(MemberState::is_alive);
        self.random.shuffle(&mut all);
        for id in all.into_iter().take(LEAVE_FANOUT) {
            self.send_to(id, Body::Leave, actions);
        }
    }
}
