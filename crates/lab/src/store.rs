//! Stored results: one line for each run in `lab/results/runs.jsonl`, so that versions of the code can be compared
//! later. A run is identified by the version of the code, the scenario's name and digest, the policy and the seed;
//! repeating a run replaces its line.

use crate::experiment::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// The source text of the decision module that this program was built with.
const DECISION_MODULE_SOURCES: [&str; 6] = [
    include_str!("../../decide/src/policy/mod.rs"),
    include_str!("../../decide/src/policy/levels.rs"),
    include_str!("../../decide/src/policy/limit.rs"),
    include_str!("../../decide/src/policy/targets.rs"),
    include_str!("../../decide/src/policy/attempts.rs"),
    include_str!("../../decide/src/policy/timers.rs"),
];

/// The version of the code: the package version and a digest of the decision module's source text.
pub fn version() -> String {
    format!(
        "{}-{:08x}",
        env!("CARGO_PKG_VERSION"),
        xxh3_64(DECISION_MODULE_SOURCES.concat().as_bytes()) as u32
    )
}

/// The key of a run in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// The version of the code.
    pub code: String,
    /// The scenario's name.
    pub scenario: String,
    /// The digest of the scenario's text, in hexadecimal.
    pub digest: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
}

/// A stored run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRun {
    /// The key of the run.
    #[serde(flatten)]
    pub key: RunKey,
    /// The results of the run.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// The stored runs of a folder.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    rows: BTreeMap<RunKey, Outcome>,
}

impl Store {
    /// Reads the stored runs; a folder that does not exist holds none. A line that cannot be parsed gives an error
    /// that names the file and the line.
    pub fn open(folder: &Path) -> io::Result<Store> {
        let path = folder.join("runs.jsonl");
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let mut rows = BTreeMap::new();
        for (i, line) in text.lines().enumerate() {
            let row: StoredRun = serde_json::from_str(line)
                .map_err(|e| io::Error::other(format!("{}:{}: {e}", path.display(), i + 1)))?;
            rows.insert(row.key, row.outcome);
        }
        Ok(Store { path, rows })
    }

    /// Stores runs, which replace those with the same key. The file is replaced atomically.
    pub fn keep(&mut self, rows: impl IntoIterator<Item = StoredRun>) -> io::Result<()> {
        self.rows.extend(rows.into_iter().map(|r| (r.key, r.outcome)));
        if let Some(folder) = self.path.parent() {
            fs::create_dir_all(folder)?;
        }
        let mut text = String::new();
        for row in self.rows() {
            text += &serde_json::to_string(&row)?;
            text.push('\n');
        }
        let temporary = self.path.with_extension("next");
        fs::write(&temporary, text)?;
        fs::rename(temporary, &self.path)
    }

    /// All stored runs, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = StoredRun> + '_ {
        self.rows.iter().map(|(key, outcome)| StoredRun { key: key.clone(), outcome: outcome.clone() })
    }
}
