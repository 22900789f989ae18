//! What comes in, and what is learned from it: lists, jobs, and the ends of executions and of orders to load.

use super::constants::*;
use super::Router;
use crate::state::*;
use crate::statistics::{decayed, remove_until, unit_interval};
use crate::*;
use std::collections::BTreeSet;

impl Router {
    pub(super) fn record_list(&mut self, list: &EndpointList) {
        if list.kind == EndpointListKind::Failed {
            // Drawn, so that routers turned away together do not call together again.
            let most = (self.terms.ask_every / CALLS_AN_ASK).max(2);
            let wait = most / 2 + (self.chance() % (most / 2) as u64) as Micros;
            if !self.due.iter().any(|(_, due)| *due == Due::List) {
                self.due.insert((self.now + wait, Due::List));
            }
            return;
        }
        if list.kind != EndpointListKind::Delta {
            let listed: BTreeSet<_> = list.endpoints.iter().map(|row| row.worker).collect();
            let gone = self
                .workers
                .values()
                .map(|w| w.row)
                .filter(|row| !listed.contains(&row.worker));
            let gone: Vec<_> = gone.filter(|row| row.state != WorkerState::Gone).collect();
            gone.into_iter().for_each(|row| {
                self.record_row(&Endpoint {
                    state: WorkerState::Gone,
                    ..row
                })
            });
        }
        list.endpoints.iter().for_each(|row| self.record_row(row));
    }

    pub(super) fn record_row(&mut self, row: &Endpoint) {
        let (now, limit) = (self.now, FIRST_LIMIT / self.terms.routers.max(1) as f64);
        let new = || Worker {
            row: *row,
            pace: 1.0,
            calm: 1.0,
            limit,
            ..Worker::default()
        };
        let worker = self.workers.entry(row.worker).or_insert_with(new);
        let restarted = worker.row.started_at < row.started_at;
        if restarted {
            worker.hear(now);
            (worker.pace, worker.seen) = (worker.calm, 0.0);
            (worker.budget, worker.budget_at) = (0.0, now);
        }
        (worker.row, worker.warm) = (*row, row.started_at + self.terms.cold);
        // Guards against homes that move with every list, so that no two routers find the same ones.
        if self.terms.sizes_change {
            worker.row.size = 1.0;
        }
        let (told, size) = ((worker.report_at, row.worker), worker.row.size);
        // Guards against one that was away while suspected: it would never count among most that look ill.
        self.suspects.extend(worker.suspect.then_some(row.worker));
        match row.state {
            WorkerState::Ready => self.listed.insert(row.worker.0, size),
            WorkerState::Draining | WorkerState::Gone => self.listed.remove(row.worker.0),
        }
        self.told.remove(&told);
        if row.state != WorkerState::Gone {
            self.told.insert(told);
        }
        if restarted || row.state == WorkerState::Gone {
            self.functions.forget_copies(row.worker);
        }
    }

    pub(super) fn record_job(&mut self, job: &Request) {
        let target = self.target(job.workload) as f64;
        let guess = if self.load > 0.0 { self.load } else { target };
        let function = self.functions.call(job.function, self.now, || {
            self.due.insert((self.now, Due::Keep(job.function)));
            Function {
                work: target * GUESS_OF_TARGET,
                load: guess,
                ..Function::default()
            }
        });
        function.lanes = (job.concurrency as u32).max(1);
        function.load = job.load_time.map_or(function.load, |told| told as f64);
        let keep = self.terms.keep_alive as f64;
        function.calls = 1.0 + decayed(function.calls, 0.0, self.now - function.last_job, keep);
        self.calls = 1.0 + decayed(self.calls, 0.0, self.now - self.calls_at, keep);
        (self.calls_at, function.last_job) = (self.now, self.now);
        self.jobs.insert(
            job.id,
            Held {
                job: *job,
                came: self.now,
                executions: Vec::new(),
            },
        );
        self.due.insert((job.deadline, Due::JobEnds(job.id)));
        self.todo.insert(job.id);
        if self.terms.orders && self.terms.load_window > 0 {
            remove_until(&mut self.taken, self.now - self.terms.load_window);
            self.taken.push_back(self.now);
        }
        self.inflow = self.inflow_now() + self.work_of(job) / self.terms.fall;
        self.inflow_at = self.now;
        self.earned += NEWEST / 10.0 * (self.earning(job) - self.earned);
    }

    pub(super) fn record_end(&mut self, end: &AttemptResult) {
        self.release(end);
        let Some(held) = self.jobs.get_mut(&end.request) else {
            return;
        };
        let (job, came) = (held.job, held.came);
        let Some(execution) = held.executions.get_mut(end.attempt).filter(|e| e.out) else {
            return;
        };
        (execution.out, execution.full) = (false, end.outcome == Outcome::Rejected);
        execution.may_have_run = !matches!(
            end.outcome,
            Outcome::Rejected
                | Outcome::NoConnection
                | Outcome::CancelledBeforeStart
                | Outcome::ColdMiss
        );
        let execution = *execution;
        self.learn(&job, end, &execution);
        let late = self.now > came + self.target(job.workload);
        // What waited for a load tells nothing of pressure, and a cold fleet would later shed nearly all.
        let loaded = matches!(
            end.warmth,
            Warmth::StartedLoad | Warmth::WaitedForLoad | Warmth::LoadFailed
        );
        let in_time = end.outcome == Outcome::Finished && !late;
        let change = match end.report.and_then(|report| report.queued) {
            _ if end.outcome == Outcome::Rejected && end.attempt == 0 => {
                -2.0 * LATE_CUT * self.taking
            }
            _ if loaded || !(late || in_time) => 0.0,
            _ if late => -LATE_CUT * self.taking,
            Some(queued) if queued < 1.0 => 5.0 * RISE,
            _ => RISE,
        };
        self.taking = (self.taking + change).clamp(LEAST_TAKEN, 1.0);
        let saved = self.further + if in_time { EARNS_FURTHER } else { 0.0 };
        self.further = saved.min((self.calls * EARNS_FURTHER).max(1.0));
        self.earn_ask(if in_time { EARNS_ASK } else { 0.0 });
        if end.is_final {
            self.end_job(end.request);
        } else {
            self.todo.insert(end.request);
        }
        if let Some(function) = self.functions.get(job.function) {
            self.todo.extend(&function.waiting);
        }
    }

    pub(super) fn release(&mut self, end: &AttemptResult) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        let found = worker
            .out
            .iter()
            .find(|(.., job, n)| (*job, *n) == (end.request, end.attempt))
            .copied();
        if let Some(entry) = found {
            worker.out.remove(&entry);
            worker.own = worker.own.saturating_sub(1);
            if end.outcome == Outcome::Rejected {
                worker.jammed = now + REPORT_FADES_US as Micros;
            }
        }
        if let Some(report) = end.report {
            if self.told.remove(&(worker.report_at, end.worker)) {
                self.told.insert((now, end.worker));
            }
            (worker.report, worker.report_at) = (report, now);
        }
        match end.outcome {
            Outcome::Finished | Outcome::Error | Outcome::Rejected | Outcome::ColdMiss => {
                worker.hear(now)
            }
            Outcome::Reset | Outcome::NoConnection => {
                (worker.suspect, worker.checks) = (true, worker.checks.max(1));
                self.suspects.insert(end.worker);
                self.due.insert((now, Due::Silence(end.worker)));
                if end.outcome == Outcome::Reset {
                    self.functions.forget_copies(end.worker);
                }
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::CancelledBeforeStart => {}
        }
    }

    pub(super) fn learn(&mut self, job: &Request, end: &AttemptResult, execution: &Execution) {
        let (now, keep) = (self.now, self.terms.keep_alive);
        let (expected, unscaled) = (self.work_of(job), self.unscaled_work(job));
        let target = self.target(job.workload) as f64;
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        let Some(function) = self.functions.get_mut(job.function) else {
            return;
        };
        let mut place = function.place(end.worker);
        place.own = place.own.saturating_sub(1);
        let mut loaded = None;
        match end.outcome {
            Outcome::Finished => {
                (place.copies, place.until, place.loading) =
                    (place.copies.max(1), now + keep, false);
                function.warm_last = Some(end.worker);
                worker.failures /= 2;
                let took = end.latency as f64;
                match end.warmth {
                    Warmth::StartedLoad => {
                        place.copies = 1;
                        loaded = Some((took - expected).max(took * GUESS_OF_TARGET));
                    }
                    Warmth::Warm | Warmth::Unknown if !execution.queued => {
                        // Guards against the first guess taken for calm: all would look fast, then crowded.
                        let usual = self.usual.entry(job.workload).or_default();
                        if usual.1 * NEWEST >= 1.0 {
                            worker.learn_pace(now, (took / expected.max(1.0)).min(MOST_PACE));
                        }
                        // What answers take beyond calm is the worker's, so the function learns the rest.
                        let calm = took / worker.crowding(now).max(1.0);
                        usual.1 += 1.0;
                        usual.0 += (calm - usual.0) * (1.0 / usual.1).max(NEWEST / 10.0);
                        if !function.answered {
                            (function.work, function.answered) = (usual.0, true);
                        }
                        function.work += NEWEST / 2.0 * (calm - function.work);
                        if job.expected_work.is_some_and(|hint| hint > 0) {
                            // A ratio of sums, as the mean of ratios is ruled by jobs hinted far too low.
                            let stays = 1.0 - NEWEST / 4.0;
                            self.hinted = (
                                stays * self.hinted.0 + calm,
                                stays * self.hinted.1 + unscaled,
                            );
                        }
                        // What a worker gets in flight grows while answers fit their target, else shrinks.
                        let (late, crowding) = (
                            function.work * worker.pace * IN_TIME > target,
                            worker.crowding(now),
                        );
                        // Guards against heavy jobs that look like a crowd where nothing is told to wait.
                        let queues = worker.report.queued.is_none_or(|queued| queued > 0.0);
                        if (crowding > CROWDED && queues) || late {
                            worker.cut_limit(now, expected);
                        } else if crowding <= PRESSED
                            && f64::from(worker.own + 1) > worker.limit / 2.0
                        {
                            worker.limit += GROWS / worker.limit;
                        }
                    }
                    _ => {}
                }
            }
            Outcome::Rejected => {
                place.barred = now + expected as Micros;
                worker.barred = now + expected as Micros / 4;
                worker.cut_limit(now, expected);
            }
            Outcome::ColdMiss if end.warmth != Warmth::LoadFailed => {
                (place.copies, place.loading, place.absent) =
                    (0, false, now + function.load as Micros);
            }
            Outcome::ColdMiss | Outcome::Error if end.warmth == Warmth::LoadFailed => {
                (place.copies, place.loading, place.barred) = (0, false, now + expected as Micros);
            }
            // Guards against a worker that fails all it gets at once, and so always has the fewest in
            // flight: it is left alone ever longer. A single function that fails may itself be at fault.
            Outcome::Error => {
                (place.loading, place.barred) = (false, now + expected as Micros);
                if worker.failures != 1 || worker.failed != job.function {
                    worker.failures = (worker.failures + 1).min(MOST_FAILURES);
                }
                let alone = if worker.failures > 1 {
                    expected * f64::from(1 << worker.failures) / 2.0
                } else {
                    0.0
                };
                (worker.failed, worker.barred) =
                    (job.function, worker.barred.max(now + alone as Micros));
            }
            // Waited for a load that did not come. Guards against load queues that nothing tells of.
            Outcome::TimedOut if place.copies == 0 => {
                (place.loading, place.absent) = (false, now + function.load as Micros);
                loaded = Some(end.latency as f64);
            }
            _ => place.loading = false,
        }
        self.functions.put(job.function, end.worker, place);
        loaded
            .into_iter()
            .for_each(|took| self.learn_load(job.function, took));
    }

    pub(super) fn record_order(&mut self, end: &LoadResult) {
        let (now, keep) = (self.now, self.terms.keep_alive);
        if !matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset
        ) {
            self.workers.entry(end.worker).and_modify(|w| w.hear(now));
        }
        let Some(function) = self.functions.get_mut(end.function) else {
            return;
        };
        let mut place = function.place(end.worker);
        let wanted = place.order.take().map_or(0, |(_, copies)| copies);
        place.copies = end.instances;
        if end.instances > 0 {
            let lasts = if wanted > 0 {
                keep
            } else {
                keep / ASKED_COPY_LASTS
            };
            place.until = place.until.max(now + lasts);
        }
        let found = if wanted == 0 && end.instances > 0 {
            EARNS_ASK
        } else {
            0.0
        };
        self.todo.extend(&function.waiting);
        if wanted > 0 && end.outcome == Outcome::Finished {
            function.warm_last = Some(end.worker);
            if end.latency as f64 > function.load * GUESS_OF_TARGET {
                self.learn_load(end.function, end.latency as f64);
            }
        } else if wanted > 0 {
            place.barred = now + function.work as Micros;
            // Guards against a store that turns loads away: what failed for several functions is not ordered
            // again at once by all. A single function that fails may itself be at fault.
            let load = function.load;
            if self
                .load_failed
                .replace(end.function)
                .is_some_and(|other| other != end.function)
            {
                self.loads_again = now + (load * (0.5 + unit_interval(self.chance()))) as Micros;
            }
        }
        self.functions.put(end.function, end.worker, place);
        self.earn_ask(found);
    }

    /// A budget of asks that answers earn: a function that stands nowhere costs no more than others pay.
    pub(super) fn earn_ask(&mut self, earned: f64) {
        self.asks = (self.asks + earned).min((self.calls * EARNS_ASK).max(FEW_HOMES as f64));
    }

    pub(super) fn learn_load(&mut self, id: FunctionId, took: f64) {
        let pace = self.load_pace_now();
        let Some(function) = self.functions.get_mut(id) else {
            return;
        };
        self.load_pace = pace + NEWEST * ((took / function.load.max(1.0)).min(MOST_PACE) - pace);
        self.load_pace_at = self.now;
        let calm = took / self.load_pace;
        function.load += NEWEST / 4.0 * (calm - function.load);
        self.load += if self.load > 0.0 {
            NEWEST / 4.0 * (calm - self.load)
        } else {
            calm
        };
    }

    pub(super) fn end_job(&mut self, id: RequestId) {
        let Some(held) = self.jobs.remove(&id) else {
            return;
        };
        self.due.remove(&(held.job.deadline, Due::JobEnds(id)));
        self.todo.remove(&id);
        self.waiting.remove(&id);
        let Some(function) = self.functions.get_mut(held.job.function) else {
            return;
        };
        function.waiting.remove(&id);
        for execution in held.executions.iter().filter(|e| e.out) {
            let place = self.functions.place(held.job.function, execution.worker);
            let own = place.own.saturating_sub(1);
            self.functions
                .put(held.job.function, execution.worker, Place { own, ..place });
        }
    }
}
