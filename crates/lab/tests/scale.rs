//! Tests of the scale run: its pure functions, its short form as a process, and what remains after
//! it was interrupted.
#![allow(missing_docs)]

use cottonpoint_lab::live::discovery::{Answers, Traffic};
use cottonpoint_lab::scale::arguments::{Arguments, BadArgument, Bound, Form};
use cottonpoint_lab::scale::checks;
use cottonpoint_lab::scale::fit::{error_percent, least_squares};
use cottonpoint_lab::scale::layout::{self, Layout, Region};
use cottonpoint_lab::scale::phases::{AnswerLengths, Phase, PhaseEvents, PhaseRecord};
use cottonpoint_lab::scale::procfs::{field_kib, processor_ticks, scheduled_time};
use cottonpoint_lab::scale::sample::{Descriptors, LinkTraffic, Measurement, OperatorTraffic};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const GIB_IN_KIB: u64 = 1 << 20;

fn arguments(short: bool, total: Option<usize>, real: Option<usize>) -> Arguments {
    Arguments { short, total, real, out: "unused".into() }
}

fn refused_argument(short: bool, total: Option<usize>, real: Option<usize>) -> BadArgument {
    arguments(short, total, real).plan(24 * GIB_IN_KIB).expect_err("the argument is out of bounds")
}

/// Guards against sizes other than those of the documentation, and a prediction for a size that is
/// part of the fits.
#[test]
fn the_full_form_measures_three_sizes_and_predicts_twice_the_last() {
    let plan = arguments(false, None, None).plan(24 * GIB_IN_KIB).expect("the defaults are within bounds");
    assert_eq!(plan.form, Form::Full);
    assert_eq!(plan.sizes, [50, 200, 610]);
    assert_eq!(plan.predicted, Some(1220));
    let short = arguments(true, None, None).plan(24 * GIB_IN_KIB).expect("the defaults are within bounds");
    assert_eq!((short.form, short.sizes, short.predicted), (Form::Short, vec![10, 30], None));
}

/// Guards against a run that overloads the machine, and an error that does not say what to change.
#[test]
fn arguments_out_of_bounds_are_refused_with_name_value_and_bound() {
    let bad = |argument, value, bound| BadArgument { argument, value, bound };
    assert_eq!(refused_argument(false, Some(2001), None), bad("--total", 2001, Bound::AtMost(2000)));
    assert_eq!(refused_argument(false, Some(60), None), bad("--total", 60, Bound::AtLeast(61)));
    assert_eq!(refused_argument(true, Some(201), None), bad("--total", 201, Bound::AtMost(200)));
    assert_eq!(refused_argument(true, Some(14), None), bad("--total", 14, Bound::AtLeast(15)));
    assert_eq!(refused_argument(false, None, Some(201)), bad("--real", 201, Bound::AtMost(200)));
    assert_eq!(refused_argument(false, None, Some(0)), bad("--real", 0, Bound::AtLeast(1)));
    assert_eq!(refused_argument(true, Some(20), Some(21)), bad("--real", 21, Bound::AtMostTotal(20)));
    let small = arguments(false, None, Some(200)).plan(GIB_IN_KIB).expect_err("too little memory");
    assert_eq!((small.argument, small.value), ("--real", 200));
    assert!(matches!(small.bound, Bound::Memory { half, .. } if half == GIB_IN_KIB / 2), "{small}");
    let many = arguments(false, Some(2000), Some(1)).plan(GIB_IN_KIB).expect_err("too little memory");
    assert_eq!((many.argument, many.value), ("--total", 2000));
    let message = refused_argument(false, Some(2001), None).to_string();
    assert_eq!(message, "--total 2001: must be at most 2000");
}

/// Guards against a wrong slope or residual.
#[test]
fn fit_recovers_slope_intercept_and_residual() {
    let exact = least_squares(&[(50.0, 112.0), (200.0, 412.0), (610.0, 1232.0)]).expect("a line is fitted");
    assert!((exact.slope - 2.0).abs() < 1e-12 && (exact.intercept - 12.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.residual < 1e-9, "{exact:?}");
    assert!((exact.at(1220.0) - 2452.0).abs() < 1e-9);
    // The line is off the points by -1/6, 1/3 and -1/6: the root of the mean square of these is
    // sqrt(1/18).
    let inexact = least_squares(&[(0.0, 1.0), (1.0, 2.0), (2.0, 2.0)]).expect("a line is fitted");
    assert!((inexact.slope - 0.5).abs() < 1e-12 && (inexact.intercept - 7.0 / 6.0).abs() < 1e-12);
    assert!((inexact.residual - (1.0_f64 / 18.0).sqrt()).abs() < 1e-12, "{inexact:?}");
}

/// Guards against a fit or an error percentage where the points give none.
#[test]
fn no_line_is_fitted_through_fewer_than_two_sizes() {
    assert_eq!(least_squares(&[]), None);
    assert_eq!(least_squares(&[(50.0, 1.0)]), None);
    assert_eq!(least_squares(&[(50.0, 1.0), (50.0, 2.0)]), None);
    assert_eq!(least_squares(&[(50.0, 1.0), (60.0, f64::NAN)]), None);
    assert_eq!(error_percent(110.0, 100.0), Some(10.0));
    assert_eq!(error_percent(1.0, 0.0), None);
}

/// Guards against a process name with blanks or brackets that shifts the fields of
/// `/proc/PID/stat`.
#[test]
fn processor_ticks_are_parsed_after_any_process_name() {
    let fields = "S 1 2 3 4 5 6 7 8 9 10 40 2 13 14 20 0 1";
    for name in ["cottonpoint-lab", "a b", "a) S 1 (b", ""] {
        assert_eq!(processor_ticks(&format!("77 ({name}) {fields}")), Some(42), "{name}");
    }
    for text in ["", "77 (x", "77 (x) S 1 2", "77 (x) S 1 2 3 4 5 6 7 8 9 10 many 2"] {
        assert_eq!(processor_ticks(text), None, "{text}");
    }
}

/// Guards against the waiting time of a thread that is taken for its running time.
#[test]
fn thread_time_is_the_first_field_of_schedstat() {
    assert_eq!(scheduled_time("1500 700 9\n"), Some(Duration::from_nanos(1500)));
    assert_eq!(scheduled_time(""), None);
    assert_eq!(scheduled_time("much 700 9"), None);
}

/// Guards against a value from another line or in another unit.
#[test]
fn memory_field_requires_exact_name_and_unit() {
    let rollup =
        "55c1-7ffd ---p 00000000 00:00 0 [rollup]\nRss:    1736 kB\nPss:     174 kB\nPss_Dirty: 112 kB\n";
    assert_eq!(field_kib(rollup, "Pss:"), Some(174));
    assert_eq!(field_kib("Pss_Dirty: 112 kB\n", "Pss:"), None);
    assert_eq!(field_kib("Pss: 174 MB\n", "Pss:"), None);
    assert_eq!(field_kib("Pss: kB\n", "Pss:"), None);
}

/// Guards against a region, zone or discovery stand-in without sidecars, and a rack that contains
/// real processes.
#[test]
fn sidecars_are_spread_over_regions_zones_and_discoveries() {
    let layout = Layout { sidecars: 610, real: 8 };
    assert_eq!((layout.in_region(Region::Near), layout.in_region(Region::Far)), (305, 305));
    for discovery in 0..layout::DISCOVERIES {
        for region in [Region::Near, Region::Far] {
            let there = |&s: &usize| layout::discovery(s) == discovery && layout::region(s) == region;
            assert_eq!((0..610).filter(there).count(), 61);
        }
    }
    let zones: BTreeSet<usize> = (0..610).map(layout::zone).collect();
    assert_eq!(zones, (0..2 * layout::ZONES_PER_REGION).collect());
    assert_eq!(layout::zone_names().len(), zones.len());
    let rack = layout.rack();
    assert_eq!(rack.len(), layout::RACK_SIZE);
    assert!(rack.iter().all(|&s| s >= 8 && layout::region(s) == Region::Near), "{rack:?}");
}

/// Guards against a reload that was rejected, or never happened, and passes the check.
#[test]
fn rejected_or_missing_reload_fails_the_check() {
    let figures = |accepted: u64, invalid: u64| {
        let text = format!("{{\"cfg_accepted\":{accepted},\"cfg_invalid\":{invalid}}}");
        serde_json::from_str(&text).expect("the figures are read")
    };
    assert!(checks::check_reloads(&[figures(1, 0), figures(1, 0)], 2).is_ok());
    for wrong in
        [vec![figures(1, 0)], vec![figures(1, 0), figures(0, 0)], vec![figures(1, 0), figures(1, 1)]]
    {
        assert!(checks::check_reloads(&wrong, 2).is_err(), "{wrong:?}");
    }
}

const TEN_SIDECARS: Layout = Layout { sidecars: 10, real: 2 };

fn answers(count: u64, length: u64) -> Answers {
    Answers { count, bytes: count * length }
}

/// A record without faults: ten sidecars, two of them real, that all restarted, with a short
/// partition.
fn good_record() -> PhaseRecord {
    let lengths = AnswerLengths { whole: 1600, change: 375, quiet: 85 };
    let discovery_traffic = Traffic {
        calls: 20,
        bytes_in: 1600,
        whole: answers(10, lengths.whole),
        changes: answers(10, lengths.change),
        quiet: answers(2, lengths.quiet),
        connections: 10,
        open: 10,
        up_to_date: 10,
    };
    let measured = Measurement {
        seconds: 2.0,
        roles: Vec::new(),
        discovery_traffic,
        link_traffic: LinkTraffic { connections: 5, reset: 0, bytes_there: 400, bytes_back: 10_000 },
        operator_traffic: OperatorTraffic { calls: 4, bytes_in: 150, bytes_out: 4000 },
        descriptors: Descriptors { real: 34, hollow: 17, discovery: 12, link: 24 },
    };
    let happened =
        PhaseEvents { restarts: 10, lists: 1, held_while_apart: Some(5), ..PhaseEvents::default() };
    let answer_bytes = Some(lengths);
    PhaseRecord { phase: Phase::AllRestart, seconds: 2.0, happened, measured, answer_bytes }
}

/// Puts a fault into a record.
type InjectFault = fn(&mut PhaseRecord);

/// Guards against a check that does not detect its fault.
#[test]
fn each_faulty_record_fails_the_check() {
    checks::check(&good_record(), &TEN_SIDECARS).expect("the record has no fault");
    let faults: [(&str, InjectFault); 18] = [
        ("a whole list too short", |r| r.measured.discovery_traffic.whole.bytes -= 1),
        ("an answer without changes too long", |r| r.measured.discovery_traffic.quiet.bytes += 1),
        ("a start without a whole list", |r| r.measured.discovery_traffic.whole = answers(9, 1600)),
        ("whole lists again and again", |r| r.measured.discovery_traffic.whole = answers(41, 1600)),
        ("too few polls", |r| r.measured.discovery_traffic.calls = 9),
        ("too many polls", |r| r.measured.discovery_traffic.calls = 81),
        ("a sidecar without the newest list", |r| r.measured.discovery_traffic.up_to_date = 9),
        ("more sidecars with the newest list than there are", |r| {
            r.measured.discovery_traffic.up_to_date = 11
        }),
        ("a cut link that passes the list", |r| r.happened.held_while_apart = Some(6)),
        ("connections left open", |r| r.measured.discovery_traffic.open = 21),
        ("a link that was bypassed", |r| r.measured.link_traffic.bytes_back = 0),
        ("connections reset again and again", |r| r.measured.link_traffic.reset = 31),
        ("a missing query of the operator", |r| r.measured.operator_traffic.calls = 3),
        ("descriptors of real processes", |r| r.measured.descriptors.real = 81),
        ("descriptors of hollow sidecars", |r| r.measured.descriptors.hollow = 33),
        ("descriptors of a discovery", |r| r.measured.descriptors.discovery = 29),
        ("descriptors of the link", |r| r.measured.descriptors.link = 50),
        ("no lengths of answers", |r| r.answer_bytes = None),
    ];
    for (fault, inject) in faults {
        let mut record = good_record();
        inject(&mut record);
        assert!(checks::check(&record, &TEN_SIDECARS).is_err(), "{fault}");
    }
    let new_list_phase = |count, length| {
        let mut record = good_record();
        record.phase = Phase::News;
        record.happened = PhaseEvents { lists: 1, ..PhaseEvents::default() };
        record.measured.discovery_traffic.whole = answers(0, 1600);
        record.measured.discovery_traffic.changes = answers(count, length);
        checks::check(&record, &TEN_SIDECARS)
    };
    new_list_phase(10, 375).expect("the record has no fault");
    assert!(new_list_phase(9, 375).is_err(), "one sidecar got no change");
    assert!(new_list_phase(21, 375).is_err(), "changes are sent again and again");
    assert!(new_list_phase(10, 374).is_err(), "a change too short");
}

fn scale(arguments: &[&str], out: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
    command.arg("scale").args(arguments).arg("--out").arg(out).stdin(Stdio::null());
    command
}

fn all_output(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Guards against arguments out of bounds with which the run starts anything, or exits with
/// success.
#[test]
fn argument_out_of_bounds_ends_the_run_at_once() {
    let directory = tempfile::tempdir().expect("a directory is created");
    let out = directory.path().join("out");
    let output = scale(&["--total", "5000"], &out).output().expect("the run starts");
    assert_eq!(output.status.code(), Some(1), "{}", all_output(&output));
    assert!(all_output(&output).contains("--total 5000: must be at most 2000"), "{}", all_output(&output));
    assert!(!out.exists());
}

/// Guards against a short form whose checks fail, or that does not write its results.
#[test]
fn short_form_passes_its_checks_and_writes_figures() {
    let directory = tempfile::tempdir().expect("a directory is created");
    let output = scale(&["--short", "--total", "15", "--real", "1"], directory.path())
        .output()
        .expect("the run starts");
    assert_eq!(output.status.code(), Some(0), "{}", all_output(&output));
    let text = fs::read_to_string(directory.path().join("scale.json")).expect("the figures are read");
    let report: serde_json::Value = serde_json::from_str(&text).expect("the figures are JSON");
    assert_eq!(report["form"], "short");
    assert_eq!(report["peers"], "not measured");
    let sizes: Vec<_> =
        report["sizes"].as_array().expect("there are sizes").iter().map(|s| &s["sidecars"]).collect();
    assert_eq!(sizes, [5, 15]);
    let restart = &report["sizes"][1]["phases"][4];
    assert_eq!((&restart["phase"], &restart["happened"]["restarts"]), (&"all-restart".into(), &15.into()));
    assert_eq!(restart["measured"]["discovery_traffic"]["up_to_date"], 15);
}

/// The child processes of a process.
fn children(parent: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in fs::read_dir("/proc").expect("/proc is readable").flatten() {
        let Ok(pid) = entry.file_name().to_string_lossy().parse::<u32>() else { continue };
        let stat = fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map(|(_, after_name)| after_name).unwrap_or_default();
        if after_name.split_whitespace().nth(1).and_then(|field| field.parse().ok()) == Some(parent) {
            found.push(pid);
        }
    }
    found
}

/// The start time of a process in clock ticks since boot. It tells the process from a later one
/// with the same id.
fn start_time(process: u32) -> Option<String> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, after_name) = stat.rsplit_once(')')?;
    after_name.split_whitespace().nth(19).map(str::to_owned)
}

fn exit_code_within(child: &mut Child, limit: Duration) -> Option<i32> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Some(status) = child.try_wait().expect("the run can be waited for") {
            return status.code();
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Seven stand-in processes and two real sidecars.
const PROCESSES: usize = 9;

/// A run in progress and the processes that it has started, each with its start time.
struct RunInProgress {
    run: Child,
    started: Vec<(u32, String)>,
}

impl RunInProgress {
    fn start(directory: &Path) -> RunInProgress {
        let mut command = scale(&["--short", "--real", "2"], &directory.join("out"));
        command.env("TMPDIR", directory).stdout(Stdio::null()).stderr(Stdio::null());
        let run = command.spawn().expect("the run starts");
        let deadline = Instant::now() + Duration::from_secs(30);
        let mut found = Vec::new();
        while found.len() < PROCESSES && Instant::now() < deadline {
            found = children(run.id());
            thread::sleep(Duration::from_millis(10));
        }
        let started: Vec<_> = found.into_iter().filter_map(|pid| Some((pid, start_time(pid)?))).collect();
        assert_eq!(started.len(), PROCESSES);
        RunInProgress { run, started }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.run.id().cast_signed()).expect("the process id is valid");
        kill_process(pid, signal).expect("the run is in progress");
    }

    fn remaining(&self) -> Vec<u32> {
        let there = |(pid, at): &&(u32, String)| start_time(*pid).as_ref() == Some(at);
        self.started.iter().filter(there).map(|(pid, _)| *pid).collect()
    }
}

impl Drop for RunInProgress {
    fn drop(&mut self) {
        let _ = self.run.kill();
        let _ = self.run.wait();
    }
}

fn assert_nothing_is_left_after(signal: Signal) {
    let directory = tempfile::tempdir().expect("a directory is created");
    let mut in_progress = RunInProgress::start(directory.path());
    in_progress.signal(signal);
    let code = exit_code_within(&mut in_progress.run, Duration::from_secs(20));
    assert_eq!(code, Some(1), "the exit code says that the run was interrupted");
    assert_eq!(in_progress.remaining(), [0; 0]);
    let files: Vec<_> =
        fs::read_dir(directory.path()).expect("the directory is readable").flatten().collect();
    assert!(files.is_empty(), "files remain: {files:?}");
}

/// Guards against processes that outlive a run ended by Ctrl-C (SIGINT).
#[test]
fn nothing_is_left_after_sigint() {
    assert_nothing_is_left_after(Signal::INT);
}

/// Guards against processes that outlive a run stopped by a service manager (SIGTERM).
#[test]
fn nothing_is_left_after_sigterm() {
    assert_nothing_is_left_after(Signal::TERM);
}

/// Guards against processes that outlive a run that was killed and could not end them.
#[test]
fn nothing_is_left_after_sigkill() {
    let directory = tempfile::tempdir().expect("a directory is created");
    let mut in_progress = RunInProgress::start(directory.path());
    in_progress.signal(Signal::KILL);
    in_progress.run.wait().expect("the run has exited");
    let deadline = Instant::now() + Duration::from_secs(10);
    while !in_progress.remaining().is_empty() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(in_progress.remaining(), [0; 0]);
}
