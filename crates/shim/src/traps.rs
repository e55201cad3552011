//! Calls that do not go through the C library: a system-call filter on this process alone (no special rights are needed)
//! hands connect and socket to a signal's handler, which lets them fail for a moment or makes them itself.

use crate::faults::{Faults, faults};
use libc::{c_int, c_long, c_void, siginfo_t, sock_filter, sock_fprog, sockaddr_in, ucontext_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, Ordering};

/// What the handler passes as the sixth argument, which neither call has: the filter lets the call through.
const LET_THROUGH: u32 = 0x7074_6f63;
/// The place of the system call's number in what the filter sees, and of its sixth argument's lower half.
const NUMBER_AT: u32 = 0;
const SIXTH_ARGUMENT_AT: u32 = 16 + 5 * 8;
/// Errors that connect may return for a moment.
const CONNECT_ERRORS: [c_int; 4] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EHOSTUNREACH];
/// Errors that socket may return for a moment.
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Set once the process accepts connections: its own listeners are never refused.
static SERVES: AtomicBool = AtomicBool::new(false);

/// The process accepts connections from now on.
pub(crate) fn serves() {
    SERVES.store(true, Ordering::Relaxed);
}

/// Runs before the program does, while it has one thread: threads begun later have the filter as well.
#[used]
#[unsafe(link_section = ".init_array")]
static INSTALL: extern "C" fn() = install;

extern "C" fn install() {
    if faults().is_some_and(Faults::connects_fail) && !(take_traps() && filter_calls()) {
        // A run without its faults would show nothing.
        std::process::abort();
    }
}

fn take_traps() -> bool {
    let handler: extern "C" fn(c_int, *mut siginfo_t, *mut c_void) = trapped;
    // SAFETY: sigaction is plain data for which zeros are valid; the handler has the type that SA_SIGINFO asks for.
    unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        action.sa_sigaction = handler as usize;
        action.sa_flags = libc::SA_SIGINFO | libc::SA_NODEFER | libc::SA_RESTART;
        libc::sigaction(libc::SIGSYS, &raw const action, std::ptr::null_mut()) == 0
    }
}

fn filter_calls() -> bool {
    let load = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    let equal = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    let give = (libc::BPF_RET | libc::BPF_K) as u16;
    let step = |code, k, jt, jf| sock_filter { code, jt, jf, k };
    let mut steps = [
        step(load, NUMBER_AT, 0, 0),
        step(equal, libc::SYS_connect as u32, 1, 0),
        step(equal, libc::SYS_socket as u32, 0, 3),
        step(load, SIXTH_ARGUMENT_AT, 0, 0),
        step(equal, LET_THROUGH, 1, 0),
        step(give, libc::SECCOMP_RET_TRAP, 0, 0),
        step(give, libc::SECCOMP_RET_ALLOW, 0, 0),
    ];
    let program = sock_fprog { len: steps.len() as u16, filter: steps.as_mut_ptr() };
    // SAFETY: the program's steps outlive the calls, which copy them.
    unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &raw const program) == 0
    }
}

/// The error with which such a call fails now, if it does.
fn error(faults: &Faults, number: c_long, registers: &[i64]) -> Option<c_int> {
    if number == libc::SYS_connect
        && let Some(file) = &faults.connect_error_file
        && port(registers) == Some(faults.connect_port)
        && let Some(code) = error_by_file(file)
    {
        return Some(code);
    }
    if !SERVES.load(Ordering::Relaxed) {
        return None;
    }
    let draw = faults.draw_per_mille(faults.connect_per_mille)? as usize;
    Some(match number {
        libc::SYS_connect => CONNECT_ERRORS[draw % CONNECT_ERRORS.len()],
        _ => SOCKET_ERRORS[draw % SOCKET_ERRORS.len()],
    })
}

/// The port that a trapped call to connect names.
fn port(registers: &[i64]) -> Option<u64> {
    let [address, length] = [libc::REG_RSI, libc::REG_RDX].map(|register| registers[register as usize]);
    if usize::try_from(length).ok()? < size_of::<sockaddr_in>() {
        return None;
    }
    // SAFETY: the caller names an address of at least that length.
    let address = unsafe { (address as *const sockaddr_in).read_unaligned() };
    (c_int::from(address.sin_family) == libc::AF_INET).then(|| u64::from(u16::from_be(address.sin_port)))
}

/// The error that the file names by its number. Where `once` follows, the file is removed: the next call does not fail.
fn error_by_file(file: &CStr) -> Option<c_int> {
    let mut text = [0_u8; 16];
    // SAFETY: the path ends with a zero, and no more is read than the text holds. All three calls may be made by a
    // signal's handler.
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
        // SAFETY: the path ends with a zero; a signal's handler may make this call.
        unsafe { libc::unlink(file.as_ptr()) };
    }
    Some(code)
}

extern "C" fn trapped(_signal: c_int, _info: *mut siginfo_t, context: *mut c_void) {
    // SAFETY: the kernel hands a handler of this kind the context of the call that was trapped.
    let registers = unsafe { &mut (*context.cast::<ucontext_t>()).uc_mcontext.gregs };
    let number = registers[libc::REG_RAX as usize];
    registers[libc::REG_RAX as usize] = match faults().and_then(|faults| error(faults, number, registers)) {
        Some(code) => -i64::from(code),
        None => call(number, registers),
    };
}

/// Makes the call that was trapped; yields what the kernel does.
fn call(number: c_long, registers: &[i64]) -> i64 {
    let [first, second, third] =
        [libc::REG_RDI, libc::REG_RSI, libc::REG_RDX].map(|register| registers[register as usize]);
    // SAFETY: the caller's own arguments; errno is this thread's, and is left as it was.
    unsafe {
        let errno = libc::__errno_location();
        let before = *errno;
        let made = libc::syscall(number, first, second, third, 0, 0, u64::from(LET_THROUGH));
        let told = if made == -1 { -i64::from(*errno) } else { made };
        *errno = before;
        told
    }
}
