//! How the list of a soak changes: single endpoints and whole tiers that go and come back.

use super::{SoakRun, name_of};
use crate::live::discovery::Line;
use crate::soak::records::*;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::SystemTime;

/// The time of a start, as Unix time in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct StartedAtMs(u64);

impl StartedAtMs {
    fn now() -> StartedAtMs {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        StartedAtMs(u64::try_from(now.as_millis()).unwrap_or(0))
    }
}

impl SoakRun {
    /// Changes the lifecycle of endpoints in one version of the list. `started` is when their
    /// processes started; `None` means long ago.
    pub(super) fn set_lifecycles(
        &self,
        endpoints: &[usize],
        lifecycle: Lifecycle,
        started: Option<StartedAtMs>,
    ) {
        let text = match lifecycle {
            Lifecycle::Active => "active",
            Lifecycle::Draining => "leaving",
            Lifecycle::Removed => "left",
        };
        let started_at_ms = started.map_or(0, |started| started.0);
        let addresses = self.addresses.borrow();
        let line =
            |endpoint: &usize| list_line(&name_of(*endpoint), addresses[*endpoint], text, started_at_ms);
        let version = self.discovery.update_lines(endpoints.iter().map(line));
        let (at, cold) = (self.run_start.elapsed(), started.is_some());
        for &endpoint in endpoints {
            self.lifecycles.borrow_mut()[endpoint] = lifecycle;
            self.changes.borrow_mut().push(Change { version, at, endpoint, lifecycle, cold });
        }
    }

    /// Lets an endpoint drain or removes it.
    pub(super) fn withdraw(&self, endpoint: usize, lifecycle: Lifecycle) {
        let current = self.lifecycles.borrow()[endpoint];
        if current != Lifecycle::Removed && current != lifecycle {
            self.set_lifecycles(&[endpoint], lifecycle, None);
        }
    }

    /// Lets all endpoints drain that are active, or removes all that are listed.
    pub(super) fn withdraw_tier(&self, lifecycle: Lifecycle) {
        let endpoints =
            self.endpoints_where(|current| current != Lifecycle::Removed && current != lifecycle);
        if !endpoints.is_empty() {
            self.set_lifecycles(&endpoints, lifecycle, None);
        }
    }

    /// Lets the endpoints that have stopped listen again at their addresses.
    pub(super) fn listen_tier(&self) -> io::Result<()> {
        for endpoint in self.endpoints.iter().filter(|endpoint| !endpoint.is_running()) {
            let address = self.addresses.borrow()[endpoint.index];
            endpoint.start_on(TcpListener::bind(address)?, &self.executor)?;
        }
        Ok(())
    }

    /// Lists all endpoints that are not active as active, and starts those that do not run.
    pub(super) fn list_tier(&self, cold: bool) -> io::Result<()> {
        self.listen_tier()?;
        let endpoints = self.endpoints_where(|current| current != Lifecycle::Active);
        if !endpoints.is_empty() {
            self.set_lifecycles(&endpoints, Lifecycle::Active, cold.then(StartedAtMs::now));
        }
        Ok(())
    }

    /// Lists an endpoint as active again. One whose process has ended is started anew, cold.
    pub(super) fn return_endpoint(&self, endpoint: usize) -> io::Result<()> {
        if self.lifecycles.borrow()[endpoint] == Lifecycle::Active {
            return Ok(());
        }
        if self.endpoints[endpoint].is_running() {
            self.set_lifecycles(&[endpoint], Lifecycle::Active, None);
            return Ok(());
        }
        self.start_cold(endpoint)
    }

    /// Replaces the process of an active endpoint by a cold one.
    pub(super) fn restart_endpoint(&self, endpoint: usize) -> io::Result<()> {
        if self.lifecycles.borrow()[endpoint] != Lifecycle::Active {
            return Ok(());
        }
        self.endpoints[endpoint].crash();
        self.start_cold(endpoint)
    }

    fn start_cold(&self, endpoint: usize) -> io::Result<()> {
        let address = self.endpoints[endpoint].start(&self.executor)?;
        self.addresses.borrow_mut()[endpoint] = address;
        self.set_lifecycles(&[endpoint], Lifecycle::Active, Some(StartedAtMs::now()));
        Ok(())
    }

    fn endpoints_where(&self, wanted: impl Fn(Lifecycle) -> bool) -> Vec<usize> {
        let lifecycles = self.lifecycles.borrow();
        (0..lifecycles.len()).filter(|endpoint| wanted(lifecycles[*endpoint])).collect()
    }
}

/// An entry of the list.
pub(super) fn list_line(
    name: &str,
    address: SocketAddr,
    lifecycle: &'static str,
    started_at_ms: u64,
) -> Line {
    Line {
        instance_id: name.to_owned(),
        host_port: address,
        zone: "here".to_owned(),
        machine_type: "plain".to_owned(),
        cell: 0,
        lifecycle,
        started_at_ms,
    }
}
