//! What the decision module remembers, as plain data. What it does with it, and every figure, is in `logic`.

use crate::statistics::tie_break;
use crate::{
    Endpoint, FunctionId, LoadReport, Micros, Request, RequestId, Settings, WorkerId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    JobEnds(RequestId),
    Silence(WorkerId),
    Keep(FunctionId),
    List,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Effect {
    Restartable,
    Fingerprinted,
    #[default]
    RunOnce,
}

/// Where a further execution of a fingerprinted job counts as the same.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Group {
    All,
    Zone,
    Cell,
    #[default]
    Alone,
}

/// What is set for a workload.
#[derive(Clone, Default)]
pub(crate) struct Workload {
    pub target: Micros,
    pub patience: Micros,
    pub window: Micros,
    pub importance: f64,
    pub effect: Effect,
    pub group: Group,
}

/// The settings, read once: each job would look them up a dozen times by name.
#[derive(Clone, Default)]
pub(crate) struct Terms {
    pub workloads: Vec<Workload>,
    /// One that the settings do not name.
    pub other: Workload,
    /// The tightest start target of all.
    pub tightest: Micros,
    pub importance_by_work: bool,
    pub subscribes: bool,
    pub sizes_change: bool,
    pub routers: Micros,
    pub me: Micros,
    pub near: ZoneId,
    pub max_executions: Micros,
    pub max_retry_after: Micros,
    pub cancels: bool,
    pub second_copies: bool,
    pub probes: bool,
    pub orders: bool,
    pub answers_miss: bool,
    pub keep_alive: Micros,
    pub load_window: Micros,
    pub load_free: f64,
    pub load_share: f64,
    pub cold: Micros,
    pub cold_from: f64,
    pub fall: f64,
    pub ask_every: Micros,
}

#[derive(Default)]
pub(crate) struct Worker {
    pub row: Endpoint,
    /// From when on it is warm, where it started not long ago.
    pub warm: Micros,
    /// Own jobs in flight.
    pub own: u32,
    /// Executions out here, oldest first: when sent, and from when on their answers are late.
    pub out: BTreeSet<(Micros, Micros, RequestId, usize)>,
    /// What jobs take here over what they are expected to: of late, in the long run, and when calm.
    pub pace: f64,
    pub pace_at: Micros,
    pub long: f64,
    pub calm: f64,
    pub seen: f64,
    /// Own jobs in flight that it bears in time, and when that was last cut.
    pub limit: f64,
    pub cut: Micros,
    pub barred: Micros,
    pub report: LoadReport,
    pub report_at: Micros,
    /// When it last answered, since when a check for life is out, and how many went unanswered.
    pub heard: Micros,
    pub checked: Option<Micros>,
    pub checks: u32,
    /// Silent, reset or unreachable; nothing new goes there until it is heard again.
    pub suspect: bool,
    /// Errors of different functions, halved by each finished job, and the function of the last one.
    pub failures: u32,
    pub failed: FunctionId,
    /// Until when it counts as crowded for a late or a full answer.
    pub jammed: Micros,
    /// Work that may still be sent while cold.
    pub budget: f64,
    pub budget_at: Micros,
}

/// Figures of the middle worker.
#[derive(Default)]
pub(crate) struct Middle {
    pub pace: f64,
    pub crowding: f64,
    pub loads: f64,
    pub held: f64,
}

/// A function at a worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct Place {
    /// Copies believed to stand there, and until when.
    pub copies: u32,
    pub until: Micros,
    pub own: u32,
    pub barred: Micros,
    /// It was found not to stand there, and may by then.
    pub absent: Micros,
    /// An order is out since then, for so many copies.
    pub order: Option<(Micros, u32)>,
    /// A load by an own job is under way.
    pub loading: bool,
}

#[derive(Default)]
pub(crate) struct Function {
    pub lanes: u32,
    /// What a job and a load take when calm, and whether any job has told.
    pub work: f64,
    pub answered: bool,
    pub load: f64,
    /// When it was last asked for, and until when answers are waited for.
    pub asked: Option<Micros>,
    pub asking: Micros,
    pub places: BTreeMap<WorkerId, Place>,
    /// Places with a copy, by own jobs in flight and then by a hash, as believed when last changed.
    pub copies: BTreeSet<(u32, u64, WorkerId)>,
    /// Places with an order out or a load by an own job.
    pub open: BTreeSet<WorkerId>,
    pub waiting: BTreeSet<RequestId>,
    /// Jobs taken of late, over about a keep-alive, and when the last one was.
    pub calls: f64,
    pub last_job: Micros,
    pub warm_last: Option<WorkerId>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Execution {
    pub worker: WorkerId,
    pub sent: Micros,
    pub out: bool,
    pub may_have_run: bool,
    pub cancelled: bool,
    /// Turned away unlooked at.
    pub full: bool,
    /// It was sent to wait for a lane, so its time tells nothing of the worker.
    pub queued: bool,
}

pub(crate) struct Held {
    pub job: Request,
    pub came: Micros,
    pub executions: Vec<Execution>,
}

impl Function {
    pub fn place(&self, w: WorkerId) -> Place {
        self.places.get(&w).copied().unwrap_or_default()
    }
}

impl Function {
    /// Copies, idle ones from a draw on first and then those with the fewest own jobs; some come twice.
    pub fn first(&self, draw: u64, most: usize) -> impl Iterator<Item = WorkerId> + '_ {
        let idle = self
            .copies
            .range((0, draw, WorkerId(0))..(1, 0, WorkerId(0)));
        idle.chain(&self.copies).map(|(.., w)| *w).take(most)
    }
}

/// All functions called of late, and the orders in which they and their places are found again.
#[derive(Default)]
pub(crate) struct Functions {
    all: BTreeMap<FunctionId, Function>,
    by_last_job: BTreeSet<(Micros, FunctionId)>,
    by_worker: BTreeSet<(WorkerId, FunctionId)>,
}

impl Functions {
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.all.get(&id)
    }

    /// What is known of a function but its places, which [`put`](Self::put) keeps, and its last job.
    pub fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.all.get_mut(&id)
    }

    /// Takes a job of a function up, which is new if it is not known yet.
    pub fn call(
        &mut self,
        id: FunctionId,
        now: Micros,
        new: impl FnOnce() -> Function,
    ) -> &mut Function {
        let function = self.all.entry(id).or_insert_with(new);
        self.by_last_job.remove(&(function.last_job, id));
        self.by_last_job.insert((now, id));
        function
    }

    pub fn place(&self, id: FunctionId, w: WorkerId) -> Place {
        self.get(id)
            .map(|function| function.place(w))
            .unwrap_or_default()
    }

    /// Keeps what is known of a place.
    pub fn put(&mut self, id: FunctionId, w: WorkerId, place: Place) {
        let Some(function) = self.all.get_mut(&id) else {
            return;
        };
        if let Some(before) = function.places.insert(w, place) {
            function.copies.remove(&(before.own, tie_break(id, w), w));
        } else {
            self.by_worker.insert((w, id));
        }
        if place.copies > 0 {
            function.copies.insert((place.own, tie_break(id, w), w));
        }
        if place.loading || place.order.is_some() {
            function.open.insert(w);
        } else {
            function.open.remove(&w);
        }
    }

    /// Takes copies that are no more out of those that [`Function::first`] tells, lest they hide others.
    pub fn lapse(
        &mut self,
        id: FunctionId,
        draw: u64,
        most: usize,
        lapsed: impl Fn(&Place) -> bool,
    ) {
        let Some(function) = self.all.get_mut(&id) else {
            return;
        };
        loop {
            let is_lapsed = |w: &WorkerId| lapsed(&function.place(*w));
            let gone: Vec<_> = function.first(draw, most).filter(is_lapsed).collect();
            if gone.is_empty() {
                return;
            }
            for w in gone {
                let own = function.place(w).own;
                function.copies.remove(&(own, tie_break(id, w), w));
            }
        }
    }

    /// Functions with something known of them at a worker.
    pub fn at(&self, w: WorkerId) -> impl Iterator<Item = FunctionId> + '_ {
        self.by_worker
            .range((w, FunctionId(0))..=(w, FunctionId(u64::MAX)))
            .map(|(_, id)| *id)
    }

    /// No copy stands at a worker any more, and no load of ours is under way there.
    pub fn forget_copies(&mut self, w: WorkerId) {
        for id in self.at(w).collect::<Vec<_>>() {
            let place = self.place(id, w);
            self.put(
                id,
                w,
                Place {
                    copies: 0,
                    loading: false,
                    ..place
                },
            );
        }
    }

    /// Forgets what had its last job by then, unless jobs wait.
    pub fn forget(&mut self, by: Micros) {
        let old: Vec<_> = self
            .by_last_job
            .range(..=(by, FunctionId(u64::MAX)))
            .copied()
            .collect();
        for (at, id) in old {
            let Some(function) = self
                .all
                .get(&id)
                .filter(|function| function.waiting.is_empty())
            else {
                continue;
            };
            for w in function.places.keys() {
                self.by_worker.remove(&(*w, id));
            }
            self.by_last_job.remove(&(at, id));
            self.all.remove(&id);
        }
    }
}

/// One of the design's options, as set for this function, else for all.
pub(crate) fn option(settings: &Settings, id: FunctionId, name: &str, otherwise: Micros) -> Micros {
    let set = |name: &str| settings.number(name).map(|n| n as Micros);
    let one = set(&format!("design.{}.{name}", id.0));
    one.or_else(|| set(&format!("design.{name}")))
        .unwrap_or(otherwise)
}

/// What holds where a setting is not told and nought would make no sense.
pub(crate) struct Otherwise {
    pub target: Micros,
    pub keep_alive: Micros,
    pub fall: Micros,
    pub ask_every: Micros,
}

impl Terms {
    pub fn read(settings: &Settings, otherwise: &Otherwise) -> Self {
        let span = |name: &str, otherwise| settings.number(name).map_or(otherwise, |n| n as Micros);
        let number = |name: &str, otherwise| settings.number(name).unwrap_or(otherwise);
        let says = |name: &str, text: &str| settings.text(name) == Some(text);
        let allows = |name: &str| settings.flag(name) == Some(true);
        let workload = |n: usize| {
            let of = |name: &str| format!("workloads.{n}.{name}");
            Workload {
                target: span(&of("start-target-us"), otherwise.target),
                patience: span(&of("time-limit-us"), 0),
                window: span(&of("repeat-window-us"), 0),
                importance: number(&of("importance"), 1.0),
                effect: match settings.text(&of("effect")) {
                    Some("restartable") => Effect::Restartable,
                    Some("fingerprinted") => Effect::Fingerprinted,
                    _ => Effect::RunOnce,
                },
                group: match settings.text(&of("group")) {
                    Some("all") => Group::All,
                    Some("zone") => Group::Zone,
                    Some("cell") => Group::Cell,
                    _ => Group::Alone,
                },
            }
        };
        let workloads: Vec<_> = (0..span("workloads.count", 1).max(1) as usize)
            .map(workload)
            .collect();
        let targets = workloads
            .iter()
            .map(|w| w.target)
            .filter(|target| *target > 0);
        Terms {
            tightest: targets.min().unwrap_or(otherwise.target),
            other: workload(workloads.len()),
            workloads,
            importance_by_work: says("importance-by", "work"),
            subscribes: says("membership-mode", "subscribe"),
            sizes_change: says("sizes", "live"),
            routers: span("routers", 1),
            me: span("me", 0),
            near: ZoneId(span("zone", 0) as usize),
            max_executions: span("limits.max-executions", 1),
            max_retry_after: span("limits.max-retry-after-us", Micros::MAX),
            cancels: allows("limits.cancel"),
            second_copies: allows("limits.second-copies"),
            probes: allows("limits.probes"),
            orders: allows("copies.orders"),
            answers_miss: says("copies.on-miss", "miss"),
            keep_alive: span("copies.keep-alive-us", otherwise.keep_alive),
            load_window: span("copies.load-window-us", 0),
            load_free: number("copies.load-free", 0.0),
            load_share: number("copies.load-share", 0.0),
            cold: span("rules.cold-us", 0),
            cold_from: number("rules.cold-from", 1.0),
            fall: span("rules.fall-us", otherwise.fall).max(1) as f64,
            ask_every: span("rules.ask-every-us", otherwise.ask_every),
        }
    }
}
