//! TOML files that people write: what is wrong with one is said in a line that names the file, the line and the
//! key. Reading stops at the first fault; nothing is half taken.

use serde::de::DeserializeOwned;
use std::fmt;
use std::fs;
use std::path::Path;

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, from 1; 0 where none can be named.
    pub line: usize,
    /// The key's path; empty where none can be named.
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

/// The text of a file, which knows where each key stands.
#[derive(Clone, Debug)]
pub struct Text {
    file: String,
    text: String,
}

impl Text {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Text, Fault> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Text { file, text }),
            Err(e) => Err(Fault { file, line: 0, key: String::new(), why: e.to_string() }),
        }
    }

    /// A text that stands in no file, or was read elsewhere; `file` names it in faults.
    pub fn new(file: &str, text: &str) -> Text {
        Text { file: file.to_owned(), text: text.to_owned() }
    }

    /// The text itself.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Reads the text as a type; unknown keys are up to the type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        toml::from_str(&self.text).map_err(|e| {
            let span = e.span().unwrap_or_default();
            let key = self.key_on_line(span.start);
            self.at(self.line_of(span.start), &key, e.message())
        })
    }

    /// A fault of a key, by its path; the line is that of the key or of the nearest table around it. Parts of
    /// a path that are numbers count the tables of an array.
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
        self.at(line, key, why)
    }

    /// The text with some keys set anew, each as a path and a TOML value; what is no TOML value is a string.
    pub fn changed(&self, set: &[(String, String)]) -> Result<Text, Fault> {
        let mut document: toml_edit::DocumentMut =
            self.text.parse().map_err(|e: toml_edit::TomlError| self.at(1, "", e.message()))?;
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
                item = next.ok_or_else(|| self.at(0, key, format!("there is no {part} to set it in")))?;
            }
            item[*last] = toml_edit::Item::Value(value);
        }
        Ok(Text { file: format!("{}, as changed", self.file), text: document.to_string() })
    }

    fn at(&self, line: usize, key: &str, why: impl fmt::Display) -> Fault {
        let why = why.to_string().trim_end().replace('\n', " ");
        Fault { file: self.file.clone(), line, key: key.to_owned(), why }
    }

    fn line_of(&self, byte: usize) -> usize {
        self.text.bytes().take(byte).filter(|&b| b == b'\n').count() + 1
    }

    /// The key on the line that holds a byte: the reader of TOML names none.
    fn key_on_line(&self, byte: usize) -> String {
        let line = self.text.lines().nth(self.line_of(byte) - 1).unwrap_or_default();
        line.split_once('=').map(|(key, _)| key.trim().to_owned()).unwrap_or_default()
    }
}
