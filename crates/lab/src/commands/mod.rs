//! The implementation of the sub-commands.

mod compare;
mod gate;
mod hunt;
mod league;
mod results;
mod scale;

use crate::{Command, Form, RunArguments};
use cottonpoint_file::TomlText;
use cottonpoint_lab::experiment::{self, Outcome};
use cottonpoint_lab::live;
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::prove;
use cottonpoint_lab::report::{self, figure_rows, markdown};
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::soak::Arguments;
use cottonpoint_lab::store::{RunKey, Store, StoredRun, version};
use cottonpoint_lab::world::World;
use serde::Serialize;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The result of a command or of one of its steps.
type CommandResult<T> = Result<T, Box<dyn Error>>;

const SCENARIO_FOLDER: &str = "lab/scenarios";
const RESULTS_FOLDER: &str = "lab/results";

/// A scenario and the text that it was read from.
struct LoadedScenario {
    text: TomlText,
    scenario: Scenario,
}

/// Loads a scenario, given by its file or by its name under `lab/scenarios`, with keys overridden by `set`.
fn load_scenario(name: &str, set: &[(String, String)]) -> CommandResult<LoadedScenario> {
    let mut path = PathBuf::from(name);
    if !path.exists() {
        path = Path::new(SCENARIO_FOLDER).join(name).with_extension("toml");
    }
    let text = TomlText::load(&path)?;
    let text = if set.is_empty() { text } else { text.with_overrides(set)? };
    Ok(LoadedScenario { scenario: Scenario::read(&text)?, text })
}

/// The names of all scenarios under `lab/scenarios`, sorted.
fn shipped_scenarios() -> CommandResult<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(SCENARIO_FOLDER).map_err(|e| format!("{SCENARIO_FOLDER}: {e}"))? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "toml") {
            names.extend(path.file_stem().map(|n| n.to_string_lossy().into_owned()));
        }
    }
    names.sort_unstable();
    Ok(names)
}

fn stored_run(loaded: &LoadedScenario, seed: u64, policy: Policy, outcome: Outcome) -> StoredRun {
    let digest = format!("{:016x}", Scenario::digest(&loaded.text));
    let (code, scenario, policy) = (version(), loaded.scenario.name.clone(), policy.to_string());
    StoredRun { key: RunKey { code, scenario, digest, policy, seed }, outcome }
}

fn store_runs(runs: Vec<StoredRun>) -> CommandResult<()> {
    Ok(Store::open(Path::new(RESULTS_FOLDER))?.keep(runs)?)
}

fn print_json(value: &impl Serialize) -> CommandResult<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Executes a command. Returns false if a check of the command failed.
pub(crate) fn execute(command: Command) -> CommandResult<bool> {
    match command {
        Command::Run { run_arguments, form } => run(&run_arguments, form),
        Command::Compare { seeds, set, form, a, b, scenarios } => {
            compare::compare_policies(&a, &b, &scenarios, &set, seeds, form)
        }
        Command::Sweep { seeds, policy, set, form, scenario } => {
            compare::sweep(&scenario, &policy, &set, seeds, form)
        }
        Command::Hunt { tries, policy, out, form, scenario } => {
            hunt::hunt(&scenario, &policy, tries, &out, form)
        }
        Command::Report { out, run_arguments } => write_report(&run_arguments, &out),
        Command::Trace { run_arguments, client } => trace(&run_arguments, client),
        Command::League { seeds, out, policy, scenarios } => {
            league::league(&scenarios, &policy, seeds, &out)
        }
        Command::Gate { seeds, policy, set, form, scenarios } => {
            gate::run_gate(&scenarios, &policy, &set, seeds, form)
        }
        Command::Results { what, form } => results::results(what, form),
        Command::Up { length, rate, form } => up(length.map(Into::into), rate, form),
        Command::Soak { seed, seeds, short, program, logs } => {
            Ok(cottonpoint_lab::soak::run(&Arguments { seed, seeds, short, program, logs })?)
        }
        Command::Scale { short, total, real, out } => scale::scale(short, total, real, out),
        Command::ScaleHost { role } => scale::host(role),
        Command::Program(_) | Command::ScaleSidecar(_) => {
            Err("this command runs the program and is handled before the others".into())
        }
        Command::Scenarios => {
            for name in shipped_scenarios()? {
                println!("{name:24} {}", load_scenario(&name, &[])?.scenario.about);
            }
            Ok(true)
        }
        Command::Prove { list, short, form, name } => prove_claims(list, short, form, name),
    }
}

fn run(arguments: &RunArguments, form: Form) -> CommandResult<bool> {
    let loaded = load_scenario(&arguments.scenario, &arguments.set)?;
    let policy: Policy = arguments.policy.parse()?;
    let result = experiment::play(&loaded.scenario, arguments.seed, policy);
    let breaches = result.breaches.clone();
    let outcome = Outcome::from(result);
    let run = stored_run(&loaded, arguments.seed, policy, outcome.clone());
    store_runs(vec![run.clone()])?;
    if form.json {
        print_json(&run)?;
    } else {
        println!("{}", markdown(["figure", "value"], figure_rows(&outcome.figures)));
        for breach in breaches {
            println!("rule breached: {breach}");
        }
    }
    Ok(outcome.breaches == 0)
}

fn write_report(arguments: &RunArguments, out: &Path) -> CommandResult<bool> {
    let loaded = load_scenario(&arguments.scenario, &arguments.set)?;
    let policy: Policy = arguments.policy.parse()?;
    let result = experiment::play(&loaded.scenario, arguments.seed, policy);
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, report::page(&loaded.scenario, arguments.seed, &policy.to_string(), &result))?;
    println!("{}", out.display());
    Ok(true)
}

fn trace(arguments: &RunArguments, client: u64) -> CommandResult<bool> {
    let loaded = load_scenario(&arguments.scenario, &arguments.set)?;
    let policy: Policy = arguments.policy.parse()?;
    let make_decider = move |settings, seed, now| policy.make(settings, seed, now);
    let result = World::new(&loaded.scenario, arguments.seed, &make_decider).trace(client).play();
    if result.trace.is_empty() {
        return Err(
            format!("there is no client {client}: {} clients arrived", result.statistics.arrived).into()
        );
    }
    result.trace.iter().for_each(|line| println!("{line}"));
    Ok(true)
}

fn up(length: Option<Duration>, rate: f64, form: Form) -> CommandResult<bool> {
    let summary = live::demo::run_demo(live::demo::Options { length, rate })?;
    if form.json {
        print_json(&summary)?;
    } else {
        println!(
            "\nsent {}: served {}, refused {}, failed {}, unanswered {}; p50 {:.1} ms, p99 {:.1} ms; {}",
            summary.sent,
            summary.served,
            summary.refused,
            summary.failed,
            summary.unanswered,
            summary.p50_ms,
            summary.p99_ms,
            if summary.stopped_well {
                "the program stopped with all requests answered"
            } else {
                "the program did not stop cleanly"
            }
        );
    }
    Ok(summary.stopped_well && summary.unanswered == 0)
}

fn prove_claims(list: bool, short: bool, form: Form, name: Option<String>) -> CommandResult<bool> {
    let Some(name) = name.filter(|_| !list) else {
        prove::PROOFS.iter().for_each(|p| println!("{:16} {}", p.name, p.about));
        return Ok(true);
    };
    let proof = prove::PROOFS.iter().find(|p| p.name == name);
    let proof = proof
        .ok_or_else(|| format!("there is no set of claims named {name}; `prove --list` lists them"))?;
    let claims = (proof.run)(short);
    if form.json {
        print_json(&claims)?;
    } else {
        println!("{}", prove::table(&claims));
    }
    Ok(claims.iter().all(|c| c.kept))
}
