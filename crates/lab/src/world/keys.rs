//! Keys of what is open in a run.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a request at a sidecar.
    pub struct RequestKey;
    /// Identifies a request at an endpoint.
    pub struct JobKey;
    /// Identifies a client with all its tries.
    pub struct ClientKey;
}
