//! The parts of a sidecar on an executor that the story drives: nothing of it runs in between.

use crate::peers::*;
use async_executor::LocalExecutor;
use cottonpoint::config::Config;
use cottonpoint::net::list::{DiscoveryAddress, NameTable, Watcher};
use cottonpoint::net::servers::{EndpointConnections, PoolSettings};
use cottonpoint::sidecar::{Clock, Executor, Sidecar};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A sidecar that holds a list and has no clients of its own.
pub struct Embedded {
    pub executor: Executor,
    pub sidecar: Rc<Sidecar>,
    pub servers: Rc<EndpointConnections>,
    names: NameTable,
}

impl Embedded {
    /// One with those endpoints and as many connections to them at most, each given up after that time.
    pub fn new(endpoints: &[String], max_connections: usize, connect_timeout: Duration) -> Embedded {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = config(nowhere, &list(1, true, endpoints), 1024);
        let config = Config::parse(&text, |_| None).expect("a good configuration");
        let platform = config.platform;
        let executor: Executor = Rc::new(LocalExecutor::new());
        let (sidecar, _) = Sidecar::new(platform.balancer, 1, Clock::start(), executor.clone());
        let terms = PoolSettings {
            connect_timeout,
            idle_timeout: platform.conn_idle,
            max_connections,
            fields: platform.fields,
            field_names: platform.field_names,
        };
        let servers = EndpointConnections::new(terms, executor.clone());
        let names = NameTable { zones: platform.zones, kinds: platform.kinds };
        let known = config.known.expect("a list");
        let (kind, listed) = known.listed(&names).expect("a good list");
        sidecar.apply_list(kind, &listed);
        Embedded { executor, sidecar, servers, names }
    }

    /// Follows discovery there, from the first version on. Its places are named by what is returned.
    pub fn follow(&self, discovery: SocketAddr) -> async_channel::Sender<DiscoveryAddress> {
        let (moves, discovery_changes) = async_channel::unbounded();
        let (subscribe, subscribed) = async_channel::bounded(1);
        let watcher = Watcher {
            sidecar: self.sidecar.clone(),
            servers: self.servers.clone(),
            discovery: DiscoveryAddress { address: discovery, pushed: false },
            names: self.names.clone(),
            generation: Some(1),
            discovery_changes,
            random: fastrand::Rng::with_seed(1),
        };
        let follows = async move {
            watcher.run(subscribed).await;
            drop(subscribe); // The balancer's end, for as long as discovery is followed.
        };
        self.executor.spawn(follows).detach();
        moves
    }

    /// Runs it until that is done.
    pub fn run<T>(&self, until: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(until))
    }
}
