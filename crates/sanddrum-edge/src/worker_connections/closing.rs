//! How connections to workers end, and what waits on them is written.

use super::{MessageKey, WorkerConnection};
use crate::{EdgeState, Timer};
use sanddrum::{Micros, Outcome, Warmth};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeMap;

impl EdgeState {
    /// A connection is gone. What was not written to its last byte cannot have been read; what was may have run.
    pub(super) fn connection_lost(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        how: CloseCause,
        lied: bool,
    ) {
        let Some(connection) = self.worker_connections.connections.get(&id) else {
            return;
        };
        if !connection.in_flight.is_empty() {
            let name = self.worker_connections.name(connection.worker);
            tracing::info!(
                worker = name,
                ?how,
                is_connected = connection.is_connected,
                carried = connection.in_flight.len(),
                rested_us = connection.idle_before,
                "a connection ended"
            );
        }
        if connection.is_connected
            && how != CloseCause::Refused
            && !connection.in_flight.is_empty()
            && !lied
        {
            self.idle_timeout.record_reset(
                now,
                connection.idle_before,
                now - connection.busy_since,
            );
        }
        let unread = |connection: &WorkerConnection, mark: &MessageKey| {
            !connection.is_connected
                || how == CloseCause::Refused
                || connection.out.is_pending(mark)
        };
        let each: BTreeMap<MessageKey, bool> = connection
            .in_flight
            .iter()
            .map(|mark| (*mark, unread(connection, mark)))
            .collect();
        let end = |mark: &MessageKey| {
            if each.get(mark) == Some(&true) {
                Outcome::NoConnection
            } else {
                Outcome::Reset
            }
        };
        self.remove_connection(now, id, end, lied);
    }
    pub(super) fn remove_connection(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        end: impl Fn(&MessageKey) -> Outcome,
        lied: bool,
    ) {
        let Some(connection) = self.worker_connections.connections.remove(&id) else {
            return;
        };
        self.metrics.links_open.decrement(1.0);
        self.worker_connections.dirty.remove(&id);
        if let Some(endpoint) = self
            .worker_connections
            .endpoints
            .get_mut(&connection.worker)
        {
            endpoint.connections.remove(&id);
        }
        // A spoilt answer tells nothing against the next connection; another worker's name, as our own tell it, does.
        // Nor does a dial that was left because its worker has moved.
        let failed = (lied && !self.on_platform)
            || (connection.conn.is_some() && !connection.is_connected && !connection.is_retired);
        let events = &mut self.worker_connections.events;
        if failed {
            &mut events.failed
        } else {
            &mut events.closed
        }
        .push(id);
        for mark in &connection.in_flight {
            let end = end(mark);
            match mark {
                MessageKey::Attempt(id) => {
                    self.attempt_ended(now, *id, end, Warmth::Unknown, None, None)
                }
                MessageKey::Load(id) => self.load_ended(now, *id, end, 0),
                MessageKey::HealthCheck(id) => self.health_check_failed(now, *id, end),
                MessageKey::Cancel | MessageKey::Untracked => {}
            }
        }
    }

    /// Its connection is not up in time, or carries nothing for long, or nothing more.
    pub(crate) fn check_worker_connection(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) {
        let Some(connection) = self.worker_connections.connections.get(&id) else {
            return;
        };
        let idle = connection.idle_since + self.limits.idle_close;
        let empty = connection.in_flight.is_empty() && connection.out.pending_bytes() == 0;
        if !connection.is_connected && connection.conn.is_some() && !connection.is_retired {
            self.reset_connection(id, io);
            return self.connection_lost(now, id, CloseCause::Refused, false);
        }
        if connection.in_flight.is_empty() && (connection.is_retired || (empty && idle <= now)) {
            if let Some(conn) = connection.conn {
                self.connection_owners.remove(&conn);
                io.close(conn);
            }
            return self.connection_lost(now, id, CloseCause::Orderly, false);
        }
        if connection.is_retired {
            return;
        }
        let again = if connection.in_flight.is_empty() {
            idle
        } else {
            now + self.limits.idle_close
        };
        self.timers
            .insert((again.max(now + 1), Timer::WorkerConnection(id)));
    }

    /// Writes what waits: first all that gives something up, on all connections, then the rest. Guards against a
    /// further attempt that is out on one connection before the first one is given up on another.
    pub(crate) fn flush_worker_connections(&mut self, now: Micros, io: &mut dyn Io) {
        for id in std::mem::take(&mut self.worker_connections.cancels_first) {
            self.retract_disallowed(now, id);
            self.refresh_deadlines(now, id);
            let Some(connection) = self
                .worker_connections
                .connections
                .get_mut(&id)
                .filter(|connection| connection.is_connected)
            else {
                continue;
            };
            if let Some(conn) = connection.conn {
                connection.out.flush_through(&MessageKey::Cancel, conn, io);
            }
            if self.on_platform && connection.out.is_pending(&MessageKey::Cancel) {
                // It reads nothing, so that what is given up there would be out twice at a time.
                self.reset_connection(id, io);
                self.connection_lost(now, id, CloseCause::Reset, false);
            }
        }
        for id in std::mem::take(&mut self.worker_connections.dirty) {
            self.retract_disallowed(now, id);
            self.refresh_deadlines(now, id);
            let Some(connection) = self
                .worker_connections
                .connections
                .get_mut(&id)
                .filter(|connection| connection.is_connected)
            else {
                continue;
            };
            if let Some(conn) = connection.conn {
                connection.out.flush(conn, io);
            }
        }
    }
}
