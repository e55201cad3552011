//! The configuration in force. Every part of a running sidecar that acts by the configuration takes
//! a new one in the same step, in which no other task runs: a request is read, admitted and decided
//! by one configuration.

use crate::config::Config;
use async_channel::Sender;
use cottonpoint_core::{ConnectionLimits, Sidecar};
use cottonpoint_decide::Discovery;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::list::{DiscoveryAddress, NameTable};
use cottonpoint_net::memory::Memory;
use cottonpoint_net::servers::{EndpointConnections, PoolSettings};
use std::rc::Rc;

/// Descriptors for everything but client and endpoint connections, at most: three standard streams,
/// three of the event loop, two for signals, the listeners of clients, console and metrics,
/// discovery, a request for metrics, the fleet's socket, two files: 16, rounded up to 24; and the
/// console's connections.
const OWN_DESCRIPTORS: usize = 24 + cottonpoint_net::console::MAX_CONNECTIONS;

/// The configuration in force, and the parts of the sidecar that act by it.
pub struct ActiveConfig {
    /// The configuration.
    pub config: Config,
    /// The core, with its balancer and its lease.
    pub sidecar: Rc<Sidecar>,
    /// Client connections.
    pub clients: Rc<Clients>,
    /// Endpoint connections.
    pub endpoint_connections: Rc<EndpointConnections>,
    /// The account of memory.
    pub memory: Rc<Memory>,
    /// The numbers of zones and machine kinds, shared with the endpoint list.
    pub names: NameTable,
    /// Receives each address of discovery that differs from the one before, in order.
    pub address_updates: Sender<DiscoveryAddress>,
}

impl ActiveConfig {
    /// Puts a configuration in force. Requests admitted before keep the classes and limits of
    /// theirs.
    pub fn replace(&mut self, config: Config) {
        let platform = &config.platform;
        if *platform != self.config.platform {
            let renumbering = platform.renumbering_since(&self.config.platform);
            self.sidecar.reload_settings(self.names.balancer_settings(platform), &renumbering);
            self.clients.set_platform(platform.clone());
            self.sidecar.counts().make_room_for(&platform.classes);
        }
        self.sidecar.set_drain_grace(platform.drain_grace);
        let address = discovery_address(&config);
        if address != discovery_address(&self.config) {
            // Unbounded: it fails only once the watcher is gone.
            let _ = self.address_updates.try_send(address);
        }
        let connections = connection_limits(&config);
        self.memory.set_limits(config.memory_mb, connections);
        self.clients.set_max_connections(connections.clients);
        self.endpoint_connections.set_pool_settings(pool_settings(&config));
        tracing::info!("{}", self.config.apply(config));
    }
}

/// The settings of the pool of connections to endpoints.
pub fn pool_settings(config: &Config) -> PoolSettings {
    let settings = &config.platform;
    PoolSettings {
        connect_timeout: settings.connect_timeout,
        // Connections are closed well before the endpoint closes them, which could happen during a
        // request.
        idle_timeout: settings.conn_idle.mul_f64(0.7),
        max_connections: connection_limits(config).endpoints,
        socket_buffer: config.socket_buffer,
        fields: settings.fields.clone(),
        field_names: settings.field_names.clone(),
    }
}

/// The maximum numbers of connections. If the system allows fewer descriptors than the settings, or
/// the memory has no room for as many, they are reduced, so that clients at their maximum leave enough
/// for discovery, the console, endpoints and messages.
pub fn connection_limits(config: &Config) -> ConnectionLimits {
    descriptor_limits(config).within_memory(config.memory_mb)
}

fn descriptor_limits(config: &Config) -> ConnectionLimits {
    let (clients, endpoints) = (config.client_connections, config.endpoint_connections);
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open_files_limit =
        limits.lines().find_map(|l| l.strip_prefix("Max open files")?.split_whitespace().next());
    let Some(open_files_limit) =
        open_files_limit.and_then(|open_files_limit| open_files_limit.parse::<usize>().ok())
    else {
        return ConnectionLimits { clients, endpoints };
    };
    let available = open_files_limit.saturating_sub(OWN_DESCRIPTORS).clamp(2, clients + endpoints);
    let clients = (clients * available / (clients + endpoints)).max(1);
    ConnectionLimits { clients, endpoints: available - clients }
}

/// The address of discovery in a configuration, and whether it pushes lists.
pub fn discovery_address(config: &Config) -> DiscoveryAddress {
    DiscoveryAddress {
        address: config.discovery,
        pushed: config.platform.balancer.discovery == Discovery::Pushed,
    }
}
