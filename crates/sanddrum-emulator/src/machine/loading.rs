//! Loading and unloading of instances, and the load commands that wait for loads.

use super::{Effect, Instance, InstanceStage, Machine, QueuedTask, Ticket};
use sanddrum_net::Micros;
use sanddrum_wire::{ExecutionStatus, InstanceState, Load};
use std::collections::VecDeque;

/// The limit on loads that run or wait, as a multiple of the loads that run at the same time.
const ACCEPTED_LOADS_MULTIPLE: usize = 3;

/// A load command that waits for its instances.
pub(super) struct PendingLoad {
    ticket: Ticket,
    function: String,
    /// The number of loaded instances at which the command is answered.
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

    /// The number of loaded instances of a function.
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

    /// Carries out a load command, which requests a minimum number of loaded instances. Zero only queries their
    /// number.
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

    /// Answers the load commands that have all their instances loaded.
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

    /// Adds a loaded instance, as if another router had loaded it before, if the function has no instance yet and
    /// memory allows it.
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

    /// Handles a new release of all functions: unloads idle instances immediately, and running ones once they are
    /// idle.
    pub fn invalidate_instances(&mut self) {
        self.instances.retain(|_, instance| !instance.is_idle());
        self.instances
            .values_mut()
            .filter(|instance| instance.running > 0)
            .for_each(|instance| instance.is_obsolete = true);
    }

    /// Unloads instances, starting with the one that has been idle longest, until this much memory is free. Returns
    /// false if the idle instances do not suffice.
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

    /// Starts a load or queues it. Returns false if memory or the limit on loads does not allow it.
    pub(super) fn start_load(
        &mut self,
        _now: Micros,
        function: &str,
        memory_mb: f64,
        concurrency: u32,
    ) -> bool {
        if self.loads_in_progress() >= self.config.concurrent_loads * ACCEPTED_LOADS_MULTIPLE
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

    /// Handles the store's answer to a fetch. `is_complete` is false if the fetch failed.
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

    /// Fails the load commands for a function whose load has failed, and its queued requests if it has no other
    /// instance.
    fn fail_load(&mut self, function: &str) {
        if self.instances_of(function).count() == 0 {
            let (failed, others): (VecDeque<QueuedTask>, VecDeque<QueuedTask>) =
                std::mem::take(&mut self.queue)
                    .into_iter()
                    .partition(|queued| queued.task.function == function);
            self.queue = others;
            for queued in failed {
                let instance = Some(InstanceState::LoadFailed);
                let effect = queued.into_done(ExecutionStatus::ColdMiss, instance);
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

    /// Starts a load for a queued request whose instance was unloaded while it waited. If that is not possible,
    /// rejects the request and returns false.
    pub(super) fn reload(&mut self, now: Micros, position: usize) -> bool {
        let task = &self.queue[position].task;
        let function = task.function.clone();
        let (memory_mb, concurrency) = (task.memory_mb, task.concurrency);
        if self.start_load(now, &function, memory_mb, concurrency) {
            return true;
        }
        if let Some(queued) = self.queue.remove(position) {
            let effect = queued.into_done(ExecutionStatus::Rejected, None);
            self.effects.push(effect);
        }
        false
    }
}
