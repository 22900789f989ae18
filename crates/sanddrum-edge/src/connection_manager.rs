//! Carries out what the connection module decides.

use crate::EdgeState;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{ConnectionId, Io};
use sanddrum_upstream::{
    ClientConnectionId, Decisions, OutdatedConnection, RejectReason, WorkerConnectionId,
};

pub(crate) struct ConnectionExecutor<'a> {
    pub inner: &'a mut EdgeState,
    pub io: &'a mut dyn Io,
    pub now: Micros,
}

impl Decisions for ConnectionExecutor<'_> {
    fn open(&mut self, connection: WorkerConnectionId) {
        self.inner.open_connection(self.now, connection, self.io);
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.inner.prewarm_connection(self.now, worker);
    }
    fn reject(&mut self, connection: WorkerConnectionId, why: RejectReason) {
        self.inner.reject_connection(self.now, connection, why);
    }
    fn retire(&mut self, old: OutdatedConnection) {
        match old {
            OutdatedConnection::Worker(connection) => {
                self.inner.retire_connection(self.now, connection)
            }
            OutdatedConnection::Client(ClientConnectionId(conn)) => self
                .inner
                .retire_http_connection(self.now, ConnectionId(conn), self.io),
        }
    }
    fn wake_at(&mut self, at: Micros) {
        self.inner.connection_wakeup =
            Some(self.inner.connection_wakeup.map_or(at, |set| set.min(at)));
    }
}
