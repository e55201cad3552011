//! Validates the values of a scenario before anything runs.

use super::{DurationRange, Scenario, TroubleKind, ValueRange, WorkDistribution};
use cottonpoint_file::{Fault, TomlText};
use std::fmt;

/// Checks values and reports faults with their location in the file.
pub(super) struct Checker<'a>(pub(super) &'a TomlText);

impl Checker<'_> {
    fn fault(&self, key: &str, why: impl fmt::Display) -> Fault {
        self.0.fault(key, why)
    }

    fn check_range(&self, key: &str, span: ValueRange, least: f64, most: f64) -> Result<(), Fault> {
        if span.from.is_nan() || span.to.is_nan() || span.from > span.to {
            return Err(self.fault(key, format!("the range is reversed: {} to {}", span.from, span.to)));
        }
        if !(span.from >= least && span.to <= most) {
            return Err(self.fault(key, format!("must lie between {least} and {most}")));
        }
        Ok(())
    }

    fn check_durations(&self, key: &str, span: DurationRange) -> Result<(), Fault> {
        match span.from <= span.to {
            true => Ok(()),
            false => Err(self.fault(key, "the range is reversed")),
        }
    }

    pub(super) fn check_scenario(&self, s: &Scenario) -> Result<(), Fault> {
        let fail = |key: &str, why: &str| Err(self.fault(key, why));
        let unbounded = f64::MAX;
        if s.classes.is_empty() {
            return fail("class", "at least one is required");
        }
        if s.tiers.is_empty() || s.tiers.len() > 4 {
            return fail("tier", "one to four are required");
        }
        if s.length <= s.warm_up {
            return fail("length", "must be above warm_up");
        }
        match (s.load.rate, s.load.of_capacity) {
            (Some(rate), None) => self.check_range("load.rate", ValueRange::single(rate), 1e-6, 1e7)?,
            (None, Some(share)) => self.check_range("load.of_capacity", share, 1e-6, 100.0)?,
            _ => return fail("load", "needs exactly one of rate and of_capacity"),
        }
        self.check_range("load.quota", s.load.quota, 0.0, 1e9)?;
        self.check_range("load.swing", ValueRange::single(s.load.swing), 0.0, 1.0)?;
        if s.load.wave.0 == 0 {
            return fail("load.wave", "must be above 0");
        }
        self.check_range("network.jitter", ValueRange::single(s.network.jitter), 0.0, 1.0)?;
        let d = &s.discovery;
        for (key, span) in
            [("notice", d.notice), ("add", d.add), ("silent", d.silent), ("spread", d.spread)]
        {
            self.check_durations(&format!("discovery.{key}"), span)?;
        }
        self.check_range("clients.try_share", s.clients.try_share, 1e-3, 1.0)?;
        self.check_range("clients.try_varies", ValueRange::single(s.clients.try_varies), 0.0, 0.9)?;
        self.check_durations("clients.backoff", s.clients.backoff)?;
        self.check_range("clients.honour", ValueRange::single(s.clients.honour), 0.0, 1.0)?;
        self.check_range("clients.impatient", ValueRange::single(s.clients.impatient), 0.0, 1.0)?;
        self.check_range("rules.fall_multiple", ValueRange::single(s.rules.fall_multiple), 0.1, 1e6)?;
        for (i, c) in s.classes.iter().enumerate() {
            let key = |field: &str| format!("class.{i}.{field}");
            self.check_range(&key("share"), c.share, 0.0, 1e6)?;
            self.check_durations(&key("work"), c.work)?;
            if c.work.from.0 == 0 {
                return fail(&key("work"), "must be above 0");
            }
            let least = if c.law == WorkDistribution::Pareto { 1e-3 } else { 0.0 };
            self.check_range(&key("cv"), c.cv, least, 100.0)?;
            self.check_range(&key("noise"), c.noise, 0.0, 10.0)?;
            self.check_range(&key("worth"), ValueRange::single(c.worth), 1e-9, 1e9)?;
            if c.aim.0 == 0 || c.give_up < c.aim {
                return fail(&key("give_up"), "must be no shorter than aim, and aim above 0");
            }
        }
        for (i, t) in s.tenants.iter().enumerate() {
            self.check_range(&format!("tenant.{i}.share"), ValueRange::single(t.share), 1e-6, 1.0)?;
            self.check_range(&format!("tenant.{i}.usage"), t.usage, 0.0, 1e3)?;
        }
        for (i, t) in s.tiers.iter().enumerate() {
            let key = |field: &str| format!("tier.{i}.{field}");
            self.check_range(&key("servers"), t.servers, 1.0, 1e6)?;
            match t.sidecars {
                Some(n) if i == 0 => self.check_range(&key("sidecars"), n, 1.0, 1e5)?,
                Some(_) => return fail(&key("sidecars"), "allowed for the first tier only"),
                None if i == 0 => return fail(&key("sidecars"), "required for the first tier"),
                None => {}
            }
            self.check_range(&key("work"), ValueRange::single(t.work), 1e-6, 1.0)?;
            self.check_range(&key("calls"), t.calls, 0.0, 50.0)?;
            if t.calls.to > 0.0 && i + 1 == s.tiers.len() {
                return fail(&key("calls"), "must be 0 for the last tier");
            }
            if t.kinds.is_empty() {
                return fail(&key("kind"), "at least one is required");
            }
            for (j, k) in t.kinds.iter().enumerate() {
                let key = |field: &str| format!("tier.{i}.kind.{j}.{field}");
                self.check_range(&key("share"), k.share, 0.0, 1e6)?;
                self.check_range(&key("speed"), k.speed, 1e-6, 1e6)?;
                self.check_range(&key("speed_cv"), k.speed_cv, 0.0, 2.0)?;
                self.check_range(&key("slots"), k.slots, 1.0, 1e9)?;
                self.check_range(&key("queue"), k.queue, 0.0, 1e9)?;
                self.check_range(&key("thrash"), k.thrash, 0.0, 10.0)?;
                self.check_range(&key("thrash_at"), k.thrash_at, 0.0, unbounded)?;
                self.check_range(&key("cold_from"), k.cold_from, 1e-3, 1.0)?;
                self.check_durations(&key("cold_for"), k.cold_for)?;
                self.check_range(&key("error_rate"), k.error_rate, 0.0, 1.0)?;
                if k.cores == 0 {
                    return fail(&key("cores"), "must be above 0");
                }
            }
            if let Some(r) = &t.report {
                self.check_durations(&key("report.period"), r.period)?;
                self.check_durations(&key("report.delay"), r.delay)?;
                self.check_range(&key("report.noise"), r.noise, 0.0, 2.0)?;
            }
            if let Some(c) = &t.choke {
                self.check_range(&key("choke.slower"), c.slower, 1.0, 1e3)?;
                self.check_range(&key("choke.below"), c.below, 0.0, 1.0)?;
                for (name, span) in [("over", c.over), ("rest", c.rest), ("most", c.most)] {
                    self.check_durations(&key(&format!("choke.{name}")), span)?;
                }
            }
        }
        for (i, t) in s.troubles.iter().enumerate() {
            let key = |field: &str| format!("trouble.{i}.{field}");
            if t.tier >= s.tiers.len() {
                return fail(&key("tier"), "no tier has this index");
            }
            self.check_durations(&key("at"), t.at)?;
            self.check_durations(&key("for"), t.length)?;
            self.check_durations(&key("drain"), t.drain)?;
            self.check_range(&key("part"), t.part, 0.0, 1.0)?;
            self.check_range(&key("sidecars"), t.sidecars, 0.0, 1.0)?;
            let (least, most) = match t.what {
                TroubleKind::FastErrors => (0.0, 1.0),
                TroubleKind::Deploy => (1e-6, 1.0),
                TroubleKind::Slow | TroubleKind::SharedSlow | TroubleKind::Burst => (1e-3, 1e6),
                _ => (0.0, unbounded),
            };
            self.check_range(&key("size"), t.size, least, most)?;
        }
        Ok(())
    }
}
