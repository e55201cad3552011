//! What is wrong with a setting, and where: the whole path of its key.

use serde::{Deserialize, Deserializer};
use serde_json::Error;
use serde_path_to_error::{Path, Segment};
use std::fmt;

/// A key that is missing or cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSetting {
    /// The key's path, its parts joined by dots; empty for the whole.
    pub key: String,
    /// What is wrong with it, in one line.
    pub why: String,
}

impl fmt::Display for BadSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "settings: {}", self.why),
            key => write!(f, "setting {key}: {}", self.why),
        }
    }
}

impl BadSetting {
    /// A fault of a key.
    pub fn new(key: impl Into<String>, why: impl fmt::Display) -> BadSetting {
        BadSetting { key: key.into(), why: why.to_string().replace(['\n', '\r'], " ") }
    }

    pub(crate) fn missing(key: &str) -> BadSetting {
        BadSetting::new(key, "is missing")
    }

    /// A fault met on a path: serde tells of a missing field by the path of what should hold it.
    fn met(path: &Path, error: &Error) -> BadSetting {
        let mut parts: Vec<String> = path.iter().filter_map(part).collect();
        let why = error.to_string();
        if let Some((field, _)) = why.strip_prefix("missing field `").and_then(|rest| rest.split_once('`'))
        {
            parts.push(field.to_owned());
            return BadSetting::missing(&parts.join("."));
        }
        let key = parts.join(".");
        let (line, column) = (error.line(), error.column());
        match why.strip_suffix(&format!(" at line {line} column {column}")) {
            Some(why) => BadSetting::new(key, format!("{why} (line {line}, column {column})")),
            None => BadSetting::new(key, why),
        }
    }
}

fn part(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Reads a type from JSON; what it fails on is named by its whole path.
pub fn read<'de, T, D>(from: D) -> Result<T, BadSetting>
where
    T: Deserialize<'de>,
    D: Deserializer<'de, Error = Error>,
{
    serde_path_to_error::deserialize(from).map_err(|e| BadSetting::met(e.path(), e.inner()))
}
