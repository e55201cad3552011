//! Counts of what passed through the core, for whoever watches it. Plain numbers that only grow; a sidecar runs
//! on one thread.

use crate::FixedResponse;
use cottonpoint_decide::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Classes counted at most: those that settings name are few, and a class dropped at a reload keeps its
/// figures; past this many a new name is not counted.
const CLASSES: usize = 256;

/// How a flow ended for its client, as the figures count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A target's answer was passed on.
    Fulfilled,
    /// It was refused, so that trying again does no harm.
    Throttled,
    /// It failed.
    Faulted,
}

/// Figures of one class: flows fulfilled, throttled, faulted, and attempts written whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Flows that a target's answer ended.
    pub fulfilled: u64,
    /// Flows refused.
    pub throttled: u64,
    /// Flows failed.
    pub faulted: u64,
    /// Attempts written whole to targets.
    pub relayed: u64,
}

/// What a core has counted since its start.
#[derive(Debug, Default)]
pub struct Counts {
    admitted: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
    departed: Cell<u64>,
    attempts: [Cell<u64>; Outcome::ALL.len()],
    lists: Cell<u64>,
    list_failures: Cell<u64>,
    poll_failures: RefCell<BTreeMap<&'static str, u64>>,
    lease_expiries: Cell<u64>,
    classes: RefCell<BTreeMap<String, ClassCounts>>,
    configurations: [Cell<u64>; 2],
    bad_requests: Cell<u64>,
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Counts {
    pub(crate) fn admit(&self) {
        more(&self.admitted);
    }

    pub(crate) fn answer(&self, response: FixedResponse) {
        more(if response == FixedResponse::Failed { &self.failed } else { &self.refused });
    }

    pub(crate) fn depart(&self) {
        more(&self.departed);
    }

    pub(crate) fn book(&self, outcome: Outcome) {
        more(&self.attempts[outcome as usize]);
    }

    pub(crate) fn list(&self, told: bool) {
        more(if told { &self.lists } else { &self.list_failures });
    }

    /// A poll of discovery, or a connect for one, came to nothing for that reason.
    pub fn poll_failed(&self, reason: &'static str) {
        *self.poll_failures.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Polls of discovery, and connects for them, that came to nothing, by reason.
    pub fn poll_failures(&self) -> Vec<(&'static str, u64)> {
        self.poll_failures.borrow().iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    pub(crate) fn lease_expired(&self) {
        more(&self.lease_expiries);
    }

    /// How often the list could not be confirmed in time, so that nothing new was sent.
    pub fn lease_expiries(&self) -> u64 {
        self.lease_expiries.get()
    }

    fn of_class(&self, class: &str, count: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.classes.borrow_mut();
        if let Some(counts) = classes.get_mut(class) {
            count(counts);
        } else if classes.len() < CLASSES {
            count(classes.entry(class.to_owned()).or_default());
        }
    }

    /// A flow of that class has had its final answer, or its client has gone.
    pub fn ended_as(&self, class: &str, fate: Fate) {
        self.of_class(class, |c| {
            let n = match fate {
                Fate::Fulfilled => &mut c.fulfilled,
                Fate::Throttled => &mut c.throttled,
                Fate::Faulted => &mut c.faulted,
            };
            *n += 1;
        });
    }

    /// An attempt of that class was written whole to its target.
    pub fn relayed(&self, class: &str) {
        self.of_class(class, |c| c.relayed += 1);
    }

    /// A request came that cannot be read, or cannot be served as it is.
    pub fn bad_request(&self) {
        more(&self.bad_requests);
    }

    /// Requests that could not be read, or not be served as they were.
    pub fn bad_requests(&self) -> u64 {
        self.bad_requests.get()
    }

    /// A configuration was read at a reload: taken, or turned down.
    pub fn configuration(&self, accepted: bool) {
        more(&self.configurations[usize::from(!accepted)]);
    }

    /// Configurations taken and turned down at reloads.
    pub fn configurations(&self) -> (u64, u64) {
        (self.configurations[0].get(), self.configurations[1].get())
    }

    /// The figures of each class that has had flows.
    pub fn classes(&self) -> BTreeMap<String, ClassCounts> {
        self.classes.borrow().clone()
    }

    /// Flows handed to the balancer.
    pub fn admitted(&self) -> u64 {
        self.admitted.get()
    }

    /// Flows by how they ended: refused, failed, left by their clients.
    pub fn ended(&self) -> [(&'static str, u64); 3] {
        [("refused", self.refused.get()), ("failed", self.failed.get()), ("departed", self.departed.get())]
    }

    /// Attempts by outcome. Those with [`Outcome::Ok`] served their flows, but for answers that came too late.
    pub fn attempts(&self) -> impl Iterator<Item = (Outcome, u64)> + '_ {
        Outcome::ALL.iter().zip(&self.attempts).map(|(o, n)| (*o, n.get()))
    }

    /// Lists and changes told, and failures to have them.
    pub fn lists(&self) -> (u64, u64) {
        (self.lists.get(), self.list_failures.get())
    }
}
