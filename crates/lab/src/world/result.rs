//! Runs to the end, their results, and the audit of their totals.

use super::*;

impl World<'_> {
    /// Runs until the last client has had its answer or has left.
    pub fn play(mut self) -> RunResult {
        while self.step() {}
        self.into_result()
    }

    /// The results so far.
    pub fn into_result(mut self) -> RunResult {
        let endpoints = self.endpoints.iter_mut().map(|s| {
            s.advance(self.now);
            crate::score::ServerRow {
                tier: s.spec.tier,
                kind: s.spec.kind,
                capacity: s.spec.cores * s.spec.speed,
                worked: s.worked,
                completed: s.completed,
            }
        });
        self.statistics.servers = endpoints.collect();
        RunResult {
            statistics: self.statistics,
            breaches: self.rules.breaches,
            breach_count: self.rules.count,
            event_count: self.event_count,
            decisions: self.decisions,
            trace: self.trace,
        }
    }

    /// The time, in nanoseconds since the start of the run.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Scheduled events, requests at sidecars, requests at endpoints and clients held in memory
    /// now.
    pub fn open_counts(&self) -> [usize; 4] {
        [self.calendar.keys.len(), self.requests.len(), self.jobs.len(), self.clients.len()]
    }

    /// Checks conservation: each client is open or has ended once, and all work done is accounted
    /// for as useful, wasted or in progress. Returns a description of the difference if there is
    /// one.
    pub fn audit(&mut self) -> Result<(), String> {
        let b = &self.statistics;
        let ended = b.served + b.late + b.refused + b.failed + b.left;
        if b.arrived != ended + self.clients.len() as u64 {
            let open = self.clients.len();
            return Err(format!("{} clients arrived, {ended} ended and {open} are open", b.arrived));
        }
        for s in &mut self.endpoints {
            s.advance(self.now);
        }
        let done: f64 = self.endpoints.iter().map(|s| s.worked).sum();
        let under_way: f64 = self
            .jobs
            .values()
            .map(|j| match j.stage {
                Stage::Running(at, segment) => {
                    j.work_done + segment - self.endpoints[j.endpoint as usize].remaining_work(at)
                }
                _ => j.work_done,
            })
            .sum();
        let accounted = self.statistics.useful_work + self.statistics.wasted_work + under_way;
        if (done - accounted).abs() > 1e-8 * done.max(1.0) {
            return Err(format!("{done} s of work were done and {accounted} s are accounted for"));
        }
        Ok(())
    }
}

/// The results of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The collected statistics.
    pub statistics: RunStatistics,
    /// The first breaches of rules, each with its time and cause.
    pub breaches: Vec<Breach>,
    /// Number of breaches by rule, in the order of [`Rule::ALL`].
    pub breach_count: [u64; 5],
    /// Events processed.
    pub event_count: u64,
    /// Events delivered to deciders.
    pub decisions: u64,
    /// The trace of the client selected by [`World::trace`].
    pub trace: Vec<String>,
}
