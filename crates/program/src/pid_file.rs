//! Detects whether an older or a newer process of the sidecar runs beside this one.

use std::io;
use std::path::Path;

/// Lets processes of the sidecar that follow one another on the same clients' address know of each
/// other, by a file in the state directory: each announces itself once it listens, so that an older
/// one, when it has to stop, knows whether a newer one takes its clients (an upgrade) or none does
/// (a restart).
#[derive(Clone, Debug)]
pub struct PidFile {
    file: std::path::PathBuf,
    /// The content of the file when this process started.
    initial_content: Option<String>,
}

impl PidFile {
    /// The name of the file that holds the process ID of the newest process.
    pub const FILE_NAME: &'static str = "cottonpoint-newest.pid";

    /// Uses the file in the state directory `state_dir`.
    pub fn new(state_dir: &std::path::Path) -> PidFile {
        let file = state_dir.join(Self::FILE_NAME);
        let initial_content = std::fs::read_to_string(&file).ok();
        PidFile { file, initial_content }
    }

    /// Makes this process the newest one, unless another one has announced itself since this one
    /// started: the write may be delayed by a slow disk.
    pub fn announce(&self) -> io::Result<()> {
        let unchanged = || std::fs::read_to_string(&self.file).ok() == self.initial_content;
        crate::state::replace_files(&[(&self.file, &std::process::id().to_string())], unchanged).map(drop)
    }

    /// Whether another process of the sidecar has announced itself and still runs.
    pub fn is_another_running(&self) -> bool {
        let newest = std::fs::read_to_string(&self.file).ok();
        let pid = newest.and_then(|pid| pid.trim().parse::<u32>().ok());
        pid.is_some_and(|pid| pid != std::process::id() && Path::new(&format!("/proc/{pid}")).exists())
    }

    /// Whether a newer process has announced itself.
    pub fn is_superseded(&self) -> bool {
        let newest = std::fs::read_to_string(&self.file).ok();
        newest.and_then(|pid| pid.trim().parse::<u32>().ok()).is_some_and(|pid| pid != std::process::id())
    }
}
