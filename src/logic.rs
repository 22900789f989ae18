//! Every decision of sanddrum is in this file. The host makes one `Router` an instance and calls `round` once
//! a round with all that came in (`Round`) and a writer (`Decisions`), see `lib.rs`; `state.rs` has what is
//! remembered. All news is recorded first, the worker list before the rest; only then is decided.
//!
//! The ordinary path is the design page's: a job goes to the believed-warm worker with the fewest own jobs in
//! flight whose lanes have room, own zone first; failing that it loads on the ready worker with the fewest.
//! Each departure is marked "Exception" below and told in docs/design.md with when it acts.

use crate::figures::{drop_until, faded, hash_of, middle, tie};
use crate::order::{Lazily, Order};
use crate::state::*;
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A sweep takes up what waits this often in the tightest start target.
const SWEEPS_A_TARGET: Micros = 20;
/// A worker answers an ask or a probe, which never waits for work, well within this part of that target.
const ASKS_A_TARGET: Micros = 10;
/// Before anything is learned, work takes this part of the start target and a load the whole of it.
const GUESS_OF_TARGET: f64 = 0.25;
/// Weight of the newest figure in a running mean: about the last ten count.
const NEWEST: f64 = 0.2;
/// Silence is looked into once an answer is this many times later than expected.
const SILENCE: f64 = 2.0;
/// A worker this many times slower than the middle one counts as slow and comes last.
const SLOW: f64 = 2.5;
/// The pace seen at a worker, or of loads, is forgotten at this rate, so that a slow one is tried again.
const PACE_FADES_US: f64 = 2e6;
/// A worker's report is forgotten at this rate: of hundreds of routers each hears it every ten seconds or so.
const REPORT_FADES_US: f64 = 1e7;
/// A cold worker gets this part of what it would bear in proportion; the rest is for bursts and chance.
const COLD_CAUTION: f64 = 0.7;
/// A function is asked for again after this part of the keep-alive, as copies come and go no faster.
const ASKS_A_KEEP: Micros = 4;
/// What an answer to an ask says may already be half way to lapsing.
const ASKED_COPY_LASTS: Micros = 2;
/// Workers, or loads, count as pressed once they take this many times what they take when calm.
const PRESSED: f64 = 1.5;
/// Loads under way at the middle worker from which on they wait for each other: few run at a time.
const LOADS_WAIT: f64 = 2.0;
/// A worker this far from calm holds more than it has cores for, and copies for each of them.
const CROWDED: f64 = 2.0;
/// Workers count as pressed, too, once this part of what the middle one reports waits or its cores are busy.
const WAITING: f64 = 0.4;
/// Reports of workers by which pressure is judged at least: of fewer, one crowded worker would tell too much.
const FEW_REPORTS: f64 = 5.0;
/// Cores busy for more than this part leave jobs waiting.
const BUSY: f64 = 0.95;
/// A late answer cuts the part of jobs taken while pressed by this part, a first full one by twice that.
const LATE_CUT: f64 = 0.1;
/// An answer in time raises it by so much, five times where nothing waits any more. Not by a part of itself,
/// or nothing would draw the marks of many routers together.
const RISE: f64 = LATE_CUT / 10.0;
/// Never less is taken than this, so that something comes back by which it can rise again.
const LEAST_TAKEN: f64 = 0.01;
/// What a job in time earns of a further execution for jobs that were turned away.
const EARNS_FURTHER: f64 = 0.1;
/// What a job in time earns of an ask, and an ask that finds a copy: together no more asks than jobs in time.
const EARNS_ASK: f64 = 0.5;
/// A worker that holds this many times what the middle one holds has more than its part.
const UNEVEN: f64 = 1.5;
/// One answer counts for no more than this pace: a job that was itself long tells little of its worker.
const MOST_PACE: f64 = 10.0;
/// A job is in time if this many times its expected time fits: times scatter about as widely as their mean.
const IN_TIME: f64 = 2.0;
/// Jobs in flight that a worker is trusted with before anything is seen of it, from all routers together.
const FIRST_LIMIT: f64 = 24.0;
/// What a full set of jobs in time adds to a limit; less than one, as the other routers add to theirs, too.
const GROWS: f64 = 0.25;
/// Jobs that earn less than the mean for their work fill this part of a worker's limit.
const CHEAP_SHARE: f64 = 0.6;
/// What is left of a worker's limit once answers from it are too slow for their start targets.
const CUT: f64 = 0.8;
/// What jobs take when calm is the least mean seen; it is let rise this slowly, should the work change.
const CALM_RISES_US: f64 = 3e7;
/// Copies are renewed at this part of their life.
const RENEW_AT: f64 = 0.8;
/// A function gets so many homes that each bears this part of a mean worker's load from it; half of it where
/// a home wrongly presumed warm costs a miss and not a load.
const HOME_PART: f64 = 0.5;
/// Homes looked at for a job, and as many spares beyond them: a few draws find the emptier ones nearly as
/// well as a look at all. A function with more than both is decided in parts, each with homes of its own.
const HOMES: usize = 4;
/// They are looked for among this many times as many workers: more where half of them may not be called.
const LOOKS: usize = 4;
/// Copies looked at for a job: those of all homes and of their spares, each told twice at the most.
const COPIES: usize = 4 * HOMES;
/// Workers, of those heard of last, by which the middle one is told.
const HEARD_LAST: usize = 128;
/// Homes of any function: with one, chance alone makes some workers home to far more work than others.
const FEW_HOMES: usize = 2;
/// Errors in a row that count, each of which doubles the time for which a worker is left alone.
const MOST_FAILURES: u32 = 6;
/// A failed call for the list is made again within this part of the time after which a router counts as told.
const CALLS_AN_ASK: Micros = 4;
/// A function not called for this many keep-alives is forgotten.
const FORGET_KEEPS: Micros = 4;

/// Where the settings do not tell.
const OTHERWISE: Otherwise =
    Otherwise { target: 1_000_000, keep_alive: 8_000_000, fall: 2_000_000, ask_every: 10_000_000 };

impl Worker {
    fn ready(&self) -> bool {
        self.row.state == WorkerState::Ready && !self.suspect
    }
    fn pace_now(&self, now: Micros) -> f64 {
        faded(self.pace, self.calm, now - self.pace_at, PACE_FADES_US)
    }
    /// How many times longer than when calm jobs take here of late.
    fn crowding(&self, now: Micros) -> f64 {
        self.pace_now(now) / self.calm
    }
    fn learn_pace(&mut self, now: Micros, seen: f64) {
        let risen = self.calm * (1.0 + (now - self.pace_at) as f64 / CALM_RISES_US);
        self.pace = self.pace_now(now);
        self.pace += NEWEST / 2.0 * (seen - self.pace);
        (self.pace_at, self.seen) = (now, self.seen + 1.0);
        self.long += (seen - self.long) * (1.0 / self.seen).max(NEWEST / 10.0);
        self.calm = if self.seen * NEWEST < 4.0 { self.long } else { risen.min(self.long) };
    }
    /// Jobs of all routers held here for its size, as last reported; an old report tells as the middle one's.
    fn held_now(&self, now: Micros, middle: f64) -> f64 {
        let held = self.report.held.unwrap_or(middle * self.row.size) / self.row.size.max(f64::MIN_POSITIVE);
        faded(held, middle, now - self.report_at, REPORT_FADES_US)
    }
    /// What part of the jobs it last reported waits, or whether all its cores were busy, where it tells. A
    /// load under way is a job that waits, but not for a core, where workers load by themselves.
    fn waiting(&self, own_loads: bool) -> Option<f64> {
        let loads = self.report.loads.filter(|_| own_loads).unwrap_or(0.0);
        let queued = self.report.queued.zip(self.report.held);
        let part = queued.map(|(queued, held)| (queued - loads) / held.max(1.0));
        part.or(self.report.busy.map(|busy| f64::from(u8::from(busy > BUSY))))
    }
    /// The same of what waits for a core. Guards against taking a cold fleet for a pressed one: where cores
    /// are told to be idle, jobs wait for a lane of the only copy or a load: turning jobs away frees nothing.
    fn waiting_for_cores(&self, own_loads: bool) -> Option<f64> {
        let idle = self.report.busy.is_some_and(|busy| busy <= BUSY);
        self.waiting(own_loads).map(|part| if idle { 0.0 } else { part })
    }
    /// Cuts the limit, at most once in the time of a job, as what was sent before still shows.
    fn cut_limit(&mut self, now: Micros, work: f64) {
        if now >= self.cut + (work * self.pace) as Micros {
            (self.cut, self.limit) = (now, (self.limit * CUT).max(1.0));
        }
    }
    fn hear(&mut self, now: Micros) {
        (self.heard, self.checked, self.checks, self.suspect) = (now, None, 0, false);
    }
}

#[derive(Default)]
pub struct Router {
    settings: Settings,
    terms: Terms,
    seed: u64,
    draws: u64,
    now: Micros,
    workers: BTreeMap<WorkerId, Worker>,
    /// Workers listed as ready, by which homes are drawn; those that reported, by when; those suspected.
    listed: Order,
    told: BTreeSet<(Micros, WorkerId)>,
    suspects: BTreeSet<WorkerId>,
    functions: Functions,
    jobs: BTreeMap<JobId, Held>,
    /// All due times but the sweep's.
    due: BTreeSet<(Micros, Due)>,
    sweep: Micros,
    wake: Micros,
    most_suspect: bool,
    /// Jobs to be placed this round, and those that wait for a copy or for room.
    todo: BTreeSet<JobId>,
    waiting: BTreeSet<JobId>,
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
        let middle = Middle { pace: 1.0, crowding: 1.0, ..Middle::default() };
        let calm = Router { middle, load_pace: 1.0, ..Router::default() };
        let (settings, terms) = (settings.clone(), Terms::read(settings, &OTHERWISE));
        let mut router = Router { settings, terms, seed, taking: 1.0, asks: FEW_HOMES as f64, ..calm };
        // Guards rule 3 where the list tells nothing by itself: drains would never be heard of.
        if router.terms.subscribes {
            router.due.insert((0, Due::List));
        }
        router
    }

    pub fn round(&mut self, now: Micros, round: &Round, out: &mut impl Decisions) {
        self.now = now;
        round.lists.iter().for_each(|list| self.record_list(list));
        round.jobs.iter().for_each(|job| self.record_job(job));
        round.ends.iter().for_each(|end| self.record_end(end));
        round.orders.iter().for_each(|end| self.record_order(end));
        for probe in round.probes.iter().filter(|p| p.end == End::Finished) {
            self.workers.entry(probe.worker).and_modify(|w| w.hear(now));
        }
        round.left.iter().for_each(|job| self.end_job(*job));
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            match self.due.pop_first() {
                Some((_, Due::JobEnds(id))) if self.jobs.contains_key(&id) => {
                    out.kill(id);
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
            self.functions.forget(now - FORGET_KEEPS * self.terms.keep_alive);
            self.todo.extend(&self.waiting);
            self.look_over_fleet();
        }
        while let Some(job) = self.todo.pop_first() {
            self.place(job, out);
        }
        let held = if round.closing { self.jobs.keys().copied().collect() } else { Vec::new() };
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

    // ---- News

    fn record_list(&mut self, list: &WorkerList) {
        if list.kind == ListKind::Failed {
            // Drawn, so that routers turned away together do not call together again.
            let most = (self.terms.ask_every / CALLS_AN_ASK).max(2);
            let wait = most / 2 + (self.chance() % (most / 2) as u64) as Micros;
            if !self.due.iter().any(|(_, due)| *due == Due::List) {
                self.due.insert((self.now + wait, Due::List));
            }
            return;
        }
        if list.kind != ListKind::Changes {
            let listed: BTreeSet<_> = list.rows.iter().map(|row| row.worker).collect();
            let gone = self.workers.values().map(|w| w.row).filter(|row| !listed.contains(&row.worker));
            let gone: Vec<_> = gone.filter(|row| row.state != WorkerState::Gone).collect();
            gone.into_iter().for_each(|row| self.record_row(&WorkerRow { state: WorkerState::Gone, ..row }));
        }
        list.rows.iter().for_each(|row| self.record_row(row));
    }

    fn record_row(&mut self, row: &WorkerRow) {
        let (now, limit) = (self.now, FIRST_LIMIT / self.terms.routers.max(1) as f64);
        let new = || Worker { row: *row, pace: 1.0, calm: 1.0, limit, ..Worker::default() };
        let worker = self.workers.entry(row.worker).or_insert_with(new);
        let restarted = worker.row.started < row.started;
        if restarted {
            worker.hear(now);
            (worker.pace, worker.seen) = (worker.calm, 0.0);
            (worker.budget, worker.budget_at) = (0.0, now);
        }
        (worker.row, worker.warm) = (*row, row.started + self.terms.cold);
        // Guards against homes that move with every list, so that no two routers find the same ones.
        if self.terms.sizes_change {
            worker.row.size = 1.0;
        }
        let (told, size) = ((worker.report_at, row.worker), worker.row.size);
        // Guards against one that was away while suspected: it would never count among most that look ill.
        self.suspects.extend(worker.suspect.then_some(row.worker));
        match row.state {
            WorkerState::Ready => self.listed.put(row.worker.0, size),
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

    fn record_job(&mut self, job: &Job) {
        let target = self.target(job.workload) as f64;
        let guess = if self.load > 0.0 { self.load } else { target };
        let function = self.functions.call(job.function, self.now, || {
            self.due.insert((self.now, Due::Keep(job.function)));
            Function { work: target * GUESS_OF_TARGET, load: guess, ..Function::default() }
        });
        function.lanes = (job.lanes as u32).max(1);
        function.load = job.load.map_or(function.load, |told| told as f64);
        let keep = self.terms.keep_alive as f64;
        function.calls = 1.0 + faded(function.calls, 0.0, self.now - function.last_job, keep);
        self.calls = 1.0 + faded(self.calls, 0.0, self.now - self.calls_at, keep);
        (self.calls_at, function.last_job) = (self.now, self.now);
        self.jobs.insert(job.id, Held { job: *job, came: self.now, executions: Vec::new() });
        self.due.insert((job.due, Due::JobEnds(job.id)));
        self.todo.insert(job.id);
        if self.terms.orders && self.terms.load_window > 0 {
            drop_until(&mut self.taken, self.now - self.terms.load_window);
            self.taken.push_back(self.now);
        }
        self.inflow = self.inflow_now() + self.work_of(job) / self.terms.fall;
        self.inflow_at = self.now;
        self.earned += NEWEST / 10.0 * (self.earning(job) - self.earned);
    }

    fn record_end(&mut self, end: &ExecutionEnd) {
        self.release(end);
        let Some(held) = self.jobs.get_mut(&end.job) else { return };
        let (job, came) = (held.job, held.came);
        let Some(execution) = held.executions.get_mut(end.execution).filter(|e| e.out) else { return };
        (execution.out, execution.full) = (false, end.end == End::Full);
        execution.may_have_run = !matches!(end.end, End::Full | End::NoConnection | End::Moot | End::Miss);
        let execution = *execution;
        self.learn(&job, end, &execution);
        let late = self.now > came + self.target(job.workload);
        // What waited for a load tells nothing of pressure, and a cold fleet would later shed nearly all.
        let loaded = matches!(end.warmth, Warmth::BeganLoad | Warmth::WaitedForLoad | Warmth::LoadFailed);
        let in_time = end.end == End::Finished && !late;
        let change = match end.report.and_then(|report| report.queued) {
            _ if end.end == End::Full && end.execution == 0 => -2.0 * LATE_CUT * self.taking,
            _ if loaded || !(late || in_time) => 0.0,
            _ if late => -LATE_CUT * self.taking,
            Some(queued) if queued < 1.0 => 5.0 * RISE,
            _ => RISE,
        };
        self.taking = (self.taking + change).clamp(LEAST_TAKEN, 1.0);
        let saved = self.further + if in_time { EARNS_FURTHER } else { 0.0 };
        self.further = saved.min((self.calls * EARNS_FURTHER).max(1.0));
        self.earn_ask(if in_time { EARNS_ASK } else { 0.0 });
        if end.settled {
            self.end_job(end.job);
        } else {
            self.todo.insert(end.job);
        }
        if let Some(function) = self.functions.get(job.function) {
            self.todo.extend(&function.waiting);
        }
    }

    fn release(&mut self, end: &ExecutionEnd) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&end.worker) else { return };
        let found = worker.out.iter().find(|(.., job, n)| (*job, *n) == (end.job, end.execution)).copied();
        if let Some(entry) = found {
            worker.out.remove(&entry);
            worker.own = worker.own.saturating_sub(1);
            if end.end == End::Full {
                worker.jammed = now + REPORT_FADES_US as Micros;
            }
        }
        if let Some(report) = end.report {
            if self.told.remove(&(worker.report_at, end.worker)) {
                self.told.insert((now, end.worker));
            }
            (worker.report, worker.report_at) = (report, now);
        }
        match end.end {
            End::Finished | End::Error | End::Full | End::Miss => worker.hear(now),
            End::Reset | End::NoConnection => {
                (worker.suspect, worker.checks) = (true, worker.checks.max(1));
                self.suspects.insert(end.worker);
                self.due.insert((now, Due::Silence(end.worker)));
                if end.end == End::Reset {
                    self.functions.forget_copies(end.worker);
                }
            }
            End::TimedOut | End::Cancelled | End::Moot => {}
        }
    }

    fn learn(&mut self, job: &Job, end: &ExecutionEnd, execution: &Execution) {
        let (now, keep) = (self.now, self.terms.keep_alive);
        let (expected, unscaled) = (self.work_of(job), self.unscaled_work(job));
        let target = self.target(job.workload) as f64;
        let Some(worker) = self.workers.get_mut(&end.worker) else { return };
        let Some(function) = self.functions.get_mut(job.function) else { return };
        let mut place = function.place(end.worker);
        place.own = place.own.saturating_sub(1);
        let mut loaded = None;
        match end.end {
            End::Finished => {
                (place.copies, place.until, place.loading) = (place.copies.max(1), now + keep, false);
                function.warm_last = Some(end.worker);
                worker.failures /= 2;
                let took = end.latency as f64;
                match end.warmth {
                    Warmth::BeganLoad => {
                        place.copies = 1;
                        loaded = Some((took - expected).max(took * GUESS_OF_TARGET));
                    }
                    Warmth::Stood | Warmth::Unknown if !execution.queued => {
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
                        if job.work.is_some_and(|hint| hint > 0) {
                            // A ratio of sums, as the mean of ratios is ruled by jobs hinted far too low.
                            let stays = 1.0 - NEWEST / 4.0;
                            self.hinted = (stays * self.hinted.0 + calm, stays * self.hinted.1 + unscaled);
                        }
                        // What a worker gets in flight grows while answers fit their target, else shrinks.
                        let (late, crowding) =
                            (function.work * worker.pace * IN_TIME > target, worker.crowding(now));
                        // Guards against heavy jobs that look like a crowd where nothing is told to wait.
                        let queues = worker.report.queued.is_none_or(|queued| queued > 0.0);
                        if (crowding > CROWDED && queues) || late {
                            worker.cut_limit(now, expected);
                        } else if crowding <= PRESSED && f64::from(worker.own + 1) > worker.limit / 2.0 {
                            worker.limit += GROWS / worker.limit;
                        }
                    }
                    _ => {}
                }
            }
            End::Full => {
                place.barred = now + expected as Micros;
                worker.barred = now + expected as Micros / 4;
                worker.cut_limit(now, expected);
            }
            End::Miss if end.warmth != Warmth::LoadFailed => {
                (place.copies, place.loading, place.absent) = (0, false, now + function.load as Micros);
            }
            End::Miss | End::Error if end.warmth == Warmth::LoadFailed => {
                (place.copies, place.loading, place.barred) = (0, false, now + expected as Micros);
            }
            // Guards against a worker that fails all it gets at once, and so always has the fewest in
            // flight: it is left alone ever longer. A single function that fails may itself be at fault.
            End::Error => {
                (place.loading, place.barred) = (false, now + expected as Micros);
                if worker.failures != 1 || worker.failed != job.function {
                    worker.failures = (worker.failures + 1).min(MOST_FAILURES);
                }
                let alone =
                    if worker.failures > 1 { expected * f64::from(1 << worker.failures) / 2.0 } else { 0.0 };
                (worker.failed, worker.barred) = (job.function, worker.barred.max(now + alone as Micros));
            }
            // Waited for a load that did not come. Guards against load queues that nothing tells of.
            End::TimedOut if place.copies == 0 => {
                (place.loading, place.absent) = (false, now + function.load as Micros);
                loaded = Some(end.latency as f64);
            }
            _ => place.loading = false,
        }
        self.functions.put(job.function, end.worker, place);
        loaded.into_iter().for_each(|took| self.learn_load(job.function, took));
    }

    fn record_order(&mut self, end: &OrderEnd) {
        let (now, keep) = (self.now, self.terms.keep_alive);
        if !matches!(end.end, End::TimedOut | End::NoConnection | End::Reset) {
            self.workers.entry(end.worker).and_modify(|w| w.hear(now));
        }
        let Some(function) = self.functions.get_mut(end.function) else { return };
        let mut place = function.place(end.worker);
        let wanted = place.order.take().map_or(0, |(_, copies)| copies);
        place.copies = end.copies;
        if end.copies > 0 {
            let lasts = if wanted > 0 { keep } else { keep / ASKED_COPY_LASTS };
            place.until = place.until.max(now + lasts);
        }
        let found = if wanted == 0 && end.copies > 0 { EARNS_ASK } else { 0.0 };
        self.todo.extend(&function.waiting);
        if wanted > 0 && end.end == End::Finished {
            function.warm_last = Some(end.worker);
            if end.latency as f64 > function.load * GUESS_OF_TARGET {
                self.learn_load(end.function, end.latency as f64);
            }
        } else if wanted > 0 {
            place.barred = now + function.work as Micros;
            // Guards against a store that turns loads away: what failed for several functions is not ordered
            // again at once by all. A single function that fails may itself be at fault.
            let load = function.load;
            if self.load_failed.replace(end.function).is_some_and(|other| other != end.function) {
                self.loads_again = now + (load * (0.5 + self.chance() as f64 / u64::MAX as f64)) as Micros;
            }
        }
        self.functions.put(end.function, end.worker, place);
        self.earn_ask(found);
    }

    /// A budget of asks that answers earn: a function that stands nowhere costs no more than others pay.
    fn earn_ask(&mut self, earned: f64) {
        self.asks = (self.asks + earned).min((self.calls * EARNS_ASK).max(FEW_HOMES as f64));
    }

    fn learn_load(&mut self, id: FunctionId, took: f64) {
        let pace = self.load_pace_now();
        let Some(function) = self.functions.get_mut(id) else { return };
        self.load_pace = pace + NEWEST * ((took / function.load.max(1.0)).min(MOST_PACE) - pace);
        self.load_pace_at = self.now;
        let calm = took / self.load_pace;
        function.load += NEWEST / 4.0 * (calm - function.load);
        self.load += if self.load > 0.0 { NEWEST / 4.0 * (calm - self.load) } else { calm };
    }

    fn end_job(&mut self, id: JobId) {
        let Some(held) = self.jobs.remove(&id) else { return };
        self.due.remove(&(held.job.due, Due::JobEnds(id)));
        self.todo.remove(&id);
        self.waiting.remove(&id);
        let Some(function) = self.functions.get_mut(held.job.function) else { return };
        function.waiting.remove(&id);
        for execution in held.executions.iter().filter(|e| e.out) {
            let place = self.functions.place(held.job.function, execution.worker);
            let own = place.own.saturating_sub(1);
            self.functions.put(held.job.function, execution.worker, Place { own, ..place });
        }
    }

    // ---- What is expected

    /// What a job takes when calm: the geometric mean of what its function (its workload, before any answer)
    /// takes and what it is hinted to, both being rough, scaled by what hinted jobs took.
    fn work_of(&self, job: &Job) -> f64 {
        let scale = if self.hinted.1 > 0.0 { self.hinted.0 / self.hinted.1 } else { 1.0 };
        self.unscaled_work(job) * if job.work.is_some_and(|hint| hint > 0) { scale } else { 1.0 }
    }
    fn usual_work(&self, id: WorkloadId) -> f64 {
        self.usual.get(&id).map_or(self.target(id) as f64 * GUESS_OF_TARGET, |(work, _)| *work)
    }
    fn unscaled_work(&self, job: &Job) -> f64 {
        let learned = self.functions.get(job.function).filter(|f| f.answered);
        let learned = learned.map_or(self.usual_work(job.workload), |f| f.work);
        job.work.filter(|hint| *hint > 0).map_or(learned, |hint| (learned * hint as f64).sqrt())
    }
    fn inflow_now(&self) -> f64 {
        self.inflow * (-(self.now - self.inflow_at) as f64 / self.terms.fall).exp()
    }
    fn look_over_fleet(&mut self) {
        let now = self.now;
        // Those heard of last stand for all: the fleet may be far larger than what this router hears of.
        let last = self.told.iter().rev().filter_map(|(_, w)| self.workers.get(w)).filter(|w| w.ready());
        let last: Vec<&Worker> = last.take(HEARD_LAST).collect();
        let typical = |figure: &dyn Fn(&Worker) -> f64| middle(last.iter().map(|w| figure(w)).collect());
        let (pace, crowding) = (typical(&|w| w.pace_now(now)), typical(&|w| w.crowding(now)));
        let loads = typical(&|w| w.report.loads.unwrap_or(0.0));
        let size = |w: &Worker| w.row.size.max(f64::MIN_POSITIVE);
        let held = last.iter().filter(|w| w.report_at > 0);
        let held = middle(held.filter_map(|w| w.report.held.map(|held| held / size(w))).collect());
        // The middle one's, as most answers come from the crowded; newest, or the end is heard of late.
        let fresh = last.iter().filter(|w| w.report_at > (now - REPORT_FADES_US as Micros).max(0));
        let told =
            fresh.filter_map(|w| Some((now - w.report_at, w.waiting_for_cores(!self.terms.answers_miss)?)));
        let told: Vec<(Micros, f64)> = told.collect();
        let (few, fresh) = ((last.len() as f64).sqrt().max(FEW_REPORTS), self.terms.tightest);
        let newest = told.iter().enumerate().take_while(|(n, (age, _))| (*n as f64) < few || *age < fresh);
        let others = self.terms.routers / self.listed.len().max(1) as Micros;
        self.heard = told.first().is_some_and(|(age, _)| *age < fresh * others.max(1));
        self.waits = if told.is_empty() { 0.0 } else { middle(newest.map(|(_, (_, part))| *part).collect()) };
        self.middle = Middle { pace, crowding, loads, held };
        let workers = &self.workers;
        let ill = |w: &Worker| w.suspect && w.row.state == WorkerState::Ready;
        self.suspects.retain(|w| workers.get(w).is_some_and(ill));
        // Where most workers look ill, this router's own view is the likelier cause; the rest would drown.
        self.most_suspect = self.suspects.len() * 2 > self.listed.len();
    }
    fn pressed(&self) -> bool {
        self.middle.crowding > PRESSED || self.waits > WAITING
    }
    fn load_pace_now(&self) -> f64 {
        faded(self.load_pace, 1.0, self.now - self.load_pace_at, PACE_FADES_US)
    }
    /// Guards against a crowded or stopped store and load queues: loads take longer than told or usual.
    fn loads_pressed(&self) -> bool {
        self.load_pace_now() > PRESSED || self.middle.loads > LOADS_WAIT
    }
    /// Guards against what this router cannot see, the others' jobs: a worker that reports far more than the
    /// middle one for its size, was full of late, owes a late answer with no report since, or is slow.
    fn crowded(&self, w: &Worker) -> bool {
        let late = w.out.iter().any(|(_, late, ..)| *late <= self.now && w.report_at < *late);
        let uneven = w.held_now(self.now, self.middle.held) > UNEVEN * self.middle.held;
        let pace = w.pace_now(self.now);
        late || uneven || w.jammed > self.now || pace > (CROWDED * w.calm).min(SLOW * self.middle.pace)
    }
    /// It last reported that much of what it holds waits, or reports nothing of that.
    fn queues(&self, w: &Worker) -> bool {
        w.waiting(!self.terms.answers_miss).is_none_or(|part| part > WAITING)
    }
    /// Own jobs in flight below what it bears; guards against overload of any cause.
    fn has_room(&self, w: &Worker, share: f64) -> bool {
        f64::from(w.own) < w.limit * share && w.barred <= self.now
    }
    /// By its workload's work: what a function was seen to take under pressure would shed it for ever.
    fn earning(&self, job: &Job) -> f64 {
        let usual = self.usual_work(job.workload);
        let work = job.work.filter(|hint| *hint > 0).map_or(usual, |hint| (usual * hint as f64).sqrt());
        self.workload(job.workload).importance
            / if self.terms.importance_by_work { 1.0 } else { work.max(1.0) }
    }
    /// How many homes a function needs by its share of this router's jobs; one call asks for no more.
    fn width(&self, function: &Function) -> usize {
        let fleet = self.listed.len();
        let sure = (function.calls - 1.0).max(0.0);
        let part = if self.terms.answers_miss { HOME_PART / 2.0 } else { HOME_PART };
        let wanted = sure / self.calls.max(1.0) * fleet as f64 / part;
        (wanted.ceil() as usize).max(FEW_HOMES).min(fleet)
    }
    /// A draw by which the lowest of several workers is each in proportion to its size over what it holds.
    fn drawn(&self, by: u64, w: &Worker) -> f64 {
        let size = w.row.size.max(f64::MIN_POSITIVE);
        let held = 1.0 + w.held_now(self.now, self.middle.held);
        -(tie(FunctionId(by), w.row.worker) as f64 / u64::MAX as f64).ln() / size * held
    }
    /// A function's homes where a job may go, by draws that favour large workers: all routers find the same
    /// ones and share copies. Guards against a pass over a large fleet for each job: the next is found when
    /// it is needed. Only where hardly any may be called (a keyed job's group) a further try looks at all.
    fn homes<'a>(&'a self, held: &'a Held, key: u64, work: f64) -> impl Iterator<Item = &'a Worker> + 'a {
        let fits = move |w: &&Worker| self.may_get(held, w, work);
        let drawn = move || self.listed.drawn(key).take(2 * HOMES * LOOKS);
        let drawn = move || drawn().filter_map(|w| self.workers.get(&WorkerId(w))).filter(fits);
        let few = !held.executions.is_empty() && drawn().nth(FEW_HOMES - 1).is_none();
        drawn().chain(self.workers.values().filter(move |w| few && fits(w)))
    }
    fn may_get(&self, held: &Held, w: &Worker, work: f64) -> bool {
        self.may_go(held, w) && self.cold_room(w, held.job.id, work)
    }
    /// A copy is believed while jobs run on it and, after the last, for the keep-alive.
    fn stands(&self, place: &Place) -> bool {
        place.copies > 0 && (place.own > 0 || self.now < place.until)
    }

    // ---- What the rules allow

    /// Rule 4: work that may go to a cold worker now: its cold part of an even share of what is taken here,
    /// saved up over no more than the rule's window; all together stay near what it can do. What is saved up
    /// for a part only goes by chance, or many routers would each save up a job and send them together.
    fn cold_room(&self, to: &Worker, job: JobId, work: f64) -> bool {
        let drawn = || hash_of((self.seed, to.row.worker, job)) as f64 / u64::MAX as f64;
        self.cold_budget(to).is_none_or(|budget| budget > drawn() * work)
    }
    fn cold_budget(&self, worker: &Worker) -> Option<f64> {
        if worker.row.started <= 0 || self.now >= worker.warm {
            return None;
        }
        let (now, span, fall) = (self.now, self.terms.cold, self.terms.fall);
        let age = (now - worker.row.started).max(0);
        let from = self.terms.cold_from;
        let part = from + (1.0 - from) * age as f64 / span as f64;
        let share = worker.row.size / self.listed.total().max(worker.row.size);
        let rate = self.inflow_now() * share * part * COLD_CAUTION;
        let saved = worker.budget + rate * (now - worker.budget_at).max(0) as f64;
        Some(saved.min(rate * fall))
    }

    /// Rules 2 and 3, and health: whether a further execution of this job may go there.
    fn may_go(&self, held: &Held, to: &Worker) -> bool {
        let here = |e: &Execution| e.out && e.worker == to.row.worker;
        let healthy = !to.suspect || self.most_suspect;
        if to.row.state != WorkerState::Ready || !healthy || held.executions.iter().any(here) {
            return false;
        }
        let Some(first) = held.executions.iter().find(|e| e.may_have_run) else { return true };
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
    fn order(&mut self, w: WorkerId, id: FunctionId, copies: u32, out: &mut impl Decisions) -> bool {
        if !self.terms.orders {
            return false;
        }
        let window = self.terms.load_window;
        drop_until(&mut self.taken, self.now - window);
        drop_until(&mut self.ordered, self.now - window);
        let most = self.terms.load_free + self.terms.load_share * self.taken.len() as f64;
        if window > 0 && (self.ordered.len() + 1) as f64 > most {
            return false;
        }
        let place = self.functions.place(id, w);
        if place.order.is_some() || (place.copies == 0 && self.now < self.loads_again) {
            return false;
        }
        self.functions.put(id, w, Place { order: Some((self.now, copies)), ..place });
        self.ordered.push_back(self.now);
        out.hold(w, id, copies);
        true
    }

    // ---- Decisions

    fn place(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let (job, came, tries) = (held.job, held.came, held.executions.len());
        let pending = held.executions.iter().filter(|e| e.out).count();
        let doubles = self.terms.second_copies && self.workload(job.workload).effect == Effect::Restartable;
        if pending > 1 || (pending == 1 && !doubles) {
            return;
        }
        // A job is taken only if predicted in time; when pressed, in time means by its start target, as a
        // late answer earns little and makes the next one late. This guards against any overload. A client's
        // repeat has used up part of its target before: what is gone of its limit, and half of it at least.
        let work = self.work_of(&job);
        let usual = work * self.middle.pace;
        let left = job.due - self.now;
        let whole = self.target(job.workload);
        let patience = self.workload(job.workload).patience;
        let fresh = if job.repeat { (whole - patience + job.due - came).clamp(0, whole / 2) } else { whole };
        let target = (came + fresh - self.now).min(left);
        // Where workers answer a miss, who waits for a load waits here and is in nobody's way.
        let narrow = self.pressed() || (self.loads_pressed() && !self.terms.answers_miss);
        let limit = if narrow { target } else { left };
        let hopeless = left <= usual as Micros || tries >= self.terms.max_executions as usize;
        // Guards against overload that no single worker shows: where all are pressed, the part taken follows
        // from late and full answers, cheap jobs go first; one is taken where nobody was heard of for long.
        let luck = hash_of((self.seed, id)) as f64 / u64::MAX as f64;
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
        self.functions.lapse(job.function, draw, COPIES, |p| p.own == 0 && p.until <= now);
        // Under overload what earns least for its work goes first: it may not fill a worker's last places.
        let share = if dear { 1.0 } else { CHEAP_SHARE };
        let Some(held) = self.jobs.get(&id) else { return };
        let Some(function) = self.functions.get(job.function) else { return };
        let (lanes, load) = (function.lanes, function.load * self.load_pace_now());
        if tries > 0 && !self.workers.values().any(|w| self.may_go(held, w)) {
            return self.give_up(id, out);
        }
        // Of the many copies of a hot function some idle ones drawn, and those with the fewest own jobs.
        let warm =
            function.first(draw, COPIES).filter_map(|w| Some((self.workers.get(&w)?, function.place(w))));
        let may_get = |(w, p): &(&Worker, Place)| self.stands(p) && self.may_get(held, w, work);
        let warm: Vec<(&Worker, Place)> = warm.filter(may_get).collect();
        let time_at = |w: &Worker| work * w.pace_now(self.now);
        let open = |(w, p): &&(&Worker, Place)| {
            p.barred <= self.now && self.has_room(w, share) && time_at(w) as Micros <= limit
        };
        let far = |w: &Worker| w.row.zone != self.terms.near;

        let width = self.width(function);
        let parts = if width > 2 * HOMES { width.div_ceil(HOMES) } else { 1 };
        let width = width.div_ceil(parts);
        // In a small fleet, fewer: to look at most of it for a copy costs more than it finds.
        let wide = width.max((self.listed.len() as f64).sqrt().ceil() as usize).min(2 * HOMES);
        let homes = Lazily::new(self.homes(held, hash_of((job.function, draw % parts as u64)), work));
        let place_at = |w: &Worker| function.place(w.row.worker);

        // Exception: a function's homes are presumed warm where the others, sending as this router does, call
        // each many times and a load would end in time as well. Guards against each router's knowing little
        // where there are many. Homes of a function called often here are asked instead.
        let others = (self.terms.routers - 1) as f64 * function.calls / parts as f64;
        let often = others >= (width * width) as f64;
        let spreads = width > FEW_HOMES || warm.iter().all(|(w, _)| self.crowded(w));
        // Pressed, a wrong guess costs more than a believed copy's crowd.
        let believes = warm.iter().filter(open).any(|(_, p)| p.own < lanes * p.copies);
        let presumes = often && spreads && !(believes && self.pressed());
        // A crowded home where jobs wait does not count: the next one stands in, at most one for each where a
        // wrong guess costs a load. Guards against all routers filling a hot function's first two homes.
        let most = if self.terms.answers_miss { wide } else { wide.min(2 * width) };
        let mut open_homes = 0;
        let maybe = homes.first(if presumes { most } else { 0 }).take_while(|w| {
            open_homes += usize::from(!(self.crowded(w) && self.queues(w)));
            open_homes <= width
        });
        let wrong_guess_fits = self.terms.answers_miss || (load + work) as Micros <= left;
        let maybe = maybe.map(|w| (w, place_at(w))).filter(|(w, p)| {
            let may_stand = p.absent <= self.now && !p.loading && !self.stands(p);
            may_stand && wrong_guess_fits && self.cold_budget(w).is_none()
        });
        let presumed: Vec<(&Worker, Place)> = maybe.map(|(w, p)| (w, Place { copies: 1, ..p })).collect();

        // Warm-first: own zone standing for the edge, fewest own jobs in flight, ties random in proportion to
        // a worker's size and to how little it reports to hold: with hundreds of routers most are ties.
        let free = warm.iter().chain(&presumed).filter(open).filter(|(_, p)| p.own < lanes * p.copies);
        let warmest = free
            .map(|(w, _)| *w)
            .min_by_key(|w| ((self.crowded(w), far(w), w.own), self.drawn(draw, w).to_bits()));
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
            let most = if often && !self.loads_pressed() { most } else { 0 };
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
        let waits = warm.iter().filter(open).map(|(w, p)| ((time_at(w) * turns(p)) as Micros, w.row.worker));
        let shortest = waits.min().filter(|(wait, _)| *wait < target && (*wait as f64) < load + work);

        // Load on the emptiest ready worker, homes and the own zone first; ties by the order of homes.
        let loadable = homes.first(2 * HOMES).enumerate().filter(|(_, w)| {
            let place = place_at(w);
            let may_stand = self.terms.orders || place.absent <= self.now;
            may_stand && place.barred <= self.now && place.order.is_none() && self.has_room(w, share)
        });
        let emptiest = loadable
            .min_by_key(|(n, w)| (self.crowded(w), if *n < width { 0 } else { *n }, far(w), w.own, *n));
        let emptiest = emptiest.map(|(_, w)| (w.row.worker, time_at(w)));
        let ahead = function.waiting.range(..id).count();
        let again = self.terms.orders && function.calls > 1.0 && underway == 0 && !self.loads_pressed();

        // Exception: before a load, ask the function's other homes; other routers' loads are not told. That
        // where it would load tells by its answer, and is asked only where a load there would end too late.
        let load_fits = |there: &(WorkerId, f64)| limit >= (load + there.1) as Micros;
        let untold = emptiest.filter(load_fits).map(|(there, _)| there);
        let unsure = homes.first(wide).filter(|w| !self.stands(&place_at(w))).map(|w| w.row.worker);
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
        let Some((w, _)) = emptiest else { return self.wait_or_give_up(id, out) };
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
            self.functions.put(job.function, w, Place { loading: true, ..place });
        }
        self.execute(id, w, work + load, out);
    }

    /// Asks the homes where no copy is believed whether one stands there; true while answers are due.
    fn ask(&mut self, id: FunctionId, unsure: &[WorkerId], out: &mut impl Decisions) -> bool {
        let (now, keep) = (self.now, self.terms.keep_alive);
        let wait = self.terms.tightest / ASKS_A_TARGET;
        let Some(function) = self.functions.get_mut(id) else { return false };
        if function.asked.is_none_or(|at| now >= at + (keep / ASKS_A_KEEP).max(wait)) {
            (function.asked, function.asking) = (Some(now), now + wait);
            for w in unsure {
                let place = self.functions.place(id, *w);
                if place.order.is_none() && !place.loading && self.asks >= 1.0 {
                    self.asks -= 1.0;
                    self.functions.put(id, *w, Place { order: Some((now, 0)), ..place });
                    out.hold(*w, id, 0);
                }
            }
        }
        let Some(function) = self.functions.get(id) else { return false };
        let is_ask = |w: &WorkerId| function.place(*w).order.is_some_and(|(_, copies)| copies == 0);
        now < function.asking && function.open.iter().any(is_ask)
    }

    fn wait(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).map(|h| h.job) else { return };
        if let Some(function) = self.functions.get_mut(job.function) {
            function.waiting.insert(id);
            self.waiting.insert(id);
        }
    }

    /// Waits for room while the job can still be in time, and gives it up at once when it cannot.
    fn wait_or_give_up(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let expected = (self.work_of(&held.job) * self.middle.pace * IN_TIME) as Micros;
        if self.now + expected < held.came + self.target(held.job.workload) {
            return self.wait(id);
        }
        self.give_up(id, out);
    }

    fn execute(&mut self, id: JobId, w: WorkerId, expected: f64, out: &mut impl Decisions) {
        let now = self.now;
        let saved = self.workers.get(&w).and_then(|w| self.cold_budget(w));
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let Some(function) = self.functions.get_mut(held.job.function) else { return };
        let Some(worker) = self.workers.get_mut(&w) else { return };
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
        let sent =
            Execution { worker: w, sent: now, out: true, may_have_run: true, queued, ..Execution::default() };
        held.executions.push(sent);
        out.execute(id, w, held.job.due - now);
        self.further = (self.further - charged).max(0.0);
    }

    /// The final answer of a job that is not going to be in time, at once, unless an execution is out.
    fn give_up(&mut self, id: JobId, out: &mut impl Decisions) {
        if !self.jobs.get(&id).is_some_and(|held| held.executions.iter().any(|e| e.out)) {
            self.end_now(id, out);
        }
    }

    /// The final answer to a job that has not finished: pushed back where that is allowed.
    fn end_now(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let (job, may_have_run) = (held.job, held.executions.iter().any(|e| e.may_have_run));
        let harmless = match self.workload(job.workload).effect {
            Effect::Restartable => true,
            Effect::Fingerprinted => !may_have_run || self.workload(job.workload).group == Group::All,
            Effect::RunOnce => !may_have_run,
        };
        if harmless {
            // Pressed, the longer the less is taken; else a load's time. Drawn, lest they come back together.
            let load = self.functions.get(job.function).map_or(0.0, |f| f.load * self.load_pace_now());
            let shed = self.target(job.workload) as f64 * (1.0 - self.taking) / 2.0;
            let wait = if self.pressed() { shed } else { load }.max(self.work_of(&job));
            let wait = (wait * (0.5 + self.chance() as f64 / u64::MAX as f64)) as Micros;
            out.push_back(id, wait.min(self.terms.max_retry_after));
        } else {
            out.kill(id);
        }
        self.end_job(id);
    }

    /// Guards against workers that take work and answer nothing: hung, cut off, dead. One that owes for long
    /// is checked; one that leaves that unanswered gets nothing new and is checked on, ever less often.
    fn look_into_silence(&mut self, id: WorkerId, out: &mut impl Decisions) {
        let (now, wait) = (self.now, self.terms.tightest / ASKS_A_TARGET);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let owes = worker.out.first().is_some_and(|(sent, ..)| worker.heard <= *sent);
        let unanswered = worker.checked.map(|at| at + wait);
        if worker.row.state != WorkerState::Ready || !(owes || worker.suspect) || unanswered > Some(now) {
            return;
        }
        // Where nothing may be asked silence proves nothing, and who failed is tried again by the next job.
        if unanswered.is_some() && !self.terms.probes && !self.terms.orders {
            (worker.suspect, worker.checked) = (false, None);
            return;
        }
        worker.suspect |= unanswered.is_some();
        if worker.suspect {
            self.suspects.insert(id);
        }
        (worker.checked, worker.checks) = (Some(now), worker.checks + 1);
        self.due.insert((now + wait * Micros::from(worker.checks.min(10)), Due::Silence(id)));
        let stuck = if worker.suspect { worker.out.clone() } else { BTreeSet::new() };
        if self.terms.probes {
            out.probe(id);
        } else if self.terms.orders {
            let places = self.functions.at(id).map(|f| (f, self.functions.place(f, id)));
            let unasked = places.into_iter().find(|(_, place)| place.order.is_none());
            if let Some((f, place)) = unasked {
                self.functions.put(f, id, Place { order: Some((now, 0)), ..place });
                out.hold(id, f, 0);
            }
        }
        stuck.iter().for_each(|(.., job, n)| self.move_away(*job, *n, out));
    }

    /// A further execution for a job that is stuck at a silent worker, if the rules allow one and the time
    /// left exceeds what it is expected to take: beside the first where allowed, else in its place.
    fn move_away(&mut self, id: JobId, number: usize, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let job = held.job;
        let in_time = job.due - self.now > self.work_of(&job) as Micros;
        let elsewhere = self.workers.values().any(|w| self.may_go(held, w));
        let doubles = self.terms.second_copies && self.workload(job.workload).effect == Effect::Restartable;
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let pending = held.executions.iter().filter(|e| e.out).count();
        let Some(execution) = held.executions.get_mut(number).filter(|e| e.out && !e.cancelled) else {
            return;
        };
        if pending > 1 || !in_time || !elsewhere {
            return;
        }
        if doubles {
            self.todo.insert(id);
        } else if self.terms.cancels {
            execution.cancelled = true;
            out.cancel(id, number);
        }
    }

    // ---- The design's options

    /// Renews copies whose set keep-alive is longer than the worker's, and holds this router's share of the
    /// pre-warmed count where the function was last found warm, else at a worker hashed from it and our
    /// number. Idle copies of one not called for the set time are dropped, once each. All are off unless set.
    fn keep_copies(&mut self, id: FunctionId, out: &mut impl Decisions) {
        let keep = self.terms.keep_alive;
        let longer = option(&self.settings, id, "keep-alive-us", keep);
        let (me, routers) = (self.terms.me, self.terms.routers.max(1));
        let wanted = option(&self.settings, id, "pre-warmed", 0);
        let share = wanted / routers + Micros::from(me < wanted % routers);
        let Some(function) = self.functions.get(id) else { return };
        let drop_after = option(&self.settings, id, "drop-after-us", 0);
        if !self.terms.orders || (longer <= keep && wanted <= 0 && drop_after <= 0) {
            return;
        }
        let is_ready = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.ready());
        let warm = function.places.iter().filter(|(_, p)| p.copies > 0).map(|(w, _)| *w);
        let warm: Vec<WorkerId> = warm.filter(is_ready).collect();
        let renews = longer > keep && self.now < function.last_job + longer;
        let hashed = self.listed.drawn(hash_of((id, me))).map(WorkerId).take(2 * HOMES * LOOKS);
        let last = function.warm_last.into_iter().chain(hashed).find(is_ready);
        self.due.insert((self.now + (keep as f64 * RENEW_AT) as Micros, Due::Keep(id)));
        if let Some(w) = last.filter(|_| share > 0) {
            self.order(w, id, share.min(16) as u32, out);
        }
        for w in warm.into_iter().filter(|_| renews) {
            self.order(w, id, 1, out);
        }
        let Some(function) = self.functions.get(id) else { return };
        if drop_after > 0 && share == 0 && self.now >= function.last_job + drop_after {
            let idle = function.places.iter().filter(|(_, p)| p.copies > 0 && p.own == 0);
            for (w, place) in idle.map(|(w, p)| (*w, *p)).collect::<Vec<_>>() {
                self.functions.put(id, w, Place { copies: 0, ..place });
                out.unload(w, id);
            }
        }
    }
}
