//! Who is there: the members of a fleet of sidecars, as each of them sees it.
//!
//! A state machine without sockets, files, clocks or threads: it is told `(now, event)` and says what to do. The
//! design, what it owes and the ways not taken stand in `docs/design/peers.md`.

mod interface;

pub use interface::*;
