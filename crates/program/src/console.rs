//! Console commands, carried out on the running sidecar: statistics, disabled endpoints, drains.

use crate::fleet::{self, Membership};
use crate::taken_out::{DISABLED_LIMIT, DisabledEndpoints};
use cottonpoint_core::{Sidecar, endpoint_id};
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::console::{ConsoleCommand, answer_line};
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;

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
        let Some((disabled, enabled)) = self.disabled.read_changes() else { return };
        for name in disabled {
            self.sidecar.restore_offline(endpoint_id(&name));
        }
        for name in enabled {
            let _ = self.sidecar.set_offline(endpoint_id(&name), false);
        }
    }

    /// Carries out a command and returns the whole answer.
    pub fn answer(&self, command: ConsoleCommand) -> String {
        match command {
            ConsoleCommand::Health if self.stopping.get() => answer_line(Err("stopping".to_owned())),
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
            ConsoleCommand::Offline(name) if self.disabled.is_full() => {
                answer_line(Err(format!("{name}: {DISABLED_LIMIT} endpoints are out already")))
            }
            ConsoleCommand::Offline(name) => self.set_disabled(&name, true),
            ConsoleCommand::Online(name) => self.set_disabled(&name, false),
        }
    }

    fn set_disabled(&self, name: &str, disable: bool) -> String {
        if self.sidecar.set_offline(endpoint_id(name), disable).is_err() {
            return answer_line(Err(format!("no endpoint {} was ever listed", name.escape_debug())));
        }
        self.disabled.set(name, disable);
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
