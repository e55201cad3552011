//! What a member answers to `PEERS`.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddrV4;

/// How far a view can be trusted, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// Nobody else was ever met.
    Alone,
    /// All answer.
    Whole,
    /// Some do not answer, and most do.
    Larger,
    /// Others may decide elsewhere.
    Smaller,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    Reachable,
    /// It has not answered.
    Suspected,
    /// It is held dead.
    LastKnown,
    /// It said goodbye.
    Left,
}

/// A member as another one holds it.
#[derive(Clone, Debug, Deserialize)]
pub struct Held {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its process.
    pub boot: String,
    /// How it stands.
    pub standing: Standing,
    /// For how long.
    pub since_ms: u64,
}

/// Who is there, as one member sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct Seen {
    /// How far it can be trusted.
    pub part: Part,
    /// How unwell the member itself is; 0 is well.
    pub unwell: u32,
    /// All members that it holds, itself included.
    pub members: Vec<Held>,
    /// What it has counted.
    pub counts: Map<String, Value>,
}

impl Seen {
    /// Reads the console's answer.
    pub fn read(answer: &str) -> serde_json::Result<Seen> {
        serde_json::from_str(answer.strip_suffix("\n.\n").unwrap_or(answer))
    }

    /// A member by its name.
    pub fn of(&self, name: &str) -> Option<&Held> {
        self.members.iter().find(|held| held.name == name)
    }

    /// How a member stands; `None` if it is not held.
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.of(name).map(|held| held.standing)
    }

    /// How many members stand so.
    pub fn how_many(&self, standing: Standing) -> usize {
        self.members.iter().filter(|held| held.standing == standing).count()
    }

    /// A count by its name, such as `deaths` or `refused.key`; `None` if there is none.
    pub fn count(&self, name: &str) -> Option<u64> {
        let mut words = name.split('.');
        let first = self.counts.get(words.next()?)?;
        words.try_fold(first, |value, word| value.get(word))?.as_u64()
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}, unwell {}:", self.part, self.unwell)?;
        for Held { name, incarnation, standing, since_ms, .. } in &self.members {
            write!(f, " {name}#{incarnation} {standing:?} {since_ms} ms,")?;
        }
        Ok(())
    }
}
