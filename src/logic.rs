//! Every decision of sanddrum is in this file. The host makes one `Router` an instance and calls `round` once a
//! round with all that came in (`Round`) and a writer (`Decisions`); both are described in `lib.rs`. All news is
//! recorded first, the worker list before the rest, and only then is anything decided.
//!
//! The ordinary path is the design page's: a job goes to the believed-warm worker with the fewest own jobs in
//! flight whose lanes have room, own zone first; failing that it loads on the ready worker with the fewest. Each
//! departure is marked "Exception" below and told in docs/design.md with when it acts.

use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A sweep takes what waits and what is due up again this often in the tightest start target.
const SWEEPS_A_TARGET: Micros = 20;
/// A worker answers an ask or a probe, which never waits for work, well within this part of that target.
const ASKS_A_TARGET: Micros = 10;
/// Before anything is learned, work takes this part of the start target and a load the whole of it.
const GUESS_OF_TARGET: f64 = 0.25;
/// Weight of the newest figure in a running mean: about the last ten count.
const NEWEST: f64 = 0.2;
/// Silence is looked into once an answer is this many times later than expected.
const SILENCE: f64 = 2.0;
/// A worker this many times slower than the same work elsewhere counts as having no room.
const SLOW: f64 = 2.5;
/// The pace seen at a worker is forgotten at this rate, so that a slow one is tried again.
const PACE_FADES_US: f64 = 2e6;
/// A cold worker gets this part of what it would bear in proportion; the rest is for bursts and chance.
const COLD_CAUTION: f64 = 0.7;
/// A function is asked for again after this part of the keep-alive, as copies come and go no faster.
const ASKS_A_KEEP: Micros = 4;
/// One in so many ready workers is a function's home, by a hash of function and worker: it is asked for and loaded
/// there first, so that routers that know nothing of each other share copies.
const HOME_PART: usize = 3;
/// What an answer to an ask says may already be half way to lapsing.
const ASKED_COPY_LASTS: Micros = 2;
/// Workers count as pressed once jobs take this many times what they take when calm.
const PRESSED: f64 = 1.5;
/// One answer counts for no more than this pace: a job that was itself long tells little of its worker.
const MOST_PACE: f64 = 10.0;
/// A worker this far from calm holds more than it has cores for, and copies for each of them.
const CROWDED: f64 = 2.0;
/// A job is in time if this many times its expected time fits: times scatter about as widely as their mean.
const IN_TIME: f64 = 2.0;
/// Own jobs in flight that a worker is trusted with before anything is seen of it.
const FIRST_LIMIT: f64 = 8.0;
/// What is left of a worker's limit once answers from it are too slow for their start targets.
const CUT: f64 = 0.8;
/// What jobs take when calm is the least mean seen; it is let rise this slowly, should the work itself change.
const CALM_RISES_US: f64 = 3e7;
/// Copies are renewed at this part of their life.
const RENEW_AT: f64 = 0.8;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    JobEnds(JobId),
    Silence(WorkerId),
    Keep(FunctionId),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Restartable,
    Fingerprinted,
    RunOnce,
}

struct Worker {
    row: WorkerRow,
    own: u32,
    heard: Micros,
    /// Executions out here, oldest first, with when an answer was expected.
    out: BTreeSet<(Micros, JobId, usize)>,
    /// What jobs take here over what they are expected to: of late, in the long run, and when calm.
    pace: f64,
    pace_at: Micros,
    long: f64,
    calm: f64,
    seen: f64,
    /// Own jobs in flight that it bears in time; cut at most once in the time of a job.
    limit: f64,
    cut: Micros,
    barred: Micros,
    report: Report,
    /// A check for life is out since then.
    checked: Option<Micros>,
    /// Silent, reset or unreachable; nothing new goes there until it is heard again.
    suspect: bool,
    checks: u32,
    /// How long idle copies stand here, as found; less than the keep-alive where loads need the room.
    lasts: f64,
    /// Work that may still be sent while cold.
    budget: f64,
    budget_at: Micros,
}

impl Worker {
    fn learn_pace(&mut self, now: Micros, seen: f64) {
        let passed = now - self.pace_at;
        self.pace = faded(self.pace, self.calm, passed);
        self.pace += NEWEST / 2.0 * (seen - self.pace);
        (self.pace_at, self.seen) = (now, self.seen + 1.0);
        self.long += (seen - self.long) * (1.0 / self.seen).max(NEWEST / 10.0);
        let risen = self.calm * (1.0 + passed as f64 / CALM_RISES_US);
        self.calm = if self.seen * NEWEST < 4.0 { self.long } else { risen.min(self.long) };
    }
    fn pace_now(&self, now: Micros) -> f64 {
        faded(self.pace, self.calm, now - self.pace_at)
    }
    /// How many times longer than when calm jobs take here of late.
    fn crowding(&self, now: Micros) -> f64 {
        self.pace_now(now) / self.calm
    }
    fn cut_limit(&mut self, now: Micros, work: f64) {
        if now >= self.cut + (work * self.pace) as Micros {
            (self.cut, self.limit) = (now, (self.limit * CUT).max(1.0));
        }
    }
    fn has_room(&self, now: Micros) -> bool {
        f64::from(self.own) < self.limit && self.barred <= now
    }
}

#[derive(Clone, Copy, Default)]
struct Place {
    copies: u32,
    until: Micros,
    own: u32,
    barred: Micros,
    /// An order is out since then, for so many copies.
    order: Option<(Micros, u32)>,
    /// A load by our own job is under way.
    loading: bool,
}

struct Function {
    lanes: u32,
    work: f64,
    load: f64,
    asked: Micros,
    asking: Micros,
    places: BTreeMap<WorkerId, Place>,
    waiting: BTreeSet<JobId>,
    last_job: Micros,
    warm_last: Option<WorkerId>,
}

struct Execution {
    worker: WorkerId,
    sent: Micros,
    out: bool,
    may_have_run: bool,
    cancelled: bool,
    /// How long the copy that it was sent to had been idle, where one was believed.
    idle: Option<Micros>,
    /// It was sent to wait for a lane, so its time tells nothing of the worker.
    queued: bool,
}

struct Held {
    job: Job,
    came: Micros,
    executions: Vec<Execution>,
}

pub struct Router {
    settings: Settings,
    seed: u64,
    draws: u64,
    now: Micros,
    zone: ZoneId,
    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    jobs: BTreeMap<JobId, Held>,
    /// All due times but the sweep's.
    due: BTreeSet<(Micros, Due)>,
    sweep: Micros,
    wake: Micros,
    /// Jobs to be placed this round.
    todo: BTreeSet<JobId>,
    /// Work taken a microsecond, and when that was last brought up to date.
    inflow: f64,
    inflow_at: Micros,
    /// Running means of what hinted jobs took and of their hints.
    hinted: (f64, f64),
    load: f64,
    /// Loads of late, as a multiple of what they usually take.
    load_pace: f64,
    load_pace_at: Micros,
    taken: VecDeque<Micros>,
    ordered: VecDeque<Micros>,
}

impl Router {
    pub fn new(seed: u64, settings: &Settings) -> Self {
        Router {
            zone: ZoneId(settings.number("zone").unwrap_or(0.0) as usize),
            settings: settings.clone(),
            seed,
            draws: 0,
            now: 0,
            workers: BTreeMap::new(),
            functions: BTreeMap::new(),
            jobs: BTreeMap::new(),
            due: BTreeSet::new(),
            sweep: 0,
            wake: 0,
            todo: BTreeSet::new(),
            inflow: 0.0,
            inflow_at: 0,
            hinted: (0.0, 0.0),
            load: 0.0,
            load_pace: 1.0,
            load_pace_at: 0,
            taken: VecDeque::new(),
            ordered: VecDeque::new(),
        }
    }

    pub fn round(&mut self, now: Micros, round: &Round, out: &mut impl Decisions) {
        self.now = now;
        round.lists.iter().for_each(|list| self.record_list(list));
        round.jobs.iter().for_each(|job| self.record_job(job));
        round.ends.iter().for_each(|end| self.record_end(end));
        round.orders.iter().for_each(|end| self.record_order(end));
        round.probes.iter().for_each(|end| self.record_probe(end));
        round.left.iter().for_each(|job| self.end_job(*job));
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, due)) = self.due.pop_first() {
                self.fall_due(due, out);
            }
        }
        if now >= self.sweep {
            self.sweep = now + self.tightest_target() / SWEEPS_A_TARGET;
            self.todo.extend(self.functions.values().flat_map(|f| f.waiting.iter()));
        }
        while let Some(job) = self.todo.pop_first() {
            self.place(job, out);
        }
        let next = self.due.first().map_or(self.sweep, |(at, _)| self.sweep.min(*at)).max(now + 1);
        if self.wake <= now || next < self.wake {
            self.wake = next;
            out.wake_at(next);
        }
    }

    // ---- Settings, as they are needed

    fn span(&self, name: &str, otherwise: Micros) -> Micros {
        self.settings.number(name).map_or(otherwise, |n| n as Micros)
    }
    fn workload(&self, id: WorkloadId, name: &str) -> Option<f64> {
        self.settings.number(&format!("workloads.{}.{name}", id.0))
    }
    fn target(&self, id: WorkloadId) -> Micros {
        self.workload(id, "start-target-us").map_or(1_000_000, |n| n as Micros)
    }
    fn tightest_target(&self) -> Micros {
        let count = self.settings.number("workloads.count").unwrap_or(0.0) as usize;
        (0..count).map(|n| self.target(WorkloadId(n))).min().unwrap_or(1_000_000)
    }
    fn effect(&self, id: WorkloadId) -> Effect {
        match self.settings.text(&format!("workloads.{}.effect", id.0)) {
            Some("restartable") => Effect::Restartable,
            Some("fingerprinted") => Effect::Fingerprinted,
            _ => Effect::RunOnce,
        }
    }
    fn keep_alive(&self) -> Micros {
        self.span("copies.keep-alive-us", 8_000_000)
    }
    fn orders(&self) -> bool {
        self.settings.flag("copies.orders") == Some(true)
    }
    fn chance(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        self.draws += 1;
        hasher.finish()
    }

    // ---- News

    fn record_list(&mut self, list: &WorkerList) {
        if list.kind != ListKind::Changes {
            let listed: BTreeSet<_> = list.rows.iter().map(|row| row.worker).collect();
            for worker in self.workers.values_mut().filter(|w| !listed.contains(&w.row.worker)) {
                worker.row.state = WorkerState::Gone;
            }
        }
        for row in &list.rows {
            let known = self.workers.get(&row.worker).map(|w| w.row.started);
            if known.is_some_and(|started| started < row.started) || row.state == WorkerState::Gone {
                self.forget_copies(row.worker);
            }
            let (now, keep) = (self.now, self.keep_alive() as f64);
            let worker = self.workers.entry(row.worker).or_insert_with(|| Worker {
                row: *row,
                own: 0,
                heard: now,
                out: BTreeSet::new(),
                pace: 1.0,
                pace_at: now,
                long: 1.0,
                calm: 1.0,
                seen: 0.0,
                limit: FIRST_LIMIT,
                cut: now,
                barred: now,
                report: Report::default(),
                checked: None,
                suspect: false,
                checks: 0,
                lasts: keep,
                budget: 0.0,
                budget_at: now,
            });
            if known.is_some_and(|started| started < row.started) {
                (worker.suspect, worker.checked, worker.checks) = (false, None, 0);
                (worker.pace, worker.seen) = (worker.calm, 0.0);
                (worker.budget, worker.budget_at) = (0.0, now);
            }
            worker.row = *row;
        }
    }

    fn record_job(&mut self, job: &Job) {
        let lanes = (job.lanes as u32).max(1);
        let guess = self.target(job.workload) as f64 * GUESS_OF_TARGET;
        let load = match (job.load, self.load > 0.0) {
            (Some(told), _) => told as f64,
            (None, true) => self.load,
            (None, false) => self.target(job.workload) as f64,
        };
        let keeps = self.keeps_copies();
        let function = self.functions.entry(job.function).or_insert_with(|| Function {
            lanes,
            work: guess,
            load,
            asked: Micros::MIN / 2,
            asking: 0,
            places: BTreeMap::new(),
            waiting: BTreeSet::new(),
            last_job: 0,
            warm_last: None,
        });
        if function.last_job == 0 && keeps {
            self.due.insert((self.now, Due::Keep(job.function)));
        }
        (function.lanes, function.last_job) = (lanes, self.now);
        function.load = job.load.map_or(function.load, |told| told as f64);
        self.jobs.insert(job.id, Held { job: *job, came: self.now, executions: Vec::new() });
        self.due.insert((job.due, Due::JobEnds(job.id)));
        self.todo.insert(job.id);
        let work = self.work_of(job);
        self.fade_inflow();
        self.inflow += work / self.inflow_span();
        self.taken.push_back(self.now);
    }

    fn record_end(&mut self, end: &ExecutionEnd) {
        let Some(held) = self.jobs.get_mut(&end.job) else {
            // The job has ended; only its load on the worker is left to take back.
            self.release(end);
            return;
        };
        let job = held.job;
        let Some(execution) = held.executions.get_mut(end.execution).filter(|e| e.out) else { return };
        (execution.out, execution.worker) = (false, end.worker);
        execution.may_have_run = !matches!(end.end, End::Full | End::NoConnection | End::Moot | End::Miss);
        let (queued, idle) = (execution.queued, execution.idle);
        self.release(end);
        if let (Some(idle), End::Finished) = (idle, end.end) {
            self.learn_lasting(end.worker, idle as f64, end.warmth);
        }
        self.learn(&job, end, queued);
        if end.settled {
            self.end_job(end.job);
        } else {
            self.todo.insert(end.job);
        }
        if let Some(function) = self.functions.get(&job.function) {
            self.todo.extend(&function.waiting);
        }
    }

    /// An execution is no longer out at its worker.
    fn release(&mut self, end: &ExecutionEnd) {
        let answered = matches!(end.end, End::Finished | End::Error | End::Full | End::Miss);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&end.worker) else { return };
        let found = worker.out.iter().find(|(_, job, n)| (*job, *n) == (end.job, end.execution)).copied();
        if found.is_some_and(|entry| worker.out.remove(&entry)) {
            worker.own = worker.own.saturating_sub(1);
        }
        if let Some(report) = end.report {
            worker.report = report;
        }
        if answered {
            self.hear(end.worker);
        } else if matches!(end.end, End::Reset | End::NoConnection) {
            worker.suspect = true;
            worker.checks = worker.checks.max(1);
            self.due.insert((now, Due::Silence(end.worker)));
            if end.end == End::Reset {
                self.forget_copies(end.worker);
            }
        }
    }

    /// Guards against beliefs that outlive their copies, as when loads push idle ones out: a load begun where a
    /// copy was believed shortens how long copies are believed there, a copy found after long lengthens it.
    fn learn_lasting(&mut self, id: WorkerId, idle: f64, warmth: Warmth) {
        let keep = self.keep_alive() as f64;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if warmth == Warmth::BeganLoad && idle < worker.lasts {
            worker.lasts += NEWEST * (idle - worker.lasts);
        } else if warmth == Warmth::Stood && idle > worker.lasts * RENEW_AT {
            worker.lasts += NEWEST * (keep - worker.lasts);
        }
    }

    /// What an end teaches of the function, its copy there and the worker's pace.
    fn learn(&mut self, job: &Job, end: &ExecutionEnd, queued: bool) {
        let (keep, bar) = (self.keep_alive(), self.work_of(job) as Micros);
        let expected = self.work_of(job);
        let target = self.target(job.workload) as f64;
        let Some(function) = self.functions.get_mut(&job.function) else { return };
        let place = function.places.entry(end.worker).or_default();
        place.own = place.own.saturating_sub(1);
        match end.end {
            End::Finished => {
                place.copies = place.copies.max(1);
                place.until = self.now + keep;
                place.loading = false;
                function.warm_last = Some(end.worker);
                let took = end.latency as f64;
                match end.warmth {
                    Warmth::BeganLoad => {
                        place.copies = 1;
                        let load = (took - expected).max(took * GUESS_OF_TARGET);
                        self.learn_load(job.function, load);
                    }
                    Warmth::WaitedForLoad => {}
                    _ if queued => {}
                    _ => {
                        let Some(worker) = self.workers.get_mut(&end.worker) else { return };
                        worker.learn_pace(self.now, (took / expected.max(1.0)).min(MOST_PACE));
                        let calm_took = took / worker.pace;
                        function.work += NEWEST / 2.0 * (calm_took - function.work);
                        if let Some(hint) = job.work.filter(|hint| *hint > 0) {
                            // A ratio of means, as the mean of ratios is ruled by jobs hinted far too low.
                            let keep = 1.0 - NEWEST / 4.0;
                            self.hinted =
                                (keep * self.hinted.0 + calm_took, keep * self.hinted.1 + hint as f64);
                        }
                        // Guards against overload of any cause: what a worker gets in flight grows while
                        // answers fit the start target and shrinks when they do not; the rest waits here.
                        let (crowding, late) =
                            (worker.crowding(self.now), expected * worker.pace * IN_TIME > target);
                        if crowding > CROWDED || late {
                            worker.cut_limit(self.now, expected);
                        } else if crowding <= PRESSED && f64::from(worker.own + 1) > worker.limit / 2.0 {
                            worker.limit += 1.0 / worker.limit;
                        }
                    }
                }
            }
            End::Full => {
                place.barred = self.now + bar;
                if let Some(worker) = self.workers.get_mut(&end.worker) {
                    worker.barred = self.now + bar / 4;
                    worker.cut_limit(self.now, expected);
                }
            }
            End::Miss | End::Error if end.end == End::Miss || end.warmth == Warmth::LoadFailed => {
                *place = Place { own: place.own, order: place.order, ..Place::default() };
                place.barred = self.now + bar;
            }
            End::Reset | End::NoConnection => place.loading = false,
            _ => {}
        }
    }

    fn record_order(&mut self, end: &OrderEnd) {
        if !matches!(end.end, End::TimedOut | End::NoConnection | End::Reset) {
            self.hear(end.worker);
        }
        let (now, keep, mut loaded) = (self.now, self.keep_alive(), false);
        let Some(function) = self.functions.get_mut(&end.function) else { return };
        let place = function.places.entry(end.worker).or_default();
        let wanted = place.order.take().map_or(0, |(_, copies)| copies);
        place.copies = end.copies;
        if end.copies > 0 {
            let lasts = if wanted > 0 { keep } else { keep / ASKED_COPY_LASTS };
            place.until = place.until.max(now + lasts);
        }
        if wanted > 0 && end.end == End::Finished {
            function.warm_last = Some(end.worker);
            if end.latency as f64 > function.load * GUESS_OF_TARGET {
                loaded = true;
            }
        } else if wanted > 0 {
            place.barred = now + function.work as Micros;
        }
        self.todo.extend(&function.waiting);
        if loaded {
            self.learn_load(end.function, end.latency as f64);
        }
    }

    fn record_probe(&mut self, end: &ProbeEnd) {
        if end.end == End::Finished {
            self.hear(end.worker);
        }
    }

    fn hear(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            (worker.heard, worker.checked, worker.checks, worker.suspect) = (self.now, None, 0, false);
        }
    }

    fn forget_copies(&mut self, worker: WorkerId) {
        for place in self.functions.values_mut().filter_map(|f| f.places.get_mut(&worker)) {
            (place.copies, place.loading) = (0, false);
        }
    }

    fn end_job(&mut self, id: JobId) {
        let Some(held) = self.jobs.remove(&id) else { return };
        self.due.remove(&(held.job.due, Due::JobEnds(id)));
        self.todo.remove(&id);
        if let Some(function) = self.functions.get_mut(&held.job.function) {
            function.waiting.remove(&id);
            for execution in held.executions.iter().filter(|e| e.out) {
                if let Some(place) = function.places.get_mut(&execution.worker) {
                    place.own = place.own.saturating_sub(1);
                }
            }
        }
    }

    // ---- What is expected

    fn work_of(&self, job: &Job) -> f64 {
        let learned = self.functions.get(&job.function).map_or(0.0, |f| f.work);
        let (took, hinted) = self.hinted;
        let scale = if hinted > 0.0 { took / hinted } else { 1.0 };
        job.work.filter(|hint| *hint > 0).map_or(learned, |hint| hint as f64 * scale)
    }

    fn inflow_span(&self) -> f64 {
        self.span("rules.fall-us", 2_000_000).max(1) as f64
    }
    fn fade_inflow(&mut self) {
        let passed = (self.now - self.inflow_at) as f64;
        self.inflow *= (-passed / self.inflow_span()).exp();
        self.inflow_at = self.now;
    }

    /// How much of its full capacity a worker is sure to have, or nothing if it is warm.
    fn cold_part(&self, row: &WorkerRow) -> Option<f64> {
        let (age, span) = (self.now - row.started, self.span("rules.cold-us", 0));
        let from = self.settings.number("rules.cold-from").unwrap_or(1.0);
        (row.started > 0 && age < span).then(|| from + (1.0 - from) * age.max(0) as f64 / span as f64)
    }

    /// Rule 4: work that may go to a cold worker now. It gets no more than its cold part of an even share of
    /// what this router takes, saved up over no more than the rule's window; when every router does the same,
    /// all together stay near what it can do. A first job must be saved up for, too.
    fn cold_room(&mut self, id: WorkerId, work: f64) -> bool {
        self.fade_inflow();
        let ready = self.workers.values().filter(|w| w.row.state == WorkerState::Ready);
        let sizes: f64 = ready.map(|w| w.row.size).sum();
        let Some(row) = self.workers.get(&id).map(|w| w.row) else { return false };
        let Some(part) = self.cold_part(&row) else { return true };
        let rate = self.inflow * row.size / sizes.max(row.size) * part * COLD_CAUTION;
        let (now, most) = (self.now, (rate * self.inflow_span()).max(work));
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        let saved = worker.budget + rate * (now - worker.budget_at).max(0) as f64;
        (worker.budget, worker.budget_at) = (saved.min(most), now);
        worker.budget >= work
    }

    /// Whether the rules and the worker's health let this job go there.
    fn may_go(&mut self, id: JobId, to: WorkerId, work: f64) -> bool {
        let Some(worker) = self.workers.get(&to) else { return false };
        if worker.row.state != WorkerState::Ready || worker.suspect {
            return false;
        }
        let Some(held) = self.jobs.get(&id) else { return false };
        let (job, row) = (held.job, worker.row);
        if held.executions.iter().any(|e| e.out && e.worker == to) {
            return false;
        }
        if let Some(first) = held.executions.iter().find(|e| e.may_have_run) {
            let same_group = match self.settings.text(&format!("workloads.{}.group", job.workload.0)) {
                Some("all") => true,
                Some("zone") => self.workers.get(&first.worker).is_some_and(|w| w.row.zone == row.zone),
                Some("cell") => self.workers.get(&first.worker).is_some_and(|w| w.row.cell == row.cell),
                _ => false,
            };
            let window = self.workload(job.workload, "repeat-window-us").unwrap_or(0.0) as Micros;
            let remembered = same_group && self.now - first.sent < window;
            match self.effect(job.workload) {
                Effect::Restartable => {}
                Effect::Fingerprinted if remembered => {}
                _ => return false,
            }
        }
        self.cold_room(to, work)
    }

    /// How long a job would take at a warm worker, from the pace seen there of late.
    fn pace(&self, id: WorkerId) -> f64 {
        self.workers.get(&id).map_or(1.0, |w| w.pace_now(self.now))
    }

    /// The middle figure of the ready workers.
    fn typical(&self, figure: impl Fn(&Worker) -> f64) -> f64 {
        let ready = self.workers.values().filter(|w| w.row.state == WorkerState::Ready && !w.suspect);
        let mut figures: Vec<f64> = ready.map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or(1.0)
    }
    fn typical_pace(&self) -> f64 {
        self.typical(|w| w.pace_now(self.now))
    }
    fn pressed(&self) -> bool {
        self.typical(|w| w.crowding(self.now)) > PRESSED
    }
    /// Guards against a crowded or stopped store and against load queues: loads take longer than told or usual.
    fn loads_pressed(&self) -> bool {
        self.load_pace_now() > PRESSED
    }
    fn load_pace_now(&self) -> f64 {
        faded(self.load_pace, 1.0, self.now - self.load_pace_at)
    }
    fn learn_load(&mut self, function: FunctionId, took: f64) {
        let pace = self.load_pace_now();
        let Some(f) = self.functions.get_mut(&function) else { return };
        self.load_pace = pace + NEWEST * ((took / f.load.max(1.0)).min(MOST_PACE) - pace);
        self.load_pace_at = self.now;
        f.load += NEWEST / 4.0 * (took / self.load_pace - f.load);
        self.load += if self.load > 0.0 { NEWEST / 4.0 * (took / self.load_pace - self.load) } else { took };
    }
    fn slow(&self, id: WorkerId) -> bool {
        self.pace(id) > SLOW * self.typical_pace()
    }

    // ---- Decisions

    fn place(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let (job, came) = (held.job, held.came);
        let pending = held.executions.iter().filter(|e| e.out).count();
        let tries = held.executions.len();
        let may_double = self.settings.flag("limits.second-copies") == Some(true)
            && self.effect(job.workload) == Effect::Restartable;
        if pending > 1 || (pending == 1 && !may_double) {
            return;
        }
        let most = self.settings.number("limits.max-executions").unwrap_or(1.0) as usize;
        let work = self.work_of(&job);
        let left = job.due - self.now;
        if left <= (work * self.typical_pace()) as Micros || tries >= most {
            return self.give_up(id, out);
        }
        // A client's repeat has used up part of its start target before; how much is not told.
        let whole = self.target(job.workload);
        let target = (came + if job.repeat { whole / 2 } else { whole } - self.now).min(left);
        // A job is taken only if predicted in time; when pressed, in time means by its start target, as a
        // late answer earns little and makes the next one late. This guards against any overload.
        let pressed = self.pressed() || self.loads_pressed();
        let limit = if pressed { target } else { left };
        if pending == 0 && self.pressed() && work * self.typical_pace() * IN_TIME > target as f64 {
            return self.give_up(id, out);
        }
        let Some(function) = self.functions.get(&job.function) else { return };
        let (lanes, load_time) = (function.lanes, function.load * self.load_pace_now());
        let places: Vec<(WorkerId, Place)> = function.places.iter().map(|(w, p)| (*w, *p)).collect();
        let ready: Vec<WorkerId> = self.workers.keys().copied().collect();
        let ready: Vec<WorkerId> = ready.into_iter().filter(|w| self.may_go(id, *w, work)).collect();
        let warm: Vec<(WorkerId, Place)> = places
            .iter()
            .filter(|(w, p)| ready.contains(w) && p.copies > 0 && (p.own > 0 || self.stands(*w, p)))
            .copied()
            .collect();
        let stands = !warm.is_empty();
        let warm: Vec<_> = warm.into_iter().filter(|(w, _)| self.workers[w].has_room(self.now)).collect();

        // Warm-first: own zone standing for the edge, fewest own jobs in flight, ties random.
        let (mut best, draw) = (None, self.chance());
        for (w, _) in warm.iter().filter(|(_, p)| p.own < lanes * p.copies && p.barred <= self.now) {
            let slow = self.slow(*w);
            let key = (slow, self.far(*w), self.workers[w].own, tie(FunctionId(draw), *w), *w);
            best = Some(best.map_or(key, |b: (bool, bool, u32, u64, WorkerId)| b.min(key)));
        }
        if let Some((.., w)) = best {
            return self.execute(id, w, work, out);
        }

        // Exception: before a load, ask where else the function stands; other routers' loads are not told.
        if self.orders() && self.ask(job.function, &ready, out) {
            return self.wait(id);
        }

        // Exception: where all lanes are taken, a short wait at a warm worker that is in time beats a load.
        let mut best = None;
        for (w, p) in warm.iter().filter(|(_, p)| p.barred <= self.now) {
            let turns = (p.own + 1) as f64 / (lanes * p.copies) as f64;
            let expected = (work * self.pace(*w) * turns) as Micros;
            best = Some(best.map_or((expected, *w), |b: (Micros, WorkerId)| b.min((expected, *w))));
        }
        if let Some((expected, w)) = best.filter(|(expected, _)| *expected < target) {
            if (expected as f64) < load_time + work {
                return self.execute(id, w, work, out);
            }
        }

        // Exception: when workers or their loads are pressed, one more copy of what stands only pushes other
        // copies out and makes their loads wait; the job waits for a lane instead.
        if stands && pressed {
            return self.wait_or_give_up(id, out);
        }

        // Exception: a load under way is waited for, one job a lane, before another is begun.
        let underway = places
            .iter()
            .filter(|(w, p)| p.order.is_some_and(|(_, n)| n > 0) || (p.loading && !self.workers[w].suspect));
        let underway = underway.count() as u32 * lanes;
        let waiting = function_waiting(&self.functions, job.function, id);
        if waiting < underway {
            if pending == 0 && limit < (work * self.typical_pace()) as Micros {
                return self.give_up(id, out);
            }
            return self.wait(id);
        }

        // Load on the ready worker with the fewest own jobs in flight, own zone first. Ties go by a hash of
        // function and worker, so that routers that know nothing of each other share copies.
        let homes = homes(job.function, &ready);
        let mut best = None;
        for w in &ready {
            let place = places.iter().find(|(at, _)| at == w).map_or(Place::default(), |(_, p)| *p);
            let room = self.workers[w].has_room(self.now);
            if place.barred > self.now || place.order.is_some() || !room {
                continue;
            }
            let slow = self.slow(*w);
            let key =
                (slow, !homes.contains(w), self.far(*w), self.workers[w].own, tie(job.function, *w), *w);
            best = Some(best.map_or(key, |b: (bool, bool, bool, u32, u64, WorkerId)| b.min(key)));
        }
        let Some((.., w)) = best else { return self.wait_or_give_up(id, out) };
        if limit < (load_time + work * self.pace(w)) as Micros {
            return self.give_up(id, out);
        }
        if self.settings.text("copies.on-miss") == Some("miss") {
            if self.order(w, job.function, 1, out) {
                return self.wait(id);
            }
            return self.wait_or_give_up(id, out);
        }
        if let Some(function) = self.functions.get_mut(&job.function) {
            function.places.entry(w).or_default().loading = true;
        }
        self.execute(id, w, work + load_time, out);
    }

    fn stands(&self, w: WorkerId, place: &Place) -> bool {
        let lasts = self.workers.get(&w).map_or(0.0, |w| w.lasts) as Micros;
        self.now < place.until - self.keep_alive() + lasts
    }
    fn far(&self, w: WorkerId) -> bool {
        self.workers.get(&w).is_some_and(|w| w.row.zone != self.zone)
    }

    fn wait(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).map(|h| h.job) else { return };
        if let Some(function) = self.functions.get_mut(&job.function) {
            function.waiting.insert(id);
        }
    }

    fn wait_or_give_up(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        let expected = (self.work_of(&held.job) * self.typical_pace() * IN_TIME) as Micros;
        if self.now + expected < held.came + self.target(held.job.workload) {
            return self.wait(id);
        }
        self.give_up(id, out);
    }

    fn execute(&mut self, id: JobId, w: WorkerId, expected: f64, out: &mut impl Decisions) {
        let keep = self.keep_alive();
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let (function, due) = (held.job.function, held.job.due);
        let number = held.executions.len();
        held.executions.push(Execution {
            worker: w,
            sent: self.now,
            out: true,
            may_have_run: true,
            cancelled: false,
            idle: None,
            queued: false,
        });
        if let Some(function) = self.functions.get_mut(&function) {
            function.waiting.remove(&id);
            let place = function.places.entry(w).or_default();
            let stood = place.copies > 0 && place.own == 0;
            place.own += 1;
            if let Some(execution) = held.executions.last_mut() {
                execution.idle = stood.then_some(self.now + keep - place.until);
                execution.queued = place.own > function.lanes * place.copies.max(1);
            }
        }
        let pace = self.pace(w);
        if let Some(worker) = self.workers.get_mut(&w) {
            worker.own += 1;
            worker.budget -= expected;
            worker.out.insert((self.now, id, number));
            let patience = (SILENCE * expected * pace) as Micros;
            self.due.insert((self.now + patience, Due::Silence(w)));
        }
        out.execute(id, w, due - self.now);
    }

    /// The final answer of a job that is not going to be in time, at once: pushed back where that is allowed.
    fn give_up(&mut self, id: JobId, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else { return };
        if held.executions.iter().any(|e| e.out) {
            return;
        }
        let may_have_run = held.executions.iter().any(|e| e.may_have_run);
        let group = format!("workloads.{}.group", held.job.workload.0);
        let harmless = match self.effect(held.job.workload) {
            Effect::Restartable => true,
            Effect::Fingerprinted => !may_have_run || self.settings.text(&group) == Some("all"),
            Effect::RunOnce => !may_have_run,
        };
        if harmless {
            let wait = if self.pressed() {
                self.span("limits.max-retry-after-us", 0)
            } else {
                self.functions.get(&held.job.function).map_or(0, |f| f.load as Micros)
            };
            out.push_back(id, wait);
        } else {
            out.kill(id);
        }
        self.end_job(id);
    }

    /// Asks every ready worker that may have it whether a function stands there; true while answers are due.
    fn ask(&mut self, id: FunctionId, ready: &[WorkerId], out: &mut impl Decisions) -> bool {
        let (now, keep) = (self.now, self.keep_alive());
        let wait = self.tightest_target() / ASKS_A_TARGET;
        let Some(function) = self.functions.get_mut(&id) else { return false };
        if now >= function.asked + keep / ASKS_A_KEEP {
            (function.asked, function.asking) = (now, now + wait);
            for w in &homes(id, ready) {
                let place = function.places.entry(*w).or_default();
                if place.copies == 0 && place.order.is_none() && !place.loading {
                    place.order = Some((now, 0));
                    out.hold(*w, id, 0);
                }
            }
        }
        now < function.asking && function.places.values().any(|p| p.order.is_some_and(|(_, n)| n == 0))
    }

    /// Rule 5: an order to load, within the ration.
    fn order(&mut self, w: WorkerId, id: FunctionId, copies: u32, out: &mut impl Decisions) -> bool {
        let window = self.span("copies.load-window-us", 0);
        for times in [&mut self.taken, &mut self.ordered] {
            while times.front().is_some_and(|at| *at <= self.now - window) {
                times.pop_front();
            }
        }
        let free = self.settings.number("copies.load-free").unwrap_or(0.0);
        let share = self.settings.number("copies.load-share").unwrap_or(0.0);
        if window > 0 && (self.ordered.len() + 1) as f64 > free + share * self.taken.len() as f64 {
            return false;
        }
        let Some(function) = self.functions.get_mut(&id) else { return false };
        let place = function.places.entry(w).or_default();
        if place.order.is_some() {
            return false;
        }
        place.order = Some((self.now, copies));
        self.ordered.push_back(self.now);
        out.hold(w, id, copies);
        true
    }

    fn fall_due(&mut self, due: Due, out: &mut impl Decisions) {
        match due {
            Due::JobEnds(id) => {
                if self.jobs.contains_key(&id) {
                    out.kill(id);
                    self.end_job(id);
                }
            }
            Due::Silence(id) => self.look_into_silence(id, out),
            Due::Keep(id) => self.keep_copies(id, out),
        }
    }

    /// Guards against workers that take work and answer nothing, for whatever cause: hung, cut off, dead.
    fn look_into_silence(&mut self, id: WorkerId, out: &mut impl Decisions) {
        let wait = self.tightest_target() / ASKS_A_TARGET;
        let now = self.now;
        let probes = self.settings.flag("limits.probes") == Some(true);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.row.state != WorkerState::Ready {
            return;
        }
        let waited = worker.out.first().is_some_and(|(sent, ..)| worker.heard < *sent);
        if !waited && !worker.suspect {
            return;
        }
        if let Some(at) = worker.checked {
            if now < at + wait {
                return;
            }
            worker.suspect = true;
        }
        (worker.checked, worker.checks) = (Some(now), worker.checks + 1);
        let (suspect, checks, moved) = (worker.suspect, worker.checks, worker.out.clone());
        if probes {
            out.probe(id);
        } else if self.orders() {
            let asked =
                self.functions.iter_mut().find(|(_, f)| f.places.get(&id).is_some_and(|p| p.order.is_none()));
            if let Some((function, f)) = asked {
                f.places.entry(id).or_default().order = Some((now, 0));
                out.hold(id, *function, 0);
            }
        }
        self.due.insert((now + wait * Micros::from(checks.min(10)), Due::Silence(id)));
        if suspect {
            moved.iter().for_each(|(_, job, n)| self.move_away(*job, *n, out));
        }
    }

    /// A further execution for a job that is stuck at a silent worker, where the rules allow one.
    fn move_away(&mut self, id: JobId, number: usize, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let (workload, pending) = (held.job.workload, held.executions.iter().filter(|e| e.out).count());
        let Some(execution) = held.executions.get_mut(number).filter(|e| e.out && !e.cancelled) else {
            return;
        };
        if pending > 1 {
            return;
        }
        let effect = match self.settings.text(&format!("workloads.{}.effect", workload.0)) {
            Some("restartable") => Effect::Restartable,
            Some("fingerprinted") => Effect::Fingerprinted,
            _ => Effect::RunOnce,
        };
        if effect == Effect::Restartable && self.settings.flag("limits.second-copies") == Some(true) {
            self.todo.insert(id);
        } else if effect != Effect::RunOnce && self.settings.flag("limits.cancel") == Some(true) {
            execution.cancelled = true;
            out.cancel(id, number);
        }
    }

    // ---- The design's options

    fn keeps_copies(&self) -> bool {
        let more = self.span("design.keep-alive-us", 0) > self.keep_alive();
        self.orders() && (more || self.span("design.pre-warmed", 0) > 0)
    }

    /// Renews copies whose set keep-alive is longer than the worker's, and holds this router's share of the
    /// pre-warmed count where the function was last found warm, else at a worker hashed from it and our number.
    fn keep_copies(&mut self, id: FunctionId, out: &mut impl Decisions) {
        let keep = self.keep_alive();
        self.due.insert((self.now + (keep as f64 * RENEW_AT) as Micros, Due::Keep(id)));
        let longer = self.span("design.keep-alive-us", keep);
        let (me, routers) = (self.span("me", 0), self.span("routers", 1).max(1));
        let wanted = self.span("design.pre-warmed", 0);
        let share = wanted / routers + Micros::from(me < wanted % routers);
        let Some(function) = self.functions.get(&id) else { return };
        let alive = self.now < function.last_job + longer;
        let ready = self.workers.values().filter(|w| w.row.state == WorkerState::Ready && !w.suspect);
        let ready: Vec<WorkerId> = ready.map(|w| w.row.worker).collect();
        let warm: Vec<WorkerId> =
            function.places.iter().filter(|(_, p)| p.copies > 0).map(|(w, _)| *w).collect();
        let hashed = ready.iter().copied().min_by_key(|w| tie(id, WorkerId(w.0 ^ me as u64)));
        if let Some(w) = function.warm_last.filter(|w| share > 0 && ready.contains(w)).or(hashed) {
            if share > 0 {
                self.order(w, id, share.min(16) as u32, out);
            }
        }
        for w in warm.into_iter().filter(|w| alive && longer > keep && ready.contains(w)) {
            self.order(w, id, 1, out);
        }
    }
}

fn faded(pace: f64, calm: f64, passed: Micros) -> f64 {
    calm + (pace - calm) * (-(passed.max(0) as f64) / PACE_FADES_US).exp()
}

/// The workers where a function is looked for and loaded first.
fn homes(id: FunctionId, ready: &[WorkerId]) -> Vec<WorkerId> {
    let mut homes = ready.to_vec();
    homes.sort_by_key(|w| tie(id, *w));
    homes.truncate(ready.len().div_ceil(HOME_PART));
    homes
}

fn tie(function: FunctionId, worker: WorkerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (function, worker).hash(&mut hasher);
    hasher.finish()
}

fn function_waiting(functions: &BTreeMap<FunctionId, Function>, id: FunctionId, job: JobId) -> u32 {
    functions.get(&id).map_or(0, |f| f.waiting.iter().filter(|w| **w < job).count() as u32)
}
