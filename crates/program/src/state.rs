//! What outlives a process of the sidecar, in the state directory (`$TMPDIR`).

use std::io;
use std::path::Path;

/// Writes a file whole to a name beside it, then puts it in place: a reader sees the old text or the new.
pub fn write_whole(file: &Path, text: &str) -> io::Result<()> {
    let beside = file.with_extension(format!("{}.new", std::process::id()));
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, file)
}
