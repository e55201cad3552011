//! The ids of requests, shared by the processes of the sidecar through a file of fixed size in the
//! state directory. An id is found at once by the other process of an upgrade.
//!
//! The file is a hash table of the ids that may have run: buckets of eight ids, which are replaced in turn. Nothing is
//! synced: the file matters while two processes run, which share what the system holds of it. The id of an open request is
//! claimed by a lock of the system on one byte of the file, which lies at the id's hash, mostly behind the file's end: it
//! needs no room on the disk, and ends with the process that holds it. Where the system fails, each process still knows
//! the ids of its own.

use cottonpoint_net::clients::SharedIds;
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc::{self, c_int, c_short};
use std::cell::{Cell, OnceCell, RefCell};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Number of ids in a bucket.
const BUCKET_IDS: usize = 8;
const ID_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// Number of buckets: 16,384 ids, 128 KiB.
const BUCKETS: usize = 2048;

/// A file that could not be opened is tried again after this time.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// The file of ids.
pub struct IdFile {
    path: PathBuf,
    file: OnceCell<File>,
    /// The time before which the file is not opened again.
    reopen_at: Cell<Option<Instant>>,
    /// For each bucket, the place of the next id that this process adds.
    next_places: RefCell<Vec<u8>>,
    /// Whether the last access failed; logged when it changes.
    failing: Cell<bool>,
    /// The same for the last claim.
    claims_failing: Cell<bool>,
}

impl IdFile {
    /// Name of the file in the state directory.
    pub const FILE_NAME: &'static str = "cottonpoint-ids.bin";

    /// Opens the file in the state directory, and creates it if it is missing. Where that fails, it is
    /// tried again later.
    pub fn open(state_dir: &Path) -> IdFile {
        let ids = IdFile {
            path: state_dir.join(Self::FILE_NAME),
            file: OnceCell::new(),
            reopen_at: Cell::new(None),
            next_places: RefCell::new(vec![0; BUCKETS]),
            failing: Cell::new(false),
            claims_failing: Cell::new(false),
        };
        ids.note_result(ids.file().map(drop));
        ids
    }

    fn file(&self) -> io::Result<&File> {
        if let Some(file) = self.file.get() {
            return Ok(file);
        }
        let now = Instant::now();
        if self.reopen_at.get().is_some_and(|reopen_at| now < reopen_at) {
            return Err(io::Error::other("the file could not be opened"));
        }
        self.reopen_at.set(Some(now + REOPEN_INTERVAL));
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create(true).truncate(false).open(&self.path)?;
        // A file that is too short is read as far as it goes, and can be locked anywhere.
        if let Err(why) = file.set_len((BUCKETS * BUCKET_BYTES) as u64) {
            tracing::debug!(%why, "the file of ids has not its full length");
        }
        Ok(self.file.get_or_init(|| file))
    }

    fn bucket(id: u64) -> usize {
        (id % BUCKETS as u64) as usize
    }

    fn read_bucket(&self, id: u64) -> io::Result<[u64; BUCKET_IDS]> {
        let (mut bytes, mut read) = ([0; BUCKET_BYTES], 0);
        // A file that is too short holds nothing behind its end.
        while read < BUCKET_BYTES {
            match self.file()?.read_at(&mut bytes[read..], (Self::bucket(id) * BUCKET_BYTES + read) as u64)
            {
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
        self.file()?.write_all_at(&id.to_le_bytes(), (bucket * BUCKET_BYTES + place * ID_BYTES) as u64)
    }

    /// Locks or unlocks the byte of an id. Locks belong to the open file, not to the process, so that
    /// sidecars in one process exclude each other too.
    fn set_lock(&self, id: u64, kind: c_int) -> io::Result<()> {
        let byte = libc::flock {
            l_type: kind as c_short,
            l_whence: libc::SEEK_SET as c_short,
            l_start: (id >> 2) as libc::off_t,
            l_len: 1,
            l_pid: 0,
        };
        loop {
            match fcntl(self.file()?, FcntlArg::F_OFD_SETLK(&byte)) {
                Ok(_) => return Ok(()),
                Err(Errno::EINTR) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn note_claim(&self, failure: Option<io::Error>) {
        let failed = failure.is_some();
        if self.claims_failing.replace(failed) != failed
            && let Some(why) = failure
        {
            tracing::warn!(%why, "ids of open requests are not shared with other processes");
        }
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

    /// Where the system fails, the id counts as claimed: a request is not refused for it.
    fn claim(&self, id: u64) -> bool {
        match self.set_lock(id, libc::F_WRLCK) {
            Ok(()) => self.note_claim(None),
            Err(error) if is_held_elsewhere(&error) => return false,
            Err(error) => self.note_claim(Some(error)),
        }
        true
    }

    fn release(&self, id: u64) {
        if let Err(why) = self.set_lock(id, libc::F_UNLCK) {
            tracing::debug!(%why, "the claim on an id could not be released");
        }
    }
}

/// Whether a lock could not be had because another open file holds it.
fn is_held_elsewhere(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EAGAIN | libc::EACCES))
}

#[cfg(test)]
mod tests;
