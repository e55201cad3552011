//! Proofs: the checks behind the project's published claims. A proof exercises one subsystem and reports for each
//! claim the measured value, the bound and whether the bound is kept.

pub mod fleet;
pub mod hunted;
pub mod lab;
pub mod peers;

use comfy_table::Table;
use serde::Serialize;

/// One claim with its measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Claim {
    /// What is claimed.
    pub claim: String,
    /// The bound that the measured value has to keep, as text.
    pub bound: String,
    /// The measured value, as text.
    pub measured: String,
    /// Whether the bound is kept.
    pub kept: bool,
}

impl Claim {
    /// A claim with its measurement.
    pub fn new(
        claim: impl Into<String>,
        bound: impl Into<String>,
        measured: impl Into<String>,
        kept: bool,
    ) -> Claim {
        Claim { claim: claim.into(), bound: bound.into(), measured: measured.into(), kept }
    }
}

/// A proof: a set of claims that are checked together.
pub struct Proof {
    /// Its name on the command line.
    pub name: &'static str,
    /// What the claims are about.
    pub about: &'static str,
    /// Checks the claims. The argument selects the short form, which ends within 30 s.
    pub run: fn(short: bool) -> Vec<Claim>,
}

/// All proofs.
pub const PROOFS: [Proof; 4] = [
    Proof {
        name: "lab",
        about: "closed forms, conservation, rule checkers, same results on one and four threads, speed, memory",
        run: lab::prove,
    },
    Proof {
        name: "fleet",
        about: "a hundred sidecars: calls on discovery, cold targets, connections at a target, over the whole fleet",
        run: fleet::prove,
    },
    Proof {
        name: "hunted",
        about: "days that hunt found and that were kept: none goes worse than when it was taken in",
        run: hunted::prove,
    },
    Proof {
        name: "peers",
        about: "who is there, 3 to 500 members: crashes, loss, cuts, splits, standstills, restarts, replays, bytes",
        run: peers::prove,
    },
];

/// Formats claims as a Markdown table.
pub fn table(claims: &[Claim]) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["claim", "bound", "measured", "kept"]);
    for c in claims {
        table.add_row([c.claim.as_str(), &c.bound, &c.measured, if c.kept { "yes" } else { "NO" }]);
    }
    table
}
