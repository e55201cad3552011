//! `[fleet]`: this sidecar's membership in a fleet.

use cottonpoint_file::{Fault, TomlText};
use cottonpoint_mesh::WORKERS_LIMIT;
use cottonpoint_mesh::seal::{KEY_LENGTH, Key};
use cottonpoint_peers::NAME_LIMIT;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use toml_example::TomlExample;

/// Maximum number of seeds: a few reachable ones suffice to find all other members.
const MAX_SEEDS: usize = 64;
/// Below 200 ms an ordinary scheduling delay looks like a crash; above a minute a crash is detected
/// too late to be of use.
const PERIOD_RANGE_MS: RangeInclusive<u64> = 200..=60_000;

/// Membership protocol between sidecars, over UDP (IPv4). It is off without `listen`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// The address that receives the fleet's datagrams, such as "10.0.0.7:7946"; off if left out.
    #[toml_example(default = "10.0.0.7:7946")]
    pub listen: Option<SocketAddrV4>,
    /// The address at which other members reach this one, if it is not `listen`.
    #[toml_example(default = "10.0.0.7:7946")]
    pub advertise: Option<SocketAddrV4>,
    /// The fleet's name, the same for all its members.
    #[toml_example(default = "archive")]
    pub cluster: String,
    /// Files with one key each, 16 to 1024 bytes: the first key signs, every key is accepted.
    #[toml_example(default = ["fleet.key"])]
    pub keys: Vec<PathBuf>,
    /// Members to contact at the start, at most 64.
    #[toml_example(default = [])]
    pub seeds: Vec<SocketAddrV4>,
    /// Milliseconds between two probes, 200 to 60000.
    #[toml_example(default = 1000)]
    pub period_ms: u64,
    /// This member's unique name, at most 32 bytes; the configuration's name if left out.
    #[toml_example(default = "n0")]
    pub name: Option<String>,
    /// Worker threads, 1 to 8.
    #[toml_example(default = 2)]
    pub workers: usize,
    /// The keys read from the files in `keys`.
    #[serde(skip)]
    pub loaded_keys: Vec<Key>,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            listen: None,
            advertise: None,
            cluster: String::new(),
            keys: Vec::new(),
            seeds: Vec::new(),
            period_ms: 1000,
            name: None,
            workers: 2,
            loaded_keys: Vec::new(),
        }
    }
}

impl FleetConfig {
    /// Keys of the table without a default: they are commented out in the example.
    pub(super) const KEYS_WITHOUT_DEFAULT: [&'static str; 5] =
        ["listen", "advertise", "cluster", "keys", "name"];

    /// Checks the table, and reads the key files if the fleet is on.
    pub(super) fn check(&mut self, text: &TomlText) -> Result<(), Fault> {
        let fault = |key: &str, why: String| Err(text.fault(&format!("fleet.{key}"), why));
        if self.seeds.len() > MAX_SEEDS {
            return fault("seeds", format!("{} seeds are too many: at most {MAX_SEEDS}", self.seeds.len()));
        }
        if !PERIOD_RANGE_MS.contains(&self.period_ms) {
            return fault(
                "period_ms",
                format!("must be {} to {}", PERIOD_RANGE_MS.start(), PERIOD_RANGE_MS.end()),
            );
        }
        if !(1..=WORKERS_LIMIT).contains(&self.workers) {
            return fault("workers", format!("must be 1 to {WORKERS_LIMIT}"));
        }
        if let Some(why) = self.name.as_ref().and_then(|name| invalid_name_reason(name)) {
            return fault("name", why);
        }
        let Some(listen) = self.listen else { return Ok(()) };
        let advertised = self.advertise.unwrap_or(listen);
        if advertised.ip().is_unspecified()
            || advertised.ip().is_multicast()
            || advertised.ip().is_broadcast()
        {
            return fault("advertise", format!("other members cannot reach {}", advertised.ip()));
        }
        if self.advertise.is_some_and(|advertise| advertise.port() == 0) {
            return fault("advertise", "other members cannot reach port 0".to_owned());
        }
        if self.cluster.is_empty() {
            return fault("cluster", "is missing: a fleet needs a name".to_owned());
        }
        if self.keys.is_empty() {
            return fault("keys", "is missing: a fleet needs a key".to_owned());
        }
        let load = |file: &PathBuf| read_key(file).map_err(|why| format!("{}: {why}", file.display()));
        match self.keys.iter().map(load).collect() {
            Ok(keys) => self.loaded_keys = keys,
            Err(why) => return fault("keys", why),
        }
        Ok(())
    }

    /// The member's name: the table's own, or else `name` from the configuration. Fails if that is
    /// not valid for a member.
    pub fn name_or(&self, name: &str) -> Result<String, String> {
        match (&self.name, self.listen) {
            (Some(name), _) => Ok(name.clone()),
            (None, Some(_)) => match invalid_name_reason(name) {
                None => Ok(name.to_owned()),
                Some(why) => {
                    Err(format!("the operator's file: fleet.name: is missing, and {name:?} {why}"))
                }
            },
            (None, None) => Ok(name.to_owned()),
        }
    }
}

fn invalid_name_reason(name: &str) -> Option<String> {
    let is_valid = (1..=NAME_LIMIT).contains(&name.len());
    (!is_valid).then(|| format!("must have 1 to {NAME_LIMIT} bytes, and has {}", name.len()))
}

/// Reads a key file, without its line terminator.
fn read_key(file: &Path) -> Result<Key, String> {
    use std::io::Read;
    let mut bytes = Vec::new();
    // Two bytes for the line terminator, and one to detect a key that is too long.
    let read_limit = *KEY_LENGTH.end() as u64 + 3;
    let read = std::fs::File::open(file).and_then(|file| file.take(read_limit).read_to_end(&mut bytes));
    read.map_err(|e| e.to_string())?;
    let line = bytes.strip_suffix(b"\n").map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    Key::new(line.unwrap_or(&bytes))
        .ok_or_else(|| format!("a key must have {} to {} bytes", KEY_LENGTH.start(), KEY_LENGTH.end()))
}

impl fmt::Display for FleetConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(listen) = self.listen else { return write!(f, "fleet        off") };
        write!(f, "fleet        {}, listens on {listen}", self.cluster)?;
        if let Some(advertise) = self.advertise {
            write!(f, ", reached at {advertise}")?;
        }
        if let Some(name) = &self.name {
            write!(f, ", as {name}")?;
        }
        let (keys, seeds) = (self.keys.len(), self.seeds.len());
        write!(f, ", keys {keys}, seeds {seeds}, every {} ms, threads {}", self.period_ms, self.workers)
    }
}
