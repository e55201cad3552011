//! Which faults are played, and when: read once from the environment.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The variable that says so, as `name=number` pairs with `;` between them.
const VARIABLE: &str = "COTTONPOINT_FAULTS";

/// The faults of this process.
#[derive(Debug)]
pub(crate) struct Faults {
    began: Instant,
    state: AtomicU64,
    clock_step_ms: i64,
    clock_step_after: Duration,
    /// Of a thousand calls to accept, so many fail.
    pub accept_per_mille: u64,
    /// Of a thousand reads and writes on sockets, so many are interrupted or cut short.
    pub transfer_per_mille: u64,
    /// Of a thousand calls to connect and socket, so many fail once the process serves.
    pub connect_per_mille: u64,
    /// Of a thousand reads on connections that the process made, so many find them broken.
    pub break_per_mille: u64,
    /// The file that says which error connects to [`Faults::connect_port`] fail with, while it is there.
    pub connect_error_file: Option<CString>,
    /// The port of the connects that the file is about.
    pub connect_port: u64,
    files_after: Duration,
    files_for: Duration,
}

thread_local! {
    /// Whether this thread is reading the faults: what it calls meanwhile has none.
    static READING: Cell<bool> = const { Cell::new(false) };
}

/// The faults of this process, where any are to be played.
pub(crate) fn faults() -> Option<&'static Faults> {
    static FAULTS: OnceLock<Option<Faults>> = OnceLock::new();
    if let Some(known) = FAULTS.get() {
        return known.as_ref();
    }
    if READING.try_with(|reading| reading.replace(true)).unwrap_or(true) {
        return None;
    }
    let known = FAULTS.get_or_init(|| std::env::var(VARIABLE).ok().map(|text| Faults::read(&text)));
    let _ = READING.try_with(|reading| reading.set(false));
    known.as_ref()
}

impl Faults {
    fn read(text: &str) -> Faults {
        let figure = |name: &str| {
            let pairs = text.split(';').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<i128>().ok())
                .unwrap_or(0)
        };
        let words = |name: &str| {
            let mut pairs = text.split(';').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| CString::new(value).ok())
        };
        let number = |name: &str| u64::try_from(figure(name)).unwrap_or(0);
        let time = |name: &str| Duration::from_millis(number(name));
        Faults {
            began: Instant::now(),
            state: AtomicU64::new(number("seed") | 1),
            clock_step_ms: i64::try_from(figure("clock_step_ms")).unwrap_or(0),
            clock_step_after: time("clock_step_after_ms"),
            accept_per_mille: number("accept_per_mille"),
            transfer_per_mille: number("transfer_per_mille"),
            connect_per_mille: number("connect_per_mille"),
            break_per_mille: number("break_per_mille"),
            connect_error_file: words("connect_error_file"),
            connect_port: number("connect_port"),
            files_after: time("files_after_ms"),
            files_for: time("files_for_ms"),
        }
    }

    /// Whether calls to connect and socket may fail.
    pub(crate) fn connects_fail(&self) -> bool {
        self.connect_per_mille > 0 || self.connect_error_file.is_some()
    }

    /// The next draw of this process (SplitMix64).
    pub(crate) fn draw(&self) -> u64 {
        let state = self.state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A further draw in so many cases of a thousand.
    pub(crate) fn draw_per_mille(&self, per_mille: u64) -> Option<u64> {
        if per_mille == 0 {
            return None;
        }
        let draw = self.draw();
        (draw % 1000 < per_mille).then_some(draw / 1000)
    }

    /// Whether writes to files fail now.
    pub(crate) fn files_fail(&self) -> bool {
        let now = self.began.elapsed();
        now >= self.files_after && now < self.files_after + self.files_for
    }

    /// By how many milliseconds the wall clock is off now.
    pub(crate) fn clock_step(&self) -> Option<i64> {
        (self.clock_step_ms != 0 && self.began.elapsed() >= self.clock_step_after)
            .then_some(self.clock_step_ms)
    }
}
