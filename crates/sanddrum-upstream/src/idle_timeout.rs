//! How long a connection may have been idle and still be used for a request.
//!
//! A middlebox may drop an idle connection without notice. The edge detects this only when the next request on it is
//! answered with a reset.

use sanddrum::Micros;

/// After a reset the limit is the idle time of that connection divided by this.
const DECREASE: Micros = 2;
/// The limit doubles each time it has held for this multiple of itself.
const HOLD_MULTIPLE: Micros = 100;
/// A reset counts only where the connection was idle for at least the connect timeout divided by this, and only within
/// that time after the write: other resets have other causes.
const SIGNIFICANT_DIVISOR: Micros = 25;
/// After this many doublings there is no limit.
const MAX_DOUBLINGS: Micros = 20;

/// The estimated idle time after which connections may have been dropped.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeoutEstimate {
    min_significant: Micros,
    /// The limit as it was set at `since`; `None` if any idle time is trusted.
    limit: Option<Micros>,
    since: Micros,
}

impl IdleTimeoutEstimate {
    /// An estimate without a limit. `connect_timeout` is how long a connection may take to be established.
    pub fn new(connect_timeout: Micros) -> Self {
        IdleTimeoutEstimate {
            min_significant: (connect_timeout / SIGNIFICANT_DIVISOR).max(1),
            limit: None,
            since: 0,
        }
    }
    /// Records that a connection was reset with an unanswered request, which was written `since_write` ago after the
    /// connection had been idle for `idle`. A dropped connection is reset at once; a later reset has another cause,
    /// such as a worker that crashed.
    pub fn record_reset(&mut self, now: Micros, idle: Micros, since_write: Micros) {
        if idle >= self.min_significant && since_write <= self.min_significant {
            let bound = self.current_limit(now).unwrap_or(idle).min(idle);
            (self.limit, self.since) = (Some((bound / DECREASE).max(self.min_significant)), now);
        }
    }
    fn current_limit(&self, now: Micros) -> Option<Micros> {
        let limit = self.limit?;
        let doublings = (now - self.since) / (HOLD_MULTIPLE * limit);
        (doublings < MAX_DOUBLINGS).then(|| limit << doublings.max(0))
    }
    /// Whether a connection that has been idle for this long may be used.
    pub fn is_trusted(&self, now: Micros, idle: Micros) -> bool {
        self.current_limit(now).is_none_or(|limit| idle <= limit)
    }
}
