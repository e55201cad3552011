//! The ids of requests that may have run, shared by the processes of the sidecar through a file of
//! fixed size in the state directory. An id is found at once by the other process of an upgrade.
//!
//! The file is a hash table: buckets of eight ids, newest first. Nothing is synced: the file matters
//! while two processes run, which share what the system holds of it. Where reads or writes fail, each
//! process still knows the ids of its own.

use cottonpoint_net::clients::SharedIds;
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of ids in a bucket.
const BUCKET_IDS: usize = 8;
const ID_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// Number of buckets: 16,384 ids, 128 KiB.
const BUCKETS: u64 = 2048;

/// The file of ids.
pub struct IdFile {
    file: File,
    /// Whether the last access failed; logged when it changes.
    failing: Cell<bool>,
}

impl IdFile {
    /// Name of the file in the state directory.
    pub const FILE_NAME: &'static str = "cottonpoint-ids.bin";

    /// Opens the file in the state directory, and creates it if it is missing.
    pub fn open(state_dir: &Path) -> io::Result<IdFile> {
        let mut options = OpenOptions::new();
        let file = options
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(state_dir.join(Self::FILE_NAME))?;
        file.set_len(BUCKETS * BUCKET_BYTES as u64)?;
        Ok(IdFile { file, failing: Cell::new(false) })
    }

    fn bucket_offset(id: u64) -> u64 {
        id % BUCKETS * BUCKET_BYTES as u64
    }

    fn read_bucket(&self, id: u64) -> io::Result<[u64; BUCKET_IDS]> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, Self::bucket_offset(id))?;
        let mut ids = [0; BUCKET_IDS];
        for (id, bytes) in ids.iter_mut().zip(bytes.chunks_exact(ID_BYTES)) {
            *id = bytes.iter().rev().fold(0, |id, byte| id << 8 | u64::from(*byte));
        }
        Ok(ids)
    }

    /// Puts an id at the front of its bucket; the oldest one is dropped.
    fn push(&self, id: u64) -> io::Result<()> {
        let mut ids = self.read_bucket(id)?;
        if ids.contains(&id) {
            return Ok(());
        }
        ids.rotate_right(1);
        ids[0] = id;
        let mut bytes = [0; BUCKET_BYTES];
        for (bytes, id) in bytes.chunks_exact_mut(ID_BYTES).zip(ids) {
            bytes.copy_from_slice(&id.to_le_bytes());
        }
        self.file.write_all_at(&bytes, Self::bucket_offset(id))
    }

    fn note_result<T>(&self, result: io::Result<T>) -> Option<T> {
        let failed = result.is_err();
        if self.failing.replace(failed) != failed
            && let Err(why) = &result
        {
            tracing::warn!(%why, "ids that may have run are not shared with other processes");
        }
        result.ok()
    }
}

impl SharedIds for IdFile {
    fn insert(&self, id: u64) {
        let _ = self.note_result(self.push(id));
    }

    fn contains(&self, id: u64) -> bool {
        self.note_result(self.read_bucket(id)).is_some_and(|ids| ids.contains(&id))
    }
}

#[cfg(test)]
mod tests;
