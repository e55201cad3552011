//! A discovery stand-in with the list of one service.

use crate::live::Executor;
use crate::live::discovery::{Discovery, Line, Traffic};
use crate::scale::control::{self, Order};
use crate::scale::layout::{LIST_LINES, zone, zone_names};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// The port of all listed endpoints. Nothing is ever sent there.
const DISCARD_PORT: u16 = 9;

/// An order to a discovery stand-in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum DiscoveryOrder {
    /// Replaces the last line of the list by a new one.
    Publish {
        /// The new line's number, one more than that of the line that it replaces.
        version: u64,
    },
    /// Changes nothing; requests a report.
    Report,
}

/// The state of a discovery stand-in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) struct DiscoveryReport {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The newest version of the list, as its clients see it.
    pub generation: u64,
    /// Its traffic so far.
    pub traffic: Traffic,
}

impl Order for DiscoveryOrder {
    type Report = DiscoveryReport;
}

/// The name of the line that exists in this version of the list only.
pub(in crate::scale) fn newest_line(version: u64) -> String {
    format!("service-1-newest-{version:04}")
}

fn line(index: usize, instance_id: String, lifecycle: &'static str) -> Line {
    Line {
        instance_id,
        host_port: SocketAddr::from((Ipv4Addr::LOCALHOST, DISCARD_PORT)),
        zone: zone_names().swap_remove(zone(index)),
        machine_type: "plain".to_owned(),
        cell: 0,
        lifecycle,
        started_at_ms: 0,
    }
}

fn publish(discovery: &Discovery, version: u64) {
    let index = LIST_LINES - 1;
    if let Some(last) = version.checked_sub(1) {
        discovery.publish(line(index, newest_line(last), "left"));
    }
    discovery.publish(line(index, newest_line(version), "active"));
}

pub(super) async fn serve(executor: &Executor) -> io::Result<()> {
    let discovery = Discovery::start(executor)?;
    for index in 0..LIST_LINES - 1 {
        discovery.publish(line(index, format!("service-1-endpoint-{index:03}"), "active"));
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
