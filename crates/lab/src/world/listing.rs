//! The endpoint list as discovery has it, and the delivery of its changes to sidecars.

use super::endpoint::{Nanos, ProcessState};
use super::*;
use cottonpoint_decide::{CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};

impl World<'_> {
    pub(super) fn schedule_list_change(
        &mut self,
        endpoint: u32,
        state: EndpointState,
        after: crate::scenario::DurationRange,
    ) {
        let at = self.now + self.listing_draw.duration_in(after);
        self.schedule(at, SimEvent::ListChange { endpoint, state });
    }

    /// Applies a change to the list, unless the endpoint has changed again since, and schedules its
    /// delivery to the watching sidecars.
    pub(super) fn apply_list_change(&mut self, endpoint: u32, state: EndpointState) {
        let s = &self.endpoints[endpoint as usize];
        let current = match state {
            EndpointState::Ready => s.process_state == ProcessState::Up,
            EndpointState::Draining => s.process_state == ProcessState::Draining,
            EndpointState::Removed => {
                matches!(s.process_state, ProcessState::Down | ProcessState::Vanished)
            }
        };
        if !current {
            return;
        }
        let (tier, started) = (s.spec.tier, s.started);
        match state {
            EndpointState::Removed => self.registry[tier].remove(&endpoint),
            _ => self.registry[tier].insert(endpoint, (state, started)),
        };
        self.listed_at.insert(endpoint, self.now);
        if self.active_outages > 0 {
            return;
        }
        for sidecar in 0..self.sidecars.len() {
            let sidecar_state = &self.sidecars[sidecar];
            if sidecar_state.tier == tier && sidecar_state.alive && sidecar_state.subscribed {
                let process = sidecar_state.process;
                let at = self.now + self.listing_draw.duration_in(self.scenario.discovery.spread);
                let sidecar = sidecar as u32;
                self.schedule(at, SimEvent::ChangeDelivered { sidecar, process, endpoint, state, started });
            }
        }
    }

    pub(super) fn change_delivered(
        &mut self,
        sidecar: u32,
        process: u32,
        endpoint: u32,
        state: EndpointState,
        started: Option<Nanos>,
    ) {
        if !self.is_process(sidecar, process) || !self.sidecars[sidecar as usize].subscribed {
            return;
        }
        self.record_notification(sidecar, endpoint, state, started);
        let entry = self.entry(endpoint, state, started);
        self.deliver_event(sidecar, Event::Endpoints { kind: ListKind::Delta, entries: &[entry] });
    }

    /// Records what a sidecar has been notified of, and closes its idle connections to an endpoint
    /// that is not ready.
    pub(super) fn record_notification(
        &mut self,
        sidecar: u32,
        endpoint: u32,
        state: EndpointState,
        started: Option<Nanos>,
    ) {
        let sidecar_state = &mut self.sidecars[sidecar as usize];
        if state == EndpointState::Ready {
            sidecar_state.notified_unready.remove(&endpoint);
            sidecar_state.known_ready.insert(endpoint, (state, started));
            return;
        }
        sidecar_state.notified_unready.entry(endpoint).or_insert(self.now);
        sidecar_state.known_ready.remove(&endpoint);
        if let Some(pool) = sidecar_state.pools.remove(&endpoint) {
            let s = &mut self.endpoints[endpoint as usize];
            if s.process == pool.process {
                s.advance(self.now);
                s.open_connections = s.open_connections.saturating_sub(pool.idle.len());
            }
        }
    }

    pub(super) fn entry(&self, endpoint: u32, state: EndpointState, started: Option<Nanos>) -> Endpoint {
        let kind = self.endpoints[endpoint as usize].spec.kind as u16;
        Endpoint {
            id: endpoint_id(endpoint),
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
        if self.active_outages > 0 {
            let at = self.now + self.scenario.discovery.timeout.0;
            return self.schedule(at, SimEvent::PollFailed { sidecar, process });
        }
        let at = self.now + 2 * self.one_way();
        self.schedule(at, SimEvent::FullListDelivered { sidecar, process });
    }

    pub(super) fn full_list_delivered(&mut self, sidecar: u32, process: u32) {
        if !self.is_process(sidecar, process) {
            return;
        }
        let sidecar_state = &mut self.sidecars[sidecar as usize];
        (sidecar_state.subscribed, sidecar_state.last_list_at, sidecar_state.poll_failed) =
            (true, self.now, false);
        self.deliver_full_list(sidecar);
    }

    pub(super) fn deliver_full_list(&mut self, sidecar: u32) {
        let tier = self.sidecars[sidecar as usize].tier;
        let list: Vec<_> =
            self.registry[tier].iter().map(|(&s, &(state, started))| (s, state, started)).collect();
        let mut removed: Vec<u32> = self.sidecars[sidecar as usize].known_ready.keys().copied().collect();
        removed.retain(|s| !self.registry[tier].contains_key(s));
        removed.sort_unstable();
        for endpoint in removed {
            self.record_notification(sidecar, endpoint, EndpointState::Removed, None);
        }
        let mut entries = Vec::with_capacity(list.len());
        for (endpoint, state, started) in list {
            self.record_notification(sidecar, endpoint, state, started);
            entries.push(self.entry(endpoint, state, started));
        }
        self.deliver_event(sidecar, Event::Endpoints { kind: ListKind::Full, entries: &entries });
    }
}
