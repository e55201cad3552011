//! Orders of operators to disable or enable an endpoint, and what follows from them when the two
//! processes of an upgrade take orders at once. Does no I/O and reads no clock.
//!
//! Each order changes one endpoint, so orders on different endpoints never undo one another. Of two
//! orders on one endpoint the one that was given last holds, whichever of them is stored first.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Maximum number of orders remembered. Beyond it the oldest are forgotten; they matter only to an
/// order that was given before them and is stored after them.
const MAX_ORDERS: usize = 4096;

/// When an order was given: time since the system's start, in nanoseconds, on the monotonic clock
/// that all processes share. An order is given after all orders that its process knows of.
pub type GivenAt = u64;

/// The last order on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Whether the endpoint is disabled by it, or enabled.
    pub disabled: bool,
    /// When it was given.
    pub given_at: GivenAt,
}

/// The last orders on endpoints, by the endpoint's name.
pub type Orders = BTreeMap<String, Order>;

/// The orders since the system's start, as they are stored beside the disabled endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLog {
    /// Identifies the start of the system: times before another start cannot be compared.
    boot: String,
    orders: Orders,
}

/// What is stored: the disabled endpoints, and the orders that led to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredOrders {
    /// The names of the disabled endpoints.
    pub disabled: BTreeSet<String>,
    /// The last orders.
    pub log: OrderLog,
}

impl OrderLog {
    /// The log for the present start of the system: empty, unless it is of that one.
    pub fn of_boot(self, boot: &str) -> OrderLog {
        if self.boot == boot { self } else { OrderLog { boot: boot.to_owned(), orders: Orders::new() } }
    }

    /// When the newest order was given.
    pub fn newest(&self) -> GivenAt {
        self.orders.values().map(|order| order.given_at).max().unwrap_or(0)
    }

    fn forget_oldest(&mut self) {
        while self.orders.len() > MAX_ORDERS {
            let oldest = self.orders.iter().min_by_key(|(_, order)| order.given_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.orders.remove(&name);
        }
    }
}

impl StoredOrders {
    /// Carries out orders, except those on endpoints on which a later one has been carried out.
    pub fn carry_out(&mut self, orders: &Orders) {
        for (name, order) in orders {
            let last = self.log.orders.get(name);
            if last.is_some_and(|last| last.given_at > order.given_at) {
                continue;
            }
            if order.disabled {
                self.disabled.insert(name.clone());
            } else {
                self.disabled.remove(name);
            }
            self.log.orders.insert(name.clone(), *order);
        }
        self.log.forget_oldest();
    }
}
