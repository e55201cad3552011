//! Bytes to messages and back, one growing buffer per connection. Nothing here owns a socket or a timer: what
//! reads is given any [`futures_lite::AsyncRead`], and how long to wait is up to the caller.

pub mod buffer;
pub mod http;
