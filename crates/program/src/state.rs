//! What outlives a process of the sidecar, in the state directory (`$TMPDIR`).

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What could not be written is written again after this pause, doubled up to the longest: a full or failing disk may
/// recover, and what was taken on is still owed.
const AGAIN_FIRST: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_millis(500);

/// Writes a file whole to a name beside it, syncs it, then puts it in place: a reader sees the old text or the new, also
/// after a kill in the middle.
pub fn write_whole(file: &Path, text: &str) -> io::Result<()> {
    write_whole_if(file, text, || true).map(drop)
}

/// The same, put in place only if that still holds right before; whether it was.
pub fn write_whole_if(file: &Path, text: &str, still: impl FnOnce() -> bool) -> io::Result<bool> {
    let beside = beside(file);
    let written = std::fs::File::create(&beside).and_then(|mut new| {
        new.write_all(text.as_bytes())?;
        new.sync_all()
    });
    if let Err(why) = written {
        // A half-written one would only take room.
        let _ = std::fs::remove_file(&beside);
        return Err(why);
    }
    if !still() {
        let _ = std::fs::remove_file(&beside);
        return Ok(false);
    }
    std::fs::rename(&beside, file).map(|()| true)
}

fn beside(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.new", std::process::id()))
}

/// A text to write, and its number.
type Text = (u64, String);

/// Writes one file whole, time and again, on a thread of its own: to put a file in another's place can take the
/// disk a second, and the one thread that serves clients must not wait for it. Of texts that wait only the newest
/// is written. Dropped, it waits for nothing: the thread ends once all is written, or with the process.
pub struct Writer {
    file: PathBuf,
    texts: Sender<Text>,
    waiting: Receiver<Text>,
    /// Whether the thread runs, as it does from the first text on.
    runs: Cell<bool>,
    /// The number of the newest text, and of the newest one written.
    newest: Cell<u64>,
    written: Arc<AtomicU64>,
    /// The thread's word that it has written one more.
    one_more: (Sender<()>, Receiver<()>),
}

impl Writer {
    /// Nothing is written yet.
    pub fn new(file: PathBuf) -> Writer {
        let (texts, waiting) = async_channel::bounded(1);
        let (runs, newest, written) = Default::default();
        Writer { file, texts, waiting, runs, newest, written, one_more: async_channel::bounded(1) }
    }

    /// The file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Has the text written soon; what cannot be written is logged, and written again until it can or a newer text comes.
    pub fn write(&self, text: String) {
        let number = self.newest.get() + 1;
        self.newest.set(number);
        let _ = self.texts.force_send((number, text));
        if self.runs.replace(true) {
            return;
        }
        let (file, texts, written) = (self.file.clone(), self.waiting.clone(), self.written.clone());
        let one_more = self.one_more.0.clone();
        std::thread::spawn(move || {
            while let Ok(text) = texts.recv_blocking() {
                let number = write_until_written(&file, text, &texts);
                written.store(number, Ordering::Release);
                let _ = one_more.try_send(());
            }
        });
    }

    /// Whether a text is on its way: what the file holds until then is older than what this process knows.
    pub fn is_behind(&self) -> bool {
        self.written.load(Ordering::Acquire) != self.newest.get()
    }

    /// Waits until no text is on its way. A disk that hangs makes it wait for ever: the caller bounds it.
    pub async fn caught_up(&self) {
        while self.is_behind() {
            let _ = self.one_more.1.recv().await;
        }
    }
}

/// Writes a text, or a newer one that comes meanwhile, until it is written; its number. Ends without once nobody is left
/// to write for.
fn write_until_written(file: &Path, (mut number, mut text): Text, newer: &Receiver<Text>) -> u64 {
    let mut pause = AGAIN_FIRST;
    while let Err(why) = write_whole(file, &text) {
        tracing::warn!(file = %file.display(), %why, ?pause, "not kept for the next start yet");
        std::thread::sleep(pause);
        pause = (pause * 2).min(AGAIN_MOST);
        if let Ok((newer_number, newer_text)) = newer.try_recv() {
            (number, text) = (newer_number, newer_text);
        } else if newer.is_closed() {
            break;
        }
    }
    number
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.texts.close();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: the thread that serves clients standing still while the disk takes its time, an older text
    /// taken for what this process knows, and the newest text lost. The disk is a pipe that nobody reads at first.
    #[test]
    fn a_slow_disk_holds_up_nobody_and_the_newest_text_is_kept() {
        let dir = tempfile::tempdir().expect("a directory");
        let file = dir.path().join("kept.json");
        let pipe = beside(&file);
        let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs");
        assert!(made.success());
        let writer = Writer::new(file.clone());
        assert!(!writer.is_behind());
        for text in ["first", "second", "third"] {
            writer.write(text.to_owned());
            assert!(writer.is_behind());
        }
        // The disk comes round: whatever was being written goes through the pipe, and the rest to plain files.
        let read = std::fs::read_to_string(&pipe).expect("a text");
        async_io::block_on(writer.caught_up());
        let last = if read == "third" { read } else { std::fs::read_to_string(&file).expect("a file") };
        assert_eq!(last, "third");
    }

    /// Guards against: what the console said yes to forgotten where the disk fails for a while, and told as kept meanwhile.
    /// The disk is a folder that is not there at first.
    #[test]
    fn a_disk_that_fails_is_written_to_again_until_it_takes_the_newest_text() {
        let dir = tempfile::tempdir().expect("a directory");
        let folder = dir.path().join("later");
        let writer = Writer::new(folder.join("kept.json"));
        writer.write("first".to_owned());
        std::thread::sleep(AGAIN_FIRST * 2);
        writer.write("second".to_owned());
        assert!(writer.is_behind());
        std::fs::create_dir(&folder).expect("a folder");
        async_io::block_on(writer.caught_up());
        assert_eq!(std::fs::read_to_string(writer.file()).expect("a file"), "second");
        assert_eq!(
            std::fs::read_dir(&folder).expect("a folder").count(),
            1,
            "nothing half-written is left"
        );
    }
}
