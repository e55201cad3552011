//! The arguments of a scale run and their bounds.

use std::fmt;
use std::path::PathBuf;

/// The least `--total`. With fewer sidecars there is nothing to fit.
pub const TOTAL_MIN: usize = 61;
/// The greatest `--total`. The relays have room for twice as many sidecars.
pub const TOTAL_MAX: usize = 2000;
/// The least `--total` in the short form, which has to end within seconds.
pub const SHORT_TOTAL_MIN: usize = 15;
/// The greatest `--total` in the short form; see [`SHORT_TOTAL_MIN`].
pub const SHORT_TOTAL_MAX: usize = 200;
/// The largest number of real processes.
pub const REAL_MAX: usize = 200;

const FULL_TOTAL: usize = 610;
const SHORT_TOTAL: usize = 30;
const FULL_REAL: usize = 8;
const SHORT_REAL: usize = 2;

/// Upper estimates of the memory of a real process, a hollow sidecar and all stand-in processes, in
/// KiB.
const REAL_SIDECAR_KIB: u64 = 32 * 1024;
const HOLLOW_SIDECAR_KIB: u64 = 256;
const STAND_INS_KIB: u64 = 7 * 64 * 1024;

/// The form of a run: how long it takes and what it checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Takes minutes: measures all figures, fits lines and checks a prediction.
    Full,
    /// Takes seconds: checks counts and bytes only.
    Short,
}

/// The arguments as given on the command line.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Whether the short form is requested.
    pub short: bool,
    /// The number of sidecars at the largest measured size.
    pub total: Option<usize>,
    /// The number of real processes among them.
    pub real: Option<usize>,
    /// The directory for the results.
    pub out: PathBuf,
}

/// What a run measures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The form of the run.
    pub form: Form,
    /// The number of sidecars at each measured size, in ascending order.
    pub sizes: Vec<usize>,
    /// The size for which figures are predicted and then measured.
    pub predicted: Option<usize>,
    /// The number of real processes. At a size with fewer sidecars, all of them are real.
    pub real: usize,
}

/// The bound that an argument violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// A minimum.
    AtLeast(usize),
    /// A maximum.
    AtMost(usize),
    /// The value of `--total` as the maximum.
    AtMostTotal(usize),
    /// Half of the machine's memory as the maximum for the memory that the run may take, in KiB.
    Memory {
        /// The memory that the run may take.
        needed: u64,
        /// Half of the machine's memory.
        half: u64,
    },
}

/// An argument that is out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadArgument {
    /// The argument's name.
    pub argument: &'static str,
    /// The value given.
    pub value: usize,
    /// The bound that it violates.
    pub bound: Bound,
}

impl fmt::Display for BadArgument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BadArgument { argument, value, bound } = self;
        write!(f, "{argument} {value}: ")?;
        match bound {
            Bound::AtLeast(min) => write!(f, "must be at least {min}"),
            Bound::AtMost(max) => write!(f, "must be at most {max}"),
            Bound::AtMostTotal(total) => write!(f, "must be at most --total, which is {total}"),
            Bound::Memory { needed, half } => write!(
                f,
                "may take {} MiB, must be at most half of the machine's memory, which is {} MiB",
                needed / 1024,
                half / 1024
            ),
        }
    }
}

impl std::error::Error for BadArgument {}

impl Arguments {
    /// Checks the arguments on a machine with `machine_kib` of memory and returns the plan of the
    /// run.
    pub fn plan(&self, machine_kib: u64) -> Result<Plan, BadArgument> {
        let form = if self.short { Form::Short } else { Form::Full };
        let (total, total_min, total_max, real) = match form {
            Form::Full => (FULL_TOTAL, TOTAL_MIN, TOTAL_MAX, FULL_REAL),
            Form::Short => (SHORT_TOTAL, SHORT_TOTAL_MIN, SHORT_TOTAL_MAX, SHORT_REAL),
        };
        let total = self.total.unwrap_or(total);
        let real = self.real.unwrap_or(real);
        check_bounds("--total", total, total_min, Bound::AtMost(total_max), total_max)?;
        check_bounds("--real", real, 1, Bound::AtMost(REAL_MAX), REAL_MAX)?;
        check_bounds("--real", real, 1, Bound::AtMostTotal(total), total)?;
        let (sizes, predicted) = match form {
            Form::Full => (vec![total * 50 / FULL_TOTAL, total * 200 / FULL_TOTAL, total], Some(total * 2)),
            Form::Short => (vec![total / 3, total], None),
        };
        let largest = predicted.unwrap_or(total) as u64;
        let (needed, half) = (
            real as u64 * REAL_SIDECAR_KIB + largest * HOLLOW_SIDECAR_KIB + STAND_INS_KIB,
            machine_kib / 2,
        );
        if needed > half {
            let (argument, value) = if real as u64 * REAL_SIDECAR_KIB > largest * HOLLOW_SIDECAR_KIB {
                ("--real", real)
            } else {
                ("--total", total)
            };
            return Err(BadArgument { argument, value, bound: Bound::Memory { needed, half } });
        }
        Ok(Plan { form, sizes, predicted, real })
    }
}

fn check_bounds(
    argument: &'static str,
    value: usize,
    min: usize,
    upper_bound: Bound,
    max: usize,
) -> Result<(), BadArgument> {
    match value {
        value if value < min => Err(BadArgument { argument, value, bound: Bound::AtLeast(min) }),
        value if value > max => Err(BadArgument { argument, value, bound: upper_bound }),
        _ => Ok(()),
    }
}
