//! The operator's file: what the platform's configuration does not say. Everything here is off, or as it was
//! without the file, unless the file says otherwise.

mod fleet;

pub use fleet::Fleet;

use cottonpoint_file::{Fault, TomlText};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use toml_example::TomlExample;
use tracing::level_filters::LevelFilter;

/// The operator's file of cottonpoint. Every key may be left out; what stands here is what holds then.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// What is written to standard error.
    #[toml_example(nesting)]
    pub log: Log,
    /// Figures for whoever watches the program.
    #[toml_example(nesting)]
    pub metrics: Metrics,
    /// Other sidecars.
    #[toml_example(nesting)]
    pub fleet: Fleet,
}

/// There is no line per request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form of a line: "text" or "json".
    #[toml_example(enum, default = "text")]
    pub form: Form,
    /// What is worth a line: "off", "error", "warn", "info", "debug" or "trace".
    #[toml_example(default = "info")]
    pub level: String,
    /// Other levels for single modules, such as { cottonpoint_net = "debug" }.
    #[toml_example(default = {})]
    pub modules: BTreeMap<String, String>,
    /// Warnings and errors of one place in the code that are written in a minute; what is left out is counted.
    #[toml_example(default = 20)]
    pub warnings_per_minute: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            form: Form::Text,
            level: "info".to_owned(),
            modules: BTreeMap::new(),
            warnings_per_minute: 20,
        }
    }
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// A line to read.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// They are in the OpenMetrics text format, counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, TomlExample)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// Where `GET /metrics` is answered, such as "127.0.0.1:9100"; nowhere if left out.
    #[toml_example(default = "127.0.0.1:9100")]
    pub listen: Option<SocketAddr>,
}

impl Operator {
    /// Reads and checks an operator's file.
    pub fn load(path: &Path) -> Result<Operator, Fault> {
        Operator::read(&TomlText::load(path)?)
    }

    /// Reads and checks an operator's text.
    pub fn read(text: &TomlText) -> Result<Operator, Fault> {
        let mut operator: Operator = text.read()?;
        let level = |key: &str, level: &str| match level.parse::<LevelFilter>() {
            Ok(_) => Ok(()),
            Err(_) => Err(text.fault(key, format!("{level:?} is no level"))),
        };
        level("log.level", &operator.log.level)?;
        for (module, l) in &operator.log.modules {
            level(&format!("log.modules.{module}"), l)?;
        }
        if operator.log.warnings_per_minute == 0 {
            return Err(
                text.fault("log.warnings_per_minute", "must be above 0; level = \"off\" silences all")
            );
        }
        operator.fleet.check(text)?;
        Ok(operator)
    }

    /// A commented file with every key, as it holds when left out, made from the types. Keys that hold nothing
    /// when left out, such as addresses, stand in it as comments.
    pub fn example() -> String {
        let commented = |text: String, key| text.replace(&format!("\n{key} ="), &format!("\n# {key} ="));
        Fleet::COMMENTED.into_iter().fold(Operator::toml_example(), commented)
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let form = if self.log.form == Form::Json { "json" } else { "text" };
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
