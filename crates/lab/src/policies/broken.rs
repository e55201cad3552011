//! Policies that each break one rule, or starve some requests, to show that the checks detect it.

use super::{Decider, Policy, Truth};
use crate::world::Rule;
use cottonpoint_decide::*;
use std::time::Duration;

/// A policy without a limit: it sends every request at once.
const UNLIMITED_POLICY: &str = "random";

/// A policy that breaks a rule: it changes what [`Balancer`] returns wherever the rule would hold.
pub struct RuleBreaker {
    rule: Rule,
    inner: Box<dyn Decider>,
    listed: Vec<EndpointId>,
    drained: Option<EndpointId>,
    youngest: Option<(Time, EndpointId)>,
}

impl RuleBreaker {
    /// A decider that breaks the rule and otherwise behaves as our policy, or, for the rule on cold
    /// endpoints, as a policy without a limit.
    pub fn new(rule: Rule, settings: Settings, seed: u64, now: Time) -> RuleBreaker {
        let mut settings = settings;
        if rule == Rule::NoRepeat {
            // Every class is declared safe to repeat.
            settings.classes.iter_mut().for_each(|c| c.effect = Effect::Safe);
        }
        // Our policy limits the attempts outstanding at an endpoint, and would reserve a part of
        // that for the load that it expects from other balancers.
        let inner = if rule == Rule::Cold {
            UNLIMITED_POLICY.parse().unwrap_or(Policy::Ours)
        } else {
            Policy::Ours
        };
        let inner = inner.make(settings, seed, now);
        RuleBreaker { rule, inner, listed: Vec::new(), drained: None, youngest: None }
    }
}

impl Decider for RuleBreaker {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Endpoints { entries, .. } = event {
            for e in entries {
                match e.state {
                    EndpointState::Ready => {
                        self.listed.push(e.id);
                        if let Some(started) = e.started {
                            self.youngest = self.youngest.max(Some((started, e.id)));
                        }
                    }
                    _ => self.drained = Some(e.id),
                }
            }
        }
        let from = actions.len();
        self.inner.handle(now, event, truth, actions);
        match self.rule {
            // Withholds final answers.
            Rule::OneAnswer => {
                let mut at = 0;
                actions.retain(|a| {
                    at += 1;
                    at <= from || !matches!(a, Action::Refuse { .. } | Action::Fail { .. })
                });
            }
            // The settings declare every class safe to repeat: see `new`.
            Rule::NoRepeat => {}
            // Sends each attempt twice at once.
            Rule::OneOut => {
                let sends: Vec<Action> =
                    actions[from..].iter().filter(|a| matches!(a, Action::Send { .. })).copied().collect();
                actions.extend(sends);
            }
            // Sends all work to an endpoint that is not ready.
            Rule::Drains => redirect(&mut actions[from..], self.drained),
            // Sends all work to the endpoint that started last.
            Rule::Cold => {
                let young = self.youngest.filter(|c| now.since(c.0) < Duration::from_secs(20));
                redirect(&mut actions[from..], young.map(|c| c.1));
            }
        }
    }
}

fn redirect(actions: &mut [Action], to: Option<EndpointId>) {
    let Some(to) = to else { return };
    for action in actions {
        if let Action::Send { endpoint, .. } = action {
            *endpoint = to;
        }
    }
}

/// Our policy, but it refuses all requests of a class or of a tenant on arrival.
pub struct StarvingPolicy {
    class: Option<ClassId>,
    tenant: Option<TenantId>,
    inner: Box<dyn Decider>,
}

impl StarvingPolicy {
    /// A decider that starves the class and the tenant.
    pub fn new(
        class: Option<ClassId>,
        tenant: Option<TenantId>,
        settings: Settings,
        seed: u64,
        now: Time,
    ) -> StarvingPolicy {
        StarvingPolicy { class, tenant, inner: Policy::Ours.make(settings, seed, now) }
    }
}

impl Decider for StarvingPolicy {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Arrived(request) = event
            && (self.class == Some(request.class) || self.tenant.is_some() && self.tenant == request.tenant)
        {
            return actions.push(Action::Refuse { id: request.id, retry_after: None });
        }
        self.inner.handle(now, event, truth, actions);
    }
}

/// Our policy without its budget for cold endpoints: the multiple that overloads one is set out of
/// reach.
pub fn without_cold_budget(settings: Settings, seed: u64, now: Time) -> Box<dyn Decider> {
    let mut settings = settings;
    settings.slow_start.overload_multiple = 1e9;
    Policy::Ours.make(settings, seed, now)
}
