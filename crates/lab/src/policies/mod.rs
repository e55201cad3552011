//! Deciders: our policy, reference policies from the literature, and policies that see the true
//! state.
//! A policy is named by the way it chooses an endpoint, optionally followed by a limit and a retry
//! budget, each after a `+`: `ours`, `p2c`, `peak-ewma+gradient+budget`, `top`.

pub mod broken;
mod limits;
mod reference;

use crate::world::EndpointView;
use crate::world::endpoint::{EmulatedEndpoint, Nanos};
use cottonpoint_decide::{Action, Balancer, Event, Settings, Time};
pub use limits::LimitKind;
pub use reference::{Choice, ReferencePolicy};
use std::fmt;
use std::str::FromStr;

/// The true state of the emulator. Only the policies that give the upper bound (`top`) and the
/// reference value of the gate (`late`) use it.
pub struct Truth<'a> {
    /// The time.
    pub now: Nanos,
    /// All endpoints of the run, including ended ones; the index is the endpoint's id.
    pub endpoints: &'a [EmulatedEndpoint],
    /// The same endpoints at the time at which the load reports were made that a sidecar has by
    /// now; empty unless some decider [uses it](Decider::uses_delayed_state).
    pub delayed: &'a [EndpointView],
}

/// Makes the decisions of one sidecar, with the same events and actions as [`Balancer`].
pub trait Decider {
    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>);

    /// Whether the decider uses [`Truth::delayed`].
    fn uses_delayed_state(&self) -> bool {
        false
    }

    /// The current limit on running requests, if there is one.
    fn limit(&self) -> Option<f64> {
        None
    }
}

impl Decider for Balancer {
    fn handle(&mut self, now: Time, event: Event<'_>, _: &Truth<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn limit(&self) -> Option<f64> {
        Some(Balancer::limit(self)).filter(|l| l.is_finite())
    }
}

/// A policy, as its name describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The project's own policy.
    Ours,
    /// A reference policy: its choice of endpoint, its limit, and whether it has a retry budget.
    Reference(Choice, LimitKind, bool),
}

/// The name of each choice of endpoint.
pub const CHOICES: [(&str, Choice); 10] = [
    ("random", Choice::Random),
    ("round-robin", Choice::RoundRobin),
    ("least-out", Choice::LeastOutstanding),
    ("p2c", Choice::PowerOfTwo),
    ("peak-ewma", Choice::PeakEwma),
    ("wrr", Choice::WeightedByReport),
    ("prequal", Choice::HotCold),
    ("least-time", Choice::LeastTime),
    ("late", Choice::DelayedState),
    ("top", Choice::TrueState),
];

const LIMITS: [(&str, LimitKind); 3] =
    [("none", LimitKind::None), ("aimd", LimitKind::Aimd), ("gradient", LimitKind::Gradient)];

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Policy::Reference(choice, limit, budget) = self else { return f.write_str("ours") };
        let name = CHOICES.iter().find(|c| c.1 == *choice).map_or("?", |c| c.0);
        f.write_str(name)?;
        if *limit != LimitKind::None {
            write!(f, "+{}", LIMITS.iter().find(|l| l.1 == *limit).map_or("?", |l| l.0))?;
        }
        if *budget { f.write_str("+budget") } else { Ok(()) }
    }
}

impl FromStr for Policy {
    type Err = String;
    fn from_str(text: &str) -> Result<Policy, String> {
        let mut parts = text.split('+');
        let name = parts.next().unwrap_or_default();
        if text == "ours" {
            return Ok(Policy::Ours);
        }
        let Some(&(_, choice)) = CHOICES.iter().find(|c| c.0 == name) else {
            let known: Vec<&str> = CHOICES.iter().map(|c| c.0).collect();
            return Err(format!("unknown policy {name}; known policies: ours, {}", known.join(", ")));
        };
        let (mut limit, mut budget) = (LimitKind::None, false);
        for part in parts {
            match (part, LIMITS.iter().find(|l| l.0 == part)) {
                ("budget", _) => budget = true,
                (_, Some(l)) => limit = l.1,
                _ => return Err(format!("unknown option +{part}; known: aimd, gradient, budget")),
            }
        }
        Ok(Policy::Reference(choice, limit, budget))
    }
}

impl Policy {
    /// Makes a decider.
    pub fn make(self, settings: Settings, seed: u64, now: Time) -> Box<dyn Decider> {
        match self {
            Policy::Ours => Box::new(Balancer::new(settings, seed, now)),
            Policy::Reference(choice, limit, budget) => {
                Box::new(ReferencePolicy::new(settings, seed, now, choice, limit, budget))
            }
        }
    }
}
