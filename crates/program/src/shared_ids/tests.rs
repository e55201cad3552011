//! Tests of the file of ids.

use super::*;

fn hash(id: u64) -> u64 {
    id.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Guards against an id that the other process does not find, and against a file that grows.
#[test]
fn ids_are_found_by_another_process_in_a_file_of_fixed_size() {
    let folder = tempfile::tempdir().expect("a directory");
    let files = [(); 2].map(|()| IdFile::open(folder.path()).expect("a file"));
    for id in 1..=40_000_u64 {
        files[(id % 2) as usize].insert(hash(id));
        assert!(files[((id + 1) % 2) as usize].contains(hash(id)), "{id}");
    }
    assert!(!files[0].contains(7));
    let length = std::fs::metadata(folder.path().join(IdFile::FILE_NAME)).expect("a file").len();
    assert_eq!(length, 128 << 10);
}

/// Guards against losing new ids while old ones stay.
#[test]
fn newest_ids_stay() {
    let folder = tempfile::tempdir().expect("a directory");
    let file = IdFile::open(folder.path()).expect("a file");
    (1..=40_000_u64).for_each(|id| file.insert(hash(id)));
    assert!((39_001..=40_000_u64).all(|id| file.contains(hash(id))));
    assert!((1..=1000_u64).all(|id| !file.contains(hash(id))));
}

/// Guards against a file that another process has cut short: it knows no id, and nothing panics.
#[test]
fn truncated_file_knows_no_id() {
    let folder = tempfile::tempdir().expect("a directory");
    let file = IdFile::open(folder.path()).expect("a file");
    file.insert(5);
    file.file.set_len(3).expect("a file");
    assert!(!file.contains(5));
    file.insert(5);
    assert!(file.contains(5));
}
