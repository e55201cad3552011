//! Files in the state directory (`$TMPDIR`), which outlive a process of the sidecar, and which the
//! two processes of an upgrade share.

mod lock;
#[cfg(test)]
mod tests;

use async_channel::{Receiver, Sender};
use event_listener::Event;
use lock::DirectoryLock;
use std::cell::Cell;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Backoff between attempts to write a file, doubled after each failure up to the maximum: a full
/// or failing disk may recover, and an acknowledged change must still be stored.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Replaces a file atomically: writes and syncs a temporary file beside it, then renames that. A
/// reader sees the old text or the new one, also if the process is killed in between.
pub fn write_atomically(file: &Path, text: &str) -> io::Result<()> {
    replace_files(&[(file, text)], || true).map(drop)
}

/// Replaces files of one directory, in this order, only if `is_current` returns true right before.
/// No other process replaces a file of the directory between that and the last rename. Returns
/// whether they were replaced. After an error any number of them may have been.
///
/// The disk may take seconds for the texts; other processes are kept waiting only for the renames.
pub fn replace_files(files: &[(&Path, &str)], is_current: impl FnOnce() -> bool) -> io::Result<bool> {
    let written: io::Result<Vec<TemporaryFile>> =
        files.iter().map(|(file, text)| TemporaryFile::write(file, text)).collect();
    let written = written?;
    let _lock = written.first().map(|first| DirectoryLock::of_file(&first.target)).transpose()?;
    if !is_current() {
        return Ok(false);
    }
    written.into_iter().try_for_each(TemporaryFile::replace_target)?;
    Ok(true)
}

/// Creates a file with this text, unless there is one: then it stays as it is, whoever wrote it
/// last. Returns whether it was created.
pub fn create_atomically(file: &Path, text: &str) -> io::Result<bool> {
    let written = TemporaryFile::write(file, text)?;
    match std::fs::hard_link(&written.path, file) {
        Ok(()) => Ok(true),
        Err(why) if why.kind() == io::ErrorKind::AlreadyExists => Ok(false),
        Err(why) => Err(why),
    }
}

/// A text that is written and synced beside its file. It is removed when it is dropped.
struct TemporaryFile {
    path: PathBuf,
    target: PathBuf,
}

impl TemporaryFile {
    fn write(target: &Path, text: &str) -> io::Result<TemporaryFile> {
        // Created first, so that an incomplete file, which only uses disk space, is removed.
        let temporary = TemporaryFile { path: temporary_path(target), target: target.to_owned() };
        let mut file = File::create(&temporary.path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        Ok(temporary)
    }

    fn replace_target(self) -> io::Result<()> {
        std::fs::rename(&self.path, &self.target)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        // Once renamed it is not there any more.
        let _ = std::fs::remove_file(&self.path);
    }
}

fn temporary_path(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.new", std::process::id()))
}

/// The number of a change, in the order of [`FileWriter::write`], from 1.
pub type ChangeNumber = u64;

/// Writes changes of one file, on a thread of its own: replacing a file can take the disk a second,
/// and the single thread that serves clients must not wait for it. Of the pending changes only the
/// newest is written, so each has to contain all that is not written yet. Dropping the writer does
/// not block: the thread ends once all is written, or with the process.
pub struct FileWriter<T> {
    file: PathBuf,
    write: fn(&Path, &T) -> io::Result<()>,
    queue: Sender<(ChangeNumber, T)>,
    pending: Receiver<(ChangeNumber, T)>,
    /// Whether the thread has been started, which happens with the first change.
    thread_started: Cell<bool>,
    /// The number of the newest change, and of the newest one written.
    newest_number: Cell<ChangeNumber>,
    written_number: Arc<AtomicU64>,
    /// Notified by the thread after each write.
    write_notification: Arc<Event>,
}

impl<T: Send + 'static> FileWriter<T> {
    /// A writer of `file` by the function `write`; nothing is written until there is a change.
    pub fn new(file: PathBuf, write: fn(&Path, &T) -> io::Result<()>) -> FileWriter<T> {
        let (queue, pending) = async_channel::bounded(1);
        let (thread_started, newest_number, written_number) = Default::default();
        FileWriter {
            file,
            write,
            queue,
            pending,
            thread_started,
            newest_number,
            written_number,
            write_notification: Arc::default(),
        }
    }

    /// The path of the file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Queues a change for writing and returns its number. A failed write is logged and retried
    /// until it succeeds or a newer change arrives.
    pub fn write(&self, change: T) -> ChangeNumber {
        let number = self.newest_number.get() + 1;
        self.newest_number.set(number);
        let _ = self.queue.force_send((number, change));
        if !self.thread_started.replace(true) {
            self.start_thread();
        }
        number
    }

    fn start_thread(&self) {
        let (file, write, pending) = (self.file.clone(), self.write, self.pending.clone());
        let (written_number, write_notification) =
            (self.written_number.clone(), self.write_notification.clone());
        std::thread::spawn(move || {
            while let Ok(change) = pending.recv_blocking() {
                let number = write_with_retries(&file, write, change, &pending);
                written_number.store(number, Ordering::Release);
                write_notification.notify(usize::MAX);
            }
        });
    }

    /// Number of the newest change that is written, or that a written one contains.
    pub fn written_number(&self) -> ChangeNumber {
        self.written_number.load(Ordering::Acquire)
    }

    /// Whether a change is not written yet: until it is, the file is older than what this process
    /// knows.
    pub fn has_unwritten_change(&self) -> bool {
        self.written_number() != self.newest_number.get()
    }

    /// Waits until a change is written. A hung disk blocks it indefinitely: the caller limits the
    /// time.
    pub async fn wait_until_written(&self, number: ChangeNumber) {
        while self.written_number() < number {
            let notified = self.write_notification.listen();
            if self.written_number() < number {
                notified.await;
            }
        }
    }

    /// Waits until all changes are written, as [`FileWriter::wait_until_written`] does.
    pub async fn flush(&self) {
        self.wait_until_written(self.newest_number.get()).await;
    }
}

/// Writes a change, or a newer one that arrives meanwhile, until a write succeeds, and returns the
/// number of the change. After a failure it gives up if the writer has been dropped.
fn write_with_retries<T>(
    file: &Path,
    write: fn(&Path, &T) -> io::Result<()>,
    (mut number, mut change): (ChangeNumber, T),
    newer: &Receiver<(ChangeNumber, T)>,
) -> ChangeNumber {
    let mut backoff = MIN_BACKOFF;
    while let Err(why) = write(file, &change) {
        tracing::warn!(file = %file.display(), %why, pause = ?backoff, "cannot write the state file; retrying");
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if let Ok((newer_number, newer_change)) = newer.try_recv() {
            (number, change) = (newer_number, newer_change);
        } else if newer.is_closed() {
            break;
        }
    }
    number
}

impl<T> Drop for FileWriter<T> {
    fn drop(&mut self) {
        self.queue.close();
    }
}
