//! The serde types of the settings. Unknown keys are ignored.

use crate::fault::{BadSetting, read};
use crate::scalar::{Fraction, Keyword, NonNegative, Positive, Scalar, StringList};
use crate::{DeploymentSettings, ReportFields, Result};
use cottonpoint_decide as decide;
use cottonpoint_decide::{Class, Effect, Scope, Settings, Tenant, ZoneId};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// Default timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Default time for which new attempts may still go to an endpoint that drains, for settings that
/// do not state it (the site files).
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Default time for which a connection may be idle.
const CONN_IDLE: Duration = Duration::from_secs(30);
/// Tolerance per tenant when the shares are checked to add up to 1: shares may be rounded to
/// hundredths.
const SHARE_TOLERANCE: f64 = 0.005;

type Nanos = Scalar<u64>;

fn nanos(Scalar(n): Nanos) -> Duration {
    Duration::from_nanos(n)
}

fn positive_nanos(Positive(n): Positive<u64>) -> Duration {
    Duration::from_nanos(n)
}

fn value_or<T>(value: Option<Scalar<T>>, default: T) -> T {
    value.map_or(default, |Scalar(value)| value)
}

/// The settings as written in a sidecar's configuration.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
pub struct RawSettings {
    me: Scalar<u32>,
    siblings: Positive<u32>,
    my_zone: Scalar<u16>,
    tier: Option<Scalar<i32>>,
    discovery: Keyword<Discovery>,
    telemetry: Telemetry,
    lanes: Vec<RawClass>,
    orgs: Option<Vec<RawTenant>>,
    over_share_worth: Option<Fraction>,
    limits: Limits,
    obligations: Obligations,
    penalties: Option<Penalties>,
    #[serde(default)]
    azs: StringList,
    #[serde(default)]
    shapes: StringList,
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
    how: Keyword<Reporting>,
    #[serde(default)]
    fields: StringList,
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
struct RawClass {
    semantics: Keyword<Semantics>,
    /// `group` and `window_ns` are read only for a class with idempotency keys.
    group: Option<Value>,
    window_ns: Option<Value>,
    aim_ns: Positive<u64>,
    aim_stretch: Option<NonNegative>,
    give_up_ns: Positive<u64>,
    worth: NonNegative,
    late_worth: Option<Fraction>,
    name: Option<Scalar<String>>,
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
enum RawScope {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct RawTenant {
    name: Option<Scalar<String>>,
    quota_per_s: NonNegative,
    /// Checked only for the sum of all shares.
    share: Option<Fraction>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Limits {
    max_attempts: Positive<u32>,
    may_duplicate: Scalar<bool>,
    cancelling: Scalar<bool>,
    probes: Scalar<bool>,
    retry_after: Option<Scalar<bool>>,
    max_retry_after_ns: Option<Nanos>,
    connect_timeout_ns: Option<Positive<u64>>,
    conn_idle_ns: Option<Nanos>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Obligations {
    /// Read only if discovery answers on request.
    ask_within_ns: Option<Value>,
    cold_from: Fraction,
    warm_after_ns: Nanos,
    fall_multiple: NonNegative,
    tip_after_ns: Nanos,
    stop_sending_within_ns: Option<Nanos>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct Penalties {
    cross_zone: Option<NonNegative>,
}

/// Reads a value that only some settings require; if it is not required, it may hold anything.
fn read_required<T: DeserializeOwned>(value: Option<Value>, key: impl Fn() -> String) -> Result<T> {
    match value {
        Some(value) => read(value).map_err(|e| BadSetting::new(key(), e.why)),
        None => Err(BadSetting::missing(&key())),
    }
}

/// Checks that the items of a list can be numbered with 16 bits.
fn check_index_range<T>(key: &str, list: &[T]) -> Result<()> {
    if list.len() <= usize::from(u16::MAX) {
        return Ok(());
    }
    Err(BadSetting::new(key, format!("has more than {} items: {}", u16::MAX, list.len())))
}

/// Checks that the tenants' shares add up to 1, if every tenant has one.
fn check_shares(orgs: &[RawTenant]) -> Result<()> {
    let shares: Option<Vec<f64>> = orgs.iter().map(|org| org.share.map(|Fraction(share)| share)).collect();
    let Some(shares) = shares.filter(|shares| !shares.is_empty()) else { return Ok(()) };
    let (sum, tolerance) = (shares.iter().sum::<f64>(), SHARE_TOLERANCE * shares.len() as f64 + 1e-9);
    if (sum - 1.0).abs() <= tolerance {
        return Ok(());
    }
    Err(BadSetting::new("orgs", format!("the shares add up to {sum:.3}, not 1")))
}

impl RawClass {
    fn convert(self, i: usize) -> Result<(Class, String)> {
        let key = |field: &str| format!("lanes.{i}.{field}");
        let effect = match self.semantics.0 {
            Semantics::ReadLike => Effect::Safe,
            Semantics::IdempotencyKey => Effect::Keyed {
                scope: match read_required::<Keyword<_>>(self.group, || key("group"))?.0 {
                    RawScope::All => Scope::All,
                    RawScope::Zone => Scope::Zone,
                    RawScope::Cell => Scope::Cell,
                },
                window: positive_nanos(read_required(self.window_ns, || key("window_ns"))?),
            },
            Semantics::NonIdempotent => Effect::Unsafe,
        };
        let class = Class {
            latency_target: positive_nanos(self.aim_ns),
            latency_target_stretch: self.aim_stretch.unwrap_or_default().0,
            client_timeout: positive_nanos(self.give_up_ns),
            worth: self.worth.0,
            late_worth: self.late_worth.unwrap_or_default().0,
            effect,
        };
        Ok((class, value_or(self.name, String::new())))
    }
}

impl RawSettings {
    /// Validates the settings and converts them to the balancer's and the sidecar's.
    pub fn validate(self) -> Result<DeploymentSettings> {
        let orgs = self.orgs.unwrap_or_default();
        check_index_range("lanes", &self.lanes)?;
        check_index_range("orgs", &orgs)?;
        if self.lanes.is_empty() {
            return Err(BadSetting::new("lanes", "must not be empty"));
        }
        check_shares(&orgs)?;
        if !self.azs.0.is_empty() && usize::from(self.my_zone.0) >= self.azs.0.len() {
            return Err(BadSetting::new(
                "my_zone",
                format!("must be below {}, the number of azs", self.azs.0.len()),
            ));
        }
        // With a multiple of 0 no endpoint counts as failed, and no window is needed.
        if self.obligations.fall_multiple.0 > 0.0 && self.obligations.tip_after_ns.0 == 0 {
            return Err(BadSetting::new("obligations.tip_after_ns", "must be above 0"));
        }
        let classes = self.lanes.into_iter().enumerate();
        let classes: Vec<_> = classes.map(|(i, class)| class.convert(i)).collect::<Result<_>>()?;
        let (classes, class_names) = classes.into_iter().unzip();
        let (tenants, tenant_names) = orgs
            .into_iter()
            .map(|org| (Tenant { quota_per_s: org.quota_per_s.0 }, value_or(org.name, String::new())))
            .unzip();
        let ask_within = self.obligations.ask_within_ns;
        let discovery = match self.discovery.0 {
            Discovery::Pushed => decide::Discovery::Pushed,
            Discovery::OnRequest => decide::Discovery::OnRequest {
                ask_within: positive_nanos(read_required(ask_within, || {
                    "obligations.ask_within_ns".into()
                })?),
            },
        };
        let reporting = match self.telemetry.how.0 {
            Reporting::Piggyback => decide::Reporting::WithAnswers,
            Reporting::Pull => decide::Reporting::ProbesOnly,
            Reporting::Silent => decide::Reporting::Never,
        };
        let limits = self.limits;
        let max_retry_after = limits.max_retry_after_ns.map(nanos);
        let sends_retry_after = value_or(limits.retry_after, false);
        if sends_retry_after && max_retry_after.is_none() {
            return Err(BadSetting::missing("limits.max_retry_after_ns"));
        }
        let balancer = Settings {
            balancer_index: self.me.0,
            balancer_count: self.siblings.0,
            zone: ZoneId(self.my_zone.0),
            from_clients: value_or(self.tier, 0) == 0,
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
                max_retry_after: max_retry_after.filter(|_| sends_retry_after),
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
        let position = |name: &str| field_names.iter().position(|n| n == name);
        Ok(DeploymentSettings {
            balancer,
            fields: ReportFields { utilization: position("utilization"), rate: position("throughput") },
            field_names,
            classes: class_names,
            tenants: tenant_names,
            zones: self.azs.0,
            kinds: self.shapes.0,
            connect_timeout: limits.connect_timeout_ns.map_or(CONNECT_TIMEOUT, positive_nanos),
            conn_idle: limits.conn_idle_ns.map_or(CONN_IDLE, nanos),
            drain_grace: self.obligations.stop_sending_within_ns.map_or(DRAIN_GRACE, nanos),
            max_retry_after,
        })
    }
}
