//! What happens to sidecars and servers: starts, ends, and what each second brings.

use super::server::Life;
use super::*;

impl World<'_> {
    /// Makes the next sidecar of a tier, which is told the list as it stands.
    pub(super) fn add_sidecar(&mut self, tier: usize) -> u32 {
        let me = self.sidecars.iter().filter(|s| s.tier == tier).count() as u32;
        let number = self.sidecars.len() as u32;
        let decider = self.new_decider(number, tier, me, 0);
        self.sidecars.push(Side {
            tier,
            me,
            alive: true,
            process: 0,
            decider,
            known: FxHashMap::default(),
            told: FxHashMap::default(),
            pools: FxHashMap::default(),
            subscribed: !self.scenario.discovery.asked,
            asked_at: self.now,
            asks_failed: false,
        });
        self.tell_whole(number);
        number
    }

    /// The sidecar beside a server that calls a further tier.
    pub(super) fn add_sidecar_beside(&mut self, server: u32) {
        let tier = self.servers[server as usize].build.tier;
        if tier + 1 < self.scenario.tiers.len() {
            let sidecar = self.add_sidecar(tier + 1);
            self.beside.insert(server, sidecar);
        }
    }

    fn new_decider(&self, number: u32, tier: usize, me: u32, process: u32) -> Box<dyn Decider> {
        let mut settings = self.drawn.settings[tier].clone();
        settings.balancer_index = me;
        settings.balancer_count = match tier {
            0 => self.scenario.tiers[0].sidecars.map_or(1, |n| n.to.round() as u32),
            _ => self.registry[tier - 1].len() as u32,
        };
        let place = u64::from(number) | u64::from(process) << 32;
        let seed = Draw::new(self.seed, Purpose::Sidecar, place).bits();
        (self.maker)(settings, seed, decider_time(self.now))
    }

    /// Starts a sidecar again that was killed; it knows nothing but the list.
    pub(super) fn restart_sidecar(&mut self, number: u32) {
        let (tier, me, process) = {
            let s = &self.sidecars[number as usize];
            (s.tier, s.me, s.process)
        };
        let decider = self.new_decider(number, tier, me, process);
        let side = &mut self.sidecars[number as usize];
        side.decider = decider;
        (side.alive, side.subscribed, side.asks_failed) = (true, !self.scenario.discovery.asked, false);
        side.asked_at = self.now;
        self.tell_whole(number);
    }

    /// A sidecar's process ends with all that it knew.
    pub(super) fn kill_sidecar(&mut self, number: u32, silent: bool) {
        let side = &mut self.sidecars[number as usize];
        if !side.alive {
            return;
        }
        side.alive = false;
        side.process += 1;
        side.known.clear();
        side.told.clear();
        let mut pools: Vec<(u32, Pool)> = side.pools.drain().collect();
        pools.sort_unstable_by_key(|p| p.0);
        for (server, pool) in pools {
            let s = &mut self.servers[server as usize];
            if s.process == pool.process {
                s.open = s.open.saturating_sub(pool.idle.len());
            }
        }
        let theirs = self.flows.iter().filter(|(_, f)| f.sidecar == number).map(|(key, _)| key);
        for key in theirs.collect::<Vec<_>>() {
            let Some(flow) = self.flows.remove(key) else { continue };
            for job in flow.attempts.iter().filter_map(|a| a.job) {
                self.orphan(job);
            }
            if let (Origin::Client(client, try_no), false, false) = (flow.origin, flow.answered, silent) {
                let back = self.delay(self.scenario.network.client.0);
                let answer = Answer::Unreachable;
                self.plan(self.now + back, Happening::AtClient { client, try_no, answer });
            }
        }
    }

    /// A server's process ends, or its machine vanishes without a word.
    pub(super) fn kill_server(&mut self, server: u32, silent: bool) {
        let process = self.servers[server as usize].process;
        let theirs = self.jobs.iter().filter(|(_, j)| j.server == server && j.process == process);
        let theirs: Vec<JobKey> = theirs.map(|(key, _)| key).collect();
        for key in theirs {
            let job = &self.jobs[key];
            let (flow, attempt, orphan, sidecar) = (job.flow, job.attempt, job.orphan, job.sidecar);
            if matches!(job.stage, Stage::Travelling | Stage::Answering(_)) {
                continue; // It is on the wire.
            }
            self.lose(key);
            if !silent && !orphan && self.reachable(sidecar, server) {
                let back = self.one_way();
                let outcome = Outcome::Reset;
                self.plan(self.now + back, Happening::Short { flow, attempt, outcome });
            }
        }
        let life = if silent { Life::Vanished } else { Life::Down };
        self.servers[server as usize].stop(self.now, life);
        if let Some(beside) = self.beside.get(&server).copied() {
            self.kill_sidecar(beside, silent);
        }
    }

    /// Once a second: cold servers have become warmer, old idle connections are closed, figures are taken.
    pub(super) fn second(&mut self) {
        let now = self.now;
        let mut crowded = 0;
        for server in 0..self.servers.len() {
            let s = &mut self.servers[server];
            crowded += usize::from(s.choked.is_some());
            if s.life != Life::Down
                && s.life != Life::Vanished
                && s.started.is_some_and(|at| now.saturating_sub(at) as f64 / 1e9 <= s.build.cold_for + 1.0)
            {
                s.advance(now);
                self.replan(server as u32);
            }
        }
        for side in self.sidecars.iter_mut().filter(|s| s.alive) {
            let idle = self.scenario.tiers[side.tier].connections.idle.0;
            for (&server, pool) in &mut side.pools {
                let before = pool.idle.len();
                pool.idle.retain(|&since| now.saturating_sub(since) < idle);
                let s = &mut self.servers[server as usize];
                if s.process == pool.process {
                    s.open = s.open.saturating_sub(before - pool.idle.len());
                }
            }
        }
        let limits =
            self.sidecars.iter().filter(|s| s.alive && s.tier == 0).filter_map(|s| s.decider.limit());
        let limit = limits.fold(None, |sum: Option<f64>, l| Some(sum.unwrap_or(0.0) + l));
        let up = self.servers.iter().filter(|s| s.life == Life::Up).count();
        self.book.second(now, crowded as f64 / up.max(1) as f64, limit);
        if now < self.scenario.length.0 || !self.clients.is_empty() {
            self.plan(now + 1_000_000_000, Happening::Second);
        } else {
            // The day is over; what only keeps itself going is left alone.
            self.agenda.retain(|what| !matches!(what, Happening::Wake { .. }));
            for side in &mut self.sidecars {
                side.process += 1;
            }
        }
    }
}
