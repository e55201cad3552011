//! Network links between members, as a state machine without I/O. Each directed link drops, delays,
//! duplicates and reorders datagrams with its own probabilities, or is cut. Both the relay of the
//! built program and the fleet in virtual time use this model.
//!
//! Each sender has its own random stream, and each datagram takes the same number of draws from it
//! whatever the faults are. A change on one link therefore does not affect the links of other
//! senders.

use crate::draw::{Purpose, RandomStream};
use cottonpoint_decide::Time;
use std::time::Duration;

/// The first random stream used for links. It keeps their streams apart from those of the
/// emulator's own network.
const FIRST_STREAM: u64 = 1 << 32;

/// The faults of a directed link. The default is a link without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// The fraction of datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice, 0 to 1. Each copy has a delay of its own.
    pub duplicate: f64,
    /// The fraction of datagrams that are delayed further by `hold`, 0 to 1, so that later ones
    /// overtake them.
    pub reorder: f64,
    /// The additional delay of reordered datagrams.
    pub hold: Duration,
    /// The shortest and the longest delay. Each delay is drawn uniformly from this range.
    pub delay: (Duration, Duration),
    /// Whether the link is cut, so that no datagram passes.
    pub cut: bool,
}

/// The number of datagrams that a directed link has handled so far, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Datagrams that passed. A duplicated one counts once.
    pub passed: u64,
    /// Datagrams that were lost at random or because the link was cut.
    pub dropped: u64,
    /// Datagrams that passed with a second copy.
    pub duplicated: u64,
    /// Datagrams that were delayed further by `hold`.
    pub reordered: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    faults: Faults,
    counts: LinkCounts,
}

/// A change to links, from a schedule or a command. Members are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkChange {
    /// Sets the faults of all links. This also ends cuts.
    All(Faults),
    /// Sets the faults of one directed link.
    One {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The link's new faults.
        faults: Faults,
    },
    /// Cuts all links between two sets of members, in both directions.
    Split(Vec<usize>, Vec<usize>),
    /// Cuts the links from the members of the first set to those of the second.
    CutOneWay(Vec<usize>, Vec<usize>),
    /// Ends all cuts. Other faults stay.
    Heal,
}

/// The directed links among a number of members.
#[derive(Clone, Debug)]
pub struct Links {
    members: usize,
    /// Indexed by sender, then by receiver.
    links: Vec<Link>,
    draws: Vec<RandomStream>,
}

impl Links {
    /// Creates links without faults. Equal seeds and equal sequences of calls give equal results.
    pub fn new(members: usize, seed: u64) -> Links {
        let draws =
            (0..members).map(|i| RandomStream::new(seed, Purpose::Network, FIRST_STREAM + i as u64));
        Links { members, links: vec![Link::default(); members * members], draws: draws.collect() }
    }

    /// The number of members.
    pub fn members(&self) -> usize {
        self.members
    }

    /// The arrival times of the copies of a datagram that is sent now: none, one or two. Nothing
    /// arrives from or at a member that does not exist.
    pub fn pass(&mut self, now: Time, from: usize, to: usize) -> impl Iterator<Item = Time> + use<> {
        self.copies(now, from, to).into_iter().flatten()
    }

    fn copies(&mut self, now: Time, from: usize, to: usize) -> [Option<Time>; 2] {
        let Some(index) = self.index(from, to) else { return [None; 2] };
        let (link, draw) = (&mut self.links[index], &mut self.draws[from]);
        let Faults { loss, duplicate, reorder, hold, delay, cut } = link.faults;
        let [lost, duplicated, reordered] = [loss, duplicate, reorder].map(|share| draw.uniform() < share);
        let [first, second] = [(); 2].map(|()| {
            let spread = delay.1.saturating_sub(delay.0).as_nanos() as f64;
            delay.0.as_nanos() as u64 + (spread * draw.uniform()) as u64
        });
        if cut || lost {
            link.counts.dropped += 1;
            return [None; 2];
        }
        link.counts.passed += 1;
        link.counts.duplicated += u64::from(duplicated);
        link.counts.reordered += u64::from(reordered);
        let hold_ns = if reordered { hold.as_nanos() as u64 } else { 0 };
        let arrives = |after: u64| Time(now.0.saturating_add(after));
        [Some(arrives(first.saturating_add(hold_ns))), duplicated.then(|| arrives(second))]
    }

    /// Sets the faults of a directed link. Does nothing for a member that does not exist.
    pub fn set(&mut self, from: usize, to: usize, faults: Faults) {
        if let Some(index) = self.index(from, to) {
            self.links[index].faults = faults;
        }
    }

    /// Sets the faults of all links.
    pub fn set_all(&mut self, faults: Faults) {
        self.links.iter_mut().for_each(|link| link.faults = faults);
    }

    /// The faults of a directed link, or `None` for a member that does not exist.
    pub fn faults(&self, from: usize, to: usize) -> Option<Faults> {
        self.index(from, to).map(|index| self.links[index].faults)
    }

    /// Cuts all links between two sets of members, in both directions.
    pub fn split(&mut self, one: &[usize], other: &[usize]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Cuts the links from the members of one set to those of another. The opposite direction is
    /// unchanged.
    pub fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        for (&from, &to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            if let Some(index) = self.index(from, to) {
                self.links[index].faults.cut = true;
            }
        }
    }

    /// Ends all cuts. Loss, delays and other faults stay.
    pub fn heal(&mut self) {
        self.links.iter_mut().for_each(|link| link.faults.cut = false);
    }

    /// Applies a change.
    pub fn change(&mut self, change: &LinkChange) {
        match change {
            LinkChange::All(faults) => self.set_all(*faults),
            LinkChange::One { from, to, faults } => self.set(*from, *to, *faults),
            LinkChange::Split(one, other) => self.split(one, other),
            LinkChange::CutOneWay(from, to) => self.cut_one_way(from, to),
            LinkChange::Heal => self.heal(),
        }
    }

    /// The counts of a directed link so far, or `None` for a member that does not exist.
    pub fn counts(&self, from: usize, to: usize) -> Option<LinkCounts> {
        self.index(from, to).map(|index| self.links[index].counts)
    }

    /// The sum of the counts of all links so far.
    pub fn sum(&self) -> LinkCounts {
        self.links.iter().fold(LinkCounts::default(), |sum, link| LinkCounts {
            passed: sum.passed + link.counts.passed,
            dropped: sum.dropped + link.counts.dropped,
            duplicated: sum.duplicated + link.counts.duplicated,
            reordered: sum.reordered + link.counts.reordered,
        })
    }

    fn index(&self, from: usize, to: usize) -> Option<usize> {
        (from < self.members && to < self.members).then(|| from * self.members + to)
    }
}

/// Scheduled changes of links. A flapping link is a schedule of cuts and heals.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Sorted by time, latest first.
    pending: Vec<(Time, LinkChange)>,
}

impl Schedule {
    /// Adds a change. Changes at the same time are applied in the order in which they were added.
    pub fn add(&mut self, at: Time, change: LinkChange) {
        let position = self.pending.partition_point(|(other, _)| *other > at);
        self.pending.insert(position, (at, change));
    }

    /// The time of the next change, if any.
    pub fn next(&self) -> Option<Time> {
        self.pending.last().map(|(at, _)| *at)
    }

    /// Applies all changes that are due.
    pub fn apply_due(&mut self, now: Time, links: &mut Links) {
        while let Some((_, change)) = self.pending.pop_if(|(at, _)| *at <= now) {
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

    /// Guards against loss, duplication and reordering at rates other than those configured, on
    /// links with or without faults, and against counts that do not match what arrived.
    #[test]
    fn datagrams_are_dropped_duplicated_and_reordered_at_the_configured_rates() {
        let mut links = Links::new(3, 7);
        assert_eq!(
            links.pass(NOW, 0, 1).collect::<Vec<_>>(),
            [NOW],
            "without faults a datagram arrives once and at once"
        );
        let faults = Faults { loss: 0.2, duplicate: 0.1, reorder: 0.5, hold: ms(40), ..Faults::default() };
        links.set(1, 2, faults);
        let (mut arrived, mut late) = (0, 0);
        for _ in 0..10_000 {
            for at in links.pass(NOW, 1, 2) {
                arrived += 1;
                late += u64::from(at.0 == NOW.0 + 40_000_000);
            }
        }
        let counts = links.counts(1, 2).expect("the link exists");
        assert_eq!((counts.passed + counts.dropped, arrived), (10_000, counts.passed + counts.duplicated));
        assert_eq!(late, counts.reordered);
        // Allows five standard deviations around the expected count.
        let near = |n: u64, of: f64, p: f64| (n as f64 - of * p).abs() < 5.0 * (of * p * (1.0 - p)).sqrt();
        assert!(near(counts.dropped, 10_000.0, 0.2), "{counts:?}");
        assert!(near(counts.duplicated, counts.passed as f64, 0.1), "{counts:?}");
        assert!(near(counts.reordered, counts.passed as f64, 0.5), "{counts:?}");
        assert_eq!(
            links.counts(2, 1),
            Some(LinkCounts::default()),
            "the opposite direction has its own state"
        );
    }

    /// Guards against delays outside the configured range and against two copies of a datagram that
    /// share one draw.
    #[test]
    fn delays_stay_within_the_configured_range() {
        let mut links = Links::new(2, 1);
        links.set_all(Faults { duplicate: 1.0, delay: (ms(5), ms(15)), ..Faults::default() });
        let all: Vec<_> =
            (0..1_000).map(|_| links.pass(NOW, 0, 1).map(|t| t.0 - NOW.0).collect()).collect();
        let all: Vec<Vec<u64>> = all;
        assert!(all.iter().flatten().all(|after| (5_000_000..=15_000_000).contains(after)));
        assert!(all.iter().any(|copies| copies[0] > copies[1]) && all.iter().any(|c| c[0] < c[1]));
    }

    /// Guards against a split that leaves one direction open or cuts links within a side, a heal
    /// that misses a cut or removes other faults, and a panic for a member that does not exist.
    #[test]
    fn split_cuts_both_directions_and_heal_removes_only_cuts() {
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

    /// Guards against a schedule that applies changes too early, out of order or not at all.
    #[test]
    fn schedule_applies_due_changes_in_order() {
        let (mut links, mut schedule) = (Links::new(2, 1), Schedule::default());
        schedule.add(Time(30), LinkChange::Heal);
        schedule.add(Time(10), LinkChange::Split(vec![0], vec![1]));
        schedule.add(Time(10), LinkChange::Heal);
        schedule.add(Time(20), LinkChange::CutOneWay(vec![0], vec![1]));
        let mut cut_at = |now| {
            schedule.apply_due(Time(now), &mut links);
            let cut = [(0, 1), (1, 0)].map(|(from, to)| links.faults(from, to).is_some_and(|f| f.cut));
            (cut, schedule.next())
        };
        assert_eq!(cut_at(9), ([false, false], Some(Time(10))));
        assert_eq!(cut_at(10), ([false, false], Some(Time(20))), "split, then healed");
        assert_eq!(cut_at(25), ([true, false], Some(Time(30))));
        assert_eq!(cut_at(30), ([false, false], None));
    }

    /// Guards against faults on one sender's links that change the outcomes on another sender's
    /// links.
    #[test]
    fn faults_of_one_sender_leave_draws_of_others_unchanged() {
        let arrivals = |loss| {
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
        assert_eq!(arrivals(0.0), arrivals(1.0));
    }
}
