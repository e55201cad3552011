//! `[fleet]`: whether this sidecar talks with others, and how.

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

/// Seeds at most: a few that are up suffice to meet all others.
const SEEDS_LIMIT: usize = 64;
/// Below 200 ms an ordinary wait for a processor looks like a death; above a minute a crash is news for nobody.
const PERIODS_MS: RangeInclusive<u64> = 200..=60_000;

/// Sidecars that know each other, over UDP (IPv4). All of it is off without `listen`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Where this sidecar hears the others, such as "10.0.0.7:7946"; off if left out.
    #[toml_example(default = "10.0.0.7:7946")]
    pub listen: Option<SocketAddrV4>,
    /// Where the others reach it, if not at `listen`.
    #[toml_example(default = "10.0.0.7:7946")]
    pub advertise: Option<SocketAddrV4>,
    /// The fleet's name, the same at all its members.
    #[toml_example(default = "archive")]
    pub cluster: String,
    /// Files with a key each, 16 to 1024 bytes: the first signs, any is taken.
    #[toml_example(default = ["fleet.key"])]
    pub keys: Vec<PathBuf>,
    /// Members to ask at first, 64 at most.
    #[toml_example(default = [])]
    pub seeds: Vec<SocketAddrV4>,
    /// Milliseconds between two probes, 200 to 60000.
    #[toml_example(default = 1000)]
    pub period_ms: u64,
    /// This member's name, 32 bytes at most, unlike all others'; that of the configuration if left out.
    #[toml_example(default = "n0")]
    pub name: Option<String>,
    /// Threads, 1 to 8.
    #[toml_example(default = 2)]
    pub workers: usize,
    /// What the files of `keys` hold.
    #[serde(skip)]
    pub read: Vec<Key>,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            listen: None,
            advertise: None,
            cluster: String::new(),
            keys: Vec::new(),
            seeds: Vec::new(),
            period_ms: 1000,
            name: None,
            workers: 2,
            read: Vec::new(),
        }
    }
}

impl Fleet {
    /// The keys of the table that have no default: the example names them as comments.
    pub(super) const COMMENTED: [&'static str; 5] = ["listen", "advertise", "cluster", "keys", "name"];

    /// Checks it, and reads the keys where it is on.
    pub(super) fn check(&mut self, text: &TomlText) -> Result<(), Fault> {
        let fault = |key: &str, why: String| Err(text.fault(&format!("fleet.{key}"), why));
        if self.seeds.len() > SEEDS_LIMIT {
            return fault("seeds", format!("{} are too many: {SEEDS_LIMIT} at most", self.seeds.len()));
        }
        if !PERIODS_MS.contains(&self.period_ms) {
            return fault("period_ms", format!("must be {} to {}", PERIODS_MS.start(), PERIODS_MS.end()));
        }
        if !(1..=WORKERS_LIMIT).contains(&self.workers) {
            return fault("workers", format!("must be 1 to {WORKERS_LIMIT}"));
        }
        if let Some(why) = self.name.as_ref().and_then(|name| is_no_name(name)) {
            return fault("name", why);
        }
        let Some(listen) = self.listen else { return Ok(()) };
        let reached = self.advertise.unwrap_or(listen);
        if reached.ip().is_unspecified() || reached.ip().is_multicast() || reached.ip().is_broadcast() {
            return fault("advertise", format!("nobody can reach {}", reached.ip()));
        }
        if self.advertise.is_some_and(|advertise| advertise.port() == 0) {
            return fault("advertise", "nobody can reach port 0".to_owned());
        }
        if self.cluster.is_empty() {
            return fault("cluster", "is missing: a fleet has a name".to_owned());
        }
        if self.keys.is_empty() {
            return fault("keys", "is missing: a fleet has a key".to_owned());
        }
        let read = |file: &PathBuf| read_key(file).map_err(|why| format!("{}: {why}", file.display()));
        match self.keys.iter().map(read).collect() {
            Ok(keys) => self.read = keys,
            Err(why) => return fault("keys", why),
        }
        Ok(())
    }

    /// The member's name: its own, or `name`, the configuration's. Fails where that is none for a member.
    pub fn name_or(&self, name: &str) -> Result<String, String> {
        match (&self.name, self.listen) {
            (Some(name), _) => Ok(name.clone()),
            (None, Some(_)) => match is_no_name(name) {
                None => Ok(name.to_owned()),
                Some(why) => {
                    Err(format!("the operator's file: fleet.name: is missing, and {name:?} {why}"))
                }
            },
            (None, None) => Ok(name.to_owned()),
        }
    }
}

fn is_no_name(name: &str) -> Option<String> {
    let fits = (1..=NAME_LIMIT).contains(&name.len());
    (!fits).then(|| format!("must have 1 to {NAME_LIMIT} bytes, and has {}", name.len()))
}

/// What a file of a key holds, without the end of its line.
fn read_key(file: &Path) -> Result<Key, String> {
    use std::io::Read;
    let mut bytes = Vec::new();
    // Two bytes for the end of the line, and one to see that it is too long.
    let most = *KEY_LENGTH.end() as u64 + 3;
    let read = std::fs::File::open(file).and_then(|file| file.take(most).read_to_end(&mut bytes));
    read.map_err(|e| e.to_string())?;
    let line = bytes.strip_suffix(b"\n").map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    Key::new(line.unwrap_or(&bytes))
        .ok_or_else(|| format!("a key has {} to {} bytes", KEY_LENGTH.start(), KEY_LENGTH.end()))
}

impl fmt::Display for Fleet {
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
