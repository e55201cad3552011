//! Replaces functions of the C library in the processes of a soak (`LD_PRELOAD`). Calls fail, are
//! interrupted or cut short in ways that Linux documents, and the wall clock is stepped.
//! `COTTONPOINT_FAULTS` configures which calls fail and how often; without it none does. The
//! library is only loaded in tests, and the program does not know of it.
//!
//! The event loop makes its system calls directly, not through the C library. Of these, connect and
//! socket are intercepted by a system-call filter (`traps.rs`); its waits are interrupted by the
//! pauses and signals of a soak.

mod faults;
mod next;
mod registers;
mod traps;

use faults::{Faults, faults};
use libc::{c_char, c_int, c_uint, c_void, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use next::next_symbol;
use std::sync::atomic::{AtomicBool, Ordering};

/// Transient errors of accept.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR, libc::EPROTO];
/// Errors by which a broken connection may show.
const BROKEN_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
/// Errors of a full or failing disk.
const FILE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

fn set_errno(code: c_int) {
    // SAFETY: the C library returns a valid address of this thread's errno.
    unsafe { *libc::__errno_location() = code };
}

fn fail_with(code: c_int) -> ssize_t {
    set_errno(code);
    -1
}

fn is_socket(fd: c_int) -> bool {
    let (mut kind, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let kind_at = (&raw mut kind).cast::<c_void>();
    // SAFETY: the option's value is an int, and the length says so.
    unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, kind_at, &raw mut length) == 0 }
}

fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let domain_at = (&raw mut domain).cast::<c_void>();
    // SAFETY: the option's value is an int, and the length says so.
    let succeeded =
        unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, domain_at, &raw mut length) };
    succeeded == 0 && domain == libc::AF_INET
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: stat is plain data for which zeros are valid, and fstat writes it.
    let mut stat: libc::stat = unsafe { std::mem::zeroed() };
    let succeeded = unsafe { libc::fstat(fd, &raw mut stat) } == 0;
    succeeded && stat.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Descriptors that accept has ever returned. Connections from clients are never broken: their
/// requests could not be answered.
static ACCEPTED: [AtomicBool; 4096] = [const { AtomicBool::new(false) }; 4096];

fn was_accepted(fd: c_int) -> bool {
    usize::try_from(fd)
        .ok()
        .and_then(|fd| ACCEPTED.get(fd))
        .is_none_or(|accepted| accepted.load(Ordering::Relaxed))
}

/// The error with which this read finds a connection opened by this process broken, if it does.
fn broken_connection_error(faults: &Faults, fd: c_int) -> Option<c_int> {
    let draw = faults.draw_per_mille(faults.break_per_mille)?;
    let opened_here = !was_accepted(fd) && is_tcp(fd);
    opened_here.then(|| BROKEN_ERRORS[draw as usize % BROKEN_ERRORS.len()])
}

/// The injected outcome of a read or write on a socket.
enum Transfer {
    Fails(c_int),
    /// It moves at most this number of bytes.
    AtMost(size_t),
}

fn draw_transfer(faults: &Faults, fd: c_int, length: size_t) -> Transfer {
    match faults.draw_per_mille(faults.transfer_per_mille) {
        None => Transfer::AtMost(length),
        // Transfers of a few bytes between the parts of one process are never cut short.
        Some(draw) if draw % 2 == 0 || !is_tcp(fd) => Transfer::Fails(libc::EINTR),
        Some(draw) => Transfer::AtMost(length.min(1 + draw as size_t % 40)),
    }
}

/// `accept4` with transient failures.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if let Some(draw) = faults().and_then(|faults| faults.draw_per_mille(faults.accept_per_mille)) {
        return fail_with(ACCEPT_ERRORS[draw as usize % ACCEPT_ERRORS.len()]) as c_int;
    }
    traps::note_serving();
    // SAFETY: the next function of that name has this type.
    let accepted = unsafe { next_symbol::<Accept4>(c"accept4")(fd, address, length, flags) };
    if let Some(flag) = usize::try_from(accepted).ok().and_then(|fd| ACCEPTED.get(fd)) {
        flag.store(true, Ordering::Relaxed);
    }
    accepted
}

/// `recv` that is interrupted or cut short, or finds a connection broken.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let length = match faults().map(|faults| draw_transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fail_with(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the
    // caller's.
    let received = unsafe { next_symbol::<Recv>(c"recv")(fd, buffer, length, flags) };
    // Data that has arrived is read before the error of a broken connection shows.
    if received == -1
        && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
        && let Some(code) = faults().and_then(|faults| broken_connection_error(faults, fd))
    {
        return fail_with(code);
    }
    received
}

/// `send` that is interrupted or cut short.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    // Only TCP is affected: notifications within a process, such as those of a signal handler,
    // never block and are not interrupted.
    let on_tcp = faults().filter(|faults| faults.transfer_per_mille > 0 && is_tcp(fd));
    let length = match on_tcp.map(|faults| draw_transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fail_with(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the caller's.
    unsafe { next_symbol::<Send>(c"send")(fd, buffer, length, flags) }
}

/// `read` that is interrupted or cut short on sockets.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    let on_socket = faults().filter(|faults| faults.transfer_per_mille > 0 && is_socket(fd));
    let length = match on_socket.map(|faults| draw_transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fail_with(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the caller's.
    unsafe { next_symbol::<Read>(c"read")(fd, buffer, length) }
}

/// `write` that writes half of the data at most and fails, while file writes are to fail.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    // SAFETY: the next function of that name has this type.
    let next_write = unsafe { next_symbol::<Write>(c"write") };
    match faults() {
        Some(faults) if faults.file_writes_fail() && is_file(fd) => {
            let draw = faults.draw();
            if draw.is_multiple_of(2) && length > 1 {
                // SAFETY: the first half of the caller's buffer.
                unsafe { next_write(fd, buffer, length / 2) };
            }
            fail_with(FILE_ERRORS[draw as usize / 2 % FILE_ERRORS.len()])
        }
        // SAFETY: the caller's own arguments.
        _ => unsafe { next_write(fd, buffer, length) },
    }
}

/// `rename` that fails while file writes are to fail.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    if let Some(faults) = faults().filter(|faults| faults.file_writes_fail()) {
        return fail_with(FILE_ERRORS[faults.draw() as usize % FILE_ERRORS.len()]) as c_int;
    }
    // SAFETY: the next function of that name has this type.
    unsafe { next_symbol::<Rename>(c"rename")(from, to) }
}

/// `open64` that fails to create files while file writes are to fail.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Open = unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int;
    let creates = flags & libc::O_CREAT != 0;
    if let Some(faults) = faults().filter(|faults| creates && faults.file_writes_fail()) {
        return fail_with(FILE_ERRORS[faults.draw() as usize % FILE_ERRORS.len()]) as c_int;
    }
    // SAFETY: the next function of that name uses the mode where it creates a file and ignores it
    // otherwise.
    unsafe { next_symbol::<Open>(c"open64")(path, flags, mode) }
}

/// `clock_gettime` with a stepped wall clock; the monotonic clock is not changed.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;
    // SAFETY: the next function of that name has this type.
    let result = unsafe { next_symbol::<ClockGettime>(c"clock_gettime")(clock, time) };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(step_ms) = faults().and_then(Faults::clock_step)
    {
        // SAFETY: the call has succeeded, so the caller's pointer is valid and its value is
        // written.
        unsafe {
            (*time).tv_sec += step_ms.div_euclid(1000);
            (*time).tv_nsec += step_ms.rem_euclid(1000) * 1_000_000;
            if (*time).tv_nsec >= 1_000_000_000 {
                (*time).tv_nsec -= 1_000_000_000;
                (*time).tv_sec += 1;
            }
        }
    }
    result
}
