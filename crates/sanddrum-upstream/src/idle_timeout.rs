//! How long a connection may have carried nothing and still be trusted with a job. Guards against connections that
//! something on the way has dropped while they were idle, which shows only in a reset under the next job.

use sanddrum::Micros;

/// What is left of the trusted rest after a reset at such a rest.
const CUT: Micros = 2;
/// The trusted rest doubles, to be tried again, once it has held for so many times itself.
const HOLDS: Micros = 100;
/// A rest shorter than this part of the time for a connection tells nothing, nor does a break later than that after a
/// write: what broke then broke for another cause.
const TELLS: Micros = 25;

#[derive(Clone, Copy, Debug)]
pub struct IdleTimeoutEstimate {
    least: Micros,
    /// None: any rest is trusted.
    trusted: Option<Micros>,
    since: Micros,
}

impl IdleTimeoutEstimate {
    /// `time_out` is the time within which a connection is up or given up.
    pub fn new(time_out: Micros) -> Self {
        IdleTimeoutEstimate {
            least: (time_out / TELLS).max(1),
            trusted: None,
            since: 0,
        }
    }
    /// A connection broke under what it carried, unanswered, after such a rest and so long after it was written to. What
    /// is dropped shows at once; a break later than that has another cause, such as a worker that died.
    pub fn record_reset(&mut self, now: Micros, rested: Micros, written: Micros) {
        if rested >= self.least && written <= self.least {
            let now_trusted = self.trusted(now).unwrap_or(rested).min(rested);
            (self.trusted, self.since) = (Some((now_trusted / CUT).max(self.least)), now);
        }
    }
    fn trusted(&self, now: Micros) -> Option<Micros> {
        let trusted = self.trusted?;
        let doublings = (now - self.since) / (HOLDS * trusted);
        (doublings < 20).then(|| trusted << doublings.max(0))
    }
    pub fn is_trusted(&self, now: Micros, rested: Micros) -> bool {
        self.trusted(now).is_none_or(|trusted| rested <= trusted)
    }
}
