//! Where a job goes, or whether it waits or is given up: admission, warm-first placement, loads, and final answers.

use super::constants::*;
use super::Router;
use crate::lazy::LazyList;
use crate::state::*;
use crate::statistics::{hash_of, unit_interval};
use crate::*;

impl Router {
    pub(super) fn place(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let (job, came, tries) = (held.job, held.came, held.executions.len());
        let pending = held.executions.iter().filter(|e| e.out).count();
        let doubles =
            self.terms.second_copies && self.workload(job.workload).effect == Effect::Restartable;
        if pending > 1 || (pending == 1 && !doubles) {
            return;
        }
        // A job is taken only if predicted in time; when pressed, in time means by its start target, as a
        // late answer earns little and makes the next one late. This guards against any overload. A client's
        // repeat has used up part of its target before: what is gone of its limit, and half of it at least.
        let work = self.work_of(&job);
        let usual = work * self.middle.pace;
        let left = job.deadline - self.now;
        let whole = self.target(job.workload);
        let patience = self.workload(job.workload).patience;
        let fresh = if job.is_retry {
            (whole - patience + job.deadline - came).clamp(0, whole / 2)
        } else {
            whole
        };
        let target = (came + fresh - self.now).min(left);
        // Where workers answer a miss, who waits for a load waits here and is in nobody's way.
        let narrow = self.pressed() || (self.loads_pressed() && !self.terms.answers_miss);
        let limit = if narrow { target } else { left };
        let hopeless = left <= usual as Micros || tries >= self.terms.max_executions as usize;
        // Guards against overload that no single worker shows: where all are pressed, the part taken follows
        // from late and full answers, cheap jobs go first; one is taken where nobody was heard of for long.
        let luck = unit_interval(hash_of((self.seed, id)));
        let dear = self.earning(&job) >= self.earned * (1.0 - LATE_CUT);
        let part = 2.0 * self.taking - if dear { 0.0 } else { 1.0 };
        let shed = came == self.now && tries == 0 && self.pressed() && luck > part && self.heard;
        // Guards against jobs that try one full worker after the other, six times what is finished.
        let turned_away = held.executions.last().is_some_and(|e| e.full);
        let spent = turned_away && pending == 0 && self.pressed() && !(dear && self.further >= 1.0);
        if hopeless || shed || spent {
            return self.give_up(id, out);
        }
        let (draw, now) = (self.chance(), self.now);
        self.functions
            .lapse(job.function, draw, COPIES, |p| p.own == 0 && p.until <= now);
        // Under overload what earns least for its work goes first: it may not fill a worker's last places.
        let share = if dear { 1.0 } else { CHEAP_SHARE };
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let Some(function) = self.functions.get(job.function) else {
            return;
        };
        let (lanes, load) = (function.lanes, function.load * self.load_pace_now());
        if tries > 0 && !self.workers.values().any(|w| self.may_go(held, w)) {
            return self.give_up(id, out);
        }
        // Of the many copies of a hot function some idle ones drawn, and those with the fewest own jobs.
        let warm = function
            .first(draw, COPIES)
            .filter_map(|w| Some((self.workers.get(&w)?, function.place(w))));
        let may_get = |(w, p): &(&Worker, Place)| self.stands(p) && self.may_get(held, w, work);
        let warm: Vec<(&Worker, Place)> = warm.filter(may_get).collect();
        let time_at = |w: &Worker| work * w.pace_now(self.now);
        let open = |(w, p): &&(&Worker, Place)| {
            p.barred <= self.now && self.has_room(w, share) && time_at(w) as Micros <= limit
        };
        let far = |w: &Worker| w.row.zone != self.terms.near;

        let width = self.width(function);
        let parts = if width > 2 * HOMES {
            width.div_ceil(HOMES)
        } else {
            1
        };
        let width = width.div_ceil(parts);
        // In a small fleet, fewer: to look at most of it for a copy costs more than it finds.
        let wide = width
            .max((self.listed.len() as f64).sqrt().ceil() as usize)
            .min(2 * HOMES);
        let homes =
            LazyList::new(self.homes(held, hash_of((job.function, draw % parts as u64)), work));
        let place_at = |w: &Worker| function.place(w.row.worker);

        // Exception: a function's homes are presumed warm where the others, sending as this router does, call
        // each many times and a load would end in time as well. Guards against each router's knowing little
        // where there are many. Homes of a function called often here are asked instead.
        let others = (self.terms.routers - 1) as f64 * function.calls / parts as f64;
        let often = others >= (width * width) as f64;
        let spreads = width > FEW_HOMES || warm.iter().all(|(w, _)| self.crowded(w));
        // Pressed, a wrong guess costs more than a believed copy's crowd.
        let believes = warm
            .iter()
            .filter(open)
            .any(|(_, p)| p.own < lanes * p.copies);
        let presumes = often && spreads && !(believes && self.pressed());
        // A crowded home where jobs wait does not count: the next one stands in, at most one for each where a
        // wrong guess costs a load. Guards against all routers filling a hot function's first two homes.
        let most = if self.terms.answers_miss {
            wide
        } else {
            wide.min(2 * width)
        };
        let mut open_homes = 0;
        let maybe = homes
            .first(if presumes { most } else { 0 })
            .take_while(|w| {
                open_homes += usize::from(!(self.crowded(w) && self.queues(w)));
                open_homes <= width
            });
        let wrong_guess_fits = self.terms.answers_miss || (load + work) as Micros <= left;
        let maybe = maybe.map(|w| (w, place_at(w))).filter(|(w, p)| {
            let may_stand = p.absent <= self.now && !p.loading && !self.stands(p);
            may_stand && wrong_guess_fits && self.cold_budget(w).is_none()
        });
        let presumed: Vec<(&Worker, Place)> =
            maybe.map(|(w, p)| (w, Place { copies: 1, ..p })).collect();

        // Warm-first: own zone standing for the edge, fewest own jobs in flight, ties random in proportion to
        // a worker's size and to how little it reports to hold: with hundreds of routers most are ties.
        let free = warm
            .iter()
            .chain(&presumed)
            .filter(open)
            .filter(|(_, p)| p.own < lanes * p.copies);
        let warmest = free.map(|(w, _)| *w).min_by_key(|w| {
            (
                (self.crowded(w), far(w), w.own),
                self.drawn(draw, w).to_bits(),
            )
        });
        let loads = |w: &&WorkerId| {
            let p = function.place(**w);
            let at_work = p.loading && self.workers.get(w).is_some_and(|w| !w.suspect);
            at_work || p.order.is_some_and(|(_, copies)| copies > 0)
        };
        let underway = function.open.iter().filter(loads).count() * lanes as usize;

        if let Some(w) = warmest {
            // Exception: a home found without its copy gets one ordered for the jobs that follow; so does the
            // next one that is not crowded, where all warm workers with room are.
            let crowds = self.crowded(w) && function.calls > 2.0 && underway == 0;
            let most = if crowds { 2 * HOMES } else { width };
            let most = if often && !self.loads_pressed() {
                most
            } else {
                0
            };
            let spare = homes.first(most).enumerate().find(|(n, w)| {
                let place = place_at(w);
                let found = *n < width && width > FEW_HOMES && place.absent > self.now;
                let fit = place.order.is_none() && place.barred <= self.now && !self.stands(&place);
                (found || crowds) && fit && !self.crowded(w)
            });
            let (spare, w) = (spare.map(|(_, w)| w.row.worker), w.row.worker);
            drop(homes);
            if let Some(to) = spare {
                self.order(to, job.function, 1, out);
            }
            return self.execute(id, w, work, out);
        }

        // Exception: where all lanes are taken, a short wait at a warm worker that is in time beats a load.
        let turns = |p: &Place| f64::from(p.own + 1) / f64::from(lanes * p.copies);
        let waits = warm
            .iter()
            .filter(open)
            .map(|(w, p)| ((time_at(w) * turns(p)) as Micros, w.row.worker));
        let shortest = waits
            .min()
            .filter(|(wait, _)| *wait < target && (*wait as f64) < load + work);

        // Load on the emptiest ready worker, homes and the own zone first; ties by the order of homes.
        let loadable = homes.first(2 * HOMES).enumerate().filter(|(_, w)| {
            let place = place_at(w);
            let may_stand = self.terms.orders || place.absent <= self.now;
            may_stand
                && place.barred <= self.now
                && place.order.is_none()
                && self.has_room(w, share)
        });
        let emptiest = loadable.min_by_key(|(n, w)| {
            (
                self.crowded(w),
                if *n < width { 0 } else { *n },
                far(w),
                w.own,
                *n,
            )
        });
        let emptiest = emptiest.map(|(_, w)| (w.row.worker, time_at(w)));
        let ahead = function.waiting.range(..id).count();
        let again =
            self.terms.orders && function.calls > 1.0 && underway == 0 && !self.loads_pressed();

        // Exception: before a load, ask the function's other homes; other routers' loads are not told. That
        // where it would load tells by its answer, and is asked only where a load there would end too late.
        let load_fits = |there: &(WorkerId, f64)| limit >= (load + there.1) as Micros;
        let untold = emptiest.filter(load_fits).map(|(there, _)| there);
        let unsure = homes
            .first(wide)
            .filter(|w| !self.stands(&place_at(w)))
            .map(|w| w.row.worker);
        let unsure: Vec<WorkerId> = unsure.filter(|w| Some(*w) != untold).collect();
        drop(homes);
        if self.terms.orders && self.ask(job.function, &unsure, out) {
            return self.wait(id);
        }
        if let Some((_, w)) = shortest {
            return self.execute(id, w, work, out);
        }
        // Exception: a load under way is waited for, one job a lane, before another is begun.
        if ahead < underway {
            if pending == 0 && limit < usual as Micros {
                return self.give_up(id, out);
            }
            return self.wait(id);
        }
        let Some((w, _)) = emptiest else {
            return self.wait_or_give_up(id, out);
        };
        if untold.is_none() {
            // Exception: what is called again gets its copy, or loads longer than jobs wait would never end.
            if again {
                self.order(w, job.function, 1, out);
            }
            return self.give_up(id, out);
        }
        // Where a miss is answered and nothing may be ordered, others load: it may stand there, and is tried.
        if self.terms.answers_miss && self.terms.orders {
            if self.order(w, job.function, 1, out) {
                return self.wait(id);
            }
            return self.wait_or_give_up(id, out);
        }
        if !self.terms.answers_miss {
            let place = self.functions.place(job.function, w);
            self.functions.put(
                job.function,
                w,
                Place {
                    loading: true,
                    ..place
                },
            );
        }
        self.execute(id, w, work + load, out);
    }

    /// Asks the homes where no copy is believed whether one stands there; true while answers are due.
    pub(super) fn ask(
        &mut self,
        id: FunctionId,
        unsure: &[WorkerId],
        out: &mut impl Decisions,
    ) -> bool {
        let (now, keep) = (self.now, self.terms.keep_alive);
        let wait = self.terms.tightest / ASKS_A_TARGET;
        let Some(function) = self.functions.get_mut(id) else {
            return false;
        };
        if function
            .asked
            .is_none_or(|at| now >= at + (keep / ASKS_A_KEEP).max(wait))
        {
            (function.asked, function.asking) = (Some(now), now + wait);
            for w in unsure {
                let place = self.functions.place(id, *w);
                if place.order.is_none() && !place.loading && self.asks >= 1.0 {
                    self.asks -= 1.0;
                    self.functions.put(
                        id,
                        *w,
                        Place {
                            order: Some((now, 0)),
                            ..place
                        },
                    );
                    out.load(*w, id, 0);
                }
            }
        }
        let Some(function) = self.functions.get(id) else {
            return false;
        };
        let is_ask = |w: &WorkerId| {
            function
                .place(*w)
                .order
                .is_some_and(|(_, copies)| copies == 0)
        };
        now < function.asking && function.open.iter().any(is_ask)
    }

    pub(super) fn wait(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id).map(|h| h.job) else {
            return;
        };
        if let Some(function) = self.functions.get_mut(job.function) {
            function.waiting.insert(id);
            self.waiting.insert(id);
        }
    }

    /// Waits for room while the job can still be in time, and gives it up at once when it cannot.
    pub(super) fn wait_or_give_up(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let expected = (self.work_of(&held.job) * self.middle.pace * IN_TIME) as Micros;
        if self.now + expected < held.came + self.target(held.job.workload) {
            return self.wait(id);
        }
        self.give_up(id, out);
    }

    pub(super) fn execute(
        &mut self,
        id: RequestId,
        w: WorkerId,
        expected: f64,
        out: &mut impl Decisions,
    ) {
        let now = self.now;
        let saved = self.workers.get(&w).and_then(|w| self.cold_budget(w));
        let Some(held) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(function) = self.functions.get_mut(held.job.function) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&w) else {
            return;
        };
        function.waiting.remove(&id);
        self.waiting.remove(&id);
        let mut place = function.place(w);
        place.own += 1;
        let queued = place.own > function.lanes * place.copies.max(1);
        self.functions.put(held.job.function, w, place);
        worker.own += 1;
        (worker.budget, worker.budget_at) = (saved.unwrap_or(0.0) - expected, now);
        let late = now + (SILENCE * expected * worker.pace_now(now)) as Micros;
        worker.out.insert((now, late, id, held.executions.len()));
        self.due.insert((late, Due::Silence(w)));
        let charged = f64::from(u8::from(held.executions.last().is_some_and(|e| e.full)));
        let sent = Execution {
            worker: w,
            sent: now,
            out: true,
            may_have_run: true,
            queued,
            ..Execution::default()
        };
        held.executions.push(sent);
        out.dispatch(id, w, held.job.deadline - now);
        self.further = (self.further - charged).max(0.0);
    }

    /// The final answer of a job that is not going to be in time, at once, unless an execution is out.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut impl Decisions) {
        if !self
            .jobs
            .get(&id)
            .is_some_and(|held| held.executions.iter().any(|e| e.out))
        {
            self.end_now(id, out);
        }
    }

    /// The final answer to a job that has not finished: pushed back where that is allowed.
    pub(super) fn end_now(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let (job, may_have_run) = (held.job, held.executions.iter().any(|e| e.may_have_run));
        let harmless = match self.workload(job.workload).effect {
            Effect::Restartable => true,
            Effect::Fingerprinted => {
                !may_have_run || self.workload(job.workload).group == Group::All
            }
            Effect::RunOnce => !may_have_run,
        };
        if harmless {
            // Pressed, the longer the less is taken; else a load's time. Drawn, lest they come back together.
            let load = self
                .functions
                .get(job.function)
                .map_or(0.0, |f| f.load * self.load_pace_now());
            let shed = self.target(job.workload) as f64 * (1.0 - self.taking) / 2.0;
            let wait = if self.pressed() { shed } else { load }.max(self.work_of(&job));
            let wait = (wait * (0.5 + unit_interval(self.chance()))) as Micros;
            out.reject(id, wait.min(self.terms.max_retry_after));
        } else {
            out.fail(id);
        }
        self.end_job(id);
    }
}
