//! Draws the fleet from the seed and derives the settings of each tier's deciders.

use super::DrawnParameters;
use super::endpoint::{CrowdingSpec, EmulatedEndpoint, EndpointSpec};
use crate::draw::RandomStream;
use crate::scenario::{Effect, Kind, Scenario};
use cottonpoint_decide as decide;

/// Draws the endpoints of all tiers and the parameters of the run.
pub(super) fn draw(s: &Scenario, draw: &mut RandomStream) -> (Vec<EmulatedEndpoint>, DrawnParameters) {
    let class_weights: Vec<f64> = s.classes.iter().map(|c| draw.value_in(c.share)).collect();
    let class_work: Vec<f64> = s.classes.iter().map(|c| draw.duration_in(c.work) as f64 / 1e9).collect();
    let class_cv: Vec<f64> = s.classes.iter().map(|c| draw.value_in(c.cv)).collect();
    let class_noise: Vec<f64> = s.classes.iter().map(|c| draw.value_in(c.noise)).collect();
    let total: f64 = class_weights.iter().sum::<f64>().max(1e-9);
    let mean_work: f64 = class_weights.iter().zip(&class_work).map(|(w, x)| w / total * x).sum();
    let mut endpoints = Vec::new();
    let mut calls = Vec::new();
    let mut report = Vec::new();
    // Requests of a tier per client request, and the rate of client requests that the scarcest tier
    // can sustain.
    let (mut requests, mut max_rate) = (1.0, f64::INFINITY);
    for (t, tier) in s.tiers.iter().enumerate() {
        let count = draw.value_in(tier.servers).round().max(1.0) as usize;
        let weights: Vec<f64> = tier.kinds.iter().map(|k| draw.value_in(k.share)).collect();
        let speeds: Vec<f64> = tier.kinds.iter().map(|k| draw.value_in(k.speed)).collect();
        let specs: Vec<EndpointSpec> =
            tier.kinds.iter().enumerate().map(|(k, kind)| draw_spec(t, k, kind, draw)).collect();
        let mut capacity = 0.0;
        for i in 0..count {
            let k = weighted_index(&weights, (i as f64 + 0.5) / count as f64);
            let cv = draw.value_in(tier.kinds[k].speed_cv);
            let mut spec = specs[k].clone();
            spec.speed = speeds[k] * draw.around_one(cv);
            spec.connections = (tier.connections.cap * spec.cores).max(1.0) as usize;
            spec.full_tax = tier.connections.full_tax;
            spec.choke = tier.choke.as_ref().map(|c| CrowdingSpec::draw(c, draw));
            capacity += spec.cores * spec.speed;
            endpoints.push(EmulatedEndpoint::new(spec, None, 0));
        }
        let calls_per_request = draw.value_in(tier.calls);
        max_rate = max_rate.min(capacity / (mean_work * tier.work * requests).max(1e-12));
        requests *= calls_per_request;
        calls.push(calls_per_request);
        report.push(
            tier.report
                .map(|r| (draw.duration_in(r.period), draw.duration_in(r.delay), draw.value_in(r.noise))),
        );
    }
    let rate =
        s.load.rate.unwrap_or_else(|| draw.value_in(s.load.of_capacity.unwrap_or_default()) * max_rate);
    let quota = draw.value_in(s.load.quota);
    let usage: Vec<f64> = s.tenants.iter().map(|t| t.share * draw.value_in(t.usage)).collect();
    let settings = (0..s.tiers.len()).map(|t| settings(s, t, quota * max_rate)).collect();
    let parameters = DrawnParameters {
        settings,
        class_weights,
        class_work,
        class_cv,
        class_noise,
        tenant_weights: usage,
        try_share: draw.value_in(s.clients.try_share),
        rate,
        calls,
        report,
    };
    (endpoints, parameters)
}

/// The index of the weight that a share (0 to 1) of their sum falls into.
pub fn weighted_index(weights: &[f64], share: f64) -> usize {
    let mut left = share * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

fn draw_spec(tier: usize, number: usize, kind: &Kind, draw: &mut RandomStream) -> EndpointSpec {
    let cores = f64::from(kind.cores);
    EndpointSpec {
        tier,
        kind: number,
        cores,
        speed: 1.0,
        slots: ((draw.value_in(kind.slots) * cores).round() as usize).max(1),
        queue_capacity: (draw.value_in(kind.queue) * cores).round() as usize,
        thrash: draw.value_in(kind.thrash),
        thrash_at: draw.value_in(kind.thrash_at),
        cold_from: draw.value_in(kind.cold_from),
        cold_for: draw.duration_in(kind.cold_for) as f64 / 1e9,
        error_rate: draw.value_in(kind.error_rate),
        stops_running: kind.stops_running,
        connections: 1,
        full_tax: 0.0,
        choke: None,
    }
}

/// The settings that the deciders of a tier start with. Slow start is described by the coldest and
/// slowest start that the scenario states for any of the tier's kinds, as on the platform: the
/// values drawn for a run are not disclosed.
fn settings(s: &Scenario, tier: usize, quota: f64) -> decide::Settings {
    let kinds = &s.tiers[tier].kinds;
    let cold_from = kinds.iter().map(|k| k.cold_from.from).fold(1.0, f64::min);
    let warm_after = kinds.iter().map(|k| k.cold_for.to).max().unwrap_or_default();
    let class = |c: &crate::scenario::Class| decide::Class {
        latency_target: c.aim.duration(),
        latency_target_stretch: 0.0,
        client_timeout: c.give_up.duration(),
        worth: c.worth,
        late_worth: c.late_worth,
        effect: match c.effect {
            Effect::Safe => decide::Effect::Safe,
            Effect::Keyed => {
                decide::Effect::Keyed { scope: decide::Scope::All, window: c.window.duration() }
            }
            Effect::Unsafe => decide::Effect::Unsafe,
        },
    };
    let over = s.tenants.iter().map(|t| t.over_share_worth).fold(1.0, f64::min);
    decide::Settings {
        balancer_index: 0,
        balancer_count: 1,
        zone: decide::ZoneId(0),
        from_clients: tier == 0,
        classes: s.classes.iter().map(class).collect(),
        tenants: s.tenants.iter().map(|t| decide::Tenant { quota_per_s: t.share * quota }).collect(),
        over_quota_worth: over,
        discovery: match s.discovery.asked {
            true => decide::Discovery::OnRequest { ask_within: s.rules.ask_within.duration() },
            false => decide::Discovery::Pushed,
        },
        reporting: match s.tiers[tier].report {
            Some(_) => decide::Reporting::WithAnswers,
            None => decide::Reporting::Never,
        },
        limits: decide::Limits {
            max_attempts: s.rules.max_attempts,
            may_duplicate: s.rules.may_duplicate,
            may_cancel: s.rules.may_cancel,
            may_probe: false,
            max_retry_after: Some(s.clients.max_retry_after.duration()),
        },
        slow_start: decide::SlowStart {
            initial_capacity: cold_from,
            warm_after: warm_after.duration(),
            overload_multiple: s.rules.fall_multiple,
            overload_window: s.rules.fall_after.duration(),
        },
        cross_zone_price: 0.0,
    }
}
