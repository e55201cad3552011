//! Cold servers, which too much work pushes over.

use super::server::Nanos;
use super::*;
use cottonpoint_decide::EndpointState;
use std::collections::VecDeque;

/// The work that a cold server was sent lately: when, how much, and whether by a sidecar that knew of its start.
#[derive(Default)]
pub(super) struct Pressure {
    sent: VecDeque<(Nanos, f64, bool)>,
}

impl World<'_> {
    /// Counts work that arrives at a cold server; true when it falls over under it.
    pub(super) fn push_cold(&mut self, server: u32, sidecar: u32, work: f64) -> bool {
        let now = self.now;
        let window = self.scenario.rules.fall_after.0;
        let s = &self.servers[server as usize];
        if s.warmth(now) >= 1.0 {
            if s.started.is_some() {
                self.pressures.remove(&server);
            }
            return false;
        }
        let started = s.started;
        let tier = s.build.tier;
        let known = self.sidecars[sidecar as usize].known.get(&server);
        let informed = known.is_some_and(|k| k.1 == started);
        let pressure = self.pressures.entry(server).or_default();
        pressure.sent.push_back((now, work, informed));
        while pressure.sent.front().is_some_and(|p| now - p.0 > window) {
            pressure.sent.pop_front();
        }
        let all: f64 = pressure.sent.iter().map(|p| p.1).sum();
        let weights = &self.drawn.class_weights;
        let total: f64 = weights.iter().sum();
        let mean: f64 = weights.iter().zip(&self.drawn.class_work).map(|(w, x)| w / total * x).sum();
        let mean = mean * self.scenario.tiers[tier].work;
        let allowed =
            self.scenario.rules.fall_multiple * s.present_capacity(now) * window as f64 / 1e9 / mean;
        if all <= rules::stands(allowed) * mean {
            return false;
        }
        let knowing: f64 = pressure.sent.iter().filter(|p| p.2).map(|p| p.1).sum();
        let (pieces, present) = (pressure.sent.len(), s.present_capacity(now));
        let age = started.map_or(f64::INFINITY, |started| now.saturating_sub(started) as f64 / 1e9);
        self.pressures.remove(&server);
        self.rules.falls(now, knowing, all, || {
            format!(
                "server {server} fell over {age:.1} s after its start: {pieces} attempts with {all:.3} s of work, {:.1} times \
                 the mean, in {:.1} s, for {present:.2} cores, which allow {allowed:.1} of the mean; {knowing:.3} s by those told",
                all / mean / pieces as f64,
                window as f64 / 1e9
            )
        });
        self.book.fallen += 1;
        self.kill_server(server, false);
        self.fallen.push(server);
        self.list_later(server, EndpointState::Removed, self.scenario.discovery.silent);
        true
    }
}
