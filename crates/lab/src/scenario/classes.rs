//! Classes of requests, and tenants.

use super::figures::{Length, Lengths, Span, ms};
use serde::Deserialize;

/// The law that a class's work follows around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// Log-normal with the stated coefficient of variation.
    #[default]
    Lognormal,
    /// Pareto with the stated coefficient of variation.
    Pareto,
    /// Exponential; its coefficient of variation is 1.
    Exponential,
    /// Always the mean.
    Fixed,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// All servers drop a repeat for the class's window.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against those of the other classes.
    pub share: Span,
    /// Mean work over all tiers, as time on a core of speed 1.
    pub work: Lengths,
    /// The law of the work.
    #[serde(default)]
    pub law: Law,
    /// Its coefficient of variation.
    #[serde(default = "half")]
    pub cv: Span,
    /// How much the attempts of one request vary around its work (coefficient of variation).
    #[serde(default)]
    pub noise: Span,
    /// An answer within this time has the full worth.
    pub aim: Length,
    /// The client's whole patience, over all its tries.
    pub give_up: Length,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that a later answer still has.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it may run again.
    #[serde(default)]
    pub effect: Effect,
    /// For keyed classes: how long servers know a key.
    #[serde(default = "ten_seconds")]
    pub window: Length,
}

fn half() -> Span {
    Span::just(0.5)
}

fn ten_seconds() -> Length {
    ms(10_000)
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// What it asks for, as a multiple of its share.
    #[serde(default = "whole")]
    pub usage: Span,
    /// Worth of what it asks beyond its quota, as a fraction.
    #[serde(default = "a_fifth")]
    pub over_share_worth: f64,
}

pub(super) fn whole() -> Span {
    Span::just(1.0)
}

fn a_fifth() -> f64 {
    0.2
}
