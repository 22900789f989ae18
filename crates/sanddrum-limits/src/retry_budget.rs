//! The budget for client retries while the fleet is overloaded.
//!
//! Under overload clients retry every rejected request repeatedly: at three times the fleet's capacity most requests
//! are retries. A retry has less time left than a first attempt and has missed most of its latency objective, so work
//! on it is mostly wasted. While the decision module rejects many requests, retries are therefore limited to a budget
//! that is proportional to first attempts, and those over it are rejected before they cost anything. While few requests
//! are rejected there is no limit: after a crash or the loss of a zone, the retries are the requests to be served.

use crate::{Admission, RateMeter, RejectReason, Rejection, TokenBucket};
use sanddrum::{Micros, RequestId, Settings};

/// A client's request, as counted by the budget.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// The request's identifier.
    pub request: RequestId,
    /// Whether the client has sent the same request before.
    pub is_retry: bool,
}

/// The events since the last call of [`RetryBudget::handle`].
#[derive(Clone, Debug, Default)]
pub struct RetryEvents {
    /// Requests to be admitted or rejected.
    pub requests: Vec<ClientRequest>,
    /// The number of requests that the decision module rejected.
    pub rejected: u32,
}

/// The default number of admitted retries per first attempt.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// The fleet is overloaded while the decision module rejects more than this number of requests per admitted one. A
/// lower ratio is due to a crash or a flush of loaded functions, from which retries recover.
const OVERLOAD_REJECT_RATIO: f64 = 0.5;
/// The burst that the budget allows, in windows.
const BURST_WINDOWS: f64 = 0.3;

/// The budget for client retries at one edge.
pub struct RetryBudget {
    /// Admitted retries per first attempt; unlimited if 1 or more.
    retry_ratio: f64,
    window: Micros,
    max_retry_after: Micros,
    first_attempts: RateMeter,
    retries: RateMeter,
    admitted: RateMeter,
    rejected: RateMeter,
    bucket: TokenBucket,
}

impl RetryBudget {
    /// A budget without recorded requests.
    pub fn new(settings: &Settings) -> Self {
        let number = |name: &str, default: f64| settings.number(name).unwrap_or(default);
        RetryBudget {
            retry_ratio: number("limits.repeats", DEFAULT_RETRY_RATIO),
            window: (number("sharing.window-us", 1e6) as Micros).max(1),
            max_retry_after: number("limits.max-retry-after-us", 2e6) as Micros,
            first_attempts: RateMeter::default(),
            retries: RateMeter::default(),
            admitted: RateMeter::default(),
            rejected: RateMeter::default(),
            bucket: TokenBucket::default(),
        }
    }

    /// Records the events, then admits or rejects each request, in order.
    pub fn handle(&mut self, now: Micros, events: &RetryEvents, admission: &mut impl Admission) {
        self.record(now, events);
        let is_overloaded = self.is_overloaded(now);
        for client_request in &events.requests {
            let result = if is_overloaded && client_request.is_retry {
                self.check_retry(now)
            } else {
                Ok(())
            };
            match result {
                Ok(()) => {
                    self.admitted.record(now, self.window);
                    admission.admit(client_request.request);
                }
                Err(rejection) => admission.reject(client_request.request, rejection),
            }
        }
    }
    fn record(&mut self, now: Micros, events: &RetryEvents) {
        for _ in 0..events.rejected {
            self.rejected.record(now, self.window);
        }
        for client_request in &events.requests {
            let meter = if client_request.is_retry {
                &mut self.retries
            } else {
                &mut self.first_attempts
            };
            meter.record(now, self.window);
        }
    }
    fn is_overloaded(&self, now: Micros) -> bool {
        let is_bounded = self.retry_ratio < 1.0;
        let rejected = self.rejected.per_second(now, self.window);
        let admitted = self.admitted.per_second(now, self.window);
        is_bounded && rejected > OVERLOAD_REJECT_RATIO * admitted
    }
    fn check_retry(&mut self, now: Micros) -> Result<(), Rejection> {
        let rate = self.first_attempts.per_second(now, self.window) * self.retry_ratio;
        let burst = rate * self.window as f64 / 1e6 * BURST_WINDOWS;
        self.bucket.take(now, rate, burst).map_err(|no_token| {
            // Assumes that all retries of the last window are admitted before this one.
            let queue = self.retries.per_second(now, self.window) * self.window as f64 / 1e6;
            let wait = (no_token.retry_after as f64).max(queue * 1e6 / rate.max(1e-6));
            Rejection {
                reason: RejectReason::RetryBudget,
                retry_after: (wait as Micros).min(self.max_retry_after),
            }
        })
    }
}
