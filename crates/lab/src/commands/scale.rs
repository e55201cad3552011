//! `scale`: the cost of control traffic at several fleet sizes.

use super::CommandResult;
use cottonpoint_lab::scale::arguments::Arguments;
use cottonpoint_lab::scale::host::{self, HostRole};
use std::path::PathBuf;

pub(super) fn scale(
    short: bool,
    total: Option<usize>,
    real: Option<usize>,
    out: PathBuf,
) -> CommandResult<bool> {
    cottonpoint_lab::scale::run(&Arguments { short, total, real, out })?;
    Ok(true)
}

pub(super) fn host(role: HostRole) -> CommandResult<bool> {
    host::run(role)?;
    Ok(true)
}
