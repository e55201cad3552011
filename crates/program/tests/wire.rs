//! The adapter on bytes: what it reads and writes, and how it reports malformed input.
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

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cottonpoint-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read everything: some tests check that.
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

fn select_instance(instance: u16) -> Vec<u8> {
    record(26, &instance.to_le_bytes())
}

fn new_instance(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    record(20, &[&7u64.to_le_bytes()[..], &length, settings.as_bytes()].concat())
}

fn list_entry(last: u8) -> Vec<u8> {
    let mut bytes = vec![0, 0]; // zone
    bytes.extend(1f32.to_le_bytes());
    bytes.extend([0, 0, 1, 0, 0]); // kind, ready, cell
    bytes.extend([10, 0, 0, last, 0x2b, 0x23]);
    bytes.extend(0u64.to_le_bytes());
    assert_eq!(bytes.len(), 25);
    bytes
}

fn numbered_list(slot: u32, entries: &[Vec<u8>]) -> Vec<u8> {
    let count = (entries.len() as u32).to_le_bytes();
    record(27, &[&slot.to_le_bytes()[..], &count, &entries.concat()].concat())
}

fn discovery_update(kind: u8, slot: u32) -> Vec<u8> {
    record(21, &[&[kind][..], &slot.to_le_bytes(), &1u32.to_le_bytes()].concat())
}

fn request_arrived(id: u64, class: u8, deadline: u64) -> Vec<u8> {
    let mut bytes = id.to_le_bytes().to_vec();
    bytes.extend([class, 0, 0]);
    bytes.extend(0u64.to_le_bytes());
    bytes.extend(deadline.to_le_bytes());
    bytes.extend(0u64.to_le_bytes());
    bytes.push(0);
    record(25, &bytes)
}

fn initial_records(settings: &str) -> Vec<Vec<u8>> {
    vec![
        select_instance(3),
        new_instance(settings),
        numbered_list(0, &[list_entry(1)]),
        discovery_update(2, 0),
    ]
}

fn assert_rejected(input: &[u8], expected: &str) {
    let output = run_adapter(input);
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert!(!output.status.success(), "{expected}: it must not exit with 0");
    assert_eq!(text.lines().count(), 1, "one plain line: {text}");
    assert!(text.contains(expected), "{text} does not mention {expected}");
}

#[test]
fn empty_batch_gets_empty_reply_and_end_of_input_exits() {
    let output = run_adapter(&batch(5, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.stderr.is_empty());
}

#[test]
fn request_is_sent_with_exact_bytes() {
    let mut records = initial_records(SETTINGS);
    records.push(request_arrived(77, 0, 4_000_000_000));
    let output = run_adapter(&batch(1_000_000_000, &records));
    let mut expected = record(92, &3u16.to_le_bytes());
    let send = [&77u64.to_le_bytes()[..], &[10, 0, 0, 1, 0x2b, 0x23], &2_000_000_000u64.to_le_bytes()];
    expected.extend(record(80, &send.concat()));
    let header = [&2u32.to_le_bytes()[..], &(expected.len() as u32).to_le_bytes()].concat();
    assert_eq!(output.stdout, [header, expected].concat());
}

#[test]
fn unknown_events_settings_and_trailing_fields_are_ignored() {
    let mut records = initial_records(SETTINGS);
    records.insert(2, record(200, &[1, 2, 3]));
    let mut request = request_arrived(77, 0, 4_000_000_000);
    request.extend([9, 9]);
    let longer = (request.len() as u32 - 5).to_le_bytes();
    request[1..5].copy_from_slice(&longer);
    records.push(request);
    let output = run_adapter(&batch(1_000_000_000, &records));
    assert!(output.status.success());
    assert_eq!(output.stdout[0], 2, "the request is still sent");
}

#[test]
fn list_number_refers_to_latest_list_before_the_event() {
    let mut records = initial_records(SETTINGS);
    records.extend([
        numbered_list(0, &[list_entry(2)]),
        discovery_update(1, 0),
        request_arrived(1, 0, 4_000_000_000),
    ]);
    let output = run_adapter(&batch(1_000_000_000, &records));
    let sent = &output.stdout[8 + 7..];
    assert_eq!((sent[0], &sent[13..19]), (80, &[10, 0, 0, 2, 0x2b, 0x23][..]));
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    assert_rejected(&[1, 2], "within a frame's length");
    assert_rejected(&100u32.to_le_bytes(), "within a frame");
    assert_rejected(&u32::MAX.to_le_bytes(), "too long");
    assert_rejected(&batch(1, &[vec![26, 2, 0, 0, 0, 3]]), "truncated");
    assert_rejected(&batch(1, &[record(26, &[3])]), "TARGET_INSTANCE");
    assert_rejected(&[4, 0, 0, 0, 1, 1, 1, 1], "batch");
    assert_rejected(&batch(1, &[select_instance(9), request_arrived(1, 0, 5)]), "unknown instance 9");
    assert_rejected(&batch(1, &[request_arrived(1, 0, 5)]), "no instance");
    assert_rejected(&batch(1, &[numbered_list(16, &[])]), "roster number 16");
    let short = record(27, &[&0u32.to_le_bytes()[..], &u32::MAX.to_le_bytes(), &list_entry(1)].concat());
    assert_rejected(&batch(1, &[short]), "ROSTER");
    let mut state = list_entry(1);
    state[8] = 7;
    assert_rejected(&batch(1, &[numbered_list(0, &[state])]), "endpoint state 7");
    assert_rejected(
        &batch(1, &[select_instance(1), new_instance(SETTINGS), discovery_update(9, 0)]),
        "list kind 9",
    );
    assert_rejected(
        &batch(1, &[select_instance(1), new_instance(SETTINGS), discovery_update(0, 77)]),
        "roster number 77",
    );
}

/// Guards against a record layout shifted by a byte, and a panic on input that is too short.
#[test]
fn truncated_record_is_reported_by_name() {
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
            assert_rejected(
                &batch(1, &[select_instance(1), record(code, &vec![0; short])]),
                &format!("truncated {name}"),
            );
        }
        let whole = run_adapter(&batch(1, &[select_instance(1), record(code, &vec![0; bytes])]));
        let text = String::from_utf8(whole.stderr).expect("plain text");
        assert!(
            !text.contains("truncated") && whole.status.code().is_some_and(|c| c < 2),
            "{name}: {text}"
        );
    }
    // A report that declares three values and has two.
    let report = [&[0; 26][..], &[3], &[0; 8]].concat();
    assert_rejected(&batch(1, &[select_instance(1), record(18, &report)]), "truncated DONE");
}

#[test]
fn missing_or_unreadable_setting_is_reported_by_key() {
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
        assert_rejected(&batch(1, &[select_instance(1), new_instance(&without)]), key);
        assert_rejected(
            &batch(1, &[select_instance(1), new_instance(&format!("{without}{key}=?\n"))]),
            key,
        );
    }
}

#[test]
fn killed_instance_is_removed_and_can_be_created_again() {
    let mut records = initial_records(SETTINGS);
    records.push(record(24, &[]));
    records.extend(initial_records(SETTINGS));
    records.push(request_arrived(5, 0, 4_000_000_000));
    let output = run_adapter(&batch(1_000_000_000, &records));
    assert!(output.status.success());
    assert_eq!(output.stdout[0], 2);
    let mut records = initial_records(SETTINGS);
    records.push(record(24, &[]));
    records.push(request_arrived(5, 0, 4_000_000_000));
    assert_rejected(&batch(1_000_000_000, &records), "unknown instance 3");
}
