//! Hollow sidecars, many in one process: the program's own discovery watcher and balancer,
//! assembled as in `cottonpoint serve`, but without clients, console, metrics and request traffic.

use super::discovery::newest_line;
use crate::live::Executor;
use crate::scale::configuration::configuration;
use crate::scale::control::{self, Order};
use async_channel::Sender;
use async_executor::Task;
use cottonpoint::active::connection_limits;
use cottonpoint::config::Config;
use cottonpoint_core::{Clock, Sidecar, endpoint_id};
use cottonpoint_decide::ListKind;
use cottonpoint_net::list::{DiscoveryAddress, NameTable, Watcher};
use cottonpoint_net::memory::Memory;
use cottonpoint_net::servers::{EndpointConnections, PoolSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// A hollow sidecar.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::scale) struct HollowSidecar {
    /// Its index among all sidecars.
    pub index: usize,
    /// The address of the discovery stand-in that it polls, or of the relay in front of it.
    pub discovery: SocketAddr,
}

/// An order to the host of hollow sidecars.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::scale) enum HollowOrder {
    /// Starts these sidecars. One that is running is ended first.
    Start(Vec<HollowSidecar>),
    /// Ends the sidecars with these indices and closes their connections.
    End(Vec<usize>),
    /// Changes nothing; requests a report.
    Report {
        /// The newest version of the list.
        version: u64,
    },
}

/// The state of the hollow sidecars.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(in crate::scale) struct HollowReport {
    /// The number of running sidecars.
    pub running: usize,
    /// The number of running sidecars that have the requested version of the list.
    pub up_to_date: usize,
}

impl Order for HollowOrder {
    type Report = HollowReport;
}

struct RunningSidecar {
    sidecar: Rc<Sidecar>,
    /// Kept open because the watcher receives changes of the discovery address on this channel as
    /// long as it runs.
    _change_sender: Sender<DiscoveryAddress>,
    _watcher: Task<()>,
}

struct HollowHost {
    executor: Executor,
    running: BTreeMap<usize, RunningSidecar>,
}

impl HollowHost {
    fn start(&mut self, HollowSidecar { index, discovery }: HollowSidecar) -> Result<(), String> {
        self.running.remove(&index);
        let text = configuration(index, discovery, 0).to_string();
        let config = Config::parse(&text, |_| None).map_err(|error| error.to_string())?;
        let platform = &config.platform;
        let names = NameTable::default();
        let settings = names.balancer_settings(platform);
        let (sidecar, subscriptions) =
            Sidecar::new(settings, config.seed, Clock::start(), self.executor.clone());
        let memory = Memory::new(config.memory_mb, connection_limits(&config));
        let endpoint_connections =
            EndpointConnections::new(pool_settings(&config), self.executor.clone(), memory);
        // The balancer starts with its first event.
        sidecar.apply_list(ListKind::Full, &[]);
        let (change_sender, discovery_changes) = async_channel::bounded(1);
        let watcher = Watcher {
            sidecar: sidecar.clone(),
            endpoint_connections,
            discovery: DiscoveryAddress { address: config.discovery, pushed: false },
            names,
            generation: None,
            discovery_changes,
            random: fastrand::Rng::with_seed(config.seed),
        };
        let watcher = self.executor.spawn(watcher.run(subscriptions));
        self.running
            .insert(index, RunningSidecar { sidecar, _change_sender: change_sender, _watcher: watcher });
        Ok(())
    }

    fn report(&self, version: u64) -> HollowReport {
        let newest = endpoint_id(&newest_line(version));
        let up_to_date = self.running.values().filter(|running| running.sidecar.takes_work(newest)).count();
        HollowReport { running: self.running.len(), up_to_date }
    }

    fn execute(&mut self, order: HollowOrder) -> Result<HollowReport, String> {
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

fn pool_settings(config: &Config) -> PoolSettings {
    PoolSettings {
        connect_timeout: config.platform.connect_timeout,
        idle_timeout: config.platform.conn_idle,
        max_connections: config.endpoint_connections,
        socket_buffer: config.socket_buffer,
        fields: config.platform.fields.clone(),
        field_names: config.platform.field_names.clone(),
    }
}

pub(super) async fn serve(executor: &Executor) -> io::Result<()> {
    let mut host = HollowHost { executor: executor.clone(), running: BTreeMap::new() };
    control::serve(|order| host.execute(order)).await
}
