//! Whom a failed call on a connection speaks of. What goes wrong in this process, or on the way for a moment, is no
//! knowledge of the other side.

use std::io::{Error, ErrorKind};

#[cfg(test)]
mod tests;

/// Whom a failed call speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The other side, or its host: it refused, reset or closed.
    Peer,
    /// The way to it: the error may come for a moment, and stays for as long as the host is unreachable (ETIMEDOUT,
    /// EHOSTUNREACH).
    Path,
    /// Nobody: nothing was heard until this process's own time-out.
    Silence,
    /// This process or its machine: no port, buffer, descriptor, memory or route.
    Process,
}

impl Origin {
    /// Whom that error speaks of. A time-out of this process's own has no number of the system's.
    pub(crate) fn of(why: &Error) -> Origin {
        match why.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
            | ErrorKind::WriteZero => Origin::Peer,
            ErrorKind::TimedOut if why.raw_os_error().is_none() => Origin::Silence,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable => Origin::Path,
            _ => Origin::Process,
        }
    }
}
