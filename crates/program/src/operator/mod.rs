//! The operator's file: what the platform's configuration does not set. Without the file every
//! feature here is off or has its default.

mod fleet;

pub use fleet::FleetConfig;

use cottonpoint_file::{Fault, TomlText};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use toml_example::TomlExample;
use tracing::level_filters::LevelFilter;

/// The operator's file of cottonpoint. Keys may be left out; the values shown are the defaults.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Logging to standard error.
    #[toml_example(nesting)]
    pub log: LogConfig,
    /// Metrics of the program.
    #[toml_example(nesting)]
    pub metrics: MetricsConfig,
    /// The fleet of sidecars.
    #[toml_example(nesting)]
    pub fleet: FleetConfig,
}

/// No line is written per request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct LogConfig {
    /// The format of a line: "text" or "json".
    #[toml_example(enum, default = "text")]
    pub form: LogFormat,
    /// The least severe level that is logged: "off", "error", "warn", "info", "debug" or "trace".
    #[toml_example(default = "info")]
    pub level: String,
    /// Different levels for single modules, such as { cottonpoint_net = "debug" }.
    #[toml_example(default = {})]
    pub modules: BTreeMap<String, String>,
    /// Maximum warnings and errors per minute from one place in the code; the rest is counted.
    #[toml_example(default = 20)]
    pub warnings_per_minute: u32,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig {
            form: LogFormat::Text,
            level: "info".to_owned(),
            modules: BTreeMap::new(),
            warnings_per_minute: 20,
        }
    }
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// The format is OpenMetrics text; counters start at zero with the process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsConfig {
    /// The address that answers `GET /metrics`, such as "127.0.0.1:9100"; off if left out.
    #[toml_example(default = "127.0.0.1:9100")]
    pub listen: Option<SocketAddr>,
}

impl OperatorConfig {
    /// Reads and checks an operator's file.
    pub fn load(path: &Path) -> Result<OperatorConfig, Fault> {
        OperatorConfig::read(&TomlText::load(path)?)
    }

    /// Reads and checks the text of an operator's file.
    pub fn read(text: &TomlText) -> Result<OperatorConfig, Fault> {
        let mut operator: OperatorConfig = text.read()?;
        let level = |key: &str, level: &str| match level.parse::<LevelFilter>() {
            Ok(_) => Ok(()),
            Err(_) => Err(text.fault(key, format!("{level:?} is not a log level"))),
        };
        level("log.level", &operator.log.level)?;
        for (module, l) in &operator.log.modules {
            level(&format!("log.modules.{module}"), l)?;
        }
        if operator.log.warnings_per_minute == 0 {
            return Err(
                text.fault("log.warnings_per_minute", "must be above 0; level = \"off\" disables logging")
            );
        }
        operator.fleet.check(text)?;
        Ok(operator)
    }

    /// A commented file with every key and its default, generated from the types. Keys without a
    /// default, such as addresses, are commented out.
    pub fn example() -> String {
        let commented = |text: String, key| text.replace(&format!("\n{key} ="), &format!("\n# {key} ="));
        FleetConfig::KEYS_WITHOUT_DEFAULT.into_iter().fold(OperatorConfig::toml_example(), commented)
    }
}

impl fmt::Display for OperatorConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let form = if self.log.form == LogFormat::Json { "json" } else { "text" };
        write!(f, "log          {form}, {}", self.log.level)?;
        for (module, level) in &self.log.modules {
            write!(f, ", {module} {level}")?;
        }
        match self.metrics.listen {
            Some(listen) => write!(f, "\nmetrics      {listen}")?,
            None => write!(f, "\nmetrics      off")?,
        }
        write!(f, "\n{}", self.fleet)
    }
}
