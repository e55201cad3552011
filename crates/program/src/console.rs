//! The console's calls, carried out on the running sidecar: its figures, endpoints out by hand, drains.
//! Endpoints taken out are kept in a file under `$TMPDIR`, so that a new process of the sidecar keeps them out.

use crate::state::Writer;
use cottonpoint_core::{Sidecar, target_id};
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::console::{Call, answer_line};
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file, under the state directory, that names the endpoints taken out by hand.
pub const OUT_FILE: &str = "cottonpoint-out.json";
/// Endpoints kept out at most: a call past that is refused, not forgotten.
const OUT_LIMIT: usize = 4096;

/// The endpoints taken out by hand, by name, and where they are kept.
pub struct TakenOut {
    names: RefCell<BTreeSet<String>>,
    file: Option<Writer>,
    path: Option<PathBuf>,
    /// When the file was last read.
    seen: Cell<Option<std::time::SystemTime>>,
}

impl TakenOut {
    /// Those that the file names, if there is a state directory and a readable file in it.
    pub fn load(state: Option<&Path>) -> TakenOut {
        let path = state.map(|dir| dir.join(OUT_FILE));
        let text = path.as_ref().and_then(|f| std::fs::read_to_string(f).ok());
        let names: BTreeSet<String> = text.and_then(|t| serde_json::from_str(&t).ok()).unwrap_or_default();
        let file = path.clone().map(Writer::new);
        TakenOut { names: names.into(), file, path, seen: Cell::new(None) }
    }

    /// What the file says now, where another process of the sidecar (an older or newer version beside this
    /// one) has changed it: the names to take out and to put back. `None` if it is as last seen.
    pub fn changed(&self) -> Option<(Vec<String>, Vec<String>)> {
        let (writer, file) = (self.file.as_ref()?, self.path.as_ref()?);
        if writer.is_behind() {
            return None; // What it says is older than what the console was told here.
        }
        // Read again only when written since: this is asked five times a second.
        let modified = std::fs::metadata(file).and_then(|m| m.modified()).ok();
        if modified.is_some() && self.seen.replace(modified) == modified {
            return None;
        }
        let text = std::fs::read_to_string(file).ok()?;
        let names: BTreeSet<String> = serde_json::from_str(&text).ok()?;
        let mut held = self.names.borrow_mut();
        if *held == names {
            return None;
        }
        let taken_out = names.difference(&held).cloned().collect();
        let put_back = held.difference(&names).cloned().collect();
        *held = names;
        Some((taken_out, put_back))
    }

    /// The names, in order.
    pub fn names(&self) -> Vec<String> {
        self.names.borrow().iter().cloned().collect()
    }

    fn set(&self, name: &str, out: bool) {
        let mut names = self.names.borrow_mut();
        let changed = if out { names.insert(name.to_owned()) } else { names.remove(name) };
        if let Some(file) = self.file.as_ref().filter(|_| changed) {
            file.write(json!(*names).to_string());
        }
    }
}

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
    pub fleet: Option<cottonpoint_mesh::Handle>,
}

impl Console {
    /// Takes out again what an earlier process had taken out.
    pub fn restore(&self) {
        for name in self.out.names() {
            self.sidecar.restore_out(target_id(&name));
        }
    }

    /// Follows what another process of the sidecar has written to the file meanwhile.
    pub fn follow_file(&self) {
        let Some((taken_out, put_back)) = self.out.changed() else { return };
        for name in taken_out {
            self.sidecar.restore_out(target_id(&name));
        }
        for name in put_back {
            let _ = self.sidecar.set_out(target_id(&name), false);
        }
    }

    /// The whole answer to a call.
    pub fn answer(&self, call: Call) -> String {
        match call {
            Call::Health if self.stopping.get() => answer_line(Err("stopping".to_owned())),
            Call::Health => answer_line(Ok(String::new())),
            // The figures stand alone, as one JSON line, then the line that ends them.
            Call::Dump => format!("{}\n.\n", self.figures()),
            Call::Peers => match &self.fleet {
                Some(fleet) => format!("{}\n.\n", crate::fleet::figures(fleet)),
                None => answer_line(Err("the fleet is off".to_owned())),
            },
            Call::Leave => {
                self.clients.drain();
                self.fleet.iter().for_each(|fleet| fleet.tell(Command::Leave));
                answer_line(Ok(String::new()))
            }
            Call::Join => {
                self.clients.join();
                // One that ends has said its goodbye for good.
                self.fleet
                    .iter()
                    .filter(|_| !self.stopping.get())
                    .for_each(|fleet| fleet.tell(Command::Join));
                answer_line(Ok(String::new()))
            }
            Call::Offline(name) if self.out.names.borrow().len() >= OUT_LIMIT => {
                answer_line(Err(format!("{name}: {OUT_LIMIT} endpoints are out already")))
            }
            Call::Offline(name) => self.set_out(&name, true),
            Call::Online(name) => self.set_out(&name, false),
        }
    }

    fn set_out(&self, name: &str, out: bool) -> String {
        if self.sidecar.set_out(target_id(name), out).is_err() {
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
            "open_requests": self.sidecar.open_flows(),
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
