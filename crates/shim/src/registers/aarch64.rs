//! The registers of an intercepted system call on arm64.

use libc::{c_long, ucontext_t};

/// The register that holds the number of the system call.
const NUMBER_REGISTER: usize = 8;
/// The register that holds the first argument, and later the result.
const RESULT_REGISTER: usize = 0;

/// The registers saved in the context of the signal.
pub(crate) fn saved(context: &mut ucontext_t) -> &mut [u64] {
    &mut context.uc_mcontext.regs
}

/// The number of the system call.
pub(crate) fn number(registers: &[u64]) -> c_long {
    registers[NUMBER_REGISTER].cast_signed()
}

/// The first three arguments of the system call.
pub(crate) fn arguments(registers: &[u64]) -> [i64; 3] {
    [0, 1, 2].map(|register: usize| registers[register].cast_signed())
}

/// Sets the result that the system call returns.
pub(crate) fn set_result(registers: &mut [u64], result: i64) {
    registers[RESULT_REGISTER] = result.cast_unsigned();
}
