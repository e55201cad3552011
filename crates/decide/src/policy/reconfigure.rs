//! New settings for a balancer in use. Open requests keep the rules under which they arrived; what
//! has been learned of endpoints, and every budget, goes on, so that however many settings follow
//! one another, all of them together send what one would.

use super::*;

/// The figures that follow from the classes of the settings.
pub(super) struct ClassFigures {
    /// Greatest worth of a class; 1 if none has a positive one.
    pub(super) max_worth: f64,
    /// Shortest latency target, in seconds.
    pub(super) shortest_target_s: f64,
    /// Longest latency target, in seconds: the service time assumed for a request until it is
    /// closed.
    pub(super) longest_target_s: f64,
}

impl ClassFigures {
    pub(super) fn of(classes: &[Class]) -> ClassFigures {
        let usable_worth = |w: f64| if w.is_finite() && w > 0.0 { w } else { 0.0 };
        let max_worth = classes.iter().map(|c| usable_worth(c.worth)).fold(0.0, f64::max);
        let targets_s = || classes.iter().map(|c| c.latency_target.as_secs_f64());
        let longest_target_s = targets_s().fold(0.001, f64::max);
        ClassFigures {
            max_worth: if max_worth > 0.0 { max_worth } else { 1.0 },
            shortest_target_s: targets_s().fold(longest_target_s, f64::min),
            longest_target_s,
        }
    }
}

/// What was held under the previous id of each item of a list, or a new value.
fn renumber<T: Clone>(held: &[T], previous: impl Iterator<Item = Option<u16>>, new: T) -> Vec<T> {
    previous.map(|id| id.and_then(|id| held.get(usize::from(id))).unwrap_or(&new).clone()).collect()
}

impl Balancer {
    /// Replaces the settings, and appends the actions that this leads to. Requests that arrived
    /// before keep the class and the limits of their own settings until they are closed.
    ///
    /// `renumbering` has an entry for each class and each tenant of the new settings; a missing one
    /// stands for a new class or tenant.
    pub fn reconfigure(
        &mut self,
        now: Time,
        settings: Settings,
        renumbering: &Renumbering,
        actions: &mut Vec<Action>,
    ) {
        self.advance_clock(now);
        self.renumber_classes(&settings, &renumbering.classes);
        let tenants = (0..settings.tenants.len()).map(|i| renumbering.tenants.get(i).copied().flatten());
        self.quota_buckets =
            renumber(&self.quota_buckets, tenants.map(|id| id.map(|id| id.0)), (f64::INFINITY, self.now));
        let figures = ClassFigures::of(&settings.classes);
        self.max_class_worth = figures.max_worth;
        self.shortest_target_s = figures.shortest_target_s;
        self.service_guess_s = figures.longest_target_s;
        let previous = std::mem::replace(&mut self.settings, settings);
        if previous.discovery != self.settings.discovery {
            self.subscription_pending = false;
            self.timers.retain(|t| !t.0.1.is_subscription());
            self.schedule_first_subscription();
        }
        if self.uses_probes() {
            if !self.timers.iter().any(|t| t.0.1 == TimerKind::Probe) {
                self.schedule(self.now, TimerKind::Probe);
            }
        } else {
            self.timers.retain(|t| t.0.1 != TimerKind::Probe);
        }
        self.select_subsets();
        self.run_due_timers(actions);
        self.dispatch_waiting(actions);
        self.arm_timer(actions);
    }

    /// Moves what is held for each class to its new id. A class whose client timeout changes has
    /// another usual time allowance.
    fn renumber_classes(&mut self, settings: &Settings, previous: &[Option<ClassId>]) {
        let previous: Vec<Option<ClassId>> =
            (0..settings.classes.len()).map(|i| previous.get(i).copied().flatten()).collect();
        let ids = || previous.iter().map(|id| id.map(|id| id.0));
        self.class_service_time_s = renumber(&self.class_service_time_s, ids(), 0.0);
        let had_timeout = |(i, id): (usize, &Option<ClassId>)| {
            let had = id.and_then(|id| self.settings.classes.get(usize::from(id.0)));
            let same = had.is_some_and(|had| had.client_timeout == settings.classes[i].client_timeout);
            id.filter(|_| same).map(|id| id.0)
        };
        let with_same_timeout = previous.iter().enumerate().map(had_timeout);
        self.usual_timeouts = renumber(&self.usual_timeouts, with_same_timeout, (Duration::ZERO, 0));
        for request in self.requests.values_mut() {
            let position = previous.iter().position(|id| id.is_some() && *id == request.class);
            request.class = position.and_then(|i| u16::try_from(i).ok()).map(ClassId);
        }
    }
}
