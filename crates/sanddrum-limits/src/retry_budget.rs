//! How many of clients' repeats are taken while the fleet is pressed.
//!
//! Under overload every job that is pushed back comes again, and again: at three times what the fleet can do most of
//! what asks are repeats, each with less time left than a first try has and most of its start target gone, and what is
//! done for them is done too late. So while the decision module pushes back much, repeats get a budget that first tries earn;
//! the rest is pushed back before it costs anything. While little is pushed back there is no budget: after a crash or a
//! lost zone repeats are what has to be served.

use crate::{RateMeter, RejectReason, TokenBucket};
use sanddrum::{Micros, RequestId, Settings};

/// What came in since the last round.
#[derive(Clone, Debug, Default)]
pub struct RetryEvents {
    /// Jobs that ask to be taken, and whether each is a client's repeat.
    pub requests: Vec<(RequestId, bool)>,
    /// Jobs that the decision module pushed back.
    pub rejected: u32,
}

/// Each first try earns this part of a repeat, unless set otherwise.
const PART: f64 = 0.1;
/// The fleet is pressed while the decision module pushes back more than this for each job let in. Less is the trouble of
/// a crash or a flush, which repeats are the way out of.
const PRESSED: f64 = 0.5;
/// Permits are saved up for no more than this part of a window.
const BURST: f64 = 0.3;

pub struct RetryBudget {
    part: f64,
    window: Micros,
    longest: Micros,
    firsts: RateMeter,
    repeats: RateMeter,
    let_in: RateMeter,
    pushed: RateMeter,
    permits: TokenBucket,
}

impl RetryBudget {
    pub fn new(settings: &Settings) -> Self {
        let number = |name: &str, otherwise: f64| settings.number(name).unwrap_or(otherwise);
        RetryBudget {
            part: number("limits.repeats", PART),
            window: (number("sharing.window-us", 1e6) as Micros).max(1),
            longest: number("limits.max-retry-after-us", 2e6) as Micros,
            firsts: RateMeter::default(),
            repeats: RateMeter::default(),
            let_in: RateMeter::default(),
            pushed: RateMeter::default(),
            permits: TokenBucket::default(),
        }
    }

    /// Says of each job, in order, whether it goes on, or why not and when to come back.
    pub fn handle(
        &mut self,
        now: Micros,
        asked: &RetryEvents,
        out: &mut impl FnMut(RequestId, Result<(), (RejectReason, Micros)>),
    ) {
        let window = self.window;
        (0..asked.rejected).for_each(|_| self.pushed.record(now, window));
        for (_, repeat) in &asked.requests {
            if *repeat {
                &mut self.repeats
            } else {
                &mut self.firsts
            }
            .record(now, window);
        }
        // A part of all is a budget without bound.
        let pressed = self.part < 1.0
            && self.pushed.per_second(now, window) > PRESSED * self.let_in.per_second(now, window);
        for (id, repeat) in &asked.requests {
            let judged = if pressed && *repeat {
                self.judge(now)
            } else {
                Ok(())
            };
            if judged.is_ok() {
                self.let_in.record(now, window);
            }
            out(*id, judged);
        }
    }
    fn judge(&mut self, now: Micros) -> Result<(), (RejectReason, Micros)> {
        let rate = self.firsts.per_second(now, self.window) * self.part;
        let burst = rate * self.window as f64 / 1e6 * BURST;
        self.permits.take(now, rate, burst).map_err(|wait| {
            // All that asked in the last window are ahead of it, as far as can be told.
            let queue = self.repeats.per_second(now, self.window) * self.window as f64 / 1e6;
            let wait = (wait as f64).max(queue * 1e6 / rate.max(1e-6));
            (
                RejectReason::RetryBudget,
                (wait as Micros).min(self.longest),
            )
        })
    }
}
