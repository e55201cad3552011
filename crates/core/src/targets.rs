//! The target group: who is in it, by identity, and where each target listens.

use cottonpoint_decide::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A target as a forward needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its identity.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the list says of a target's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes work.
    Active,
    /// Finishes what it has and wants nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its identity.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it is.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// When its process last started; `None`: long ago.
    pub started: Option<Time>,
}

/// The identity of a target by its name, the same at every sidecar: the balancer orders targets by it, so
/// that sidecars spread over them (XXH3, 64 bits).
pub fn target_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// The target group as last told.
#[derive(Default)]
pub struct Group {
    targets: HashMap<EndpointId, (SocketAddr, Lifecycle)>,
}

impl Group {
    /// Whether it names no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Whether a target may be sent new work.
    pub fn takes_work(&self, id: EndpointId) -> bool {
        self.targets.get(&id).is_some_and(|t| t.1 == Lifecycle::Active)
    }

    /// Targets that may be sent new work.
    pub fn that_take_work(&self) -> usize {
        self.targets.values().filter(|t| t.1 == Lifecycle::Active).count()
    }

    /// The target of that identity.
    pub fn find(&self, id: EndpointId) -> Option<Target> {
        self.targets.get(&id).map(|&(address, _)| Target { id, address })
    }

    /// Takes a change or a whole list, and puts it in the balancer's terms.
    pub fn update(&mut self, kind: ListKind, entries: &[Listed]) -> Vec<Endpoint> {
        if kind == ListKind::Full {
            self.targets.clear();
        }
        let mut endpoints = Vec::with_capacity(entries.len());
        for e in entries {
            let state = match e.lifecycle {
                Lifecycle::Active => EndpointState::Ready,
                Lifecycle::Leaving => EndpointState::Draining,
                Lifecycle::Left => EndpointState::Gone,
            };
            if e.lifecycle == Lifecycle::Left {
                self.targets.remove(&e.id);
            } else {
                self.targets.insert(e.id, (e.address, e.lifecycle));
            }
            let (id, zone, cell, kind) = (e.id, e.zone, e.cell, e.kind);
            endpoints.push(Endpoint { id, zone, cell, kind, state, started: e.started });
        }
        endpoints
    }
}
