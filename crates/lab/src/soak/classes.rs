//! The classes of a soak: which there are, and which of them a configuration names, in which order.

use super::records::Effect;
use std::fmt;
use std::time::Duration;

/// A class that configurations may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakClass {
    /// Its name, which is also the first segment of its paths.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// The worth of an answer, in whole units.
    pub worth: u8,
}

const fn class(name: &'static str, effect: Effect, worth: u8) -> SoakClass {
    SoakClass { name, effect, worth }
}

/// All classes. The first ones are those of every process at its start.
pub const CLASSES: [SoakClass; CLASS_COUNT] = [
    class("view", Effect::Safe, 1),
    class("order", Effect::Keyed, 3),
    class("pay", Effect::Unsafe, 5),
    class("archive", Effect::Safe, 1),
    class("refund", Effect::Unsafe, 4),
    class("sign", Effect::Keyed, 2),
    class("audit", Effect::Unsafe, 2),
    class("search", Effect::Safe, 2),
];
const CLASS_COUNT: usize = 8;
/// Position of the class whose requests stay open for long at endpoints that hang.
pub const ARCHIVE: usize = 3;
/// How long a client of [`ARCHIVE`] waits.
const ARCHIVE_TIMEOUT: Duration = Duration::from_millis(6000);

/// How long a client of a class waits in all, given the client timeouts of the plan for the three
/// effects.
pub fn client_timeout(class: usize, client_timeouts: [Duration; 3]) -> Duration {
    match (class, CLASSES[class].effect) {
        (ARCHIVE, _) => ARCHIVE_TIMEOUT,
        (_, Effect::Safe) => client_timeouts[0],
        (_, Effect::Keyed) => client_timeouts[1],
        (_, Effect::Unsafe) => client_timeouts[2],
    }
}

/// The classes that a configuration names, as positions in [`CLASSES`], in its order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ClassList {
    positions: [usize; CLASS_COUNT],
    count: usize,
}

impl ClassList {
    /// The classes that each process starts with.
    pub const FIRST: ClassList = ClassList { positions: [0, 1, 2, ARCHIVE, 4, 5, 6, 7], count: 3 };
    /// The same in runs with series of configurations, which need requests that stay open.
    pub const FIRST_OF_SERIES: ClassList = ClassList { count: 4, ..ClassList::FIRST };

    /// Draws some of the classes in any order, [`ARCHIVE`] among them.
    pub fn draw(random: &mut fastrand::Rng) -> ClassList {
        let mut positions = ClassList::FIRST.positions;
        random.shuffle(&mut positions);
        let archive = positions.iter().position(|position| *position == ARCHIVE).unwrap_or(0);
        let count = random.usize(2..=CLASS_COUNT);
        positions.swap(archive, archive.min(count - 1));
        ClassList { positions, count }
    }

    /// The positions in [`CLASSES`], in the order of the configuration.
    pub fn positions(&self) -> &[usize] {
        &self.positions[..self.count]
    }
}

impl fmt::Debug for ClassList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.positions().iter().map(|position| CLASSES[*position].name).collect();
        write!(f, "{}", names.join(","))
    }
}
