//! The fixed fields of the bench's records, byte for byte as they lie on the wire: little-endian, without padding.
//!
//! `zerocopy` reads and writes them whole and checks the length, without unsafe code here.

use cottonpoint::EndpointId;
use zerocopy::little_endian::{F32, U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// An endpoint's address and port, as they stand.
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

/// What each record opens with.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Head {
    pub code: u8,
    pub length: U32,
}

/// A new instance; its settings follow.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Start {
    pub seed: U64,
    pub length: U32,
}

/// A numbered list; its entries follow.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Roster {
    pub slot: U32,
    pub count: U32,
}

/// An endpoint as a list holds it.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Entry {
    pub zone: U16,
    pub nominal: F32,
    pub kind: U16,
    pub state: u8,
    pub cell: U16,
    pub endpoint: Address,
    pub started: U64,
}

/// Discovery's word.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Members {
    pub kind: u8,
    pub slot: U32,
}

/// A call has come.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Ingress {
    pub id: U64,
    pub class: u8,
    pub tenant: U16,
    pub key: U64,
    pub due: U64,
    pub cost: U64,
    pub marks: u8,
}

/// A forward has ended; its report follows.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Done {
    pub id: U64,
    pub outcome: U16,
    pub attempt: u8,
    pub closed: u8,
    pub elapsed: U64,
    pub endpoint: Address,
}

/// A probe has ended; its report follows.
#[derive(FromBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Probed {
    pub outcome: U16,
    pub endpoint: Address,
    pub elapsed: U64,
}

/// The call goes out to an endpoint.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Send {
    pub id: U64,
    pub endpoint: Address,
    pub until: U64,
}

/// The call is refused.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Refuse {
    pub id: U64,
    pub retry_after: U64,
}

/// A forward is given up.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct Cancel {
    pub id: U64,
    pub attempt: u8,
}

/// A timer is set.
#[derive(IntoBytes, Immutable, Unaligned)]
#[repr(C)]
pub struct SetTimer {
    pub after: U64,
    pub token: U64,
}
