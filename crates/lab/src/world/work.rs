//! Attempts on their way to endpoints, and their processing there.

use super::clients::earlier_attempt;
use super::endpoint::{Admission, Nanos, ProcessState};
use super::*;
use cottonpoint_decide::EndpointState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after which an injected error is answered, without work.
const ERROR_RESPONSE_TIME_NS: Nanos = 1_000_000;

fn child_key(key: u64, ordinal: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), ordinal)
}

impl World<'_> {
    /// A decider sends an attempt.
    pub(super) fn send(&mut self, sidecar: u32, id: RequestId, to: EndpointId, until: Time) {
        let request = request_key(id);
        let endpoint = to.0 as u32;
        let Some(f) = self.requests.get(request).filter(|f| f.sidecar == sidecar) else {
            return self
                .rules
                .breach(Rule::OneAnswer, self.now, || "an attempt of a request that has ended".into());
        };
        let earlier: Vec<rules::EarlierAttempt> = f.attempts.iter().map(earlier_attempt).collect();
        self.rules.check_send(self.now, f.class, f.answered, &earlier);
        let (now, deadline, tier) = (self.now, f.deadline, self.sidecars[sidecar as usize].tier);
        self.check_notified(sidecar, endpoint);
        let Some(f) = self.requests.get_mut(request) else { return };
        let attempt = f.attempts.len() as u8;
        f.attempts.push(Attempt { job: None, endpoint, sent: now, outcome: None });
        f.outstanding += 1;
        let origin = f.origin;
        if let Origin::Client(client, _) = origin
            && let Some(c) = self.clients.get_mut(client)
        {
            c.first_attempt_at.get_or_insert(now);
            c.attempt_sent = true;
        }
        self.statistics.record_attempt(tier, now);
        self.trace_request(request, |w| {
            let state = w.endpoints.get(endpoint as usize).map(|s| s.process_state);
            let until = until.0.saturating_sub(DECIDER_CLOCK_START_NS + w.now) as f64 / 1e6;
            format!("sidecar {sidecar} (tier {tier}) sends attempt {attempt} to endpoint {endpoint} ({state:?}) for {until:.0} ms")
        });
        let end_attempt = |w: &mut Self, after: Nanos, outcome: Outcome| {
            w.schedule(now + after, SimEvent::AttemptEnd { request, attempt, outcome });
        };
        if u32::from(attempt) >= self.scenario.rules.max_attempts {
            return end_attempt(self, 0, Outcome::NotSent);
        }
        if endpoint as usize >= self.endpoints.len() || self.endpoints[endpoint as usize].spec.tier != tier
        {
            return end_attempt(self, 0, Outcome::ConnectFailed);
        }
        let until = until.0.saturating_sub(DECIDER_CLOCK_START_NS).min(deadline);
        self.schedule(until, SimEvent::AttemptTimeout { request, attempt });
        let one_way = self.one_way();
        let (reused, reachable) =
            (self.take_idle_connection(sidecar, endpoint), self.reachable(sidecar, endpoint));
        let silent =
            !reachable || self.endpoints[endpoint as usize].process_state == ProcessState::Vanished;
        let connection_settings = self.scenario.tiers[tier].connections;
        let s = &mut self.endpoints[endpoint as usize];
        if reused && silent {
            s.open_connections = s.open_connections.saturating_sub(1);
            return; // Written to a connection that stays open and silent.
        }
        let mut before = one_way;
        if !reused {
            if silent {
                return end_attempt(self, connection_settings.timeout.0, Outcome::ConnectFailed);
            }
            if s.process_state == ProcessState::Down || s.open_connections >= s.spec.connections {
                return end_attempt(self, 2 * one_way, Outcome::ConnectFailed);
            }
            s.advance(now);
            s.open_connections += 1;
            before += (connection_settings.handshake_trips * 2.0 * one_way as f64) as Nanos;
            self.statistics.connections += 1;
        }
        let process = self.endpoints[endpoint as usize].process;
        let job = self.new_job(request, attempt, endpoint, process, sidecar, !reused);
        let job = self.jobs.insert(job);
        if let Some(f) = self.requests.get_mut(request) {
            f.attempts[usize::from(attempt)].job = Some(job);
        }
        self.schedule(now + before, SimEvent::AttemptAtEndpoint(job));
    }

    fn check_notified(&mut self, sidecar: u32, endpoint: u32) {
        let sidecar_state = &self.sidecars[sidecar as usize];
        if let Some(&notified_at) = sidecar_state.notified_unready.get(&endpoint) {
            return self.rules.check_unready_send(self.now, notified_at, endpoint);
        }
        // A sidecar that neither watches nor polls counts as notified after some time all the same.
        if sidecar_state.subscribed || !self.scenario.discovery.asked {
            return;
        }
        let not_ready =
            self.registry[sidecar_state.tier].get(&endpoint).is_none_or(|l| l.0 != EndpointState::Ready);
        let within = self.scenario.rules.ask_within.0 * if sidecar_state.poll_failed { 4 } else { 1 };
        if let Some(&listed) = self.listed_at.get(&endpoint).filter(|_| not_ready) {
            let notified_at = listed.max(sidecar_state.last_list_at) + within;
            self.rules.check_unready_send(self.now, notified_at, endpoint);
        }
    }

    fn new_job(
        &self,
        request: RequestKey,
        attempt: u8,
        endpoint: u32,
        process: u32,
        sidecar: u32,
        new_connection: bool,
    ) -> Job {
        let f = &self.requests[request];
        let tier = self.endpoints[endpoint as usize].spec.tier;
        let key = child_key(f.key, u64::from(attempt));
        let mut draw = RandomStream::new(self.seed, Purpose::Attempt, key);
        let noise = self.parameters.class_noise[usize::from(f.class)];
        let tier_settings = &self.scenario.tiers[tier];
        let own_work = f.work
            * tier_settings.work
            * draw.mean_one(crate::scenario::WorkDistribution::Lognormal, noise);
        let calls = self.parameters.calls[tier];
        let calls = calls.floor() + f64::from(u8::from(draw.uniform() < calls.fract()));
        let handshake =
            if new_connection { tier_settings.connections.handshake_work.seconds() } else { 0.0 };
        // Half of an endpoint's own work is done before its calls and half after them.
        let (before, after) = if calls > 0.0 { (own_work / 2.0, own_work / 2.0) } else { (own_work, 0.0) };
        Job {
            request,
            attempt,
            endpoint,
            process,
            sidecar,
            stage: Stage::InTransit,
            orphaned: false,
            new_connection,
            work_before_calls: before + handshake,
            work_after_calls: after,
            calls_left: calls as u8,
            ordinal: 0,
            work_done: 0.0,
            class: f.class,
            tenant: f.tenant,
            deadline: f.deadline,
            work: f.work,
            key,
        }
    }

    /// Takes an idle connection from the pool; returns whether there was one.
    fn take_idle_connection(&mut self, sidecar: u32, endpoint: u32) -> bool {
        let idle = {
            let tier = self.endpoints[endpoint as usize].spec.tier;
            self.scenario.tiers[tier].connections.idle.0
        };
        let s = &mut self.endpoints[endpoint as usize];
        let pool = self.sidecars[sidecar as usize].pools.entry(endpoint).or_default();
        if pool.process != s.process {
            *pool = Pool { process: s.process, idle: Vec::new() };
        }
        match pool.idle.last() {
            None => false,
            Some(&since) if self.now.saturating_sub(since) >= idle => {
                s.open_connections = s.open_connections.saturating_sub(pool.idle.len());
                pool.idle.clear();
                false
            }
            Some(_) => {
                pool.idle.pop();
                true
            }
        }
    }

    /// An attempt arrives at its endpoint.
    pub(super) fn attempt_at_endpoint(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let (endpoint, sidecar, request, attempt) = (job.endpoint, job.sidecar, job.request, job.attempt);
        let (process, connecting, own_work) =
            (job.process, job.new_connection, job.work_before_calls + job.work_after_calls);
        let now = self.now;
        if !self.reachable(sidecar, endpoint) {
            return self.discard_job(key);
        }
        let s = &mut self.endpoints[endpoint as usize];
        if s.process_state == ProcessState::Vanished {
            return self.discard_job(key);
        }
        if s.process != process || s.process_state == ProcessState::Down {
            self.discard_job(key);
            let after = self.one_way();
            let outcome = if connecting { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.schedule(now + after, SimEvent::AttemptEnd { request, attempt, outcome });
        }
        if self.record_cold_load(endpoint, sidecar, own_work) {
            // The endpoint failed under this request.
            return;
        }
        let s = &mut self.endpoints[endpoint as usize];
        if s.process_state == ProcessState::Draining {
            return self.send_answer(key, Outcome::Rejected, 0);
        }
        let error_share = s.error_share.max(s.spec.error_rate);
        let mut error_draw = RandomStream::new(self.seed, Purpose::Attempt, !self.jobs[key].key);
        if error_share > 0.0 && error_draw.uniform() < error_share {
            return self.send_answer(key, Outcome::Error, ERROR_RESPONSE_TIME_NS);
        }
        let s = &mut self.endpoints[endpoint as usize];
        s.advance(now);
        match s.admit(key) {
            Admission::Full => return self.send_answer(key, Outcome::Rejected, 0),
            Admission::Queued => self.jobs[key].stage = Stage::Queued,
            Admission::InService => self.start_service(key),
        }
        self.reschedule_completion(endpoint);
    }

    /// Starts the work of a request that has a slot.
    fn start_service(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let segment = std::mem::take(&mut job.work_before_calls);
        let done = self.endpoints[job.endpoint as usize].run(now, key, segment);
        job.stage = Stage::Running(done, segment);
    }

    /// Reschedules the next completion at an endpoint whose state has changed.
    pub(super) fn reschedule_completion(&mut self, endpoint: u32) {
        self.check_crowding(endpoint);
        let jobs = &self.jobs;
        let s = &mut self.endpoints[endpoint as usize];
        s.schedule_version += 1;
        let schedule_version = s.schedule_version;
        if let Some(at) = s.next_completion(|job| running(jobs, job)) {
            self.schedule(at, SimEvent::CompletionDue { endpoint, schedule_version });
        }
    }

    /// Checks whether the crowding of an endpoint begins or ends.
    pub(super) fn check_crowding(&mut self, endpoint: u32) {
        let now = self.now;
        let s = &mut self.endpoints[endpoint as usize];
        let before = s.next_crowding_check();
        if s.check_crowding(now) {
            let jobs = &self.jobs;
            s.schedule_version += 1;
            let schedule_version = s.schedule_version;
            if let Some(at) = s.next_completion(|job| running(jobs, job)) {
                self.schedule(at, SimEvent::CompletionDue { endpoint, schedule_version });
            }
        }
        let s = &self.endpoints[endpoint as usize];
        let again = s.next_crowding_check();
        if let Some(at) = again.filter(|_| again != before)
            && at > now
        {
            self.schedule(at, SimEvent::CrowdingCheck { endpoint });
        }
    }

    /// The next completion at an endpoint is due.
    pub(super) fn completion_due(&mut self, endpoint: u32, schedule_version: u32) {
        if self.endpoints[endpoint as usize].schedule_version != schedule_version {
            return;
        }
        let now = self.now;
        loop {
            let jobs = &self.jobs;
            let Some(key) = self.endpoints[endpoint as usize].take_finished(now, |job| running(jobs, job))
            else {
                break;
            };
            self.service_finished(key);
        }
        self.reschedule_completion(endpoint);
    }

    fn service_finished(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if let Stage::Running(_, segment) = job.stage {
            job.work_done += segment;
        }
        if job.calls_left > 0 && !job.orphaned {
            job.stage = Stage::CallingNextTier(None);
            return self.call_next_tier(key);
        }
        if job.work_after_calls > 0.0 && job.calls_left == 0 {
            return self.run_after_calls(key);
        }
        self.complete_job(key);
    }

    fn run_after_calls(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let segment = std::mem::take(&mut job.work_after_calls);
        let done = self.endpoints[job.endpoint as usize].run(now, key, segment);
        job.stage = Stage::Running(done, segment);
    }

    fn complete_job(&mut self, key: JobKey) {
        let endpoint = self.jobs[key].endpoint;
        self.endpoints[endpoint as usize].completed += 1;
        self.send_answer(key, Outcome::Ok, 0);
        self.hand_over_slot(endpoint);
    }

    /// Releases a slot; the request that has queued longest takes it.
    pub(super) fn hand_over_slot(&mut self, endpoint: u32) {
        let now = self.now;
        let s = &mut self.endpoints[endpoint as usize];
        s.advance(now);
        if let Some(next) = s.release_slot() {
            self.start_service(next);
        }
    }

    /// Sends an endpoint's answer to the sidecar.
    pub(super) fn send_answer(&mut self, key: JobKey, outcome: Outcome, after: Nanos) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.stage = Stage::AnswerInTransit(outcome);
        let endpoint = job.endpoint as usize;
        let tier = self.endpoints[endpoint].spec.tier;
        let report = self.parameters.report[tier].map(|(period, delay, noise)| {
            let draw = &mut self.noise_draw;
            let reading = self.endpoints[endpoint].report(now, period, delay, || draw.around_one(noise));
            LoadReport { utilization: Some(reading.utilization), rate: Some(reading.rate) }
        });
        let back = self.one_way() + after;
        self.schedule(now + back, SimEvent::AnswerAtSidecar(key, report));
    }

    /// An endpoint calls the next tier through its own sidecar.
    fn call_next_tier(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (endpoint, ordinal) = (job.endpoint, job.ordinal);
        job.ordinal += 1;
        let tier = self.endpoints[endpoint as usize].spec.tier;
        let deadline = match self.scenario.tiers[tier].passes_deadline {
            true => job.deadline,
            false => self.now + self.scenario.classes[usize::from(job.class)].give_up.0,
        };
        let (class, tenant, work, child) =
            (job.class, job.tenant, job.work, child_key(job.key, 256 + u64::from(ordinal)));
        let sidecar = self.sidecar_of.get(&endpoint).copied().filter(|&s| self.sidecars[s as usize].alive);
        let Some(sidecar) = sidecar else { return self.call_finished(key, Answer::Unreachable) };
        let request = self.open_request(sidecar, class, tenant, deadline, Origin::Job(key), work, child);
        if let Some(job) = self.jobs.get_mut(key) {
            job.stage = Stage::CallingNextTier(Some(request));
        }
        self.deliver_request(sidecar, request);
    }

    /// A call to the next tier has got its final answer.
    pub(super) fn call_finished(&mut self, key: JobKey, answer: Answer) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !matches!(job.stage, Stage::CallingNextTier(_)) {
            return;
        }
        let endpoint = job.endpoint;
        if answer != Answer::Served {
            self.send_answer(key, Outcome::Error, 0);
            self.hand_over_slot(endpoint);
            return self.reschedule_completion(endpoint);
        }
        job.calls_left -= 1;
        if job.calls_left > 0 && !job.orphaned {
            job.stage = Stage::CallingNextTier(None);
            return self.call_next_tier(key);
        }
        self.run_after_calls(key);
        self.reschedule_completion(endpoint);
    }
}

/// Whether the request of a key runs on the cores.
fn running(jobs: &SlotMap<JobKey, Job>, key: JobKey) -> bool {
    matches!(jobs.get(key), Some(Job { stage: Stage::Running(..), .. }))
}
