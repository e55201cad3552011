//! The seal: conversion of packets to datagrams and back. It proves that a packet comes from a
//! holder of a cluster key and encrypts nothing. It is stateless, so replayed datagrams are
//! accepted; the protocols on top have to tolerate them.
//!
//! A datagram consists of a version byte, the cluster (XXH3 of its name), HMAC-SHA256 over version,
//! cluster and payload, truncated to 16 bytes (RFC 2104, section 5: no less than half of the hash),
//! and the payload: the packet encoded by postcard. The payload is not parsed until the seal has
//! been verified.

use cottonpoint_peers::{PACKET_LIMIT, Packet, SEAL_ROOM};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use std::ops::RangeInclusive;
use xxhash_rust::xxh3::xxh3_64;

/// The longest datagram: the longest packet of the protocol plus the seal.
pub const DATAGRAM_LIMIT: usize = PACKET_LIMIT - SEAL_ROOM + SEAL_LENGTH;
/// The bytes that the seal adds to a packet.
pub const SEAL_LENGTH: usize = MAC.end;
/// Permitted key lengths in bytes: a message authentication code needs at least 128 random bits
/// (RFC 2104 recommends no less than the length of the hash, which operators' tools write as 32
/// bytes); more than a kilobyte indicates the wrong file.
pub const KEY_LENGTH: RangeInclusive<usize> = 16..=1024;
/// Version 1: SWIM packets encoded by postcard.
const VERSION: u8 = 1;
const CLUSTER: std::ops::Range<usize> = 1..9;
const MAC: std::ops::Range<usize> = 9..25;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Longer than [`DATAGRAM_LIMIT`].
    TooLong,
    /// Another version, or an empty datagram.
    Version,
    /// Another cluster.
    Cluster,
    /// Not signed with any of the keys, or modified in transit.
    Key,
    /// Too short for a seal, or the payload is not a packet, or bytes follow the packet.
    Malformed,
}

impl Refusal {
    /// All reasons, in the order in which they are checked.
    pub const ALL: [Refusal; 5] =
        [Refusal::TooLong, Refusal::Version, Refusal::Cluster, Refusal::Key, Refusal::Malformed];

    /// The label of this reason in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::TooLong => "too_long",
            Refusal::Version => "version",
            Refusal::Cluster => "cluster",
            Refusal::Key => "key",
            Refusal::Malformed => "garbage",
        }
    }
}

/// A cluster key. Its bytes are never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key, if the number of bytes is within [`KEY_LENGTH`].
    pub fn new(bytes: &[u8]) -> Option<Key> {
        KEY_LENGTH.contains(&bytes.len()).then(|| Key(bytes.to_vec()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({} bytes)", self.0.len())
    }
}

/// Seals and opens the datagrams of one cluster.
#[derive(Clone)]
pub struct Seal {
    cluster: [u8; 8],
    /// The HMAC states after keying, before any message.
    keys: Vec<Hmac<Sha256>>,
}

impl Seal {
    /// Creates the seal of a cluster. The first key signs and all are accepted, so that keys can be
    /// rotated in a running fleet. Without keys it seals nothing and rejects everything.
    pub fn new(cluster: &str, keys: &[Key]) -> Seal {
        // HMAC accepts keys of any length, so none is left out.
        let keys = keys.iter().filter_map(|key| Hmac::<Sha256>::new_from_slice(&key.0).ok()).collect();
        Seal { cluster: xxh3_64(cluster.as_bytes()).to_be_bytes(), keys }
    }

    /// The datagram for a packet; `None` if it would be longer than [`DATAGRAM_LIMIT`].
    pub fn seal(&self, packet: &Packet) -> Option<Vec<u8>> {
        let mut datagram = vec![0; DATAGRAM_LIMIT];
        datagram[0] = VERSION;
        datagram[CLUSTER].copy_from_slice(&self.cluster);
        let payload = postcard::to_slice(packet, &mut datagram[SEAL_LENGTH..]).ok()?.len();
        datagram.truncate(SEAL_LENGTH + payload);
        let mac = self.mac(self.keys.first()?, &datagram).finalize().into_bytes();
        datagram[MAC].copy_from_slice(&mac[..MAC.len()]);
        Some(datagram)
    }

    /// Verifies a datagram and returns its packet. Memory use is bounded by the datagram: a length
    /// in the payload that exceeds the bytes present is rejected (strings), or memory is allocated
    /// only as elements are read (lists).
    pub fn open(&self, datagram: &[u8]) -> Result<Packet, Refusal> {
        if datagram.len() > DATAGRAM_LIMIT {
            return Err(Refusal::TooLong);
        }
        if datagram.first() != Some(&VERSION) {
            return Err(Refusal::Version);
        }
        if datagram.len() < SEAL_LENGTH {
            return Err(Refusal::Malformed);
        }
        if datagram[CLUSTER] != self.cluster {
            return Err(Refusal::Cluster);
        }
        // Compared in constant time, so that the duration reveals nothing about the valid seal.
        let valid = |key| self.mac(key, datagram).verify_truncated_left(&datagram[MAC]).is_ok();
        if !self.keys.iter().any(valid) {
            return Err(Refusal::Key);
        }
        match postcard::take_from_bytes(&datagram[SEAL_LENGTH..]) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(Refusal::Malformed),
        }
    }

    /// The HMAC over a datagram except for the HMAC itself.
    fn mac(&self, key: &Hmac<Sha256>, datagram: &[u8]) -> Hmac<Sha256> {
        let mut mac = key.clone();
        mac.update(&datagram[..CLUSTER.end]);
        mac.update(&datagram[SEAL_LENGTH..]);
        mac
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::packet;
    use cottonpoint_peers::NAME_LIMIT;
    use proptest::prelude::*;

    fn key(byte: u8) -> Key {
        Key::new(&[byte; 32]).expect("long enough")
    }

    /// Guards against a packet that changes in a round trip, a datagram that is accepted though
    /// corrupted, and a panic on one.
    #[test]
    fn packet_survives_a_round_trip_and_corruption_is_rejected() {
        let seal = Seal::new("fleet", &[key(1)]);
        let sent = packet(3);
        let datagram = seal.seal(&sent).expect("short enough");
        assert_eq!(seal.open(&datagram), Ok(sent));
        for length in 0..datagram.len() {
            assert!(seal.open(&datagram[..length]).is_err(), "cut to {length} bytes");
        }
        for bit in 0..datagram.len() * 8 {
            let mut flipped = datagram.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            let expected = [Refusal::Version, Refusal::Cluster, Refusal::Key];
            let expected = expected[usize::from(bit >= 8) + usize::from(bit >= 72)];
            assert_eq!(seal.open(&flipped), Err(expected), "bit {bit} flipped");
        }
    }

    /// Guards against protocol packets that exceed a datagram once sealed.
    #[test]
    fn largest_protocol_packet_fits_a_datagram() {
        let length = |packet: &Packet| postcard::to_allocvec(packet).expect("memory").len();
        let space = PACKET_LIMIT - SEAL_ROOM;
        let most = (1..).take_while(|&n| length(&packet(n)) <= space).last();
        let mut full = packet(most.expect("space for one"));
        while length(&full) < space {
            let short = full.updates.iter_mut().find(|update| update.name.len() < NAME_LIMIT);
            short.expect("a name to lengthen").name.push('x');
        }
        let seal = Seal::new("fleet", &[key(1)]);
        let datagram = seal.seal(&full).expect("it fits");
        assert_eq!(datagram.len(), DATAGRAM_LIMIT);
        assert_eq!(seal.open(&datagram), Ok(full));
    }

    /// Guards against trailing bytes that go unnoticed and a claimed length that is trusted, both
    /// under a valid seal, and against a datagram too long for the path.
    #[test]
    fn garbage_under_a_valid_seal_is_rejected() {
        let seal = Seal::new("fleet", &[key(1)]);
        let signed = |payload: &[u8]| {
            let mut datagram = [&[VERSION][..], &seal.cluster, &[0; 16], payload].concat();
            let mac = seal.mac(&seal.keys[0], &datagram).finalize().into_bytes();
            datagram[MAC].copy_from_slice(&mac[..16]);
            seal.open(&datagram)
        };
        let payload = postcard::to_allocvec(&packet(1)).expect("memory");
        assert_eq!(signed(&payload), Ok(packet(1)));
        assert_eq!(signed(&[&payload[..], &[0]].concat()), Err(Refusal::Malformed));
        // Without updates, their count comes last: claim the highest count possible.
        let mut claims = postcard::to_allocvec(&packet(0)).expect("memory");
        assert_eq!(claims.pop(), Some(0));
        claims.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
        assert_eq!(signed(&claims), Err(Refusal::Malformed));
        assert_eq!(seal.open(&[VERSION; DATAGRAM_LIMIT + 1]), Err(Refusal::TooLong));
        assert_eq!(seal.seal(&packet(100)), None, "too long to send");
    }

    /// Guards against keys that cannot be rotated while the fleet runs, and an accepted packet of a
    /// stranger.
    #[test]
    fn all_keys_are_accepted_the_first_signs_and_strangers_are_rejected() {
        let (old, new) = (Seal::new("fleet", &[key(1)]), Seal::new("fleet", &[key(2)]));
        let both = Seal::new("fleet", &[key(2), key(1)]);
        let from = |seal: &Seal| seal.seal(&packet(1)).expect("short enough");
        assert!(both.open(&from(&old)).is_ok() && both.open(&from(&new)).is_ok());
        assert!(new.open(&from(&both)).is_ok());
        assert_eq!(old.open(&from(&both)), Err(Refusal::Key));
        assert_eq!(Seal::new("other", &[key(1)]).open(&from(&old)), Err(Refusal::Cluster));
        // A datagram of another cluster under the same key, with this cluster written over it.
        let mut relabelled = from(&Seal::new("other", &[key(1)]));
        relabelled[CLUSTER].copy_from_slice(&old.cluster);
        assert_eq!(old.open(&relabelled), Err(Refusal::Key));
        assert_eq!(Seal::new("fleet", &[]).open(&from(&old)), Err(Refusal::Key));
        assert!(Key::new(&[0; 15]).is_none() && Key::new(&[0; 1025]).is_none());
        assert_eq!(format!("{:?}", key(7)), "Key(32 bytes)", "it is never printed");
    }

    proptest! {
        /// Guards against a panic on arbitrary bytes, with or without a valid seal.
        #[test]
        fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1300), with_valid_seal in any::<bool>()) {
            let seal = Seal::new("fleet", &[key(1)]);
            let mut bytes = bytes;
            if with_valid_seal && bytes.len() >= SEAL_LENGTH {
                bytes[0] = VERSION;
                bytes[CLUSTER].copy_from_slice(&seal.cluster);
                // Under a valid seal the bytes are parsed as a packet: either that fails, or the
                // packet can be sealed again.
                let mac = seal.mac(&seal.keys[0], &bytes).finalize().into_bytes();
                bytes[MAC].copy_from_slice(&mac[..16]);
                if let Ok(packet) = seal.open(&bytes) {
                    prop_assert!(seal.seal(&packet).is_some());
                }
            } else {
                prop_assert!(seal.open(&bytes).is_err());
            }
        }
    }
}
