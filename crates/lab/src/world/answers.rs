//! Attempts on their way back: answers, ends, withdrawals, losses.

use super::*;

impl World<'_> {
    /// A server's answer is at its sidecar.
    pub(super) fn back(&mut self, key: JobKey, report: Option<LoadReport>) {
        let Some(job) = self.jobs.get(key) else { return };
        let (server, sidecar) = (job.server, job.sidecar);
        if !self.reachable(sidecar, server) {
            return self.lose(key);
        }
        let Some(job) = self.jobs.remove(key) else { return };
        let Stage::Answering(outcome) = job.stage else { return };
        if job.orphan {
            self.book.wasted_work += job.carried;
            return;
        }
        self.keep_connection(sidecar, server, job.process);
        let open =
            self.flows.get(job.flow).filter(|f| !f.answered && outcome == Outcome::Ok).map(|f| f.origin);
        match open {
            Some(Origin::Client(..)) => self.book.useful_work += job.carried,
            Some(Origin::Job(parent)) => match self.jobs.get_mut(parent) {
                Some(parent) => parent.carried += job.carried,
                None => self.book.wasted_work += job.carried,
            },
            None => self.book.wasted_work += job.carried,
        }
        self.finish(job.flow, job.attempt, outcome, report);
    }

    fn keep_connection(&mut self, sidecar: u32, server: u32, process: u32) {
        let s = &self.servers[server as usize];
        if s.process != process {
            return;
        }
        let side = &mut self.sidecars[sidecar as usize];
        if side.told.contains_key(&server) {
            let s = &mut self.servers[server as usize];
            s.open = s.open.saturating_sub(1);
            return;
        }
        let pool = side.pools.entry(server).or_default();
        if pool.process != process {
            *pool = Pool { process, idle: Vec::new() };
        }
        pool.idle.push(self.now);
    }

    /// An attempt has ended: the decider is told, and whoever asked, if it was served.
    pub(super) fn finish(
        &mut self,
        flow: FlowKey,
        attempt: u8,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let now = self.now;
        let Some(f) = self.flows.get_mut(flow) else { return };
        let Some(a) = f.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(outcome);
        a.job = None;
        let (server, sent) = (a.server, a.sent);
        f.outstanding -= 1;
        let sidecar = f.sidecar;
        let served = outcome == Outcome::Ok && !f.answered;
        f.answered |= served;
        let closed = f.answered;
        let tier = self.sidecars[sidecar as usize].tier;
        self.book.outcome(tier, outcome);
        self.note_flow(flow, |_| format!("attempt {attempt} at server {server} ends: {outcome:?}"));
        if served {
            self.deliver(flow, Answer::Served);
        }
        let endpoint = endpoint_id(server);
        let elapsed = Duration::from_nanos(now - sent);
        let id = request_id(flow);
        self.feed(sidecar, Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report });
        self.release(flow);
    }

    /// The time that a sidecar gave an attempt is over.
    pub(super) fn attempt_due(&mut self, flow: FlowKey, attempt: u8) {
        if self.abandon(flow, attempt) {
            self.finish(flow, attempt, Outcome::TimedOut, None);
        }
    }

    /// A decider withdraws an attempt.
    pub(super) fn cancel(&mut self, flow: FlowKey, attempt: u8) {
        if self.abandon(flow, attempt) {
            let outcome = Outcome::Cancelled;
            self.plan(self.now, Happening::Short { flow, attempt, outcome });
        }
    }

    /// Nobody waits for an attempt any more: its connection is closed, and its server hears of it.
    fn abandon(&mut self, flow: FlowKey, attempt: u8) -> bool {
        let Some(f) = self.flows.get_mut(flow) else { return false };
        let Some(a) = f.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return false;
        };
        if let Some(key) = a.job.take() {
            self.orphan(key);
        }
        true
    }

    /// Nobody waits for a server's answer any more.
    pub(super) fn orphan(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.orphan = true;
        let (server, process) = (job.server, job.process);
        let s = &mut self.servers[server as usize];
        if s.process == process {
            s.advance(self.now);
            s.open = s.open.saturating_sub(1);
        }
        let there = self.one_way();
        self.plan(self.now + there, Happening::Stop(key));
    }

    /// A server hears that nobody waits.
    pub(super) fn stop_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let server = job.server;
        let stops = self.servers[server as usize].build.stops_running;
        match job.stage {
            Stage::Travelling => self.lose(key),
            Stage::Waiting => {
                self.servers[server as usize].forget_waiting(key);
                self.lose(key);
                self.look_at_crowd(server);
            }
            Stage::Running(..) if stops => {
                self.lose(key);
                self.give_slot(server);
                self.replan(server);
            }
            Stage::Calling(call) if stops => {
                self.lose(key);
                self.give_slot(server);
                self.replan(server);
                if let Some(call) = call {
                    self.depart(call);
                }
            }
            _ => {}
        }
    }

    /// A request at a server is gone with whatever was done for it.
    pub(super) fn lose(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.book.wasted_work += job.carried;
        if let Stage::Running(done, part) = job.stage {
            let s = &mut self.servers[job.server as usize];
            if s.process == job.process {
                s.halt(self.now);
                self.book.wasted_work += part - s.left(done);
            }
        }
    }
}
