//! The parts of a sidecar on an executor that the test drives: none of them runs in between.

use crate::harness::*;
use async_executor::LocalExecutor;
use cottonpoint::active::connection_limits;
use cottonpoint::config::Config;
use cottonpoint::net::list::{DiscoveryAddress, NameTable, Watcher};
use cottonpoint::net::memory::Memory;
use cottonpoint::net::servers::{EndpointConnections, PoolSettings};
use cottonpoint::sidecar::{Clock, Executor, Sidecar};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A sidecar that holds a list and has no clients of its own.
pub struct Embedded {
    pub executor: Executor,
    pub sidecar: Rc<Sidecar>,
    pub endpoint_connections: Rc<EndpointConnections>,
    names: NameTable,
}

impl Embedded {
    /// Creates a sidecar with these endpoints and a maximum number of connections to them, with a
    /// time limit for each connect.
    pub fn new(endpoints: &[String], max_connections: usize, connect_timeout: Duration) -> Embedded {
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = config_json(unused_address, &list_json(1, true, endpoints), 1024);
        let config = Config::parse(&text, |_| None).expect("a good configuration");
        let connections = connection_limits(&config);
        let settings = config.platform;
        let executor: Executor = Rc::new(LocalExecutor::new());
        let names = NameTable::default();
        let balancer_settings = names.balancer_settings(&settings);
        let (sidecar, _) = Sidecar::new(balancer_settings, 1, Clock::start(), executor.clone());
        let pool_settings = PoolSettings {
            connect_timeout,
            idle_timeout: settings.conn_idle,
            max_connections,
            socket_buffer: config.socket_buffer,
            fields: settings.fields,
            field_names: settings.field_names,
        };
        let endpoint_connections = EndpointConnections::new(
            pool_settings,
            executor.clone(),
            Memory::new(config.memory_mb, connections),
        );
        let known = config.known.expect("a list");
        let entries = known.entries(&names);
        assert_eq!(entries.faulty, []);
        sidecar.apply_list(entries.kind, &entries.records);
        Embedded { executor, sidecar, endpoint_connections, names }
    }

    /// Follows discovery at this address, from the first version on. Later addresses of discovery
    /// are sent to the returned channel.
    pub fn follow(&self, discovery: SocketAddr) -> async_channel::Sender<DiscoveryAddress> {
        let (address_updates, discovery_changes) = async_channel::unbounded();
        let (subscribe, subscribed) = async_channel::bounded(1);
        let watcher = Watcher {
            sidecar: self.sidecar.clone(),
            endpoint_connections: self.endpoint_connections.clone(),
            discovery: DiscoveryAddress { address: discovery, pushed: false },
            names: self.names.clone(),
            generation: Some(1),
            discovery_changes,
            random: fastrand::Rng::with_seed(1),
        };
        let follow = async move {
            watcher.run(subscribed).await;
            drop(subscribe); // Keeps the balancer's end of the channel open while discovery is followed.
        };
        self.executor.spawn(follow).detach();
        address_updates
    }

    /// Runs the sidecar until `until` is done.
    pub fn run<T>(&self, until: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(until))
    }
}
