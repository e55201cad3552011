//! Policies that break one rule each, or starve some calls, to show that what judges them sees it.

use super::{Decider, Policy, Truth};
use crate::world::Rule;
use cottonpoint_decide::*;
use std::time::Duration;

/// A policy that starts all it is given at once.
const UNBOUNDED: &str = "random";

/// A policy written to break a rule: what it passes on from [`Balancer`] is changed where the rule would hold.
pub struct Breaks {
    rule: Rule,
    inner: Box<dyn Decider>,
    listed: Vec<EndpointId>,
    drained: Option<EndpointId>,
    coldest: Option<(Time, EndpointId)>,
}

impl Breaks {
    /// A decider that breaks the rule and is otherwise ours, or, to break that on cold servers, unbounded.
    pub fn new(rule: Rule, settings: Settings, seed: u64, now: Time) -> Breaks {
        let mut settings = settings;
        if rule == Rule::NoRepeat {
            // It believes that nothing has an effect.
            settings.classes.iter_mut().for_each(|c| c.effect = Effect::Safe);
        }
        // Ours bounds what is out at a server, and would hold back what the others are thought to have.
        let inner =
            if rule == Rule::Cold { UNBOUNDED.parse().unwrap_or(Policy::Ours) } else { Policy::Ours };
        let inner = inner.make(settings, seed, now);
        Breaks { rule, inner, listed: Vec::new(), drained: None, coldest: None }
    }
}

impl Decider for Breaks {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Endpoints { entries, .. } = event {
            for e in entries {
                match e.state {
                    EndpointState::Ready => {
                        self.listed.push(e.id);
                        if let Some(started) = e.started {
                            self.coldest = self.coldest.max(Some((started, e.id)));
                        }
                    }
                    _ => self.drained = Some(e.id),
                }
            }
        }
        let from = actions.len();
        self.inner.handle(now, event, truth, actions);
        match self.rule {
            // A final answer is kept back.
            Rule::OneAnswer => {
                let mut at = 0;
                actions.retain(|a| {
                    at += 1;
                    at <= from || !matches!(a, Action::Refuse { .. } | Action::Fail { .. })
                });
            }
            // The class of an unsafe call is not looked at: see `new`.
            Rule::NoRepeat => {}
            // Each attempt goes out twice at once.
            Rule::OneOut => {
                let sends: Vec<Action> =
                    actions[from..].iter().filter(|a| matches!(a, Action::Send { .. })).copied().collect();
                actions.extend(sends);
            }
            // What drains gets all the work.
            Rule::Drains => redirect(&mut actions[from..], self.drained),
            // The youngest server gets all the work.
            Rule::Cold => {
                let young = self.coldest.filter(|c| now.since(c.0) < Duration::from_secs(20));
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

/// Ours, but it refuses all calls of a class or of a tenant as they come.
pub struct Starves {
    class: Option<ClassId>,
    tenant: Option<TenantId>,
    inner: Box<dyn Decider>,
}

impl Starves {
    /// A decider that starves the class and the tenant.
    pub fn new(
        class: Option<ClassId>,
        tenant: Option<TenantId>,
        settings: Settings,
        seed: u64,
        now: Time,
    ) -> Starves {
        Starves { class, tenant, inner: Policy::Ours.make(settings, seed, now) }
    }
}

impl Decider for Starves {
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::Arrived(call) = event
            && (self.class == Some(call.class) || self.tenant.is_some() && self.tenant == call.tenant)
        {
            return actions.push(Action::Refuse { id: call.id, retry_after: None });
        }
        self.inner.handle(now, event, truth, actions);
    }
}

/// Ours without its budget for cold targets: the multiple that pushes one over is stated as past all reach.
pub fn without_cold_budget(settings: Settings, seed: u64, now: Time) -> Box<dyn Decider> {
    let mut settings = settings;
    settings.slow_start.overload_multiple = 1e9;
    Policy::Ours.make(settings, seed, now)
}
