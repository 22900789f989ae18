//! Rate measurement and rate limiting.

use sanddrum::Micros;

/// An exponentially decaying average of the rate of an event: an event that is one window old has a weight of 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    events_per_window: f64,
    recorded_at: Micros,
}

impl RateMeter {
    /// Records one event.
    pub fn record(&mut self, now: Micros, window: Micros) {
        self.events_per_window = self.decayed(now, window) + 1.0;
        self.recorded_at = now;
    }
    fn decayed(&self, now: Micros, window: Micros) -> f64 {
        let elapsed = (now - self.recorded_at).max(0) as f64;
        self.events_per_window * (-elapsed / window as f64).exp()
    }
    /// Events per second.
    pub fn per_second(&self, now: Micros, window: Micros) -> f64 {
        self.decayed(now, window) * 1e6 / window as f64
    }
}

/// A token bucket with a rate and burst that may change between calls. It starts full.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Micros>,
}

/// The bucket does not hold a whole token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no token; retry after {retry_after} us")]
pub struct NoToken {
    /// The time until a token is available at the current rate, at most one hour.
    pub retry_after: Micros,
}

/// The upper bound of [`NoToken::retry_after`]: one hour.
const MAX_RETRY_AFTER_US: f64 = 3.6e9;

impl TokenBucket {
    /// Takes a token. Tokens are added at `per_second` up to `burst`; a lower burst counts as 1.
    ///
    /// # Errors
    /// [`NoToken`] if none is available.
    pub fn take(&mut self, now: Micros, per_second: f64, burst: f64) -> Result<(), NoToken> {
        let burst = burst.max(1.0);
        let elapsed = self
            .refilled_at
            .map_or(burst * 1e6 / per_second.max(1e-9), |at| {
                (now - at).max(0) as f64
            });
        self.tokens = (self.tokens + elapsed * per_second / 1e6).min(burst);
        self.refilled_at = Some(now);
        if per_second <= 0.0 {
            return Err(NoToken {
                retry_after: MAX_RETRY_AFTER_US as Micros,
            });
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) * 1e6 / per_second;
        Err(NoToken {
            retry_after: wait.min(MAX_RETRY_AFTER_US).ceil() as Micros,
        })
    }
}
