//! Loading and unloading of instances, and the load commands that wait for it.

use super::{Effect, Instance, InstanceStage, Machine, QueuedTask, Ticket};
use sanddrum_net::Micros;
use sanddrum_wire::{ExecutionStatus, InstanceState, Load};
use std::collections::VecDeque;

/// Loads that are accepted, running or waiting, as a multiple of those that run at a time.
const LOADS_ACCEPTED: usize = 3;

/// A load command that is answered once so many instances are loaded.
pub(super) struct PendingLoad {
    ticket: Ticket,
    function: String,
    instances: u32,
}

impl Machine {
    pub(super) fn instances_of<'a>(
        &'a self,
        function: &'a str,
    ) -> impl Iterator<Item = (&'a u64, &'a Instance)> {
        self.instances
            .iter()
            .filter(move |(_, instance)| instance.function == function && !instance.is_obsolete)
    }

    /// How many instances of a function are loaded.
    pub fn loaded_instances(&self, function: &str) -> u32 {
        self.instances_of(function)
            .filter(|(_, instance)| instance.is_loaded())
            .count() as u32
    }

    pub(super) fn free_instance(&self, function: &str) -> Option<u64> {
        self.instances_of(function)
            .find(|(_, instance)| instance.has_capacity())
            .map(|(id, _)| *id)
    }

    pub(super) fn loads_in_progress(&self) -> usize {
        self.instances
            .values()
            .filter(|instance| !instance.is_loaded())
            .count()
    }

    fn used_memory_mb(&self) -> f64 {
        self.instances
            .values()
            .map(|instance| instance.memory_mb)
            .sum()
    }

    /// Carries out a load command: at least so many instances are to be loaded; zero only queries how many are.
    pub fn load_instances(
        &mut self,
        now: Micros,
        ticket: Ticket,
        command: &Load,
        is_draining: bool,
    ) {
        let function = command.function.as_str();
        if command.instances == 0 {
            return self.answer_load(ticket, function, ExecutionStatus::Finished);
        }
        self.renew_keep_alive(now, function);
        let concurrency = command.concurrency.max(1);
        let mut count = self.instances_of(function).count() as u32;
        while !is_draining
            && count < command.instances
            && self.start_load(now, function, command.memory_mb, concurrency)
        {
            count += 1;
        }
        if count < command.instances {
            return self.answer_load(ticket, function, ExecutionStatus::Rejected);
        }
        self.pending_loads.push(PendingLoad {
            ticket,
            function: function.to_string(),
            instances: command.instances,
        });
        self.finish_pending_loads();
    }

    fn renew_keep_alive(&mut self, now: Micros, function: &str) {
        let instances = self.instances.values_mut();
        for instance in instances.filter(|instance| instance.function == function) {
            if let InstanceStage::Loaded { idle_since } = &mut instance.stage {
                *idle_since = now;
            }
        }
    }

    fn answer_load(&mut self, ticket: Ticket, function: &str, status: ExecutionStatus) {
        let instances = self.loaded_instances(function);
        self.effects.push(Effect::LoadDone {
            ticket,
            status,
            instances,
        });
    }

    /// Answers the load commands whose instances are all loaded now.
    pub(super) fn finish_pending_loads(&mut self) {
        let mut met = Vec::new();
        let mut unmet = Vec::new();
        for pending in std::mem::take(&mut self.pending_loads) {
            if self.loaded_instances(&pending.function) >= pending.instances {
                met.push(pending);
            } else {
                unmet.push(pending);
            }
        }
        self.pending_loads = unmet;
        for pending in met {
            self.answer_load(pending.ticket, &pending.function, ExecutionStatus::Finished);
        }
    }

    /// Adds a loaded instance that was there before, as another router had it loaded, where memory allows it.
    pub fn preload(&mut self, now: Micros, function: &str, memory_mb: f64, concurrency: u32) {
        if self.instances_of(function).count() > 0 || !self.free_memory(memory_mb) {
            return;
        }
        let stage = InstanceStage::Loaded { idle_since: now };
        self.add_instance(function, memory_mb, concurrency, stage);
    }

    fn add_instance(
        &mut self,
        function: &str,
        memory_mb: f64,
        concurrency: u32,
        stage: InstanceStage,
    ) {
        self.last_instance_id += 1;
        let instance = Instance {
            function: function.to_string(),
            memory_mb,
            concurrency,
            running: 0,
            stage,
            is_obsolete: false,
        };
        self.instances.insert(self.last_instance_id, instance);
    }

    /// Unloads the idle instances of a function.
    pub fn unload(&mut self, function: &str) {
        self.instances
            .retain(|_, instance| instance.function != function || !instance.is_idle());
    }

    /// All functions are released anew: idle instances are unloaded at once, the others when they are idle.
    pub fn invalidate_instances(&mut self) {
        self.instances.retain(|_, instance| !instance.is_idle());
        self.instances
            .values_mut()
            .filter(|instance| instance.running > 0)
            .for_each(|instance| instance.is_obsolete = true);
    }

    /// Unloads the instances that have been idle for longest until so much memory is free; false where it can't be.
    fn free_memory(&mut self, memory_mb: f64) -> bool {
        while self.used_memory_mb() + memory_mb > self.config.memory_mb {
            let idle = self
                .instances
                .iter()
                .filter_map(|(id, instance)| match instance.stage {
                    InstanceStage::Loaded { idle_since } if instance.running == 0 => {
                        Some((idle_since, *id))
                    }
                    _ => None,
                });
            let Some((_, longest_idle)) = idle.min() else {
                return false;
            };
            self.instances.remove(&longest_idle);
        }
        true
    }

    /// Starts a load, or has it wait its turn; false where memory or the limit on loads does not allow it.
    pub(super) fn start_load(
        &mut self,
        _now: Micros,
        function: &str,
        memory_mb: f64,
        concurrency: u32,
    ) -> bool {
        if self.loads_in_progress() >= self.config.concurrent_loads * LOADS_ACCEPTED
            || !self.free_memory(memory_mb)
        {
            return false;
        }
        self.add_instance(function, memory_mb, concurrency, InstanceStage::Queued);
        self.start_queued_loads();
        true
    }

    pub(super) fn start_queued_loads(&mut self) {
        let running = self
            .instances
            .values()
            .filter(|instance| {
                matches!(
                    instance.stage,
                    InstanceStage::Fetching | InstanceStage::Starting { .. }
                )
            })
            .count();
        let free = self.config.concurrent_loads.saturating_sub(running);
        let queued = self
            .instances
            .iter_mut()
            .filter(|(_, instance)| instance.stage == InstanceStage::Queued);
        for (id, instance) in queued.take(free) {
            instance.stage = InstanceStage::Fetching;
            self.effects.push(Effect::Fetch {
                load: *id,
                function: instance.function.clone(),
                size_mb: instance.memory_mb,
            });
        }
    }

    /// The store has answered a fetch; `is_complete` is false where it rejected it.
    pub fn finish_fetch(&mut self, now: Micros, load: u64, is_complete: bool) {
        let has_failed = !is_complete || self.rng.random_bool(self.load_failure_probability);
        let start_us_per_mb = self.config.start_us_per_mb;
        let Some(instance) = self
            .instances
            .get_mut(&load)
            .filter(|instance| instance.stage == InstanceStage::Fetching)
        else {
            return;
        };
        if !has_failed {
            let ready_at = now + (instance.memory_mb * start_us_per_mb) as Micros;
            instance.stage = InstanceStage::Starting { ready_at };
            return;
        }
        let function = instance.function.clone();
        self.instances.remove(&load);
        self.fail_load(&function);
        self.start_queued_loads();
    }

    /// Answers what waited for a load that has failed.
    fn fail_load(&mut self, function: &str) {
        if self.instances_of(function).count() == 0 {
            let (failed, others): (VecDeque<QueuedTask>, VecDeque<QueuedTask>) =
                std::mem::take(&mut self.queue)
                    .into_iter()
                    .partition(|queued| queued.task.function == function);
            self.queue = others;
            for queued in failed {
                let instance = Some(InstanceState::LoadFailed);
                let effect = queued.unstarted(ExecutionStatus::ColdMiss, instance);
                self.effects.push(effect);
            }
        }
        let (failed, others): (Vec<PendingLoad>, Vec<PendingLoad>) =
            std::mem::take(&mut self.pending_loads)
                .into_iter()
                .partition(|pending| pending.function == function);
        self.pending_loads = others;
        for pending in failed {
            self.answer_load(pending.ticket, function, ExecutionStatus::Error);
        }
    }

    /// Loads the function of a queued request again, whose instance was unloaded while it waited; rejects the request
    /// where that can't be, and returns false.
    pub(super) fn reload(&mut self, now: Micros, position: usize) -> bool {
        let task = &self.queue[position].task;
        let function = task.function.clone();
        let (memory_mb, concurrency) = (task.memory_mb, task.concurrency);
        if self.start_load(now, &function, memory_mb, concurrency) {
            return true;
        }
        if let Some(queued) = self.queue.remove(position) {
            let effect = queued.unstarted(ExecutionStatus::Rejected, None);
            self.effects.push(effect);
        }
        false
    }
}
