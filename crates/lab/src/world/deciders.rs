//! The interface between the emulator and the deciders: delivers events and performs the returned
//! actions.

use super::*;

impl World<'_> {
    pub(super) fn is_process(&self, sidecar: u32, process: u32) -> bool {
        let s = &self.sidecars[sidecar as usize];
        s.alive && s.process == process
    }

    /// Delivers one event to a sidecar's decider and performs the actions that it returns.
    pub(super) fn deliver_event(&mut self, sidecar: u32, event: Event<'_>) {
        let mut actions = self.action_buffers.pop().unwrap_or_default();
        let time = decider_time(self.now);
        self.decisions += 1;
        if let Some(views) = &mut self.delayed_views {
            views.record(self.now, &self.endpoints);
        }
        let tier = self.sidecars[sidecar as usize].tier;
        let views = self.delayed_views.as_ref().map_or(&[][..], |views| views.visible(self.now, tier));
        let truth = Truth { now: self.now, endpoints: &self.endpoints, delayed: views };
        self.sidecars[sidecar as usize].decider.handle(time, event, &truth, &mut actions);
        for action in actions.drain(..) {
            self.perform(sidecar, action);
        }
        self.action_buffers.push(actions);
    }

    pub(super) fn perform(&mut self, sidecar: u32, action: Action) {
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                self.send(sidecar, id, endpoint, until)
            }
            Action::Refuse { id, retry_after } => {
                self.answer(sidecar, request_key(id), Answer::Refused(retry_after));
            }
            Action::Fail { id } => self.answer(sidecar, request_key(id), Answer::Failed),
            Action::Cancel { id, attempt } => self.cancel(request_key(id), attempt),
            // The settings of every scenario forbid probes.
            Action::Probe { .. } => {}
            Action::SetTimer { after, token } => {
                let at = self.now.saturating_add(after.as_nanos() as u64);
                let process = self.sidecars[sidecar as usize].process;
                self.schedule(at, SimEvent::TimerFired { sidecar, process, token: token.0 });
            }
            Action::Subscribe => self.subscribe(sidecar),
        }
    }

    pub(super) fn delay(&mut self, mean: u64) -> Nanos {
        let jitter = self.scenario.network.jitter;
        (mean as f64 * (1.0 + jitter * (2.0 * self.network_draw.uniform() - 1.0))) as Nanos
    }

    pub(super) fn one_way(&mut self) -> Nanos {
        self.delay(self.scenario.network.one_way.0)
    }

    pub(super) fn reachable(&self, sidecar: u32, endpoint: u32) -> bool {
        let separated = |c: &Partition| {
            c.sidecars.get(sidecar as usize).is_some_and(|x| *x)
                && c.endpoints.get(endpoint as usize).is_some_and(|x| *x)
        };
        !self.partitions.iter().any(separated)
    }

    pub(super) fn decider_request(&self, request: RequestKey) -> Option<Request> {
        let f = self.requests.get(request)?;
        let tenant = (!self.scenario.tenants.is_empty()).then_some(TenantId(f.tenant));
        let deadline = decider_time(f.deadline);
        Some(Request { id: request_id(request), class: ClassId(f.class), tenant, deadline, cost: None })
    }
}
