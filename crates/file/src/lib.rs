//! Reads hand-written TOML files. An error names the file, the line and the key. Reading stops at
//! the first error; nothing is applied in part.

use serde::de::DeserializeOwned;
use std::fmt;
use std::fs;
use std::path::Path;

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 if unknown.
    pub line: usize,
    /// Path of the key; empty if unknown.
    pub key: String,
    /// What is wrong, in one line.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.why)
    }
}

impl std::error::Error for Fault {}

/// The text of a TOML file, used to locate keys in error messages.
#[derive(Clone, Debug)]
pub struct TomlText {
    file: String,
    text: String,
}

impl TomlText {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<TomlText, Fault> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(TomlText { file, text }),
            Err(e) => Err(Fault { file, line: 0, key: String::new(), why: e.to_string() }),
        }
    }

    /// Wraps a text that is not read from a file, or was read elsewhere; `file` names it in errors.
    pub fn new(file: &str, text: &str) -> TomlText {
        TomlText { file: file.to_owned(), text: text.to_owned() }
    }

    /// The text itself.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Deserialises the text; whether unknown keys are allowed is up to the type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        toml::from_str(&self.text).map_err(|e| {
            let span = e.span().unwrap_or_default();
            let key = self.key_on_line(span.start);
            self.fault_at(self.line_of(span.start), &key, e.message())
        })
    }

    /// An error about the key at path `key`. Its line is that of the key, or of the nearest
    /// enclosing table that exists. Path parts that are numbers index an array of tables.
    pub fn fault(&self, key: &str, why: impl fmt::Display) -> Fault {
        let line = toml_edit::Document::parse(self.text.as_str()).map_or(1, |document| {
            let mut item = document.as_item();
            let mut at = None;
            for part in key.split('.') {
                let next = match part.parse::<usize>() {
                    Ok(i) => item.get(i),
                    Err(_) => item.get(part),
                };
                let Some(next) = next else { break };
                item = next;
                at = item.span().or(at);
            }
            at.map_or(1, |span| self.line_of(span.start))
        });
        self.fault_at(line, key, why)
    }

    /// A copy of the text with some keys set, each given as a path and a TOML value; a value that
    /// is not valid TOML is taken as a string.
    pub fn with_overrides(&self, set: &[(String, String)]) -> Result<TomlText, Fault> {
        let mut document: toml_edit::DocumentMut =
            self.text.parse().map_err(|e: toml_edit::TomlError| self.fault_at(1, "", e.message()))?;
        for (key, value) in set {
            let value: toml_edit::Value =
                value.parse().unwrap_or_else(|_: toml_edit::TomlError| value.as_str().into());
            let mut item = document.as_item_mut();
            let parts: Vec<&str> = key.split('.').collect();
            let Some((last, path)) = parts.split_last() else { continue };
            for part in path {
                let next = match part.parse::<usize>() {
                    Ok(i) => item.get_mut(i),
                    Err(_) => item.get_mut(*part),
                };
                item = next.ok_or_else(|| {
                    self.fault_at(0, key, format!("there is no table {part} that could hold it"))
                })?;
            }
            item[*last] = toml_edit::Item::Value(value);
        }
        Ok(TomlText { file: format!("{}, as changed", self.file), text: document.to_string() })
    }

    fn fault_at(&self, line: usize, key: &str, why: impl fmt::Display) -> Fault {
        let why = why.to_string().trim_end().replace('\n', " ");
        Fault { file: self.file.clone(), line, key: key.to_owned(), why }
    }

    fn line_of(&self, byte: usize) -> usize {
        self.text.bytes().take(byte).filter(|&b| b == b'\n').count() + 1
    }

    /// The key on the line that contains a byte offset: errors of the TOML parser do not name it.
    fn key_on_line(&self, byte: usize) -> String {
        let line = self.text.lines().nth(self.line_of(byte) - 1).unwrap_or_default();
        line.split_once('=').map(|(key, _)| key.trim().to_owned()).unwrap_or_default()
    }
}
