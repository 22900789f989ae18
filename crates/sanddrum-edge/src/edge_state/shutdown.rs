//! Graceful shutdown: the edge still accepts late arrivals for a configured time, answers all open requests, and
//! finishes by a deadline.

use super::EdgeState;
use crate::timers::Timer;
use sanddrum::Micros;

/// How long the last responses may take to be written once the deadline has passed. Afterwards the edge no longer waits
/// for clients that send all the time or do not read.
const LAST_WRITES_TIME: Micros = 30_000;
/// The process ends this long after the deadline has passed: before it would be killed.
const END_TIME: Micros = 60_000;

/// The progress of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// No shutdown was requested.
    NotRequested,
    /// The edge answers its open requests until the deadline.
    Draining {
        /// When all requests have to be answered.
        deadline: Micros,
    },
    /// The deadline has passed and all requests have been answered. The edge no longer waits for partly received
    /// requests.
    PastDeadline {
        /// The deadline that has passed.
        deadline: Micros,
        /// When this was noticed.
        since: Micros,
        /// Whether the time for the last responses is over.
        is_over: bool,
    },
}

impl Shutdown {
    /// Whether a shutdown was requested.
    pub fn is_requested(self) -> bool {
        self != Shutdown::NotRequested
    }

    /// Whether the deadline has passed and all requests have been answered.
    pub fn is_past_deadline(self) -> bool {
        matches!(self, Shutdown::PastDeadline { .. })
    }

    /// When all requests have to be answered; none if no shutdown was requested.
    pub fn deadline(self) -> Option<Micros> {
        match self {
            Shutdown::NotRequested => None,
            Shutdown::Draining { deadline } | Shutdown::PastDeadline { deadline, .. } => {
                Some(deadline)
            }
        }
    }

    /// Whether the edge ends whatever its clients do.
    fn is_over(self) -> bool {
        matches!(self, Shutdown::PastDeadline { is_over: true, .. })
    }
}

impl EdgeState {
    /// Starts the graceful shutdown. Further calls have no effect.
    pub fn shut_down(&mut self, now: Micros) {
        if self.shutdown.is_requested() {
            return;
        }
        let open_requests = self.requests.open_count();
        tracing::info!(open_requests, "graceful shutdown started");
        let limits = &self.context.limits;
        let deadline = now + limits.shutdown_timeout;
        let last_arrival = now + limits.late_arrival_window;
        self.shutdown = Shutdown::Draining { deadline };
        let timers = &mut self.context.timers;
        timers.schedule(last_arrival, Timer::LateArrivals);
        timers.schedule(deadline, Timer::ShutdownDeadline);
    }

    /// Fails all requests that are still open once the shutdown's deadline has passed.
    pub fn enforce_shutdown_deadline(&mut self, now: Micros) {
        let Some(deadline) = self.shutdown.deadline() else {
            return;
        };
        if deadline > now {
            return;
        }
        self.fail_open_requests(now);
        let since = match self.shutdown {
            Shutdown::PastDeadline { since, .. } => since,
            _ => {
                let over_at = now + LAST_WRITES_TIME;
                let timers = &mut self.context.timers;
                timers.schedule(over_at, Timer::ShutdownDeadline);
                now
            }
        };
        self.shutdown = Shutdown::PastDeadline {
            deadline,
            since,
            is_over: now >= since + LAST_WRITES_TIME,
        };
    }

    /// When the process has to end, once the shutdown's deadline has passed.
    pub fn ends_by(&self) -> Option<Micros> {
        match self.shutdown {
            Shutdown::PastDeadline { since, .. } => Some(since + END_TIME),
            _ => None,
        }
    }

    /// Whether the listener keeps accepting connections during the shutdown.
    pub fn accepts_while_draining(&self) -> bool {
        self.shutdown.is_requested() && self.context.limits.late_arrival_window > 0
    }

    /// Whether the shutdown is complete.
    pub fn is_done(&self) -> bool {
        if self.shutdown.is_over() {
            return true;
        }
        let may_arrive = self.context.timers.is_scheduled(Timer::LateArrivals);
        let is_receiving = self.http.has_partial_request() || self.fastcgi.has_partial_request();
        self.shutdown.is_requested()
            && !may_arrive
            && (self.shutdown.is_past_deadline() || !is_receiving)
            && self.requests.open_count() == 0
            && self.http.is_flushed()
            && self.fastcgi.is_flushed()
    }
}
