//! Endpoints taken out by hand, kept in a file under `$TMPDIR`, so that a new process of the sidecar keeps them out.

use crate::state::Writer;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::SystemTime;

/// The file, under the state directory, that names the endpoints taken out by hand.
pub const OUT_FILE: &str = "cottonpoint-out.json";
/// Endpoints kept out at most: a call past that is refused, not forgotten.
pub const OUT_LIMIT: usize = 4096;

/// Tells one version of the file from another: each is a file of its own, put in the place of the one before.
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

/// The endpoints taken out by hand, by name, and where they are kept.
pub struct TakenOut {
    names: RefCell<BTreeSet<String>>,
    file: Option<Writer>,
    /// Which file was last read whole. Its time alone may be that of another one: the wall clock may be stepped.
    seen: Cell<Option<FileVersion>>,
}

impl TakenOut {
    /// Those that the file names, if there is a state directory and a readable file in it.
    pub fn load(state: Option<&Path>) -> TakenOut {
        let file = state.map(|dir| Writer::new(dir.join(OUT_FILE)));
        let text = file.as_ref().and_then(|f| std::fs::read_to_string(f.file()).ok());
        let names = text.map(|text| serde_json::from_str::<BTreeSet<String>>(&text)).transpose();
        let names = names.unwrap_or_else(|why| {
            tracing::error!(file = OUT_FILE, %why, "endpoints out by hand cannot be read: none is taken out");
            None
        });
        let names = names.unwrap_or_default();
        TakenOut { names: names.into(), file, seen: Cell::new(None) }
    }

    /// What the file says now, where another process of the sidecar (an older or newer version beside this
    /// one) has changed it: the names to take out and to put back. `None` if it is as last seen.
    pub fn changed(&self) -> Option<(Vec<String>, Vec<String>)> {
        let writer = self.file.as_ref()?;
        if writer.is_behind() {
            return None; // What it says is older than what the console was told here.
        }
        // Read again only when written since: this is asked five times a second.
        let version = FileVersion::of(writer.file());
        if version.is_some() && self.seen.get() == version {
            return None;
        }
        let text = std::fs::read_to_string(writer.file()).ok()?;
        let names: BTreeSet<String> = serde_json::from_str(&text).ok()?;
        self.seen.set(version);
        let mut held = self.names.borrow_mut();
        if *held == names {
            return None;
        }
        let taken_out = names.difference(&held).cloned().collect();
        let put_back = held.difference(&names).cloned().collect();
        *held = names;
        Some((taken_out, put_back))
    }

    /// The names, in order.
    pub fn names(&self) -> Vec<String> {
        self.names.borrow().iter().cloned().collect()
    }

    /// Whether no more endpoints may be taken out.
    pub fn is_full(&self) -> bool {
        self.names.borrow().len() >= OUT_LIMIT
    }

    /// Takes an endpoint out, or puts it back, and has that kept soon.
    pub fn set(&self, name: &str, out: bool) {
        let mut names = self.names.borrow_mut();
        let changed = if out { names.insert(name.to_owned()) } else { names.remove(name) };
        if let Some(file) = self.file.as_ref().filter(|_| changed) {
            file.write(json!(*names).to_string());
        }
    }

    /// Waits until the file holds what the console was told. A disk that hangs makes it wait for ever: the caller
    /// bounds it.
    pub async fn kept(&self) {
        if let Some(file) = &self.file {
            file.caught_up().await;
        }
    }
}
