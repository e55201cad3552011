//! The phases of a measurement: calm, and four kinds of failure.

use super::arguments::Form;
use super::deployment::Deployment;
use super::error::ScaleError;
use super::interrupt::Interrupt;
use super::layout::Region;
use super::real::ConsoleFigures;
use super::sample::{Measurement, between};
use serde::Serialize;
use std::fmt;
use std::time::{Duration, Instant};

/// How long sidecars may take to get the newest list after an event.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same in the short form, which checks no times and may run on a loaded machine.
const UPDATE_TIMEOUT_SHORT: Duration = Duration::from_secs(35);

/// How long the regions stay partitioned once the near one has a new list. This is longer than a
/// sidecar's longest poll, so that every sidecar behind the link has seen discovery go silent.
const PARTITION_DURATION: Duration = Duration::from_secs(14);
const PARTITION_DURATION_SHORT: Duration = Duration::from_millis(500);

/// How long real processes may take to apply a new configuration, and how often that is checked.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
const RELOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The number of restarts during an ordinary day.
const ORDINARY_RESTARTS: usize = 3;
const ORDINARY_RESTARTS_SHORT: usize = 2;

/// A phase of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing happens apart from one round of the operator's actions on each real process.
    Calm,
    /// One new list and nothing else. Only the short form has this phase, in which polls can be
    /// counted exactly.
    News,
    /// A few sidecars restart one after the other, each with a new list.
    OrdinaryDay,
    /// A rack ends and later starts at once, with a new list each time.
    Rack,
    /// The regions are partitioned, a new list is published, and the partition ends.
    Regions,
    /// All sidecars end and start at once, and a new list is published.
    AllRestart,
}

impl Phase {
    /// The phases of the full form, in order.
    pub const FULL_FORM: [Phase; 5] =
        [Phase::Calm, Phase::OrdinaryDay, Phase::Rack, Phase::Regions, Phase::AllRestart];

    /// The phases of the short form, in order.
    pub const SHORT_FORM: [Phase; 5] =
        [Phase::News, Phase::OrdinaryDay, Phase::Rack, Phase::Regions, Phase::AllRestart];

    /// How long the phase is measured at least. In the calm phase a sidecar polls every 10 s, so
    /// its window is a multiple of that.
    fn window(self, form: Form) -> Duration {
        let seconds = match (form, self) {
            (Form::Short, _) | (Form::Full, Phase::News) => 0,
            (Form::Full, Phase::Calm) => 30,
            (Form::Full, Phase::Regions) => 20,
            (Form::Full, Phase::OrdinaryDay | Phase::AllRestart) => 10,
            (Form::Full, Phase::Rack) => 8,
        };
        Duration::from_secs(seconds)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Calm => "calm",
            Phase::News => "news",
            Phase::OrdinaryDay => "ordinary-day",
            Phase::Rack => "rack",
            Phase::Regions => "regions",
            Phase::AllRestart => "all-restart",
        })
    }
}

/// The events of a phase.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PhaseEvents {
    /// Sidecars that were restarted.
    pub restarts: usize,
    /// New lists.
    pub lists: usize,
    /// The time from the last event (a start or the end of a partition) until all sidecars had the
    /// newest list.
    pub held_after_seconds: Option<f64>,
    /// During the partition: the time from the new list until the whole near region had it.
    pub near_region_held_after_seconds: Option<f64>,
    /// How long the regions were partitioned.
    pub apart_seconds: Option<f64>,
    /// Sidecars that had the newest list at the end of the partition.
    pub held_while_apart: Option<u64>,
}

/// A phase and its measurement.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseRecord {
    /// The phase.
    pub phase: Phase,
    /// How long it was measured.
    pub seconds: f64,
    /// Its events.
    pub happened: PhaseEvents,
    /// Its measurement.
    pub measured: Measurement,
    /// The lengths of discovery's answers, in the short form.
    pub answer_bytes: Option<AnswerLengths>,
}

/// The lengths of discovery's answers in bytes, heads included, as a separate client received them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AnswerLengths {
    /// Of an answer with the whole list.
    pub whole: u64,
    /// Of an answer with the last change.
    pub change: u64,
    /// Of an answer without changes.
    pub quiet: u64,
}

/// Starts all sidecars at once and returns the seconds until all had the list.
pub(super) fn start(deployment: &mut Deployment, interrupt: &Interrupt) -> Result<f64, ScaleError> {
    let all: Vec<usize> = (0..deployment.layout.sidecars).collect();
    let begun = Instant::now();
    deployment.start(&all, interrupt)?;
    deployment.wait_until_all_up_to_date(UPDATE_TIMEOUT_SHORT, interrupt)?;
    Ok(begun.elapsed().as_secs_f64())
}

/// Gives each real process a new configuration, waits until all have processed it, and returns
/// their console figures.
pub(super) fn reload(
    deployment: &mut Deployment,
    interrupt: &Interrupt,
) -> Result<Vec<ConsoleFigures>, ScaleError> {
    deployment.run_operator_round()?;
    interrupt.wait_for(
        "all real processes have processed their new configuration",
        RELOAD_TIMEOUT,
        RELOAD_POLL_INTERVAL,
        || {
            let figures = deployment.console_figures()?;
            let all = figures.iter().all(|one| one.cfg_accepted + one.cfg_invalid > 0);
            Ok(all.then_some(figures))
        },
    )
}

/// Runs one phase on a running deployment and measures it.
pub(super) fn run(
    phase: Phase,
    form: Form,
    deployment: &mut Deployment,
    interrupt: &Interrupt,
) -> Result<PhaseRecord, ScaleError> {
    let window_end = Instant::now() + phase.window(form);
    let before = deployment.sample()?;
    deployment.run_operator_round()?;
    let mut runner = PhaseRunner { deployment, interrupt, form };
    let happened = match phase {
        Phase::Calm => PhaseEvents::default(),
        Phase::News => runner.new_list()?,
        Phase::OrdinaryDay => runner.ordinary_day()?,
        Phase::Rack => runner.rack()?,
        Phase::Regions => runner.regions()?,
        Phase::AllRestart => runner.all_restart()?,
    };
    interrupt.sleep(window_end.saturating_duration_since(Instant::now()))?;
    let after = deployment.sample()?;
    let answer_bytes = match form {
        Form::Full => None,
        Form::Short => Some(deployment.answer_lengths()?),
    };
    let measured = between(&deployment.layout, &before, &after);
    Ok(PhaseRecord { phase, seconds: measured.seconds, happened, measured, answer_bytes })
}

struct PhaseRunner<'a> {
    deployment: &'a mut Deployment,
    interrupt: &'a Interrupt,
    form: Form,
}

impl PhaseRunner<'_> {
    /// Sleeps in the full form. The short form has no time for it.
    fn sleep_in_full_form(&self, full_seconds: u64) -> Result<(), ScaleError> {
        match self.form {
            Form::Full => self.interrupt.sleep(Duration::from_secs(full_seconds)),
            Form::Short => Ok(()),
        }
    }

    fn wait_until_all_up_to_date(&mut self, event: Instant) -> Result<f64, ScaleError> {
        let limit = match self.form {
            Form::Full => UPDATE_TIMEOUT,
            Form::Short => UPDATE_TIMEOUT_SHORT,
        };
        self.deployment.wait_until_all_up_to_date(limit, self.interrupt)?;
        Ok(event.elapsed().as_secs_f64())
    }

    fn new_list(&mut self) -> Result<PhaseEvents, ScaleError> {
        let event = Instant::now();
        self.deployment.publish()?;
        let held_after_seconds = Some(self.wait_until_all_up_to_date(event)?);
        Ok(PhaseEvents { lists: 1, held_after_seconds, ..PhaseEvents::default() })
    }

    /// Restarts the last hollow sidecars one after the other, then a real one.
    fn ordinary_day(&mut self) -> Result<PhaseEvents, ScaleError> {
        let hollow = self.deployment.layout.hollow();
        let restarts = match self.form {
            Form::Full => ORDINARY_RESTARTS,
            Form::Short => ORDINARY_RESTARTS_SHORT,
        };
        let mut restarted: Vec<usize> = hollow.rev().take(restarts - 1).collect();
        restarted.push(0);
        let mut longest = 0.0_f64;
        for &sidecar in &restarted {
            self.deployment.end(&[sidecar])?;
            self.deployment.publish()?;
            let event = Instant::now();
            self.deployment.start(&[sidecar], self.interrupt)?;
            longest = longest.max(self.wait_until_all_up_to_date(event)?);
            self.sleep_in_full_form(1)?;
        }
        let count = restarted.len();
        Ok(PhaseEvents {
            restarts: count,
            lists: count,
            held_after_seconds: Some(longest),
            ..PhaseEvents::default()
        })
    }

    fn rack(&mut self) -> Result<PhaseEvents, ScaleError> {
        let rack = self.deployment.layout.rack();
        self.deployment.end(&rack)?;
        self.deployment.publish()?;
        self.sleep_in_full_form(2)?;
        self.deployment.publish()?;
        let event = Instant::now();
        self.deployment.start(&rack, self.interrupt)?;
        let held_after_seconds = Some(self.wait_until_all_up_to_date(event)?);
        Ok(PhaseEvents { restarts: rack.len(), lists: 2, held_after_seconds, ..PhaseEvents::default() })
    }

    fn regions(&mut self) -> Result<PhaseEvents, ScaleError> {
        let layout = self.deployment.layout;
        let near = layout.in_region(Region::Near);
        let near_hollow = layout.hollow().filter(|&s| super::layout::region(s) == Region::Near).count();
        let partition_start = Instant::now();
        self.deployment.set_link_cut(true)?;
        let published = Instant::now();
        self.deployment.publish()?;
        self.deployment.wait_until_up_to_date(near, near_hollow, UPDATE_TIMEOUT_SHORT, self.interrupt)?;
        let near_held_after = published.elapsed();
        self.interrupt.sleep(match self.form {
            Form::Full => PARTITION_DURATION,
            Form::Short => PARTITION_DURATION_SHORT,
        })?;
        let held_while_apart = Some(self.deployment.up_to_date()?);
        let event = Instant::now();
        self.deployment.set_link_cut(false)?;
        let held_after_seconds = Some(self.wait_until_all_up_to_date(event)?);
        Ok(PhaseEvents {
            lists: 1,
            held_after_seconds,
            near_region_held_after_seconds: Some(near_held_after.as_secs_f64()),
            apart_seconds: Some((event - partition_start).as_secs_f64()),
            held_while_apart,
            ..PhaseEvents::default()
        })
    }

    fn all_restart(&mut self) -> Result<PhaseEvents, ScaleError> {
        let all: Vec<usize> = (0..self.deployment.layout.sidecars).collect();
        self.deployment.end(&all)?;
        self.deployment.publish()?;
        let event = Instant::now();
        self.deployment.start(&all, self.interrupt)?;
        let held_after_seconds = Some(self.wait_until_all_up_to_date(event)?);
        Ok(PhaseEvents { restarts: all.len(), lists: 1, held_after_seconds, ..PhaseEvents::default() })
    }
}
