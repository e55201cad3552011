//! Tests of the sidecar on sockets, against scripted clients, endpoints and discovery: one test for
//! each failure that it guards against.
#![allow(missing_docs)]

mod clients;
mod closing;
mod console;
mod crossing;
mod descriptors;
mod discovery;
mod embedded;
mod endpoints;
mod floods;
mod forwards;
mod gone;
mod late;
mod life;
mod list;
mod local_faults;
mod peers;
mod program;
mod repeats;
mod stop;
