//! Troubles: the faults injected in a run, and their times.

use super::classes::whole;
use super::figures::{DurationRange, ValueRange};
use serde::{Deserialize, Serialize};

/// The kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Some endpoints run `size` times slower.
    Slow,
    /// Some endpoints fail a share `size` of their requests at once.
    FastErrors,
    /// The load is `size` times the usual one.
    Burst,
    /// Some endpoints are replaced, a share `size` of the tier at a time, each drained for `drain`
    /// first.
    Deploy,
    /// All endpoints of the tier run `size` times slower.
    SharedSlow,
    /// Some machines vanish without a notice: connections stay silent, new ones are never
    /// established.
    Vanish,
    /// Some processes die: connections are reset and refused. They restart, cold, when the trouble
    /// ends.
    Die,
    /// Some sidecars and some endpoints cannot reach each other.
    Partition,
    /// Some endpoints accept work and never finish it, while their reports show low load.
    Gray,
    /// Discovery answers nobody.
    Outage,
    /// Some sidecars of the first tier are killed; they restart without any state when the trouble
    /// ends.
    SidecarDown,
    /// Some endpoints drain, and become ready again without a restart.
    Drain,
}

/// One injected fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// The kind.
    pub what: TroubleKind,
    /// When it begins.
    pub at: DurationRange,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub length: DurationRange,
    /// The affected tier, from 0.
    #[serde(default)]
    pub tier: usize,
    /// Affected share of the tier (at least one machine).
    #[serde(default = "a_tenth")]
    pub part: ValueRange,
    /// Severity; its meaning depends on the kind.
    #[serde(default = "whole")]
    pub size: ValueRange,
    /// For a deploy: how long an endpoint drains.
    #[serde(default)]
    pub drain: DurationRange,
    /// For a partition: share of the sidecars that are cut off.
    #[serde(default = "whole")]
    pub sidecars: ValueRange,
}

fn a_tenth() -> ValueRange {
    ValueRange::single(0.1)
}
