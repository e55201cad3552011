//! Files in the state directory (`$TMPDIR`), which outlive a process of the sidecar.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
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
    write_atomically_if(file, text, || true).map(drop)
}

/// The same, but the file is replaced only if `is_current` returns true right before. Returns
/// whether it was replaced.
pub fn write_atomically_if(file: &Path, text: &str, is_current: impl FnOnce() -> bool) -> io::Result<bool> {
    let temporary = temporary_path(file);
    let result = std::fs::File::create(&temporary).and_then(|mut new| {
        new.write_all(text.as_bytes())?;
        new.sync_all()
    });
    if let Err(why) = result {
        // An incomplete file would only use disk space.
        let _ = std::fs::remove_file(&temporary);
        return Err(why);
    }
    if !is_current() {
        let _ = std::fs::remove_file(&temporary);
        return Ok(false);
    }
    std::fs::rename(&temporary, file).map(|()| true)
}

fn temporary_path(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.new", std::process::id()))
}

/// The number of a text to write, and the text.
type NumberedText = (u64, String);

/// Writes one file atomically and repeatedly, on a thread of its own: replacing a file can take the
/// disk a second, and the single thread that serves clients must not wait for it. Of the pending
/// texts only the newest is written. Dropping the writer does not block: the thread ends once all
/// is written, or with the process.
pub struct FileWriter {
    file: PathBuf,
    queue: Sender<NumberedText>,
    pending: Receiver<NumberedText>,
    /// Whether the thread has been started, which happens with the first text.
    thread_started: Cell<bool>,
    /// The number of the newest text, and of the newest one written.
    newest_number: Cell<u64>,
    written_number: Arc<AtomicU64>,
    /// Notified by the thread after each write.
    write_notification: (Sender<()>, Receiver<()>),
}

impl FileWriter {
    /// A writer of `file`; nothing is written until there is a text.
    pub fn new(file: PathBuf) -> FileWriter {
        let (queue, pending) = async_channel::bounded(1);
        let (thread_started, newest_number, written_number) = Default::default();
        FileWriter {
            file,
            queue,
            pending,
            thread_started,
            newest_number,
            written_number,
            write_notification: async_channel::bounded(1),
        }
    }

    /// The path of the file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Queues the text for writing. A failed write is logged and retried until it succeeds or a
    /// newer text arrives.
    pub fn write(&self, text: String) {
        let number = self.newest_number.get() + 1;
        self.newest_number.set(number);
        let _ = self.queue.force_send((number, text));
        if self.thread_started.replace(true) {
            return;
        }
        let (file, pending, written_number) =
            (self.file.clone(), self.pending.clone(), self.written_number.clone());
        let write_notification = self.write_notification.0.clone();
        std::thread::spawn(move || {
            while let Ok(text) = pending.recv_blocking() {
                let number = write_with_retries(&file, text, &pending);
                written_number.store(number, Ordering::Release);
                let _ = write_notification.try_send(());
            }
        });
    }

    /// Whether a text is not written yet: until it is, the file is older than what this process
    /// knows.
    pub fn has_unwritten_text(&self) -> bool {
        self.written_number.load(Ordering::Acquire) != self.newest_number.get()
    }

    /// Waits until all texts are written. A hung disk blocks it indefinitely: the caller limits the
    /// time.
    pub async fn flush(&self) {
        while self.has_unwritten_text() {
            let _ = self.write_notification.1.recv().await;
        }
    }
}

/// Writes a text, or a newer one that arrives meanwhile, until a write succeeds, and returns the
/// number of the text. After a failure it gives up if the writer has been dropped.
fn write_with_retries(
    file: &Path,
    (mut number, mut text): NumberedText,
    newer: &Receiver<NumberedText>,
) -> u64 {
    let mut backoff = MIN_BACKOFF;
    while let Err(why) = write_atomically(file, &text) {
        tracing::warn!(file = %file.display(), %why, pause = ?backoff, "cannot write the state file; retrying");
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if let Ok((newer_number, newer_text)) = newer.try_recv() {
            (number, text) = (newer_number, newer_text);
        } else if newer.is_closed() {
            break;
        }
    }
    number
}

impl Drop for FileWriter {
    fn drop(&mut self) {
        self.queue.close();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a slow disk that blocks the thread that serves clients, an older text taken
    /// for what this process knows, and the loss of the newest text. The disk is a pipe without a
    /// reader at first.
    #[test]
    fn slow_disk_blocks_nobody_and_newest_text_is_written() {
        let dir = tempfile::tempdir().expect("a directory");
        let file = dir.path().join("kept.json");
        let pipe = temporary_path(&file);
        let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs");
        assert!(made.success());
        let writer = FileWriter::new(file.clone());
        assert!(!writer.has_unwritten_text());
        for text in ["first", "second", "third"] {
            writer.write(text.to_owned());
            assert!(writer.has_unwritten_text());
        }
        // The disk recovers: the write in progress goes through the pipe, later ones to regular
        // files.
        let read = std::fs::read_to_string(&pipe).expect("a text");
        async_io::block_on(writer.flush());
        let last = if read == "third" { read } else { std::fs::read_to_string(&file).expect("a file") };
        assert_eq!(last, "third");
    }

    /// Guards against changes that the console acknowledged and that are lost when the disk fails
    /// for a while, or reported as stored meanwhile. The disk is a directory that does not exist at
    /// first.
    #[test]
    fn failed_write_is_retried_until_newest_text_is_written() {
        let dir = tempfile::tempdir().expect("a directory");
        let directory = dir.path().join("later");
        let writer = FileWriter::new(directory.join("kept.json"));
        writer.write("first".to_owned());
        std::thread::sleep(MIN_BACKOFF * 2);
        writer.write("second".to_owned());
        assert!(writer.has_unwritten_text());
        std::fs::create_dir(&directory).expect("a folder");
        async_io::block_on(writer.flush());
        assert_eq!(std::fs::read_to_string(writer.file()).expect("a file"), "second");
        assert_eq!(
            std::fs::read_dir(&directory).expect("a folder").count(),
            1,
            "no temporary file is left"
        );
    }
}
