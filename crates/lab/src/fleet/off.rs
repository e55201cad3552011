//! Parts of the plane taken out from the outside: what it sends or is given is kept from it, so that a claim that
//! rests on that part has to fail.

use cottonpoint_peers::{Body, MemberId, Packet, Standing};

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Off {
    /// Nobody hears what is said of itself, so that nobody contradicts it.
    Refutation,
    /// No ping through others is sent.
    Indirect,
    /// No part of a full exchange is sent.
    Exchange,
    /// Nobody is pinged by one that holds it as last known.
    Knocks,
    /// A process that stood still is told of its missed wakes one by one, each with the time at which it was due:
    /// it cannot see that its own silence was its fault.
    Lateness,
}

impl Off {
    /// Whether a packet is kept from being sent, by the standing in which its sender holds the receiver.
    pub fn drops(self, packet: &Packet, held: Option<Standing>) -> bool {
        match self {
            Off::Indirect => matches!(packet.body, Body::PingFor { .. }),
            Off::Exchange => matches!(packet.body, Body::Known),
            Off::Knocks => matches!(packet.body, Body::Ping { .. }) && held == Some(Standing::LastKnown),
            Off::Refutation | Off::Lateness => false,
        }
    }

    /// What is left of a packet when its receiver gets it.
    pub fn censors(self, packet: &Packet, receiver: MemberId) -> Option<Packet> {
        let told = |packet: &Packet| packet.updates.iter().any(|news| news.id == receiver);
        (self == Off::Refutation && told(packet)).then(|| {
            let mut packet = packet.clone();
            packet.updates.retain(|news| news.id != receiver);
            packet
        })
    }
}
