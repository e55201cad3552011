//! The configuration of a real or hollow sidecar.

use super::layout;
use crate::live::program::{class, settings};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The tenant's quota. Each reload increases it, so that the new configuration differs from the old
/// one.
const QUOTA_PER_SECOND: f64 = 10_000.0;

/// The configuration of a sidecar that polls `discovery`, after `reloads` reloads.
pub(super) fn configuration(sidecar: usize, discovery: SocketAddr, reloads: u32) -> Value {
    let classes = json!([
        class("view", "read_like", 1.0, 500, 1500),
        class("order", "idempotency_key", 5.0, 1500, 4000)
    ]);
    let mut settings = settings(&classes);
    settings["azs"] = json!(layout::zone_names());
    settings["my_zone"] = json!(layout::zone(sidecar));
    settings["siblings"] = json!(layout::LIST_LINES);
    settings["me"] = json!(sidecar % layout::LIST_LINES);
    settings["orgs"][0]["quota_per_s"] = json!(QUOTA_PER_SECOND + f64::from(reloads));
    json!({
        "name": format!("sidecar-{sidecar:04}"), "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
        "discovery": discovery.to_string(), "seed": format!("{:x}", sidecar + 1),
        "limits": { "sockets": 128 }, "settings": settings,
    })
}
