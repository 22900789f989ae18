//! Copies that are kept longer than workers keep them, held ahead of need, or unloaded: the design's options, off unless set.

use super::constants::*;
use super::Router;
use crate::state::*;
use crate::statistics::hash_of;
use crate::*;

impl Router {
    /// Renews copies whose set keep-alive is longer than the worker's, and holds this router's share of the
    /// pre-warmed count where the function was last found warm, else at a worker hashed from it and our
    /// number. Idle copies of one not called for the set time are dropped, once each. All are off unless set.
    pub(super) fn keep_copies(&mut self, id: FunctionId, out: &mut impl Decisions) {
        let keep = self.terms.keep_alive;
        let longer = option(&self.settings, id, "keep-alive-us", keep);
        let (me, routers) = (self.terms.me, self.terms.routers.max(1));
        let wanted = option(&self.settings, id, "pre-warmed", 0);
        let share = wanted / routers + Micros::from(me < wanted % routers);
        let Some(function) = self.functions.get(id) else {
            return;
        };
        let drop_after = option(&self.settings, id, "drop-after-us", 0);
        if !self.terms.orders || (longer <= keep && wanted <= 0 && drop_after <= 0) {
            return;
        }
        let is_ready = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.ready());
        let warm = function
            .places
            .iter()
            .filter(|(_, p)| p.copies > 0)
            .map(|(w, _)| *w);
        let warm: Vec<WorkerId> = warm.filter(is_ready).collect();
        let renews = longer > keep && self.now < function.last_job + longer;
        let hashed = self
            .listed
            .ranking(hash_of((id, me)))
            .map(WorkerId)
            .take(2 * HOMES * LOOKS);
        let last = function.warm_last.into_iter().chain(hashed).find(is_ready);
        self.due
            .insert((self.now + (keep as f64 * RENEW_AT) as Micros, Due::Keep(id)));
        if let Some(w) = last.filter(|_| share > 0) {
            self.order(w, id, share.min(16) as u32, out);
        }
        for w in warm.into_iter().filter(|_| renews) {
            self.order(w, id, 1, out);
        }
        let Some(function) = self.functions.get(id) else {
            return;
        };
        if drop_after > 0 && share == 0 && self.now >= function.last_job + drop_after {
            let idle = function
                .places
                .iter()
                .filter(|(_, p)| p.copies > 0 && p.own == 0);
            for (w, place) in idle.map(|(w, p)| (*w, *p)).collect::<Vec<_>>() {
                self.functions.put(id, w, Place { copies: 0, ..place });
                out.unload(w, id);
            }
        }
    }
}
