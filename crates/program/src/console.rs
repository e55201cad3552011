//! The console's calls, carried out on the running sidecar: its figures, endpoints out by hand, drains.

use crate::fleet::{self, Membership};
use crate::taken_out::{OUT_LIMIT, TakenOut};
use cottonpoint_core::{Sidecar, endpoint_id};
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::console::{ConsoleCommand, answer_line};
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// All that the console's calls act on.
pub struct Console {
    /// The core.
    pub sidecar: Rc<Sidecar>,
    /// Client connections.
    pub clients: Rc<Clients>,
    /// The classes of the settings in force, in order.
    pub classes: Rc<RefCell<Vec<String>>>,
    /// Endpoints out by hand.
    pub out: Rc<TakenOut>,
    /// Whether the process has been told to stop.
    pub stopping: Rc<Cell<bool>>,
    /// The fleet, where it is on.
    pub fleet: Option<Rc<Membership>>,
}

impl Console {
    /// Takes out again what an earlier process had taken out.
    pub fn restore(&self) {
        for name in self.out.names() {
            self.sidecar.restore_offline(endpoint_id(&name));
        }
    }

    /// Follows what another process of the sidecar has written to the file meanwhile.
    pub fn follow_file(&self) {
        let Some((taken_out, put_back)) = self.out.changed() else { return };
        for name in taken_out {
            self.sidecar.restore_offline(endpoint_id(&name));
        }
        for name in put_back {
            let _ = self.sidecar.set_offline(endpoint_id(&name), false);
        }
    }

    /// The whole answer to a call.
    pub fn answer(&self, call: ConsoleCommand) -> String {
        match call {
            ConsoleCommand::Health if self.stopping.get() => answer_line(Err("stopping".to_owned())),
            ConsoleCommand::Health => answer_line(Ok(String::new())),
            // The figures stand alone, as one JSON line, then the line that ends them.
            ConsoleCommand::Dump => format!("{}\n.\n", self.figures()),
            ConsoleCommand::Peers => match self.fleet.as_ref().map(|fleet| fleet.handle()) {
                Some(Some(fleet)) => format!("{}\n.\n", fleet::figures(fleet)),
                Some(None) => answer_line(Err("the fleet's address is held by another process".to_owned())),
                None => answer_line(Err("the fleet is off".to_owned())),
            },
            ConsoleCommand::Leave => {
                self.clients.start_drain();
                self.fleet.iter().for_each(|fleet| fleet.tell(Command::Leave));
                answer_line(Ok(String::new()))
            }
            ConsoleCommand::Join => {
                self.clients.end_drain();
                // One that ends has said its goodbye for good.
                self.fleet
                    .iter()
                    .filter(|_| !self.stopping.get())
                    .for_each(|fleet| fleet.tell(Command::Join));
                answer_line(Ok(String::new()))
            }
            ConsoleCommand::Offline(name) if self.out.is_full() => {
                answer_line(Err(format!("{name}: {OUT_LIMIT} endpoints are out already")))
            }
            ConsoleCommand::Offline(name) => self.set_out(&name, true),
            ConsoleCommand::Online(name) => self.set_out(&name, false),
        }
    }

    fn set_out(&self, name: &str, out: bool) -> String {
        if self.sidecar.set_offline(endpoint_id(name), out).is_err() {
            return answer_line(Err(format!("no endpoint {} was ever listed", name.escape_debug())));
        }
        self.out.set(name, out);
        answer_line(Ok(String::new()))
    }

    /// The figures as one JSON object: every class of the settings in force, and those counted before.
    pub fn figures(&self) -> Value {
        let counts = self.sidecar.counts();
        let mut operations = Map::new();
        for class in self.classes.borrow().iter() {
            operations.insert(class.clone(), figures_of(Default::default()));
        }
        for (class, c) in counts.classes() {
            operations.insert(class, figures_of(c));
        }
        let relayed: u64 = counts.classes().values().map(|c| c.relayed).sum();
        let (listed, out_of_rotation) = self.sidecar.rotation();
        let (accepted, invalid) = counts.configurations();
        json!({
            "operations": operations,
            "relayed": relayed,
            "open_requests": self.sidecar.open_requests(),
            "registry_entries": listed,
            "out_of_rotation": out_of_rotation,
            "cfg_accepted": accepted,
            "cfg_invalid": invalid,
        })
    }
}

fn figures_of(c: cottonpoint_core::ClassCounts) -> Value {
    json!({"fulfilled": c.fulfilled, "throttled": c.throttled, "faulted": c.faulted, "relayed": c.relayed})
}
