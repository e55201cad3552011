//! What each sub-command does.

mod compare;
mod gate;
mod hunt;
mod league;
mod results;
mod scale;

use crate::{Command, Day, Form};
use cottonpoint_file::TomlText;
use cottonpoint_lab::experiment::{self, Outcome};
use cottonpoint_lab::live;
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::prove;
use cottonpoint_lab::report::{self, figure_rows, markdown};
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::soak::Arguments;
use cottonpoint_lab::store::{Name, Row, Store, version};
use cottonpoint_lab::world::World;
use serde::Serialize;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

type Done<T> = Result<T, Box<dyn Error>>;

const SCENARIOS: &str = "lab/scenarios";
const RESULTS: &str = "lab/results";

/// A scenario with the text that it was read from.
struct Read {
    text: TomlText,
    scenario: Scenario,
}

fn read(name: &str, set: &[(String, String)]) -> Done<Read> {
    let mut path = PathBuf::from(name);
    if !path.exists() {
        path = Path::new(SCENARIOS).join(name).with_extension("toml");
    }
    let text = TomlText::load(&path)?;
    let text = if set.is_empty() { text } else { text.with_overrides(set)? };
    Ok(Read { scenario: Scenario::read(&text)?, text })
}

fn shipped() -> Done<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(SCENARIOS).map_err(|e| format!("{SCENARIOS}: {e}"))? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "toml") {
            names.extend(path.file_stem().map(|n| n.to_string_lossy().into_owned()));
        }
    }
    names.sort_unstable();
    Ok(names)
}

fn row(read: &Read, seed: u64, policy: Policy, outcome: Outcome) -> Row {
    let digest = format!("{:016x}", Scenario::digest(&read.text));
    let (code, scenario, policy) = (version(), read.scenario.name.clone(), policy.to_string());
    Row { name: Name { code, scenario, digest, policy, seed }, outcome }
}

fn keep(rows: Vec<Row>) -> Done<()> {
    Ok(Store::open(Path::new(RESULTS))?.keep(rows)?)
}

fn print_json(value: &impl Serialize) -> Done<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Carries a command out; false where a bound was not kept.
pub(crate) fn carry_out(command: Command) -> Done<bool> {
    match command {
        Command::Run { day, form } => run(&day, form),
        Command::Compare { seeds, set, form, a, b, scenarios } => {
            compare::policies(&a, &b, &scenarios, &set, seeds, form)
        }
        Command::Sweep { seeds, policy, set, form, scenario } => {
            compare::sweep(&scenario, &policy, &set, seeds, form)
        }
        Command::Hunt { tries, policy, out, form, scenario } => {
            hunt::hunt(&scenario, &policy, tries, &out, form)
        }
        Command::Report { out, day } => write_report(&day, &out),
        Command::Trace { day, client } => trace(&day, client),
        Command::League { seeds, out, policy, scenarios } => {
            league::league(&scenarios, &policy, seeds, &out)
        }
        Command::Gate { seeds, policy, set, form, scenarios } => {
            gate::gate(&scenarios, &policy, &set, seeds, form)
        }
        Command::Results { what, form } => results::results(what, form),
        Command::Up { length, rate, form } => up(length.map(Into::into), rate, form),
        Command::Soak { seed, seeds, short, program, logs } => {
            Ok(cottonpoint_lab::soak::run(&Arguments { seed, seeds, short, program, logs })?)
        }
        Command::Scale { short, total, real, out } => scale::scale(short, total, real, out),
        Command::ScaleHost { role } => scale::host(role),
        Command::Program(_) | Command::ScaleSidecar(_) => Err("the program is started elsewhere".into()),
        Command::Scenarios => {
            for name in shipped()? {
                println!("{name:24} {}", read(&name, &[])?.scenario.about);
            }
            Ok(true)
        }
        Command::Prove { list, short, form, name } => prove_claims(list, short, form, name),
    }
}

fn run(day: &Day, form: Form) -> Done<bool> {
    let read = read(&day.scenario, &day.set)?;
    let policy: Policy = day.policy.parse()?;
    let result = experiment::play(&read.scenario, day.seed, policy);
    let breaches = result.breaches.clone();
    let outcome = Outcome::from(result);
    let row = row(&read, day.seed, policy, outcome.clone());
    keep(vec![row.clone()])?;
    if form.json {
        print_json(&row)?;
    } else {
        println!("{}", markdown(["figure", "value"], figure_rows(&outcome.figures)));
        for breach in breaches {
            println!("broken: {breach}");
        }
    }
    Ok(outcome.breaches == 0)
}

fn write_report(day: &Day, out: &Path) -> Done<bool> {
    let read = read(&day.scenario, &day.set)?;
    let policy: Policy = day.policy.parse()?;
    let result = experiment::play(&read.scenario, day.seed, policy);
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, report::page(&read.scenario, day.seed, &policy.to_string(), &result))?;
    println!("{}", out.display());
    Ok(true)
}

fn trace(day: &Day, client: u64) -> Done<bool> {
    let read = read(&day.scenario, &day.set)?;
    let policy: Policy = day.policy.parse()?;
    let make_decider = move |settings, seed, now| policy.make(settings, seed, now);
    let result = World::new(&read.scenario, day.seed, &make_decider).trace(client).play();
    if result.trace.is_empty() {
        return Err(format!("no client {client} came; there were {}", result.statistics.arrived).into());
    }
    result.trace.iter().for_each(|line| println!("{line}"));
    Ok(true)
}

fn up(length: Option<Duration>, rate: f64, form: Form) -> Done<bool> {
    let s = live::up::up(live::up::Terms { length, rate })?;
    if form.json {
        print_json(&s)?;
    } else {
        println!(
            "\nsent {}: served {}, refused {}, failed {}, unanswered {}; p50 {:.1} ms, p99 {:.1} ms; the program {}",
            s.sent,
            s.served,
            s.refused,
            s.failed,
            s.unanswered,
            s.p50_ms,
            s.p99_ms,
            if s.stopped_well { "stopped with all answered" } else { "did not stop well" }
        );
    }
    Ok(s.stopped_well && s.unanswered == 0)
}

fn prove_claims(list: bool, short: bool, form: Form, name: Option<String>) -> Done<bool> {
    let Some(name) = name.filter(|_| !list) else {
        prove::PROOFS.iter().for_each(|p| println!("{:16} {}", p.name, p.about));
        return Ok(true);
    };
    let proof = prove::PROOFS.iter().find(|p| p.name == name);
    let proof = proof.ok_or_else(|| format!("nothing is called {name}; see prove --list"))?;
    let claims = (proof.run)(short);
    if form.json {
        print_json(&claims)?;
    } else {
        println!("{}", prove::table(&claims));
    }
    Ok(claims.iter().all(|c| c.kept))
}
