//! Graceful shutdown: the edge accepts late arrivals for a while, answers all open requests and is done at a deadline.

use super::EdgeState;
use crate::timers::Timer;
use sanddrum::Micros;

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// The edge serves.
    NotRequested,
    /// The edge answers what it has, until the deadline.
    Draining {
        /// When all has to be answered.
        deadline: Micros,
    },
    /// All was answered at the deadline. A request that is received in part is not waited for any more.
    PastDeadline {
        /// The deadline.
        deadline: Micros,
    },
}

impl Shutdown {
    /// Whether the edge was asked to shut down.
    pub fn is_requested(self) -> bool {
        self != Shutdown::NotRequested
    }

    /// Whether the deadline has passed and all was answered.
    pub fn is_past_deadline(self) -> bool {
        matches!(self, Shutdown::PastDeadline { .. })
    }

    /// When all has to be answered, once the edge was asked to shut down.
    pub fn deadline(self) -> Option<Micros> {
        match self {
            Shutdown::NotRequested => None,
            Shutdown::Draining { deadline } | Shutdown::PastDeadline { deadline } => Some(deadline),
        }
    }
}

impl EdgeState {
    /// Begins the shutdown.
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

    /// Fails all requests that are still open at the shutdown's deadline.
    pub fn enforce_shutdown_deadline(&mut self, now: Micros) {
        let Some(deadline) = self.shutdown.deadline() else {
            return;
        };
        if deadline <= now {
            self.fail_open_requests(now);
            self.shutdown = Shutdown::PastDeadline { deadline };
        }
    }

    /// Whether connections are accepted during the shutdown.
    pub fn accepts_while_draining(&self) -> bool {
        self.shutdown.is_requested() && self.context.limits.late_arrival_window > 0
    }

    /// Whether the shutdown is complete.
    pub fn is_done(&self) -> bool {
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
