//! The overload of cold endpoints: one that is sent too much work while it warms up fails.

use super::endpoint::Nanos;
use super::*;
use cottonpoint_decide::EndpointState;
use std::collections::VecDeque;

/// The work that a cold endpoint was sent within the window: when, how much, and whether the
/// sending sidecar knew of the start.
#[derive(Default)]
pub(super) struct RecentLoad {
    sent: VecDeque<(Nanos, f64, bool)>,
}

impl World<'_> {
    /// Records work that arrives at a cold endpoint. Returns true if the endpoint fails under it.
    pub(super) fn record_cold_load(&mut self, endpoint: u32, sidecar: u32, work: f64) -> bool {
        let now = self.now;
        let window = self.scenario.rules.fall_after.0;
        let s = &self.endpoints[endpoint as usize];
        if s.warmth(now) >= 1.0 {
            if s.started.is_some() {
                self.cold_load.remove(&endpoint);
            }
            return false;
        }
        let started = s.started;
        let tier = s.spec.tier;
        let known_ready = self.sidecars[sidecar as usize].known_ready.get(&endpoint);
        let informed = known_ready.is_some_and(|k| k.1 == started);
        let recent = self.cold_load.entry(endpoint).or_default();
        recent.sent.push_back((now, work, informed));
        while recent.sent.front().is_some_and(|p| now - p.0 > window) {
            recent.sent.pop_front();
        }
        let all_work: f64 = recent.sent.iter().map(|p| p.1).sum();
        let weights = &self.parameters.class_weights;
        let total: f64 = weights.iter().sum();
        let mean: f64 = weights.iter().zip(&self.parameters.class_work).map(|(w, x)| w / total * x).sum();
        let mean = mean * self.scenario.tiers[tier].work;
        let allowed =
            self.scenario.rules.fall_multiple * s.undisturbed_capacity(now) * window as f64 / 1e9 / mean;
        if all_work <= rules::tolerated_requests(allowed) * mean {
            return false;
        }
        let informed_work: f64 = recent.sent.iter().filter(|p| p.2).map(|p| p.1).sum();
        let (attempts, present) = (recent.sent.len(), s.undisturbed_capacity(now));
        let age = started.map_or(f64::INFINITY, |started| now.saturating_sub(started) as f64 / 1e9);
        self.cold_load.remove(&endpoint);
        self.rules.check_overload(now, informed_work, all_work, || {
            format!(
                "endpoint {endpoint} failed {age:.1} s after its start: {attempts} attempts with {all_work:.3} s of work, {:.1} times \
                 the mean, in {:.1} s, for {present:.2} cores, which allow {allowed:.1} of the mean; {informed_work:.3} s by informed sidecars",
                all_work / mean / attempts as f64,
                window as f64 / 1e9
            )
        });
        self.statistics.fallen += 1;
        self.kill_endpoint(endpoint, false);
        self.overloaded.push(endpoint);
        self.schedule_list_change(endpoint, EndpointState::Removed, self.scenario.discovery.silent);
        true
    }
}
