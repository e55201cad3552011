//! The faults to inject and their times, read once from the environment.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The environment variable that configures the faults, as `name=value` pairs separated by `;`.
const VARIABLE: &str = "COTTONPOINT_FAULTS";

/// The faults of this process.
#[derive(Debug)]
pub(crate) struct Faults {
    started: Instant,
    random_state: AtomicU64,
    clock_step_ms: i64,
    clock_step_after: Duration,
    /// Failing calls to accept, per thousand.
    pub accept_per_mille: u64,
    /// Reads and writes on sockets that are interrupted or cut short, per thousand.
    pub transfer_per_mille: u64,
    /// Calls to connect and socket that fail once the process serves, per thousand.
    pub connect_per_mille: u64,
    /// Reads that find a connection opened by the process broken, per thousand.
    pub break_per_mille: u64,
    /// A file with the error number with which connects to [`Faults::connect_port`] fail while the
    /// file exists.
    pub connect_error_file: Option<CString>,
    /// The port of the connects that `connect_error_file` applies to.
    pub connect_port: u64,
    files_after: Duration,
    files_for: Duration,
}

thread_local! {
    /// Whether this thread is reading the configuration: no faults are injected into its calls
    /// meanwhile.
    static READING: Cell<bool> = const { Cell::new(false) };
}

/// The faults of this process, if any are configured.
pub(crate) fn faults() -> Option<&'static Faults> {
    static FAULTS: OnceLock<Option<Faults>> = OnceLock::new();
    if let Some(configured) = FAULTS.get() {
        return configured.as_ref();
    }
    if READING.try_with(|reading| reading.replace(true)).unwrap_or(true) {
        return None;
    }
    let configured = FAULTS.get_or_init(|| std::env::var(VARIABLE).ok().map(|text| Faults::parse(&text)));
    let _ = READING.try_with(|reading| reading.set(false));
    configured.as_ref()
}

impl Faults {
    fn parse(text: &str) -> Faults {
        let integer = |name: &str| {
            let pairs = text.split(';').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<i128>().ok())
                .unwrap_or(0)
        };
        let text_value = |name: &str| {
            let mut pairs = text.split(';').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| CString::new(value).ok())
        };
        let number = |name: &str| u64::try_from(integer(name)).unwrap_or(0);
        let millis = |name: &str| Duration::from_millis(number(name));
        Faults {
            started: Instant::now(),
            random_state: AtomicU64::new(number("seed") | 1),
            clock_step_ms: i64::try_from(integer("clock_step_ms")).unwrap_or(0),
            clock_step_after: millis("clock_step_after_ms"),
            accept_per_mille: number("accept_per_mille"),
            transfer_per_mille: number("transfer_per_mille"),
            connect_per_mille: number("connect_per_mille"),
            break_per_mille: number("break_per_mille"),
            connect_error_file: text_value("connect_error_file"),
            connect_port: number("connect_port"),
            files_after: millis("files_after_ms"),
            files_for: millis("files_for_ms"),
        }
    }

    /// Whether calls to connect and socket may fail.
    pub(crate) fn connects_may_fail(&self) -> bool {
        self.connect_per_mille > 0 || self.connect_error_file.is_some()
    }

    /// The next pseudo-random number of this process (SplitMix64).
    pub(crate) fn draw(&self) -> u64 {
        let random_state = self.random_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (random_state ^ (random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A further random number with a probability of `per_mille` thousandths, otherwise `None`.
    pub(crate) fn draw_per_mille(&self, per_mille: u64) -> Option<u64> {
        if per_mille == 0 {
            return None;
        }
        let draw = self.draw();
        (draw % 1000 < per_mille).then_some(draw / 1000)
    }

    /// Whether writes to files fail now.
    pub(crate) fn file_writes_fail(&self) -> bool {
        let now = self.started.elapsed();
        now >= self.files_after && now < self.files_after + self.files_for
    }

    /// The current offset of the wall clock in milliseconds, if it is stepped.
    pub(crate) fn clock_step(&self) -> Option<i64> {
        (self.clock_step_ms != 0 && self.started.elapsed() >= self.clock_step_after)
            .then_some(self.clock_step_ms)
    }
}
