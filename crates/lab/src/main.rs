//! The laboratory's command line.

mod commands;

use bpaf::{Bpaf, Parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Experiments on fleets in virtual time, and the proofs behind the project's claims.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Play one day and print its figures
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        form: Form,
        #[bpaf(external)]
        day: Day,
    },
    /// Compare two policies on the same days, pair by pair
    #[bpaf(command)]
    Compare {
        /// Seeds, from 0
        #[bpaf(long, argument("N"), fallback(40), display_fallback)]
        seeds: u64,
        #[bpaf(external, many)]
        set: Vec<(String, String)>,
        #[bpaf(external)]
        form: Form,
        /// The first policy
        #[bpaf(positional("A"))]
        a: String,
        /// The second policy
        #[bpaf(positional("B"))]
        b: String,
        /// Scenarios: files, or names under lab/scenarios
        #[bpaf(positional("SCENARIO"), some("name a scenario"))]
        scenarios: Vec<String>,
    },
    /// Play one scenario with several values of one key
    #[bpaf(command)]
    Sweep {
        /// Seeds, from 0
        #[bpaf(long, argument("N"), fallback(10), display_fallback)]
        seeds: u64,
        /// The policy
        #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
        policy: String,
        /// The key and its values, as key=1,2,3
        #[bpaf(long, argument("KEY=A,B,C"))]
        set: String,
        #[bpaf(external)]
        form: Form,
        /// The scenario
        #[bpaf(positional("SCENARIO"))]
        scenario: String,
    },
    /// Look for days on which a policy falls furthest below the top, and shrink the worst to a small scenario
    #[bpaf(command)]
    Hunt {
        /// Days to try
        #[bpaf(long, argument("N"), fallback(200), display_fallback)]
        tries: u64,
        /// The policy
        #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
        policy: String,
        /// Where the scenario that is found goes
        #[bpaf(long, argument("FILE"), fallback(PathBuf::from("lab/results/hunted.toml")), debug_fallback)]
        out: PathBuf,
        #[bpaf(external)]
        form: Form,
        /// The scenario to start from
        #[bpaf(positional("SCENARIO"))]
        scenario: String,
    },
    /// Play one day and write a page with tables and charts
    #[bpaf(command)]
    Report {
        /// Where the page goes
        #[bpaf(long, argument("FILE"), fallback(PathBuf::from("lab/results/report.html")), debug_fallback)]
        out: PathBuf,
        #[bpaf(external)]
        day: Day,
    },
    /// Write down the life of one client, by its number
    #[bpaf(command)]
    Trace {
        #[bpaf(external)]
        day: Day,
        /// The client's number, from 0
        #[bpaf(positional("CLIENT"))]
        client: u64,
    },
    /// Play policies against each other on scenarios and write the tables and charts
    #[bpaf(command)]
    League {
        /// Seeds, from 0
        #[bpaf(long, argument("N"), fallback(20), display_fallback)]
        seeds: u64,
        /// Where the page and its charts go
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("docs/league")), debug_fallback)]
        out: PathBuf,
        /// Policies; all that are known where none is named
        #[bpaf(long, argument("POLICY"), many)]
        policy: Vec<String>,
        /// Scenarios; all shipped ones where none is named
        #[bpaf(positional("SCENARIO"), many)]
        scenarios: Vec<String>,
    },
    /// Hold the shares served of each class and tenant against a policy that sees the true state late
    #[bpaf(command)]
    Gate {
        /// Seeds, from 0
        #[bpaf(long, argument("N"), fallback(10), display_fallback)]
        seeds: u64,
        /// The policy
        #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
        policy: String,
        #[bpaf(external, many)]
        set: Vec<(String, String)>,
        #[bpaf(external)]
        form: Form,
        /// Scenarios: files, or names under lab/scenarios
        #[bpaf(positional("SCENARIO"), some("name a scenario"))]
        scenarios: Vec<String>,
    },
    /// Look at kept results
    #[bpaf(command)]
    Results {
        #[bpaf(external)]
        form: Form,
        #[bpaf(external(results_command))]
        what: ResultsCommand,
    },
    /// Start the program with stand-ins for all its peers on loopback, and show what happens
    #[bpaf(command)]
    Up {
        /// Stop after this time, such as 20s; on Ctrl-C otherwise
        #[bpaf(long("for"), argument("TIME"), optional)]
        length: Option<humantime::Duration>,
        /// Requests a second
        #[bpaf(long, argument("N"), fallback(150.0), display_fallback)]
        rate: f64,
        #[bpaf(external)]
        form: Form,
    },
    /// Measure what control costs each role at several numbers of sidecars, in calm and in four failures
    #[bpaf(command)]
    Scale {
        /// Two small sizes, whose counts and bytes are checked; no times, no processor figures
        #[bpaf(long)]
        short: bool,
        /// Sidecars at the largest measured size; 610, or 30 in the short form, where left out
        #[bpaf(long, argument("N"), optional)]
        total: Option<usize>,
        /// Of them, real processes of the program; 8, or 2 in the short form, where left out
        #[bpaf(long, argument("P"), optional)]
        real: Option<usize>,
        /// Where the figures and the chart go
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("lab/results/scale")), debug_fallback)]
        out: PathBuf,
    },
    /// Play faults that overlap on many real processes, and check the protocol's rules at both ends
    #[bpaf(command)]
    Soak {
        /// The seed of the first run
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Runs, with seeds in a row
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seeds: u64,
        /// Shorter runs of fewer processes
        #[bpaf(long)]
        short: bool,
        /// The program's executable, in place of the one in this executable
        #[bpaf(long, argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// Where the processes' logs go
        #[bpaf(long, argument("FOLDER"), optional)]
        logs: Option<PathBuf>,
    },
    /// One process of stand-ins, as `scale` starts it
    #[bpaf(command("scale-host"), hide)]
    ScaleHost {
        /// What it hosts: discovery, link or hollow
        #[bpaf(positional("ROLE"))]
        role: cottonpoint_lab::scale::host::HostRole,
    },
    /// The program itself, as `scale` starts it: it ends with the process that started it
    #[bpaf(command("scale-sidecar"), hide)]
    ScaleSidecar(#[bpaf(external(program_command))] cottonpoint::cli::Command),
    /// The program itself, as `up` starts it
    #[bpaf(command, hide)]
    Program(#[bpaf(external(program_command))] cottonpoint::cli::Command),
    /// List the scenarios under lab/scenarios, each checked
    #[bpaf(command)]
    Scenarios,
    /// Show a claim, or list what can be shown
    #[bpaf(command)]
    Prove {
        /// List the proofs
        #[bpaf(long)]
        list: bool,
        /// End within 30 s
        #[bpaf(long)]
        short: bool,
        #[bpaf(external)]
        form: Form,
        /// The proof
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
}

/// What to do with kept results.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ResultsCommand {
    /// List versions of the code with how much is kept of each
    #[bpaf(command)]
    List,
    /// Show the kept runs of a version
    #[bpaf(command)]
    Show {
        /// The version, as listed
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Compare two versions on the days that both have played
    #[bpaf(command)]
    Diff {
        /// The first version
        #[bpaf(positional("OLD"))]
        old: String,
        /// The second version
        #[bpaf(positional("NEW"))]
        new: String,
    },
}

/// One day: a scenario, a seed, a policy.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Day {
    /// The seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// The policy: ours, or random, round-robin, least-out, p2c, peak-ewma, wrr, prequal, least-time, late or top,
    /// with +aimd, +gradient and +budget behind it
    #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
    policy: String,
    #[bpaf(external, many)]
    set: Vec<(String, String)>,
    /// A scenario: a file, or a name under lab/scenarios
    #[bpaf(positional("SCENARIO"))]
    scenario: String,
}

fn program_command() -> impl Parser<cottonpoint::cli::Command> {
    cottonpoint::cli::command()
}

fn set() -> impl Parser<(String, String)> {
    bpaf::long("set")
        .help("Set a key of the scenario anew, such as load.rate=200 or trouble.0.part=0.3")
        .argument::<String>("KEY=VALUE")
        .parse(|text| match text.split_once('=') {
            Some((key, value)) => Ok((key.trim().to_owned(), value.trim().to_owned())),
            None => Err("it must be KEY=VALUE"),
        })
}

/// How results are printed.
#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) struct Form {
    /// Print JSON
    #[bpaf(long)]
    json: bool,
}

fn main() -> ExitCode {
    let command = match command().run() {
        Command::Program(command) => return cottonpoint::cli::run(command),
        Command::ScaleSidecar(command) => match cottonpoint_lab::scale::host::end_with_parent() {
            Ok(()) => return cottonpoint::cli::run(command),
            Err(why) => {
                eprintln!("cottonpoint-lab: {why}");
                return ExitCode::FAILURE;
            }
        },
        command => command,
    };
    match commands::carry_out(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(why) => {
            eprintln!("cottonpoint-lab: {why}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    /// Guards against: a named argument behind a positional one, on which `run --help` ended in a panic.
    #[test]
    fn every_command_can_print_its_help() {
        super::command().check_invariants(true);
    }
}
