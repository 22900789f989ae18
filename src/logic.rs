//! Every decision of sanddrum is in this module and those below it. The host makes one `Router` an instance and calls `round` once
//! a round with all that came in (`EventBatch`) and a writer (`Decisions`), see `lib.rs`; `state.rs` has what is
//! remembered. All news is recorded first, the worker list before the rest; only then is decided.
//!
//! The ordinary path is the design page's: a job goes to the believed-warm worker with the fewest own jobs in
//! flight whose lanes have room, own zone first; failing that it loads on the ready worker with the fewest.
//! Each departure is marked "Exception" below and told in docs/design.md with when it acts.

mod constants;
mod estimates;
mod keep_alive;
mod observations;
mod outlier_detection;
mod placement;
mod rules;
mod worker_view;

use crate::rendezvous::RendezvousTree;
use crate::state::*;
use crate::statistics::hash_of;
use crate::*;
use constants::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where the settings do not tell.
const OTHERWISE: Otherwise = Otherwise {
    target: 1_000_000,
    keep_alive: 8_000_000,
    fall: 2_000_000,
    ask_every: 10_000_000,
};

#[derive(Default)]
pub struct Router {
    settings: Settings,
    terms: Terms,
    seed: u64,
    draws: u64,
    now: Micros,
    workers: BTreeMap<WorkerId, Worker>,
    /// Workers listed as ready, by which homes are drawn; those that reported, by when; those suspected.
    listed: RendezvousTree,
    told: BTreeSet<(Micros, WorkerId)>,
    suspects: BTreeSet<WorkerId>,
    functions: Functions,
    jobs: BTreeMap<RequestId, Held>,
    /// All due times but the sweep's.
    due: BTreeSet<(Micros, Due)>,
    sweep: Micros,
    wake: Micros,
    most_suspect: bool,
    /// Jobs to be placed this round, and those that wait for a copy or for room.
    todo: BTreeSet<RequestId>,
    waiting: BTreeSet<RequestId>,
    /// Of the middle worker, as of the last sweep: for each job it would cost too much.
    middle: Middle,
    /// Work taken in a microsecond, and when that was last brought up to date.
    inflow: f64,
    inflow_at: Micros,
    /// What part of its reported jobs waits at the middle worker, and whether any was heard of lately.
    waits: f64,
    heard: bool,
    /// What part of new jobs is taken while pressed.
    taking: f64,
    /// Further executions that jobs turned away by full workers may still have while pressed.
    further: f64,
    /// Asks that may still be made.
    asks: f64,
    /// Jobs taken of late, over about a keep-alive.
    calls: f64,
    calls_at: Micros,
    /// What jobs earn for their work, in the mean.
    earned: f64,
    /// What jobs of a workload take when calm, in the mean, and how many have told.
    usual: BTreeMap<WorkloadId, (f64, f64)>,
    /// Sums of what hinted jobs took and of their hints.
    hinted: (f64, f64),
    /// What a load takes, and loads of late as a multiple of it.
    load: f64,
    load_pace: f64,
    load_pace_at: Micros,
    /// The function whose load failed last, and until when no load is begun.
    load_failed: Option<FunctionId>,
    loads_again: Micros,
    /// Jobs taken and loads ordered, for rule 5.
    taken: VecDeque<Micros>,
    ordered: VecDeque<Micros>,
}

impl Router {
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let middle = Middle {
            pace: 1.0,
            crowding: 1.0,
            ..Middle::default()
        };
        let calm = Router {
            middle,
            load_pace: 1.0,
            ..Router::default()
        };
        let (settings, terms) = (settings.clone(), Terms::read(settings, &OTHERWISE));
        let mut router = Router {
            settings,
            terms,
            seed,
            taking: 1.0,
            asks: FEW_HOMES as f64,
            ..calm
        };
        // Guards rule 3 where the list tells nothing by itself: drains would never be heard of.
        if router.terms.subscribes {
            router.due.insert((0, Due::List));
        }
        router
    }

    pub fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        self.now = now;
        round
            .endpoint_lists
            .iter()
            .for_each(|list| self.record_list(list));
        round.requests.iter().for_each(|job| self.record_job(job));
        round
            .attempt_results
            .iter()
            .for_each(|end| self.record_end(end));
        round
            .load_results
            .iter()
            .for_each(|end| self.record_order(end));
        for probe in round
            .health_check_results
            .iter()
            .filter(|p| p.outcome == Outcome::Finished)
        {
            self.workers.entry(probe.worker).and_modify(|w| w.hear(now));
        }
        round.cancelled.iter().for_each(|job| self.end_job(*job));
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            match self.due.pop_first() {
                Some((_, Due::JobEnds(id))) if self.jobs.contains_key(&id) => {
                    out.fail(id);
                    self.end_job(id);
                }
                Some((_, Due::Silence(id))) => self.look_into_silence(id, out),
                Some((_, Due::Keep(id))) => self.keep_copies(id, out),
                Some((_, Due::List)) => out.subscribe(),
                Some((_, Due::JobEnds(_))) | None => {}
            }
        }
        if now >= self.sweep {
            self.sweep = now + self.terms.tightest / SWEEPS_A_TARGET;
            self.functions
                .forget(now - FORGET_KEEPS * self.terms.keep_alive);
            self.todo.extend(&self.waiting);
            self.look_over_fleet();
        }
        while let Some(job) = self.todo.pop_first() {
            self.place(job, out);
        }
        let held = if round.shutting_down {
            self.jobs.keys().copied().collect()
        } else {
            Vec::new()
        };
        held.into_iter().for_each(|id| self.end_now(id, out));
        let sweep = (!self.waiting.is_empty()).then_some(self.sweep);
        let due = self.due.first().map(|(at, _)| *at);
        if let Some(next) = due.into_iter().chain(sweep).min().map(|at| at.max(now + 1)) {
            if self.wake <= now || next < self.wake {
                self.wake = next;
                out.wake_at(next);
            }
        }
    }

    // ---- Settings, and chance

    fn workload(&self, id: WorkloadId) -> &Workload {
        self.terms.workloads.get(id.0).unwrap_or(&self.terms.other)
    }
    fn target(&self, id: WorkloadId) -> Micros {
        self.workload(id).target
    }
    fn chance(&mut self) -> u64 {
        self.draws += 1;
        hash_of((self.seed, self.draws))
    }
}
