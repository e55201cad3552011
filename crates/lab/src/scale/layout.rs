//! The placement of sidecars, given by index, in regions and zones and at discovery stand-ins, and
//! the size of the list.

use std::ops::Range;

/// The number of discovery stand-ins.
pub const DISCOVERIES: usize = 5;
/// The number of zones in each of the two regions.
pub const ZONES_PER_REGION: usize = 5;
/// The number of sidecars in a rack.
pub const RACK_SIZE: usize = 12;
/// The number of lines in the list: the endpoints of one service when 57 services share 610
/// endpoints.
pub const LIST_LINES: usize = 11;

/// A region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Region {
    /// The region of the discovery stand-ins.
    Near,
    /// The region behind the link.
    Far,
}

/// The region of a sidecar.
pub fn region(sidecar: usize) -> Region {
    if sidecar.is_multiple_of(2) { Region::Near } else { Region::Far }
}

/// The discovery stand-in that a sidecar polls.
pub fn discovery(sidecar: usize) -> usize {
    sidecar % DISCOVERIES
}

/// The zone of a sidecar, as an index into [`zone_names`].
pub fn zone(sidecar: usize) -> usize {
    let first = match region(sidecar) {
        Region::Near => 0,
        Region::Far => ZONES_PER_REGION,
    };
    first + sidecar / 2 % ZONES_PER_REGION
}

/// The names of all zones.
pub fn zone_names() -> Vec<String> {
    let name = |zone: usize| format!("r{}z{}", 1 + zone / ZONES_PER_REGION, 1 + zone % ZONES_PER_REGION);
    (0..2 * ZONES_PER_REGION).map(name).collect()
}

/// The sidecars of one size. Real processes have the lowest indices, hollow sidecars follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of real processes among them.
    pub real: usize,
}

impl Layout {
    /// The indices of the hollow sidecars.
    pub fn hollow(&self) -> Range<usize> {
        self.real..self.sidecars
    }

    /// The number of sidecars in a region.
    pub fn in_region(&self, wanted: Region) -> usize {
        (0..self.sidecars).filter(|&sidecar| region(sidecar) == wanted).count()
    }

    /// The sidecars of a rack: hollow sidecars of the near region, at most half of all hollow ones.
    pub fn rack(&self) -> Vec<usize> {
        let near = self.hollow().filter(|&sidecar| region(sidecar) == Region::Near);
        near.take(RACK_SIZE.min(self.hollow().len() / 2)).collect()
    }
}
