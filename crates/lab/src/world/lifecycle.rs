//! Starts and ends of sidecars and endpoints, and the periodic work of each second.

use super::endpoint::ProcessState;
use super::*;

impl World<'_> {
    /// Adds a sidecar to a tier and delivers the current endpoint list to it.
    pub(super) fn add_sidecar(&mut self, tier: usize) -> u32 {
        let index_in_tier = self.sidecars.iter().filter(|s| s.tier == tier).count() as u32;
        let number = self.sidecars.len() as u32;
        let decider = self.new_decider(number, tier, index_in_tier, 0);
        self.sidecars.push(SidecarState {
            tier,
            index_in_tier,
            alive: true,
            process: 0,
            decider,
            known_ready: FxHashMap::default(),
            notified_unready: FxHashMap::default(),
            pools: FxHashMap::default(),
            subscribed: !self.scenario.discovery.asked,
            last_list_at: self.now,
            poll_failed: false,
        });
        self.deliver_full_list(number);
        number
    }

    /// Adds the sidecar of an endpoint that calls a further tier.
    pub(super) fn add_endpoint_sidecar(&mut self, endpoint: u32) {
        let tier = self.endpoints[endpoint as usize].spec.tier;
        if tier + 1 < self.scenario.tiers.len() {
            let sidecar = self.add_sidecar(tier + 1);
            self.sidecar_of.insert(endpoint, sidecar);
        }
    }

    fn new_decider(&self, number: u32, tier: usize, index_in_tier: u32, process: u32) -> Box<dyn Decider> {
        let mut settings = self.parameters.settings[tier].clone();
        settings.balancer_index = index_in_tier;
        settings.balancer_count = match tier {
            0 => self.scenario.tiers[0].sidecars.map_or(1, |n| n.to.round() as u32),
            _ => self.registry[tier - 1].len() as u32,
        };
        let stream = u64::from(number) | u64::from(process) << 32;
        let seed = RandomStream::new(self.seed, Purpose::Sidecar, stream).bits();
        (self.make_decider)(settings, seed, decider_time(self.now))
    }

    /// Restarts a killed sidecar, which knows nothing but the current list.
    pub(super) fn restart_sidecar(&mut self, number: u32) {
        let (tier, index_in_tier, process) = {
            let s = &self.sidecars[number as usize];
            (s.tier, s.index_in_tier, s.process)
        };
        let decider = self.new_decider(number, tier, index_in_tier, process);
        let sidecar_state = &mut self.sidecars[number as usize];
        sidecar_state.decider = decider;
        (sidecar_state.alive, sidecar_state.subscribed, sidecar_state.poll_failed) =
            (true, !self.scenario.discovery.asked, false);
        sidecar_state.last_list_at = self.now;
        self.deliver_full_list(number);
    }

    /// Ends a sidecar's process; its state is lost. If `silent`, its clients do not notice.
    pub(super) fn kill_sidecar(&mut self, number: u32, silent: bool) {
        let sidecar_state = &mut self.sidecars[number as usize];
        if !sidecar_state.alive {
            return;
        }
        sidecar_state.alive = false;
        sidecar_state.process += 1;
        sidecar_state.known_ready.clear();
        sidecar_state.notified_unready.clear();
        let mut pools: Vec<(u32, Pool)> = sidecar_state.pools.drain().collect();
        pools.sort_unstable_by_key(|p| p.0);
        for (endpoint, pool) in pools {
            let s = &mut self.endpoints[endpoint as usize];
            if s.process == pool.process {
                s.open_connections = s.open_connections.saturating_sub(pool.idle.len());
            }
        }
        let affected = self.requests.iter().filter(|(_, f)| f.sidecar == number).map(|(key, _)| key);
        for key in affected.collect::<Vec<_>>() {
            let Some(request) = self.requests.remove(key) else { continue };
            for job in request.attempts.iter().filter_map(|a| a.job) {
                self.orphan_job(job);
            }
            if let (Origin::Client(client, try_no), false, false) =
                (request.origin, request.answered, silent)
            {
                let delay = self.delay(self.scenario.network.client.0);
                let answer = Answer::Unreachable;
                self.schedule(self.now + delay, SimEvent::AnswerAtClient { client, try_no, answer });
            }
        }
    }

    /// Ends an endpoint's process. If `silent`, its machine vanishes and connections are not reset.
    pub(super) fn kill_endpoint(&mut self, endpoint: u32, silent: bool) {
        let process = self.endpoints[endpoint as usize].process;
        let affected = self.jobs.iter().filter(|(_, j)| j.endpoint == endpoint && j.process == process);
        let affected: Vec<JobKey> = affected.map(|(key, _)| key).collect();
        for key in affected {
            let job = &self.jobs[key];
            let (request, attempt, orphan, sidecar) = (job.request, job.attempt, job.orphaned, job.sidecar);
            if matches!(job.stage, Stage::InTransit | Stage::AnswerInTransit(_)) {
                continue; // It is on the wire.
            }
            self.discard_job(key);
            if !silent && !orphan && self.reachable(sidecar, endpoint) {
                let delay = self.one_way();
                let outcome = Outcome::Reset;
                self.schedule(self.now + delay, SimEvent::AttemptEnd { request, attempt, outcome });
            }
        }
        let process_state = if silent { ProcessState::Vanished } else { ProcessState::Down };
        self.endpoints[endpoint as usize].stop_process(self.now, process_state);
        if let Some(sidecar_of) = self.sidecar_of.get(&endpoint).copied() {
            self.kill_sidecar(sidecar_of, silent);
        }
    }

    /// Runs once per second: updates the rate of warming endpoints, closes connections that were
    /// idle too long, records the second's figures.
    pub(super) fn every_second(&mut self) {
        let now = self.now;
        let mut crowded = 0;
        for endpoint in 0..self.endpoints.len() {
            let s = &mut self.endpoints[endpoint];
            crowded += usize::from(s.slowed_since.is_some());
            if s.process_state != ProcessState::Down
                && s.process_state != ProcessState::Vanished
                && s.started.is_some_and(|at| now.saturating_sub(at) as f64 / 1e9 <= s.spec.cold_for + 1.0)
            {
                s.advance(now);
                self.reschedule_completion(endpoint as u32);
            }
        }
        for sidecar_state in self.sidecars.iter_mut().filter(|s| s.alive) {
            let idle = self.scenario.tiers[sidecar_state.tier].connections.idle.0;
            for (&endpoint, pool) in &mut sidecar_state.pools {
                let before = pool.idle.len();
                pool.idle.retain(|&since| now.saturating_sub(since) < idle);
                let s = &mut self.endpoints[endpoint as usize];
                if s.process == pool.process {
                    s.open_connections = s.open_connections.saturating_sub(before - pool.idle.len());
                }
            }
        }
        let limits =
            self.sidecars.iter().filter(|s| s.alive && s.tier == 0).filter_map(|s| s.decider.limit());
        let limit = limits.fold(None, |sum: Option<f64>, l| Some(sum.unwrap_or(0.0) + l));
        let up = self.endpoints.iter().filter(|s| s.process_state == ProcessState::Up).count();
        self.statistics.record_second(now, crowded as f64 / up.max(1) as f64, limit);
        if now < self.scenario.length.0 || !self.clients.is_empty() {
            self.schedule(now + 1_000_000_000, SimEvent::SecondElapsed);
        } else {
            // The run is over: drops the timers, which would otherwise keep rearming themselves.
            self.calendar.retain(|what| !matches!(what, SimEvent::TimerFired { .. }));
            for sidecar_state in &mut self.sidecars {
                sidecar_state.process += 1;
            }
        }
    }
}
