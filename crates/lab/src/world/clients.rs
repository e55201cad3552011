//! Clients and the requests that they and endpoints send to sidecars: arrivals, retries, final
//! answers, timeouts.

use super::endpoint::Nanos;
use super::fleet::weighted_index;
use super::*;
use crate::scenario::{Effect, TroubleKind};
use crate::score::ClientOutcome;

impl World<'_> {
    /// A client may arrive, and the next candidate arrival is scheduled. Candidates come at the
    /// highest rate of the run and are thinned to the current rate (Lewis and Shedler, 1979), so
    /// that all policies meet the same arrivals.
    pub(super) fn arrive(&mut self) {
        let s = self.scenario;
        let bursts = s.troubles.iter().filter(|t| t.what == TroubleKind::Burst).map(|t| t.size.to.max(1.0));
        let max_rate = self.parameters.rate * (1.0 + s.load.swing) * bursts.fold(1.0, f64::max);
        let gap = self.arrivals_draw.exponential(1.0 / max_rate);
        let chance = self.arrivals_draw.uniform();
        if self.now >= s.length.0 {
            return;
        }
        self.schedule(self.now + ((gap * 1e9) as Nanos).max(1), SimEvent::Arrival);
        let phase = self.now as f64 / s.load.wave.0 as f64 * std::f64::consts::TAU;
        let rate = self.parameters.rate * (1.0 + s.load.swing * libm::sin(phase)) * self.load_multiple;
        if self.now == 0 || chance >= rate / max_rate {
            return;
        }
        let number = self.next_client;
        self.next_client += 1;
        let mut draw = RandomStream::new(self.seed, Purpose::Request, number);
        let class = weighted_index(&self.parameters.class_weights, draw.uniform());
        let tenant = if s.tenants.is_empty() {
            0
        } else {
            weighted_index(&self.parameters.tenant_weights, draw.uniform())
        };
        let law = s.classes[class].law;
        let work = self.parameters.class_work[class] * draw.mean_one(law, self.parameters.class_cv[class]);
        let give_up = s.classes[class].give_up.0;
        let varies = 1.0 + s.clients.try_varies * (2.0 * draw.uniform() - 1.0);
        let timeout = (give_up as f64 * (self.parameters.try_share * varies).min(1.0)) as Nanos;
        let leaves_at =
            (draw.uniform() < s.clients.impatient).then(|| (timeout as f64 * draw.uniform()) as Nanos);
        let honours_retry_after = draw.uniform() < s.clients.honour;
        let over_quota = self.exceeds_quota(tenant);
        let client = Client {
            number,
            class: class as u16,
            tenant: tenant as u16,
            over_quota,
            after_warm_up: self.now >= s.warm_up.0,
            first_sent: self.now,
            work,
            tries: 0,
            timeout,
            leaves_at: leaves_at.map(|after| self.now + after),
            honours_retry_after,
            first_attempt_at: None,
            request: None,
            attempt_sent: false,
        };
        let offered: f64 = self.offered(work);
        self.statistics.record_arrival(&client_info(&client), offered);
        let client = self.clients.insert(client);
        self.trace_client(number, |w| {
            let class = &w.scenario.classes[class].name;
            format!("client {number} arrives with {class}, {:.1} ms of work in all", work * 1e3)
        });
        self.start_try(client);
    }

    /// The work that a request of this size causes in all tiers together.
    fn offered(&self, work: f64) -> f64 {
        let mut requests = 1.0;
        let mut sum = 0.0;
        for (tier, calls) in self.scenario.tiers.iter().zip(&self.parameters.calls) {
            sum += requests * tier.work * work;
            requests *= calls;
        }
        sum
    }

    /// Whether a tenant exceeds its quota with one more request (a token bucket that holds five
    /// seconds of quota).
    fn exceeds_quota(&mut self, tenant: usize) -> bool {
        let Some(t) = self.parameters.settings[0].tenants.get(tenant) else { return false };
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

    /// A client sends its first request or a retry to a sidecar of the first tier.
    pub(super) fn start_try(&mut self, client: ClientKey) {
        let Some(c) = self.clients.get_mut(client) else { return };
        c.tries += 1;
        let try_no = c.tries;
        let give_up = self.scenario.classes[usize::from(c.class)].give_up.0;
        if try_no > 1 {
            // A retry has what is left of the client timeout.
            c.timeout = (c.first_sent + give_up).saturating_sub(self.now);
        }
        let deadline = self.now + c.timeout;
        let leaves_at = c.leaves_at.filter(|_| try_no == 1);
        let sidecar = self.network_draw.index_below(self.first_tier_sidecars) as u32;
        let delay = self.delay(self.scenario.network.client.0);
        if !self.sidecars[sidecar as usize].alive {
            let answer = Answer::Unreachable;
            return self
                .schedule(self.now + 2 * delay, SimEvent::AnswerAtClient { client, try_no, answer });
        }
        let process = self.sidecars[sidecar as usize].process;
        self.schedule(
            self.now + delay,
            SimEvent::RequestAtSidecar { client, try_no, sidecar, process, deadline },
        );
        // A final answer that is in time arrives before this event even with the longest network
        // delay.
        let longest_transit = 2 * self.scenario.network.client.0 + self.scenario.rules.answer_slack.0;
        self.schedule(deadline + longest_transit, SimEvent::ClientTimeout { client, try_no });
        if let Some(at) = leaves_at {
            self.schedule(at, SimEvent::ClientLeaves { client, try_no });
        }
    }

    pub(super) fn request_at_sidecar(
        &mut self,
        client: ClientKey,
        try_no: u32,
        sidecar: u32,
        process: u32,
        deadline: Nanos,
    ) {
        if !self.is_process(sidecar, process) {
            let delay = self.delay(self.scenario.network.client.0);
            let answer = Answer::Unreachable;
            return self.schedule(self.now + delay, SimEvent::AnswerAtClient { client, try_no, answer });
        }
        let Some(c) = self.clients.get(client) else { return };
        if c.tries != try_no {
            return;
        }
        let (class, tenant, work, key) = (c.class, c.tenant, c.work, c.number);
        let origin = Origin::Client(client, try_no);
        let request = self.open_request(sidecar, class, tenant, deadline, origin, work, key);
        if let Some(c) = self.clients.get_mut(client) {
            c.request = Some(request);
        }
        self.trace_client(key, |w| {
            let left = deadline.saturating_sub(w.now) as f64 / 1e6;
            format!("try {try_no} is at sidecar {sidecar}, {left:.0} ms left")
        });
        self.deliver_request(sidecar, request);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn open_request(
        &mut self,
        sidecar: u32,
        class: u16,
        tenant: u16,
        deadline: Nanos,
        origin: Origin,
        work: f64,
        key: u64,
    ) -> RequestKey {
        let request = OpenRequest {
            sidecar,
            class,
            tenant,
            deadline,
            origin,
            answered: false,
            attempts: Vec::new(),
            outstanding: 0,
            work,
            key,
        };
        let request = self.requests.insert(request);
        self.schedule(deadline + self.scenario.rules.answer_slack.0, SimEvent::DeadlinePassed { request });
        request
    }

    pub(super) fn deliver_request(&mut self, sidecar: u32, request: RequestKey) {
        if let Some(call) = self.decider_request(request) {
            self.deliver_event(sidecar, Event::Arrived(call));
        }
    }

    /// A decider gives a final answer.
    pub(super) fn answer(&mut self, sidecar: u32, request: RequestKey, answer: Answer) {
        let Some(f) = self.requests.get_mut(request).filter(|f| f.sidecar == sidecar && !f.answered) else {
            return self
                .rules
                .breach(Rule::OneAnswer, self.now, || "an answer to a request that has ended".into());
        };
        f.answered = true;
        let (class, deadline) = (f.class, f.deadline);
        let earlier: Vec<rules::EarlierAttempt> = f.attempts.iter().map(earlier_attempt).collect();
        if matches!(answer, Answer::Refused(_)) {
            self.rules.check_refusal(self.now, class, &earlier);
        }
        if self.now > deadline + self.scenario.rules.answer_slack.0 {
            self.rules
                .breach(Rule::OneAnswer, self.now, || "a final answer came after its deadline".into());
        }
        self.trace_request(request, |_| format!("the sidecar answers: {answer:?}"));
        self.deliver(request, answer);
        self.release(request);
    }

    /// Delivers a final answer to the client or to the calling endpoint.
    pub(super) fn deliver(&mut self, request: RequestKey, answer: Answer) {
        let Some(f) = self.requests.get(request) else { return };
        match f.origin {
            Origin::Client(client, try_no) => {
                let delay = self.delay(self.scenario.network.client.0);
                self.schedule(self.now + delay, SimEvent::AnswerAtClient { client, try_no, answer });
            }
            Origin::Job(job) => self.call_finished(job, answer),
        }
    }

    /// Removes a request that is answered and has no attempt outstanding.
    pub(super) fn release(&mut self, request: RequestKey) {
        if self.requests.get(request).is_some_and(|f| f.answered && f.outstanding == 0) {
            self.requests.remove(request);
        }
    }

    /// The client of a request has disconnected: notifies the decider unless the request is already
    /// answered.
    pub(super) fn client_gone(&mut self, request: RequestKey) {
        let Some(f) = self.requests.get_mut(request).filter(|f| !f.answered) else { return };
        f.answered = true;
        let sidecar = f.sidecar;
        self.deliver_event(sidecar, Event::ClientGone { id: request_id(request) });
        self.release(request);
    }

    /// The latest time for a final answer has passed.
    pub(super) fn deadline_passed(&mut self, request: RequestKey) {
        if self.requests.get(request).is_some_and(|f| !f.answered) {
            self.rules.breach(Rule::OneAnswer, self.now, || "no final answer by the deadline".into());
            let client = self.requests.get(request).map(|f| f.origin);
            self.client_gone(request);
            if let Some(Origin::Job(job)) = client {
                self.call_finished(job, Answer::Failed);
            }
        }
    }

    pub(super) fn client_leaves(&mut self, client: ClientKey, try_no: u32) {
        let Some(c) = self.clients.get(client).filter(|c| c.tries == try_no) else { return };
        let (number, request) = (c.number, c.request);
        self.trace_client(number, |_| "the client leaves early".into());
        self.end_client(client, ClientOutcome::Left);
        if let Some(request) = request {
            self.client_gone(request);
        }
    }

    /// A client's try has timed out without an answer.
    pub(super) fn client_timed_out(&mut self, client: ClientKey, try_no: u32) {
        let Some(c) = self.clients.get_mut(client).filter(|c| c.tries == try_no) else { return };
        let request = c.request.take();
        if let Some(request) = request {
            self.client_gone(request);
        }
        self.answer_at_client(client, try_no, Answer::Failed);
    }

    /// An answer arrives at its client, which is served, retries or gives up.
    pub(super) fn answer_at_client(&mut self, client: ClientKey, try_no: u32, answer: Answer) {
        let Some(c) = self.clients.get_mut(client).filter(|c| c.tries == try_no) else { return };
        let number = c.number;
        let class = &self.scenario.classes[usize::from(c.class)];
        // Anything else of this try that is still in transit no longer matters.
        c.request = None;
        if answer == Answer::Served {
            let took = self.now - c.first_sent;
            self.trace_client(number, |_| format!("served after {:.1} ms", took as f64 / 1e6));
            return self.end_client(
                client,
                if took <= class.aim.0 { ClientOutcome::Served } else { ClientOutcome::Late },
            );
        }
        let no_effect = matches!(answer, Answer::Refused(_) | Answer::Unreachable);
        let may_retry = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.now < c.first_attempt_at.unwrap_or(c.first_sent) + class.window.0,
            Effect::Unsafe => no_effect,
        };
        let s = self.scenario;
        let mut draw = RandomStream::new(self.seed, Purpose::Request, number ^ (u64::from(try_no) << 48));
        let mut backoff = draw.duration_in(s.clients.backoff);
        if let Answer::Refused(Some(advice)) = answer
            && c.honours_retry_after
        {
            backoff = backoff.max((advice.as_nanos() as u64).min(s.clients.max_retry_after.0));
        }
        let at = self.now + backoff;
        if may_retry && c.tries <= s.clients.retries && at < c.first_sent + class.give_up.0 {
            // The retry gets the next number, so that late events of this try are ignored.
            self.trace_client(number, |_| {
                format!("{answer:?}; it tries again in {:.0} ms", backoff as f64 / 1e6)
            });
            return self.schedule(at, SimEvent::RetryDue(client));
        }
        self.trace_client(number, |_| format!("{answer:?}; it gives up"));
        let end = match answer {
            Answer::Refused(_) => ClientOutcome::Refused,
            _ => ClientOutcome::Failed,
        };
        self.end_client(client, end);
    }

    fn end_client(&mut self, client: ClientKey, end: ClientOutcome) {
        if let Some(c) = self.clients.remove(client) {
            self.statistics.record_end(&client_info(&c), end, self.now);
        }
    }
}

fn client_info(c: &Client) -> crate::score::ClientInfo {
    crate::score::ClientInfo {
        class: usize::from(c.class),
        tenant: usize::from(c.tenant),
        over_quota: c.over_quota,
        after_warm_up: c.after_warm_up,
        sent: c.first_sent,
    }
}

/// An attempt in the form that the rule on repeats needs.
pub(super) fn earlier_attempt(a: &Attempt) -> rules::EarlierAttempt {
    (a.sent, a.outcome.map(Outcome::never_ran))
}
