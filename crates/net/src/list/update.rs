//! Answers of discovery on their way to the list in use: what is applied, and what cannot be.
//!
//! Whatever discovery has written counts as notified. So an answer is either applied, or it is
//! reported to the sidecar as one that could not be, which bounds the lease on the list held. No
//! answer is dropped silently, except one to a superseded poll that is no newer than the list held,
//! and neither is a poll that could still be answered.

use super::Watcher;
use super::answer::{Answer, Entries};
use super::poll::{PollEnd, PollFailure, PollResponse};
use super::schedule::PollOutcome;
use cottonpoint_core::PollEvent;
use cottonpoint_decide::{ListKind, Time};
use std::io;
use std::time::Duration;

/// The content of an answer, and whether it came early (see `schedule`).
pub(super) struct ListUpdate {
    entries: Entries,
    /// Whether it came without an update before the poll's hold time was over.
    pub early: bool,
}

impl Watcher {
    /// Passes the answer to a poll that took `took` on to the sidecar.
    pub(super) fn apply_update(&self, ListUpdate { entries, .. }: ListUpdate, took: Duration) {
        let Entries { kind, records, .. } = entries;
        let (generation, lines) = (self.generation, records.len());
        if lines > 0 || kind == ListKind::Full {
            tracing::info!(
                generation,
                lines,
                ?kind,
                took_ms = took.as_millis() as u64,
                "received a list update from discovery"
            );
        }
        let started_at = self.sidecar.clock().now() - took;
        self.sidecar.apply_answer(kind, &records, started_at);
        self.endpoint_connections.retain_idle(|endpoint| self.sidecar.is_active(endpoint));
    }

    /// Interprets the answer to a poll that asked for changes since `from_generation`;
    /// `before_hold_ended` says whether it came before the poll's hold time was over.
    pub(super) fn interpret(
        &mut self,
        body: &[u8],
        from_generation: Option<u64>,
        before_hold_ended: bool,
    ) -> Result<ListUpdate, PollFailure> {
        let (answer, entries) = self.parse(body, from_generation).map_err(PollFailure::unusable)?;
        let is_older = self.generation.is_some_and(|held| answer.generation < held);
        if is_older {
            if self.generation == from_generation {
                // Discovery does not know the version held: the next poll asks for the whole list,
                // which is applied whatever its version.
                self.generation = None;
            }
            return Err(PollFailure::unusable(io::Error::other("the answer is older than the list held")));
        }
        let is_new_generation = self.generation != Some(answer.generation);
        let has_update = is_new_generation && (answer.reset || !entries.records.is_empty());
        self.generation = Some(answer.generation);
        Ok(ListUpdate { entries, early: !has_update && before_hold_ended })
    }

    /// Applies the answer to a poll that a reload has superseded, if it is newer than the list
    /// held. It does not confirm the list: the new discovery alone does. But one that cannot be
    /// applied counts as notified like any other.
    pub(super) fn apply_superseded(&mut self, end: PollEnd) {
        let body = match end.result {
            Ok(PollResponse { body, .. }) => body,
            Err(failure) if failure.outcome == PollOutcome::Unusable => {
                return self.discard_superseded(end.answer_began, &failure.error);
            }
            Err(_) => return,
        };
        let (answer, entries) = match self.parse(&body, end.from_generation) {
            Ok(parsed) => parsed,
            Err(error) => return self.discard_superseded(end.answer_began, &error),
        };
        if self.generation.is_some_and(|held| answer.generation <= held) {
            return;
        }
        if self.generation.is_none() && !answer.reset {
            let error = io::Error::other("the answer changes a list that is not held");
            return self.discard_superseded(end.answer_began, &error);
        }
        let Entries { kind, records, .. } = entries;
        let (generation, lines) = (answer.generation, records.len());
        tracing::info!(
            generation,
            lines,
            ?kind,
            "received a list update from the previous discovery address"
        );
        self.generation = Some(generation);
        self.sidecar.apply_list(kind, &records);
        self.endpoint_connections.retain_idle(|endpoint| self.sidecar.is_active(endpoint));
    }

    /// Reports an answer to a superseded poll that could not be applied.
    fn discard_superseded(&self, answer_began: Option<Time>, error: &io::Error) {
        tracing::warn!(%error, "answer of the previous discovery address could not be applied");
        self.sidecar.counts().poll_failed(PollOutcome::Unusable.name());
        let since = answer_began.unwrap_or_else(|| self.sidecar.clock().now());
        self.sidecar.record_poll(PollEvent::SupersededUnusable { since });
    }

    /// Reports that a superseded poll is no longer read. Discovery may have written an answer to it,
    /// which counts as notified.
    pub(super) fn record_unread_answer(&self) {
        tracing::debug!("too many superseded polls; the oldest is no longer read");
        let since = self.sidecar.clock().now();
        self.sidecar.record_poll(PollEvent::SupersededUnusable { since });
    }

    /// Parses the answer to a poll for the changes since `from_generation` into the core's types.
    fn parse(&self, body: &[u8], from_generation: Option<u64>) -> io::Result<(Answer, Entries)> {
        let mut answer: Answer = serde_json::from_slice(body)?;
        // A poll that names no version asks for the whole list.
        answer.reset |= from_generation.is_none();
        let entries = answer.entries(&self.names);
        if let Some(first) = entries.faulty.first() {
            let count = entries.faulty.len();
            tracing::warn!(%first, count, "entries of the list cannot be used; their endpoints are sent nothing");
        }
        Ok((answer, entries))
    }
}
