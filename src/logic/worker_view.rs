//! What is known of one worker, as of now: readiness, pace, reports, and the limit of own jobs in flight.

use super::constants::*;
use crate::state::Worker;
use crate::statistics::decayed;
use crate::*;

impl Worker {
    pub(super) fn ready(&self) -> bool {
        self.row.state == WorkerState::Ready && !self.suspect
    }
    pub(super) fn pace_now(&self, now: Micros) -> f64 {
        decayed(self.pace, self.calm, now - self.pace_at, PACE_FADES_US)
    }
    /// How many times longer than when calm jobs take here of late.
    pub(super) fn crowding(&self, now: Micros) -> f64 {
        self.pace_now(now) / self.calm
    }
    pub(super) fn learn_pace(&mut self, now: Micros, seen: f64) {
        let risen = self.calm * (1.0 + (now - self.pace_at) as f64 / CALM_RISES_US);
        self.pace = self.pace_now(now);
        self.pace += NEWEST / 2.0 * (seen - self.pace);
        (self.pace_at, self.seen) = (now, self.seen + 1.0);
        self.long += (seen - self.long) * (1.0 / self.seen).max(NEWEST / 10.0);
        self.calm = if self.seen * NEWEST < 4.0 {
            self.long
        } else {
            risen.min(self.long)
        };
    }
    /// Jobs of all routers held here for its size, as last reported; an old report tells as the middle one's.
    pub(super) fn held_now(&self, now: Micros, middle: f64) -> f64 {
        let held = self.report.in_flight.unwrap_or(middle * self.row.size)
            / self.row.size.max(f64::MIN_POSITIVE);
        decayed(held, middle, now - self.report_at, REPORT_FADES_US)
    }
    /// What part of the jobs it last reported waits, or whether all its cores were busy, where it tells. A
    /// load under way is a job that waits, but not for a core, where workers load by themselves.
    pub(super) fn waiting(&self, own_loads: bool) -> Option<f64> {
        let loads = self
            .report
            .loads_in_progress
            .filter(|_| own_loads)
            .unwrap_or(0.0);
        let queued = self.report.queued.zip(self.report.in_flight);
        let part = queued.map(|(queued, held)| (queued - loads) / held.max(1.0));
        part.or(self
            .report
            .busy
            .map(|busy| f64::from(u8::from(busy > BUSY))))
    }
    /// The same of what waits for a core. Guards against taking a cold fleet for a pressed one: where cores
    /// are told to be idle, jobs wait for a lane of the only copy or a load: turning jobs away frees nothing.
    pub(super) fn waiting_for_cores(&self, own_loads: bool) -> Option<f64> {
        let idle = self.report.busy.is_some_and(|busy| busy <= BUSY);
        self.waiting(own_loads)
            .map(|part| if idle { 0.0 } else { part })
    }
    /// Cuts the limit, at most once in the time of a job, as what was sent before still shows.
    pub(super) fn cut_limit(&mut self, now: Micros, work: f64) {
        if now >= self.cut + (work * self.pace) as Micros {
            (self.cut, self.limit) = (now, (self.limit * CUT).max(1.0));
        }
    }
    pub(super) fn hear(&mut self, now: Micros) {
        (self.heard, self.checked, self.checks, self.suspect) = (now, None, 0, false);
    }
}
