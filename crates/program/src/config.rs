//! The sidecar's configuration: reads and checks the platform's file and applies the defaults.

use cottonpoint_net::list::{Answer, NameTable};
use cottonpoint_settings::{self as settings, BadSetting, DeploymentSettings};
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Descriptors that are never used for client or endpoint connections: standard streams, the
/// listener, discovery, signals and the event loop, and spare ones to reject clients.
const RESERVED_DESCRIPTORS: usize = 24;
const DEFAULT_SOCKETS: u64 = 1024;
/// Memory of the sidecar in MB where the settings do not name it, and the least that they may name.
const DEFAULT_MEMORY_MB: u64 = 192;
const MIN_MEMORY_MB: u64 = 32;
/// The sockets' buffers in the kernel may take this part of the memory, in each direction, if all
/// are full; the size of each has bounds, in bytes.
const SOCKET_BUFFERS_SHARE: u64 = 4;
const SOCKET_BUFFER_BYTES: RangeInclusive<u64> = 20 << 10..=40 << 10;
/// The program does not start with fewer descriptors.
const MIN_SOCKETS: u64 = 96;

/// A fault in the configuration: the file, if it was read from one, the key, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    file: Option<PathBuf>,
    key: String,
    reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "configuration {}: {}: {}", file.display(), self.key, self.reason),
            None => write!(f, "configuration: {}: {}", self.key, self.reason),
        }
    }
}

impl From<BadSetting> for ConfigError {
    fn from(BadSetting { key, why }: BadSetting) -> ConfigError {
        ConfigError {
            file: None,
            key: if key.is_empty() { "(whole)".to_owned() } else { key },
            reason: why,
        }
    }
}

fn config_error(key: &str, reason: impl fmt::Display) -> ConfigError {
    BadSetting::new(key, reason).into()
}

/// Checks that all names are unique and not empty: requests select a class and a tenant by name, so
/// an empty or duplicate name could not be selected.
fn check_names(list: &str, names: &[String]) -> Result<(), ConfigError> {
    let mut seen = HashMap::new();
    for (i, name) in names.iter().enumerate() {
        let key = || format!("settings.{list}.{i}.name");
        if name.is_empty() {
            return Err(config_error(&key(), "must not be empty"));
        }
        if let Some(first) = seen.insert(name, i) {
            return Err(config_error(
                &key(),
                format!("duplicates the name of settings.{list}.{first}: {name}"),
            ));
        }
    }
    Ok(())
}

/// The keys of the file; unknown keys are ignored.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct ConfigFile {
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
    memory_mb: Option<MemoryMb>,
}

#[derive(Deserialize)]
#[serde(try_from = "u64")]
struct MemoryMb(u64);

impl TryFrom<u64> for MemoryMb {
    type Error = String;

    fn try_from(mb: u64) -> Result<Self, String> {
        let accepted = (mb >= MIN_MEMORY_MB).then_some(MemoryMb(mb));
        accepted.ok_or_else(|| format!("must be a whole number of at least {MIN_MEMORY_MB}: {mb}"))
    }
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
        let accepted = (n >= MIN_SOCKETS).then_some(Sockets(n));
        accepted.ok_or_else(|| format!("must be a whole number of at least {MIN_SOCKETS}: {n}"))
    }
}

/// The size of each of a socket's two buffers in the kernel, in bytes.
fn socket_buffer(memory_mb: u64, sockets: u64) -> usize {
    let share = memory_mb.saturating_mul(1 << 20) / (SOCKET_BUFFERS_SHARE * sockets);
    let bytes = share.clamp(*SOCKET_BUFFER_BYTES.start(), *SOCKET_BUFFER_BYTES.end());
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// The configuration that a sidecar starts with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The sidecar's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Memory of the sidecar in MB, for all of its processes together.
    pub memory_mb: usize,
    /// The size of each of a socket's two buffers in the kernel, in bytes.
    pub socket_buffer: usize,
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to endpoints.
    pub endpoint_connections: usize,
    /// The last known endpoint list, if any.
    pub known: Option<Answer>,
    /// The platform's settings.
    pub platform: DeploymentSettings,
    /// The console's address; `None` if the console is off.
    pub console: Option<SocketAddr>,
    /// The directory of state that outlives a process (`$TMPDIR`), if any.
    pub state_dir: Option<PathBuf>,
}

impl Config {
    /// Reads the configuration from a file. The environment variables `NODE_NAME`, `NODE_LISTEN`,
    /// `NODE_DISCOVERY` and `NODE_CONSOLE` supply the keys that it leaves out.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| config_error("(whole)", e));
        let config = text.and_then(|text| Config::parse(&text, |name| std::env::var(name).ok()));
        config.map_err(|error| ConfigError { file: Some(path.to_owned()), ..error })
    }

    /// Reads the configuration from JSON text; `variable` looks up environment variables.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: ConfigFile = settings::read(&mut json)?;
        json.end().map_err(|e| config_error("(whole)", e))?;
        let text_value = |key: &str, given: Option<String>, variable_name: &str| {
            let missing = || config_error(key, format!("is missing, and {variable_name} is not set"));
            given.or_else(|| variable(variable_name)).ok_or_else(missing)
        };
        let address = |key: &str, given: Option<String>, variable_name: &str| {
            let text = text_value(key, given, variable_name)?;
            text.parse::<SocketAddr>()
                .map_err(|_| config_error(key, format!("must be an address and port: {text}")))
        };
        let (sockets, memory_mb) = match file.limits {
            Some(Limits { sockets, memory_mb }) => (sockets, memory_mb),
            None => (None, None),
        };
        let sockets = sockets.map_or(DEFAULT_SOCKETS, |Sockets(n)| n);
        let memory_mb = memory_mb.map_or(DEFAULT_MEMORY_MB, |MemoryMb(mb)| mb);
        let mut platform =
            file.settings.validate().map_err(|e| config_error(&format!("settings.{}", e.key), e.why))?;
        // On sockets any refusal may carry a Retry-After, whatever the simulator gives its clients.
        platform.balancer.limits.max_retry_after = platform.max_retry_after;
        check_names("lanes", &platform.classes)?;
        check_names("orgs", &platform.tenants)?;
        let mut known = file.known;
        if let Some(known) = &mut known {
            known.reset = true;
            if let Some(faulty) = known.entries(&NameTable::default()).faulty.first() {
                return Err(config_error("known", faulty));
            }
        }
        // A request in progress holds a connection on each side. Clients keep some more open, and
        // as many again are opened without a request.
        let console = match file.console.or_else(|| variable("NODE_CONSOLE")) {
            None => None,
            given => Some(address("console", given, "NODE_CONSOLE")?),
        };
        let console_connections = console.map_or(0, |_| cottonpoint_net::console::MAX_CONNECTIONS);
        let available = usize::try_from(sockets).unwrap_or(usize::MAX).min(1 << 16)
            - RESERVED_DESCRIPTORS
            - console_connections;
        let state_dir = variable("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from);
        Ok(Config {
            console,
            state_dir,
            name: file.name.or_else(|| variable("NODE_NAME")).unwrap_or_else(|| "cottonpoint".to_owned()),
            listen: address("listen", file.listen, "NODE_LISTEN")?,
            discovery: address("discovery", file.discovery, "NODE_DISCOVERY")?,
            seed: file.seed.map_or_else(|| fastrand::u64(..), |Seed(seed)| seed),
            memory_mb: usize::try_from(memory_mb).unwrap_or(usize::MAX),
            socket_buffer: socket_buffer(memory_mb, sockets),
            client_connections: available * 5 / 8,
            endpoint_connections: available * 3 / 8,
            known,
            platform,
        })
    }
}

impl Config {
    /// Applies what a running sidecar can change to another configuration, and returns a line for
    /// the log. The seed and the last known list matter at a start only.
    pub fn apply(&mut self, new: Config) -> String {
        let restart_only = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
        ];
        let settings_changed = self.platform != new.platform;
        let restart_only: Vec<_> =
            restart_only.iter().filter(|(_, changed)| *changed).map(|(key, _)| *key).collect();
        self.discovery = new.discovery;
        self.platform = new.platform;
        self.memory_mb = new.memory_mb;
        self.socket_buffer = new.socket_buffer;
        self.client_connections = new.client_connections;
        self.endpoint_connections = new.endpoint_connections;
        let mut summary = format!("configuration reloaded; discovery at {}", self.discovery);
        if settings_changed {
            summary += &format!("; new settings, classes {}", self.platform.classes.join(", "));
        }
        if !restart_only.is_empty() {
            summary += &format!("; changed only by a restart: {}", restart_only.join(", "));
        }
        summary
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
            self.client_connections, self.endpoint_connections
        )?;
        match &self.known {
            Some(known) => write!(f, "known        list {}", known.generation),
            None => write!(f, "known        no list"),
        }
    }
}
