//! The endpoint list: which endpoints there are, by identity, and where each of them listens.

use super::{Clock, EndpointStanding};
use cottonpoint_decide::*;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// One start of an endpoint, as attempts and connections refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointAddress {
    /// Identity of the endpoint.
    pub id: EndpointId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Which start of it this is: the Unix time in milliseconds of the list. Another process may
    /// listen at the same address later.
    pub started_at_ms: u64,
}

/// Life-cycle state of an endpoint according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts new attempts.
    Active,
    /// Draining: finishes the requests that it has and accepts no new attempts.
    Leaving,
    /// Removed from the list.
    Left,
}

/// One record of the endpoint list, as discovery sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Identity of the endpoint.
    pub id: EndpointId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Cell that it runs in.
    pub cell: CellId,
    /// Machine kind that it runs on.
    pub kind: MachineTypeId,
    /// Life-cycle state.
    pub lifecycle: Lifecycle,
    /// Unix time in milliseconds at which its process last started, by the deployment's clock; 0
    /// means long ago.
    pub started_at_ms: u64,
}

/// A record of the list with the endpoint's start time by this process's clock.
#[derive(Clone, Debug)]
struct ListEntry {
    record: EndpointRecord,
    /// `None` means long ago. The same timestamp must always give the same time, because the
    /// balancer takes any other for a restart.
    started: Option<Time>,
}

/// Identity of an endpoint, derived from its name (XXH3, 64 bits). It is the same in every sidecar:
/// the balancer orders endpoints by it, so that sidecars spread over them.
pub fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// Maximum number of identities remembered from earlier lists, so that an operator's command for an
/// endpoint that was never listed can be rejected. Beyond it the oldest half is forgotten. Eight
/// times the largest list of the protocol specification.
const MAX_SEEN: usize = 4096;

/// Why an endpoint cannot be taken offline or put back online.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownEndpoint {
    /// It was never on the list.
    NeverListed,
}

/// The latest endpoint list, and the endpoints that an operator has taken offline. An endpoint
/// taken offline stays offline, whatever the list says, until the operator puts it back.
#[derive(Default)]
pub struct EndpointList {
    by_id: HashMap<EndpointId, ListEntry>,
    /// The list may not be used: the balancer sees all endpoints as draining.
    suspended: bool,
    offline: HashSet<EndpointId>,
    seen_order: VecDeque<EndpointId>,
    seen: HashSet<EndpointId>,
}

impl EndpointList {
    /// Whether an endpoint accepts new attempts.
    pub fn takes_work(&self, id: EndpointId) -> bool {
        self.lifecycle(id) == Some(Lifecycle::Active)
    }

    /// Number of endpoints that accept new attempts.
    pub fn available_count(&self) -> usize {
        self.by_id.keys().filter(|id| self.takes_work(**id)).count()
    }

    /// Number of endpoints on the list.
    pub fn listed_count(&self) -> usize {
        self.by_id.len()
    }

    /// Number of listed endpoints that get no new attempts: taken offline, draining according to
    /// the list, or all of them while the list may not be used.
    pub fn out_of_rotation(&self) -> usize {
        if self.suspended { self.by_id.len() } else { self.by_id.len() - self.available_count() }
    }

    /// The endpoints taken offline, listed or not.
    pub fn offline_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.offline.iter().copied()
    }

    /// Identity and address of a listed endpoint.
    pub fn find(&self, id: EndpointId) -> Option<EndpointAddress> {
        self.by_id.get(&id).map(|entry| EndpointAddress {
            id,
            address: entry.record.address,
            started_at_ms: entry.record.started_at_ms,
        })
    }

    /// Whether this start of an endpoint is the listed one and accepts new attempts.
    pub fn is_active(&self, endpoint: EndpointAddress) -> bool {
        self.standing(endpoint) == EndpointStanding::Active
    }

    /// Effective state of an endpoint: that of the list, unless it has been taken offline.
    fn lifecycle(&self, id: EndpointId) -> Option<Lifecycle> {
        let listed_state = self.by_id.get(&id)?.record.lifecycle;
        Some(if listed_state == Lifecycle::Active && self.offline.contains(&id) {
            Lifecycle::Leaving
        } else {
            listed_state
        })
    }

    /// Status of one start of an endpoint as the guard sees it.
    pub fn standing(&self, endpoint: EndpointAddress) -> EndpointStanding {
        if self.find(endpoint.id) != Some(endpoint) {
            return EndpointStanding::Unlisted;
        }
        match self.lifecycle(endpoint.id) {
            Some(Lifecycle::Active) => EndpointStanding::Active,
            Some(Lifecycle::Leaving) => EndpointStanding::Leaving,
            Some(Lifecycle::Left) | None => EndpointStanding::Unlisted,
        }
    }

    /// Converts an entry to the balancer's representation, with its effective state.
    fn balancer_endpoint(&self, entry: &ListEntry) -> Endpoint {
        let e = &entry.record;
        let state = match self.lifecycle(e.id).unwrap_or(Lifecycle::Left) {
            Lifecycle::Active if self.suspended => EndpointState::Draining,
            Lifecycle::Active => EndpointState::Ready,
            Lifecycle::Leaving => EndpointState::Draining,
            Lifecycle::Left => EndpointState::Removed,
        };
        let (id, zone, cell, kind) = (e.id, e.zone, e.cell, e.kind);
        Endpoint { id, zone, cell, machine_type: kind, state, started: entry.started }
    }

    /// Whether the list may not be used.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Suspends all endpoints or ends the suspension. Returns whether that is a change.
    pub fn set_suspended(&mut self, suspended: bool) -> bool {
        std::mem::replace(&mut self.suspended, suspended) != suspended
    }

    fn record_seen(&mut self, id: EndpointId) {
        if self.seen.insert(id) {
            self.seen_order.push_back(id);
            if self.seen_order.len() > MAX_SEEN {
                for old in self.seen_order.drain(..MAX_SEEN / 2) {
                    self.seen.remove(&old);
                }
            }
        }
    }

    /// All listed endpoints in the balancer's representation, to initialise a new balancer.
    pub fn balancer_endpoints(&self) -> Vec<Endpoint> {
        self.by_id.values().map(|e| self.balancer_endpoint(e)).collect()
    }

    /// Takes an endpoint offline that an earlier process of this sidecar had taken offline, listed
    /// or not.
    pub fn restore_offline(&mut self, id: EndpointId) -> Option<Endpoint> {
        self.record_seen(id);
        self.set_offline(id, true).ok().flatten()
    }

    /// Takes an endpoint offline or puts it back online. Returns the change for the balancer:
    /// `None` if the endpoint is not on the list now, or was in that state already. Fails for an
    /// endpoint that was never listed; one that is offline is known even after its identity was
    /// forgotten.
    pub fn set_offline(
        &mut self,
        id: EndpointId,
        offline: bool,
    ) -> Result<Option<Endpoint>, UnknownEndpoint> {
        if !self.seen.contains(&id) && !self.offline.contains(&id) {
            return Err(UnknownEndpoint::NeverListed);
        }
        let changed = if offline { self.offline.insert(id) } else { self.offline.remove(&id) };
        Ok(self.by_id.get(&id).filter(|_| changed).map(|e| self.balancer_endpoint(e)))
    }

    /// Applies a change or a complete list. Returns the entries in the balancer's representation.
    pub fn update(&mut self, kind: ListKind, entries: &[EndpointRecord], clock: &Clock) -> Vec<Endpoint> {
        let old_entries = match kind {
            ListKind::Full => std::mem::take(&mut self.by_id),
            _ => HashMap::new(),
        };
        let mut endpoints = Vec::with_capacity(entries.len());
        for record in entries {
            self.record_seen(record.id);
            let existing = self.by_id.get(&record.id).or_else(|| old_entries.get(&record.id));
            let same = existing.filter(|existing| existing.record.started_at_ms == record.started_at_ms);
            let started =
                same.map_or_else(|| clock.local_start_time(record.started_at_ms), |same| same.started);
            let previous = existing.map(|existing| existing.record.lifecycle);
            if previous != Some(record.lifecycle) {
                let endpoint = format_args!("{:016x}", record.id.0).to_string();
                tracing::debug!(endpoint, from = ?previous, to = ?record.lifecycle, "endpoint life-cycle state changed");
            }
            let entry = ListEntry { record: record.clone(), started };
            endpoints.push(self.upsert(entry));
        }
        endpoints
    }

    /// Inserts, replaces or removes an entry. Returns it in the balancer's representation.
    fn upsert(&mut self, entry: ListEntry) -> Endpoint {
        let id = entry.record.id;
        if entry.record.lifecycle == Lifecycle::Left {
            self.by_id.remove(&id);
            return self.balancer_endpoint(&entry);
        }
        self.by_id.insert(id, entry.clone());
        self.balancer_endpoint(&entry)
    }
}

#[cfg(test)]
mod tests;
