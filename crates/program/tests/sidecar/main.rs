//! Tests of the sidecar on sockets, against scripted clients, endpoints and discovery: one test for
//! each failure that it guards against.
#![allow(missing_docs)]

mod attempts;
mod clients;
mod closing;
mod console;
mod crossing;
mod descriptors;
mod disconnects;
mod discovery;
mod embedded;
mod endpoints;
mod floods;
mod harness;
mod late;
mod late_copies;
mod lifecycle;
mod list;
mod local_faults;
mod long_answers;
mod long_requests;
mod memory;
mod program;
mod reloads;
mod replaced_endpoints;
mod retries;
mod returning_ids;
mod shared_state;
mod shutdown_answers;
mod silent_agents;
mod stop;
