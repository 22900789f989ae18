//! Readiness leases (rule 3 while discovery is out of reach): how long a worker may be taken for ready without news of it.
//!
//! An endpoint list says nothing of what has happened since. Where the host states until when its list is confirmed, three
//! phases follow each other until the next confirmation:
//!
//! 1. *Current*: changes can't count as told yet.
//! 2. *Overdue*, once changes may count as told (`min_notification_delay`): a worker that rejects what it is sent may be
//!    draining, and gets nothing more unless it has accepted something later.
//! 3. *Stale*, once they count as told at the latest (`max_notification_delay`): a worker has to hold a lease of its own,
//!    which it gets with each attempt that it accepts, counted from the dispatch.
//!
//! Only accepted attempts count: a draining worker answers queries and load commands of loaded instances like any other.

use super::constants::SHORTEST_LEASE_DIVISOR;
use super::Router;
use crate::state::{InFlightAttempt, Worker};
use crate::{EndpointConfirmation, Micros, Outcome, WorkerId};

impl Router {
    /// Records until when the host's endpoint list is confirmed. What waited for that is to be placed again.
    pub(super) fn record_confirmation(&mut self, confirmation: EndpointConfirmation) {
        if self.are_endpoints_overdue() {
            self.unplaced.extend(&self.waiting);
        }
        self.endpoint_confirmation = Some(confirmation);
    }

    /// Until when the endpoint list is confirmed; zero where the host does not state it.
    pub(super) fn endpoints_confirmed_at(&self) -> Micros {
        self.endpoint_confirmation
            .map_or(0, |confirmation| confirmation.confirmed_at)
    }

    /// Whether changes of the endpoint list may count as told that this router has not received.
    pub(super) fn are_endpoints_overdue(&self) -> bool {
        self.is_list_older_than(|confirmation| confirmation.min_notification_delay)
    }

    /// Whether changes of the endpoint list count as told that this router has not received.
    pub(super) fn are_endpoints_stale(&self) -> bool {
        self.is_list_older_than(|confirmation| self.lease(confirmation.max_notification_delay))
    }

    /// Whether the list is stale before a worker's lease that begins now ends.
    pub(super) fn will_need_leases(&self) -> bool {
        self.is_list_older_than(|confirmation| {
            self.lease(confirmation.max_notification_delay)
                - self.lease(confirmation.min_notification_delay)
        })
    }

    fn is_list_older_than(&self, age: impl Fn(&EndpointConfirmation) -> Micros) -> bool {
        self.endpoint_confirmation
            .is_some_and(|confirmation| self.now >= confirmation.confirmed_at + age(&confirmation))
    }

    /// How long what was known stays good, where changes count as told after such a time. An attempt may take as long as a
    /// connection to be written; what the grace does not cover of that is left out.
    fn lease(&self, notified: Micros) -> Micros {
        let uncovered = (self.config.connect_timeout - self.config.drain_grace).max(0);
        (notified - uncovered).max(notified / SHORTEST_LEASE_DIVISOR)
    }

    /// How long a worker is taken for ready after it accepted an attempt, where the list is stale.
    fn worker_lease(&self) -> Micros {
        self.endpoint_confirmation.map_or(0, |confirmation| {
            self.lease(confirmation.min_notification_delay)
        })
    }

    /// Whether a worker may get something new, as far as news of it are recent enough.
    pub(super) fn holds_readiness_lease(&self, worker: &Worker) -> bool {
        if !self.are_endpoints_overdue() {
            return true;
        }
        if self.may_be_draining(worker) {
            // A drain that began after the last accepted attempt has the grace still.
            return self.now < worker.accepted_at + self.config.drain_grace;
        }
        !self.are_endpoints_stale()
            || self.now < worker.accepted_at + self.worker_lease()
            || (self.now < self.leases_extended_until && self.is_lease_extensible(worker))
    }

    /// Whether a worker has rejected an attempt since the list was confirmed, and accepted none since.
    fn may_be_draining(&self, worker: &Worker) -> bool {
        worker.rejected_at >= self.endpoints_confirmed_at()
            && worker.rejected_at > worker.accepted_at
    }

    /// Records what the outcome of an attempt shows of its worker's readiness as it was dispatched.
    pub(super) fn record_readiness(
        &mut self,
        id: WorkerId,
        attempt: &InFlightAttempt,
        end: Outcome,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let dispatched_at = attempt.dispatched_at;
        match end {
            // A worker that drains rejects without looking at the function.
            Outcome::Finished | Outcome::ColdMiss => {
                worker.accepted_at = worker.accepted_at.max(dispatched_at);
                self.last_accepted_at = self.last_accepted_at.max(dispatched_at);
            }
            Outcome::Rejected => worker.rejected_at = worker.rejected_at.max(dispatched_at),
            _ => {}
        }
    }

    /// Extends workers' leases where all of them have ended. Guards against a router that had no traffic, or stood
    /// still, and would serve nothing until discovery is back.
    pub(super) fn extend_leases(&mut self) {
        let have_all_ended = self.now >= self.last_accepted_at + self.worker_lease();
        let is_extended = self.now < self.leases_extended_until;
        if !self.are_endpoints_stale() || !have_all_ended || is_extended {
            return;
        }
        let is_any_extensible = self.workers.values().any(|w| self.is_lease_extensible(w));
        if is_any_extensible {
            self.leases_extended_until = self.now + self.worker_lease();
        }
    }

    /// Whether a lease may be extended: not one from before changes could count as told, as a drain that began with the
    /// outage may have come after it.
    fn is_lease_extensible(&self, worker: &Worker) -> bool {
        let counts_from = self.endpoint_confirmation.map_or(0, |confirmation| {
            confirmation.confirmed_at + confirmation.min_notification_delay
        });
        worker.is_ready() && worker.accepted_at > counts_from && !self.may_be_draining(worker)
    }

    /// Whether the list is stale and no worker holds a lease, so that nothing can be dispatched.
    pub(super) fn has_no_lease(&self) -> bool {
        let have_all_ended = self.now >= self.last_accepted_at + self.worker_lease();
        self.are_endpoints_stale() && have_all_ended && self.now >= self.leases_extended_until
    }

    /// Whether the list has been stale for so short that its next confirmation may be under way.
    pub(super) fn may_be_confirmed_soon(&self) -> bool {
        !self.is_list_older_than(|confirmation| {
            self.lease(confirmation.max_notification_delay) + self.config.drain_grace
        })
    }
}
