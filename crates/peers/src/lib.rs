//! Membership of a fleet of sidecars: each member's view of the others.
//!
//! This is a state machine without sockets, files, clocks or threads: it takes `(now, event)` and
//! returns the actions to carry out. `docs/design/peers.md` describes the design, its guarantees
//! and the alternatives rejected; [`bounds`] has its timing formulas.
//!
//! [`Peers`] implements SWIM with Lifeguard's extensions. Each period it probes one member: a
//! direct ping, then indirect pings through other members, then a suspicion that the suspect can
//! refute under a higher incarnation. Updates about members are piggybacked on the packets that are
//! sent anyway. For each event it returns a bounded number of actions, with packets that fit
//! [`PACKET_LIMIT`]; the same events always lead to the same actions. The embedder must pass a time
//! that never goes back, and a wake soon after the requested time; a late wake is taken as a sign
//! that the process was stalled.
//!
//! ```
//! use cottonpoint_decide::Time;
//! use cottonpoint_peers::*;
//! use std::time::Duration;
//!
//! let settings = |id: u64| Settings {
//!     me: MemberId(id),
//!     name: format!("sidecar-{id}"),
//!     address: format!("127.0.0.1:{}", 7000 + id).parse().unwrap(),
//!     seeds: vec!["127.0.0.1:7001".parse().unwrap()],
//!     incarnation: 1,
//!     boot: 100 + id,
//!     period: Duration::from_secs(1),
//!     seed: id,
//! };
//! let (now, mut actions) = (Time(0), Vec::new());
//! let (mut first, mut second) = (Peers::new(settings(1), now), Peers::new(settings(2), now));
//! first.handle(now, Event::Wake, &mut actions);
//! actions.clear();
//!
//! // The second member starts and pings its seed, which learns of it that way.
//! second.handle(now, Event::Wake, &mut actions);
//! let ping = actions.iter().find_map(|action| match action {
//!     Action::Send { to, packet } if to.port() == 7001 => Some(packet.clone()),
//!     _ => None,
//! });
//! first.handle(now, Event::Packet(&ping.unwrap()), &mut actions);
//! assert_eq!(first.view().members.len(), 2);
//! assert_eq!(first.view().partition, PartitionStatus::Whole);
//! ```

// Module dependencies are acyclic. From the lowest to the highest: `interface`, `bounds` and `random`;
// `gossip` and `table`; `state`; `updates` and `packets`; `probe`; `receive`; `peers`.
pub mod bounds;

mod gossip;
mod interface;
mod packets;
mod peers;
mod probe;
mod random;
mod receive;
mod state;
mod table;
mod updates;

pub use interface::*;
pub use state::Peers;
