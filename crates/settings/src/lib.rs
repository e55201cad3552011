//! The platform's settings, read once for both forms in which they come: the simulator's `path=value` lines
//! and the nested JSON of a sidecar's configuration.
//!
//! Both are read by the same serde derive ([`Written`]): the lines are first put together into the object that
//! they were written from. [`read`] names the whole path of a key at fault, for any form.

mod fault;
mod pairs;
mod plain;
mod written;

pub use fault::{BadSetting, read};
pub use written::Written;

use cottonpoint_decide::*;
use std::time::Duration;

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
    /// The names of machine kinds, indexed by [`MachineTypeId`].
    pub kinds: Vec<String>,
    /// A connection that takes longer to come up is given up.
    pub connect_timeout: Duration,
    /// The other side closes a connection that has stood idle for this long.
    pub conn_idle: Duration,
    /// How long something new may still go to an endpoint once this process was told that it leaves.
    pub drain_grace: Duration,
    /// The longest stay-away that a client heeds.
    pub max_retry_after: Option<Duration>,
}

/// Reads the simulator's `path=value` lines.
pub fn from_pairs(text: &str) -> Result<Platform> {
    read::<Written, _>(pairs::object(text)?)?.platform()
}
