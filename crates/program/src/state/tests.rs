//! Files on slow, failing and shared disks.

use super::*;
use std::sync::mpsc::channel;

fn write_text(file: &Path, text: &&'static str) -> io::Result<()> {
    write_atomically(file, text)
}

/// Guards against a change of another process that is lost between the look at a file and the
/// rename (review case 2): the other one's waits, and comes after this one's.
#[test]
fn no_other_process_replaces_a_file_between_look_and_rename() {
    let dir = tempfile::tempdir().expect("a directory");
    let (file, other) = (dir.path().join("shared.json"), dir.path().join("shared"));
    write_atomically(&file, "before").expect("written");
    let ((start, started), (end, ended)) = (channel(), channel());
    let shared = file.clone();
    // It has another temporary file, as another process has.
    let thread = std::thread::spawn(move || {
        started.recv().expect("the test is running");
        let _lock = DirectoryLock::of_file(&shared).expect("locked in the end");
        let seen = std::fs::read_to_string(&shared).expect("a file");
        std::fs::write(&other, format!("{seen}, after")).expect("written");
        std::fs::rename(&other, &shared).expect("renamed");
        end.send(()).expect("the test is running");
    });
    let is_current = || {
        start.send(()).expect("the thread waits");
        assert!(ended.recv_timeout(Duration::from_millis(100)).is_err(), "the other process waits");
        true
    };
    assert!(replace_files(&[(&file, "first")], is_current).expect("replaced"));
    thread.join().expect("it ends");
    assert_eq!(std::fs::read_to_string(&file).expect("a file"), "first, after");
}

/// Guards against replacing what another process has written without a lock since the file was seen
/// to be missing.
#[test]
fn file_that_is_there_is_not_created_anew() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("newest.pid");
    assert!(create_atomically(&file, "first").expect("created"));
    assert!(!create_atomically(&file, "second").expect("there is one"));
    assert_eq!(std::fs::read_to_string(&file).expect("a file"), "first");
    assert_eq!(std::fs::read_dir(dir.path()).expect("a folder").count(), 1, "no temporary file is left");
}

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
    let writer = FileWriter::new(file.clone(), write_text);
    assert!(!writer.has_unwritten_change());
    for text in ["first", "second", "third"] {
        writer.write(text);
        assert!(writer.has_unwritten_change());
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
    let writer = FileWriter::new(directory.join("kept.json"), write_text);
    writer.write("first");
    std::thread::sleep(MIN_BACKOFF * 2);
    writer.write("second");
    assert!(writer.has_unwritten_change());
    std::fs::create_dir(&directory).expect("a folder");
    async_io::block_on(writer.flush());
    assert_eq!(std::fs::read_to_string(writer.file()).expect("a file"), "second");
    assert_eq!(std::fs::read_dir(&directory).expect("a folder").count(), 1, "no temporary file is left");
}
