//! Troubles (injected faults): when they begin and end, what they affect, what they do.

use super::endpoint::{Nanos, ProcessState};
use super::*;
use crate::scenario::{Trouble, TroubleKind};
use cottonpoint_decide::EndpointState;

impl World<'_> {
    pub(super) fn schedule_troubles(&mut self) {
        for (i, t) in self.scenario.troubles.iter().enumerate() {
            let number = i as u32;
            let mut draw = RandomStream::new(self.seed, Purpose::Troubles, u64::from(number));
            let begins = draw.duration_in(t.at);
            let ends = begins + draw.duration_in(t.length);
            self.schedule(begins, SimEvent::Trouble { number, begins: true });
            self.schedule(ends, SimEvent::Trouble { number, begins: false });
        }
    }

    /// The endpoints that a trouble affects: a share of those that are up, at least one.
    fn choose_affected(&self, t: &Trouble, draw: &mut RandomStream) -> Vec<u32> {
        let up = |s: &u32| {
            self.endpoints[*s as usize].spec.tier == t.tier
                && self.endpoints[*s as usize].process_state == ProcessState::Up
        };
        let up: Vec<u32> = (0..self.endpoints.len() as u32).filter(up).collect();
        choose(up, draw.value_in(t.part), draw)
    }

    pub(super) fn trouble(&mut self, number: u32, begins: bool) {
        let scenario = self.scenario;
        let Some(t) = scenario.troubles.get(number as usize) else { return };
        // The end repeats the draws of the beginning.
        let mut draw = RandomStream::new(self.seed, Purpose::Troubles, u64::from(number));
        let (_, length) = (draw.duration_in(t.at), draw.duration_in(t.length));
        let size = draw.value_in(t.size);
        if begins {
            let affected = match t.what {
                TroubleKind::Burst | TroubleKind::Outage | TroubleKind::SharedSlow => Vec::new(),
                TroubleKind::SidecarDown => {
                    let first_tier_sidecars = self.first_tier_sidecars as u32;
                    choose((0..first_tier_sidecars).collect(), draw.value_in(t.part), &mut draw)
                }
                _ => self.choose_affected(t, &mut draw),
            };
            let description = format!("{:?} of tier {} affects {affected:?}", t.what, t.tier);
            self.statistics.record_event(self.now, description);
            self.begin_trouble(number, t, &affected, size, length, &mut draw);
            self.affected.insert(number, affected);
        } else {
            let affected = self.affected.remove(&number).unwrap_or_default();
            self.statistics.record_event(self.now, format!("{:?} of tier {} ends", t.what, t.tier));
            self.end_trouble(number, t, &affected, size);
        }
    }

    fn begin_trouble(
        &mut self,
        number: u32,
        t: &Trouble,
        affected: &[u32],
        size: f64,
        length: Nanos,
        draw: &mut RandomStream,
    ) {
        match t.what {
            TroubleKind::Slow => self.change_endpoints(affected, |s| s.slowdown *= size),
            TroubleKind::SharedSlow => {
                let all = self.endpoints_of_tier(t.tier);
                self.change_endpoints(&all, |s| s.slowdown *= size);
            }
            TroubleKind::FastErrors => self.change_endpoints(affected, |s| s.error_share = size),
            TroubleKind::Gray => self.change_endpoints(affected, |s| s.gray = true),
            TroubleKind::Burst => self.load_multiple *= size,
            TroubleKind::Outage => {
                self.active_outages += 1;
                for sidecar in 0..self.sidecars.len() {
                    let sidecar_state = &mut self.sidecars[sidecar];
                    if self.scenario.discovery.asked && sidecar_state.alive && sidecar_state.subscribed {
                        sidecar_state.subscribed = false;
                        let (sidecar, process) = (sidecar as u32, sidecar_state.process);
                        self.schedule(self.now, SimEvent::PollFailed { sidecar, process });
                    }
                }
            }
            TroubleKind::Vanish | TroubleKind::Die => {
                for &endpoint in affected {
                    self.kill_endpoint(endpoint, t.what == TroubleKind::Vanish);
                    self.schedule_list_change(
                        endpoint,
                        EndpointState::Removed,
                        self.scenario.discovery.silent,
                    );
                }
            }
            TroubleKind::Partition => {
                let candidates = (0..self.sidecars.len() as u32).filter(|&s| {
                    self.sidecars[s as usize].tier == t.tier && self.sidecars[s as usize].alive
                });
                let cut_off = choose(candidates.collect(), draw.value_in(t.sidecars), draw);
                let mark = |n: usize, which: &[u32]| {
                    let mut marks = vec![false; n];
                    which.iter().for_each(|&w| marks[w as usize] = true);
                    marks
                };
                let sidecars = mark(self.sidecars.len(), &cut_off);
                let endpoints = mark(self.endpoints.len(), affected);
                self.partitions.push(Partition { trouble: number, sidecars, endpoints });
            }
            TroubleKind::SidecarDown => affected.iter().for_each(|&s| self.kill_sidecar(s, false)),
            TroubleKind::Drain => {
                for &endpoint in affected {
                    self.endpoints[endpoint as usize].process_state = ProcessState::Draining;
                    self.schedule_list_change(
                        endpoint,
                        EndpointState::Draining,
                        self.scenario.discovery.notice,
                    );
                }
            }
            TroubleKind::Deploy => {
                let batch = ((size * self.endpoints_of_tier(t.tier).len() as f64).ceil() as usize).max(1);
                let batches = affected.len().div_ceil(batch).max(1);
                for (i, &endpoint) in affected.iter().enumerate() {
                    let at = self.now + length / batches as u64 * (i / batch) as u64;
                    let ends = at + draw.duration_in(t.drain);
                    self.schedule(at, SimEvent::DrainEndpoint { endpoint, ends });
                }
            }
        }
    }

    fn end_trouble(&mut self, number: u32, t: &Trouble, affected: &[u32], size: f64) {
        match t.what {
            TroubleKind::Slow => self.change_endpoints(affected, |s| s.slowdown /= size),
            TroubleKind::SharedSlow => {
                let all = self.endpoints_of_tier(t.tier);
                self.change_endpoints(&all, |s| s.slowdown = (s.slowdown / size).max(1.0));
            }
            TroubleKind::FastErrors => self.change_endpoints(affected, |s| s.error_share = 0.0),
            TroubleKind::Gray => self.change_endpoints(affected, |s| s.gray = false),
            TroubleKind::Burst => self.load_multiple /= size,
            TroubleKind::Outage => self.active_outages = self.active_outages.saturating_sub(1),
            TroubleKind::Partition => self.partitions.retain(|c| c.trouble != number),
            TroubleKind::SidecarDown => affected.iter().for_each(|&s| self.restart_sidecar(s)),
            TroubleKind::Vanish | TroubleKind::Die => {
                for &endpoint in affected
                    .iter()
                    .filter(|s| !self.overloaded.contains(s))
                    .copied()
                    .collect::<Vec<_>>()
                    .iter()
                {
                    self.start_endpoint(endpoint);
                }
            }
            TroubleKind::Drain => {
                for &endpoint in affected {
                    if self.endpoints[endpoint as usize].process_state == ProcessState::Draining {
                        self.endpoints[endpoint as usize].process_state = ProcessState::Up;
                        self.schedule_list_change(
                            endpoint,
                            EndpointState::Ready,
                            self.scenario.discovery.add,
                        );
                    }
                }
            }
            TroubleKind::Deploy => {}
        }
    }

    /// Starts a process on a machine whose process had ended.
    fn start_endpoint(&mut self, endpoint: u32) {
        self.endpoints[endpoint as usize].start_process(self.now);
        self.schedule_list_change(endpoint, EndpointState::Ready, self.scenario.discovery.add);
        if let Some(sidecar) = self.sidecar_of.get(&endpoint).copied() {
            self.restart_sidecar(sidecar);
        }
    }

    pub(super) fn drain_endpoint(&mut self, endpoint: u32, ends: Nanos) {
        if self.endpoints[endpoint as usize].process_state != ProcessState::Up {
            return;
        }
        self.endpoints[endpoint as usize].process_state = ProcessState::Draining;
        self.schedule_list_change(endpoint, EndpointState::Draining, self.scenario.discovery.notice);
        self.schedule(ends, SimEvent::StopEndpoint { endpoint, replace: true });
    }

    pub(super) fn stop_endpoint(&mut self, endpoint: u32, replace: bool) {
        if self.endpoints[endpoint as usize].process_state != ProcessState::Draining {
            return;
        }
        self.kill_endpoint(endpoint, false);
        self.schedule_list_change(endpoint, EndpointState::Removed, self.scenario.discovery.notice);
        if replace {
            let spec = self.endpoints[endpoint as usize].spec.clone();
            let successor = self.endpoints.len() as u32;
            self.endpoints.push(EmulatedEndpoint::new(spec, Some(self.now), self.now));
            self.add_endpoint_sidecar(successor);
            self.schedule_list_change(successor, EndpointState::Ready, self.scenario.discovery.add);
        }
    }

    fn endpoints_of_tier(&self, tier: usize) -> Vec<u32> {
        (0..self.endpoints.len() as u32).filter(|&s| self.endpoints[s as usize].spec.tier == tier).collect()
    }

    /// Changes the performance of some endpoints and reschedules their completions.
    fn change_endpoints(&mut self, endpoints: &[u32], change: impl Fn(&mut EmulatedEndpoint)) {
        for &endpoint in endpoints {
            let s = &mut self.endpoints[endpoint as usize];
            s.advance(self.now);
            change(s);
            self.reschedule_completion(endpoint);
        }
    }
}

/// Chooses a share of the elements, at least one, in the order of the draws (Fisher-Yates shuffle).
fn choose(mut from: Vec<u32>, share: f64, draw: &mut RandomStream) -> Vec<u32> {
    let count =
        ((share * from.len() as f64).round() as usize).clamp(usize::from(!from.is_empty()), from.len());
    for i in 0..count {
        let j = i + draw.index_below(from.len() - i);
        from.swap(i, j);
    }
    from.truncate(count);
    from
}
