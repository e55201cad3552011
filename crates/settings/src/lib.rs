//! Reads the deployment's settings in both forms in which they come: the simulator's flat
//! `path=value` lines and the nested JSON of a sidecar's configuration.
//!
//! Both are deserialised by the same serde types ([`RawSettings`]): flat lines are first assembled
//! into the object that they were written from. Errors of [`read`] name the full path of the key,
//! in either form.

mod fault;
mod flat;

mod raw;
mod scalar;

pub use fault::{BadSetting, read};
pub use raw::RawSettings;

use cottonpoint_decide::*;
use std::collections::HashMap;
use std::time::Duration;

type Result<T> = std::result::Result<T, BadSetting>;

/// Positions of the load report's values that the balancer uses, among those that the settings
/// name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportFields {
    /// Processor utilization, as a fraction.
    pub utilization: Option<usize>,
    /// Requests served per second.
    pub rate: Option<usize>,
}

impl ReportFields {
    /// Picks the values that the balancer uses.
    pub fn report(&self, value: impl Fn(usize) -> Option<f64>) -> LoadReport {
        LoadReport { utilization: self.utilization.and_then(&value), rate: self.rate.and_then(&value) }
    }
}

/// All that is read from the deployment's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Settings of the balancer.
    pub balancer: Settings,
    /// Positions of the values in a load report.
    pub fields: ReportFields,
    /// Names of the values in a load report.
    pub field_names: Vec<String>,
    /// Class names, indexed by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenant names, indexed by [`TenantId`].
    pub tenants: Vec<String>,
    /// Zone names, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of machine kinds, indexed by [`MachineTypeId`].
    pub kinds: Vec<String>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which the peer closes an idle connection.
    pub conn_idle: Duration,
    /// How long new attempts may still go to an endpoint after this process was notified that it
    /// drains.
    pub drain_grace: Duration,
    /// Longest Retry-After that clients obey.
    pub max_retry_after: Option<Duration>,
}

impl DeploymentSettings {
    /// Relates the ids of classes and tenants to those of earlier settings, by name.
    pub fn renumbering_since(&self, earlier: &DeploymentSettings) -> Renumbering {
        Renumbering {
            classes: earlier_ids(&earlier.classes, &self.classes, ClassId),
            tenants: earlier_ids(&earlier.tenants, &self.tenants, TenantId),
        }
    }
}

/// For each name, the id that it has among the earlier names.
fn earlier_ids<Id: Copy>(earlier: &[String], names: &[String], id: impl Fn(u16) -> Id) -> Vec<Option<Id>> {
    let ids: HashMap<&String, Id> = earlier.iter().zip((0..=u16::MAX).map(id)).collect();
    names.iter().map(|name| ids.get(name).copied()).collect()
}

/// Reads settings from the simulator's flat `path=value` lines.
pub fn from_flat_text(text: &str) -> Result<DeploymentSettings> {
    read::<RawSettings, _>(flat::object(text)?)?.validate()
}
