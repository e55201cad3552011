//! Stands in for functions of the C library in processes of a soak (`LD_PRELOAD`): they fail, are interrupted or cut short
//! as Linux documents, and the wall clock is stepped. What fails, and how often, stands in `COTTONPOINT_FAULTS`; without it
//! nothing does. It is never loaded outside tests, and the program does not know of it.
//!
//! The event loop's own calls do not go through the C library. Of these, connect and socket are reached by a filter
//! (`traps.rs`); its waits are interrupted by the stops and signals of a soak.

mod faults;
mod next;
mod traps;

use faults::{Faults, faults};
use libc::{c_char, c_int, c_uint, c_void, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use next::next;
use std::sync::atomic::{AtomicBool, Ordering};

/// Errors that accept may return for a moment.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR, libc::EPROTO];
/// Errors by which a broken connection may show.
const BROKEN_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
/// Errors of a full or failing disk.
const FILE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

fn set_errno(code: c_int) {
    // SAFETY: the C library's own address of this thread's errno.
    unsafe { *libc::__errno_location() = code };
}

fn fails(code: c_int) -> ssize_t {
    set_errno(code);
    -1
}

fn is_socket(fd: c_int) -> bool {
    let (mut kind, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let kind_at = (&raw mut kind).cast::<c_void>();
    // SAFETY: the option's value is an int, and its length says so.
    unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, kind_at, &raw mut length) == 0 }
}

fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let domain_at = (&raw mut domain).cast::<c_void>();
    // SAFETY: the option's value is an int, and its length says so.
    let known =
        unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, domain_at, &raw mut length) };
    known == 0 && domain == libc::AF_INET
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: stat is plain data for which zeros are valid, and it is written by fstat.
    let mut stat: libc::stat = unsafe { std::mem::zeroed() };
    let known = unsafe { libc::fstat(fd, &raw mut stat) } == 0;
    known && stat.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Descriptors that were accepted at some time. What a client still waits on is never broken: nobody could answer it.
static ACCEPTED: [AtomicBool; 4096] = [const { AtomicBool::new(false) }; 4096];

fn was_accepted(fd: c_int) -> bool {
    usize::try_from(fd)
        .ok()
        .and_then(|fd| ACCEPTED.get(fd))
        .is_none_or(|known| known.load(Ordering::Relaxed))
}

/// The error by which a connection that this process made breaks at this read, if it does.
fn breaks(faults: &Faults, fd: c_int) -> Option<c_int> {
    let draw = faults.draw_per_mille(faults.break_per_mille)?;
    let made_here = !was_accepted(fd) && is_tcp(fd);
    made_here.then(|| BROKEN_ERRORS[draw as usize % BROKEN_ERRORS.len()])
}

/// What becomes of a read or write of that many bytes on a socket.
enum Transfer {
    Fails(c_int),
    /// It moves no more than this.
    AtMost(size_t),
}

fn transfer(faults: &Faults, fd: c_int, length: size_t) -> Transfer {
    match faults.draw_per_mille(faults.transfer_per_mille) {
        None => Transfer::AtMost(length),
        // The few bytes between the parts of one process are never cut short.
        Some(draw) if draw % 2 == 0 || !is_tcp(fd) => Transfer::Fails(libc::EINTR),
        Some(draw) => Transfer::AtMost(length.min(1 + draw as size_t % 40)),
    }
}

/// `accept4` that fails for a moment.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if let Some(draw) = faults().and_then(|faults| faults.draw_per_mille(faults.accept_per_mille)) {
        return fails(ACCEPT_ERRORS[draw as usize % ACCEPT_ERRORS.len()]) as c_int;
    }
    traps::serves();
    // SAFETY: the next function of that name has this type.
    let accepted = unsafe { next::<Accept4>(c"accept4")(fd, address, length, flags) };
    if let Some(known) = usize::try_from(accepted).ok().and_then(|fd| ACCEPTED.get(fd)) {
        known.store(true, Ordering::Relaxed);
    }
    accepted
}

/// `recv` that is interrupted or cut short, or finds a connection broken.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let length = match faults().map(|faults| transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fails(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the caller's.
    let received = unsafe { next::<Recv>(c"recv")(fd, buffer, length, flags) };
    // What has arrived is read before the error of a broken connection shows.
    if received == -1
        && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
        && let Some(code) = faults().and_then(|faults| breaks(faults, fd))
    {
        return fails(code);
    }
    received
}

/// `send` that is interrupted or cut short.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    // What one part of a process tells another, as a signal's handler does, does not wait and is not interrupted.
    let on_tcp = faults().filter(|faults| faults.transfer_per_mille > 0 && is_tcp(fd));
    let length = match on_tcp.map(|faults| transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fails(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the caller's.
    unsafe { next::<Send>(c"send")(fd, buffer, length, flags) }
}

/// `read` that is interrupted or cut short on sockets.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    let on_socket = faults().filter(|faults| faults.transfer_per_mille > 0 && is_socket(fd));
    let length = match on_socket.map(|faults| transfer(faults, fd, length)) {
        Some(Transfer::Fails(code)) => return fails(code),
        Some(Transfer::AtMost(length)) => length,
        None => length,
    };
    // SAFETY: the next function of that name has this type, and the length is no longer than the caller's.
    unsafe { next::<Read>(c"read")(fd, buffer, length) }
}

/// `write` that leaves half of a file's text and fails, while the disk does.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    // SAFETY: the next function of that name has this type.
    let next = unsafe { next::<Write>(c"write") };
    match faults() {
        Some(faults) if faults.files_fail() && is_file(fd) => {
            let draw = faults.draw();
            if draw.is_multiple_of(2) && length > 1 {
                // SAFETY: half of what the caller gives.
                unsafe { next(fd, buffer, length / 2) };
            }
            fails(FILE_ERRORS[draw as usize / 2 % FILE_ERRORS.len()])
        }
        // SAFETY: the caller's own arguments.
        _ => unsafe { next(fd, buffer, length) },
    }
}

/// `rename` that fails while the disk does.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    if let Some(faults) = faults().filter(|faults| faults.files_fail()) {
        return fails(FILE_ERRORS[faults.draw() as usize % FILE_ERRORS.len()]) as c_int;
    }
    // SAFETY: the next function of that name has this type.
    unsafe { next::<Rename>(c"rename")(from, to) }
}

/// `open64` that creates no file while the disk fails.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Open = unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int;
    let creates = flags & libc::O_CREAT != 0;
    if let Some(faults) = faults().filter(|faults| creates && faults.files_fail()) {
        return fails(FILE_ERRORS[faults.draw() as usize % FILE_ERRORS.len()]) as c_int;
    }
    // SAFETY: the next function of that name takes the mode where it creates, and passes over it otherwise.
    unsafe { next::<Open>(c"open64")(path, flags, mode) }
}

/// `clock_gettime` whose wall clock is stepped; the monotonic clock runs on.
///
/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;
    // SAFETY: the next function of that name has this type.
    let told = unsafe { next::<ClockGettime>(c"clock_gettime")(clock, time) };
    if told == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(step_ms) = faults().and_then(Faults::clock_step)
    {
        // SAFETY: the call has succeeded, so the caller's time is there and written.
        unsafe {
            (*time).tv_sec += step_ms.div_euclid(1000);
            (*time).tv_nsec += step_ms.rem_euclid(1000) * 1_000_000;
            if (*time).tv_nsec >= 1_000_000_000 {
                (*time).tv_nsec -= 1_000_000_000;
                (*time).tv_sec += 1;
            }
        }
    }
    told
}
