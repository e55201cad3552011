//! The list of servers: what stands in it, and who is told when.

use super::server::{Life, Nanos};
use super::*;
use cottonpoint_decide::{CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};

impl World<'_> {
    pub(super) fn list_later(
        &mut self,
        server: u32,
        state: EndpointState,
        after: crate::scenario::Lengths,
    ) {
        let at = self.now + self.listing.length(after);
        self.plan(at, Happening::Listed { server, state });
    }

    /// A change is in the list, unless the server has changed again since; those who watch are told.
    pub(super) fn listed(&mut self, server: u32, state: EndpointState) {
        let s = &self.servers[server as usize];
        let still = match state {
            EndpointState::Ready => s.life == Life::Up,
            EndpointState::Draining => s.life == Life::Draining,
            EndpointState::Removed => matches!(s.life, Life::Down | Life::Vanished),
        };
        if !still {
            return;
        }
        let (tier, started) = (s.build.tier, s.started);
        match state {
            EndpointState::Removed => self.registry[tier].remove(&server),
            _ => self.registry[tier].insert(server, (state, started)),
        };
        self.listed_at.insert(server, self.now);
        if self.outages > 0 {
            return;
        }
        for sidecar in 0..self.sidecars.len() {
            let side = &self.sidecars[sidecar];
            if side.tier == tier && side.alive && side.subscribed {
                let process = side.process;
                let at = self.now + self.listing.length(self.scenario.discovery.spread);
                let sidecar = sidecar as u32;
                self.plan(at, Happening::Told { sidecar, process, server, state, started });
            }
        }
    }

    pub(super) fn told(
        &mut self,
        sidecar: u32,
        process: u32,
        server: u32,
        state: EndpointState,
        started: Option<Nanos>,
    ) {
        if !self.is_process(sidecar, process) || !self.sidecars[sidecar as usize].subscribed {
            return;
        }
        self.note_told(sidecar, server, state, started);
        let entry = self.entry(server, state, started);
        self.feed(sidecar, Event::Endpoints { kind: ListKind::Delta, entries: &[entry] });
    }

    /// Keeps what a sidecar has been told, and closes its idle connections to what wants nothing new.
    pub(super) fn note_told(
        &mut self,
        sidecar: u32,
        server: u32,
        state: EndpointState,
        started: Option<Nanos>,
    ) {
        let side = &mut self.sidecars[sidecar as usize];
        if state == EndpointState::Ready {
            side.told.remove(&server);
            side.known.insert(server, (state, started));
            return;
        }
        side.told.entry(server).or_insert(self.now);
        side.known.remove(&server);
        if let Some(pool) = side.pools.remove(&server) {
            let s = &mut self.servers[server as usize];
            if s.process == pool.process {
                s.advance(self.now);
                s.open = s.open.saturating_sub(pool.idle.len());
            }
        }
    }

    pub(super) fn entry(&self, server: u32, state: EndpointState, started: Option<Nanos>) -> Endpoint {
        let kind = self.servers[server as usize].build.kind as u16;
        Endpoint {
            id: endpoint_id(server),
            zone: ZoneId(0),
            cell: CellId(0),
            machine_type: MachineTypeId(kind),
            state,
            started: started.map(decider_time),
        }
    }

    /// A decider asks to watch the list.
    pub(super) fn subscribe(&mut self, sidecar: u32) {
        let process = self.sidecars[sidecar as usize].process;
        if self.outages > 0 {
            let at = self.now + self.scenario.discovery.timeout.0;
            return self.plan(at, Happening::NoList { sidecar, process });
        }
        let at = self.now + 2 * self.one_way();
        self.plan(at, Happening::Whole { sidecar, process });
    }

    pub(super) fn whole_list(&mut self, sidecar: u32, process: u32) {
        if !self.is_process(sidecar, process) {
            return;
        }
        let side = &mut self.sidecars[sidecar as usize];
        (side.subscribed, side.asked_at, side.asks_failed) = (true, self.now, false);
        self.tell_whole(sidecar);
    }

    pub(super) fn tell_whole(&mut self, sidecar: u32) {
        let tier = self.sidecars[sidecar as usize].tier;
        let list: Vec<_> =
            self.registry[tier].iter().map(|(&s, &(state, started))| (s, state, started)).collect();
        let mut gone: Vec<u32> = self.sidecars[sidecar as usize].known.keys().copied().collect();
        gone.retain(|s| !self.registry[tier].contains_key(s));
        gone.sort_unstable();
        for server in gone {
            self.note_told(sidecar, server, EndpointState::Removed, None);
        }
        let mut entries = Vec::with_capacity(list.len());
        for (server, state, started) in list {
            self.note_told(sidecar, server, state, started);
            entries.push(self.entry(server, state, started));
        }
        self.feed(sidecar, Event::Endpoints { kind: ListKind::Full, entries: &entries });
    }
}
