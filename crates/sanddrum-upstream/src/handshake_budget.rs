use sanddrum::Micros;

/// What handshakes take, as learned from those that were done: a long one, and one that takes up a session.
#[derive(Clone, Debug)]
pub struct HandshakeCosts {
    full: f64,
    short: f64,
}

/// How much one more handshake says.
const WEIGHT: f64 = 0.1;
/// What a handshake is thought to take before one was done, as a part of the time that is waited for one.
const FIRST_PART: f64 = 0.002;
/// One says no more than so many times what is known: a worker that is slow for other reasons says little of
/// handshakes.
const MOST_TIMES: f64 = 4.0;

impl HandshakeCosts {
    pub(crate) fn new(time_out: Micros) -> Self {
        let first = time_out as f64 * FIRST_PART;
        HandshakeCosts {
            full: first,
            short: first,
        }
    }
    pub(crate) fn record(&mut self, span: Micros, short: bool) {
        let known = if short {
            &mut self.short
        } else {
            &mut self.full
        };
        let told = (span.max(1) as f64).min(*known * MOST_TIMES);
        *known += (told - *known) * WEIGHT;
    }
    pub fn full(&self) -> Micros {
        self.full as Micros
    }
    pub fn resumed(&self) -> Micros {
        self.short as Micros
    }
}
