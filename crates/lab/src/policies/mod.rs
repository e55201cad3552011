//! Deciders: our own policy, rivals from the literature, and one that sees the true state.
//!
//! A policy is named by a choice of server, and behind a `+` each a limit and a retry budget:
//! `ours`, `p2c`, `peak-ewma+gradient+budget`, `top`.

pub mod broken;
mod limits;
mod rival;

use crate::world::EndpointView;
use crate::world::endpoint::{EmulatedEndpoint, Nanos};
use cottonpoint_decide::{Action, Balancer, Event, Settings, Time};
pub use limits::Limiting;
pub use rival::{Choice, Rival};
use std::fmt;
use std::str::FromStr;

/// The true state of the world. Only the policies that give the top and the mark of the gate look at it.
pub struct Truth<'a> {
    /// The time.
    pub now: Nanos,
    /// All servers that ever were, by index, which is their id.
    pub servers: &'a [EmulatedEndpoint],
    /// The same servers as they were when the reports were made that a sidecar has by now; empty unless some decider
    /// [sees it late](Decider::sees_late).
    pub late: &'a [EndpointView],
}

/// What decides for one sidecar: the same events and actions as [`Balancer`].
pub trait Decider {
    /// Takes one event and appends what is to be done about it.
    fn handle(&mut self, now: Time, event: Event<'_>, truth: &Truth<'_>, actions: &mut Vec<Action>);

    /// Whether it looks at the true state of a while ago.
    fn sees_late(&self) -> bool {
        false
    }

    /// The limit on running calls that it goes by now, if it has one.
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

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The project's own.
    Ours,
    /// A rival: its choice of server, its limit, and whether it budgets retries.
    Rival(Choice, Limiting, bool),
}

/// The names of all choices with what they are.
pub const CHOICES: [(&str, Choice); 10] = [
    ("random", Choice::Random),
    ("round-robin", Choice::RoundRobin),
    ("least-out", Choice::LeastOut),
    ("p2c", Choice::PowerOfTwo),
    ("peak-ewma", Choice::PeakEwma),
    ("wrr", Choice::WeightedByReport),
    ("prequal", Choice::HotCold),
    ("least-time", Choice::LeastTime),
    ("late", Choice::LateState),
    ("top", Choice::TrueState),
];

const LIMITS: [(&str, Limiting); 3] =
    [("none", Limiting::None), ("aimd", Limiting::Aimd), ("gradient", Limiting::Gradient)];

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Policy::Rival(choice, limit, budget) = self else { return f.write_str("ours") };
        let name = CHOICES.iter().find(|c| c.1 == *choice).map_or("?", |c| c.0);
        f.write_str(name)?;
        if *limit != Limiting::None {
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
            return Err(format!("no policy is called {name}; there are ours, {}", known.join(", ")));
        };
        let (mut limit, mut budget) = (Limiting::None, false);
        for part in parts {
            match (part, LIMITS.iter().find(|l| l.0 == part)) {
                ("budget", _) => budget = true,
                (_, Some(l)) => limit = l.1,
                _ => return Err(format!("after + may stand aimd, gradient or budget, not {part}")),
            }
        }
        Ok(Policy::Rival(choice, limit, budget))
    }
}

impl Policy {
    /// Makes a decider.
    pub fn make(self, settings: Settings, seed: u64, now: Time) -> Box<dyn Decider> {
        match self {
            Policy::Ours => Box::new(Balancer::new(settings, seed, now)),
            Policy::Rival(choice, limit, budget) => {
                Box::new(Rival::new(settings, seed, now, choice, limit, budget))
            }
        }
    }
}
