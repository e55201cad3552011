//! Incoming packets: validation, the updates they carry, and the answers.

use crate::bounds;
use crate::interface::{Action, Body, MemberId, MemberState, NAME_LIMIT, Packet, UPDATES_LIMIT, Update};
use crate::state::{IndirectPing, Peers};
use crate::updates::{UpdateSource, is_usable};
use std::net::SocketAddrV4;

/// Concurrent pings on behalf of other members. Each member asks three random members per period at
/// most, so this is far more than a fleet asks of one member, and it takes little memory.
const INDIRECT_PINGS_LIMIT: usize = 64;

impl Peers {
    /// Handles a packet.
    pub(crate) fn handle_packet(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        let from = &packet.from;
        if from.id == self.settings.me {
            return self.handle_packet_with_own_id(from);
        }
        if !self.has_valid_sender(packet) {
            self.counts.malformed += 1;
            return;
        }
        if self.has_left() {
            return self.answer_after_leaving(packet, actions);
        }
        let came_back = self.apply_update(from, UpdateSource::Subject);
        self.apply_updates(packet);
        self.respond(packet, actions);
        if came_back && from.state == MemberState::Reachable {
            // That member or this one was away, so its table is requested.
            self.request_sync(from.id, actions);
        }
    }

    /// Handles a packet from a second process of this name, or this member's own packet sent back
    /// to it.
    fn handle_packet_with_own_id(&mut self, from: &Update) {
        if from.boot == self.settings.boot {
            self.counts.malformed += 1;
        } else {
            self.counts.name_conflicts += 1;
            self.handle_update_about_self(from);
        }
    }

    /// Whether the sender's own state is one that a correct member sends.
    fn has_valid_sender(&self, packet: &Packet) -> bool {
        let from = &packet.from;
        let state_valid = match packet.body {
            Body::Leave => from.state == MemberState::Left,
            _ => from.state == MemberState::Reachable,
        };
        let address_valid = is_usable(from.address) && from.address != self.settings.address;
        state_valid && address_valid && from.name.len() <= NAME_LIMIT
    }

    /// After leaving, only requests are answered, with a leave message, as their sender doesn't
    /// know of it yet.
    fn answer_after_leaving(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        if matches!(packet.body, Body::Ping { .. } | Body::PingRequest { .. } | Body::SyncRequest) {
            self.send(packet.from.address, None, Body::Leave, actions);
        }
    }

    /// Processes the updates on a packet, and counts what a sync response changed.
    fn apply_updates(&mut self, packet: &Packet) {
        let is_sync_response = packet.body == Body::SyncResponse;
        let source = if is_sync_response { UpdateSource::Sync } else { UpdateSource::Gossip };
        let before = self.version.0;
        packet.updates.iter().take(UPDATES_LIMIT).for_each(|update| {
            self.apply_update(update, source);
        });
        if is_sync_response && self.sync_state.source == Some(packet.from.id) {
            self.sync_state.changes =
                Some(self.sync_state.changes.unwrap_or(0) + (self.version.0 - before));
        }
        self.counts.malformed += packet.updates.len().saturating_sub(UPDATES_LIMIT) as u64;
    }

    /// Responds to the body of a packet.
    fn respond(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        let from = &packet.from;
        match packet.body {
            Body::Ping { nonce } => self.send(from.address, Some(from), Body::Ack { nonce }, actions),
            Body::PingRequest { nonce, target, address } => {
                self.ping_for_requester(from, nonce, target, address, actions)
            }
            Body::Ack { nonce } => self.handle_ack(from.id, nonce, actions),
            Body::Nack { nonce } => self.handle_nack(from.id, nonce),
            Body::SyncRequest => self.answer_sync_request(from, actions),
            Body::SyncResponse | Body::Leave => {}
        }
    }

    /// Pings a third member on behalf of another one.
    fn ping_for_requester(
        &mut self,
        requester: &Update,
        nonce: u32,
        target: MemberId,
        address: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        if target == self.settings.me {
            return self.send(requester.address, Some(requester), Body::Ack { nonce }, actions);
        }
        if !is_usable(address) || address == self.settings.address {
            self.counts.malformed += 1;
            return;
        }
        if self.indirect_pings.len() >= INDIRECT_PINGS_LIMIT {
            self.counts.requests_declined += 1;
            return;
        }
        let own_nonce = self.random.nonce();
        let deadline = self.now + self.settings.period / bounds::PROBE_PHASES;
        self.indirect_pings.push(IndirectPing {
            nonce: own_nonce,
            target,
            requester: requester.clone(),
            requester_nonce: nonce,
            deadline,
        });
        self.counts.indirect_pings += 1;
        let first = self.table.get(target).filter(|held| held.state != MemberState::Reachable).cloned();
        self.send_with(address, Some(target), first, Body::Ping { nonce: own_nonce }, actions);
    }
}
