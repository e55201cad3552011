//! The sidecar.

use std::process::ExitCode;

fn main() -> ExitCode {
    cottonpoint::cli::run(cottonpoint::cli::options().run())
}
