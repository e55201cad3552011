//! A day played to its end, what came of it, and whether all of it adds up.

use super::*;

impl World<'_> {
    /// Plays the day to its end: until the last client has had its answer or gone.
    pub fn play(mut self) -> Played {
        while self.step() {}
        self.into_played()
    }

    /// What came of it, as far as it has been played.
    pub fn into_played(mut self) -> Played {
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
        self.book.servers = endpoints.collect();
        Played {
            book: self.book,
            breaches: self.rules.breaches,
            breach_count: self.rules.count,
            happened: self.happened,
            decisions: self.decisions,
            trace: self.trace,
        }
    }

    /// The time, in nanoseconds since the start of the day.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Events, flows, requests at servers and clients that are held in memory now.
    pub fn held(&self) -> [usize; 4] {
        [self.calendar.keys.len(), self.requests.len(), self.jobs.len(), self.clients.len()]
    }

    /// Whether nothing got lost: each client is open or has ended once, each piece of work done is for an answer
    /// that was had, for nothing, or under way. Returns what does not add up.
    pub fn audit(&mut self) -> Result<(), String> {
        let b = &self.book;
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
        let accounted = self.book.useful_work + self.book.wasted_work + under_way;
        if (done - accounted).abs() > 1e-8 * done.max(1.0) {
            return Err(format!("{done} s of work were done and {accounted} s are accounted for"));
        }
        Ok(())
    }
}

/// What came of a day.
#[derive(Debug)]
pub struct Played {
    /// All that was counted.
    pub book: Book,
    /// The first breaches of rules, each with its time and cause.
    pub breaches: Vec<Breach>,
    /// Breaches by rule, in the order of [`Rule::ALL`].
    pub breach_count: [u64; 5],
    /// Events played.
    pub happened: u64,
    /// Events fed to deciders.
    pub decisions: u64,
    /// The life of the traced client.
    pub trace: Vec<String>,
}
