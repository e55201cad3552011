//! Numbers for the names of zones and machine kinds.

use cottonpoint_decide::{MachineTypeId, ZoneId};
use cottonpoint_settings::DeploymentSettings;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Maximum number of names of one kind. A name beyond it is an unknown one.
const MAX_NAMES: u16 = 1 << 14;
/// The number of every unknown name, and of a missing one.
const UNKNOWN_NUMBER: u16 = u16::MAX;
/// The own zone of settings that name no zones: no endpoint is in it.
const UNNAMED_OWN_ZONE: ZoneId = ZoneId(u16::MAX - 1);

/// Names in the order in which they were first seen.
#[derive(Debug, Default)]
struct Numbering(HashMap<String, u16>);

impl Numbering {
    fn number_of(&mut self, name: &str) -> u16 {
        if let Some(number) = self.0.get(name) {
            return *number;
        }
        let Some(number) = u16::try_from(self.0.len()).ok().filter(|number| *number < MAX_NAMES) else {
            return UNKNOWN_NUMBER;
        };
        self.0.insert(name.to_owned(), number);
        number
    }
}

/// Numbers the names of zones and of machine kinds. A name keeps its number for as long as the table
/// exists, wherever later settings list it: the numbers are identities in the endpoint list and in
/// the balancer. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    zones: Rc<RefCell<Numbering>>,
    kinds: Rc<RefCell<Numbering>>,
}

impl NameTable {
    /// The number of a zone, given its name, if there is one.
    pub fn zone(&self, name: Option<&str>) -> ZoneId {
        ZoneId(name.map_or(UNKNOWN_NUMBER, |name| self.zones.borrow_mut().number_of(name)))
    }

    /// The number of a machine kind, given its name, if there is one.
    pub fn kind(&self, name: Option<&str>) -> MachineTypeId {
        MachineTypeId(name.map_or(UNKNOWN_NUMBER, |name| self.kinds.borrow_mut().number_of(name)))
    }

    /// The balancer's settings, with the number of its own zone in place of the zone's position
    /// among those that the settings list.
    pub fn balancer_settings(&self, settings: &DeploymentSettings) -> cottonpoint_decide::Settings {
        let own_name = settings.zones.get(usize::from(settings.balancer.zone.0));
        let zone = own_name.map_or(UNNAMED_OWN_ZONE, |name| self.zone(Some(name)));
        cottonpoint_decide::Settings { zone, ..settings.balancer.clone() }
    }
}
