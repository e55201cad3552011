//! The results of a run: a JSON file, a chart and a printed summary.

use super::arguments::{Form, Plan};
use super::error::ScaleError;
use super::fit::{Fit, error_percent, least_squares};
use super::layout::{DISCOVERIES, LIST_LINES, Layout, RACK_SIZE};
use super::phases::{Phase, PhaseRecord};
use super::sample::{Figure, Figures, Role};
use crate::report::{self, Line, markdown};
use serde::Serialize;
use std::fs;
use std::io;
use std::path::Path;
use std::thread;

/// A size and its measurements.
#[derive(Clone, Debug, Serialize)]
pub struct SizeRecord {
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of real processes among them.
    pub real: usize,
    /// The number of hollow sidecars among them.
    pub hollow: usize,
    /// The machine's load average over a minute, before and after.
    pub load: [f64; 2],
    /// The time from the start of all sidecars until all of them had the list.
    pub held_after_start_seconds: f64,
    /// The phases, in order.
    pub phases: Vec<PhaseRecord>,
}

impl SizeRecord {
    /// Creates the record of a size.
    pub fn new(
        layout: &Layout,
        load_before: f64,
        load_after: f64,
        held_after_start_seconds: f64,
        phases: Vec<PhaseRecord>,
    ) -> SizeRecord {
        SizeRecord {
            sidecars: layout.sidecars,
            real: layout.real,
            hollow: layout.hollow().len(),
            load: [load_before, load_after],
            held_after_start_seconds,
            phases,
        }
    }

    fn figures(&self, phase: Phase, role: Role) -> Option<&Figures> {
        let record = self.phases.iter().find(|record| record.phase == phase)?;
        record.measured.roles.iter().find(|figures| figures.role == role)
    }

    /// The number with which a role's figures grow.
    fn count_for(&self, role: Role) -> f64 {
        match role {
            Role::HollowHost => self.hollow as f64,
            Role::Sidecar | Role::Discovery | Role::RegionLink => self.sidecars as f64,
        }
    }
}

/// A line fitted through one figure of a role in a phase, over all measured sizes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FittedFigure {
    /// The role.
    pub role: Role,
    /// The phase.
    pub phase: Phase,
    /// The figure.
    pub figure: Figure,
    /// The line over the number of sidecars; for the host of hollow sidecars, over the number of
    /// hollow ones.
    pub fit: Fit,
}

/// A predicted figure and its measured value.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Predicted {
    /// The role.
    pub role: Role,
    /// The figure.
    pub figure: Figure,
    /// The value predicted by the lines of the calm phase.
    pub predicted: f64,
    /// The value measured at the predicted size.
    pub measured: f64,
    /// The error in percent of the measured value; none if that value is 0.
    pub error_percent: Option<f64>,
}

/// The prediction for a size that is not part of the fits.
#[derive(Clone, Debug, Serialize)]
pub struct Prediction {
    /// The measurements at that size, in the calm phase.
    pub size: SizeRecord,
    /// The predicted figures.
    pub figures: Vec<Predicted>,
}

/// All results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// `full` or `short`.
    pub form: &'static str,
    /// The number of cores of the machine.
    pub cores: usize,
    /// The number of discovery stand-ins.
    pub discoveries: usize,
    /// The number of lines in the list.
    pub list_lines: usize,
    /// The number of sidecars in a rack.
    pub rack: usize,
    /// Whether the cost of the fleet protocol among sidecars was measured.
    pub peers: &'static str,
    /// The measured sizes.
    pub sizes: Vec<SizeRecord>,
    /// The lines fitted over the sizes; none in the short form.
    pub fits: Vec<FittedFigure>,
    /// The prediction for a further size; none in the short form.
    pub prediction: Option<Prediction>,
}

impl Report {
    /// Fits lines through the measured sizes and compares their prediction with the size
    /// `predicted_size`.
    pub fn new(plan: &Plan, sizes: Vec<SizeRecord>, predicted_size: Option<SizeRecord>) -> Report {
        let fits = match plan.form {
            Form::Full => fit_all(&sizes),
            Form::Short => Vec::new(),
        };
        let prediction = predicted_size.map(|size| Prediction { figures: predict(&fits, &size), size });
        Report {
            form: match plan.form {
                Form::Full => "full",
                Form::Short => "short",
            },
            cores: thread::available_parallelism().map_or(0, usize::from),
            discoveries: DISCOVERIES,
            list_lines: LIST_LINES,
            rack: RACK_SIZE,
            peers: "not measured",
            sizes,
            fits,
            prediction,
        }
    }

    /// Writes `scale.json`, and `scale.svg` if there is something to draw.
    pub fn write(&self, folder: &Path) -> Result<(), ScaleError> {
        fs::create_dir_all(folder)?;
        let json = serde_json::to_vec_pretty(self).map_err(io::Error::from)?;
        fs::write(folder.join("scale.json"), json)?;
        if !self.fits.is_empty() {
            fs::write(folder.join("scale.svg"), self.chart())?;
        }
        Ok(())
    }

    /// A chart of the processor time of each role in the calm phase and when all sidecars restart.
    fn chart(&self) -> String {
        let mut lines: Vec<Line> = Vec::new();
        for role in Role::ALL {
            for phase in [Phase::Calm, Phase::AllRestart] {
                let predicted_size = self.prediction.iter().map(|prediction| &prediction.size);
                let sizes = self.sizes.iter().chain(predicted_size);
                let point = |size: &SizeRecord| {
                    let figures = size.figures(phase, role)?;
                    Some((size.sidecars as f64, 100.0 * figures.processor_cores))
                };
                lines.push((format!("{role}, {phase}"), sizes.filter_map(point).collect()));
            }
        }
        report::lines("processor time, percent of a core", "sidecars", &lines)
    }

    /// Prints a summary. The windows of the short form are too short for rates, so it prints
    /// counts.
    pub fn print(&self) {
        if self.fits.is_empty() {
            println!("{}\nall checks passed", self.counts_table());
        } else {
            println!("{}", self.figures_table());
        }
        println!("peers: {}", self.peers);
        for fitted in &self.fits {
            let FittedFigure { role, phase, figure, fit } = fitted;
            println!(
                "fit {role} {phase} {figure}: slope {} a sidecar, intercept {}, residual {}",
                format_number(fit.slope),
                format_number(fit.intercept),
                format_number(fit.residual)
            );
        }
        let Some(prediction) = &self.prediction else { return };
        for Predicted { role, figure, predicted, measured, error_percent } in &prediction.figures {
            let error = error_percent.map_or("none".to_owned(), |error| format!("{error:+.1}%"));
            let sidecars = prediction.size.sidecars;
            println!(
                "prediction at {sidecars}, {role} {figure}: {}, measured {}, error {error}",
                format_number(*predicted),
                format_number(*measured)
            );
        }
    }

    fn counts_table(&self) -> comfy_table::Table {
        let rows = self.sizes.iter().flat_map(|size| {
            size.phases.iter().map(|record| {
                let traffic = &record.measured.discovery_traffic;
                [
                    size.sidecars.to_string(),
                    record.phase.to_string(),
                    record.happened.restarts.to_string(),
                    traffic.calls.to_string(),
                    traffic.whole.count.to_string(),
                    traffic.changes.count.to_string(),
                    traffic.quiet.count.to_string(),
                    traffic.up_to_date.to_string(),
                ]
            })
        });
        let header = [
            "sidecars",
            "phase",
            "restarts",
            "polls",
            "whole lists",
            "changes",
            "without changes",
            "have the newest list",
        ];
        markdown(header, rows)
    }

    fn figures_table(&self) -> comfy_table::Table {
        let predicted_size = self.prediction.iter().map(|prediction| &prediction.size);
        let rows = self.sizes.iter().chain(predicted_size).flat_map(|size| {
            size.phases
                .iter()
                .flat_map(|record| record.measured.roles.iter().map(|f| table_row(size, record, f)))
        });
        let header = [
            "sidecars",
            "load",
            "phase",
            "newest list after",
            "role",
            "core",
            "PSS KiB",
            "RSS KiB",
            "descriptors",
            "in B/s",
            "out B/s",
            "in msg/s",
            "out msg/s",
        ];
        markdown(header, rows)
    }
}

/// Formats a number with at least three significant digits.
fn format_number(number: f64) -> String {
    if number == 0.0 || number.abs() >= 0.1 { format!("{number:.3}") } else { format!("{number:.2e}") }
}

fn table_row(size: &SizeRecord, record: &PhaseRecord, figures: &Figures) -> Vec<String> {
    let optional = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    let held = record.happened.held_after_seconds;
    vec![
        size.sidecars.to_string(),
        format!("{:.1}", size.load[1]),
        record.phase.to_string(),
        held.map_or("-".to_owned(), |held| format!("{held:.2} s")),
        figures.role.to_string(),
        format!("{:.3}%", 100.0 * figures.processor_cores),
        format!("{:.0}", figures.pss_kib),
        format!("{:.0}", figures.rss_kib),
        format!("{:.1}", figures.descriptors),
        optional(figures.bytes_in_per_second),
        optional(figures.bytes_out_per_second),
        optional(figures.messages_in_per_second),
        optional(figures.messages_out_per_second),
    ]
}

/// Fits a line for each figure of each role in each phase.
fn fit_all(sizes: &[SizeRecord]) -> Vec<FittedFigure> {
    let mut fits = Vec::new();
    for role in Role::ALL {
        for phase in Phase::FULL_FORM {
            for figure in Figure::ALL {
                let point = |size: &SizeRecord| {
                    Some((size.count_for(role), size.figures(phase, role)?.get(figure)?))
                };
                let points: Vec<_> = sizes.iter().filter_map(point).collect();
                let fit = least_squares(&points);
                fits.extend(fit.map(|fit| FittedFigure { role, phase, figure, fit }));
            }
        }
    }
    fits
}

/// Compares the lines of the calm phase with a size that is not part of the fits.
fn predict(fits: &[FittedFigure], size: &SizeRecord) -> Vec<Predicted> {
    let calm = fits.iter().filter(|fitted| fitted.phase == Phase::Calm);
    let compare = |fitted: &FittedFigure| {
        let FittedFigure { role, figure, fit, .. } = *fitted;
        let measured = size.figures(Phase::Calm, role)?.get(figure)?;
        let predicted = fit.at(size.count_for(role));
        let error_percent = error_percent(predicted, measured);
        Some(Predicted { role, figure, predicted, measured, error_percent })
    };
    calm.filter_map(compare).collect()
}
