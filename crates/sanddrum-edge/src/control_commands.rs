//! Load commands and health checks that have not been answered.

use crate::message::CommandId;
use sanddrum::{FunctionId, Micros, WorkerId};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeMap;

/// A command in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCommand {
    /// The recipient.
    pub worker: WorkerId,
    /// The connection on which it was sent.
    pub connection: WorkerConnectionId,
    /// When it was sent.
    pub sent_at: Micros,
    /// When it times out.
    pub deadline: Micros,
}

/// A load command in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingLoad {
    /// The function to be loaded.
    pub function: FunctionId,
    /// Whether it only queries the number of loaded instances.
    pub is_query: bool,
    /// Before when its last byte must be written.
    pub send_deadline: Micros,
    /// The command.
    pub command: PendingCommand,
}

/// All load commands and health checks in flight.
#[derive(Default)]
pub(crate) struct ControlCommands {
    last_id: u64,
    loads: BTreeMap<CommandId, PendingLoad>,
    health_checks: BTreeMap<CommandId, PendingCommand>,
}

impl ControlCommands {
    /// Allocates an id for a command.
    pub fn allocate_id(&mut self) -> CommandId {
        self.last_id += 1;
        CommandId(self.last_id)
    }

    /// Adds a load command that has been sent.
    pub fn insert_load(&mut self, id: CommandId, load: PendingLoad) {
        self.loads.insert(id, load);
    }

    /// Returns a load command in flight.
    pub fn load(&self, id: CommandId) -> Option<&PendingLoad> {
        self.loads.get(&id)
    }

    /// Removes a load command that has ended.
    pub fn remove_load(&mut self, id: CommandId) -> Option<PendingLoad> {
        self.loads.remove(&id)
    }

    /// The functions that are being loaded.
    pub fn functions(&self) -> impl Iterator<Item = FunctionId> + '_ {
        self.loads.values().map(|load| load.function)
    }

    /// Adds a health check that has been sent.
    pub fn insert_health_check(&mut self, id: CommandId, health_check: PendingCommand) {
        self.health_checks.insert(id, health_check);
    }

    /// Removes a health check that has ended.
    pub fn remove_health_check(&mut self, id: CommandId) -> Option<PendingCommand> {
        self.health_checks.remove(&id)
    }
}
