//! The link between the regions: a relay in front of each discovery.

use crate::rig::stream::{StreamCounts, StreamFaults, StreamRelays};
use crate::scale::control::{self, Order};
use crate::scale::layout::DISCOVERIES;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What the link can be told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum LinkOrder {
    /// Where the relays lead to, one for each discovery.
    LeadTo(Vec<SocketAddr>),
    /// Bytes pass, so much later.
    Pass {
        /// How much later, either way.
        delay: Duration,
    },
    /// Bytes stop on the way, in both directions, until they pass again.
    Cut,
    /// Nothing new; a report is wanted.
    Report,
}

/// How the link stands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(in crate::scale) struct LinkReport {
    /// Where its relays listen, one for each discovery.
    pub addresses: Vec<SocketAddr>,
    /// What has passed since the start.
    pub traffic: LinkTraffic,
}

/// What has passed through the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkTraffic {
    /// Connections taken.
    pub connections: u64,
    /// Of them, reset.
    pub reset: u64,
    /// Bytes to the discoveries.
    pub bytes_there: u64,
    /// Bytes from the discoveries.
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
    // One set of relays for each discovery: each has room for connections of its own.
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
