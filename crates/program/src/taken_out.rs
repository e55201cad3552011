//! Endpoints disabled by the operator, stored in a file under `$TMPDIR` so that a new process of
//! the sidecar keeps them disabled.

use crate::state::FileWriter;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::SystemTime;

/// The file in the state directory that names the disabled endpoints.
pub const DISABLED_FILE: &str = "cottonpoint-out.json";
/// Maximum number of disabled endpoints: a command beyond it is refused, not forgotten.
pub const DISABLED_LIMIT: usize = 4096;

/// Identifies a version of the file: each one is a separate file, renamed over the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl FileVersion {
    fn of(file: &Path) -> Option<FileVersion> {
        let metadata = std::fs::metadata(file).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileVersion { inode: metadata.ino(), length: metadata.len(), modified })
    }
}

/// The names of the endpoints disabled by the operator, and where they are stored.
pub struct DisabledEndpoints {
    names: RefCell<BTreeSet<String>>,
    file: Option<FileWriter>,
    /// The version that was last read completely. Its time alone does not identify it, because the
    /// wall clock may be stepped.
    last_read: Cell<Option<FileVersion>>,
}

impl DisabledEndpoints {
    /// Reads the names, if there is a state directory and a readable file in it.
    pub fn load(state: Option<&Path>) -> DisabledEndpoints {
        let file = state.map(|dir| FileWriter::new(dir.join(DISABLED_FILE)));
        let text = file.as_ref().and_then(|f| std::fs::read_to_string(f.file()).ok());
        let names = text.map(|text| serde_json::from_str::<BTreeSet<String>>(&text)).transpose();
        let names = names.unwrap_or_else(|why| {
            tracing::error!(file = DISABLED_FILE, %why, "cannot read the disabled endpoints; none is disabled");
            None
        });
        let names = names.unwrap_or_default();
        DisabledEndpoints { names: names.into(), file, last_read: Cell::new(None) }
    }

    /// The changes that another process of the sidecar (an older or newer version beside this one)
    /// has made to the file: the names to disable and to enable. `None` if there are none.
    pub fn read_changes(&self) -> Option<(Vec<String>, Vec<String>)> {
        let writer = self.file.as_ref()?;
        if writer.has_unwritten_text() {
            return None; // The file is older than the commands that this process's console took.
        }
        // The file is read only if it was replaced since: this is called five times a second.
        let version = FileVersion::of(writer.file());
        if version.is_some() && self.last_read.get() == version {
            return None;
        }
        let text = std::fs::read_to_string(writer.file()).ok()?;
        let names: BTreeSet<String> = serde_json::from_str(&text).ok()?;
        self.last_read.set(version);
        let mut current = self.names.borrow_mut();
        if *current == names {
            return None;
        }
        let disabled = names.difference(&current).cloned().collect();
        let enabled = current.difference(&names).cloned().collect();
        *current = names;
        Some((disabled, enabled))
    }

    /// The names, in ascending order.
    pub fn names(&self) -> Vec<String> {
        self.names.borrow().iter().cloned().collect()
    }

    /// Whether no more endpoints can be disabled.
    pub fn is_full(&self) -> bool {
        self.names.borrow().len() >= DISABLED_LIMIT
    }

    /// Disables or enables an endpoint, and queues the change for writing.
    pub fn set(&self, name: &str, disable: bool) {
        let mut names = self.names.borrow_mut();
        let is_change = if disable { names.insert(name.to_owned()) } else { names.remove(name) };
        if let Some(file) = self.file.as_ref().filter(|_| is_change) {
            file.write(json!(*names).to_string());
        }
    }

    /// Waits until all changes are written. A hung disk blocks it indefinitely: the caller limits
    /// the time.
    pub async fn flush(&self) {
        if let Some(file) = &self.file {
            file.flush().await;
        }
    }
}
