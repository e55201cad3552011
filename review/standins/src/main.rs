//! Plays one case of the review: `review-case N ROOT FOLDER`. Exit code 1 if the rule was broken, 0
//! if it held, 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod case1;
mod case2;
mod case3;
mod kit;

use std::panic;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// A case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    // A fault of the driver is no verdict.
    panic::catch_unwind(run).unwrap_or(ExitCode::from(2))
}

fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("review-case N ROOT FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run: it did not end in time");
        std::process::exit(2); // Its processes end with it.
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = kit::Place::new(Path::new(root), Path::new(folder)).and_then(|place| {
        let record = kit::Record::create(&place.folder.join("record.txt"))?;
        record.line("case", format_args!("{case}, disruption {}", if trouble { "on" } else { "off" }));
        let broken = match case.as_str() {
            "1" => case1::play(&place, &record, trouble),
            "2" => case2::play(&place, &record, trouble),
            "3" => case3::play(&place, &record, trouble),
            _ => Err("no such case".into()),
        }?;
        for line in &broken {
            println!("broken: {line}");
            record.line("verdict", format_args!("broken: {line}"));
        }
        let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
        println!("{verdict}");
        record.line("verdict", verdict);
        Ok(broken.is_empty())
    });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
