//! Execution of the connection policy's decisions.

use super::EdgeState;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{ConnectionId, Io};
use sanddrum_upstream::{
    ClientConnectionId, Decisions, OutdatedConnection, RejectReason, WorkerConnectionId,
};

/// Carries out the decisions of one run of the connection policy as they are made.
pub(crate) struct ConnectionExecutor<'a> {
    state: &'a mut EdgeState,
    now: Micros,
    io: &'a mut dyn Io,
}

impl<'a> ConnectionExecutor<'a> {
    /// An executor for a run at `now`.
    pub fn new(state: &'a mut EdgeState, now: Micros, io: &'a mut dyn Io) -> Self {
        ConnectionExecutor { state, now, io }
    }
}

impl Decisions for ConnectionExecutor<'_> {
    fn open(&mut self, connection: WorkerConnectionId) {
        let EdgeState {
            context,
            worker_connections,
            ..
        } = &mut *self.state;
        worker_connections.open(context, self.now, connection, self.io);
    }

    fn prewarm(&mut self, worker: WorkerId) {
        let EdgeState {
            context,
            worker_connections,
            ..
        } = &mut *self.state;
        worker_connections.prewarm(context, self.now, worker);
    }

    fn reject(&mut self, connection: WorkerConnectionId, reason: RejectReason) {
        self.state
            .worker_connection_rejected(self.now, connection, reason);
    }

    fn retire(&mut self, outdated: OutdatedConnection) {
        match outdated {
            OutdatedConnection::Worker(connection) => {
                self.state.retire_worker_connection(self.now, connection);
            }
            OutdatedConnection::Client(ClientConnectionId(conn)) => {
                self.state
                    .retire_client(self.now, ConnectionId(conn), self.io);
            }
        }
    }

    fn wake_at(&mut self, at: Micros) {
        let earliest = self.state.connection_wakeup.map_or(at, |set| set.min(at));
        self.state.connection_wakeup = Some(earliest);
    }
}
