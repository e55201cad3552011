//! The stand-in processes of a run. Each plays one role, so that the role's processor time can be
//! measured.

pub(super) mod discovery;
pub(super) mod hollow;
pub(super) mod link;

use crate::live::Executor;
use async_executor::LocalExecutor;
use rustix::process::{Signal, set_parent_process_death_signal};
use std::io;
use std::rc::Rc;
use std::str::FromStr;

/// What a stand-in process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// One discovery stand-in.
    Discovery,
    /// The link between the regions.
    Link,
    /// Hollow sidecars.
    Hollow,
}

impl FromStr for HostRole {
    type Err = String;

    fn from_str(name: &str) -> Result<HostRole, String> {
        match name {
            "discovery" => Ok(HostRole::Discovery),
            "link" => Ok(HostRole::Link),
            "hollow" => Ok(HostRole::Hollow),
            other => Err(format!("must be discovery, link or hollow, not {other}")),
        }
    }
}

/// Runs a stand-in until the connection to the run ends.
pub fn run(role: HostRole) -> io::Result<()> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        match role {
            HostRole::Discovery => discovery::serve(&executor).await,
            HostRole::Link => link::serve().await,
            HostRole::Hollow => hollow::serve(&executor).await,
        }
    }))
}

/// Has this process killed when its parent process ends, however that ends.
pub fn end_with_parent() -> io::Result<()> {
    Ok(set_parent_process_death_signal(Some(Signal::KILL))?)
}
