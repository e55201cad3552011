//! The `up` command on loopback sockets, with the real program in a process of its own.
#![allow(missing_docs)]

use std::process::Command;

/// Guards against a demonstration command that does not work, loses requests, or leaves processes
/// running.
#[test]
fn up_command_answers_each_request_and_exits_after_its_duration() {
    let output = Command::new(env!("CARGO_BIN_EXE_cottonpoint-lab"))
        .args(["up", "--for", "2s", "--rate", "60", "--json"])
        .output()
        .expect("the command starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}{}", String::from_utf8_lossy(&output.stderr));
    let json = stdout.find('{').map(|at| &stdout[at..]).unwrap_or_default();
    let summary: serde_json::Value = serde_json::from_str(json).expect("a summary");
    let count = |name: &str| summary[name].as_u64().unwrap_or(0);
    assert!(count("sent") > 50, "{summary}");
    let answered = count("served") + count("refused") + count("failed");
    assert_eq!(answered, count("sent"), "one answer for each: {summary}");
    assert_eq!(summary["stopped_well"], true);
}
