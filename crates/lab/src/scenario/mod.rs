//! Scenarios: the description of a run, read from a TOML file and checked before anything runs.
//! Times are written with their unit (`"750ms"`, `"2s"`, `"200us"`), counts and shares as plain
//! numbers. Where a value may be a range (`[1.5, 2.1]`), each seed draws its own from it,
//! uniformly.

mod check;
mod classes;
mod day;
mod figures;
mod tiers;
mod troubles;

use check::Checker;
pub use classes::{Class, Effect, Tenant, WorkDistribution};
use cottonpoint_file::{Fault, TomlText};
pub use day::{Clients, Discovery, Load, Network, Prices, Rules};
use figures::ms;
pub use figures::{DurationNs, DurationRange, ValueRange};
use serde::Deserialize;
use std::path::Path;
pub use tiers::{Connections, Crowding, Kind, Report, Tier};
pub use troubles::{Trouble, TroubleKind};
use xxhash_rust::xxh3::xxh3_64;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name under which results are stored.
    pub name: String,
    /// The purpose, in a sentence.
    pub about: String,
    /// How long clients arrive.
    pub length: DurationNs,
    /// Clients that arrive before this time do not count.
    #[serde(default = "one_second")]
    pub warm_up: DurationNs,
    /// Network delays.
    #[serde(default)]
    pub network: Network,
    /// How sidecars learn of endpoints.
    #[serde(default)]
    pub discovery: Discovery,
    /// What is allowed, and the parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// The offered load.
    pub load: Load,
    /// Penalties subtracted from the score.
    #[serde(default)]
    pub prices: Prices,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; there may be none.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Tiers of endpoints; clients call the first one.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// Injected faults and their times.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

fn one_second() -> DurationNs {
    ms(1000)
}

impl Scenario {
    /// Reads a scenario from a file.
    pub fn load(path: &Path) -> Result<Scenario, Fault> {
        Scenario::read(&TomlText::load(path)?)
    }

    /// Reads a scenario from text.
    pub fn read(text: &TomlText) -> Result<Scenario, Fault> {
        let scenario: Scenario = text.read()?;
        Checker(text).check_scenario(&scenario)?;
        Ok(scenario)
    }

    /// Reads a scenario from text that is not in a file; `file` names it in faults.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Fault> {
        Scenario::read(&TomlText::new(file, text))
    }

    /// A digest of a scenario's text, which distinguishes results of different versions.
    pub fn digest(text: &TomlText) -> u64 {
        xxh3_64(text.as_str().as_bytes())
    }
}
