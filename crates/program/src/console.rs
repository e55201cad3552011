//! Console commands, carried out on the running sidecar: statistics, disabled endpoints, drains.

use crate::fleet::{self, Membership};
use crate::taken_out::{DISABLED_LIMIT, DisabledEndpoints};
use async_io::Timer;
use cottonpoint_core::{Sidecar, endpoint_id};
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::console::{ConsoleCommand, answer_line};
use futures_lite::future;
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How long the answer to an order waits until the order is stored: an answer is due within a second
/// (the deployment's requirements).
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the console commands act on.
pub struct Console {
    /// The core.
    pub sidecar: Rc<Sidecar>,
    /// Client connections.
    pub clients: Rc<Clients>,
    /// Endpoints disabled by the operator.
    pub disabled: Rc<DisabledEndpoints>,
    /// Whether the process is stopping.
    pub stopping: Rc<Cell<bool>>,
    /// Whether the process takes clients.
    pub takes_clients: Rc<Cell<bool>>,
    /// The fleet membership, if it is on.
    pub fleet: Option<Rc<Membership>>,
}

impl Console {
    /// Disables the endpoints that an earlier process had disabled.
    pub fn restore_disabled(&self) {
        for name in self.disabled.names() {
            self.sidecar.restore_offline(endpoint_id(&name));
        }
    }

    /// Applies what another process of the sidecar has changed in the file meanwhile.
    pub fn apply_file_changes(&self) {
        let Some(changed) = self.disabled.read_changes() else { return };
        for name in changed.disabled {
            self.sidecar.restore_offline(endpoint_id(&name));
        }
        for name in changed.enabled {
            let _ = self.sidecar.set_offline(endpoint_id(&name), false);
        }
    }

    /// Carries out a command and returns the whole answer. An order on an endpoint holds at once,
    /// and is stored before the answer, unless the disk takes too long.
    pub async fn answer(&self, command: ConsoleCommand) -> String {
        match command {
            ConsoleCommand::Offline(name) => self.set_disabled(&name, true).await,
            ConsoleCommand::Online(name) => self.set_disabled(&name, false).await,
            ConsoleCommand::Health if self.stopping.get() => answer_line(Err("stopping".to_owned())),
            ConsoleCommand::Health if !self.takes_clients.get() => {
                answer_line(Err("waiting for the endpoint list".to_owned()))
            }
            ConsoleCommand::Health => answer_line(Ok(String::new())),
            // The statistics have no status line: one JSON line, then the line that ends the
            // answer.
            ConsoleCommand::Dump => format!("{}\n.\n", self.statistics()),
            ConsoleCommand::Peers => match self.fleet.as_ref().map(|fleet| fleet.handle()) {
                Some(Some(fleet)) => format!("{}\n.\n", fleet::statistics(fleet)),
                Some(None) => answer_line(Err("the fleet's address is held by another process".to_owned())),
                None => answer_line(Err("the fleet is off".to_owned())),
            },
            ConsoleCommand::Leave => {
                self.clients.start_drain();
                self.fleet.iter().for_each(|fleet| fleet.send_command(Command::Leave));
                answer_line(Ok(String::new()))
            }
            ConsoleCommand::Join => {
                self.clients.end_drain();
                // A stopping process has left the fleet for good.
                self.fleet
                    .iter()
                    .filter(|_| !self.stopping.get())
                    .for_each(|fleet| fleet.send_command(Command::Join));
                answer_line(Ok(String::new()))
            }
        }
    }

    async fn set_disabled(&self, name: &str, disable: bool) -> String {
        // What the other process of an upgrade has confirmed comes before this order.
        self.apply_file_changes();
        if disable && self.disabled.is_full() {
            return answer_line(Err(format!("{name}: {DISABLED_LIMIT} endpoints are out already")));
        }
        if self.sidecar.set_offline(endpoint_id(name), disable).is_err() {
            return answer_line(Err(format!("no endpoint {} was ever listed", name.escape_debug())));
        }
        let number = self.disabled.set(name, disable);
        let stored = async {
            self.disabled.wait_until_stored(number).await;
            true
        };
        let timeout = async {
            Timer::after(STORE_TIMEOUT).await;
            false
        };
        if !future::or(stored, timeout).await {
            tracing::warn!(endpoint = name, "order on an endpoint confirmed before it is stored");
        }
        answer_line(Ok(String::new()))
    }

    /// The statistics as one JSON object: every class of the settings in force, and classes counted
    /// before.
    pub fn statistics(&self) -> Value {
        let counts = self.sidecar.counts();
        let mut operations = Map::new();
        for class in self.clients.class_names() {
            operations.insert(class, class_statistics(Default::default()));
        }
        for (class, c) in counts.classes() {
            operations.insert(class, class_statistics(c));
        }
        let (listed, out_of_rotation) = self.sidecar.rotation();
        let (accepted, invalid) = counts.configurations();
        json!({
            "operations": operations,
            "relayed": counts.attempts_written(),
            "open_requests": self.sidecar.open_requests(),
            "registry_entries": listed,
            "out_of_rotation": out_of_rotation,
            "cfg_accepted": accepted,
            "cfg_invalid": invalid,
        })
    }
}

fn class_statistics(c: cottonpoint_core::ClassCounts) -> Value {
    json!({"fulfilled": c.fulfilled, "throttled": c.throttled, "faulted": c.faulted, "relayed": c.relayed})
}
