//! The fault soak: many real processes of the program among stand-ins on loopback, faults that overlap in time drawn from a
//! seed, and the terms of the protocol page as invariants, checked by what both ends saw. See `docs/soak.md`.
//!
//! `plan` draws what happens, without I/O; `play` carries it out with `discovery`, `endpoint`, `clients` and `member`;
//! all of them write `records`; `oracle` looks for broken invariants in these, without I/O; `report` prints.

pub mod addresses;
pub mod clients;
pub mod discovery;
pub mod endpoint;
mod member;
pub mod oracle;
pub mod plan;
pub mod play;
pub mod records;
pub mod report;

use std::io;
use std::path::PathBuf;

/// What is asked of a soak.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// The seed of the first run.
    pub seed: u64,
    /// How many runs, with seeds in a row.
    pub seeds: u64,
    /// Short runs of fewer processes.
    pub short: bool,
    /// The program to run, in place of this executable's own.
    pub program: Option<PathBuf>,
    /// Where the logs of a failing run's processes go.
    pub logs: Option<PathBuf>,
}

/// Plays all runs and prints each; whether no invariant was broken.
pub fn run(arguments: &Arguments) -> io::Result<bool> {
    let (mut whole, mut broken) = (true, Vec::new());
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds.max(1)) {
        let plan = plan::Plan::draw(seed, arguments.short);
        let records = play::play(&plan, arguments)?;
        let breaches = oracle::check(&records);
        print!("{}", report::line(&plan, &records, &breaches));
        if !breaches.is_empty() {
            print!("{}", report::failure(&plan, &records, &breaches, arguments));
            whole = false;
            broken.push(seed);
        }
    }
    let played = arguments.seeds.max(1);
    println!("soak: {played} seeds played, {} broke an invariant {broken:?}", broken.len());
    Ok(whole)
}
