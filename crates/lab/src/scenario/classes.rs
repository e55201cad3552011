//! Classes of requests, and tenants.

use super::figures::{DurationNs, DurationRange, ValueRange, ms};
use serde::Deserialize;

/// The distribution of a class's work around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkDistribution {
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

/// The effect of processing a request twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// All endpoints drop a repeat within the class's window.
    Keyed,
    /// The request must never be processed twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Its share of the requests, as a weight relative to the other classes.
    pub share: ValueRange,
    /// Mean work over all tiers, as time on a core of speed 1.
    pub work: DurationRange,
    /// The distribution of the work.
    #[serde(default)]
    pub law: WorkDistribution,
    /// Coefficient of variation of the work.
    #[serde(default = "half")]
    pub cv: ValueRange,
    /// Coefficient of variation of the work of a request's attempts around the request's work.
    #[serde(default)]
    pub noise: ValueRange,
    /// The latency target: an answer within this time has the full worth.
    pub aim: DurationNs,
    /// The client timeout, over all tries of a client.
    pub give_up: DurationNs,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that a later answer still has.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether a request may be processed again.
    #[serde(default)]
    pub effect: Effect,
    /// For keyed classes: how long endpoints remember a key.
    #[serde(default = "ten_seconds")]
    pub window: DurationNs,
}

fn half() -> ValueRange {
    ValueRange::single(0.5)
}

fn ten_seconds() -> DurationNs {
    ms(10_000)
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// Its share of the service's capacity.
    pub share: f64,
    /// Its demand, as a multiple of its share.
    #[serde(default = "whole")]
    pub usage: ValueRange,
    /// Worth of its requests beyond its quota, as a fraction.
    #[serde(default = "a_fifth")]
    pub over_share_worth: f64,
}

pub(super) fn whole() -> ValueRange {
    ValueRange::single(1.0)
}

fn a_fifth() -> f64 {
    0.2
}
