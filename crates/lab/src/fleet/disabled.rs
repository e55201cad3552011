//! Parts of the plane disabled from the outside: what it sends or is given is kept from it, so that a claim that
//! rests on that part has to fail.

use cottonpoint_peers::{Body, MemberId, MemberState, Packet};

/// The part of the plane that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    /// Nobody receives news of itself, so that nobody contradicts it.
    Refutation,
    /// No ping through others is sent.
    Indirect,
    /// No part of a full exchange is sent.
    Exchange,
    /// Nobody is pinged by one that holds it as last known.
    Knocks,
    /// A process that stood still gets its missed wakes one by one, each with the time at which it was due:
    /// it cannot see that its own silence was its fault.
    Lateness,
}

impl Disabled {
    /// Whether a packet is kept from being sent, by the standing in which its sender holds the receiver.
    pub fn drops(self, packet: &Packet, held: Option<MemberState>) -> bool {
        match self {
            Disabled::Indirect => matches!(packet.body, Body::PingRequest { .. }),
            Disabled::Exchange => matches!(packet.body, Body::SyncResponse),
            Disabled::Knocks => matches!(packet.body, Body::Ping { .. }) && held == Some(MemberState::Dead),
            Disabled::Refutation | Disabled::Lateness => false,
        }
    }

    /// What is left of a packet when its receiver gets it.
    pub fn redacted(self, packet: &Packet, receiver: MemberId) -> Option<Packet> {
        let mentions_receiver = |packet: &Packet| packet.updates.iter().any(|update| update.id == receiver);
        (self == Disabled::Refutation && mentions_receiver(packet)).then(|| {
            let mut packet = packet.clone();
            packet.updates.retain(|update| update.id != receiver);
            packet
        })
    }
}
