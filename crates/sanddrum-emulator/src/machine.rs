//! What a worker's machine does, in simulated time: cores, copies, lanes, a bounded queue, loads and memory. No I/O:
//! what the store is asked and what is answered goes to `Effects`.

use crate::ground_truth::{TrueFunction, TrueWorker};
use sanddrum_net::{Micros, Rng};
use sanddrum_wire::{ExecutionStatus, InstanceState, LoadReport};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// A worker that lacks the function loads it while the job waits.
    Load,
    /// It answers a miss; only an order loads.
    Miss,
}

#[derive(Clone, Debug)]
pub struct Size {
    pub cores: usize,
    pub speed: f64,
    pub queue: usize,
    pub memory_mb: f64,
    pub loads_at_once: usize,
    pub keep_alive: Micros,
    pub on_miss: OnMiss,
    /// The part of a load that follows the fetch, for each MB.
    pub start_us_per_mb: f64,
    pub cold_from: f64,
    pub cold: Micros,
    pub fall_multiple: f64,
    pub fall: Micros,
}

/// One execution here, by the connection and number that brought it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64, pub u64);

#[derive(Clone, Debug)]
pub struct Task {
    pub ticket: Ticket,
    pub function: String,
    pub memory_mb: f64,
    pub lanes: u32,
    pub work: f64,
    pub mark: Option<String>,
    pub until: Micros,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    Done {
        ticket: Ticket,
        ended: ExecutionStatus,
        copy: Option<InstanceState>,
        crowd: u32,
        mark: Option<String>,
    },
    Held {
        ticket: Ticket,
        ended: ExecutionStatus,
        copies: u32,
    },
    Fetch {
        load: u64,
        function: String,
        size_mb: f64,
    },
    /// It was sent far more than it can do while cold, and stays down.
    Fell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for its turn to load.
    Queued,
    Fetching,
    Starting(Micros),
    Stands {
        idle_since: Micros,
    },
}

#[derive(Debug)]
struct Standing {
    function: String,
    memory_mb: f64,
    lanes: u32,
    busy: u32,
    stage: Stage,
    /// Released anew while at work: it goes when it is idle.
    void: bool,
}

struct Waiting {
    task: Task,
    copy: InstanceState,
    crowd: u32,
}

struct Running {
    task: Task,
    copy: InstanceState,
    crowd: u32,
    on: u64,
    ends: Micros,
}

struct Wanted {
    ticket: Ticket,
    function: String,
    copies: u32,
}

pub struct Machine {
    pub size: Size,
    chance: Rng,
    /// When it started; nought or less: long ago.
    pub started: Micros,
    copies: BTreeMap<u64, Standing>,
    next_copy: u64,
    waiting: VecDeque<Waiting>,
    running: Vec<Running>,
    wanted: Vec<Wanted>,
    /// Work that came while cold, for the fall.
    came: VecDeque<(Micros, f64)>,
    pub slower: f64,
    pub load_fails: f64,
    pub effects: Vec<Effect>,
}

impl Machine {
    pub fn new(size: Size, seed: u64, started: Micros) -> Self {
        Machine {
            size,
            chance: Rng::new(seed),
            started,
            copies: BTreeMap::new(),
            next_copy: 0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            wanted: Vec::new(),
            came: VecDeque::new(),
            slower: 1.0,
            load_fails: 0.0,
            effects: Vec::new(),
        }
    }
    /// The part of its capacity that it has now.
    fn part(&self, now: Micros) -> f64 {
        let age = now - self.started;
        if self.started <= 0 || age >= self.size.cold {
            return 1.0;
        }
        self.size.cold_from
            + (1.0 - self.size.cold_from) * age as f64 / self.size.cold.max(1) as f64
    }
    fn cold(&self, now: Micros) -> bool {
        self.started > 0 && now - self.started < self.size.cold
    }
    fn used_mb(&self) -> f64 {
        self.copies.values().map(|c| c.memory_mb).sum()
    }
    fn loading(&self) -> usize {
        self.copies
            .values()
            .filter(|c| !matches!(c.stage, Stage::Stands { .. }))
            .count()
    }
    fn of<'a>(&'a self, function: &'a str) -> impl Iterator<Item = (&'a u64, &'a Standing)> {
        self.copies
            .iter()
            .filter(move |(_, c)| c.function == function && !c.void)
    }
    fn standing(&self, function: &str) -> u32 {
        self.of(function)
            .filter(|(_, c)| matches!(c.stage, Stage::Stands { .. }))
            .count() as u32
    }
    fn held_of(&self, function: &str) -> u32 {
        let running = self
            .running
            .iter()
            .filter(|r| r.task.function == function)
            .count();
        (running
            + self
                .waiting
                .iter()
                .filter(|w| w.task.function == function)
                .count()) as u32
    }
    pub fn report(&self) -> LoadReport {
        let pinned = |c: &&Standing| c.busy > 0 || !matches!(c.stage, Stage::Stands { .. });
        let pinned_mb: f64 = self
            .copies
            .values()
            .filter(pinned)
            .map(|c| c.memory_mb)
            .sum();
        LoadReport {
            in_flight: Some((self.running.len() + self.waiting.len()) as f64),
            queued: Some(self.waiting.len() as f64),
            busy: Some(self.running.len() as f64 / self.size.cores.max(1) as f64),
            memory_pinned: Some(pinned_mb / self.size.memory_mb.max(1.0)),
            loads_in_progress: Some(self.loading() as f64),
        }
    }
    /// What is true of it, for who may see it.
    pub fn truth(&self, now: Micros, serves: bool) -> TrueWorker {
        let mut functions: BTreeMap<u64, TrueFunction> = BTreeMap::new();
        for copy in self.copies.values().filter(|c| !c.void) {
            let of = functions
                .entry(sanddrum_wire::id_of(&copy.function))
                .or_default();
            match copy.stage {
                Stage::Stands { .. } => of.lanes += copy.lanes,
                _ => of.loading = true,
            }
        }
        let tasks = self
            .running
            .iter()
            .map(|r| &r.task)
            .chain(self.waiting.iter().map(|w| &w.task));
        for task in tasks {
            functions
                .entry(sanddrum_wire::id_of(&task.function))
                .or_default()
                .held += 1;
        }
        let pace = self.size.speed * self.part(now) / self.slower.max(1.0);
        let held = self.running.len() + self.waiting.len();
        let running: f64 = self
            .running
            .iter()
            .map(|r| (r.ends - now).max(0) as f64 * pace)
            .sum();
        let backlog = running + self.waiting.iter().map(|w| w.task.work).sum::<f64>();
        let room = (self.size.queue + self.size.cores).saturating_sub(held);
        TrueWorker {
            cores: self.size.cores,
            pace,
            held,
            room,
            backlog,
            serves,
            functions,
        }
    }
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Work that reaches a cold machine counts, whatever becomes of it.
    pub fn bear(&mut self, now: Micros, work: f64) {
        if !self.cold(now) {
            return self.came.clear();
        }
        self.came.push_back((now, work));
        while self
            .came
            .front()
            .is_some_and(|(at, _)| *at <= now - self.size.fall)
        {
            self.came.pop_front();
        }
        let sent: f64 = self.came.iter().map(|(_, work)| work).sum();
        let window = self
            .size
            .fall
            .min(now - self.started)
            .max(self.size.fall / 2) as f64;
        let bears = self.size.fall_multiple
            * self.part(now)
            * self.size.cores as f64
            * self.size.speed
            * window;
        if sent > bears {
            self.effects.push(Effect::Fell);
        }
    }

    pub fn take(&mut self, now: Micros, task: Task, draining: bool) {
        self.bear(now, task.work);
        let crowd = self.held_of(&task.function);
        let full = draining || self.waiting.len() >= self.size.queue;
        let copies = self.of(&task.function).count();
        let free = self.free_copy(&task.function).is_some();
        let ticket = task.ticket;
        let refused = |ended| Effect::Done {
            ticket,
            ended,
            copy: None,
            crowd,
            mark: None,
        };
        if full && !(free && !draining && self.running.len() < self.size.cores) {
            return self.effects.push(refused(ExecutionStatus::Rejected));
        }
        let copy = if self.standing(&task.function) > 0 {
            InstanceState::Warm
        } else if copies > 0 {
            InstanceState::WaitedForLoad
        } else if self.size.on_miss == OnMiss::Miss {
            return self.effects.push(refused(ExecutionStatus::ColdMiss));
        } else if self.load(now, &task.function, task.memory_mb, task.lanes) {
            InstanceState::StartedLoad
        } else {
            return self.effects.push(refused(ExecutionStatus::Rejected));
        };
        if copy == InstanceState::Warm && !free {
            // Another copy by itself, where there is room for it.
            let lanes: u32 = self.of(&task.function).map(|(_, c)| c.lanes).sum();
            if crowd >= lanes {
                self.load(now, &task.function, task.memory_mb, task.lanes);
            }
        }
        self.waiting.push_back(Waiting { task, copy, crowd });
        self.start_tasks(now);
    }

    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(n) = self.waiting.iter().position(|w| w.task.ticket == ticket) {
            if let Some(w) = self.waiting.remove(n) {
                let (copy, crowd) = (Some(w.copy), w.crowd);
                self.effects.push(Effect::Done {
                    ticket,
                    ended: ExecutionStatus::Dropped,
                    copy,
                    crowd,
                    mark: None,
                });
            }
        }
    }

    pub fn hold(
        &mut self,
        now: Micros,
        ticket: Ticket,
        hold: &sanddrum_wire::Load,
        draining: bool,
    ) {
        let (function, copies) = (hold.function.as_str(), hold.instances);
        let (memory_mb, lanes) = (hold.memory_mb, hold.concurrency.max(1));
        if copies == 0 {
            let copies = self.standing(function);
            return self.effects.push(Effect::Held {
                ticket,
                ended: ExecutionStatus::Finished,
                copies,
            });
        }
        for copy in self.copies.values_mut().filter(|c| c.function == function) {
            if let Stage::Stands { idle_since } = &mut copy.stage {
                *idle_since = now;
            }
        }
        let mut have = self.of(function).count() as u32;
        while !draining && have < copies && self.load(now, function, memory_mb, lanes) {
            have += 1;
        }
        if have < copies {
            let copies = self.standing(function);
            return self.effects.push(Effect::Held {
                ticket,
                ended: ExecutionStatus::Rejected,
                copies,
            });
        }
        self.wanted.push(Wanted {
            ticket,
            function: function.to_string(),
            copies,
        });
        self.answer_holds(now);
    }
    /// A copy that somebody else has had loaded here before, where there is room for it.
    pub fn has_stood(&mut self, now: Micros, function: &str, memory_mb: f64, lanes: u32) {
        if self.of(function).count() > 0 || !self.make_room(memory_mb) {
            return;
        }
        self.add(
            function,
            memory_mb,
            lanes,
            Stage::Stands { idle_since: now },
        );
    }
    fn add(&mut self, function: &str, memory_mb: f64, lanes: u32, stage: Stage) {
        self.next_copy += 1;
        let function = function.to_string();
        self.copies.insert(
            self.next_copy,
            Standing {
                function,
                memory_mb,
                lanes,
                busy: 0,
                stage,
                void: false,
            },
        );
    }
    pub fn unload(&mut self, function: &str) {
        self.copies.retain(|_, c| {
            c.function != function || c.busy > 0 || !matches!(c.stage, Stage::Stands { .. })
        });
    }
    /// All functions are released anew: what is idle goes, what is at work goes when it is done.
    pub fn flush(&mut self) {
        self.copies
            .retain(|_, c| c.busy > 0 || !matches!(c.stage, Stage::Stands { .. }));
        self.copies
            .values_mut()
            .filter(|c| c.busy > 0)
            .for_each(|c| c.void = true);
    }

    fn free_copy(&self, function: &str) -> Option<u64> {
        let free = |c: &Standing| matches!(c.stage, Stage::Stands { .. }) && c.busy < c.lanes;
        self.of(function).find(|(_, c)| free(c)).map(|(id, _)| *id)
    }
    /// Unloads the copies that were idle for longest, until so much fits; false where it can't.
    fn make_room(&mut self, memory_mb: f64) -> bool {
        while self.used_mb() + memory_mb > self.size.memory_mb {
            let idle = self.copies.iter().filter_map(|(id, c)| match c.stage {
                Stage::Stands { idle_since } if c.busy == 0 => Some((idle_since, *id)),
                _ => None,
            });
            let Some((_, oldest)) = idle.min() else {
                return false;
            };
            self.copies.remove(&oldest);
        }
        true
    }
    /// Begins a load, or has it wait its turn; false without room in memory or among the loads.
    fn load(&mut self, now: Micros, function: &str, memory_mb: f64, lanes: u32) -> bool {
        if self.loading() >= self.size.loads_at_once * 3 || !self.make_room(memory_mb) {
            return false;
        }
        self.add(function, memory_mb, lanes, Stage::Queued);
        self.begin_loads(now);
        true
    }
    fn begin_loads(&mut self, _now: Micros) {
        let at_work = self
            .copies
            .values()
            .filter(|c| matches!(c.stage, Stage::Fetching | Stage::Starting(_)))
            .count();
        let queued: Vec<u64> = self
            .copies
            .iter()
            .filter(|(_, c)| c.stage == Stage::Queued)
            .map(|(id, _)| *id)
            .collect();
        for id in queued
            .into_iter()
            .take(self.size.loads_at_once.saturating_sub(at_work))
        {
            if let Some(copy) = self.copies.get_mut(&id) {
                copy.stage = Stage::Fetching;
                let (function, size_mb) = (copy.function.clone(), copy.memory_mb);
                self.effects.push(Effect::Fetch {
                    load: id,
                    function,
                    size_mb,
                });
            }
        }
    }
    /// The store answered a fetch.
    pub fn fetched(&mut self, now: Micros, load: u64, whole: bool) {
        let fails = !whole || self.chance.random_bool(self.load_fails);
        let start = self.size.start_us_per_mb;
        let Some(copy) = self
            .copies
            .get_mut(&load)
            .filter(|c| c.stage == Stage::Fetching)
        else {
            return;
        };
        if !fails {
            copy.stage = Stage::Starting(now + (copy.memory_mb * start) as Micros);
            return;
        }
        let function = copy.function.clone();
        self.copies.remove(&load);
        if self.of(&function).count() == 0 {
            let (gone, stay) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|w| w.task.function == function);
            self.waiting = stay;
            let gone: VecDeque<Waiting> = gone;
            for w in gone {
                let ticket = w.task.ticket;
                let copy = Some(InstanceState::LoadFailed);
                self.effects.push(Effect::Done {
                    ticket,
                    ended: ExecutionStatus::ColdMiss,
                    copy,
                    crowd: w.crowd,
                    mark: None,
                });
            }
        }
        let (failed, stay) = std::mem::take(&mut self.wanted)
            .into_iter()
            .partition(|w| w.function == function);
        self.wanted = stay;
        let failed: Vec<Wanted> = failed;
        for w in failed {
            let copies = self.standing(&function);
            self.effects.push(Effect::Held {
                ticket: w.ticket,
                ended: ExecutionStatus::Error,
                copies,
            });
        }
        self.begin_loads(now);
    }

    /// Everything that is due by now.
    pub fn advance(&mut self, now: Micros) {
        for copy in self.copies.values_mut() {
            if matches!(copy.stage, Stage::Starting(at) if at <= now) {
                copy.stage = Stage::Stands { idle_since: now };
            }
        }
        let (done, still): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.ends <= now);
        self.running = still;
        for r in done {
            if let Some(copy) = self.copies.get_mut(&r.on) {
                copy.busy = copy.busy.saturating_sub(1);
                copy.stage = Stage::Stands { idle_since: now };
                if copy.void && copy.busy == 0 {
                    self.copies.remove(&r.on);
                }
            }
            let (copy, mark) = (Some(r.copy), r.task.mark);
            let ticket = r.task.ticket;
            self.effects.push(Effect::Done {
                ticket,
                ended: ExecutionStatus::Finished,
                copy,
                crowd: r.crowd,
                mark,
            });
        }
        let keep = self.size.keep_alive;
        self.copies.retain(|_, c| {
            !matches!(c.stage, Stage::Stands { idle_since } if c.busy == 0 && idle_since + keep <= now)
        });
        self.begin_loads(now);
        self.start_tasks(now);
        self.answer_holds(now);
    }
    fn answer_holds(&mut self, _now: Micros) {
        let stands: Vec<bool> = self
            .wanted
            .iter()
            .map(|w| self.standing(&w.function) >= w.copies)
            .collect();
        let mut stands = stands.into_iter();
        let (met, stay) = std::mem::take(&mut self.wanted)
            .into_iter()
            .partition(|_| stands.next().unwrap_or_default());
        self.wanted = stay;
        let met: Vec<Wanted> = met;
        for w in met {
            let copies = self.standing(&w.function);
            self.effects.push(Effect::Held {
                ticket: w.ticket,
                ended: ExecutionStatus::Finished,
                copies,
            });
        }
    }
    /// Tasks begin in the order they came, each with a lane and a core of its own.
    fn start_tasks(&mut self, now: Micros) {
        let (late, in_time): (VecDeque<Waiting>, VecDeque<Waiting>) =
            std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|w| w.task.until <= now);
        self.waiting = in_time;
        for w in late {
            let (ticket, copy, ended) = (w.task.ticket, Some(w.copy), ExecutionStatus::Dropped);
            self.effects.push(Effect::Done {
                ticket,
                ended,
                copy,
                crowd: w.crowd,
                mark: None,
            });
        }
        let mut n = 0;
        while n < self.waiting.len() && self.running.len() < self.size.cores {
            let function = self.waiting[n].task.function.clone();
            let Some(on) = self.free_copy(&function) else {
                if self.of(&function).count() == 0 && !self.load_again(now, n) {
                    continue;
                }
                n += 1;
                continue;
            };
            let Some(w) = self.waiting.remove(n) else {
                return;
            };
            if let Some(copy) = self.copies.get_mut(&on) {
                copy.busy += 1;
            }
            let pace = self.size.speed * self.part(now) / self.slower.max(1.0);
            let ends = now + ((w.task.work / pace).max(1.0)) as Micros;
            self.running.push(Running {
                task: w.task,
                copy: w.copy,
                crowd: w.crowd,
                on,
                ends,
            });
        }
    }
    /// A task whose copy went while it waited has it loaded again, or is answered.
    fn load_again(&mut self, now: Micros, n: usize) -> bool {
        let (function, memory_mb, lanes) = {
            let task = &self.waiting[n].task;
            (task.function.clone(), task.memory_mb, task.lanes)
        };
        if self.load(now, &function, memory_mb, lanes) {
            return true;
        }
        if let Some(w) = self.waiting.remove(n) {
            let ticket = w.task.ticket;
            self.effects.push(Effect::Done {
                ticket,
                ended: ExecutionStatus::Rejected,
                copy: None,
                crowd: w.crowd,
                mark: None,
            });
        }
        false
    }
    pub fn wake(&self) -> Option<Micros> {
        let running = self.running.iter().map(|r| r.ends);
        let copies = self.copies.values().filter_map(|c| match c.stage {
            Stage::Starting(at) => Some(at),
            Stage::Stands { idle_since } if c.busy == 0 => Some(idle_since + self.size.keep_alive),
            _ => None,
        });
        let drops = self.waiting.iter().map(|w| w.task.until);
        running.chain(copies).chain(drops).min()
    }
}

#[cfg(test)]
#[path = "machine_tests.rs"]
mod tests;
