//! The settings as they are written, by serde derive: keys that nobody reads are passed over.

use crate::fault::{BadSetting, read};
use crate::plain::{AboveZero, Amount, Fraction, Plain, Word, Words};
use crate::{Platform, ReportFields, Result};
use cottonpoint_decide as decide;
use cottonpoint_decide::{Class, Effect, Scope, Settings, Tenant, ZoneId};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// A connection that takes longer to come up is given up, where the settings do not say.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long something new may go to an endpoint that leaves, where the settings do not say (the site files).
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long a connection may stand idle, where the settings do not say.
const CONN_IDLE: Duration = Duration::from_secs(30);
/// How far the tenants' shares together may be off the whole, for each of them: shares may be written rounded
/// to hundredths.
const SHARE_ROUNDED: f64 = 0.005;

type Nanos = Plain<u64>;

fn nanos(Plain(n): Nanos) -> Duration {
    Duration::from_nanos(n)
}

fn above_zero(AboveZero(n): AboveZero<u64>) -> Duration {
    Duration::from_nanos(n)
}

fn or<T>(value: Option<Plain<T>>, default: T) -> T {
    value.map_or(default, |Plain(value)| value)
}

/// The settings as they stand in a sidecar's configuration.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
pub struct Written {
    me: Plain<u32>,
    siblings: AboveZero<u32>,
    my_zone: Plain<u16>,
    tier: Option<Plain<i32>>,
    discovery: Word<Discovery>,
    telemetry: Telemetry,
    lanes: Vec<Lane>,
    orgs: Option<Vec<Org>>,
    over_share_worth: Option<Fraction>,
    limits: Limits,
    obligations: Obligations,
    penalties: Option<Penalties>,
    #[serde(default)]
    azs: Words,
    #[serde(default)]
    shapes: Words,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Telemetry {
    how: Word<Reporting>,
    #[serde(default)]
    fields: Words,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reporting {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Lane {
    semantics: Word<Semantics>,
    /// Only a keyed class's are read, this and the next.
    group: Option<Value>,
    window_ns: Option<Value>,
    aim_ns: AboveZero<u64>,
    aim_stretch: Option<Amount>,
    give_up_ns: AboveZero<u64>,
    worth: Amount,
    late_worth: Option<Fraction>,
    name: Option<Plain<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Org {
    name: Option<Plain<String>>,
    quota_per_s: Amount,
    /// Read for its sum only.
    share: Option<Fraction>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Limits {
    max_attempts: AboveZero<u32>,
    may_duplicate: Plain<bool>,
    cancelling: Plain<bool>,
    probes: Plain<bool>,
    retry_after: Option<Plain<bool>>,
    max_retry_after_ns: Option<Nanos>,
    connect_timeout_ns: Option<AboveZero<u64>>,
    conn_idle_ns: Option<Nanos>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Obligations {
    /// Read where discovery answers on request only.
    ask_within_ns: Option<Value>,
    cold_from: Fraction,
    warm_after_ns: Nanos,
    fall_multiple: Amount,
    tip_after_ns: Nanos,
    stop_sending_within_ns: Option<Nanos>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Penalties {
    cross_zone: Option<Amount>,
}

/// Reads what only some settings ask for; where none do, it may hold anything.
fn asked<T: DeserializeOwned>(value: Option<Value>, key: impl Fn() -> String) -> Result<T> {
    match value {
        Some(value) => read(value).map_err(|e| BadSetting::new(key(), e.why)),
        None => Err(BadSetting::missing(&key())),
    }
}

/// A list whose items are known by numbers of 16 bits.
fn numbered<T>(key: &str, list: &[T]) -> Result<()> {
    if list.len() <= usize::from(u16::MAX) {
        return Ok(());
    }
    Err(BadSetting::new(key, format!("has more than {} items: {}", u16::MAX, list.len())))
}

/// The tenants' shares, where all have one, are the whole together.
fn add_up(orgs: &[Org]) -> Result<()> {
    let shares: Option<Vec<f64>> = orgs.iter().map(|org| org.share.map(|Fraction(share)| share)).collect();
    let Some(shares) = shares.filter(|shares| !shares.is_empty()) else { return Ok(()) };
    let (sum, off) = (shares.iter().sum::<f64>(), SHARE_ROUNDED * shares.len() as f64 + 1e-9);
    if (sum - 1.0).abs() <= off {
        return Ok(());
    }
    Err(BadSetting::new("orgs", format!("the shares add up to {sum:.3}, not 1")))
}

impl Lane {
    fn class(self, i: usize) -> Result<(Class, String)> {
        let key = |field: &str| format!("lanes.{i}.{field}");
        let effect = match self.semantics.0 {
            Semantics::ReadLike => Effect::Safe,
            Semantics::IdempotencyKey => Effect::Keyed {
                scope: match asked::<Word<_>>(self.group, || key("group"))?.0 {
                    Group::All => Scope::All,
                    Group::Zone => Scope::Zone,
                    Group::Cell => Scope::Cell,
                },
                window: above_zero(asked(self.window_ns, || key("window_ns"))?),
            },
            Semantics::NonIdempotent => Effect::Unsafe,
        };
        let class = Class {
            latency_target: above_zero(self.aim_ns),
            latency_target_stretch: self.aim_stretch.unwrap_or_default().0,
            client_timeout: above_zero(self.give_up_ns),
            worth: self.worth.0,
            late_worth: self.late_worth.unwrap_or_default().0,
            effect,
        };
        Ok((class, or(self.name, String::new())))
    }
}

impl Written {
    /// What the settings come to.
    pub fn platform(self) -> Result<Platform> {
        let orgs = self.orgs.unwrap_or_default();
        numbered("lanes", &self.lanes)?;
        numbered("orgs", &orgs)?;
        if self.lanes.is_empty() {
            return Err(BadSetting::new("lanes", "must not be empty"));
        }
        add_up(&orgs)?;
        if !self.azs.0.is_empty() && usize::from(self.my_zone.0) >= self.azs.0.len() {
            return Err(BadSetting::new(
                "my_zone",
                format!("must be below {}, the number of azs", self.azs.0.len()),
            ));
        }
        // Without a multiple no endpoint falls, and there is no window to count in.
        if self.obligations.fall_multiple.0 > 0.0 && self.obligations.tip_after_ns.0 == 0 {
            return Err(BadSetting::new("obligations.tip_after_ns", "must be above 0"));
        }
        let lanes = self.lanes.into_iter().enumerate();
        let lanes: Vec<_> = lanes.map(|(i, lane)| lane.class(i)).collect::<Result<_>>()?;
        let (classes, class_names) = lanes.into_iter().unzip();
        let (tenants, tenant_names) = orgs
            .into_iter()
            .map(|org| (Tenant { quota_per_s: org.quota_per_s.0 }, or(org.name, String::new())))
            .unzip();
        let ask_within = self.obligations.ask_within_ns;
        let discovery = match self.discovery.0 {
            Discovery::Pushed => decide::Discovery::Pushed,
            Discovery::OnRequest => decide::Discovery::OnRequest {
                ask_within: above_zero(asked(ask_within, || "obligations.ask_within_ns".into())?),
            },
        };
        let reporting = match self.telemetry.how.0 {
            Reporting::Piggyback => decide::Reporting::WithAnswers,
            Reporting::Pull => decide::Reporting::ProbesOnly,
            Reporting::Silent => decide::Reporting::Never,
        };
        let limits = self.limits;
        let max_retry_after = limits.max_retry_after_ns.map(nanos);
        let tells = or(limits.retry_after, false);
        if tells && max_retry_after.is_none() {
            return Err(BadSetting::missing("limits.max_retry_after_ns"));
        }
        let balancer = Settings {
            balancer_index: self.me.0,
            balancer_count: self.siblings.0,
            zone: ZoneId(self.my_zone.0),
            from_clients: or(self.tier, 0) == 0,
            classes,
            tenants,
            over_quota_worth: self.over_share_worth.map_or(1.0, |Fraction(worth)| worth),
            discovery,
            reporting,
            limits: decide::Limits {
                max_attempts: limits.max_attempts.0,
                may_duplicate: limits.may_duplicate.0,
                may_cancel: limits.cancelling.0,
                may_probe: limits.probes.0,
                max_retry_after: max_retry_after.filter(|_| tells),
            },
            slow_start: decide::SlowStart {
                initial_capacity: self.obligations.cold_from.0,
                warm_after: nanos(self.obligations.warm_after_ns),
                overload_multiple: self.obligations.fall_multiple.0,
                overload_window: nanos(self.obligations.tip_after_ns),
            },
            cross_zone_price: self.penalties.and_then(|p| p.cross_zone).unwrap_or_default().0,
        };
        let field_names = self.telemetry.fields.0;
        let at = |name: &str| field_names.iter().position(|n| n == name);
        Ok(Platform {
            balancer,
            fields: ReportFields { utilization: at("utilization"), rate: at("throughput") },
            field_names,
            classes: class_names,
            tenants: tenant_names,
            zones: self.azs.0,
            kinds: self.shapes.0,
            connect_timeout: limits.connect_timeout_ns.map_or(CONNECT_TIMEOUT, above_zero),
            conn_idle: limits.conn_idle_ns.map_or(CONN_IDLE, nanos),
            drain_grace: self.obligations.stop_sending_within_ns.map_or(DRAIN_GRACE, nanos),
            max_retry_after,
        })
    }
}
