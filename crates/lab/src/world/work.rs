//! Attempts on their way to servers and back, and the work in between.

use super::front::earlier;
use super::server::{Entry, Life, Nanos};
use super::*;
use cottonpoint_decide::EndpointState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An error is answered this fast, without work.
const ERROR_AFTER: Nanos = 1_000_000;

fn below(key: u64, ordinal: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), ordinal)
}

impl World<'_> {
    /// A decider sends an attempt.
    pub(super) fn send(&mut self, sidecar: u32, id: RequestId, endpoint: EndpointId, until: Time) {
        let flow = flow_key(id);
        let server = endpoint.0 as u32;
        let Some(f) = self.flows.get(flow).filter(|f| f.sidecar == sidecar) else {
            return self
                .rules
                .breach(Rule::OneAnswer, self.now, || "an attempt for a flow that is over".into());
        };
        let past: Vec<rules::Earlier> = f.attempts.iter().map(earlier).collect();
        self.rules.sends(self.now, f.class, f.answered, &past);
        let (now, due, tier) = (self.now, f.due, self.sidecars[sidecar as usize].tier);
        self.check_told(sidecar, server);
        let Some(f) = self.flows.get_mut(flow) else { return };
        let attempt = f.attempts.len() as u8;
        f.attempts.push(Attempt { job: None, server, sent: now, outcome: None });
        f.outstanding += 1;
        let origin = f.origin;
        if let Origin::Client(client, _) = origin
            && let Some(c) = self.clients.get_mut(client)
        {
            c.may_have_run.get_or_insert(now);
            c.written = true;
        }
        self.book.attempt(tier, now);
        self.note_flow(flow, |w| {
            let state = w.servers.get(server as usize).map(|s| s.life);
            let until = until.0.saturating_sub(START + w.now) as f64 / 1e6;
            format!("sidecar {sidecar} (tier {tier}) sends attempt {attempt} to server {server} ({state:?}) for {until:.0} ms")
        });
        let short = |w: &mut Self, after: Nanos, outcome: Outcome| {
            w.plan(now + after, Happening::Short { flow, attempt, outcome });
        };
        if u32::from(attempt) >= self.scenario.rules.max_attempts {
            return short(self, 0, Outcome::NotSent);
        }
        if server as usize >= self.servers.len() || self.servers[server as usize].build.tier != tier {
            return short(self, 0, Outcome::ConnectFailed);
        }
        let until = until.0.saturating_sub(START).min(due);
        self.plan(until, Happening::AttemptDue { flow, attempt });
        let one_way = self.one_way();
        let (kept, reachable) = (self.take_connection(sidecar, server), self.reachable(sidecar, server));
        let silent = !reachable || self.servers[server as usize].life == Life::Vanished;
        let terms = self.scenario.tiers[tier].connections;
        let s = &mut self.servers[server as usize];
        if kept && silent {
            s.open = s.open.saturating_sub(1);
            return; // Written to a connection that stays open and silent.
        }
        let mut before = one_way;
        if !kept {
            if silent {
                return short(self, terms.timeout.0, Outcome::ConnectFailed);
            }
            if s.life == Life::Down || s.open >= s.build.connections {
                return short(self, 2 * one_way, Outcome::ConnectFailed);
            }
            s.advance(now);
            s.open += 1;
            before += (terms.handshake_trips * 2.0 * one_way as f64) as Nanos;
            self.book.connections += 1;
        }
        let process = self.servers[server as usize].process;
        let job = self.new_job(flow, attempt, server, process, sidecar, !kept);
        let job = self.jobs.insert(job);
        if let Some(f) = self.flows.get_mut(flow) {
            f.attempts[usize::from(attempt)].job = Some(job);
        }
        self.plan(now + before, Happening::AtServer(job));
    }

    fn check_told(&mut self, sidecar: u32, server: u32) {
        let side = &self.sidecars[sidecar as usize];
        if let Some(&told) = side.told.get(&server) {
            return self.rules.sends_to_told(self.now, told, server);
        }
        // Who neither watches nor asks counts as told after a while all the same.
        if side.subscribed || !self.scenario.discovery.asked {
            return;
        }
        let gone = self.registry[side.tier].get(&server).is_none_or(|l| l.0 != EndpointState::Ready);
        let within = self.scenario.rules.ask_within.0 * if side.asks_failed { 4 } else { 1 };
        if let Some(&listed) = self.listed_at.get(&server).filter(|_| gone) {
            let told = listed.max(side.asked_at) + within;
            self.rules.sends_to_told(self.now, told, server);
        }
    }

    fn new_job(
        &self,
        flow: FlowKey,
        attempt: u8,
        server: u32,
        process: u32,
        sidecar: u32,
        new_connection: bool,
    ) -> Job {
        let f = &self.flows[flow];
        let tier = self.servers[server as usize].build.tier;
        let key = below(f.key, u64::from(attempt));
        let mut draw = Draw::new(self.seed, Purpose::Attempt, key);
        let noise = self.drawn.class_noise[usize::from(f.class)];
        let terms = &self.scenario.tiers[tier];
        let own = f.work * terms.work * draw.law(crate::scenario::Law::Lognormal, noise);
        let calls = self.drawn.calls[tier];
        let calls = calls.floor() + f64::from(u8::from(draw.share() < calls.fract()));
        let handshake = if new_connection { terms.connections.handshake_work.seconds() } else { 0.0 };
        // Half of a server's own work comes before its calls and half after them.
        let (before, after) = if calls > 0.0 { (own / 2.0, own / 2.0) } else { (own, 0.0) };
        Job {
            flow,
            attempt,
            server,
            process,
            sidecar,
            stage: Stage::Travelling,
            orphan: false,
            new_connection,
            before: before + handshake,
            after,
            calls_left: calls as u8,
            ordinal: 0,
            carried: 0.0,
            class: f.class,
            tenant: f.tenant,
            due: f.due,
            work: f.work,
            key,
        }
    }

    /// Whether an idle connection is to be had; it is taken from the pool.
    fn take_connection(&mut self, sidecar: u32, server: u32) -> bool {
        let idle = {
            let tier = self.servers[server as usize].build.tier;
            self.scenario.tiers[tier].connections.idle.0
        };
        let s = &mut self.servers[server as usize];
        let pool = self.sidecars[sidecar as usize].pools.entry(server).or_default();
        if pool.process != s.process {
            *pool = Pool { process: s.process, idle: Vec::new() };
        }
        match pool.idle.last() {
            None => false,
            Some(&since) if self.now.saturating_sub(since) >= idle => {
                s.open = s.open.saturating_sub(pool.idle.len());
                pool.idle.clear();
                false
            }
            Some(_) => {
                pool.idle.pop();
                true
            }
        }
    }

    /// An attempt is at its server.
    pub(super) fn at_server(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let (server, sidecar, flow, attempt) = (job.server, job.sidecar, job.flow, job.attempt);
        let (process, connecting, own) = (job.process, job.new_connection, job.before + job.after);
        let now = self.now;
        if !self.reachable(sidecar, server) {
            return self.lose(key);
        }
        let s = &mut self.servers[server as usize];
        if s.life == Life::Vanished {
            return self.lose(key);
        }
        if s.process != process || s.life == Life::Down {
            self.lose(key);
            let after = self.one_way();
            let outcome = if connecting { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.plan(now + after, Happening::Short { flow, attempt, outcome });
        }
        if self.push_cold(server, sidecar, own) {
            // It fell over under this very request.
            return;
        }
        let s = &mut self.servers[server as usize];
        if s.life == Life::Draining {
            return self.respond(key, Outcome::Rejected, 0);
        }
        let failing = s.failing.max(s.build.error_rate);
        let mut luck = Draw::new(self.seed, Purpose::Attempt, !self.jobs[key].key);
        if failing > 0.0 && luck.share() < failing {
            return self.respond(key, Outcome::Error, ERROR_AFTER);
        }
        let s = &mut self.servers[server as usize];
        s.advance(now);
        match s.enter(key) {
            Entry::Full => return self.respond(key, Outcome::Rejected, 0),
            Entry::Waiting => self.jobs[key].stage = Stage::Waiting,
            Entry::Working => self.begin(key),
        }
        self.replan(server);
    }

    /// Gives a request that has a slot to the cores.
    fn begin(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let part = std::mem::take(&mut job.before);
        let done = self.servers[job.server as usize].run(now, key, part);
        job.stage = Stage::Running(done, part);
    }

    /// Plans the next completion at a server, whose state has changed.
    pub(super) fn replan(&mut self, server: u32) {
        self.look_at_crowd(server);
        let jobs = &self.jobs;
        let s = &mut self.servers[server as usize];
        s.plan += 1;
        let plan = s.plan;
        if let Some(at) = s.next_finish(|job| running(jobs, job)) {
            self.plan(at, Happening::Step { server, plan });
        }
    }

    /// Looks whether a server is crowded, or is no more.
    pub(super) fn look_at_crowd(&mut self, server: u32) {
        let now = self.now;
        let s = &mut self.servers[server as usize];
        let before = s.look_again();
        if s.look_at_crowd(now) {
            let jobs = &self.jobs;
            s.plan += 1;
            let plan = s.plan;
            if let Some(at) = s.next_finish(|job| running(jobs, job)) {
                self.plan(at, Happening::Step { server, plan });
            }
        }
        let s = &self.servers[server as usize];
        let again = s.look_again();
        if let Some(at) = again.filter(|_| again != before)
            && at > now
        {
            self.plan(at, Happening::Crowd { server });
        }
    }

    /// A server's cores are done with something.
    pub(super) fn step_server(&mut self, server: u32, plan: u32) {
        if self.servers[server as usize].plan != plan {
            return;
        }
        let now = self.now;
        loop {
            let jobs = &self.jobs;
            let Some(key) = self.servers[server as usize].take_finished(now, |job| running(jobs, job))
            else {
                break;
            };
            self.part_done(key);
        }
        self.replan(server);
    }

    fn part_done(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if let Stage::Running(_, part) = job.stage {
            job.carried += part;
        }
        if job.calls_left > 0 && !job.orphan {
            job.stage = Stage::Calling(None);
            return self.call_next(key);
        }
        if job.after > 0.0 && job.calls_left == 0 {
            return self.run_after(key);
        }
        self.complete(key);
    }

    fn run_after(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let part = std::mem::take(&mut job.after);
        let done = self.servers[job.server as usize].run(now, key, part);
        job.stage = Stage::Running(done, part);
    }

    fn complete(&mut self, key: JobKey) {
        let server = self.jobs[key].server;
        self.servers[server as usize].completed += 1;
        self.respond(key, Outcome::Ok, 0);
        self.give_slot(server);
    }

    /// A slot is free: the request that has waited for longest takes it.
    pub(super) fn give_slot(&mut self, server: u32) {
        let now = self.now;
        let s = &mut self.servers[server as usize];
        s.advance(now);
        if let Some(next) = s.leave() {
            self.begin(next);
        }
    }

    /// Sends a server's answer on its way.
    pub(super) fn respond(&mut self, key: JobKey, outcome: Outcome, after: Nanos) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.stage = Stage::Answering(outcome);
        let server = job.server as usize;
        let tier = self.servers[server].build.tier;
        let report = self.drawn.report[tier].map(|(period, delay, noise)| {
            let draw = &mut self.noise;
            let reading = self.servers[server].report(now, period, delay, || draw.around_one(noise));
            LoadReport { utilization: Some(reading.utilization), rate: Some(reading.rate) }
        });
        let back = self.one_way() + after;
        self.plan(now + back, Happening::Back(key, report));
    }

    /// A server calls the next tier through the sidecar beside it.
    fn call_next(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (server, ordinal) = (job.server, job.ordinal);
        job.ordinal += 1;
        let tier = self.servers[server as usize].build.tier;
        let due = match self.scenario.tiers[tier].passes_deadline {
            true => job.due,
            false => self.now + self.scenario.classes[usize::from(job.class)].give_up.0,
        };
        let (class, tenant, work, child) =
            (job.class, job.tenant, job.work, below(job.key, 256 + u64::from(ordinal)));
        let sidecar = self.beside.get(&server).copied().filter(|&s| self.sidecars[s as usize].alive);
        let Some(sidecar) = sidecar else { return self.call_done(key, Answer::Unreachable) };
        let flow = self.open_flow(sidecar, class, tenant, due, Origin::Job(key), work, child);
        if let Some(job) = self.jobs.get_mut(key) {
            job.stage = Stage::Calling(Some(flow));
        }
        self.arrived(sidecar, flow);
    }

    /// A call to the next tier has had its final answer.
    pub(super) fn call_done(&mut self, key: JobKey, answer: Answer) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !matches!(job.stage, Stage::Calling(_)) {
            return;
        }
        let server = job.server;
        if answer != Answer::Served {
            self.respond(key, Outcome::Error, 0);
            self.give_slot(server);
            return self.replan(server);
        }
        job.calls_left -= 1;
        if job.calls_left > 0 && !job.orphan {
            job.stage = Stage::Calling(None);
            return self.call_next(key);
        }
        self.run_after(key);
        self.replan(server);
    }
}

/// Whether a key is of a request that runs.
fn running(jobs: &SlotMap<JobKey, Job>, key: JobKey) -> bool {
    matches!(jobs.get(key), Some(Job { stage: Stage::Running(..), .. }))
}
