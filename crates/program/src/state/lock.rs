//! A lock of the state directory, held by one process of the sidecar at a time.

use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How long the lock is waited for: another process holds it for a few renames, unless it is
/// stopped or its disk hangs.
const LOCK_TIMEOUT: Duration = Duration::from_millis(1000);
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The lock, until it is dropped or the process ends. It is that of the directory itself, since the
/// files in it are replaced.
pub(super) struct DirectoryLock {
    _directory: Option<File>,
}

impl DirectoryLock {
    /// Locks the directory of a file. Fails with [`io::ErrorKind::WouldBlock`] if another process
    /// holds the lock for too long. Where the file system has no locks, the files are not locked.
    pub(super) fn of_file(file: &Path) -> io::Result<DirectoryLock> {
        let directory = File::open(file.parent().unwrap_or(Path::new(".")))?;
        let deadline = Instant::now() + LOCK_TIMEOUT;
        loop {
            match flock(&directory, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => return Ok(DirectoryLock { _directory: Some(directory) }),
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) if Instant::now() < deadline => thread::sleep(RETRY_INTERVAL),
                Err(why) if is_unsupported(why) => {
                    tracing::debug!(%why, "the state directory cannot be locked");
                    return Ok(DirectoryLock { _directory: None });
                }
                Err(why) => return Err(why.into()),
            }
        }
    }
}

fn is_unsupported(why: Errno) -> bool {
    [Errno::NOSYS, Errno::OPNOTSUPP, Errno::NOLCK, Errno::INVAL, Errno::BADF].contains(&why)
}
