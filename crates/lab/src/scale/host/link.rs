//! The link between the regions: a relay in front of each discovery stand-in.

use crate::rig::stream::{StreamCounts, StreamFaults, StreamRelays};
use crate::scale::control::{self, Order};
use crate::scale::layout::DISCOVERIES;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// An order to the link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum LinkOrder {
    /// Sets the endpoint of each relay, one for each discovery stand-in.
    LeadTo(Vec<SocketAddr>),
    /// Lets bytes pass with a delay.
    Pass {
        /// The delay in either direction.
        delay: Duration,
    },
    /// Holds bytes in both directions until they may pass again.
    Cut,
    /// Changes nothing; requests a report.
    Report,
}

/// The state of the link.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(in crate::scale) struct LinkReport {
    /// The addresses at which its relays listen, one for each discovery stand-in.
    pub addresses: Vec<SocketAddr>,
    /// The traffic since the start.
    pub traffic: LinkTraffic,
}

/// The traffic through the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkTraffic {
    /// Connections accepted.
    pub connections: u64,
    /// Connections that were reset.
    pub reset: u64,
    /// Bytes forwarded to the discovery stand-ins.
    pub bytes_there: u64,
    /// Bytes forwarded from the discovery stand-ins.
    pub bytes_back: u64,
}

impl Order for LinkOrder {
    type Report = LinkReport;
}

fn report(relays: &[StreamRelays]) -> LinkReport {
    let mut traffic = LinkTraffic::default();
    for relay in relays {
        let StreamCounts { connections, reset, bytes_to_endpoint, bytes_from_endpoint } = relay.counts(0);
        traffic.connections += connections;
        traffic.reset += reset;
        traffic.bytes_there += bytes_to_endpoint;
        traffic.bytes_back += bytes_from_endpoint;
    }
    LinkReport { addresses: relays.iter().map(|relay| relay.address(0)).collect(), traffic }
}

fn set(relays: &[StreamRelays], faults: StreamFaults) {
    relays.iter().for_each(|relay| relay.set(0, faults));
}

pub(super) async fn serve() -> io::Result<()> {
    // Each discovery stand-in has relays of its own, because the limit on connections applies to
    // one set of relays.
    let relays = (0..DISCOVERIES).map(|_| StreamRelays::start(1)).collect::<io::Result<Vec<_>>>()?;
    control::serve(|order| {
        match order {
            LinkOrder::LeadTo(endpoints) => {
                for (relay, endpoint) in relays.iter().zip(endpoints) {
                    relay.set_endpoint(0, Some(endpoint));
                }
            }
            LinkOrder::Pass { delay } => set(&relays, StreamFaults { delay, ..Default::default() }),
            LinkOrder::Cut => {
                set(
                    &relays,
                    StreamFaults { hold_to_endpoint: true, hold_from_endpoint: true, ..Default::default() },
                );
            }
            LinkOrder::Report => {}
        }
        Ok(report(&relays))
    })
    .await
}
