//! Links between members as a machine without I/O: each directed link drops, delays, doubles and reorders in its
//! own way, or is cut. The relay of the built program and the virtual fleet drive the very same one.
//!
//! Draws come from a stream for each sender, and each datagram takes the same number of them whatever the faults
//! are, so that a change on one link does not move what happens on the links of other senders.

use crate::draw::{Purpose, RandomStream};
use cottonpoint_decide::Time;
use std::time::Duration;

/// Keeps the streams of links apart from those of the emulator's own network.
const STREAMS_FROM: u64 = 1 << 32;

/// What a directed link does to datagrams. Nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// The share that is lost, 0 to 1.
    pub loss: f64,
    /// The share that arrives twice, 0 to 1; each copy has a delay of its own.
    pub duplicate: f64,
    /// The share that is held back by `hold`, 0 to 1, so that later ones overtake it.
    pub reorder: f64,
    /// How long those are held back.
    pub hold: Duration,
    /// The least and the longest delay; drawn evenly from between.
    pub delay: (Duration, Duration),
    /// Whether nothing passes at all.
    pub cut: bool,
}

/// What a directed link has done so far, in datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Let through, each counted once.
    pub passed: u64,
    /// Lost, by draw or by a cut.
    pub dropped: u64,
    /// Let through with a second copy.
    pub doubled: u64,
    /// Held back.
    pub held: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    faults: Faults,
    counts: Counts,
}

/// A change of links, for a schedule or a command. Members are named by index.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// All links behave so from now on; this undoes cuts too.
    All(Faults),
    /// One directed link behaves so from now on.
    One {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// What it does.
        faults: Faults,
    },
    /// Nothing passes between two sets, either way.
    Split(Vec<usize>, Vec<usize>),
    /// Nothing passes from the first set to the second.
    CutOneWay(Vec<usize>, Vec<usize>),
    /// All cuts end; other faults stay.
    Heal,
}

/// The links among a number of members.
#[derive(Clone, Debug)]
pub struct Links {
    members: usize,
    /// By sender, then by receiver.
    links: Vec<Link>,
    draws: Vec<RandomStream>,
}

impl Links {
    /// Links without faults among so many members. Equal seeds and equal calls give equal results.
    pub fn new(members: usize, seed: u64) -> Links {
        let draws =
            (0..members).map(|i| RandomStream::new(seed, Purpose::Network, STREAMS_FROM + i as u64));
        Links { members, links: vec![Link::default(); members * members], draws: draws.collect() }
    }

    /// How many members there are.
    pub fn members(&self) -> usize {
        self.members
    }

    /// When each copy of a datagram arrives that one member sends to another now: never, once or twice. Nothing
    /// arrives from or at a member that does not exist.
    pub fn pass(&mut self, now: Time, from: usize, to: usize) -> impl Iterator<Item = Time> + use<> {
        self.copies(now, from, to).into_iter().flatten()
    }

    fn copies(&mut self, now: Time, from: usize, to: usize) -> [Option<Time>; 2] {
        let Some(at) = self.at(from, to) else { return [None; 2] };
        let (link, draw) = (&mut self.links[at], &mut self.draws[from]);
        let Faults { loss, duplicate, reorder, hold, delay, cut } = link.faults;
        let [lost, doubled, held] = [loss, duplicate, reorder].map(|share| draw.uniform() < share);
        let [first, second] = [(); 2].map(|()| {
            let spread = delay.1.saturating_sub(delay.0).as_nanos() as f64;
            delay.0.as_nanos() as u64 + (spread * draw.uniform()) as u64
        });
        if cut || lost {
            link.counts.dropped += 1;
            return [None; 2];
        }
        link.counts.passed += 1;
        link.counts.doubled += u64::from(doubled);
        link.counts.held += u64::from(held);
        let back = if held { hold.as_nanos() as u64 } else { 0 };
        let arrives = |after: u64| Time(now.0.saturating_add(after));
        [Some(arrives(first.saturating_add(back))), doubled.then(|| arrives(second))]
    }

    /// Sets what a directed link does; without effect on a member that does not exist.
    pub fn set(&mut self, from: usize, to: usize, faults: Faults) {
        if let Some(at) = self.at(from, to) {
            self.links[at].faults = faults;
        }
    }

    /// Sets what all links do.
    pub fn set_all(&mut self, faults: Faults) {
        self.links.iter_mut().for_each(|link| link.faults = faults);
    }

    /// What a directed link does; `None` for a member that does not exist.
    pub fn faults(&self, from: usize, to: usize) -> Option<Faults> {
        self.at(from, to).map(|at| self.links[at].faults)
    }

    /// Cuts all links between two sets, both ways.
    pub fn split(&mut self, one: &[usize], other: &[usize]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Cuts the links from the members of one set to those of another; the way back stays as it is.
    pub fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        for (&from, &to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            if let Some(at) = self.at(from, to) {
                self.links[at].faults.cut = true;
            }
        }
    }

    /// Ends all cuts; loss, delays and the rest stay.
    pub fn heal(&mut self) {
        self.links.iter_mut().for_each(|link| link.faults.cut = false);
    }

    /// Carries out a change.
    pub fn change(&mut self, change: &Change) {
        match change {
            Change::All(faults) => self.set_all(*faults),
            Change::One { from, to, faults } => self.set(*from, *to, *faults),
            Change::Split(one, other) => self.split(one, other),
            Change::CutOneWay(from, to) => self.cut_one_way(from, to),
            Change::Heal => self.heal(),
        }
    }

    /// What a directed link has done so far; `None` for a member that does not exist.
    pub fn counts(&self, from: usize, to: usize) -> Option<Counts> {
        self.at(from, to).map(|at| self.links[at].counts)
    }

    /// What all links together have done so far.
    pub fn sum(&self) -> Counts {
        self.links.iter().fold(Counts::default(), |sum, link| Counts {
            passed: sum.passed + link.counts.passed,
            dropped: sum.dropped + link.counts.dropped,
            doubled: sum.doubled + link.counts.doubled,
            held: sum.held + link.counts.held,
        })
    }

    fn at(&self, from: usize, to: usize) -> Option<usize> {
        (from < self.members && to < self.members).then(|| from * self.members + to)
    }
}

/// Changes to come, by time. A flapping link is a schedule of cuts and heals.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Sorted by time, the latest first.
    coming: Vec<(Time, Change)>,
}

impl Schedule {
    /// Adds a change; of those of one time the one added first comes first.
    pub fn add(&mut self, at: Time, change: Change) {
        let place = self.coming.partition_point(|(other, _)| *other > at);
        self.coming.insert(place, (at, change));
    }

    /// When the next change is due.
    pub fn next(&self) -> Option<Time> {
        self.coming.last().map(|(at, _)| *at)
    }

    /// Carries out all changes that are due.
    pub fn play(&mut self, now: Time, links: &mut Links) {
        while let Some((_, change)) = self.coming.pop_if(|(at, _)| *at <= now) {
            links.change(&change);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Time(1_000_000_000);

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// Guards against: shares that are not what was asked for, on links without faults or with them, and counts
    /// that do not match what arrived.
    #[test]
    fn shares_and_counts_are_those_asked_for() {
        let mut links = Links::new(3, 7);
        assert_eq!(links.pass(NOW, 0, 1).collect::<Vec<_>>(), [NOW], "no faults: at once and once");
        let faults = Faults { loss: 0.2, duplicate: 0.1, reorder: 0.5, hold: ms(40), ..Faults::default() };
        links.set(1, 2, faults);
        let (mut arrived, mut late) = (0, 0);
        for _ in 0..10_000 {
            for at in links.pass(NOW, 1, 2) {
                arrived += 1;
                late += u64::from(at.0 == NOW.0 + 40_000_000);
            }
        }
        let counts = links.counts(1, 2).expect("it exists");
        assert_eq!((counts.passed + counts.dropped, arrived), (10_000, counts.passed + counts.doubled));
        assert_eq!(late, counts.held);
        // Five standard deviations around what is expected.
        let near = |n: u64, of: f64, p: f64| (n as f64 - of * p).abs() < 5.0 * (of * p * (1.0 - p)).sqrt();
        assert!(near(counts.dropped, 10_000.0, 0.2), "{counts:?}");
        assert!(near(counts.doubled, counts.passed as f64, 0.1), "{counts:?}");
        assert!(near(counts.held, counts.passed as f64, 0.5), "{counts:?}");
        assert_eq!(links.counts(2, 1), Some(Counts::default()), "the way back has its own state");
    }

    /// Guards against: delays outside of what was asked for, and copies that share one draw.
    #[test]
    fn delays_lie_between_their_ends() {
        let mut links = Links::new(2, 1);
        links.set_all(Faults { duplicate: 1.0, delay: (ms(5), ms(15)), ..Faults::default() });
        let all: Vec<_> =
            (0..1_000).map(|_| links.pass(NOW, 0, 1).map(|t| t.0 - NOW.0).collect()).collect();
        let all: Vec<Vec<u64>> = all;
        assert!(all.iter().flatten().all(|after| (5_000_000..=15_000_000).contains(after)));
        assert!(all.iter().any(|copies| copies[0] > copies[1]) && all.iter().any(|c| c[0] < c[1]));
    }

    /// Guards against: a split that lets one way open or cuts within a side, a heal that forgets a cut or takes
    /// other faults away, and a panic on a member that does not exist.
    #[test]
    fn a_split_cuts_both_ways_and_a_heal_ends_it() {
        let mut links = Links::new(4, 1);
        let slow = Faults { delay: (ms(1), ms(1)), ..Faults::default() };
        links.set(0, 2, slow);
        links.split(&[0, 1], &[2, 3]);
        links.cut_one_way(&[0], &[1, 9]);
        let open = |links: &mut Links| {
            let pairs = (0..4).flat_map(|from| (0..4).map(move |to| (from, to))).filter(|(a, b)| a != b);
            pairs.filter(|&(from, to)| links.pass(NOW, from, to).count() > 0).collect::<Vec<_>>()
        };
        assert_eq!(open(&mut links), [(1, 0), (2, 3), (3, 2)]);
        links.heal();
        assert_eq!(open(&mut links).len(), 12);
        assert_eq!(links.faults(0, 2), Some(slow));
        assert_eq!((links.pass(NOW, 0, 4).count(), links.pass(NOW, 4, 0).count()), (0, 0));
    }

    /// Guards against: a schedule that plays early, out of order or not at all.
    #[test]
    fn a_schedule_plays_what_is_due_in_order() {
        let (mut links, mut schedule) = (Links::new(2, 1), Schedule::default());
        schedule.add(Time(30), Change::Heal);
        schedule.add(Time(10), Change::Split(vec![0], vec![1]));
        schedule.add(Time(10), Change::Heal);
        schedule.add(Time(20), Change::CutOneWay(vec![0], vec![1]));
        let mut cut_at = |now| {
            schedule.play(Time(now), &mut links);
            let cut = [(0, 1), (1, 0)].map(|(from, to)| links.faults(from, to).is_some_and(|f| f.cut));
            (cut, schedule.next())
        };
        assert_eq!(cut_at(9), ([false, false], Some(Time(10))));
        assert_eq!(cut_at(10), ([false, false], Some(Time(20))), "split, then healed");
        assert_eq!(cut_at(25), ([true, false], Some(Time(30))));
        assert_eq!(cut_at(30), ([false, false], None));
    }

    /// Guards against: faults on one sender's links that move what happens on another's.
    #[test]
    fn senders_draw_apart() {
        let fate = |loss| {
            let mut links = Links::new(3, 5);
            links.set_all(Faults { loss: 0.5, ..Faults::default() });
            links.set(0, 1, Faults { loss, ..Faults::default() });
            let one = |_| {
                (
                    links.pass(NOW, 0, 1).count(),
                    links.pass(NOW, 0, 2).count(),
                    links.pass(NOW, 1, 2).count(),
                )
            };
            (0..100).map(one).map(|(_, b, c)| (b, c)).collect::<Vec<_>>()
        };
        assert_eq!(fate(0.0), fate(1.0));
    }
}
