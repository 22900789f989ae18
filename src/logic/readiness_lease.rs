//! Readiness leases: how long a worker is considered ready without confirmation while the discovery service is
//! unavailable. A worker that is draining or gone must get nothing new once this router is considered notified of that
//! and a grace period has passed (rule 3), even if the router could not receive the change.
//!
//! An endpoint list says nothing about later changes. If the host reports until when its list is confirmed, the list
//! goes through three phases until the next confirmation:
//!
//! 1. *Current*: this router is not considered notified of any later change yet.
//! 2. *Overdue*, once this router may be considered notified of a later change (`min_notification_delay`): a worker
//!    that rejects an attempt may be draining, and receives nothing more unless it has accepted a later attempt.
//! 3. *Stale*, once this router is always considered notified of a later change (`max_notification_delay`): a worker
//!    has to hold a lease of its own, which is renewed by each attempt that it accepts, from the time of the dispatch.
//!    While no worker holds one, leases are extended, but to no later than this router counts as notified of a drain that
//!    began right after that attempt.
//!
//! Only accepted attempts renew a lease: a draining worker still answers queries, and load commands for loaded
//! instances.

use super::constants::MIN_LEASE_DIVISOR;
use super::Router;
use crate::state::{InFlightAttempt, Worker};
use crate::{EndpointConfirmation, Micros, Outcome, WorkerId, NO_SEND_DEADLINE};

/// Until when a worker is considered ready without further confirmation.
struct ReadinessLease {
    /// The worker may be chosen before this instant.
    end: Micros,
    /// What is sent to the worker must be sent before this instant.
    send_deadline: Micros,
}

impl ReadinessLease {
    /// The lease of a worker whose drain would always be received.
    const UNLIMITED: ReadinessLease = ReadinessLease {
        end: Micros::MAX,
        send_deadline: NO_SEND_DEADLINE,
    };
}

impl Router {
    /// Records until when the host's endpoint list is confirmed; requests that waited for this are placed again.
    pub(super) fn record_confirmation(&mut self, confirmation: EndpointConfirmation) {
        if self.are_endpoints_overdue() {
            self.unplaced.extend(&self.waiting);
        }
        self.endpoint_confirmation = Some(confirmation);
    }

    /// Until when the endpoint list is confirmed; zero if the host does not report it.
    pub(super) fn endpoints_confirmed_at(&self) -> Micros {
        self.endpoint_confirmation
            .map_or(0, |confirmation| confirmation.confirmed_at)
    }

    /// Whether this router may be considered notified of changes that it has not received.
    pub(super) fn are_endpoints_overdue(&self) -> bool {
        self.is_list_older_than(|confirmation| confirmation.min_notification_delay)
    }

    /// Whether this router is considered notified of changes that it has not received.
    pub(super) fn are_endpoints_stale(&self) -> bool {
        self.is_list_older_than(|confirmation| {
            self.lease_duration(confirmation.max_notification_delay)
        })
    }

    /// Whether the list becomes stale before a worker's lease that starts now expires.
    pub(super) fn will_need_leases(&self) -> bool {
        self.is_list_older_than(|confirmation| {
            self.lease_duration(confirmation.max_notification_delay)
                - self.lease_duration(confirmation.min_notification_delay)
        })
    }

    fn is_list_older_than(&self, age: impl Fn(&EndpointConfirmation) -> Micros) -> bool {
        self.endpoint_confirmation
            .is_some_and(|confirmation| self.now >= confirmation.confirmed_at + age(&confirmation))
    }

    /// How long information stays valid if this router is considered notified of changes after `notification_delay`.
    /// An attempt may be sent as late as the connect timeout after its dispatch; the part that the drain grace does
    /// not cover is subtracted.
    fn lease_duration(&self, notification_delay: Micros) -> Micros {
        let uncovered = (self.config.connect_timeout - self.config.drain_grace).max(0);
        (notification_delay - uncovered).max(notification_delay / MIN_LEASE_DIVISOR)
    }

    /// How long a worker is considered ready after it accepted an attempt, while the list is stale.
    fn worker_lease_duration(&self) -> Micros {
        self.endpoint_confirmation.map_or(0, |confirmation| {
            self.lease_duration(confirmation.min_notification_delay)
        })
    }

    /// How long after an accepted attempt the worker's lease may be extended at most: this router always counts as
    /// notified of a drain that began after it once that time has passed.
    fn max_worker_lease_duration(&self) -> Micros {
        self.endpoint_confirmation.map_or(0, |confirmation| {
            self.lease_duration(confirmation.max_notification_delay)
        })
    }

    /// Whether the last confirmation of a worker's readiness is recent enough to send it new attempts and load
    /// commands.
    pub(super) fn holds_readiness_lease(&self, worker: &Worker) -> bool {
        self.now < self.readiness_lease(worker).end
    }

    /// Before when an attempt or a load command that is decided now must have been sent to a worker: until then this
    /// router doesn't count as notified of a drain that it doesn't know of, or the grace period lasts.
    pub(super) fn readiness_send_deadline(&self, worker: &Worker) -> Micros {
        self.readiness_lease(worker).send_deadline
    }

    fn readiness_lease(&self, worker: &Worker) -> ReadinessLease {
        let Some(confirmation) = self.endpoint_confirmation else {
            return ReadinessLease::UNLIMITED;
        };
        let grace = self.config.drain_grace;
        if self.are_endpoints_overdue() && self.may_be_draining(worker) {
            // A drain that began after the last accepted attempt is still within its grace period.
            let end = worker.accepted_at + grace;
            return ReadinessLease {
                end,
                send_deadline: end,
            };
        }
        let list_lifetime = self
            .lease_duration(confirmation.max_notification_delay)
            .max(confirmation.min_notification_delay);
        let end = (confirmation.confirmed_at + list_lifetime)
            .max(worker.accepted_at + self.worker_lease_duration())
            .max(self.extended_lease_end(worker));
        ReadinessLease {
            end,
            send_deadline: end + grace,
        }
    }

    /// Whether a worker has rejected an attempt since the list was confirmed, and accepted none since.
    fn may_be_draining(&self, worker: &Worker) -> bool {
        worker.rejected_at >= self.endpoints_confirmed_at()
            && worker.rejected_at > worker.accepted_at
    }

    /// Records what the outcome of an attempt shows about the worker's readiness when the attempt was dispatched.
    pub(super) fn record_readiness(
        &mut self,
        id: WorkerId,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let dispatched_at = attempt.dispatched_at;
        match outcome {
            // A cold miss also shows readiness: a draining worker rejects requests before it checks for an instance.
            Outcome::Finished | Outcome::ColdMiss => {
                worker.accepted_at = worker.accepted_at.max(dispatched_at);
                self.last_accepted_at = self.last_accepted_at.max(dispatched_at);
            }
            Outcome::Rejected => worker.rejected_at = worker.rejected_at.max(dispatched_at),
            _ => {}
        }
    }

    /// Extends workers' leases once all of them have expired. Otherwise a router that had no traffic for a moment, or was
    /// suspended, would serve nothing until the discovery service is available again.
    pub(super) fn extend_leases(&mut self) {
        let have_all_expired = self.now >= self.last_accepted_at + self.worker_lease_duration();
        let is_extended = self.now < self.leases_extended_until;
        if !self.are_endpoints_stale() || !have_all_expired || is_extended {
            return;
        }
        let ends = self.workers.values().map(|w| self.max_lease_end(w));
        let last_end = ends.max().unwrap_or(0);
        if self.now < last_end {
            self.leases_extended_until = last_end.min(self.now + self.worker_lease_duration());
        }
    }

    /// Until when a worker holds an extended lease; zero if it holds none.
    fn extended_lease_end(&self, worker: &Worker) -> Micros {
        self.leases_extended_until.min(self.max_lease_end(worker))
    }

    /// Until when a worker's lease may be extended; zero if it may not. It may not if its last accepted attempt precedes
    /// the overdue phase: a drain that began together with the outage may have followed it.
    fn max_lease_end(&self, worker: &Worker) -> Micros {
        let overdue_from = self.endpoint_confirmation.map_or(0, |confirmation| {
            confirmation.confirmed_at + confirmation.min_notification_delay
        });
        let may_extend =
            worker.is_ready() && worker.accepted_at > overdue_from && !self.may_be_draining(worker);
        if may_extend {
            worker.accepted_at + self.max_worker_lease_duration()
        } else {
            0
        }
    }

    /// Whether the list is stale and no worker holds a lease, so that nothing can be dispatched.
    pub(super) fn have_all_leases_expired(&self) -> bool {
        let have_all_expired = self.now >= self.last_accepted_at + self.worker_lease_duration();
        self.are_endpoints_stale() && have_all_expired && self.now >= self.leases_extended_until
    }

    /// Whether the list became stale so recently that its next confirmation may be on its way.
    pub(super) fn may_be_confirmed_soon(&self) -> bool {
        !self.is_list_older_than(|confirmation| {
            self.lease_duration(confirmation.max_notification_delay) + self.config.drain_grace
        })
    }
}
