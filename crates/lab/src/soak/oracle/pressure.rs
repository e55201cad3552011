//! Checks what the clients saw that put pressure on a process, and how much memory it held.

use super::{Invariant, Oracle, Violation};
use crate::soak::records::{LongExchange, Timestamp};
use std::time::Duration;

/// A long exchange that ends this long before its process may have no answer.
const BEFORE_THE_END: Duration = Duration::from_secs(12);

impl Oracle<'_> {
    pub(super) fn check_memory(&self) -> Vec<Violation> {
        let over = self.records.members.iter().filter(|member| member.peak_kb > member.memory_limit_kb);
        over.map(|member| Violation {
            invariant: Invariant::Memory,
            at: member.killed.or(member.terminated).unwrap_or(member.started),
            description: format!(
                "{} held {} kB of {} kB",
                member.name, member.peak_kb, member.memory_limit_kb
            ),
        })
        .collect()
    }

    pub(super) fn check_long_messages(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for exchange in &self.records.pressure.exchanges {
            let cut = self.cut_at(exchange);
            let problem = match exchange.status {
                Some(_) if cut.is_some_and(|cut| !self.may_cut(exchange, cut)) => {
                    Some("cut off while its endpoint wrote")
                }
                _ if self.may_end(exchange) => None,
                None => Some("without an answer"),
                Some(400..=499) => Some("rejected"),
                Some(_) => None,
            };
            if let Some(problem) = problem {
                violations.push(Violation {
                    invariant: Invariant::LongMessages,
                    at: cut.unwrap_or(exchange.ended),
                    description: format!("{problem}: {exchange:?}"),
                });
            }
        }
        violations
    }

    /// When the process cut off an answer to this request that its endpoint was writing. The client
    /// is given the answer to the last attempt: none follows once an answer has begun.
    fn cut_at(&self, exchange: &LongExchange) -> Option<Timestamp> {
        let last_attempt = self.attempts.get(exchange.id.as_str())?.last()?;
        last_attempt.cut.filter(|cut| *cut < exchange.ended)
    }

    /// Whether an answer may be cut off: only where its process is killed, or its connections break by
    /// a fault.
    fn may_cut(&self, exchange: &LongExchange, cut: Timestamp) -> bool {
        let member = &self.records.members[exchange.member];
        let killed = member.killed.is_some_and(|killed| killed <= cut + self.observation_slack);
        killed || member.has_shim
    }

    /// Whether the exchange may end early: its process ends, or its connections break by a fault.
    fn may_end(&self, exchange: &LongExchange) -> bool {
        let member = &self.records.members[exchange.member];
        let ends_at = member.terminated.or(member.killed);
        let ends = ends_at.is_some_and(|at| at < exchange.ended + BEFORE_THE_END);
        ends || member.has_shim
    }

    /// An id that is sent to both processes of an upgrade is never at two endpoints at once.
    pub(super) fn check_shared_ids(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for id in &self.records.pressure.shared_ids {
            let attempts = self.attempts.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            for pair in attempts.windows(2).filter(|pair| self.are_concurrent(pair[0], pair[1])) {
                violations.push(Violation {
                    invariant: Invariant::OneAttempt,
                    at: pair[1].started,
                    description: format!("{id} was open at both processes, from {:.3?}", pair[0].started),
                });
            }
        }
        violations
    }

    /// An unsafe request that its client sends again with the same id runs once at most.
    pub(super) fn check_returned_ids(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for id in &self.records.pressure.returned_ids {
            let attempts = self.attempts.get(id.as_str()).into_iter().flatten();
            let mut ran = attempts.filter(|attempt| attempt.received.is_some() && !attempt.rejected);
            if let (Some(first), Some(second)) = (ran.next(), ran.next()) {
                violations.push(Violation {
                    invariant: Invariant::NotRepeated,
                    at: second.started,
                    description: format!("{id} ran at {:.3?}, and again when it returned", first.started),
                });
            }
        }
        violations
    }
}
