//! The command line of the laboratory.

mod commands;

use bpaf::{Bpaf, Parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Experiments on emulated fleets in virtual time, and the checks behind the project's claims.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run one scenario once and print its figures
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        form: Form,
        #[bpaf(external)]
        run_arguments: RunArguments,
    },
    /// Compare two policies on the same scenarios and seeds, run by run
    #[bpaf(command)]
    Compare {
        /// Number of seeds, counted from 0
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
        #[bpaf(positional("SCENARIO"), some("at least one scenario is required"))]
        scenarios: Vec<String>,
    },
    /// Run one scenario with each of several values of one key
    #[bpaf(command)]
    Sweep {
        /// Number of seeds, counted from 0
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
    /// Search for the run in which a policy scores furthest below the policy `top`, and reduce it to a small scenario
    #[bpaf(command)]
    Hunt {
        /// Number of runs to try
        #[bpaf(long, argument("N"), fallback(200), display_fallback)]
        tries: u64,
        /// The policy
        #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
        policy: String,
        /// Where to write the scenario that was found
        #[bpaf(long, argument("FILE"), fallback(PathBuf::from("lab/results/hunted.toml")), debug_fallback)]
        out: PathBuf,
        #[bpaf(external)]
        form: Form,
        /// The scenario to start from
        #[bpaf(positional("SCENARIO"))]
        scenario: String,
    },
    /// Run one scenario once and write a page with tables and charts
    #[bpaf(command)]
    Report {
        /// Where to write the page
        #[bpaf(long, argument("FILE"), fallback(PathBuf::from("lab/results/report.html")), debug_fallback)]
        out: PathBuf,
        #[bpaf(external)]
        run_arguments: RunArguments,
    },
    /// Print all events of one client, given by its number
    #[bpaf(command)]
    Trace {
        #[bpaf(external)]
        run_arguments: RunArguments,
        /// The client's number, from 0
        #[bpaf(positional("CLIENT"))]
        client: u64,
    },
    /// Compare several policies on several scenarios and write the tables and charts
    #[bpaf(command)]
    League {
        /// Number of seeds, counted from 0
        #[bpaf(long, argument("N"), fallback(20), display_fallback)]
        seeds: u64,
        /// Where to write the page and its charts
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("docs/league")), debug_fallback)]
        out: PathBuf,
        /// Policies to compare; a standard selection by default
        #[bpaf(long, argument("POLICY"), many)]
        policy: Vec<String>,
        /// Scenarios; by default all under lab/scenarios
        #[bpaf(positional("SCENARIO"), many)]
        scenarios: Vec<String>,
    },
    /// Check what a policy serves of each class and tenant against a policy that sees the true state with a delay
    #[bpaf(command)]
    Gate {
        /// Number of seeds, counted from 0
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
        #[bpaf(positional("SCENARIO"), some("at least one scenario is required"))]
        scenarios: Vec<String>,
    },
    /// Show stored results
    #[bpaf(command)]
    Results {
        #[bpaf(external)]
        form: Form,
        #[bpaf(external(results_command))]
        what: ResultsCommand,
    },
    /// Start the sidecar on loopback with stand-ins for everything it talks to, and show its traffic
    #[bpaf(command)]
    Up {
        /// Stop after this time, such as 20s; without it, run until Ctrl-C
        #[bpaf(long("for"), argument("TIME"), optional)]
        length: Option<humantime::Duration>,
        /// Requests per second
        #[bpaf(long, argument("N"), fallback(150.0), display_fallback)]
        rate: f64,
        #[bpaf(external)]
        form: Form,
    },
    /// Measure the cost of control traffic for each role at several fleet sizes, in normal operation and in four failures
    #[bpaf(command)]
    Scale {
        /// Measure two small sizes and check counts and bytes only, without times and processor use
        #[bpaf(long)]
        short: bool,
        /// Sidecars at the largest measured size; by default 610, or 30 with --short
        #[bpaf(long, argument("N"), optional)]
        total: Option<usize>,
        /// How many of them are real processes of the program; by default 8, or 2 with --short
        #[bpaf(long, argument("P"), optional)]
        real: Option<usize>,
        /// Where to write the figures and the chart
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("lab/results/scale")), debug_fallback)]
        out: PathBuf,
    },
    /// Inject overlapping faults into many real processes and check the protocol's rules at both ends
    #[bpaf(command)]
    Soak {
        /// The seed of the first run
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Number of runs, with consecutive seeds
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seeds: u64,
        /// Shorter runs with fewer processes
        #[bpaf(long)]
        short: bool,
        /// The executable of the program; by default the program that is part of this executable
        #[bpaf(long, argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// Where to write the logs of the processes
        #[bpaf(long, argument("FOLDER"), optional)]
        logs: Option<PathBuf>,
    },
    /// A process that hosts stand-ins; started by `scale`
    #[bpaf(command("scale-host"), hide)]
    ScaleHost {
        /// What it hosts: discovery, link or hollow
        #[bpaf(positional("ROLE"))]
        role: cottonpoint_lab::scale::host::HostRole,
    },
    /// The program itself, started by `scale`; it ends when the process that started it ends
    #[bpaf(command("scale-sidecar"), hide)]
    ScaleSidecar(#[bpaf(external(program_command))] cottonpoint::cli::Command),
    /// The program itself, started by `up`
    #[bpaf(command, hide)]
    Program(#[bpaf(external(program_command))] cottonpoint::cli::Command),
    /// Read and check the scenarios under lab/scenarios and list them
    #[bpaf(command)]
    Scenarios,
    /// Run the checks behind a set of claims, or list the sets
    #[bpaf(command)]
    Prove {
        /// List the sets of claims
        #[bpaf(long)]
        list: bool,
        /// Run a shorter form that ends within 30 s
        #[bpaf(long)]
        short: bool,
        #[bpaf(external)]
        form: Form,
        /// The set of claims to check, as listed
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
}

/// The sub-commands of `results`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ResultsCommand {
    /// List the versions of the code and the number of stored runs of each
    #[bpaf(command)]
    List,
    /// Show the stored runs of a version
    #[bpaf(command)]
    Show {
        /// The version, as listed
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Compare two versions on the runs that are stored for both
    #[bpaf(command)]
    Diff {
        /// The version to compare with
        #[bpaf(positional("OLD"))]
        old: String,
        /// The version that is compared
        #[bpaf(positional("NEW"))]
        new: String,
    },
}

/// What determines one run: a scenario, a seed and a policy.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct RunArguments {
    /// The seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// The policy: ours, or one of random, round-robin, least-out, p2c, peak-ewma, wrr, prequal, least-time, late
    /// and top, optionally followed by +aimd or +gradient and by +budget
    #[bpaf(long, argument("POLICY"), fallback("ours".to_owned()), display_fallback)]
    policy: String,
    #[bpaf(external, many)]
    set: Vec<(String, String)>,
    /// The scenario: a file, or a name under lab/scenarios
    #[bpaf(positional("SCENARIO"))]
    scenario: String,
}

fn program_command() -> impl Parser<cottonpoint::cli::Command> {
    cottonpoint::cli::command()
}

fn set() -> impl Parser<(String, String)> {
    bpaf::long("set")
        .help("Override a key of the scenario, such as load.rate=200 or trouble.0.part=0.3")
        .argument::<String>("KEY=VALUE")
        .parse(|text| match text.split_once('=') {
            Some((key, value)) => Ok((key.trim().to_owned(), value.trim().to_owned())),
            None => Err("expected KEY=VALUE"),
        })
}

/// The output format.
#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) struct Form {
    /// Print the results as JSON
    #[bpaf(long)]
    json: bool,
}

fn main() -> ExitCode {
    let command = match command().run() {
        Command::Program(command) => return cottonpoint::cli::run(command),
        Command::ScaleSidecar(command) => match cottonpoint_lab::scale::host::end_with_parent() {
            Ok(()) => return cottonpoint::cli::run(command),
            Err(error) => {
                eprintln!("cottonpoint-lab: {error}");
                return ExitCode::FAILURE;
            }
        },
        command => command,
    };
    match commands::execute(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("cottonpoint-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    /// Guards against an option that is declared after a positional argument, which made `run --help` panic.
    #[test]
    fn every_command_can_print_its_help() {
        super::command().check_invariants(true);
    }
}
