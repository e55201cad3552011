//! Between the world and the deciders: events go in, what they ask for is carried out.

use super::*;

impl World<'_> {
    pub(super) fn is_process(&self, sidecar: u32, process: u32) -> bool {
        let s = &self.sidecars[sidecar as usize];
        s.alive && s.process == process
    }

    /// Feeds one event to a sidecar's decider and carries out what it asks for.
    pub(super) fn feed(&mut self, sidecar: u32, event: Event<'_>) {
        let mut actions = self.spare.pop().unwrap_or_default();
        let time = decider_time(self.now);
        self.decisions += 1;
        if let Some(late) = &mut self.late {
            late.take(self.now, &self.servers);
        }
        let tier = self.sidecars[sidecar as usize].tier;
        let late = self.late.as_ref().map_or(&[][..], |late| late.seen(self.now, tier));
        let truth = Truth { now: self.now, servers: &self.servers, late };
        self.sidecars[sidecar as usize].decider.handle(time, event, &truth, &mut actions);
        for action in actions.drain(..) {
            self.act(sidecar, action);
        }
        self.spare.push(actions);
    }

    pub(super) fn act(&mut self, sidecar: u32, action: Action) {
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                self.send(sidecar, id, endpoint, until)
            }
            Action::Refuse { id, retry_after } => {
                self.answer(sidecar, flow_key(id), Answer::Refused(retry_after));
            }
            Action::Fail { id } => self.answer(sidecar, flow_key(id), Answer::Failed),
            Action::Cancel { id, attempt } => self.cancel(flow_key(id), attempt),
            // No scenario lets sidecars probe.
            Action::Probe { .. } => {}
            Action::SetTimer { after, token } => {
                let at = self.now.saturating_add(after.as_nanos() as u64);
                let process = self.sidecars[sidecar as usize].process;
                self.plan(at, Happening::Wake { sidecar, process, token: token.0 });
            }
            Action::Subscribe => self.subscribe(sidecar),
        }
    }

    pub(super) fn delay(&mut self, mean: u64) -> Nanos {
        let jitter = self.scenario.network.jitter;
        (mean as f64 * (1.0 + jitter * (2.0 * self.network.share() - 1.0))) as Nanos
    }

    pub(super) fn one_way(&mut self) -> Nanos {
        self.delay(self.scenario.network.one_way.0)
    }

    pub(super) fn reachable(&self, sidecar: u32, server: u32) -> bool {
        let cut = |c: &Cut| {
            c.sidecars.get(sidecar as usize).is_some_and(|x| *x)
                && c.servers.get(server as usize).is_some_and(|x| *x)
        };
        !self.cuts.iter().any(cut)
    }

    pub(super) fn call_of(&self, flow: FlowKey) -> Option<Request> {
        let f = self.flows.get(flow)?;
        let tenant = (!self.scenario.tenants.is_empty()).then_some(TenantId(f.tenant));
        let due = decider_time(f.due);
        Some(Request { id: request_id(flow), class: ClassId(f.class), tenant, deadline: due, cost: None })
    }
}
