//! Scenario files and stored results: faults are reported with their location, and no result is lost.
#![allow(missing_docs)]

use cottonpoint_lab::experiment::{Outcome, play};
use cottonpoint_lab::policies::Policy;
use cottonpoint_lab::scenario::Scenario;
use cottonpoint_lab::store::{RunKey, Store, StoredRun};
use insta::assert_snapshot;
use std::path::Path;

fn calm() -> String {
    std::fs::read_to_string("../../lab/scenarios/gallery-calm.toml").expect("shipped with the project")
}

#[test]
fn every_shipped_scenario_is_valid_and_named_after_its_file() {
    let mut count = 0;
    let folders =
        ["../../lab/scenarios", "../../lab/hunted"].map(|f| std::fs::read_dir(f).expect("shipped"));
    for entry in folders.into_iter().flatten() {
        let path = entry.expect("a readable directory").path();
        if path.ends_with("kept.toml") {
            continue;
        }
        let scenario = Scenario::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(Some(scenario.name.as_str()), path.file_stem().and_then(|n| n.to_str()));
        count += 1;
    }
    assert!(count >= 10);
}

/// Guards against an invalid value that is accepted, or rejected without its location in the file.
#[test]
fn fault_message_names_file_line_and_key() {
    let calm = calm();
    let mut messages = String::new();
    for (from, to) in [
        ("length = \"40s\"", "length = 40"),
        ("length = \"40s\"", "length = \"40 parsecs\""),
        ("length = \"40s\"", "length = \"1s\""),
        ("swing = 0.12", "swing = 0.12\nswung = 1"),
        ("of_capacity = [0.25, 0.39]", "of_capacity = [0.39, 0.25]"),
        ("of_capacity = [0.25, 0.39]", "of_capacity = \"half\""),
        ("of_capacity = [0.25, 0.39]", "of_capacity = 0.3\nrate = 5"),
        ("worth = 8", "worth = -8"),
        ("effect = \"keyed\"", "effect = \"odd\""),
        ("cold_for = [\"10s\", \"24s\"]", "cold_for = [\"24s\", \"10s\"]"),
        ("sidecars = [1, 2]", ""),
        ("work = [\"110ms\", \"200ms\"]", "work = \"0s\""),
    ] {
        assert!(calm.contains(from), "{from}");
        let fault = Scenario::parse("calm.toml", &calm.replacen(from, to, 1)).expect_err(to).to_string();
        assert_eq!(fault.lines().count(), 1, "{fault}");
        messages += &format!("{fault}\n");
    }
    let trouble = calm.clone() + "\n[[trouble]]\nwhat = \"slow\"\nat = \"1s\"\nfor = \"2s\"\ntier = 3\n";
    messages += &Scenario::parse("calm.toml", &trouble).expect_err("no such tier").to_string();
    assert_snapshot!(messages);
}

/// Guards against a stored run that is lost or duplicated, and a damaged store that is read as an
/// empty one.
#[test]
fn stored_runs_are_replaced_by_key_and_read_back() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("kept-runs");
    let _ = std::fs::remove_dir_all(&folder);
    let scenario = Scenario::parse("calm.toml", &calm()).expect("good");
    let key = |seed| RunKey {
        code: "0.1.0-test".into(),
        scenario: "calm".into(),
        digest: "0".into(),
        policy: "ours".into(),
        seed,
    };
    let row =
        |seed| StoredRun { key: key(seed), outcome: Outcome::from(play(&scenario, seed, Policy::Ours)) };
    let (one, two) = (row(1), row(2));
    let open = || Store::open(&folder);
    open().and_then(|mut s| s.keep([one.clone(), two.clone()])).expect("kept");
    open().and_then(|mut s| s.keep([one.clone()])).expect("kept again");
    assert_eq!(open().expect("read").rows().collect::<Vec<_>>(), [one, two]);
    std::fs::write(folder.join("runs.jsonl"), "{\"code\":\n").expect("written");
    let fault = open().expect_err("damaged").to_string();
    assert!(fault.contains("runs.jsonl:1: "), "{fault}");
}
