//! The end of attempts: answers, timeouts, cancellations and losses.

use super::*;

impl World<'_> {
    /// An endpoint's answer arrives at its sidecar.
    pub(super) fn answer_at_sidecar(&mut self, key: JobKey, report: Option<LoadReport>) {
        let Some(job) = self.jobs.get(key) else { return };
        let (endpoint, sidecar) = (job.endpoint, job.sidecar);
        if !self.reachable(sidecar, endpoint) {
            return self.discard_job(key);
        }
        let Some(job) = self.jobs.remove(key) else { return };
        let Stage::AnswerInTransit(outcome) = job.stage else { return };
        if job.orphaned {
            self.statistics.wasted_work += job.work_done;
            return;
        }
        self.keep_connection(sidecar, endpoint, job.process);
        let open = self
            .requests
            .get(job.request)
            .filter(|f| !f.answered && outcome == Outcome::Ok)
            .map(|f| f.origin);
        match open {
            Some(Origin::Client(..)) => self.statistics.useful_work += job.work_done,
            Some(Origin::Job(parent)) => match self.jobs.get_mut(parent) {
                Some(parent) => parent.work_done += job.work_done,
                None => self.statistics.wasted_work += job.work_done,
            },
            None => self.statistics.wasted_work += job.work_done,
        }
        self.finish_attempt(job.request, job.attempt, outcome, report);
    }

    fn keep_connection(&mut self, sidecar: u32, endpoint: u32, process: u32) {
        let s = &self.endpoints[endpoint as usize];
        if s.process != process {
            return;
        }
        let sidecar_state = &mut self.sidecars[sidecar as usize];
        if sidecar_state.notified_unready.contains_key(&endpoint) {
            let s = &mut self.endpoints[endpoint as usize];
            s.open_connections = s.open_connections.saturating_sub(1);
            return;
        }
        let pool = sidecar_state.pools.entry(endpoint).or_default();
        if pool.process != process {
            *pool = Pool { process, idle: Vec::new() };
        }
        pool.idle.push(self.now);
    }

    /// Ends an attempt: notifies the decider, and answers the client if the attempt was served.
    pub(super) fn finish_attempt(
        &mut self,
        request: RequestKey,
        attempt: u8,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let now = self.now;
        let Some(f) = self.requests.get_mut(request) else { return };
        let Some(a) = f.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(outcome);
        a.job = None;
        let (index, sent) = (a.endpoint, a.sent);
        f.outstanding -= 1;
        let sidecar = f.sidecar;
        let served = outcome == Outcome::Ok && !f.answered;
        f.answered |= served;
        let closed = f.answered;
        let tier = self.sidecars[sidecar as usize].tier;
        self.statistics.record_outcome(tier, outcome);
        self.trace_request(request, |_| format!("attempt {attempt} at endpoint {index} ends: {outcome:?}"));
        if served {
            self.deliver(request, Answer::Served);
        }
        let endpoint = endpoint_id(index);
        let elapsed = Duration::from_nanos(now - sent);
        let id = request_id(request);
        self.deliver_event(
            sidecar,
            Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report },
        );
        self.release(request);
    }

    /// The deadline that the sidecar gave an attempt has passed.
    pub(super) fn attempt_timed_out(&mut self, request: RequestKey, attempt: u8) {
        if self.abandon_attempt(request, attempt) {
            self.finish_attempt(request, attempt, Outcome::TimedOut, None);
        }
    }

    /// A decider cancels an attempt.
    pub(super) fn cancel(&mut self, request: RequestKey, attempt: u8) {
        if self.abandon_attempt(request, attempt) {
            let outcome = Outcome::Cancelled;
            self.schedule(self.now, SimEvent::AttemptEnd { request, attempt, outcome });
        }
    }

    /// Closes an attempt's connection, of which its endpoint learns one network delay later.
    /// Returns false if the attempt has already ended.
    fn abandon_attempt(&mut self, request: RequestKey, attempt: u8) -> bool {
        let Some(f) = self.requests.get_mut(request) else { return false };
        let Some(a) = f.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return false;
        };
        if let Some(key) = a.job.take() {
            self.orphan_job(key);
        }
        true
    }

    /// Marks a job as orphaned: its connection is closed, and its endpoint learns of that one
    /// network delay later.
    pub(super) fn orphan_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.orphaned = true;
        let (endpoint, process) = (job.endpoint, job.process);
        let s = &mut self.endpoints[endpoint as usize];
        if s.process == process {
            s.advance(self.now);
            s.open_connections = s.open_connections.saturating_sub(1);
        }
        let delay = self.one_way();
        self.schedule(self.now + delay, SimEvent::CancelAtEndpoint(key));
    }

    /// An endpoint learns that a job's connection was closed.
    pub(super) fn cancel_at_endpoint(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let endpoint = job.endpoint;
        let stops = self.endpoints[endpoint as usize].spec.stops_running;
        match job.stage {
            Stage::InTransit => self.discard_job(key),
            Stage::Queued => {
                self.endpoints[endpoint as usize].remove_queued(key);
                self.discard_job(key);
                self.check_crowding(endpoint);
            }
            Stage::Running(..) if stops => {
                self.discard_job(key);
                self.hand_over_slot(endpoint);
                self.reschedule_completion(endpoint);
            }
            Stage::CallingNextTier(call) if stops => {
                self.discard_job(key);
                self.hand_over_slot(endpoint);
                self.reschedule_completion(endpoint);
                if let Some(call) = call {
                    self.client_gone(call);
                }
            }
            _ => {}
        }
    }

    /// Removes a job and counts the work done for it as wasted.
    pub(super) fn discard_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.statistics.wasted_work += job.work_done;
        if let Stage::Running(done, segment) = job.stage {
            let s = &mut self.endpoints[job.endpoint as usize];
            if s.process == job.process {
                s.remove_running(self.now);
                self.statistics.wasted_work += segment - s.remaining_work(done);
            }
        }
    }
}
