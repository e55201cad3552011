//! Errors in settings, which name the full path of the key.

use serde::{Deserialize, Deserializer};
use serde_json::Error;
use serde_path_to_error::{Path, Segment};
use std::fmt;

/// A key that is missing or cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSetting {
    /// Path of the key, its parts joined by dots; empty for the settings as a whole.
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
    /// An error of a key.
    pub fn new(key: impl Into<String>, why: impl fmt::Display) -> BadSetting {
        BadSetting { key: key.into(), why: why.to_string().replace(['\n', '\r'], " ") }
    }

    pub(crate) fn missing(key: &str) -> BadSetting {
        BadSetting::new(key, "is missing")
    }

    /// Converts an error of serde. For a missing field, serde reports the path of the object that
    /// should hold it, so the field is appended.
    fn from_serde(path: &Path, error: &Error) -> BadSetting {
        let mut parts: Vec<String> = path.iter().filter_map(path_part).collect();
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

fn path_part(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Deserialises a type from JSON. An error names the full path of its key.
pub fn read<'de, T, D>(from: D) -> Result<T, BadSetting>
where
    T: Deserialize<'de>,
    D: Deserializer<'de, Error = Error>,
{
    serde_path_to_error::deserialize(from).map_err(|e| BadSetting::from_serde(e.path(), e.inner()))
}
