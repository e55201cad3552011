//! Which side an I/O error on a connection comes from. A fault of this process, or a transient one
//! on the path, says nothing about the peer.

use std::io::{Error, ErrorKind};

#[cfg(test)]
mod tests;

/// The side that an I/O error comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The peer or its host: it refused, reset or closed the connection.
    Peer,
    /// The network path: the error may be transient, and persists for as long as the host is
    /// unreachable (ETIMEDOUT, EHOSTUNREACH).
    Path,
    /// Neither side: nothing was received until this process's own timeout.
    Timeout,
    /// This process or its machine: no port, buffer, descriptor, memory or route.
    Local,
}

impl Origin {
    /// Classifies an error. A timeout of this process itself has no OS error code.
    pub(crate) fn of(error: &Error) -> Origin {
        match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
            | ErrorKind::WriteZero => Origin::Peer,
            ErrorKind::TimedOut if error.raw_os_error().is_none() => Origin::Timeout,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable => Origin::Path,
            _ => Origin::Local,
        }
    }
}
