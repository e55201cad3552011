//! The shell of a fleet of sidecars: workers over shared tables, around planes that know no sockets. See
//! `docs/design/peers.md`.
