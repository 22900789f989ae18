//! What the rules allow: slow-start budgets, effects and their repetition, drains, and the ration of orders to load.

use super::constants::*;
use super::Router;
use crate::state::*;
use crate::statistics::{hash_of, remove_until, unit_interval};
use crate::*;

impl Router {
    /// Rule 4: work that may go to a cold worker now: its cold part of an even share of what is taken here,
    /// saved up over no more than the rule's window; all together stay near what it can do. What is saved up
    /// for a part only goes by chance, or many routers would each save up a job and send them together.
    pub(super) fn cold_room(&self, to: &Worker, job: RequestId, work: f64) -> bool {
        let drawn = || unit_interval(hash_of((self.seed, to.row.worker, job)));
        self.cold_budget(to)
            .is_none_or(|budget| budget > drawn() * work)
    }
    pub(super) fn cold_budget(&self, worker: &Worker) -> Option<f64> {
        if worker.row.started_at <= 0 || self.now >= worker.warm {
            return None;
        }
        let (now, span, fall) = (self.now, self.terms.cold, self.terms.fall);
        let age = (now - worker.row.started_at).max(0);
        let from = self.terms.cold_from;
        let part = from + (1.0 - from) * age as f64 / span as f64;
        let share = worker.row.size / self.listed.total_weight().max(worker.row.size);
        let rate = self.inflow_now() * share * part * COLD_CAUTION;
        let saved = worker.budget + rate * (now - worker.budget_at).max(0) as f64;
        Some(saved.min(rate * fall))
    }

    /// Rules 2 and 3, and health: whether a further execution of this job may go there.
    pub(super) fn may_go(&self, held: &Held, to: &Worker) -> bool {
        let here = |e: &Execution| e.out && e.worker == to.row.worker;
        let healthy = !to.suspect || self.most_suspect;
        if to.row.state != WorkerState::Ready || !healthy || held.executions.iter().any(here) {
            return false;
        }
        let Some(first) = held.executions.iter().find(|e| e.may_have_run) else {
            return true;
        };
        let workload = self.workload(held.job.workload);
        let ran_at = self.workers.get(&first.worker).map(|w| w.row);
        let same_group = match workload.group {
            Group::All => true,
            Group::Zone => ran_at.is_some_and(|row| row.zone == to.row.zone),
            Group::Cell => ran_at.is_some_and(|row| row.cell == to.row.cell),
            Group::Alone => false,
        };
        match workload.effect {
            Effect::Restartable => true,
            Effect::Fingerprinted => same_group && self.now - first.sent < workload.window,
            Effect::RunOnce => false,
        }
    }

    /// Rule 5: an order to load, within the ration; one an order out for a function at a worker.
    pub(super) fn order(
        &mut self,
        w: WorkerId,
        id: FunctionId,
        copies: u32,
        out: &mut impl Decisions,
    ) -> bool {
        if !self.terms.orders {
            return false;
        }
        let window = self.terms.load_window;
        remove_until(&mut self.taken, self.now - window);
        remove_until(&mut self.ordered, self.now - window);
        let most = self.terms.load_free + self.terms.load_share * self.taken.len() as f64;
        if window > 0 && (self.ordered.len() + 1) as f64 > most {
            return false;
        }
        let place = self.functions.place(id, w);
        if place.order.is_some() || (place.copies == 0 && self.now < self.loads_again) {
            return false;
        }
        self.functions.put(
            id,
            w,
            Place {
                order: Some((self.now, copies)),
                ..place
            },
        );
        self.ordered.push_back(self.now);
        out.load(w, id, copies);
        true
    }
}
