//! A member's answer to the console command `PEERS`.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddrV4;

/// How far a member can trust its view of the fleet, according to the member itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartitionStatus {
    /// The member has never met another member.
    Alone,
    /// All members answer.
    Whole,
    /// Some members do not answer. Those that do are more than half, or exactly half including the
    /// lowest id.
    #[serde(rename = "larger")]
    Majority,
    /// Fewer than half of the members answer, or exactly half without the lowest id. The other side
    /// may make different decisions.
    #[serde(rename = "smaller")]
    Minority,
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers probes.
    Reachable,
    /// It has not answered and is suspected.
    Suspected,
    /// It is considered dead.
    LastKnown,
    /// It has announced its departure.
    Left,
}

/// A member, as another member sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// The address at which it is reached.
    pub address: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: u64,
    /// The identity of its process.
    pub boot: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// How long it has been in this state, in ms.
    pub since_ms: u64,
}

/// The fleet, as one member sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetView {
    /// How far this view can be trusted.
    #[serde(rename = "part")]
    pub partition: PartitionStatus,
    /// The local health score of the member itself; 0 is healthy.
    #[serde(rename = "unwell")]
    pub local_health: u32,
    /// All members that it knows, including itself.
    pub members: Vec<MemberView>,
    /// Its counters.
    pub counts: Map<String, Value>,
}

impl FleetView {
    /// Parses the console's answer.
    pub fn read(answer: &str) -> serde_json::Result<FleetView> {
        serde_json::from_str(answer.strip_suffix("\n.\n").unwrap_or(answer))
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&MemberView> {
        self.members.iter().find(|member| member.name == name)
    }

    /// The state of a member, or `None` if the member is not known.
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.member(name).map(|member| member.state)
    }

    /// The number of members in a state.
    pub fn count_in(&self, state: MemberState) -> usize {
        self.members.iter().filter(|member| member.state == state).count()
    }

    /// A counter by its name, such as `deaths` or `refused.key`, or `None` if it does not exist.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let mut keys = name.split('.');
        let first = self.counts.get(keys.next()?)?;
        keys.try_fold(first, |value, key| value.get(key))?.as_u64()
    }
}

impl fmt::Display for FleetView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}, local health {}:", self.partition, self.local_health)?;
        for MemberView { name, incarnation, state, since_ms, .. } in &self.members {
            write!(f, " {name}#{incarnation} {state:?} {since_ms} ms,")?;
        }
        Ok(())
    }
}
