//! The registers of an intercepted system call, by the machine's architecture.

#[cfg(target_arch = "aarch64")]
mod aarch64;
#[cfg(target_arch = "x86_64")]
mod x86_64;

#[cfg(target_arch = "aarch64")]
pub(crate) use aarch64::{arguments, number, saved, set_result};
#[cfg(target_arch = "x86_64")]
pub(crate) use x86_64::{arguments, number, saved, set_result};
