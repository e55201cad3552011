//! The target group: who is in it, by identity, and where each target listens.

use super::{Clock, EndpointStanding};
use cottonpoint_decide::*;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A target as an attempt needs it.
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
    pub kind: MachineTypeId,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// When its process last started, as Unix time in milliseconds by the platform's clock; 0: long ago.
    pub started_at_ms: u64,
}

/// A target as listed, and when it started by this process's clock.
#[derive(Clone, Debug)]
struct Member {
    listed: Listed,
    /// `None`: long ago. The same stamp always gives the same time: the balancer takes any other for a restart.
    started: Option<Time>,
}

/// The identity of a target by its name, the same at every sidecar: the balancer orders targets by it, so
/// that sidecars spread over them (XXH3, 64 bits).
pub fn target_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// Identities of targets ever listed that are remembered, so that a call to take out one never listed can be
/// told no; past this many the oldest half is forgotten. Eight times the largest list of the protocol page.
const REMEMBERED: usize = 4096;

/// Why a target cannot be taken out or put back by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotListed {
    /// No list ever named it.
    Never,
}

/// The target group as last told, and the targets taken out by hand: the list says who is there, the
/// operator who of them is left alone. A target taken out stays out, whatever the list says, until it is put
/// back.
#[derive(Default)]
pub struct Group {
    targets: HashMap<EndpointId, Member>,
    /// The list may not be used: all targets count as leaving for the balancer.
    suspended: bool,
    out: HashSet<EndpointId>,
    ever: VecDeque<EndpointId>,
    known: HashSet<EndpointId>,
}

impl Group {
    /// Whether it names no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Whether a target may be sent new work.
    pub fn takes_work(&self, id: EndpointId) -> bool {
        self.lifecycle(id) == Some(Lifecycle::Active)
    }

    /// Targets that may be sent new work.
    pub fn that_take_work(&self) -> usize {
        self.targets.keys().filter(|id| self.takes_work(**id)).count()
    }

    /// Targets that the list names.
    pub fn listed(&self) -> usize {
        self.targets.len()
    }

    /// Listed targets that get nothing new: taken out by hand, leaving by the list's word, or all while the list may not be
    /// used.
    pub fn out_of_rotation(&self) -> usize {
        if self.suspended { self.targets.len() } else { self.targets.len() - self.that_take_work() }
    }

    /// The targets taken out by hand, listed or not.
    pub fn taken_out(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.out.iter().copied()
    }

    /// The target of that identity.
    pub fn find(&self, id: EndpointId) -> Option<Target> {
        self.targets.get(&id).map(|t| Target { id, address: t.listed.address })
    }

    /// What holds for a target: the list's word, unless it is taken out by hand.
    fn lifecycle(&self, id: EndpointId) -> Option<Lifecycle> {
        let listed = self.targets.get(&id)?.listed.lifecycle;
        Some(if listed == Lifecycle::Active && self.out.contains(&id) {
            Lifecycle::Leaving
        } else {
            listed
        })
    }

    /// What is known of a target.
    pub fn standing(&self, id: EndpointId) -> EndpointStanding {
        match self.lifecycle(id) {
            Some(Lifecycle::Active) => EndpointStanding::Active,
            Some(Lifecycle::Leaving) => EndpointStanding::Leaving,
            Some(Lifecycle::Left) | None => EndpointStanding::Unlisted,
        }
    }

    /// A target in the balancer's terms, as it holds now.
    fn endpoint(&self, member: &Member) -> Endpoint {
        let e = &member.listed;
        let state = match self.lifecycle(e.id).unwrap_or(Lifecycle::Left) {
            Lifecycle::Active if self.suspended => EndpointState::Draining,
            Lifecycle::Active => EndpointState::Ready,
            Lifecycle::Leaving => EndpointState::Draining,
            Lifecycle::Left => EndpointState::Removed,
        };
        let (id, zone, cell, kind) = (e.id, e.zone, e.cell, e.kind);
        Endpoint { id, zone, cell, machine_type: kind, state, started: member.started }
    }

    /// Whether the list may not be used.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Suspends all targets, or ends that; whether it is a change.
    pub fn set_suspended(&mut self, suspended: bool) -> bool {
        std::mem::replace(&mut self.suspended, suspended) != suspended
    }

    fn remember(&mut self, id: EndpointId) {
        if self.known.insert(id) {
            self.ever.push_back(id);
            if self.ever.len() > REMEMBERED {
                for old in self.ever.drain(..REMEMBERED / 2) {
                    self.known.remove(&old);
                }
            }
        }
    }

    /// Every listed target in the balancer's terms, as it holds now: for a balancer that begins.
    pub fn all(&self) -> Vec<Endpoint> {
        self.targets.values().map(|e| self.endpoint(e)).collect()
    }

    /// Takes out a target that an earlier process of this sidecar had taken out, listed or not.
    pub fn restore_out(&mut self, id: EndpointId) -> Option<Endpoint> {
        self.remember(id);
        self.set_out(id, true).ok().flatten()
    }

    /// Takes a target out by hand, or puts it back. What changes for the balancer is returned: nothing when
    /// the target is not listed now, or was already so. A target that no list ever named is refused; one taken
    /// out is remembered whatever the bound.
    pub fn set_out(&mut self, id: EndpointId, out: bool) -> Result<Option<Endpoint>, NotListed> {
        if !self.known.contains(&id) && !self.out.contains(&id) {
            return Err(NotListed::Never);
        }
        let changed = if out { self.out.insert(id) } else { self.out.remove(&id) };
        Ok(self.targets.get(&id).filter(|_| changed).map(|e| self.endpoint(e)))
    }

    /// Takes a change or a whole list, and puts it in the balancer's terms.
    pub fn update(&mut self, kind: ListKind, entries: &[Listed], clock: &Clock) -> Vec<Endpoint> {
        let before = match kind {
            ListKind::Full => std::mem::take(&mut self.targets),
            _ => HashMap::new(),
        };
        let mut endpoints = Vec::with_capacity(entries.len());
        for listed in entries {
            self.remember(listed.id);
            let known = self.targets.get(&listed.id).or_else(|| before.get(&listed.id));
            let same = known.filter(|known| known.listed.started_at_ms == listed.started_at_ms);
            let started = same.map_or_else(|| clock.place_start(listed.started_at_ms), |same| same.started);
            let standing_before = known.map(|known| known.listed.lifecycle);
            if standing_before != Some(listed.lifecycle) {
                let endpoint = format_args!("{:016x}", listed.id.0).to_string();
                tracing::debug!(endpoint, from = ?standing_before, to = ?listed.lifecycle, "endpoint changes");
            }
            let member = Member { listed: listed.clone(), started };
            endpoints.push(self.replace(member));
        }
        endpoints
    }

    /// Puts a target in its place, or removes it, and says what it is to the balancer.
    fn replace(&mut self, member: Member) -> Endpoint {
        let id = member.listed.id;
        if member.listed.lifecycle == Lifecycle::Left {
            self.targets.remove(&id);
            return self.endpoint(&member);
        }
        self.targets.insert(id, member.clone());
        self.endpoint(&member)
    }
}
