//! The sidecar's configuration: the one place that reads it, checks it and gives defaults.

use cottonpoint_net::list::{Answer, NameTable};
use cottonpoint_settings::{self as settings, BadSetting, DeploymentSettings};
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors that are never given to connections: standard streams, the listener, discovery, signals and
/// the event loop, and room to turn clients away.
const RESERVE: usize = 24;
const SOCKETS: u64 = 1024;
/// With fewer descriptors than this the program does not start.
const SOCKETS_MIN: u64 = 96;

/// What is wrong with the configuration: the file, where it was read from one, the key, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadConfig {
    file: Option<PathBuf>,
    key: String,
    why: String,
}

impl fmt::Display for BadConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "configuration {}: {}: {}", file.display(), self.key, self.why),
            None => write!(f, "configuration: {}: {}", self.key, self.why),
        }
    }
}

impl From<BadSetting> for BadConfig {
    fn from(BadSetting { key, why }: BadSetting) -> BadConfig {
        BadConfig { file: None, key: if key.is_empty() { "(whole)".to_owned() } else { key }, why }
    }
}

fn bad(key: &str, why: impl fmt::Display) -> BadConfig {
    BadSetting::new(key, why).into()
}

/// Requests come with the names of class and tenant: one without a name, or with that of another, gets none.
fn named(list: &str, names: &[String]) -> Result<(), BadConfig> {
    let mut seen = HashMap::new();
    for (i, name) in names.iter().enumerate() {
        let key = || format!("settings.{list}.{i}.name");
        if name.is_empty() {
            return Err(bad(&key(), "must not be empty"));
        }
        if let Some(first) = seen.insert(name, i) {
            return Err(bad(&key(), format!("is that of settings.{list}.{first} too: {name}")));
        }
    }
    Ok(())
}

/// The file's keys; others are passed over.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: Option<Seed>,
    limits: Option<Limits>,
    known: Option<Answer>,
    settings: settings::RawSettings,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Limits {
    sockets: Option<Sockets>,
}

#[derive(Deserialize)]
#[serde(try_from = "String")]
struct Seed(u64);

impl TryFrom<String> for Seed {
    type Error = String;

    fn try_from(hex: String) -> Result<Self, String> {
        u64::from_str_radix(&hex, 16).map(Seed).map_err(|_| format!("must be hexadecimal: {hex}"))
    }
}

#[derive(Deserialize)]
#[serde(try_from = "u64")]
struct Sockets(u64);

impl TryFrom<u64> for Sockets {
    type Error = String;

    fn try_from(n: u64) -> Result<Self, String> {
        let enough = (n >= SOCKETS_MIN).then_some(Sockets(n));
        enough.ok_or_else(|| format!("must be a whole number of at least {SOCKETS_MIN}: {n}"))
    }
}

/// All that a sidecar is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The seed of all randomness.
    pub seed: u64,
    /// Client connections at most.
    pub client_connections: usize,
    /// Connections to targets at most.
    pub target_connections: usize,
    /// The list as last known.
    pub known: Option<Answer>,
    /// The platform's settings.
    pub platform: DeploymentSettings,
    /// Where the console listens, if anywhere.
    pub console: Option<SocketAddr>,
    /// Where what outlives a process is kept (`$TMPDIR`), if anywhere.
    pub state: Option<PathBuf>,
}

impl Config {
    /// Reads the configuration from a file; `NODE_NAME`, `NODE_LISTEN` and `NODE_DISCOVERY` stand in for
    /// what it does not say.
    pub fn load(path: &Path) -> Result<Config, BadConfig> {
        let text = std::fs::read_to_string(path).map_err(|e| bad("(whole)", e));
        let config = text.and_then(|text| Config::parse(&text, |name| std::env::var(name).ok()));
        config.map_err(|fault| BadConfig { file: Some(path.to_owned()), ..fault })
    }

    /// Reads the configuration from JSON text.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, BadConfig> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = settings::read(&mut json)?;
        json.end().map_err(|e| bad("(whole)", e))?;
        let word = |key: &str, given: Option<String>, stand_in: &str| {
            let missing = || bad(key, format!("is missing, and so is {stand_in}"));
            given.or_else(|| variable(stand_in)).ok_or_else(missing)
        };
        let address = |key: &str, given: Option<String>, stand_in: &str| {
            let text = word(key, given, stand_in)?;
            text.parse::<SocketAddr>().map_err(|_| bad(key, format!("must be an address and port: {text}")))
        };
        let sockets = file.limits.and_then(|limits| limits.sockets).map_or(SOCKETS, |Sockets(n)| n);
        let mut platform =
            file.settings.validate().map_err(|e| bad(&format!("settings.{}", e.key), e.why))?;
        // On the socket any refusal may carry advice, whatever the simulator's clients are given.
        platform.balancer.limits.max_retry_after = platform.max_retry_after;
        named("lanes", &platform.classes)?;
        named("orgs", &platform.tenants)?;
        let mut known = file.known;
        if let Some(known) = &mut known {
            known.reset = true;
            let names = NameTable { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
            known.listed(&names).map_err(|e| bad("known", e))?;
        }
        // A flow holds a connection on either side; clients keep some more, and as many again come with no
        // flow at all.
        let console = match file.console.or_else(|| variable("NODE_CONSOLE")) {
            None => None,
            given => Some(address("console", given, "NODE_CONSOLE")?),
        };
        let callers = console.map_or(0, |_| cottonpoint_net::console::MAX_CONNECTIONS);
        let spare = usize::try_from(sockets).unwrap_or(usize::MAX).min(1 << 16) - RESERVE - callers;
        let state = variable("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from);
        Ok(Config {
            console,
            state,
            name: file.name.or_else(|| variable("NODE_NAME")).unwrap_or_else(|| "cottonpoint".to_owned()),
            listen: address("listen", file.listen, "NODE_LISTEN")?,
            discovery: address("discovery", file.discovery, "NODE_DISCOVERY")?,
            seed: file.seed.map_or_else(|| fastrand::u64(..), |Seed(seed)| seed),
            client_connections: spare * 5 / 8,
            target_connections: spare * 3 / 8,
            known,
            platform,
        })
    }
}

impl Config {
    /// Takes over from a new configuration what a running sidecar can change, and says so in a line. The seed
    /// and the list as last known matter at a start only.
    pub fn change_to(&mut self, new: Config) -> String {
        let fixed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
        ];
        let retuned = self.platform != new.platform;
        let fixed: Vec<_> = fixed.iter().filter(|(_, changed)| *changed).map(|(key, _)| *key).collect();
        self.discovery = new.discovery;
        self.platform = new.platform;
        self.client_connections = new.client_connections;
        self.target_connections = new.target_connections;
        let mut said = format!("new configuration, discovery at {}", self.discovery);
        if retuned {
            said += &format!("; new settings, classes {}", self.platform.classes.join(", "));
        }
        if !fixed.is_empty() {
            said += &format!("; changes at the next start only: {}", fixed.join(", "));
        }
        said
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let balancer = &self.platform.balancer;
        writeln!(f, "name         {}", self.name)?;
        writeln!(f, "listen       {}", self.listen)?;
        writeln!(f, "discovery    {}", self.discovery)?;
        writeln!(f, "balancer     {} of {}", balancer.balancer_index, balancer.balancer_count)?;
        writeln!(f, "classes      {}", self.platform.classes.join(", "))?;
        writeln!(f, "tenants      {}", self.platform.tenants.join(", "))?;
        writeln!(
            f,
            "connections  {} clients, {} targets",
            self.client_connections, self.target_connections
        )?;
        match &self.known {
            Some(known) => write!(f, "known        list {}", known.generation),
            None => write!(f, "known        no list"),
        }
    }
}
