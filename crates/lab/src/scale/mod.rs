//! The scale run measures what control traffic and resources cost each role at several numbers of
//! sidecars, without events and under four kinds of failure. See `docs/scale.md`.
//!
//! A few real processes of the program run beside hollow sidecars, which consist of the discovery
//! watcher and the balancer without request traffic and share one process. Five discovery stand-ins
//! serve all sidecars. The second region reaches them through a relay that can be cut.

pub mod arguments;
pub mod checks;
mod configuration;
mod control;
mod deployment;
pub mod error;
pub mod fit;
pub mod host;
mod interrupt;
pub mod layout;
pub mod phases;
pub mod procfs;
mod real;
pub mod report;
pub mod sample;

use arguments::{Arguments, Form, Plan};
use deployment::Deployment;
use error::ScaleError;
use interrupt::Interrupt;
use layout::Layout;
use phases::{Phase, PhaseRecord};
use report::{Report, SizeRecord};

/// Runs the measurement, writes its figures and chart, and prints a summary. Fails on arguments out
/// of bounds, on a check that fails, and on SIGINT or SIGTERM. By then, every process that it
/// started has ended.
pub fn run(arguments: &Arguments) -> Result<(), ScaleError> {
    let plan = arguments.plan(procfs::total_memory_kib()?)?;
    let interrupt = Interrupt::watch()?;
    let report = match run_all_sizes(&plan, &interrupt) {
        // Other errors are a consequence: a signal from the terminal reaches all processes of the
        // run.
        Err(_) if interrupt.is_set() => return Err(ScaleError::Interrupted),
        report => report?,
    };
    report.write(&arguments.out)?;
    report.print();
    Ok(())
}

fn run_all_sizes(plan: &Plan, interrupt: &Interrupt) -> Result<Report, ScaleError> {
    let mut sizes = Vec::new();
    for &sidecars in &plan.sizes {
        let phases = match plan.form {
            Form::Full => &Phase::FULL_FORM[..],
            Form::Short => &Phase::SHORT_FORM[..],
        };
        sizes.push(run_size(plan, sidecars, phases, interrupt)?);
    }
    let predicted_size = plan.predicted.map(|sidecars| run_size(plan, sidecars, &[Phase::Calm], interrupt));
    Ok(Report::new(plan, sizes, predicted_size.transpose()?))
}

/// Runs phases on a deployment of its own.
fn run_size(
    plan: &Plan,
    sidecars: usize,
    phases: &[Phase],
    interrupt: &Interrupt,
) -> Result<SizeRecord, ScaleError> {
    let layout = Layout { sidecars, real: plan.real.min(sidecars) };
    eprintln!("{sidecars} sidecars, {} of them real processes", layout.real);
    let load_before = procfs::load_average()?;
    let mut deployment = Deployment::new(layout, interrupt)?;
    let held_after_start_seconds = phases::start(&mut deployment, interrupt)?;
    let mut records: Vec<PhaseRecord> = Vec::new();
    for &phase in phases {
        let record = phases::run(phase, plan.form, &mut deployment, interrupt)?;
        if plan.form == Form::Short {
            checks::check(&record, &layout)?;
        }
        eprintln!("  {phase}: {:.1} s", record.seconds);
        records.push(record);
    }
    if plan.form == Form::Short {
        checks::check_reloads(&phases::reload(&mut deployment, interrupt)?, layout.real)?;
    }
    Ok(SizeRecord::new(&layout, load_before, procfs::load_average()?, held_after_start_seconds, records))
}
