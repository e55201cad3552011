//! One stand-in discovery with the list of one service.

use crate::live::Executor;
use crate::live::discovery::{Discovery, Line, Traffic};
use crate::scale::control::{self, Order};
use crate::scale::layout::{LIST_LINES, zone, zone_names};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// The port of all that is listed: nothing is ever sent there.
const DISCARD: u16 = 9;

/// What a discovery can be told.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum DiscoveryOrder {
    /// The list's last line goes, another one comes.
    Publish {
        /// The new line's number: one more than that of the last.
        version: u64,
    },
    /// Nothing new; a report is wanted.
    Report,
}

/// How a discovery stands.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) struct DiscoveryReport {
    /// Where it listens.
    pub address: SocketAddr,
    /// The newest version, as its callers are told it.
    pub generation: u64,
    /// What has passed.
    pub traffic: Traffic,
}

impl Order for DiscoveryOrder {
    type Report = DiscoveryReport;
}

/// The name of the line that stands in one version of the list alone.
pub(in crate::scale) fn newest_line(version: u64) -> String {
    format!("service-1-newest-{version:04}")
}

fn line(place: usize, instance_id: String, lifecycle: &'static str) -> Line {
    Line {
        instance_id,
        host_port: SocketAddr::from((Ipv4Addr::LOCALHOST, DISCARD)),
        zone: zone_names().swap_remove(zone(place)),
        machine_type: "plain".to_owned(),
        cell: 0,
        lifecycle,
        started_at_ms: 0,
    }
}

fn publish(discovery: &Discovery, version: u64) {
    let place = LIST_LINES - 1;
    if let Some(last) = version.checked_sub(1) {
        discovery.publish(line(place, newest_line(last), "left"));
    }
    discovery.publish(line(place, newest_line(version), "active"));
}

pub(super) async fn serve(executor: &Executor) -> io::Result<()> {
    let discovery = Discovery::start(executor)?;
    for place in 0..LIST_LINES - 1 {
        discovery.publish(line(place, format!("service-1-endpoint-{place:03}"), "active"));
    }
    publish(&discovery, 0);
    let address = discovery.address;
    control::serve(|order| {
        if let DiscoveryOrder::Publish { version } = order {
            publish(&discovery, version);
        }
        Ok(DiscoveryReport { address, generation: discovery.generation(), traffic: discovery.traffic() })
    })
    .await
}
