//! Hollow sidecars, many in one process: the program's own follower of the list and its decision machine, put together
//! as `cottonpoint serve` does, without clients, console, metrics and request traffic.

use super::discovery::newest_line;
use crate::live::Executor;
use crate::scale::configuration::configuration;
use crate::scale::control::{self, Order};
use async_channel::Sender;
use async_executor::Task;
use cottonpoint::config::Config;
use cottonpoint_core::{Clock, Sidecar, endpoint_id};
use cottonpoint_decide::ListKind;
use cottonpoint_net::list::{DiscoveryAddress, NameTable, Watcher};
use cottonpoint_net::servers::{EndpointConnections, PoolSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// One hollow sidecar.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) struct HollowSidecar {
    /// Its index among all sidecars.
    pub index: usize,
    /// The discovery that it asks, or the relay in front of it.
    pub discovery: SocketAddr,
}

/// What a host of hollow sidecars can be told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum HollowOrder {
    /// Start these; one that runs is ended first.
    Start(Vec<HollowSidecar>),
    /// End these, by their index, with their connections.
    End(Vec<usize>),
    /// Nothing new; a report is wanted.
    Report {
        /// The version of the list that is the newest.
        version: u64,
    },
}

/// How the hollow sidecars stand.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(in crate::scale) struct HollowReport {
    /// How many run.
    pub running: usize,
    /// Of them, those that hold the version asked about.
    pub up_to_date: usize,
}

impl Order for HollowOrder {
    type Report = HollowReport;
}

struct Running {
    sidecar: Rc<Sidecar>,
    /// Held so that the follower can be told of a move for as long as it lives.
    _moves: Sender<DiscoveryAddress>,
    _follower: Task<()>,
}

struct Hollow {
    executor: Executor,
    running: BTreeMap<usize, Running>,
}

impl Hollow {
    fn start(&mut self, HollowSidecar { index, discovery }: HollowSidecar) -> Result<(), String> {
        self.running.remove(&index);
        let text = configuration(index, discovery, 0).to_string();
        let config = Config::parse(&text, |_| None).map_err(|bad| bad.to_string())?;
        let platform = &config.platform;
        let names = NameTable { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
        let (sidecar, asked) =
            Sidecar::new(platform.balancer.clone(), config.seed, Clock::start(), self.executor.clone());
        let servers = EndpointConnections::new(terms(&config), self.executor.clone());
        // The balancer comes to life with its first event.
        sidecar.apply_list(ListKind::Full, &[]);
        let (moves, discovery_changes) = async_channel::bounded(1);
        let follower = Watcher {
            sidecar: sidecar.clone(),
            servers,
            discovery: DiscoveryAddress { address: config.discovery, pushed: false },
            names,
            generation: None,
            discovery_changes,
            random: fastrand::Rng::with_seed(config.seed),
        };
        let follower = self.executor.spawn(follower.run(asked));
        self.running.insert(index, Running { sidecar, _moves: moves, _follower: follower });
        Ok(())
    }

    fn report(&self, version: u64) -> HollowReport {
        let newest = endpoint_id(&newest_line(version));
        let up_to_date = self.running.values().filter(|running| running.sidecar.takes_work(newest)).count();
        HollowReport { running: self.running.len(), up_to_date }
    }

    fn carry_out(&mut self, order: HollowOrder) -> Result<HollowReport, String> {
        match order {
            HollowOrder::Start(sidecars) => {
                sidecars.into_iter().try_for_each(|sidecar| self.start(sidecar))?;
                Ok(HollowReport { running: self.running.len(), up_to_date: 0 })
            }
            HollowOrder::End(indices) => {
                indices.iter().for_each(|index| drop(self.running.remove(index)));
                Ok(HollowReport { running: self.running.len(), up_to_date: 0 })
            }
            HollowOrder::Report { version } => Ok(self.report(version)),
        }
    }
}

fn terms(config: &Config) -> PoolSettings {
    PoolSettings {
        connect_timeout: config.platform.connect_timeout,
        idle_timeout: config.platform.conn_idle,
        max_connections: config.endpoint_connections,
        fields: config.platform.fields.clone(),
        field_names: config.platform.field_names.clone(),
    }
}

pub(super) async fn serve(executor: &Executor) -> io::Result<()> {
    let mut hollow = Hollow { executor: executor.clone(), running: BTreeMap::new() };
    control::serve(|order| hollow.carry_out(order)).await
}
