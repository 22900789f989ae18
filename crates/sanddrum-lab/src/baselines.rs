//! Other modules in the decision module's place, through the same interface, to compare it with: the usual policies,
//! which look at less, and an oracle, which sees what is true. Each takes every job, loads what is missing, repeats what
//! may be repeated and gives up at the limit; what differs is only how a worker is chosen.

use sanddrum::{
    Decisions, EventBatch, FunctionId, Micros, Outcome, Request, RequestId, Settings, WorkerId,
    WorkerState, WorkloadId,
};
use sanddrum_edge::DecisionModule;
use sanddrum_emulator::{GroundTruth, Shared};
use sanddrum_net::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    Random,
    RoundRobin,
    /// Fewest own jobs in flight.
    Least,
    /// The less loaded of two drawn by chance.
    TwoChoices,
    /// Consistent hashing with bounded loads: the function's next worker on the ring with room.
    BoundedHash,
    /// Sees what is true.
    Oracle,
}

impl BaselineKind {
    pub fn of(name: &str) -> Option<BaselineKind> {
        Some(match name {
            "random" => BaselineKind::Random,
            "round-robin" => BaselineKind::RoundRobin,
            "least" => BaselineKind::Least,
            "two-choices" => BaselineKind::TwoChoices,
            "bounded-hash" => BaselineKind::BoundedHash,
            "oracle" => BaselineKind::Oracle,
            _ => return None,
        })
    }
}

/// Answers are on their way for a while, so the oracle keeps a little of the target in hand.
const IN_TIME: f64 = 0.95;
/// With bounded loads a worker takes no more than so many times the mean.
const BOUND: f64 = 1.25;

struct Held {
    job: Request,
    tries: u32,
    may_have_run: bool,
}

pub struct Baseline {
    choice: BaselineKind,
    chance: Rng,
    truth: Shared<GroundTruth>,
    settings: Settings,
    sizes: BTreeMap<WorkerId, f64>,
    in_flight: BTreeMap<WorkerId, u32>,
    jobs: BTreeMap<RequestId, Held>,
    /// Jobs that wait for a load, by where and what.
    loading: BTreeMap<(WorkerId, FunctionId), Vec<RequestId>>,
    next: usize,
}

impl Baseline {
    pub fn new(
        choice: BaselineKind,
        seed: u64,
        settings: Settings,
        truth: Shared<GroundTruth>,
    ) -> Self {
        Baseline {
            choice,
            chance: Rng::new(seed),
            truth,
            settings,
            sizes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            jobs: BTreeMap::new(),
            loading: BTreeMap::new(),
            next: 0,
        }
    }
    fn load(&self, worker: &WorkerId) -> f64 {
        let own = f64::from(self.in_flight.get(worker).copied().unwrap_or(0));
        own / self
            .sizes
            .get(worker)
            .copied()
            .unwrap_or(1.0)
            .max(f64::MIN_POSITIVE)
    }
    fn least(&self, among: impl Iterator<Item = WorkerId>) -> Option<WorkerId> {
        among.min_by(|a, b| self.load(a).total_cmp(&self.load(b)).then(a.cmp(b)))
    }
    fn choose(&mut self, now: Micros, job: &Request) -> Option<WorkerId> {
        let all: Vec<WorkerId> = self.sizes.keys().copied().collect();
        if all.is_empty() {
            return None;
        }
        match self.choice {
            BaselineKind::Random => all.get(self.chance.index(all.len())).copied(),
            BaselineKind::RoundRobin => {
                self.next += 1;
                all.get(self.next % all.len()).copied()
            }
            BaselineKind::Least => {
                // Ties by chance, or all routers would send to the first.
                let from = self.chance.index(all.len());
                let turned = all[from..].iter().chain(&all[..from]).copied();
                turned.min_by(|a, b| self.load(a).total_cmp(&self.load(b)))
            }
            BaselineKind::TwoChoices => {
                let two = [self.chance.index(all.len()), self.chance.index(all.len())];
                self.least(two.into_iter().map(|n| all[n]))
            }
            BaselineKind::BoundedHash => {
                let ring = |worker: &WorkerId| sanddrum_wire::stable_id(&format!("{}", worker.0));
                let at = sanddrum_wire::stable_id(&format!("f{}", job.function.0));
                let mut order: Vec<WorkerId> = all.clone();
                order.sort_by_key(|worker| ring(worker).wrapping_sub(at));
                let sum: u32 = self.in_flight.values().sum();
                let bound = |w: &WorkerId| {
                    let part = self.sizes[w] / self.sizes.values().sum::<f64>();
                    (f64::from(sum + 1) * part * BOUND).ceil().max(1.0)
                };
                let has_room = |w: &&WorkerId| {
                    f64::from(self.in_flight.get(w).copied().unwrap_or(0)) < bound(w)
                };
                order
                    .iter()
                    .find(has_room)
                    .copied()
                    .or(order.first().copied())
            }
            BaselineKind::Oracle => self.best(now, job, &all),
        }
    }
    /// The worker that would be done first, from what is true of all of them, other routers' choices included.
    fn best(&self, now: Micros, job: &Request, all: &[WorkerId]) -> Option<WorkerId> {
        let truth = self.truth.borrow();
        let work = job.expected_work.unwrap_or(50_000) as f64;
        let load = job.load_time.unwrap_or(400_000) as f64;
        let done = |worker: &WorkerId| -> Option<f64> {
            let w = truth
                .0
                .get(&worker.0)
                .filter(|w| w.is_serving && w.free_capacity > 0)?;
            let pace = w.core_speed.max(0.01);
            let queue = (w.backlog - work * (w.cores.max(1) - 1) as f64).max(0.0)
                / w.cores.max(1) as f64
                / pace;
            let f = w
                .functions
                .get(&job.function.0)
                .copied()
                .unwrap_or_default();
            let copies = match (f.concurrency, f.is_loading) {
                (0, true) => load * 0.6 + f64::from(f.in_flight) * work / pace,
                (0, false) => load,
                (lanes, _) => f64::from(f.in_flight / lanes) * work / pace,
            };
            Some(queue.max(copies) + work / pace)
        };
        let timed = all.iter().filter_map(|w| done(w).map(|at| (at, *w)));
        // What would come after its start target is worth nothing, and would make the next one late.
        let target = self
            .settings
            .number(&format!("workloads.{}.start-target-us", job.workload.0));
        // A repeat has used up part of it before: what is gone of its client's time.
        let patience = self
            .settings
            .number(&format!("workloads.{}.time-limit-us", job.workload.0));
        let gone = patience.map_or(0.0, |patience| patience - (job.deadline - now) as f64);
        let target = target.unwrap_or(1e6) * IN_TIME - gone.max(0.0);
        timed
            .filter(|(at, _)| *at < target)
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, w)| w)
    }

    fn restartable(&self, workload: WorkloadId) -> bool {
        self.settings
            .text(&format!("workloads.{}.effect", workload.0))
            == Some("restartable")
    }
    fn place(&mut self, now: Micros, id: RequestId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let (job, tries) = (held.job, held.tries);
        let most = self.settings.number("limits.max-executions").unwrap_or(3.0) as u32;
        let chosen = if tries < most && now < job.deadline {
            self.choose(now, &job)
        } else {
            None
        };
        match chosen {
            Some(worker) => self.send(now, id, worker, out),
            None => self.give_up(id, out),
        }
    }
    fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get_mut(&id) else {
            return;
        };
        held.tries += 1;
        *self.in_flight.entry(worker).or_default() += 1;
        if let Some(w) = self.truth.borrow_mut().0.get_mut(&worker.0) {
            w.in_flight += 1;
            w.free_capacity = w.free_capacity.saturating_sub(1);
            w.backlog += held.job.expected_work.unwrap_or(0) as f64;
            w.functions
                .entry(held.job.function.0)
                .or_default()
                .in_flight += 1;
        }
        out.dispatch(id, worker, held.job.deadline - now);
    }
    fn give_up(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.remove(&id) else {
            return;
        };
        if held.may_have_run && !self.restartable(held.job.workload) {
            out.fail(id);
        } else {
            out.reject(id, 200_000);
        }
    }
}

impl DecisionModule for Baseline {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        for list in &round.endpoint_lists {
            if list.kind != sanddrum::EndpointListKind::Delta {
                self.sizes.clear();
            }
            for row in &list.endpoints {
                match row.state {
                    WorkerState::Ready => drop(self.sizes.insert(row.worker, row.size)),
                    _ => drop(self.sizes.remove(&row.worker)),
                }
            }
        }
        let mut again = BTreeSet::new();
        for end in &round.attempt_results {
            self.in_flight
                .entry(end.worker)
                .and_modify(|n| *n = n.saturating_sub(1));
            if end.is_final || end.outcome == Outcome::Finished {
                self.jobs.remove(&end.request);
                continue;
            }
            let Some(held) = self.jobs.get_mut(&end.request) else {
                continue;
            };
            held.may_have_run |= !matches!(
                end.outcome,
                Outcome::Rejected
                    | Outcome::NoConnection
                    | Outcome::ColdMiss
                    | Outcome::CancelledBeforeStart
            );
            match end.outcome {
                Outcome::ColdMiss => {
                    // It is loaded there and comes back.
                    held.tries -= 1;
                    let (place, id) = ((end.worker, held.job.function), end.request);
                    let waits = self.loading.entry(place).or_default();
                    if waits.is_empty() {
                        out.load(place.0, place.1, 1);
                    }
                    waits.push(id);
                }
                _ => drop(again.insert(end.request)),
            }
        }
        for order in &round.load_results {
            let waits = self
                .loading
                .remove(&(order.worker, order.function))
                .unwrap_or_default();
            for id in waits {
                match order.outcome {
                    Outcome::Finished
                        if self.jobs.get(&id).is_some_and(|h| now < h.job.deadline) =>
                    {
                        self.send(now, id, order.worker, out)
                    }
                    _ => drop(again.insert(id)),
                }
            }
        }
        self.jobs.retain(|id, _| !round.cancelled.contains(id));
        for job in &round.requests {
            self.jobs.insert(
                job.id,
                Held {
                    job: *job,
                    tries: 0,
                    may_have_run: false,
                },
            );
            again.insert(job.id);
        }
        for id in again {
            let lost = self
                .jobs
                .get(&id)
                .is_some_and(|h| h.may_have_run && !self.restartable(h.job.workload));
            if lost {
                self.give_up(id, out);
            } else {
                self.place(now, id, out);
            }
        }
        // What waits for a load is given up at its limit.
        let late: Vec<RequestId> = self
            .loading
            .values()
            .flatten()
            .filter(|id| self.jobs.get(id).is_some_and(|h| h.job.deadline <= now))
            .copied()
            .collect();
        late.into_iter().for_each(|id| self.give_up(id, out));
        let next = self
            .loading
            .values()
            .flatten()
            .filter_map(|id| self.jobs.get(id))
            .map(|h| h.job.deadline)
            .min();
        if let Some(at) = next {
            out.wake_at(at);
        }
    }
}
