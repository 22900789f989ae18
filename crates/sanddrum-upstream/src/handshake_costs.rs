//! What handshakes cost, estimated from those that completed.

use sanddrum::Micros;

/// The weight of one more handshake in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The estimate before the first handshake, as a fraction of the connect timeout.
const INITIAL_FRACTION: f64 = 0.002;
/// A sample counts for at most this multiple of the estimate: a worker that is slow for other reasons says little about
/// the cost of handshakes.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Moving averages of how long handshakes take, in microseconds.
#[derive(Clone, Debug)]
pub struct HandshakeCosts {
    full: f64,
    resumed: f64,
}

impl HandshakeCosts {
    pub(crate) fn new(connect_timeout: Micros) -> Self {
        let initial = connect_timeout as f64 * INITIAL_FRACTION;
        HandshakeCosts {
            full: initial,
            resumed: initial,
        }
    }
    pub(crate) fn record(&mut self, elapsed: Micros, resumed: bool) {
        let estimate = if resumed {
            &mut self.resumed
        } else {
            &mut self.full
        };
        let sample = (elapsed.max(1) as f64).min(*estimate * MAX_SAMPLE_RATIO);
        *estimate += (sample - *estimate) * SAMPLE_WEIGHT;
    }
    /// The duration of a full handshake.
    pub fn full(&self) -> Micros {
        self.full as Micros
    }
    /// The duration of a handshake that resumes a session.
    pub fn resumed(&self) -> Micros {
        self.resumed as Micros
    }
}
