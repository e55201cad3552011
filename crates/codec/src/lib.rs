//! Reads HTTP messages from bytes, with one growing buffer per connection. Nothing here owns a
//! socket or a timer: functions that read take any [`futures_lite::AsyncRead`], and time limits are
//! up to the caller.

pub mod body;
pub mod buffer;
pub mod http;
