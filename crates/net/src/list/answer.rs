//! Discovery's JSON answer, and its conversion to the core's types.

use super::names::NameTable;
use cottonpoint_core::{EndpointRecord, Lifecycle, endpoint_id};
use cottonpoint_decide::*;
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};

/// Stands for the address of an endpoint that none is known of; such an endpoint takes no work.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An answer of discovery; a configuration's `known` has the same form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Answer {
    /// The list's version.
    pub generation: u64,
    /// Whether this is the whole list rather than changes to it.
    #[serde(default)]
    pub reset: bool,
    instances: Vec<Instance>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    /// `None` if it is missing or not an address.
    #[serde(default, deserialize_with = "address_if_valid")]
    host_port: Option<SocketAddr>,
    zone: Option<String>,
    machine_type: Option<String>,
    cell: Option<u16>,
    lifecycle: String,
    started_at_ms: Option<u64>,
}

fn address_if_valid<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = Option::<Cow<'de, str>>::deserialize(deserializer)?;
    Ok(text.and_then(|text| text.parse().ok()))
}

/// What is wrong with an entry of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// Its lifecycle is none that the protocol specification names.
    UnknownLifecycle,
    /// It takes work, and has no valid address.
    NoAddress,
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EntryFault::UnknownLifecycle => "unknown lifecycle",
            EntryFault::NoAddress => "no valid address",
        })
    }
}

/// An entry of a list that the endpoint cannot be used by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultyEntry {
    /// The endpoint's name.
    pub instance_id: String,
    /// What is wrong.
    pub fault: EntryFault,
}

impl fmt::Display for FaultyEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance {}: {}", self.instance_id, self.fault)
    }
}

/// The entries of an answer in the core's types.
#[derive(Clone, Debug)]
pub struct Entries {
    /// Whether they are the whole list or changes to it.
    pub kind: ListKind,
    /// The entries. One with a fault is a draining endpoint, so that it is sent nothing.
    pub records: Vec<EndpointRecord>,
    /// The entries with a fault.
    pub faulty: Vec<FaultyEntry>,
}

impl Instance {
    /// The state of the endpoint, or what is wrong with its entry.
    fn state(&self) -> Result<Lifecycle, EntryFault> {
        match (self.lifecycle.as_str(), self.host_port) {
            ("active", Some(_)) => Ok(Lifecycle::Active),
            ("active", None) => Err(EntryFault::NoAddress),
            ("leaving", _) => Ok(Lifecycle::Leaving),
            ("left", _) => Ok(Lifecycle::Left),
            _ => Err(EntryFault::UnknownLifecycle),
        }
    }
}

impl Answer {
    /// Converts the answer to the core's types. A fault in one entry concerns that entry alone:
    /// what the others say counts as notified all the same.
    pub fn entries(&self, names: &NameTable) -> Entries {
        let kind = if self.reset { ListKind::Full } else { ListKind::Delta };
        let mut faulty = Vec::new();
        let record = |instance: &Instance| {
            let lifecycle = instance.state().unwrap_or_else(|fault| {
                faulty.push(FaultyEntry { instance_id: instance.instance_id.clone(), fault });
                Lifecycle::Leaving
            });
            EndpointRecord {
                id: endpoint_id(&instance.instance_id),
                address: instance.host_port.unwrap_or(NO_ADDRESS),
                zone: names.zone(instance.zone.as_deref()),
                cell: CellId(instance.cell.unwrap_or(0)),
                kind: names.kind(instance.machine_type.as_deref()),
                lifecycle,
                started_at_ms: instance.started_at_ms.unwrap_or(0),
            }
        };
        let records = self.instances.iter().map(record).collect();
        Entries { kind, records, faulty }
    }
}
