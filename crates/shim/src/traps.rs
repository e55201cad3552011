//! Faults for system calls that do not go through the C library. A seccomp filter on this process
//! alone, which needs no privileges, delivers connect and socket to a signal handler. The handler
//! makes them fail temporarily or executes them itself.

use crate::faults::{Faults, faults};
use crate::registers;
use libc::{c_int, c_long, c_void, siginfo_t, sock_filter, sock_fprog, sockaddr_in, ucontext_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Value that the handler passes as the sixth argument, which neither call has. The filter allows
/// calls with it.
const ALLOW_MARKER: u32 = 0x7074_6f63;
/// Offsets, in the data that the filter sees, of the system call's number and of the lower half of
/// its sixth argument.
const NUMBER_OFFSET: u32 = 0;
const SIXTH_ARGUMENT_OFFSET: u32 = 16 + 5 * 8;
/// Transient errors of connect.
const CONNECT_ERRORS: [c_int; 4] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EHOSTUNREACH];
/// Transient errors of socket.
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Set once the process accepts connections, so that creating its own listeners never fails.
static IS_SERVING: AtomicBool = AtomicBool::new(false);

/// Notes that the process accepts connections from now on.
pub(crate) fn note_serving() {
    IS_SERVING.store(true, Ordering::Relaxed);
}

/// Runs before the program's main function, while the process has one thread, so that threads
/// started later inherit the filter.
#[used]
#[unsafe(link_section = ".init_array")]
static INSTALL: extern "C" fn() = install;

extern "C" fn install() {
    if faults().is_some_and(Faults::connects_may_fail) && !(install_handler() && install_filter()) {
        // A run without its faults would test nothing.
        std::process::abort();
    }
}

fn install_handler() -> bool {
    let handler: extern "C" fn(c_int, *mut siginfo_t, *mut c_void) = handle_trapped_call;
    // SAFETY: sigaction is plain data for which zeros are valid; the handler has the type that
    // SA_SIGINFO requires.
    unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        action.sa_sigaction = handler as usize;
        action.sa_flags = libc::SA_SIGINFO | libc::SA_NODEFER | libc::SA_RESTART;
        libc::sigaction(libc::SIGSYS, &raw const action, std::ptr::null_mut()) == 0
    }
}

fn install_filter() -> bool {
    let load = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    let equal = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    let return_action = (libc::BPF_RET | libc::BPF_K) as u16;
    let instruction = |code, k, jt, jf| sock_filter { code, jt, jf, k };
    let mut instructions = [
        instruction(load, NUMBER_OFFSET, 0, 0),
        instruction(equal, libc::SYS_connect as u32, 1, 0),
        instruction(equal, libc::SYS_socket as u32, 0, 3),
        instruction(load, SIXTH_ARGUMENT_OFFSET, 0, 0),
        instruction(equal, ALLOW_MARKER, 1, 0),
        instruction(return_action, libc::SECCOMP_RET_TRAP, 0, 0),
        instruction(return_action, libc::SECCOMP_RET_ALLOW, 0, 0),
    ];
    let program = sock_fprog { len: instructions.len() as u16, filter: instructions.as_mut_ptr() };
    // SAFETY: the filter program outlives the calls, which copy it.
    unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &raw const program) == 0
    }
}

/// The error with which this call fails now, if it does.
fn injected_error(faults: &Faults, number: c_long, arguments: [i64; 3]) -> Option<c_int> {
    if number == libc::SYS_connect
        && let Some(file) = &faults.connect_error_file
        && connect_port(arguments) == Some(faults.connect_port)
        && let Some(code) = error_from_file(file)
    {
        return Some(code);
    }
    if !IS_SERVING.load(Ordering::Relaxed) {
        return None;
    }
    let draw = faults.draw_per_mille(faults.connect_per_mille)? as usize;
    Some(match number {
        libc::SYS_connect => CONNECT_ERRORS[draw % CONNECT_ERRORS.len()],
        _ => SOCKET_ERRORS[draw % SOCKET_ERRORS.len()],
    })
}

/// The destination port of an intercepted connect.
fn connect_port([_socket, address, length]: [i64; 3]) -> Option<u64> {
    if usize::try_from(length).ok()? < size_of::<sockaddr_in>() {
        return None;
    }
    // SAFETY: the caller passes an address of at least that length.
    let address = unsafe { (address as *const sockaddr_in).read_unaligned() };
    (c_int::from(address.sin_family) == libc::AF_INET).then(|| u64::from(u16::from_be(address.sin_port)))
}

/// The error number that the file holds. If the word `once` follows, the file is removed, so that
/// the next call does not fail.
fn error_from_file(file: &CStr) -> Option<c_int> {
    let mut text = [0_u8; 16];
    // SAFETY: the path is NUL-terminated, and no more is read than the buffer holds. All three
    // calls are async-signal-safe.
    let read = unsafe {
        let fd = libc::open(file.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if fd == -1 {
            return None;
        }
        let read = libc::read(fd, text.as_mut_ptr().cast(), text.len());
        libc::close(fd);
        read
    };
    let text = std::str::from_utf8(&text[..usize::try_from(read).ok()?]).ok()?;
    let mut words = text.split_ascii_whitespace();
    let code = words.next()?.parse().ok()?;
    if words.next() == Some("once") {
        // SAFETY: the path is NUL-terminated, and the call is async-signal-safe.
        unsafe { libc::unlink(file.as_ptr()) };
    }
    Some(code)
}

extern "C" fn handle_trapped_call(_signal: c_int, _info: *mut siginfo_t, context: *mut c_void) {
    // SAFETY: the kernel passes the context of the intercepted call to a handler of this kind.
    let registers = registers::saved(unsafe { &mut *context.cast::<ucontext_t>() });
    let number = registers::number(registers);
    let arguments = registers::arguments(registers);
    let result = match faults().and_then(|faults| injected_error(faults, number, arguments)) {
        Some(code) => -i64::from(code),
        None => execute_call(number, arguments),
    };
    registers::set_result(registers, result);
}

/// Executes the intercepted call and returns the kernel's result.
fn execute_call(number: c_long, [first, second, third]: [i64; 3]) -> i64 {
    // SAFETY: the caller's own arguments; errno belongs to this thread and is restored.
    unsafe {
        let errno = libc::__errno_location();
        let saved = *errno;
        let returned = libc::syscall(number, first, second, third, 0, 0, u64::from(ALLOW_MARKER));
        let result = if returned == -1 { -i64::from(*errno) } else { returned };
        *errno = saved;
        result
    }
}
