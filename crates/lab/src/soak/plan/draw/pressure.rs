//! Draws the clients that put pressure on a process, and the limits of the processes.

use super::{PlanBuilder, seconds};
use crate::soak::plan::Event;
use crate::soak::pressure::PressureKind;
use crate::soak::records::Timestamp;

/// Mixed into the seed, so that the other faults of a seed stay as they were before these existed.
const PRESSURE_SALT: u64 = 0x6d65_6d6f_7279;
/// The limits of processes without such clients: memory of the sidecar in MB, and descriptors.
pub const USUAL_MEMORY_MB: u64 = 192;
pub const USUAL_SOCKETS: u32 = 160;
/// The descriptors of a process that hundreds of clients may connect to.
const PRESSURE_SOCKETS: u32 = 1024;

impl PlanBuilder {
    /// Half of the runs have such clients, of each kind in some order, at one process each.
    pub(super) fn draw_pressure(&mut self, quiet_until: Timestamp) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ PRESSURE_SALT);
        if random.bool() {
            return;
        }
        self.plan.memory_mb = [64, 96, 192][random.usize(0..3)];
        self.plan.sockets = PRESSURE_SOCKETS;
        let last = self.plan.length.as_secs_f64() - 4.0;
        for kind in PressureKind::ALL {
            let member = random.usize(0..self.plan.members);
            let at = seconds(&mut random, quiet_until.as_secs_f64().min(last), last);
            self.add_event(at, Event::Pressure(member, kind));
        }
    }
}
