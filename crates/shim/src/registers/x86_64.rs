//! The registers of an intercepted system call on x86-64.

use libc::{c_long, ucontext_t};

/// The registers saved in the context of the signal.
pub(crate) fn saved(context: &mut ucontext_t) -> &mut [i64] {
    &mut context.uc_mcontext.gregs
}

/// The number of the system call.
pub(crate) fn number(registers: &[i64]) -> c_long {
    registers[libc::REG_RAX as usize]
}

/// The first three arguments of the system call.
pub(crate) fn arguments(registers: &[i64]) -> [i64; 3] {
    [libc::REG_RDI, libc::REG_RSI, libc::REG_RDX].map(|register| registers[register as usize])
}

/// Sets the result that the system call returns.
pub(crate) fn set_result(registers: &mut [i64], result: i64) {
    registers[libc::REG_RAX as usize] = result;
}
