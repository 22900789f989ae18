//! A core in the event loop.

use super::sources::SourceKey;
use crate::files::{AuditLog, StateWriter, WatchedFile};
use crate::{ConnectionId, Core, Event, Io, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// A core and what the loop keeps for it.
pub(super) struct Host {
    pub core: Box<dyn Core>,
    pub connections: BTreeMap<ConnectionId, SourceKey>,
    pub listeners: Vec<SourceKey>,
    pub state_writer: Option<StateWriter>,
    pub frozen: bool,
    /// Whether the core is to process what it was given.
    pub is_pending: bool,
    pub is_shutting_down: bool,
    /// Connections that are reset at their next write.
    pub reset_on_write: BTreeSet<ConnectionId>,
    pub audit_log: Option<AuditLog>,
    pub watched_files: Vec<WatchedFile>,
}

impl Host {
    pub fn new(core: Box<dyn Core>, state_file: Option<PathBuf>) -> Self {
        Host {
            core,
            connections: BTreeMap::new(),
            listeners: Vec::new(),
            state_writer: state_file.map(StateWriter::new),
            frozen: false,
            is_pending: true,
            is_shutting_down: false,
            reset_on_write: BTreeSet::new(),
            audit_log: None,
            watched_files: Vec::new(),
        }
    }
}

/// Stands in for a core while that is being called.
pub(super) struct NoCore;

impl Core for NoCore {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}
