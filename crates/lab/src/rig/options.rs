//! The options of a fleet of the built program.

use std::path::PathBuf;
use std::time::Duration;

/// The options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of members, 64 at most.
    pub members: usize,
    /// The seed of the links' random draws.
    pub seed: u64,
    /// The interval between two probes of a member. The program accepts no less than 200 ms.
    pub period: Duration,
    /// The path of the laboratory's executable, which also contains the program.
    pub program: PathBuf,
    /// Text that is appended to each operator's file, to enable further features.
    pub operator_extra: String,
}
