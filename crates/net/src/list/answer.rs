//! Discovery's JSON answer, and its conversion to the core's types.

use cottonpoint_core::{EndpointRecord, Lifecycle, endpoint_id};
use cottonpoint_decide::*;
use serde::Deserialize;
use std::net::SocketAddr;

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
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: u64,
}

/// The names of zones and machine kinds in lists, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of machine kinds.
    pub kinds: Vec<String>,
}

fn index_of(names: &[String], name: &str) -> u16 {
    let index = names.iter().position(|n| n == name);
    index.and_then(|i| u16::try_from(i).ok()).unwrap_or(u16::MAX)
}

impl Answer {
    /// Converts the answer to the core's types. An unknown lifecycle is an error.
    pub fn listed(&self, names: &NameTable) -> Result<(ListKind, Vec<EndpointRecord>), String> {
        let kind = if self.reset { ListKind::Full } else { ListKind::Delta };
        let listed = self.instances.iter().map(|instance| {
            let lifecycle = match instance.lifecycle.as_str() {
                "active" => Lifecycle::Active,
                "leaving" => Lifecycle::Leaving,
                "left" => Lifecycle::Left,
                other => return Err(format!("unknown lifecycle {other}")),
            };
            Ok(EndpointRecord {
                id: endpoint_id(&instance.instance_id),
                address: instance.host_port,
                zone: ZoneId(index_of(&names.zones, &instance.zone)),
                cell: CellId(instance.cell),
                kind: MachineTypeId(index_of(&names.kinds, &instance.machine_type)),
                lifecycle,
                started_at_ms: instance.started_at_ms,
            })
        });
        Ok((kind, listed.collect::<Result<_, _>>()?))
    }
}
