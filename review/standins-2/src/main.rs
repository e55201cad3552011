//! The cases of the second review. `review-standins-2 CASE FOLDER` runs one and writes FOLDER/record.txt.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod crowded_upgrade;
mod half_requests;
mod kit;
mod late_copy;
mod shared_id;
mod stopped_download;

use kit::{Outcome, Record};
use std::panic::{self, AssertUnwindSafe};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn run(case: &str, record: &Arc<Record>) -> Outcome {
    match case {
        "crowded-upgrade" => crowded_upgrade::run(record),
        "half-requests" => half_requests::run(record),
        "shared-id" => shared_id::run(record),
        "stopped-download" => stopped_download::run(record),
        "late-copy" => late_copy::run(record),
        _ => Err(format!("no case {case}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new();
    record.add(format_args!("case {case}, trouble {}", kit::has_trouble()));
    // A panic of the driver says nothing of the rule.
    let outcome = panic::catch_unwind(AssertUnwindSafe(|| run(case, &record)));
    let outcome = outcome.unwrap_or_else(|_| Err("the driver panicked".to_owned()));
    let (line, code) = match outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(why) => (format!("the case could not run: {why}"), 2),
    };
    record.say(line);
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
