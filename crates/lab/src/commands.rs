//! What each sub-command does.

use crate::{Command, Day, Form, ResultsCommand};
use cottonpoint_file::Text;
use cottonpoint_lab::experiment::{self, Outcome, Task, compare, play_all};
use cottonpoint_lab::live;
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::prove;
use cottonpoint_lab::report::{self, figure_rows, markdown};
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::store::{Name, Row, Store, version};
use cottonpoint_lab::world::World;
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

type Done<T> = Result<T, Box<dyn Error>>;

const SCENARIOS: &str = "lab/scenarios";
const RESULTS: &str = "lab/results";

/// A scenario with the text that it was read from.
struct Read {
    text: Text,
    scenario: Scenario,
}

fn read(name: &str, set: &[(String, String)]) -> Done<Read> {
    let mut path = PathBuf::from(name);
    if !path.exists() {
        path = Path::new(SCENARIOS).join(name).with_extension("toml");
    }
    let text = Text::load(&path)?;
    let text = if set.is_empty() { text } else { text.changed(set)? };
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
            compare_policies(&a, &b, &scenarios, &set, seeds, form)
        }
        Command::Sweep { seeds, policy, set, form, scenario } => {
            sweep(&scenario, &policy, &set, seeds, form)
        }
        Command::Hunt { tries, policy, out, form, scenario } => hunt(&scenario, &policy, tries, &out, form),
        Command::Report { out, day } => write_report(&day, &out),
        Command::Trace { day, client } => trace(&day, client),
        Command::League { seeds, out, policy, scenarios } => league(&scenarios, &policy, seeds, &out),
        Command::Results { what, form } => results(what, form),
        Command::Up { length, rate, form } => up(length.map(Into::into), rate, form),
        Command::Program(_) => Err("the program is started elsewhere".into()),
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
    let played = experiment::play(&read.scenario, day.seed, policy);
    let breaches = played.breaches.clone();
    let outcome = Outcome::from(played);
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

fn compare_policies(
    a: &str,
    b: &str,
    scenarios: &[String],
    set: &[(String, String)],
    seeds: u64,
    form: Form,
) -> Done<bool> {
    let (a, b): (Policy, Policy) = (a.parse()?, b.parse()?);
    let mut found = BTreeMap::new();
    let mut rows = Vec::new();
    for name in scenarios {
        let read = read(name, set)?;
        let of = |policy| (0..seeds).map(move |seed| (seed, policy));
        let days: Vec<(u64, Policy)> = of(a).chain(of(b)).collect();
        let tasks: Vec<Task<'_>> =
            days.iter().map(|&(seed, policy)| Task { scenario: &read.scenario, seed, policy }).collect();
        let outcomes = play_all(&tasks, name);
        let (first, second) = outcomes.split_at(seeds as usize);
        let pairs: Vec<(f64, f64)> =
            first.iter().zip(second).map(|(a, b)| (a.figures.score, b.figures.score)).collect();
        let breaches = |o: &[Outcome]| o.iter().map(|o| o.breaches).sum::<u64>();
        found.insert(name.clone(), (compare(&pairs), breaches(first), breaches(second)));
        rows.extend(days.iter().zip(&outcomes).map(|(&(s, p), o)| row(&read, s, p, o.clone())));
    }
    keep(rows)?;
    if form.json {
        print_json(&found)?;
        return Ok(true);
    }
    let header = ["scenario", "A", "B", "A less B", "95% interval", "A wins", "breaches A, B", "says"];
    let lines = found.iter().map(|(name, (c, broken_a, broken_b))| {
        let says = match (c.says_something, c.difference > 0.0) {
            (false, _) => "nothing",
            (true, true) => "A is better",
            (true, false) => "B is better",
        };
        vec![
            name.clone(),
            format!("{:.3}", c.a),
            format!("{:.3}", c.b),
            format!("{:+.3}", c.difference),
            format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
            format!("{:.0}%", c.wins * 100.0),
            format!("{broken_a}, {broken_b}"),
            says.to_owned(),
        ]
    });
    println!("A = {a}, B = {b}, {seeds} seeds\n\n{}", markdown(header, lines));
    Ok(true)
}

fn sweep(scenario: &str, policy: &str, set: &str, seeds: u64, form: Form) -> Done<bool> {
    let policy: Policy = policy.parse()?;
    let (key, values) = set.split_once('=').ok_or("--set must be KEY=A,B,C")?;
    let mut lines = Vec::new();
    let mut found = BTreeMap::new();
    for value in values.split(',') {
        let read = read(scenario, &[(key.to_owned(), value.to_owned())])?;
        let tasks: Vec<Task<'_>> =
            (0..seeds).map(|seed| Task { scenario: &read.scenario, seed, policy }).collect();
        let outcomes = play_all(&tasks, value);
        let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
        let score = mean(&|o| o.figures.score);
        let spread = libm::sqrt(mean(&|o| (o.figures.score - score) * (o.figures.score - score)));
        lines.push(vec![
            value.to_owned(),
            format!("{score:.3}"),
            format!("{spread:.3}"),
            format!("{:.3}", mean(&|o| o.figures.whole)),
            format!("{:.3}", mean(&|o| o.figures.refused)),
            format!("{:.2}", mean(&|o| o.figures.attempts)),
            outcomes.iter().map(|o| o.breaches).sum::<u64>().to_string(),
        ]);
        found.insert(value.to_owned(), outcomes);
    }
    if form.json {
        print_json(&found)?;
    } else {
        let header = ["value", "score", "spread", "whole", "refused", "attempts", "breaches"];
        println!("{key}, {policy}, {seeds} seeds\n\n{}", markdown(header, lines));
    }
    Ok(true)
}

/// What a hunt found.
#[derive(Serialize)]
struct Hunted {
    seed: u64,
    set: Vec<(String, String)>,
    ours: f64,
    top: f64,
    gap: f64,
    breaches: u64,
}

/// How far a policy falls below the top on a day.
fn gap(scenario: &Scenario, seed: u64, policy: Policy) -> Done<(Outcome, Outcome)> {
    let top: Policy = "top".parse()?;
    let tasks = [Task { scenario, seed, policy }, Task { scenario, seed, policy: top }];
    let mut outcomes = play_all(&tasks, "").into_iter();
    match (outcomes.next(), outcomes.next()) {
        (Some(ours), Some(top)) => Ok((ours, top)),
        _ => Err("a day was not played".into()),
    }
}

fn hunt(scenario: &str, policy: &str, tries: u64, out: &Path, form: Form) -> Done<bool> {
    let policy: Policy = policy.parse()?;
    let top: Policy = "top".parse()?;
    let base = read(scenario, &[])?;
    // Search: each try is a seed, at one of three loads; both policies meet the same day.
    let loads = [None, Some(0.45), Some(0.7)];
    let load_key = if base.scenario.load.rate.is_some() { "load.rate" } else { "load.of_capacity" };
    let mut variants = Vec::new();
    for load in loads {
        let set = match (load, base.scenario.load.rate) {
            (None, _) => Vec::new(),
            (Some(share), Some(rate)) => vec![(load_key.to_owned(), format!("{}", rate * 2.0 * share))],
            (Some(share), None) => vec![(load_key.to_owned(), format!("{share}"))],
        };
        variants.push((read(scenario, &set)?, set));
    }
    let mut tasks = Vec::new();
    for i in 0..tries {
        let scenario = &variants[i as usize % variants.len()].0.scenario;
        tasks.extend([policy, top].map(|policy| Task { scenario, seed: i, policy }));
    }
    let outcomes = play_all(&tasks, "hunting");
    let below = |pair: &[Outcome]| match pair {
        [ours, top] if ours.breaches > 0 => 10.0 + top.figures.score - ours.figures.score,
        [ours, top] => top.figures.score - ours.figures.score,
        _ => 0.0,
    };
    let worst = outcomes.chunks(2).enumerate().max_by(|a, b| below(a.1).total_cmp(&below(b.1)));
    let Some((number, pair)) = worst else { return Err("no day was tried".into()) };
    let (seed, mut set) = (number as u64, variants[number % variants.len()].1.clone());
    let wanted = below(pair) * 0.8;

    // Shrink: leave out troubles, shorten the day, halve the tiers, for as long as most of the gap stays.
    let mut text = variants[number % variants.len()].0.text.as_str().to_owned();
    let still = |text: &str| -> Done<bool> {
        let Ok(scenario) = Scenario::parse("(hunted)", text) else { return Ok(false) };
        let (ours, top) = gap(&scenario, seed, policy)?;
        Ok(below(&[ours, top]) >= wanted)
    };
    let mut trouble = 0;
    while let Some(smaller) = without_trouble(&text, trouble)? {
        if still(&smaller)? { text = smaller } else { trouble += 1 }
    }
    for key in ["length", "tier.0.servers", "tier.1.servers", "tier.2.servers"] {
        while let Some(smaller) = halved(&text, key)? {
            if !still(&smaller)? {
                break;
            }
            text = smaller;
        }
    }
    let scenario = Scenario::parse("(hunted)", &text)?;
    let (ours, best) = gap(&scenario, seed, policy)?;
    let text = format!("# Found by `hunt`: play it with --seed {seed}.\n{text}");
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, text)?;
    set.sort();
    let hunted = Hunted {
        seed,
        set,
        ours: ours.figures.score,
        top: best.figures.score,
        gap: best.figures.score - ours.figures.score,
        breaches: ours.breaches,
    };
    if form.json {
        print_json(&hunted)?;
    } else {
        println!(
            "seed {seed} of {tries} days: {policy} {:.3}, top {:.3}, {} breaches; written to {}",
            hunted.ours,
            hunted.top,
            hunted.breaches,
            out.display()
        );
    }
    Ok(true)
}

/// The text without its trouble of that number, if it has one.
fn without_trouble(text: &str, number: usize) -> Done<Option<String>> {
    let mut document: toml_edit::DocumentMut = text.parse()?;
    let Some(troubles) = document.get_mut("trouble").and_then(|t| t.as_array_of_tables_mut()) else {
        return Ok(None);
    };
    if number >= troubles.len() {
        return Ok(None);
    }
    troubles.remove(number);
    if troubles.is_empty() {
        document.remove("trouble");
    }
    Ok(Some(document.to_string()))
}

/// The text with a count or a length halved, if that leaves anything.
fn halved(text: &str, key: &str) -> Done<Option<String>> {
    let scenario = Scenario::parse("(hunted)", text)?;
    let value = if key == "length" {
        let seconds = scenario.length.seconds() / 2.0;
        (seconds >= 5.0).then(|| format!("\"{}ms\"", (seconds * 1e3) as u64))
    } else {
        let tier = key.split('.').nth(1).and_then(|t| t.parse::<usize>().ok()).unwrap_or(0);
        let servers = scenario.tiers.get(tier).map(|t| t.servers);
        servers
            .filter(|s| s.from >= 4.0)
            .map(|s| format!("[{}, {}]", (s.from / 2.0).floor(), (s.to / 2.0).floor()))
    };
    let Some(value) = value else { return Ok(None) };
    let changed = Text::new("(hunted)", text).changed(&[(key.to_owned(), value)])?;
    Ok(Some(changed.as_str().to_owned()))
}

fn write_report(day: &Day, out: &Path) -> Done<bool> {
    let read = read(&day.scenario, &day.set)?;
    let policy: Policy = day.policy.parse()?;
    let played = experiment::play(&read.scenario, day.seed, policy);
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(out, report::page(&read.scenario, day.seed, &policy.to_string(), &played))?;
    println!("{}", out.display());
    Ok(true)
}

fn trace(day: &Day, client: u64) -> Done<bool> {
    let read = read(&day.scenario, &day.set)?;
    let policy: Policy = day.policy.parse()?;
    let maker = move |settings, seed, now| policy.make(settings, seed, now);
    let played = World::new(&read.scenario, day.seed, &maker).trace(client).play();
    if played.trace.is_empty() {
        return Err(format!("no client {client} came; there were {}", played.book.arrived).into());
    }
    played.trace.iter().for_each(|line| println!("{line}"));
    Ok(true)
}

/// The policies of a league where none are named.
const LEAGUE: [&str; 12] = [
    "ours",
    "random",
    "round-robin",
    "least-out",
    "p2c",
    "p2c+aimd+budget",
    "p2c+gradient+budget",
    "peak-ewma+budget",
    "peak-ewma+gradient+budget",
    "wrr+aimd+budget",
    "prequal+aimd+budget",
    "top",
];

fn league(scenarios: &[String], policies: &[String], seeds: u64, out: &Path) -> Done<bool> {
    let scenarios = if scenarios.is_empty() { shipped()? } else { scenarios.to_vec() };
    let named = match policies.is_empty() {
        true => LEAGUE.map(str::to_owned).to_vec(),
        false => policies.to_vec(),
    };
    let policies: Vec<Policy> = named.iter().map(|n| n.parse()).collect::<Result<_, String>>()?;
    fs::create_dir_all(out)?;
    let mut scores = Vec::new();
    let mut details = String::new();
    for name in &scenarios {
        let read = read(name, &[])?;
        let mut tasks = Vec::new();
        for &policy in &policies {
            tasks.extend((0..seeds).map(|seed| Task { scenario: &read.scenario, seed, policy }));
        }
        let outcomes = play_all(&tasks, name);
        let rows = tasks.iter().zip(&outcomes).map(|(t, o)| row(&read, t.seed, t.policy, o.clone()));
        keep(rows.collect())?;
        let by_policy: Vec<&[Outcome]> = outcomes.chunks(seeds as usize).collect();
        let mean =
            |o: &[Outcome], of: &dyn Fn(&Outcome) -> f64| o.iter().map(of).sum::<f64>() / o.len() as f64;
        let score = |o: &Outcome| o.figures.score;
        scores.push((name.clone(), by_policy.iter().map(|o| mean(o, &score)).collect::<Vec<f64>>()));
        let header = [
            "policy",
            "score",
            "ours less it",
            "95% interval",
            "whole",
            "worst 10 s",
            "refused",
            "failed",
            "attempts",
            "waste",
            "p99 ms",
            "breaches",
        ];
        let lines = named.iter().zip(&by_policy).map(|(policy, o)| {
            let pairs: Vec<(f64, f64)> =
                by_policy[0].iter().zip(*o).map(|(a, b)| (score(a), score(b))).collect();
            let c = compare(&pairs);
            vec![
                policy.clone(),
                format!("{:.3}", mean(o, &score)),
                format!("{:+.3}", c.difference),
                format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
                format!("{:.3}", mean(o, &|o| o.figures.whole)),
                format!("{:.3}", mean(o, &|o| o.figures.worst_window)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.refused)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.failed)),
                format!("{:.2}", mean(o, &|o| o.figures.attempts)),
                format!("{:.1}%", 100.0 * mean(o, &|o| o.figures.waste)),
                format!("{:.0}", mean(o, &|o| o.figures.p99_ms)),
                o.iter().map(|o| o.breaches).sum::<u64>().to_string(),
            ]
        });
        details += &format!("\n## {name}\n\n{}\n\n{}\n", read.scenario.about, markdown(header, lines));
        let lines: Vec<report::Line> = named
            .iter()
            .zip(&by_policy)
            .map(|(policy, o)| {
                let mut sorted: Vec<f64> = o.iter().map(score).collect();
                sorted.sort_unstable_by(f64::total_cmp);
                (
                    policy.clone(),
                    sorted.into_iter().enumerate().map(|(i, s)| (i as f64, s.max(0.0))).collect(),
                )
            })
            .collect();
        let chart =
            report::lines(&format!("{name}: scores of the seeds, sorted"), "seeds, worst to best", &lines);
        fs::write(out.join(format!("{name}.svg")), chart)?;
        details += &format!("\n![scores of the seeds]({name}.svg)\n");
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(std::iter::once("scenario".to_owned()).chain(named.iter().cloned()));
    for (name, scores) in &scores {
        table.add_row(std::iter::once(name.clone()).chain(scores.iter().map(|s| format!("{s:.3}"))));
    }
    let page = format!(
        "# The league\n\nMean scores over {seeds} seeds, code {}. Written by `cottonpoint-lab league`; `docs/lab.md` says \
         how a score is\ncomputed, `docs/lab-lessons.md` what this teaches.\n\n{table}\n{details}",
        version()
    );
    fs::write(out.join("README.md"), page)?;
    println!("{table}\n\n{}", out.join("README.md").display());
    Ok(true)
}

fn results(what: ResultsCommand, form: Form) -> Done<bool> {
    let store = Store::open(Path::new(RESULTS))?;
    match what {
        ResultsCommand::List => {
            let mut counts = BTreeMap::new();
            for row in store.rows() {
                *counts.entry(row.name.code).or_insert(0_u64) += 1;
            }
            if form.json {
                print_json(&counts)?;
            } else {
                counts.iter().for_each(|(code, n)| println!("{code}  {n} runs"));
            }
        }
        ResultsCommand::Show { version } => {
            let rows: Vec<Row> = store.rows().filter(|r| r.name.code == version).collect();
            if form.json {
                print_json(&rows)?;
                return Ok(true);
            }
            let lines = rows.iter().map(|r| {
                let (n, f) = (&r.name, &r.outcome.figures);
                vec![n.scenario.clone(), n.policy.clone(), n.seed.to_string(), format!("{:.3}", f.score)]
            });
            println!("{}", markdown(["scenario", "policy", "seed", "score"], lines));
        }
        ResultsCommand::Diff { old, new } => {
            let mut both: BTreeMap<(String, String), Vec<(f64, f64)>> = BTreeMap::new();
            let olds: BTreeMap<Name, f64> = store
                .rows()
                .filter(|r| r.name.code == old)
                .map(|r| (Name { code: String::new(), ..r.name }, r.outcome.figures.score))
                .collect();
            for r in store.rows().filter(|r| r.name.code == new) {
                let name = Name { code: String::new(), ..r.name };
                if let Some(before) = olds.get(&name) {
                    let pair = (r.outcome.figures.score, *before);
                    both.entry((name.scenario, name.policy)).or_default().push(pair);
                }
            }
            let lines = both.iter().map(|((scenario, policy), pairs)| {
                let c = compare(pairs);
                vec![
                    scenario.clone(),
                    policy.clone(),
                    c.pairs.to_string(),
                    format!("{:.3}", c.b),
                    format!("{:.3}", c.a),
                    format!("{:+.3}", c.difference),
                    format!("{:+.3} to {:+.3}", c.interval.0, c.interval.1),
                    if c.says_something { "yes" } else { "no" }.to_owned(),
                ]
            });
            let header = [
                "scenario",
                "policy",
                "pairs",
                "old",
                "new",
                "new less old",
                "95% interval",
                "says something",
            ];
            println!("{}", markdown(header, lines));
        }
    }
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
