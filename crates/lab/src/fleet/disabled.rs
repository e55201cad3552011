//! Features of the membership protocol disabled from outside the state machine: the packets it
//! sends or receives are dropped or changed, so that a claim that depends on the feature has to
//! fail.

use cottonpoint_peers::{Body, MemberId, MemberState, Packet};

/// A feature of the membership protocol that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    /// No member receives updates about itself, so none refutes a suspicion.
    Refutation,
    /// No indirect probe is sent.
    IndirectProbes,
    /// No response of a full state synchronization is sent.
    FullSync,
    /// Members held as dead (last known) are not probed.
    DeadMemberProbes,
    /// A process that was paused gets its missed wakes one by one, each with the time at which it
    /// was due. It cannot detect that it was paused, and takes its own silence for that of others.
    StallDetection,
}

impl Disabled {
    /// Whether a packet is dropped instead of sent, given the state in which its sender holds the
    /// receiver.
    pub fn drops(self, packet: &Packet, known_state: Option<MemberState>) -> bool {
        match self {
            Disabled::IndirectProbes => matches!(packet.body, Body::PingRequest { .. }),
            Disabled::FullSync => matches!(packet.body, Body::SyncResponse),
            Disabled::DeadMemberProbes => {
                matches!(packet.body, Body::Ping { .. }) && known_state == Some(MemberState::Dead)
            }
            Disabled::Refutation | Disabled::StallDetection => false,
        }
    }

    /// The packet as its receiver gets it, where that differs from the packet sent.
    pub fn redact(self, packet: &Packet, receiver: MemberId) -> Option<Packet> {
        let mentions_receiver = |packet: &Packet| packet.updates.iter().any(|update| update.id == receiver);
        (self == Disabled::Refutation && mentions_receiver(packet)).then(|| {
            let mut packet = packet.clone();
            packet.updates.retain(|update| update.id != receiver);
            packet
        })
    }
}
