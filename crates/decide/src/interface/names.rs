//! Points in time, and the identifiers of requests, endpoints and places.

use std::fmt;
use std::time::Duration;

/// A point in time on the embedder's monotonic clock, in nanoseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time elapsed since `earlier`, or zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Time;
    fn add(self, after: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(after.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl std::ops::Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, before: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(before.as_nanos()).unwrap_or(u64::MAX)))
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id!(/// Identifies one request; never reused by the embedder.
    RequestId(u64));
id!(/// Identifies one endpoint; the same at every balancer and across restarts of its process.
    EndpointId(u64));
id!(/// Index of a class in [`Settings::classes`](super::Settings::classes) of the settings in force.
    ClassId(u16));
id!(/// Index of a tenant in [`Settings::tenants`](super::Settings::tenants) of the settings in force.
    TenantId(u16));
id!(/// A zone: requests that cross from one zone to another may have a price. It keeps its id when the
    /// settings change.
    ZoneId(u16));
id!(/// A cell: a small set of endpoints in one zone that share the idempotency keys they have seen.
    CellId(u16));
id!(/// A machine type, used only to combine the load reports of similar endpoints. It keeps its id
    /// when the settings change.
    MachineTypeId(u16));
id!(/// Returned when a timer fires.
    TimerToken(u64));

impl ZoneId {
    /// The zone of endpoints whose zone is not known. No two of them are taken to be in one zone.
    pub const UNKNOWN: ZoneId = ZoneId(u16::MAX);
}
