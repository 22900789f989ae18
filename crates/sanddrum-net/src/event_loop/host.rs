//! A core that the event loop runs.

use super::sources::SourceKey;
use crate::files::{AuditLog, StateWriter, WatchedFile};
use crate::{ConnectionId, Core, Event, Io, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// A core, and the event loop's state for it.
pub(super) struct Host {
    pub core: Box<dyn Core>,
    pub connections: BTreeMap<ConnectionId, SourceKey>,
    pub listeners: Vec<SourceKey>,
    pub state_writer: Option<StateWriter>,
    pub frozen: bool,
    /// Whether a call to the core's `process` is due, as the core has received input since the last one.
    pub is_pending: bool,
    pub is_shutting_down: bool,
    /// Connections to reset at their next write.
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

    /// Whether the next part of a watched file has to be delivered.
    pub fn has_file_parts(&self) -> bool {
        !self.frozen && self.watched_files.iter().any(WatchedFile::has_more_parts)
    }
}

/// Takes the place of a core in its host while the core is being called.
pub(super) struct PlaceholderCore;

impl Core for PlaceholderCore {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}
