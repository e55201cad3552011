//! Whether a scenario makes sense, before anything runs.

use super::{Law, Lengths, Scenario, Span, What};
use cottonpoint_file::{Fault, TomlText};
use std::fmt;

/// Finds wrong figures and says where they stand.
pub(super) struct Checker<'a>(pub(super) &'a TomlText);

impl Checker<'_> {
    fn bad(&self, key: &str, why: impl fmt::Display) -> Fault {
        self.0.fault(key, why)
    }

    fn span(&self, key: &str, span: Span, least: f64, most: f64) -> Result<(), Fault> {
        if span.from.is_nan() || span.to.is_nan() || span.from > span.to {
            return Err(self.bad(key, format!("the range is turned round: {} to {}", span.from, span.to)));
        }
        if !(span.from >= least && span.to <= most) {
            return Err(self.bad(key, format!("must lie between {least} and {most}")));
        }
        Ok(())
    }

    fn lengths(&self, key: &str, span: Lengths) -> Result<(), Fault> {
        match span.from <= span.to {
            true => Ok(()),
            false => Err(self.bad(key, "the range is turned round")),
        }
    }

    pub(super) fn scenario(&self, s: &Scenario) -> Result<(), Fault> {
        let no = |key: &str, why: &str| Err(self.bad(key, why));
        let many = f64::MAX;
        if s.classes.is_empty() {
            return no("class", "there must be one at least");
        }
        if s.tiers.is_empty() || s.tiers.len() > 4 {
            return no("tier", "there must be one to four");
        }
        if s.length <= s.warm_up {
            return no("length", "must be above warm_up");
        }
        match (s.load.rate, s.load.of_capacity) {
            (Some(rate), None) => self.span("load.rate", Span::just(rate), 1e-6, 1e7)?,
            (None, Some(share)) => self.span("load.of_capacity", share, 1e-6, 100.0)?,
            _ => return no("load", "needs exactly one of rate and of_capacity"),
        }
        self.span("load.quota", s.load.quota, 0.0, 1e9)?;
        self.span("load.swing", Span::just(s.load.swing), 0.0, 1.0)?;
        if s.load.wave.0 == 0 {
            return no("load.wave", "must be above 0");
        }
        self.span("network.jitter", Span::just(s.network.jitter), 0.0, 1.0)?;
        let d = &s.discovery;
        for (key, span) in
            [("notice", d.notice), ("add", d.add), ("silent", d.silent), ("spread", d.spread)]
        {
            self.lengths(&format!("discovery.{key}"), span)?;
        }
        self.span("clients.try_share", s.clients.try_share, 1e-3, 1.0)?;
        self.span("clients.try_varies", Span::just(s.clients.try_varies), 0.0, 0.9)?;
        self.lengths("clients.backoff", s.clients.backoff)?;
        self.span("clients.honour", Span::just(s.clients.honour), 0.0, 1.0)?;
        self.span("clients.impatient", Span::just(s.clients.impatient), 0.0, 1.0)?;
        self.span("rules.fall_multiple", Span::just(s.rules.fall_multiple), 0.1, 1e6)?;
        for (i, c) in s.classes.iter().enumerate() {
            let key = |field: &str| format!("class.{i}.{field}");
            self.span(&key("share"), c.share, 0.0, 1e6)?;
            self.lengths(&key("work"), c.work)?;
            if c.work.from.0 == 0 {
                return no(&key("work"), "must be above 0");
            }
            let least = if c.law == Law::Pareto { 1e-3 } else { 0.0 };
            self.span(&key("cv"), c.cv, least, 100.0)?;
            self.span(&key("noise"), c.noise, 0.0, 10.0)?;
            self.span(&key("worth"), Span::just(c.worth), 1e-9, 1e9)?;
            if c.aim.0 == 0 || c.give_up < c.aim {
                return no(&key("give_up"), "must be no shorter than aim, and aim above 0");
            }
        }
        for (i, t) in s.tenants.iter().enumerate() {
            self.span(&format!("tenant.{i}.share"), Span::just(t.share), 1e-6, 1.0)?;
            self.span(&format!("tenant.{i}.usage"), t.usage, 0.0, 1e3)?;
        }
        for (i, t) in s.tiers.iter().enumerate() {
            let key = |field: &str| format!("tier.{i}.{field}");
            self.span(&key("servers"), t.servers, 1.0, 1e6)?;
            match t.sidecars {
                Some(n) if i == 0 => self.span(&key("sidecars"), n, 1.0, 1e5)?,
                Some(_) => return no(&key("sidecars"), "only the first tier states its sidecars"),
                None if i == 0 => return no(&key("sidecars"), "the first tier must state them"),
                None => {}
            }
            self.span(&key("work"), Span::just(t.work), 1e-6, 1.0)?;
            self.span(&key("calls"), t.calls, 0.0, 50.0)?;
            if t.calls.to > 0.0 && i + 1 == s.tiers.len() {
                return no(&key("calls"), "the last tier calls nobody");
            }
            if t.kinds.is_empty() {
                return no(&key("kind"), "there must be one at least");
            }
            for (j, k) in t.kinds.iter().enumerate() {
                let key = |field: &str| format!("tier.{i}.kind.{j}.{field}");
                self.span(&key("share"), k.share, 0.0, 1e6)?;
                self.span(&key("speed"), k.speed, 1e-6, 1e6)?;
                self.span(&key("speed_cv"), k.speed_cv, 0.0, 2.0)?;
                self.span(&key("slots"), k.slots, 1.0, 1e9)?;
                self.span(&key("queue"), k.queue, 0.0, 1e9)?;
                self.span(&key("thrash"), k.thrash, 0.0, 10.0)?;
                self.span(&key("thrash_at"), k.thrash_at, 0.0, many)?;
                self.span(&key("cold_from"), k.cold_from, 1e-3, 1.0)?;
                self.lengths(&key("cold_for"), k.cold_for)?;
                self.span(&key("error_rate"), k.error_rate, 0.0, 1.0)?;
                if k.cores == 0 {
                    return no(&key("cores"), "must be above 0");
                }
            }
            if let Some(r) = &t.report {
                self.lengths(&key("report.period"), r.period)?;
                self.lengths(&key("report.delay"), r.delay)?;
                self.span(&key("report.noise"), r.noise, 0.0, 2.0)?;
            }
            if let Some(c) = &t.choke {
                self.span(&key("choke.slower"), c.slower, 1.0, 1e3)?;
                self.span(&key("choke.below"), c.below, 0.0, 1.0)?;
                for (name, span) in [("over", c.over), ("rest", c.rest), ("most", c.most)] {
                    self.lengths(&key(&format!("choke.{name}")), span)?;
                }
            }
        }
        for (i, t) in s.troubles.iter().enumerate() {
            let key = |field: &str| format!("trouble.{i}.{field}");
            if t.tier >= s.tiers.len() {
                return no(&key("tier"), "there is no such tier");
            }
            self.lengths(&key("at"), t.at)?;
            self.lengths(&key("for"), t.length)?;
            self.lengths(&key("drain"), t.drain)?;
            self.span(&key("part"), t.part, 0.0, 1.0)?;
            self.span(&key("sidecars"), t.sidecars, 0.0, 1.0)?;
            let (least, most) = match t.what {
                What::FastErrors => (0.0, 1.0),
                What::Deploy => (1e-6, 1.0),
                What::Slow | What::SharedSlow | What::Burst => (1e-3, 1e6),
                _ => (0.0, many),
            };
            self.span(&key("size"), t.size, least, most)?;
        }
        Ok(())
    }
}
