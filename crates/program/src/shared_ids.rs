//! The ids of requests that may have run, shared by the processes of the sidecar through a file of
//! fixed size in the state directory. An id is found at once by the other process of an upgrade.
//!
//! The file is a hash table: buckets of eight ids, which are replaced in turn. Nothing is synced: the file matters
//! while two processes run, which share what the system holds of it. Where reads or writes fail, each
//! process still knows the ids of its own.

use cottonpoint_net::clients::SharedIds;
use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of ids in a bucket.
const BUCKET_IDS: usize = 8;
const ID_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// Number of buckets: 16,384 ids, 128 KiB.
const BUCKETS: usize = 2048;

/// The file of ids.
pub struct IdFile {
    file: File,
    /// For each bucket, the place of the next id that this process adds.
    next_places: RefCell<Vec<u8>>,
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
        file.set_len((BUCKETS * BUCKET_BYTES) as u64)?;
        Ok(IdFile { file, next_places: RefCell::new(vec![0; BUCKETS]), failing: Cell::new(false) })
    }

    fn bucket(id: u64) -> usize {
        (id % BUCKETS as u64) as usize
    }

    fn read_bucket(&self, id: u64) -> io::Result<[u64; BUCKET_IDS]> {
        let (mut bytes, mut read) = ([0; BUCKET_BYTES], 0);
        // A file that is too short holds nothing behind its end.
        while read < BUCKET_BYTES {
            match self.file.read_at(&mut bytes[read..], (Self::bucket(id) * BUCKET_BYTES + read) as u64) {
                Ok(0) => break,
                Ok(n) => read += n,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let mut ids = [0; BUCKET_IDS];
        for (id, bytes) in ids.iter_mut().zip(bytes.chunks_exact(ID_BYTES)) {
            *id = bytes.try_into().map_or(0, u64::from_le_bytes);
        }
        Ok(ids)
    }

    /// Writes an id into its bucket, in place of the one that this process added there longest ago.
    fn write(&self, id: u64) -> io::Result<()> {
        let bucket = Self::bucket(id);
        let place = {
            let next = &mut self.next_places.borrow_mut()[bucket];
            let place = usize::from(*next) % BUCKET_IDS;
            *next = next.wrapping_add(1);
            place
        };
        self.file.write_all_at(&id.to_le_bytes(), (bucket * BUCKET_BYTES + place * ID_BYTES) as u64)
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
        let _ = self.note_result(self.write(id));
    }

    fn contains(&self, id: u64) -> bool {
        self.note_result(self.read_bucket(id)).is_some_and(|ids| ids.contains(&id))
    }
}

#[cfg(test)]
mod tests;
