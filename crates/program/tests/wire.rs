//! The adapter on bytes: what it reads, what it writes, what it makes of bad input.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "me=0
siblings=1
my_zone=0
discovery=pushed
a_key_nobody_knows=1,2,3
telemetry.how=piggyback
telemetry.fields=utilization,throughput
lanes.count=1
lanes.0.aim_ns=1000000000
lanes.0.give_up_ns=3000000000
lanes.0.semantics=read_like
lanes.0.worth=2.0
limits.max_attempts=3
limits.may_duplicate=false
limits.cancelling=true
limits.probes=false
obligations.cold_from=0.3
obligations.warm_after_ns=5000000000
obligations.fall_multiple=3.0
obligations.tip_after_ns=2000000000
";

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cottonpoint-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may leave before it has read all: that is the point of some tests.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("it ends")
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = [&now.to_le_bytes()[..], &records.concat()].concat();
    [&(body.len() as u32).to_le_bytes()[..], &body].concat()
}

fn target(instance: u16) -> Vec<u8> {
    record(26, &instance.to_le_bytes())
}

fn start(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    record(20, &[&7u64.to_le_bytes()[..], &length, settings.as_bytes()].concat())
}

fn entry(last: u8) -> Vec<u8> {
    let mut e = vec![0, 0]; // zone
    e.extend(1f32.to_le_bytes());
    e.extend([0, 0, 1, 0, 0]); // kind, ready, cell
    e.extend([10, 0, 0, last, 0x2b, 0x23]);
    e.extend(0u64.to_le_bytes());
    assert_eq!(e.len(), 25);
    e
}

fn roster(slot: u32, entries: &[Vec<u8>]) -> Vec<u8> {
    let count = (entries.len() as u32).to_le_bytes();
    record(27, &[&slot.to_le_bytes()[..], &count, &entries.concat()].concat())
}

fn members(kind: u8, slot: u32) -> Vec<u8> {
    record(21, &[&[kind][..], &slot.to_le_bytes(), &1u32.to_le_bytes()].concat())
}

fn ingress(id: u64, class: u8, due: u64) -> Vec<u8> {
    let mut f = id.to_le_bytes().to_vec();
    f.extend([class, 0, 0]);
    f.extend(0u64.to_le_bytes());
    f.extend(due.to_le_bytes());
    f.extend(0u64.to_le_bytes());
    f.push(0);
    record(25, &f)
}

fn opening(settings: &str) -> Vec<Vec<u8>> {
    vec![target(3), start(settings), roster(0, &[entry(1)]), members(2, 0)]
}

fn complains(input: &[u8], about: &str) {
    let output = play(input);
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert!(!output.status.success(), "{about}: it must not exit with 0");
    assert_eq!(text.lines().count(), 1, "one plain line: {text}");
    assert!(text.contains(about), "{text} does not speak of {about}");
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_it() {
    let output = play(&batch(5, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.stderr.is_empty());
}

#[test]
fn a_call_is_sent_byte_for_byte() {
    let mut records = opening(SETTINGS);
    records.push(ingress(77, 0, 4_000_000_000));
    let output = play(&batch(1_000_000_000, &records));
    let mut expected = record(92, &3u16.to_le_bytes());
    let send = [&77u64.to_le_bytes()[..], &[10, 0, 0, 1, 0x2b, 0x23], &2_000_000_000u64.to_le_bytes()];
    expected.extend(record(80, &send.concat()));
    let header = [&2u32.to_le_bytes()[..], &(expected.len() as u32).to_le_bytes()].concat();
    assert_eq!(output.stdout, [header, expected].concat());
}

#[test]
fn unknown_events_settings_and_trailing_fields_are_passed_over() {
    let mut records = opening(SETTINGS);
    records.insert(2, record(200, &[1, 2, 3]));
    let mut call = ingress(77, 0, 4_000_000_000);
    call.extend([9, 9]);
    let longer = (call.len() as u32 - 5).to_le_bytes();
    call[1..5].copy_from_slice(&longer);
    records.push(call);
    let output = play(&batch(1_000_000_000, &records));
    assert!(output.status.success());
    assert_eq!(output.stdout[0], 2, "it still sends the call");
}

#[test]
fn a_roster_number_is_resolved_in_the_order_of_events() {
    let mut records = opening(SETTINGS);
    records.extend([roster(0, &[entry(2)]), members(1, 0), ingress(1, 0, 4_000_000_000)]);
    let output = play(&batch(1_000_000_000, &records));
    let sent = &output.stdout[8 + 7..];
    assert_eq!((sent[0], &sent[13..19]), (80, &[10, 0, 0, 2, 0x2b, 0x23][..]));
}

#[test]
fn what_is_malformed_gets_one_plain_line() {
    complains(&[1, 2], "within a frame's length");
    complains(&100u32.to_le_bytes(), "within a frame");
    complains(&u32::MAX.to_le_bytes(), "too long");
    complains(&batch(1, &[vec![26, 2, 0, 0, 0, 3]]), "truncated");
    complains(&batch(1, &[record(26, &[3])]), "TARGET_INSTANCE");
    complains(&[4, 0, 0, 0, 1, 1, 1, 1], "batch");
    complains(&batch(1, &[target(9), ingress(1, 0, 5)]), "unknown instance 9");
    complains(&batch(1, &[ingress(1, 0, 5)]), "no instance");
    complains(&batch(1, &[roster(16, &[])]), "roster number 16");
    let short = record(27, &[&0u32.to_le_bytes()[..], &u32::MAX.to_le_bytes(), &entry(1)].concat());
    complains(&batch(1, &[short]), "ROSTER");
    let mut state = entry(1);
    state[8] = 7;
    complains(&batch(1, &[roster(0, &[state])]), "endpoint state 7");
    complains(&batch(1, &[target(1), start(SETTINGS), members(9, 0)]), "list kind 9");
    complains(&batch(1, &[target(1), start(SETTINGS), members(0, 77)]), "roster number 77");
}

/// Guards against: a record's layout that has moved by a byte, and short input that ends in a panic.
#[test]
fn every_record_has_its_length_and_a_shorter_one_is_named() {
    for (code, bytes, name) in [
        (16, 8, "HEADERS"),
        (18, 27, "DONE"),
        (19, 8, "LAPSED"),
        (20, 12, "NEW_INSTANCE"),
        (21, 5, "DISCOVERY"),
        (22, 8, "BELL"),
        (23, 17, "ECHO"),
        (25, 36, "INGRESS"),
        (26, 2, "TARGET_INSTANCE"),
        (27, 8, "ROSTER"),
    ] {
        for short in 0..bytes {
            complains(&batch(1, &[target(1), record(code, &vec![0; short])]), &format!("truncated {name}"));
        }
        let whole = play(&batch(1, &[target(1), record(code, &vec![0; bytes])]));
        let said = String::from_utf8(whole.stderr).expect("plain text");
        assert!(
            !said.contains("truncated") && whole.status.code().is_some_and(|c| c < 2),
            "{name}: {said}"
        );
    }
    // A report of three values that brings two.
    let report = [&[0; 26][..], &[3], &[0; 8]].concat();
    complains(&batch(1, &[target(1), record(18, &report)]), "truncated DONE");
}

#[test]
fn a_needed_setting_that_is_missing_or_unreadable_is_named() {
    for key in [
        "me",
        "siblings",
        "my_zone",
        "discovery",
        "telemetry.how",
        "lanes.0.aim_ns",
        "lanes.0.semantics",
        "limits.max_attempts",
        "obligations.cold_from",
    ] {
        let without: String = SETTINGS
            .lines()
            .filter(|l| !l.starts_with(&format!("{key}=")))
            .map(|l| format!("{l}\n"))
            .collect();
        complains(&batch(1, &[target(1), start(&without)]), key);
        complains(&batch(1, &[target(1), start(&format!("{without}{key}=?\n"))]), key);
    }
}

#[test]
fn a_killed_instance_is_forgotten_and_may_start_anew() {
    let mut records = opening(SETTINGS);
    records.push(record(24, &[]));
    records.extend(opening(SETTINGS));
    records.push(ingress(5, 0, 4_000_000_000));
    let output = play(&batch(1_000_000_000, &records));
    assert!(output.status.success());
    assert_eq!(output.stdout[0], 2);
    let mut records = opening(SETTINGS);
    records.push(record(24, &[]));
    records.push(ingress(5, 0, 4_000_000_000));
    complains(&batch(1_000_000_000, &records), "unknown instance 3");
}
