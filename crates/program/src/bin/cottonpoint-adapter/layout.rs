//! The fixed fields of the bench's records, byte for byte as on the wire: little-endian, without
//! padding.
//!
//! `zerocopy` reads and writes them as a whole and checks the length, without unsafe code here.

use cottonpoint::EndpointId;
use zerocopy::little_endian::{F32, U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// An endpoint's address and port, in the byte order of the wire.
#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Address([u8; 6]);

impl From<Address> for EndpointId {
    fn from(Address([a, b, c, d, e, f]): Address) -> Self {
        EndpointId(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]))
    }
}

impl From<EndpointId> for Address {
    fn from(id: EndpointId) -> Self {
        let [a, b, c, d, e, f, ..] = id.0.to_le_bytes();
        Address([a, b, c, d, e, f])
    }
}

/// The header of every record.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct RecordHeader {
    pub code: u8,
    pub length: U32,
}

/// A new balancer instance; its settings follow.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct NewInstance {
    pub seed: U64,
    pub length: U32,
}

/// A numbered endpoint list; its entries follow.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct NumberedList {
    pub slot: U32,
    pub count: U32,
}

/// An entry of an endpoint list.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct ListEntry {
    pub zone: U16,
    pub nominal: F32,
    pub kind: U16,
    pub state: u8,
    pub cell: U16,
    pub endpoint: Address,
    pub started: U64,
}

/// An update from discovery, which refers to a numbered list.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct DiscoveryUpdate {
    pub kind: u8,
    pub slot: U32,
}

/// A request has arrived.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct RequestArrived {
    pub id: U64,
    pub class: u8,
    pub tenant: U16,
    pub key: U64,
    pub deadline: U64,
    pub cost: U64,
    pub flags: u8,
}

/// An attempt has finished; its load report follows.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct AttemptFinished {
    pub id: U64,
    pub outcome: U16,
    pub attempt: u8,
    pub closed: u8,
    pub elapsed: U64,
    pub endpoint: Address,
}

/// A probe has ended; its load report follows.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct ProbeEnded {
    pub outcome: U16,
    pub endpoint: Address,
    pub elapsed: U64,
}

/// Send the request to an endpoint.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Send {
    pub id: U64,
    pub endpoint: Address,
    pub deadline: U64,
}

/// Refuse the request.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Refuse {
    pub id: U64,
    pub retry_after: U64,
}

/// Cancel an attempt.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Cancel {
    pub id: U64,
    pub attempt: u8,
}

/// Set a timer.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct SetTimer {
    pub delay: U64,
    pub token: U64,
}
