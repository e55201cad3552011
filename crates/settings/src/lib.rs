//! The platform's settings, read once for both forms in which they come: the simulator's `path=value` lines
//! and the nested JSON of a sidecar's configuration.

use cottonpoint_decide::*;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A setting that is missing or cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSetting {
    /// The setting's path.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for BadSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.key, self.why)
    }
}

type Result<T> = std::result::Result<T, BadSetting>;

/// Where the values of a load report stand among those that the settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportFields {
    /// The busy fraction of the processor.
    pub utilization: Option<usize>,
    /// Requests served a second.
    pub rate: Option<usize>,
}

impl ReportFields {
    /// Picks the values that the balancer looks at.
    pub fn report(&self, value: impl Fn(usize) -> Option<f64>) -> LoadReport {
        LoadReport { utilization: self.utilization.and_then(&value), rate: self.rate.and_then(&value) }
    }
}

/// All that is read from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The balancer's own settings.
    pub balancer: Settings,
    /// Where a load report's values stand.
    pub fields: ReportFields,
    /// The names of a load report's values.
    pub field_names: Vec<String>,
    /// The class names, indexed by [`ClassId`].
    pub classes: Vec<String>,
    /// The tenant names, indexed by [`TenantId`].
    pub tenants: Vec<String>,
    /// The zone names, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The names of machine kinds, indexed by [`KindId`].
    pub kinds: Vec<String>,
    /// A connection that takes longer to come up is given up.
    pub connect_timeout: Duration,
    /// The other side closes a connection that has stood idle for this long.
    pub conn_idle: Duration,
    /// The longest stay-away that a client heeds.
    pub max_retry_after: Option<Duration>,
}

/// Settings by path; lists of plain values stand whole under their path.
#[derive(Default)]
struct Paths(HashMap<String, Vec<String>>);

impl Paths {
    fn from_pairs(text: &str) -> Paths {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Paths(pairs.map(|(k, v)| (k.to_owned(), v.split(',').map(str::to_owned).collect())).collect())
    }

    fn from_json(value: &Value) -> Paths {
        let mut paths = Paths::default();
        paths.flatten(String::new(), value);
        paths
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (key, value) in fields {
                    self.flatten(under(key), value);
                }
            }
            Value::Array(items) if items.iter().all(|i| !i.is_object()) => {
                self.0.insert(path, items.iter().map(plain).collect());
            }
            Value::Array(items) => {
                self.0.insert(under("count"), vec![items.len().to_string()]);
                for (i, item) in items.iter().enumerate() {
                    self.flatten(under(&i.to_string()), item);
                }
            }
            _ => {
                self.0.insert(path, vec![plain(value)]);
            }
        }
    }

    fn bad<T>(key: &str, why: impl Into<String>) -> Result<T> {
        Err(BadSetting { key: key.to_owned(), why: why.into() })
    }

    fn find(&self, key: &str) -> Result<String> {
        match self.0.get(key) {
            Some(values) => Ok(values.join(",")),
            None => Self::bad(key, "is missing"),
        }
    }

    fn list(&self, key: &str) -> Vec<String> {
        self.0.get(key).cloned().unwrap_or_default()
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.find(key)?;
        text.parse().or_else(|_| Self::bad(key, format!("cannot be read: {text}")))
    }

    fn or<T: FromStr>(&self, key: &str, default: T) -> Result<T> {
        if self.0.contains_key(key) { self.get(key) } else { Ok(default) }
    }

    fn nanos(&self, key: &str) -> Result<Duration> {
        Ok(Duration::from_nanos(self.get(key)?))
    }

    fn nanos_or(&self, key: &str, default: Duration) -> Result<Duration> {
        if self.0.contains_key(key) { self.nanos(key) } else { Ok(default) }
    }

    /// A number that must be above 0.
    fn above_zero<T: FromStr + PartialOrd + Default>(&self, key: &str) -> Result<T> {
        let n: T = self.get(key)?;
        if n > T::default() { Ok(n) } else { Self::bad(key, "must be above 0") }
    }

    /// A span of time that must not be nothing.
    fn span(&self, key: &str) -> Result<Duration> {
        match self.nanos(key)? {
            Duration::ZERO => Self::bad(key, "must be above 0"),
            span => Ok(span),
        }
    }

    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T> {
        let text = self.find(key)?;
        match words.iter().find(|(word, _)| *word == text) {
            Some(&(_, value)) => Ok(value),
            None => Self::bad(key, format!("cannot be read: {text}")),
        }
    }

    fn class(&self, i: u16) -> Result<Class> {
        let key = |field: &str| format!("lanes.{i}.{field}");
        let words = [("read_like", 0), ("idempotency_key", 1), ("non_idempotent", 2)];
        let scopes = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];
        let effect = match self.word(&key("semantics"), &words)? {
            0 => Effect::Safe,
            1 => Effect::Keyed {
                scope: self.word(&key("group"), &scopes)?,
                window: self.nanos(&key("window_ns"))?,
            },
            _ => Effect::Unsafe,
        };
        Ok(Class {
            aim: self.span(&key("aim_ns"))?,
            aim_stretch: self.or(&key("aim_stretch"), 0.0)?,
            give_up: self.span(&key("give_up_ns"))?,
            worth: self.get(&key("worth"))?,
            late_worth: self.or(&key("late_worth"), 0.0)?,
            effect,
        })
    }

    fn platform(&self) -> Result<Platform> {
        let mut classes = Vec::new();
        let mut class_names = Vec::new();
        for i in 0..self.get::<u16>("lanes.count")? {
            classes.push(self.class(i)?);
            class_names.push(self.or(&format!("lanes.{i}.name"), String::new())?);
        }
        let mut tenants = Vec::new();
        let mut tenant_names = Vec::new();
        for i in 0..self.or::<u16>("orgs.count", 0)? {
            tenants.push(Tenant { quota_per_s: self.get(&format!("orgs.{i}.quota_per_s"))? });
            tenant_names.push(self.or(&format!("orgs.{i}.name"), String::new())?);
        }
        let discovery = if self.word("discovery", &[("pushed", false), ("on_request", true)])? {
            Discovery::OnRequest { ask_within: self.nanos("obligations.ask_within_ns")? }
        } else {
            Discovery::Pushed
        };
        let words = [
            ("piggyback", Reporting::WithAnswers),
            ("pull", Reporting::ProbesOnly),
            ("silent", Reporting::Never),
        ];
        let reporting = self.word("telemetry.how", &words)?;
        let field_names = self.list("telemetry.fields");
        let at = |name: &str| field_names.iter().position(|n| n == name);
        let longest = "limits.max_retry_after_ns";
        let max_retry_after = self.0.contains_key(longest).then(|| self.nanos(longest)).transpose()?;
        let told = if self.or("limits.retry_after", false)? { Some(self.nanos(longest)?) } else { None };
        let balancer = Settings {
            me: self.get("me")?,
            siblings: self.get("siblings")?,
            zone: ZoneId(self.get("my_zone")?),
            from_clients: self.or("tier", 0)? == 0,
            classes,
            tenants,
            over_quota_worth: self.or("over_share_worth", 1.0)?,
            discovery,
            reporting,
            limits: Limits {
                max_attempts: self.above_zero("limits.max_attempts")?,
                may_duplicate: self.get("limits.may_duplicate")?,
                may_cancel: self.get("limits.cancelling")?,
                may_probe: self.get("limits.probes")?,
                max_retry_after: told,
            },
            obligations: Obligations {
                cold_from: self.get("obligations.cold_from")?,
                warm_after: self.nanos("obligations.warm_after_ns")?,
                fall_multiple: self.get("obligations.fall_multiple")?,
                fall_after: self.nanos("obligations.tip_after_ns")?,
            },
            cross_zone_price: self.or("penalties.cross_zone", 0.0)?,
        };
        Ok(Platform {
            balancer,
            fields: ReportFields { utilization: at("utilization"), rate: at("throughput") },
            field_names,
            classes: class_names,
            tenants: tenant_names,
            zones: self.list("azs"),
            kinds: self.list("shapes"),
            connect_timeout: self.nanos_or("limits.connect_timeout_ns", Duration::from_millis(50))?,
            conn_idle: self.nanos_or("limits.conn_idle_ns", Duration::from_secs(30))?,
            max_retry_after,
        })
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads the simulator's `path=value` lines.
pub fn from_pairs(text: &str) -> Result<Platform> {
    Paths::from_pairs(text).platform()
}

/// Reads the nested JSON of a sidecar's configuration.
pub fn from_json(value: &Value) -> Result<Platform> {
    Paths::from_json(value).platform()
}
