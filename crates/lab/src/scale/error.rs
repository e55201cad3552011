//! The error of a scale run.

use super::arguments::BadArgument;
use std::fmt;
use std::io;
use std::time::Duration;

/// The reason why a run ends without figures.
#[derive(Debug)]
pub enum ScaleError {
    /// An argument is out of bounds.
    Argument(BadArgument),
    /// The run received SIGINT or SIGTERM.
    Interrupted,
    /// A system call failed.
    Io(io::Error),
    /// A stand-in process or a sidecar failed.
    Process {
        /// The process.
        process: String,
        /// The reason.
        reason: String,
    },
    /// A condition was not met in time.
    Timeout {
        /// The condition.
        condition: String,
        /// The time limit.
        limit: Duration,
    },
    /// A check of the short form failed.
    Check(String),
}

impl fmt::Display for ScaleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScaleError::Argument(bad) => bad.fmt(f),
            ScaleError::Interrupted => f.write_str("interrupted; all started processes have ended"),
            ScaleError::Io(error) => error.fmt(f),
            ScaleError::Process { process, reason } => write!(f, "{process}: {reason}"),
            ScaleError::Timeout { condition, limit } => write!(f, "timed out after {limit:?}: {condition}"),
            ScaleError::Check(failure) => write!(f, "check failed: {failure}"),
        }
    }
}

impl std::error::Error for ScaleError {}

impl From<BadArgument> for ScaleError {
    fn from(bad: BadArgument) -> ScaleError {
        ScaleError::Argument(bad)
    }
}

impl From<io::Error> for ScaleError {
    fn from(error: io::Error) -> ScaleError {
        ScaleError::Io(error)
    }
}
