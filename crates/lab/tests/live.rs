//! The rig on sockets, with the real program in a process of its own.
#![allow(missing_docs)]

use std::process::Command;

/// Guards against: a first command that does not work, requests lost, and anything left running behind it.
#[test]
fn up_serves_what_it_sends_and_ends_by_itself() {
    let up = Command::new(env!("CARGO_BIN_EXE_cottonpoint-lab"))
        .args(["up", "--for", "2s", "--rate", "60", "--json"])
        .output()
        .expect("it starts");
    let said = String::from_utf8_lossy(&up.stdout);
    assert!(up.status.success(), "{said}{}", String::from_utf8_lossy(&up.stderr));
    let json = said.find('{').map(|at| &said[at..]).unwrap_or_default();
    let summary: serde_json::Value = serde_json::from_str(json).expect("a summary");
    let figure = |name: &str| summary[name].as_u64().unwrap_or(0);
    assert!(figure("sent") > 50, "{summary}");
    let answered = figure("served") + figure("refused") + figure("failed");
    assert_eq!(answered, figure("sent"), "one answer for each: {summary}");
    assert_eq!(summary["stopped_well"], true);
}
