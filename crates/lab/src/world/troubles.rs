//! Troubles: when they begin and end, whom they strike, what they do.

use super::server::{Life, Nanos};
use super::*;
use crate::scenario::{Trouble, What};
use cottonpoint_decide::EndpointState;

impl World<'_> {
    pub(super) fn plan_troubles(&mut self) {
        for (i, t) in self.scenario.troubles.iter().enumerate() {
            let number = i as u32;
            let mut draw = Draw::new(self.seed, Purpose::Troubles, u64::from(number));
            let begins = draw.length(t.at);
            let ends = begins + draw.length(t.length);
            self.plan(begins, Happening::Trouble { number, begins: true });
            self.plan(ends, Happening::Trouble { number, begins: false });
        }
    }

    /// The servers that a trouble strikes: a share of those that run, one at least.
    fn strike(&self, t: &Trouble, draw: &mut Draw) -> Vec<u32> {
        let up = |s: &u32| {
            self.servers[*s as usize].build.tier == t.tier && self.servers[*s as usize].life == Life::Up
        };
        let up: Vec<u32> = (0..self.servers.len() as u32).filter(up).collect();
        choose(up, draw.span(t.part), draw)
    }

    pub(super) fn trouble(&mut self, number: u32, begins: bool) {
        let scenario = self.scenario;
        let Some(t) = scenario.troubles.get(number as usize) else { return };
        // The same draws at its end as at its beginning.
        let mut draw = Draw::new(self.seed, Purpose::Troubles, u64::from(number));
        let (_, length) = (draw.length(t.at), draw.length(t.length));
        let size = draw.span(t.size);
        if begins {
            let struck = match t.what {
                What::Burst | What::Outage | What::SharedSlow => Vec::new(),
                What::SidecarDown => {
                    let fronts = self.fronts as u32;
                    choose((0..fronts).collect(), draw.span(t.part), &mut draw)
                }
                _ => self.strike(t, &mut draw),
            };
            let words = format!("{:?} of tier {} strikes {struck:?}", t.what, t.tier);
            self.book.event(self.now, words);
            self.begin_trouble(number, t, &struck, size, length, &mut draw);
            self.struck.insert(number, struck);
        } else {
            let struck = self.struck.remove(&number).unwrap_or_default();
            self.book.event(self.now, format!("{:?} of tier {} ends", t.what, t.tier));
            self.end_trouble(number, t, &struck, size);
        }
    }

    fn begin_trouble(
        &mut self,
        number: u32,
        t: &Trouble,
        struck: &[u32],
        size: f64,
        length: Nanos,
        draw: &mut Draw,
    ) {
        match t.what {
            What::Slow => self.each(struck, |s| s.slowed *= size),
            What::SharedSlow => {
                let all = self.of_tier(t.tier);
                self.each(&all, |s| s.slowed *= size);
            }
            What::FastErrors => self.each(struck, |s| s.failing = size),
            What::Gray => self.each(struck, |s| s.gray = true),
            What::Burst => self.burst *= size,
            What::Outage => {
                self.outages += 1;
                for sidecar in 0..self.sidecars.len() {
                    let side = &mut self.sidecars[sidecar];
                    if self.scenario.discovery.asked && side.alive && side.subscribed {
                        side.subscribed = false;
                        let (sidecar, process) = (sidecar as u32, side.process);
                        self.plan(self.now, Happening::NoList { sidecar, process });
                    }
                }
            }
            What::Vanish | What::Die => {
                for &server in struck {
                    self.kill_server(server, t.what == What::Vanish);
                    self.list_later(server, EndpointState::Removed, self.scenario.discovery.silent);
                }
            }
            What::Partition => {
                let fronts = (0..self.sidecars.len() as u32).filter(|&s| {
                    self.sidecars[s as usize].tier == t.tier && self.sidecars[s as usize].alive
                });
                let cut_off = choose(fronts.collect(), draw.span(t.sidecars), draw);
                let mark = |n: usize, which: &[u32]| {
                    let mut marks = vec![false; n];
                    which.iter().for_each(|&w| marks[w as usize] = true);
                    marks
                };
                let sidecars = mark(self.sidecars.len(), &cut_off);
                let servers = mark(self.servers.len(), struck);
                self.cuts.push(Cut { trouble: number, sidecars, servers });
            }
            What::SidecarDown => struck.iter().for_each(|&s| self.kill_sidecar(s, false)),
            What::Drain => {
                for &server in struck {
                    self.servers[server as usize].life = Life::Draining;
                    self.list_later(server, EndpointState::Draining, self.scenario.discovery.notice);
                }
            }
            What::Deploy => {
                let batch = ((size * self.of_tier(t.tier).len() as f64).ceil() as usize).max(1);
                let batches = struck.len().div_ceil(batch).max(1);
                for (i, &server) in struck.iter().enumerate() {
                    let at = self.now + length / batches as u64 * (i / batch) as u64;
                    let ends = at + draw.length(t.drain);
                    self.plan(at, Happening::DrainServer { server, ends });
                }
            }
        }
    }

    fn end_trouble(&mut self, number: u32, t: &Trouble, struck: &[u32], size: f64) {
        match t.what {
            What::Slow => self.each(struck, |s| s.slowed /= size),
            What::SharedSlow => {
                let all = self.of_tier(t.tier);
                self.each(&all, |s| s.slowed = (s.slowed / size).max(1.0));
            }
            What::FastErrors => self.each(struck, |s| s.failing = 0.0),
            What::Gray => self.each(struck, |s| s.gray = false),
            What::Burst => self.burst /= size,
            What::Outage => self.outages = self.outages.saturating_sub(1),
            What::Partition => self.cuts.retain(|c| c.trouble != number),
            What::SidecarDown => struck.iter().for_each(|&s| self.restart_sidecar(s)),
            What::Vanish | What::Die => {
                for &server in
                    struck.iter().filter(|s| !self.fallen.contains(s)).copied().collect::<Vec<_>>().iter()
                {
                    self.start_server(server);
                }
            }
            What::Drain => {
                for &server in struck {
                    if self.servers[server as usize].life == Life::Draining {
                        self.servers[server as usize].life = Life::Up;
                        self.list_later(server, EndpointState::Ready, self.scenario.discovery.add);
                    }
                }
            }
            What::Deploy => {}
        }
    }

    /// A process starts on a machine that had lost its own.
    fn start_server(&mut self, server: u32) {
        self.servers[server as usize].start(self.now);
        self.list_later(server, EndpointState::Ready, self.scenario.discovery.add);
        if let Some(sidecar) = self.beside.get(&server).copied() {
            self.restart_sidecar(sidecar);
        }
    }

    pub(super) fn drain_server(&mut self, server: u32, ends: Nanos) {
        if self.servers[server as usize].life != Life::Up {
            return;
        }
        self.servers[server as usize].life = Life::Draining;
        self.list_later(server, EndpointState::Draining, self.scenario.discovery.notice);
        self.plan(ends, Happening::EndServer { server, replace: true });
    }

    pub(super) fn end_server(&mut self, server: u32, replace: bool) {
        if self.servers[server as usize].life != Life::Draining {
            return;
        }
        self.kill_server(server, false);
        self.list_later(server, EndpointState::Removed, self.scenario.discovery.notice);
        if replace {
            let build = self.servers[server as usize].build.clone();
            let successor = self.servers.len() as u32;
            self.servers.push(Server::new(build, Some(self.now), self.now));
            self.add_sidecar_beside(successor);
            self.list_later(successor, EndpointState::Ready, self.scenario.discovery.add);
        }
    }

    fn of_tier(&self, tier: usize) -> Vec<u32> {
        (0..self.servers.len() as u32).filter(|&s| self.servers[s as usize].build.tier == tier).collect()
    }

    /// Changes what some servers can do.
    fn each(&mut self, servers: &[u32], change: impl Fn(&mut Server)) {
        for &server in servers {
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            change(s);
            self.replan(server);
        }
    }
}

/// Chooses a share of some, one at least, in the order of the draw (Fisher and Yates).
fn choose(mut from: Vec<u32>, share: f64, draw: &mut Draw) -> Vec<u32> {
    let count =
        ((share * from.len() as f64).round() as usize).clamp(usize::from(!from.is_empty()), from.len());
    for i in 0..count {
        let j = i + draw.below(from.len() - i);
        from.swap(i, j);
    }
    from.truncate(count);
    from
}
