//! Clients and the flows that they and servers open at sidecars: arrivals, tries, final answers, patience.

use super::fleet::share_of;
use super::server::Nanos;
use super::*;
use crate::scenario::{Effect, What};
use crate::score::End;

impl World<'_> {
    /// A client may arrive, and the next candidate is planned. Candidates come at the highest rate of the day
    /// and are thinned to the rate of the moment (Lewis and Shedler, 1979), so that all policies meet the same.
    pub(super) fn arrive(&mut self) {
        let s = self.scenario;
        let bursts = s.troubles.iter().filter(|t| t.what == What::Burst).map(|t| t.size.to.max(1.0));
        let most = self.drawn.rate * (1.0 + s.load.swing) * bursts.fold(1.0, f64::max);
        let gap = self.arrivals.exponential(1.0 / most);
        let chance = self.arrivals.share();
        if self.now >= s.length.0 {
            return;
        }
        self.plan(self.now + ((gap * 1e9) as Nanos).max(1), Happening::Arrive);
        let turn = self.now as f64 / s.load.wave.0 as f64 * std::f64::consts::TAU;
        let rate = self.drawn.rate * (1.0 + s.load.swing * libm::sin(turn)) * self.burst;
        if self.now == 0 || chance >= rate / most {
            return;
        }
        let number = self.next_client;
        self.next_client += 1;
        let mut draw = Draw::new(self.seed, Purpose::Request, number);
        let class = share_of(&self.drawn.class_weights, draw.share());
        let tenant =
            if s.tenants.is_empty() { 0 } else { share_of(&self.drawn.tenant_weights, draw.share()) };
        let law = s.classes[class].law;
        let work = self.drawn.class_work[class] * draw.law(law, self.drawn.class_cv[class]);
        let give_up = s.classes[class].give_up.0;
        let varies = 1.0 + s.clients.try_varies * (2.0 * draw.share() - 1.0);
        let patience = (give_up as f64 * (self.drawn.try_share * varies).min(1.0)) as Nanos;
        let leaves =
            (draw.share() < s.clients.impatient).then(|| (patience as f64 * draw.share()) as Nanos);
        let honours = draw.share() < s.clients.honour;
        let over_share = self.over_quota(tenant);
        let client = Client {
            number,
            class: class as u16,
            tenant: tenant as u16,
            over_share,
            counts: self.now >= s.warm_up.0,
            first_sent: self.now,
            work,
            tries: 0,
            patience,
            leaves: leaves.map(|after| self.now + after),
            honours,
            may_have_run: None,
            flow: None,
            written: false,
        };
        let offered: f64 = self.offered(work);
        self.book.arrived(&client_terms(&client), offered);
        let client = self.clients.insert(client);
        self.note(number, |w| {
            let class = &w.scenario.classes[class].name;
            format!("client {number} arrives with {class}, {:.1} ms of work in all", work * 1e3)
        });
        self.start_try(client);
    }

    /// Work that a request of this size asks of all tiers together.
    fn offered(&self, work: f64) -> f64 {
        let mut requests = 1.0;
        let mut sum = 0.0;
        for (tier, calls) in self.scenario.tiers.iter().zip(&self.drawn.calls) {
            sum += requests * tier.work * work;
            requests *= calls;
        }
        sum
    }

    /// Whether a tenant is beyond its quota now (a bucket of five seconds' worth), one more request counted.
    fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(t) = self.drawn.settings[0].tenants.get(tenant) else { return false };
        let (left, at) = &mut self.quotas[tenant];
        let passed = self.now.saturating_sub(*at) as f64 / 1e9;
        *left = (*left + t.quota_per_s * passed).min((t.quota_per_s * 5.0).max(4.0));
        *at = self.now;
        if *left >= 1.0 {
            *left -= 1.0;
            return false;
        }
        true
    }

    /// A client sends a try to a sidecar of the first tier.
    pub(super) fn start_try(&mut self, client: ClientKey) {
        let Some(c) = self.clients.get_mut(client) else { return };
        c.tries += 1;
        let try_no = c.tries;
        let give_up = self.scenario.classes[usize::from(c.class)].give_up.0;
        if try_no > 1 {
            // A later try has what is left of the whole patience.
            c.patience = (c.first_sent + give_up).saturating_sub(self.now);
        }
        let due = self.now + c.patience;
        let leaves = c.leaves.filter(|_| try_no == 1);
        let sidecar = self.network.below(self.fronts) as u32;
        let there = self.delay(self.scenario.network.client.0);
        if !self.sidecars[sidecar as usize].alive {
            let answer = Answer::Unreachable;
            return self.plan(self.now + 2 * there, Happening::AtClient { client, try_no, answer });
        }
        let process = self.sidecars[sidecar as usize].process;
        self.plan(self.now + there, Happening::AtSidecar { client, try_no, sidecar, process, due });
        // A final answer that is in time, on the longest way, comes before this.
        let way = 2 * self.scenario.network.client.0 + self.scenario.rules.answer_slack.0;
        self.plan(due + way, Happening::GiveUp { client, try_no });
        if let Some(at) = leaves {
            self.plan(at, Happening::Leave { client, try_no });
        }
    }

    pub(super) fn at_sidecar(
        &mut self,
        client: ClientKey,
        try_no: u32,
        sidecar: u32,
        process: u32,
        due: Nanos,
    ) {
        if !self.is_process(sidecar, process) {
            let there = self.delay(self.scenario.network.client.0);
            let answer = Answer::Unreachable;
            return self.plan(self.now + there, Happening::AtClient { client, try_no, answer });
        }
        let Some(c) = self.clients.get(client) else { return };
        if c.tries != try_no {
            return;
        }
        let (class, tenant, work, key) = (c.class, c.tenant, c.work, c.number);
        let origin = Origin::Client(client, try_no);
        let flow = self.open_flow(sidecar, class, tenant, due, origin, work, key);
        if let Some(c) = self.clients.get_mut(client) {
            c.flow = Some(flow);
        }
        self.note(key, |w| {
            let left = due.saturating_sub(w.now) as f64 / 1e6;
            format!("try {try_no} is at sidecar {sidecar}, {left:.0} ms left")
        });
        self.arrived(sidecar, flow);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn open_flow(
        &mut self,
        sidecar: u32,
        class: u16,
        tenant: u16,
        due: Nanos,
        origin: Origin,
        work: f64,
        key: u64,
    ) -> FlowKey {
        let flow = Flow {
            sidecar,
            class,
            tenant,
            due,
            origin,
            answered: false,
            attempts: Vec::new(),
            outstanding: 0,
            work,
            key,
        };
        let flow = self.flows.insert(flow);
        self.plan(due + self.scenario.rules.answer_slack.0, Happening::Overdue { flow });
        flow
    }

    pub(super) fn arrived(&mut self, sidecar: u32, flow: FlowKey) {
        if let Some(call) = self.call_of(flow) {
            self.feed(sidecar, Event::Arrived(call));
        }
    }

    /// A decider gives a final answer.
    pub(super) fn answer(&mut self, sidecar: u32, flow: FlowKey, answer: Answer) {
        let Some(f) = self.flows.get_mut(flow).filter(|f| f.sidecar == sidecar && !f.answered) else {
            return self
                .rules
                .breach(Rule::OneAnswer, self.now, || "an answer for a flow that is over".into());
        };
        f.answered = true;
        let (class, due) = (f.class, f.due);
        let earlier: Vec<rules::Earlier> = f.attempts.iter().map(earlier).collect();
        if matches!(answer, Answer::Refused(_)) {
            self.rules.refuses(self.now, class, &earlier);
        }
        if self.now > due + self.scenario.rules.answer_slack.0 {
            self.rules.breach(Rule::OneAnswer, self.now, || "a final answer came after its due".into());
        }
        self.note_flow(flow, |_| format!("the sidecar answers: {answer:?}"));
        self.deliver(flow, answer);
        self.release(flow);
    }

    /// Brings a final answer to whoever asked.
    pub(super) fn deliver(&mut self, flow: FlowKey, answer: Answer) {
        let Some(f) = self.flows.get(flow) else { return };
        match f.origin {
            Origin::Client(client, try_no) => {
                let back = self.delay(self.scenario.network.client.0);
                self.plan(self.now + back, Happening::AtClient { client, try_no, answer });
            }
            Origin::Job(job) => self.call_done(job, answer),
        }
    }

    /// Forgets a flow that is answered and has nothing out.
    pub(super) fn release(&mut self, flow: FlowKey) {
        if self.flows.get(flow).is_some_and(|f| f.answered && f.outstanding == 0) {
            self.flows.remove(flow);
        }
    }

    /// Whoever asked has left.
    pub(super) fn depart(&mut self, flow: FlowKey) {
        let Some(f) = self.flows.get_mut(flow).filter(|f| !f.answered) else { return };
        f.answered = true;
        let sidecar = f.sidecar;
        self.feed(sidecar, Event::ClientGone { id: request_id(flow) });
        self.release(flow);
    }

    /// The latest moment for a final answer has come.
    pub(super) fn overdue(&mut self, flow: FlowKey) {
        if self.flows.get(flow).is_some_and(|f| !f.answered) {
            self.rules.breach(Rule::OneAnswer, self.now, || "no final answer by its due".into());
            let client = self.flows.get(flow).map(|f| f.origin);
            self.depart(flow);
            if let Some(Origin::Job(job)) = client {
                self.call_done(job, Answer::Failed);
            }
        }
    }

    pub(super) fn leave(&mut self, client: ClientKey, try_no: u32) {
        let Some(c) = self.clients.get(client).filter(|c| c.tries == try_no) else { return };
        let (number, flow) = (c.number, c.flow);
        self.note(number, |_| "the client leaves early".into());
        self.end_client(client, End::Left);
        if let Some(flow) = flow {
            self.depart(flow);
        }
    }

    /// A client's try has had no answer in its time.
    pub(super) fn give_up(&mut self, client: ClientKey, try_no: u32) {
        let Some(c) = self.clients.get_mut(client).filter(|c| c.tries == try_no) else { return };
        let flow = c.flow.take();
        if let Some(flow) = flow {
            self.depart(flow);
        }
        self.at_client(client, try_no, Answer::Failed);
    }

    /// An answer is at its client, which is content, tries again or gives up.
    pub(super) fn at_client(&mut self, client: ClientKey, try_no: u32, answer: Answer) {
        let Some(c) = self.clients.get_mut(client).filter(|c| c.tries == try_no) else { return };
        let number = c.number;
        let class = &self.scenario.classes[usize::from(c.class)];
        // Whatever else of this try is on its way means nothing any more.
        c.flow = None;
        if answer == Answer::Served {
            let took = self.now - c.first_sent;
            self.note(number, |_| format!("served after {:.1} ms", took as f64 / 1e6));
            return self.end_client(client, if took <= class.aim.0 { End::Served } else { End::Late });
        }
        let harmless = matches!(answer, Answer::Refused(_) | Answer::Unreachable);
        let again = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.now < c.may_have_run.unwrap_or(c.first_sent) + class.window.0,
            Effect::Unsafe => harmless,
        };
        let s = self.scenario;
        let mut draw = Draw::new(self.seed, Purpose::Request, number ^ (u64::from(try_no) << 48));
        let mut wait = draw.length(s.clients.backoff);
        if let Answer::Refused(Some(advice)) = answer
            && c.honours
        {
            wait = wait.max((advice.as_nanos() as u64).min(s.clients.max_retry_after.0));
        }
        let at = self.now + wait;
        if again && c.tries <= s.clients.retries && at < c.first_sent + class.give_up.0 {
            // The number of the try to come, so that nothing of this one counts any more.
            self.note(number, |_| format!("{answer:?}; it tries again in {:.0} ms", wait as f64 / 1e6));
            return self.plan(at, Happening::Try(client));
        }
        self.note(number, |_| format!("{answer:?}; it gives up"));
        let end = match answer {
            Answer::Refused(_) => End::Refused,
            _ => End::Failed,
        };
        self.end_client(client, end);
    }

    fn end_client(&mut self, client: ClientKey, end: End) {
        if let Some(c) = self.clients.remove(client) {
            self.book.ended(&client_terms(&c), end, self.now);
        }
    }
}

fn client_terms(c: &Client) -> crate::score::Terms {
    crate::score::Terms {
        class: usize::from(c.class),
        tenant: usize::from(c.tenant),
        over_share: c.over_share,
        counts: c.counts,
        sent: c.first_sent,
    }
}

/// An attempt as the rule on repeats sees it.
pub(super) fn earlier(a: &Attempt) -> rules::Earlier {
    (a.sent, a.outcome.map(Outcome::never_ran))
}
