//! Counters of the core, read by metrics and the console. They are plain integers that only grow,
//! since a sidecar runs on one thread.

use crate::LocalReply;
use cottonpoint_decide::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Maximum number of classes counted. Settings name few, and a class removed by a reload keeps its
/// counters until others need the room; beyond this number a new name is not counted.
const MAX_CLASSES: usize = 256;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's answer was passed on.
    Fulfilled,
    /// It was refused, so a retry is harmless.
    Throttled,
    /// It failed.
    Faulted,
}

/// Counters of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that ended with an endpoint's answer.
    pub fulfilled: u64,
    /// Requests refused.
    pub throttled: u64,
    /// Requests failed.
    pub faulted: u64,
    /// Attempts written completely to an endpoint.
    pub relayed: u64,
}

/// Counters since the core was created.
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
    attempts_written: Cell<u64>,
    configurations: [Cell<u64>; 2],
    bad_requests: Cell<u64>,
    answers_cut: RefCell<BTreeMap<&'static str, u64>>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Counts {
    pub(crate) fn count_admitted(&self) {
        increment(&self.admitted);
    }

    pub(crate) fn count_reply(&self, response: LocalReply) {
        increment(if response == LocalReply::Failed { &self.failed } else { &self.refused });
    }

    pub(crate) fn count_departed(&self) {
        increment(&self.departed);
    }

    pub(crate) fn count_attempt(&self, outcome: Outcome) {
        increment(&self.attempts[outcome as usize]);
    }

    pub(crate) fn count_list(&self, received: bool) {
        increment(if received { &self.lists } else { &self.list_failures });
    }

    /// Counts a poll of discovery, or a connect for one, that failed for `reason`.
    pub fn poll_failed(&self, reason: &'static str) {
        *self.poll_failures.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Failed polls of discovery and failed connects for them, by reason.
    pub fn poll_failures(&self) -> Vec<(&'static str, u64)> {
        self.poll_failures.borrow().iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    /// Counts an answer that was cut off while it was passed on to its client, for `reason`.
    pub fn answer_cut(&self, reason: &'static str) {
        *self.answers_cut.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Answers that were cut off while they were passed on, by reason.
    pub fn answers_cut(&self) -> Vec<(&'static str, u64)> {
        self.answers_cut.borrow().iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    pub(crate) fn lease_expired(&self) {
        increment(&self.lease_expiries);
    }

    /// How often the lease on the endpoint list expired, so that new attempts were suspended.
    pub fn lease_expiries(&self) -> u64 {
        self.lease_expiries.get()
    }

    fn update_class(&self, class: &str, count: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.classes.borrow_mut();
        if let Some(counts) = classes.get_mut(class) {
            count(counts);
        } else if classes.len() < MAX_CLASSES {
            count(classes.entry(class.to_owned()).or_default());
        }
    }

    /// Makes room for the counters of the classes in force: where there are too many, those of other
    /// classes are dropped.
    pub fn make_room_for(&self, in_force: &[String]) {
        let mut classes = self.classes.borrow_mut();
        let new = in_force.iter().filter(|class| !classes.contains_key(*class)).count();
        if classes.len() + new > MAX_CLASSES {
            classes.retain(|class, _| in_force.contains(class));
        }
    }

    /// Counts a request of this class that has had its final answer, or whose client has gone.
    pub fn count_request(&self, class: &str, outcome: RequestOutcome) {
        self.update_class(class, |c| {
            let n = match outcome {
                RequestOutcome::Fulfilled => &mut c.fulfilled,
                RequestOutcome::Throttled => &mut c.throttled,
                RequestOutcome::Faulted => &mut c.faulted,
            };
            *n += 1;
        });
    }

    /// Counts an attempt of this class that was written completely to its endpoint.
    pub fn relayed(&self, class: &str) {
        increment(&self.attempts_written);
        self.update_class(class, |c| c.relayed += 1);
    }

    /// Attempts written completely to an endpoint, of all classes that there have been.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.get()
    }

    /// Counts a request that cannot be read, or cannot be served as it is.
    pub fn bad_request(&self) {
        increment(&self.bad_requests);
    }

    /// Requests that could not be read, or could not be served as they were.
    pub fn bad_requests(&self) -> u64 {
        self.bad_requests.get()
    }

    /// Counts a configuration that a reload accepted or rejected.
    pub fn configuration(&self, accepted: bool) {
        increment(&self.configurations[usize::from(!accepted)]);
    }

    /// Configurations accepted and rejected by reloads.
    pub fn configurations(&self) -> (u64, u64) {
        (self.configurations[0].get(), self.configurations[1].get())
    }

    /// Counters of each class that has had requests.
    pub fn classes(&self) -> BTreeMap<String, ClassCounts> {
        self.classes.borrow().clone()
    }

    /// Requests handed to the balancer.
    pub fn admitted(&self) -> u64 {
        self.admitted.get()
    }

    /// Requests that ended refused, failed or abandoned by their client.
    pub fn ended(&self) -> [(&'static str, u64); 3] {
        [("refused", self.refused.get()), ("failed", self.failed.get()), ("departed", self.departed.get())]
    }

    /// Attempts by outcome. Those with [`Outcome::Ok`] served their requests, except for answers
    /// that came too late.
    pub fn attempts(&self) -> impl Iterator<Item = (Outcome, u64)> + '_ {
        Outcome::ALL.iter().zip(&self.attempts).map(|(o, n)| (*o, n.get()))
    }

    /// Endpoint lists and changes received, and failures to get them.
    pub fn lists(&self) -> (u64, u64) {
        (self.lists.get(), self.list_failures.get())
    }
}
