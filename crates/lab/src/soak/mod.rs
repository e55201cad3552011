//! The fault soak runs many real processes of the program among stand-ins on loopback. Faults that
//! overlap in time are drawn from a seed, and the rules of the protocol specification are checked
//! as invariants on what both ends recorded. See `docs/soak.md`.
//!
//! `plan` draws the events of a run, without I/O. `play` carries them out with `discovery`,
//! `endpoint`, `clients` and `member`, all of which write `records`. `oracle` looks for violated
//! invariants in the records, without I/O, and `report` formats the results.

pub mod addresses;
pub mod classes;
pub mod clients;
pub mod discovery;
pub mod endpoint;
mod member;
pub mod oracle;
pub mod plan;
pub mod play;
pub mod pressure;
pub mod records;
pub mod report;
pub mod shared_id;

use std::io;
use std::path::PathBuf;

/// The arguments of a soak.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// The seed of the first run.
    pub seed: u64,
    /// Number of runs, with consecutive seeds.
    pub seeds: u64,
    /// Whether runs are short and have fewer processes.
    pub short: bool,
    /// The program to run, in place of the one in this executable.
    pub program: Option<PathBuf>,
    /// Directory for the logs of the processes.
    pub logs: Option<PathBuf>,
}

/// Executes all runs and prints the results; returns whether no invariant was violated.
pub fn run(arguments: &Arguments) -> io::Result<bool> {
    let (mut all_hold, mut failed_seeds) = (true, Vec::new());
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds.max(1)) {
        let plan = plan::Plan::draw(seed, arguments.short);
        let records = play::play(&plan, arguments)?;
        let violations = oracle::check(&records);
        print!("{}", report::summary_line(&plan, &records, &violations));
        if !violations.is_empty() {
            print!("{}", report::failure_details(&plan, &records, &violations, arguments));
            all_hold = false;
            failed_seeds.push(seed);
        }
    }
    let runs = arguments.seeds.max(1);
    println!("soak: {runs} seeds run, {} broke an invariant {failed_seeds:?}", failed_seeds.len());
    Ok(all_hold)
}
