//! Lets processes of the sidecar that follow one another on the same clients' address know of each
//! other, by a file in the state directory: each announces itself once it listens, so that an older
//! one, when it has to stop, knows whether a newer one takes its clients (an upgrade) or none does
//! (a restart).

use crate::state::{create_atomically, replace_files};
use std::io;
use std::path::{Path, PathBuf};

/// The file with the ID of the newest process.
#[derive(Clone, Debug)]
pub struct PidFile {
    file: PathBuf,
    /// The content of the file when this process started.
    initial_content: Option<String>,
}

impl PidFile {
    /// The name of the file that holds the process ID of the newest process.
    pub const FILE_NAME: &'static str = "cottonpoint-newest.pid";

    /// Uses the file in the state directory `state_dir`.
    pub fn new(state_dir: &Path) -> PidFile {
        let file = state_dir.join(Self::FILE_NAME);
        let initial_content = std::fs::read_to_string(&file).ok();
        PidFile { file, initial_content }
    }

    /// Makes this process the newest one, unless a newer one has announced itself: the write may be
    /// delayed by a slow disk, of this process or of an older one.
    pub fn announce(&self) -> io::Result<()> {
        let own = std::process::id().to_string();
        loop {
            let current = std::fs::read_to_string(&self.file).ok();
            if !self.may_replace(current.as_deref()) {
                return Ok(());
            }
            let announced = match &current {
                None => create_atomically(&self.file, &own)?,
                Some(_) => replace_files(&[(&self.file, &own)], || {
                    std::fs::read_to_string(&self.file).ok() == current
                })?,
            };
            if announced {
                return Ok(());
            }
        }
    }

    /// Whether the process that the file names is older than this one. That is so for the one that
    /// was there at the start. Any other is newer, unless it is known to have started earlier.
    fn may_replace(&self, content: Option<&str>) -> bool {
        if content == self.initial_content.as_deref() {
            return true;
        }
        let announced = content.and_then(parse_pid).and_then(RunningProcess::find);
        let own = RunningProcess::find(std::process::id());
        own.zip(announced).is_some_and(|(own, announced)| announced.is_older_than(&own))
    }

    /// The process that the file names, if it is another one.
    fn other_pid(&self) -> Option<u32> {
        let newest = std::fs::read_to_string(&self.file).ok();
        newest.as_deref().and_then(parse_pid).filter(|pid| *pid != std::process::id())
    }

    /// Whether another process of the sidecar has announced itself and still runs.
    pub fn is_another_running(&self) -> bool {
        self.other_pid().is_some_and(|pid| proc_directory(pid).exists())
    }

    /// Whether a newer process has announced itself.
    pub fn is_superseded(&self) -> bool {
        self.other_pid().is_some()
    }
}

fn parse_pid(content: &str) -> Option<u32> {
    content.trim().parse().ok()
}

fn proc_directory(pid: u32) -> PathBuf {
    Path::new("/proc").join(pid.to_string())
}

/// A process, as the system lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RunningProcess {
    pid: u32,
    /// The name of its program, which tells a process of the sidecar from one that has its ID now.
    program: String,
    /// When it started, in the system's clock ticks.
    started_at: u64,
}

impl RunningProcess {
    /// Field of `/proc/PID/stat` that holds the start time, counted from the one behind the program's
    /// name (proc(5): field 22).
    const START_TIME_FIELD: usize = 19;

    fn find(pid: u32) -> Option<RunningProcess> {
        let stat = std::fs::read_to_string(proc_directory(pid).join("stat")).ok()?;
        // The name stands in parentheses and may contain any character.
        let (head, fields) = stat.rsplit_once(") ")?;
        let (_, program) = head.split_once('(')?;
        let started_at = fields.split_ascii_whitespace().nth(Self::START_TIME_FIELD)?.parse().ok()?;
        Some(RunningProcess { pid, program: program.to_owned(), started_at })
    }

    /// Whether both run the same program and this one started first. Process IDs decide between two
    /// that started within one clock tick.
    fn is_older_than(&self, other: &RunningProcess) -> bool {
        self.program == other.program && (self.started_at, self.pid) < (other.started_at, other.pid)
    }
}
