//! Endpoints disabled by the operator, stored in a file under `$TMPDIR` so that a new process of
//! the sidecar keeps them disabled. Both processes of an upgrade take orders and store them in the
//! same file, each order by itself: see [`orders`](crate::orders).

use crate::orders::{GivenAt, Order, OrderLog, Orders, StoredOrders};
use crate::state::{ChangeNumber, FileWriter, replace_files};
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file in the state directory that names the disabled endpoints.
pub const DISABLED_FILE: &str = "cottonpoint-out.json";
/// The file in the state directory that holds the last orders on endpoints.
pub const ORDERS_FILE: &str = "cottonpoint-orders.json";
/// Maximum number of disabled endpoints: a command beyond it is refused, not forgotten.
pub const DISABLED_LIMIT: usize = 4096;
/// How often an order is carried out anew at once, because another process has stored one meanwhile.
const MAX_CONFLICTS: usize = 16;

/// Identifies a version of the file: each one is a separate file, renamed over the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl FileVersion {
    fn of(file: &Path) -> Option<FileVersion> {
        let metadata = std::fs::metadata(file).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileVersion { inode: metadata.ino(), length: metadata.len(), modified })
    }
}

/// Orders that are not stored yet, and what holds without the file.
struct UnstoredOrders {
    orders: Orders,
    /// The disabled endpoints, as this process knows them: where the file cannot be interpreted.
    known: BTreeSet<String>,
}

/// Names of endpoints that another process of the sidecar has disabled and enabled.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ChangedEndpoints {
    /// Those to disable.
    pub disabled: Vec<String>,
    /// Those to enable.
    pub enabled: Vec<String>,
}

/// The names of the endpoints disabled by the operator, and where they are stored.
pub struct DisabledEndpoints {
    names: RefCell<BTreeSet<String>>,
    file: Option<FileWriter<UnstoredOrders>>,
    /// The orders of this process, each until it is stored, with the number of its change.
    unstored: RefCell<BTreeMap<String, (ChangeNumber, Order)>>,
    /// When the newest order that this process knows of was given.
    newest_order: Cell<GivenAt>,
    /// The version that was last read completely. Its time alone does not identify it, because the
    /// wall clock may be stepped.
    last_read: Cell<Option<FileVersion>>,
}

impl DisabledEndpoints {
    /// Reads the names, if there is a state directory and a readable file in it.
    pub fn load(state: Option<&Path>) -> DisabledEndpoints {
        let file = state.map(|dir| FileWriter::new(dir.join(DISABLED_FILE), store));
        let text = file.as_ref().and_then(|f| std::fs::read_to_string(f.file()).ok());
        let names = text.map(|text| serde_json::from_str::<BTreeSet<String>>(&text)).transpose();
        let names = names.unwrap_or_else(|why| {
            tracing::error!(file = DISABLED_FILE, %why, "cannot read the disabled endpoints; none is disabled");
            None
        });
        DisabledEndpoints {
            names: names.unwrap_or_default().into(),
            file,
            unstored: RefCell::default(),
            newest_order: Cell::new(0),
            last_read: Cell::new(None),
        }
    }

    /// The changes that another process of the sidecar (an older or newer version beside this one)
    /// has made to the file. `None` if there are none.
    pub fn read_changes(&self) -> Option<ChangedEndpoints> {
        let writer = self.file.as_ref()?;
        // The file is read only if it was replaced since: this is called five times a second. The
        // orders are replaced before it.
        let version = FileVersion::of(writer.file());
        if version.is_none() || self.last_read.get() == version {
            return None;
        }
        let mut stored = read_stored(writer.file()).ok()?.interpret()?;
        self.last_read.set(version);
        self.newest_order.set(self.newest_order.get().max(stored.log.newest()));
        stored.carry_out(&self.unstored_orders());
        let names = stored.disabled;
        let mut current = self.names.borrow_mut();
        if *current == names {
            return None;
        }
        let disabled = names.difference(&current).cloned().collect();
        let enabled = current.difference(&names).cloned().collect();
        *current = names;
        Some(ChangedEndpoints { disabled, enabled })
    }

    /// The names, in ascending order.
    pub fn names(&self) -> Vec<String> {
        self.names.borrow().iter().cloned().collect()
    }

    /// Whether no more endpoints can be disabled.
    pub fn is_full(&self) -> bool {
        self.names.borrow().len() >= DISABLED_LIMIT
    }

    /// Carries out an order to disable or enable an endpoint, and queues it for storing. Returns the
    /// number to wait for with [`DisabledEndpoints::wait_until_stored`].
    pub fn set(&self, name: &str, disabled: bool) -> ChangeNumber {
        let mut names = self.names.borrow_mut();
        if disabled {
            names.insert(name.to_owned());
        } else {
            names.remove(name);
        }
        let Some(file) = &self.file else { return 0 };
        let given_at = monotonic_time().max(self.newest_order.get() + 1);
        self.newest_order.set(given_at);
        let order = Order { disabled, given_at };
        let mut orders = self.unstored_orders();
        orders.insert(name.to_owned(), order);
        let number = file.write(UnstoredOrders { orders, known: names.clone() });
        self.unstored.borrow_mut().insert(name.to_owned(), (number, order));
        number
    }

    /// The orders that are not stored yet.
    fn unstored_orders(&self) -> Orders {
        let stored_number = self.file.as_ref().map_or(0, |file| file.written_number());
        let mut unstored = self.unstored.borrow_mut();
        unstored.retain(|_, (number, _)| *number > stored_number);
        unstored.iter().map(|(name, (_, order))| (name.clone(), *order)).collect()
    }

    /// Waits until an order is stored. A hung disk blocks it indefinitely: the caller limits the
    /// time.
    pub async fn wait_until_stored(&self, number: ChangeNumber) {
        if let Some(file) = &self.file {
            file.wait_until_written(number).await;
        }
    }

    /// Waits until all orders are stored, as [`DisabledEndpoints::wait_until_stored`] does.
    pub async fn flush(&self) {
        if let Some(file) = &self.file {
            file.flush().await;
        }
    }
}

/// The texts of the files; `None` for a file that does not exist.
#[derive(PartialEq, Eq)]
struct StoredTexts {
    names: Option<String>,
    orders: Option<String>,
}

impl StoredTexts {
    /// What is stored; `None` if no file names disabled endpoints, or what it holds is no list of
    /// names. Orders that cannot be interpreted are none.
    fn interpret(&self) -> Option<StoredOrders> {
        let disabled = serde_json::from_str(self.names.as_ref()?).ok()?;
        Some(StoredOrders { disabled, log: self.log() })
    }

    fn log(&self) -> OrderLog {
        let log = self.orders.as_ref().and_then(|text| serde_json::from_str::<OrderLog>(text).ok());
        log.unwrap_or_default().of_boot(&boot_id())
    }
}

fn read_if_present(file: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(Some(text)),
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(why) => Err(why),
    }
}

fn orders_file(names_file: &Path) -> PathBuf {
    names_file.with_file_name(ORDERS_FILE)
}

/// Reads the names before the orders, which are replaced in the other order: the orders read are
/// never older than the names.
fn read_stored(names_file: &Path) -> io::Result<StoredTexts> {
    let names = read_if_present(names_file)?;
    Ok(StoredTexts { names, orders: read_if_present(&orders_file(names_file))? })
}

/// Adds orders to what is stored. Where another process has stored orders since this one has looked,
/// it looks again.
fn store(names_file: &Path, unstored: &UnstoredOrders) -> io::Result<()> {
    let orders_file = orders_file(names_file);
    for _ in 0..MAX_CONFLICTS {
        let texts = read_stored(names_file)?;
        let mut stored = texts
            .interpret()
            .unwrap_or_else(|| StoredOrders { disabled: unstored.known.clone(), log: texts.log() });
        stored.carry_out(&unstored.orders);
        let names = json!(stored.disabled).to_string();
        let orders = json!(stored.log).to_string();
        let is_current = || read_stored(names_file).is_ok_and(|now| now == texts);
        if replace_files(&[(&orders_file, &orders), (names_file, &names)], is_current)? {
            return Ok(());
        }
    }
    Err(io::Error::new(io::ErrorKind::WouldBlock, "another process stores orders all the time"))
}

/// Time since the system's start, in nanoseconds, on the clock that all processes share.
fn monotonic_time() -> GivenAt {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds.saturating_mul(1_000_000_000).saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// Identifies the start of the system; empty where it does not tell.
fn boot_id() -> String {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    text.trim().to_owned()
}
