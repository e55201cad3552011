//! Scenarios: what a day looks like, read from a TOML file and checked before anything runs.
//!
//! Times are written with their unit (`"750ms"`, `"2s"`, `"200us"`), counts and shares as plain numbers. Where
//! a figure may be a range (`[1.5, 2.1]`), each seed draws its own from it, evenly.

mod check;
mod classes;
mod day;
mod figures;
mod tiers;
mod troubles;

use check::Checker;
pub use classes::{Class, Effect, Law, Tenant};
use cottonpoint_file::{Fault, TomlText};
pub use day::{Clients, Discovery, Load, Network, Prices, Rules};
use figures::ms;
pub use figures::{Length, Lengths, Span};
use serde::Deserialize;
use std::path::Path;
pub use tiers::{Choke, Connections, Kind, Report, Tier};
pub use troubles::{Trouble, What};
use xxhash_rust::xxh3::xxh3_64;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, by which results are kept.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long clients keep coming.
    pub length: Length,
    /// Requests before this time do not count.
    #[serde(default = "one_second")]
    pub warm_up: Length,
    /// Delays between machines.
    #[serde(default)]
    pub network: Network,
    /// How sidecars learn of servers.
    #[serde(default)]
    pub discovery: Discovery,
    /// What is allowed, and the figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How much they ask.
    pub load: Load,
    /// What is taken off the score.
    #[serde(default)]
    pub prices: Prices,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; may be none.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Tiers of servers, the first one called by clients.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// What goes wrong, and when.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

fn one_second() -> Length {
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
        Checker(text).scenario(&scenario)?;
        Ok(scenario)
    }

    /// Reads a scenario from text that stands in no file; `file` names it in faults.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Fault> {
        Scenario::read(&TomlText::new(file, text))
    }

    /// A digest of a scenario's text, by which results are kept apart.
    pub fn digest(text: &TomlText) -> u64 {
        xxh3_64(text.as_str().as_bytes())
    }
}
