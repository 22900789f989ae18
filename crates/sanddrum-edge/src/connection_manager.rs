//! Carries out what the connection module decides.

use crate::Inner;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{ConnectionId, Io};
use sanddrum_upstream::{
    ClientConnectionId, Decisions, OutdatedConnection, RejectReason, WorkerConnectionId,
};

pub(crate) struct Connect<'a> {
    pub inner: &'a mut Inner,
    pub io: &'a mut dyn Io,
    pub now: Micros,
}

impl Decisions for Connect<'_> {
    fn open(&mut self, link: WorkerConnectionId) {
        self.inner.begin_link(self.now, link, self.io);
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.inner.link_ahead(self.now, worker);
    }
    fn reject(&mut self, link: WorkerConnectionId, why: RejectReason) {
        self.inner.give_link_up(self.now, link, why);
    }
    fn retire(&mut self, old: OutdatedConnection) {
        match old {
            OutdatedConnection::Worker(link) => self.inner.retire_link(self.now, link),
            OutdatedConnection::Client(ClientConnectionId(conn)) => {
                self.inner
                    .retire_client(self.now, ConnectionId(conn), self.io)
            }
        }
    }
    fn wake_at(&mut self, at: Micros) {
        self.inner.connect_wake = Some(self.inner.connect_wake.map_or(at, |set| set.min(at)));
    }
}
