//! The checks of the short form after each phase: counts, bytes and descriptors, but no times and
//! no processor figures.

use super::error::ScaleError;
use super::layout::{DISCOVERIES, Layout, Region};
use super::phases::{AnswerLengths, Phase, PhaseRecord};
use super::real::ConsoleFigures;
use crate::live::discovery::Answers;

/// The max polls for the whole list per start. A poll that is not answered in time is repeated at
/// once, at max three times.
const MAX_WHOLE_LIST_POLLS: u64 = 4;
/// The max polls per change. A change is polled for again if its answer comes too late.
const MAX_CHANGE_POLLS: u64 = 2;
/// How long discovery holds a poll while nothing changes, in seconds.
const POLL_HOLD_SECONDS: f64 = 10.0;
/// Descriptors of a stand-in process apart from its connections.
const STAND_IN_DESCRIPTORS: u64 = 24;
/// Descriptors of a real process without request traffic.
const REAL_DESCRIPTORS: u64 = 40;
/// The operator's queries to a real process in a phase: one for its metrics and one for its console
/// figures.
const OPERATOR_QUERIES: u64 = 2;

/// Checks the record of one phase.
pub fn check(record: &PhaseRecord, layout: &Layout) -> Result<(), ScaleError> {
    let checks = Checks { record, layout };
    let lengths =
        record.answer_bytes.ok_or_else(|| checks.error("the lengths of answers were not measured"))?;
    checks.check_answers(lengths)?;
    checks.check_polls()?;
    checks.check_list_versions()?;
    checks.check_link(lengths)?;
    checks.check_operator_queries()?;
    checks.check_descriptors()
}

/// Checks that each real process has accepted exactly one configuration, and rejected none, since
/// its start.
pub fn check_reloads(figures: &[ConsoleFigures], real: usize) -> Result<(), ScaleError> {
    let accepted = figures.iter().filter(|one| one.cfg_accepted == 1 && one.cfg_invalid == 0).count();
    if accepted == real && figures.len() == real {
        return Ok(());
    }
    Err(ScaleError::Check(format!(
        "{accepted} of {real} real processes have accepted their new configuration"
    )))
}

struct Checks<'a> {
    record: &'a PhaseRecord,
    layout: &'a Layout,
}

impl Checks<'_> {
    fn error(&self, what: &str) -> ScaleError {
        ScaleError::Check(format!("{} sidecars, {}: {what}", self.layout.sidecars, self.record.phase))
    }

    fn check_range(&self, what: &str, value: u64, min: u64, max: u64) -> Result<(), ScaleError> {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(self.error(&format!("{what}: {value}, expected {min} to {max}")))
    }

    fn sidecars(&self) -> u64 {
        self.layout.sidecars as u64
    }

    /// Checks that each answer has the length of its kind, and that the number of answers matches
    /// the events.
    fn check_answers(&self, lengths: AnswerLengths) -> Result<(), ScaleError> {
        let traffic = &self.record.measured.discovery_traffic;
        let restarts = self.record.happened.restarts as u64;
        self.check_lengths("whole lists", traffic.whole, lengths.whole)?;
        self.check_lengths("answers without changes", traffic.quiet, lengths.quiet)?;
        self.check_range("whole lists", traffic.whole.count, restarts, MAX_WHOLE_LIST_POLLS * restarts)?;
        if self.record.phase == Phase::News {
            let sidecars = self.sidecars();
            self.check_lengths("changes", traffic.changes, lengths.change)?;
            self.check_range("changes", traffic.changes.count, sidecars, MAX_CHANGE_POLLS * sidecars)?;
        }
        Ok(())
    }

    fn check_lengths(&self, what: &str, answers: Answers, length: u64) -> Result<(), ScaleError> {
        let expected = answers.count * length;
        self.check_range(&format!("bytes of {} {what}", answers.count), answers.bytes, expected, expected)
    }

    /// Checks the number of polls. A sidecar polls once for each list, once after each poll that
    /// ends without a change, and at max once a second while it is cut off. A starting sidecar
    /// also polls for the whole list.
    fn check_polls(&self) -> Result<(), ScaleError> {
        let happened = &self.record.happened;
        let (lists, restarts) = (happened.lists as u64, happened.restarts as u64);
        let quiet_polls = (self.record.seconds / POLL_HOLD_SECONDS).ceil() as u64;
        let cut_off_polls = happened.apart_seconds.unwrap_or_default().ceil() as u64;
        let polls_each = MAX_CHANGE_POLLS * lists + 1 + quiet_polls + cut_off_polls;
        let max = self.sidecars() * polls_each + MAX_WHOLE_LIST_POLLS * restarts;
        self.check_range("polls", self.record.measured.discovery_traffic.calls, self.sidecars(), max)
    }

    fn check_list_versions(&self) -> Result<(), ScaleError> {
        let traffic = &self.record.measured.discovery_traffic;
        let sidecars = self.sidecars();
        self.check_range("sidecars with the newest list", traffic.up_to_date, sidecars, sidecars)?;
        if let Some(held) = self.record.happened.held_while_apart {
            let near = self.layout.in_region(Region::Near) as u64;
            self.check_range("sidecars with the newest list during the partition", held, near, near)?;
        }
        self.check_range("connections", traffic.open, sidecars, 2 * sidecars)
    }

    /// Checks that each change reached the far region through the link.
    fn check_link(&self, lengths: AnswerLengths) -> Result<(), ScaleError> {
        let far = self.layout.in_region(Region::Far) as u64;
        let back = self.record.measured.link_traffic.bytes_back;
        let reset = self.record.measured.link_traffic.reset;
        self.check_range(
            "bytes through the link",
            back,
            far * lengths.change.min(lengths.whole),
            u64::MAX,
        )?;
        let starts = self.record.happened.restarts as u64;
        self.check_range("connections reset at the link", reset, 0, 2 * (far + starts))
    }

    fn check_operator_queries(&self) -> Result<(), ScaleError> {
        let queries = OPERATOR_QUERIES * self.layout.real as u64;
        self.check_range(
            "queries of the operator",
            self.record.measured.operator_traffic.calls,
            queries,
            queries,
        )
    }

    fn check_descriptors(&self) -> Result<(), ScaleError> {
        let open = &self.record.measured.descriptors;
        let (real, hollow) = (self.layout.real as u64, self.layout.hollow().len() as u64);
        let far = self.layout.in_region(Region::Far) as u64;
        let sidecars_each = self.sidecars().div_ceil(DISCOVERIES as u64);
        self.check_range("descriptors of all real processes", open.real, real, REAL_DESCRIPTORS * real)?;
        self.check_range(
            "descriptors of the host of hollow sidecars",
            open.hollow,
            hollow,
            hollow + STAND_IN_DESCRIPTORS,
        )?;
        self.check_range(
            "descriptors of a discovery stand-in",
            open.discovery,
            sidecars_each,
            2 * sidecars_each + STAND_IN_DESCRIPTORS,
        )?;
        let relays = DISCOVERIES as u64;
        self.check_range(
            "descriptors of the link",
            open.link,
            2 * far,
            4 * far + relays + STAND_IN_DESCRIPTORS,
        )
    }
}
