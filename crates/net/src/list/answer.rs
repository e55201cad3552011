//! Discovery's answer, read into the core's terms.

use cottonpoint_core::{EndpointRecord, Lifecycle, endpoint_id};
use cottonpoint_decide::*;
use serde::Deserialize;
use std::net::SocketAddr;

/// Discovery's answer, as it stands in a configuration's `known` too.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Answer {
    /// The list's version.
    pub generation: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub reset: bool,
    instances: Vec<Line>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line {
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

/// The names that the list uses for zones and machine kinds, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

fn position(names: &[String], name: &str) -> u16 {
    let at = names.iter().position(|n| n == name);
    at.and_then(|i| u16::try_from(i).ok()).unwrap_or(u16::MAX)
}

impl Answer {
    /// The answer in the core's terms; an unknown lifecycle makes it a bad one.
    pub fn listed(&self, names: &Names) -> Result<(ListKind, Vec<EndpointRecord>), String> {
        let kind = if self.reset { ListKind::Full } else { ListKind::Delta };
        let lines = self.instances.iter().map(|line| {
            let lifecycle = match line.lifecycle.as_str() {
                "active" => Lifecycle::Active,
                "leaving" => Lifecycle::Leaving,
                "left" => Lifecycle::Left,
                other => return Err(format!("unknown lifecycle {other}")),
            };
            Ok(EndpointRecord {
                id: endpoint_id(&line.instance_id),
                address: line.host_port,
                zone: ZoneId(position(&names.zones, &line.zone)),
                cell: CellId(line.cell),
                kind: MachineTypeId(position(&names.kinds, &line.machine_type)),
                lifecycle,
                started_at_ms: line.started_at_ms,
            })
        });
        Ok((kind, lines.collect::<Result<_, _>>()?))
    }
}
