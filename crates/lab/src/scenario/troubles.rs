//! What goes wrong on a day, and when.

use super::classes::whole;
use super::figures::{Lengths, Span};
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Some servers run `size` times slower.
    Slow,
    /// Some servers fail a share `size` of their requests at once.
    FastErrors,
    /// `size` times the usual load.
    Burst,
    /// Some servers are replaced, a share `size` of the tier at a time, each drained for `drain` first.
    Deploy,
    /// All servers of the tier run `size` times slower.
    SharedSlow,
    /// Some machines vanish without a word: connections stay silent, new ones never come up.
    Vanish,
    /// Some processes die: connections are reset and refused. They start anew, cold, at the end.
    Die,
    /// Some sidecars and some servers cannot reach each other.
    Partition,
    /// Some servers take work and never finish it, while their reports look well.
    Gray,
    /// Discovery answers nobody.
    Outage,
    /// Some sidecars of the first tier are killed; they start anew, knowing nothing, at the end.
    SidecarDown,
    /// Some servers drain, and come back without a restart.
    Drain,
}

/// One trouble on the timeline.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Its kind.
    pub what: What,
    /// When it begins.
    pub at: Lengths,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub length: Lengths,
    /// The tier that it strikes, from 0.
    #[serde(default)]
    pub tier: usize,
    /// Share of the tier that it strikes (at least one machine).
    #[serde(default = "a_tenth")]
    pub part: Span,
    /// How bad it is; what that means depends on the kind.
    #[serde(default = "whole")]
    pub size: Span,
    /// For a deploy: how long a server drains.
    #[serde(default)]
    pub drain: Lengths,
    /// For a partition: share of the sidecars that are cut off.
    #[serde(default = "whole")]
    pub sidecars: Span,
}

fn a_tenth() -> Span {
    Span::just(0.1)
}
