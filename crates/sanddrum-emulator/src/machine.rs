//! Emulates a worker's machine in virtual time: cores, instances with a concurrency limit each, a bounded queue, loads
//! and memory. It does no I/O: fetches from the store and answers are [`Effect`]s, which the worker around it carries
//! out.

mod loading;
mod reporting;

use sanddrum_net::{Micros, Rng};
use sanddrum_wire::{ExecutionStatus, InstanceState};
use std::collections::{BTreeMap, VecDeque};

/// How a worker handles a request for a function that it has not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// Loads the function while the request waits.
    Load,
    /// Answers with a cold miss; only load commands load functions.
    Miss,
}

/// The size and behaviour of a machine.
#[derive(Clone, Debug)]
pub struct MachineConfig {
    /// Requests that run at the same time, each on its own core.
    pub cores: usize,
    /// Work that one core does per microsecond, in microseconds of a standard core.
    pub speed: f64,
    /// Requests that may wait; further ones are rejected.
    pub queue_limit: usize,
    /// Memory for loaded instances, in megabytes.
    pub memory_mb: f64,
    /// Loads that run at the same time. Up to twice as many others may wait.
    pub concurrent_loads: usize,
    /// How long an idle instance stays loaded.
    pub keep_alive: Micros,
    /// How a request for a function that is not loaded is handled.
    pub on_miss: OnMiss,
    /// Time that starting an instance takes after the fetch, per megabyte.
    pub start_us_per_mb: f64,
    /// Fraction of its full capacity that a machine has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// How long a machine warms up after its start.
    pub warm_up: Micros,
    /// A warming machine collapses if the work sent to it within `collapse_window` exceeds this multiple of what its
    /// current capacity can process in that time.
    pub collapse_multiple: f64,
    /// The window over which the work sent to a warming machine is summed.
    pub collapse_window: Micros,
}

/// Identifies an attempt or a load command on this worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The connection that it was received on.
    pub connection: u64,
    /// Its id on that connection.
    pub id: u64,
}

/// A request to run.
#[derive(Clone, Debug)]
pub struct Task {
    /// Identifies the attempt.
    pub ticket: Ticket,
    /// The function that it calls.
    pub function: String,
    /// Memory that one instance of the function takes, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance runs at the same time.
    pub concurrency: u32,
    /// The work that it takes, in microseconds of a standard core.
    pub work: f64,
    /// Its idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// The request is dropped if it has not started by this time.
    pub deadline: Micros,
}

/// An action that the worker around the machine has to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer an attempt.
    Done {
        /// Identifies the attempt.
        ticket: Ticket,
        /// How the attempt ended.
        status: ExecutionStatus,
        /// The state of the instance that the request was assigned to, if any.
        instance: Option<InstanceState>,
        /// Requests for the same function that were in flight on this machine when the attempt arrived.
        function_in_flight: u32,
        /// The idempotency key of a request that has run.
        idempotency_key: Option<String>,
    },
    /// Answer a load command.
    LoadDone {
        /// Identifies the load command.
        ticket: Ticket,
        /// How the load command ended.
        status: ExecutionStatus,
        /// The number of instances that are loaded now.
        instances: u32,
    },
    /// Fetch a function from the store.
    Fetch {
        /// Identifies the load in [`Machine::finish_fetch`].
        load: u64,
        /// The function to fetch.
        function: String,
        /// Its size, in megabytes.
        size_mb: f64,
    },
    /// The machine collapsed, as it received more work during its warm-up than it withstands. The worker stays down.
    Collapsed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum InstanceStage {
    /// Waits until fewer than the allowed number of loads run.
    Queued,
    Fetching,
    Starting {
        ready_at: Micros,
    },
    Loaded {
        idle_since: Micros,
    },
}

#[derive(Debug)]
struct Instance {
    function: String,
    memory_mb: f64,
    concurrency: u32,
    running: u32,
    stage: InstanceStage,
    /// A new release of its function was deployed while it ran; it is unloaded once it is idle.
    is_obsolete: bool,
}

impl Instance {
    fn is_loaded(&self) -> bool {
        matches!(self.stage, InstanceStage::Loaded { .. })
    }

    fn has_capacity(&self) -> bool {
        self.is_loaded() && self.running < self.concurrency
    }

    fn is_idle(&self) -> bool {
        self.is_loaded() && self.running == 0
    }
}

struct QueuedTask {
    task: Task,
    instance: InstanceState,
    function_in_flight: u32,
}

impl QueuedTask {
    /// The answer to a task that ends before it has started.
    fn into_done(self, status: ExecutionStatus, instance: Option<InstanceState>) -> Effect {
        Effect::Done {
            ticket: self.task.ticket,
            status,
            instance,
            function_in_flight: self.function_in_flight,
            idempotency_key: None,
        }
    }
}

struct RunningTask {
    task: Task,
    instance: InstanceState,
    function_in_flight: u32,
    instance_id: u64,
    ends_at: Micros,
}

/// An emulated machine of a worker.
pub struct Machine {
    /// The size and behaviour of the machine.
    pub config: MachineConfig,
    rng: Rng,
    /// When the machine started. Zero or less means long ago, so that it is not warming up.
    pub started_at: Micros,
    instances: BTreeMap<u64, Instance>,
    last_instance_id: u64,
    queue: VecDeque<QueuedTask>,
    running: Vec<RunningTask>,
    pending_loads: Vec<loading::PendingLoad>,
    /// Work that arrived within the collapse window while the machine was warming up, with its arrival time.
    recent_work: VecDeque<(Micros, f64)>,
    /// How many times slower than usual the cores are; values below one count as one.
    pub slowdown: f64,
    /// Probability that a load fails, 0 to 1.
    pub load_failure_probability: f64,
    /// What the worker has to carry out, oldest first. The worker drains it.
    pub effects: Vec<Effect>,
}

impl Machine {
    /// Creates a machine without loaded functions. `seed` determines which loads fail.
    pub fn new(config: MachineConfig, seed: u64, started_at: Micros) -> Self {
        Machine {
            config,
            rng: Rng::new(seed),
            started_at,
            instances: BTreeMap::new(),
            last_instance_id: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            pending_loads: Vec::new(),
            recent_work: VecDeque::new(),
            slowdown: 1.0,
            load_failure_probability: 0.0,
            effects: Vec::new(),
        }
    }

    /// The fraction of its full capacity that the machine currently has.
    fn capacity_fraction(&self, now: Micros) -> f64 {
        let age = now - self.started_at;
        if self.started_at <= 0 || age >= self.config.warm_up {
            return 1.0;
        }
        let initial = self.config.initial_capacity;
        initial + (1.0 - initial) * age as f64 / self.config.warm_up.max(1) as f64
    }

    fn is_warming_up(&self, now: Micros) -> bool {
        self.started_at > 0 && now - self.started_at < self.config.warm_up
    }

    /// Work that one core currently does per microsecond.
    fn core_speed(&self, now: Micros) -> f64 {
        self.config.speed * self.capacity_fraction(now) / self.slowdown.max(1.0)
    }

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Records work that reaches the machine during its warm-up, whether or not it is accepted. Too much work makes
    /// the machine collapse.
    pub fn record_work(&mut self, now: Micros, work: f64) {
        if !self.is_warming_up(now) {
            return self.recent_work.clear();
        }
        self.recent_work.push_back((now, work));
        let window_start = now - self.config.collapse_window;
        while self
            .recent_work
            .front()
            .is_some_and(|(at, _)| *at <= window_start)
        {
            self.recent_work.pop_front();
        }
        let sent: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        if sent > self.collapse_threshold(now) {
            self.effects.push(Effect::Collapsed);
        }
    }

    /// The work within the collapse window above which the machine collapses.
    fn collapse_threshold(&self, now: Micros) -> f64 {
        let window = self
            .config
            .collapse_window
            .min(now - self.started_at)
            .max(self.config.collapse_window / 2) as f64;
        self.config.collapse_multiple
            * self.capacity_fraction(now)
            * self.config.cores as f64
            * self.config.speed
            * window
    }

    /// Queues a request, or answers it immediately if it can't run here.
    pub fn accept(&mut self, now: Micros, task: Task, is_draining: bool) {
        self.record_work(now, task.work);
        let function_in_flight = self.in_flight_of(&task.function);
        let has_free_instance = self.free_instance(&task.function).is_some();
        match self.admit(now, &task, is_draining, has_free_instance) {
            Ok(instance) => {
                if instance == InstanceState::Warm && !has_free_instance {
                    self.load_another_if_saturated(now, &task, function_in_flight);
                }
                self.queue.push_back(QueuedTask {
                    task,
                    instance,
                    function_in_flight,
                });
                self.start_tasks(now);
            }
            Err(status) => self.effects.push(Effect::Done {
                ticket: task.ticket,
                status,
                instance: None,
                function_in_flight,
                idempotency_key: None,
            }),
        }
    }

    /// Decides whether a request is admitted, and starts a load if it needs one. Returns the state of the instance
    /// that the request will run in, or the status to answer if it can't run here.
    fn admit(
        &mut self,
        now: Micros,
        task: &Task,
        is_draining: bool,
        has_free_instance: bool,
    ) -> Result<InstanceState, ExecutionStatus> {
        let is_full = is_draining || self.queue.len() >= self.config.queue_limit;
        let starts_at_once =
            has_free_instance && !is_draining && self.running.len() < self.config.cores;
        if is_full && !starts_at_once {
            return Err(ExecutionStatus::Rejected);
        }
        if self.loaded_instances(&task.function) > 0 {
            return Ok(InstanceState::Warm);
        }
        if self.instances_of(&task.function).count() > 0 {
            return Ok(InstanceState::WaitedForLoad);
        }
        if self.config.on_miss == OnMiss::Miss {
            return Err(ExecutionStatus::ColdMiss);
        }
        if self.start_load(now, &task.function, task.memory_mb, task.concurrency) {
            Ok(InstanceState::StartedLoad)
        } else {
            Err(ExecutionStatus::Rejected)
        }
    }

    /// Loads another instance if the function's requests in flight use the full concurrency of its instances.
    fn load_another_if_saturated(&mut self, now: Micros, task: &Task, function_in_flight: u32) {
        let concurrency: u32 = self
            .instances_of(&task.function)
            .map(|(_, instance)| instance.concurrency)
            .sum();
        if function_in_flight >= concurrency {
            self.start_load(now, &task.function, task.memory_mb, task.concurrency);
        }
    }

    /// Drops a request that has not started. A running request continues.
    pub fn cancel(&mut self, ticket: Ticket) {
        let position = self
            .queue
            .iter()
            .position(|queued| queued.task.ticket == ticket);
        if let Some(queued) = position.and_then(|position| self.queue.remove(position)) {
            let instance = Some(queued.instance);
            let effect = queued.into_done(ExecutionStatus::Dropped, instance);
            self.effects.push(effect);
        }
    }

    /// Processes everything that is due by now: finished requests, started and expired instances, queued loads and
    /// requests.
    pub fn advance(&mut self, now: Micros) {
        for instance in self.instances.values_mut() {
            if matches!(instance.stage, InstanceStage::Starting { ready_at } if ready_at <= now) {
                instance.stage = InstanceStage::Loaded { idle_since: now };
            }
        }
        self.finish_tasks(now);
        let keep_alive = self.config.keep_alive;
        self.instances.retain(|_, instance| {
            !matches!(
                instance.stage,
                InstanceStage::Loaded { idle_since }
                    if instance.running == 0 && idle_since + keep_alive <= now
            )
        });
        self.start_queued_loads();
        self.start_tasks(now);
        self.finish_pending_loads();
    }

    fn finish_tasks(&mut self, now: Micros) {
        let (finished, still_running): (Vec<RunningTask>, Vec<RunningTask>) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|running| running.ends_at <= now);
        self.running = still_running;
        for done in finished {
            self.release_instance(now, done.instance_id);
            self.effects.push(Effect::Done {
                ticket: done.task.ticket,
                status: ExecutionStatus::Finished,
                instance: Some(done.instance),
                function_in_flight: done.function_in_flight,
                idempotency_key: done.task.idempotency_key,
            });
        }
    }

    fn release_instance(&mut self, now: Micros, instance_id: u64) {
        let Some(instance) = self.instances.get_mut(&instance_id) else {
            return;
        };
        instance.running = instance.running.saturating_sub(1);
        instance.stage = InstanceStage::Loaded { idle_since: now };
        if instance.is_obsolete && instance.running == 0 {
            self.instances.remove(&instance_id);
        }
    }

    /// Starts queued requests in order of arrival while cores are free. A request whose function has no free instance
    /// stays queued, unless all instances were unloaded and no new one can be loaded.
    fn start_tasks(&mut self, now: Micros) {
        self.drop_expired_tasks(now);
        let mut position = 0;
        while position < self.queue.len() && self.running.len() < self.config.cores {
            let function = self.queue[position].task.function.clone();
            let Some(instance_id) = self.free_instance(&function) else {
                if self.instances_of(&function).count() == 0 && !self.reload(now, position) {
                    continue;
                }
                position += 1;
                continue;
            };
            let Some(queued) = self.queue.remove(position) else {
                return;
            };
            self.run(now, queued, instance_id);
        }
    }

    fn drop_expired_tasks(&mut self, now: Micros) {
        let (expired, in_time): (VecDeque<QueuedTask>, VecDeque<QueuedTask>) =
            std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|queued| queued.task.deadline <= now);
        self.queue = in_time;
        for queued in expired {
            let instance = Some(queued.instance);
            let effect = queued.into_done(ExecutionStatus::Dropped, instance);
            self.effects.push(effect);
        }
    }

    fn run(&mut self, now: Micros, queued: QueuedTask, instance_id: u64) {
        if let Some(instance) = self.instances.get_mut(&instance_id) {
            instance.running += 1;
        }
        let duration = (queued.task.work / self.core_speed(now)).max(1.0);
        self.running.push(RunningTask {
            task: queued.task,
            instance: queued.instance,
            function_in_flight: queued.function_in_flight,
            instance_id,
            ends_at: now + duration as Micros,
        });
    }

    /// When [`advance`](Self::advance) has to be called next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let running = self.running.iter().map(|running| running.ends_at);
        let instances = self
            .instances
            .values()
            .filter_map(|instance| match instance.stage {
                InstanceStage::Starting { ready_at } => Some(ready_at),
                InstanceStage::Loaded { idle_since } if instance.running == 0 => {
                    Some(idle_since + self.config.keep_alive)
                }
                _ => None,
            });
        let deadlines = self.queue.iter().map(|queued| queued.task.deadline);
        running.chain(instances).chain(deadlines).min()
    }
}
