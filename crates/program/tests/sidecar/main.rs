//! The sidecar on sockets, against scripted peers: one story for each failure that it guards against.
#![allow(missing_docs)]

mod clients;
mod console;
mod discovery;
mod forwards;
mod life;
mod list;
mod peers;
mod stop;
