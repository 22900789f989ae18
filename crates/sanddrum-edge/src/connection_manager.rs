//! Carries out what the connection module decides.

use crate::Inner;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{ConnectionId, Io};
use sanddrum_upstream::{ClientId, Decisions, LinkId, Old, Why};

pub(crate) struct Connect<'a> {
    pub inner: &'a mut Inner,
    pub io: &'a mut dyn Io,
    pub now: Micros,
}

impl Decisions for Connect<'_> {
    fn open(&mut self, link: LinkId) {
        self.inner.begin_link(self.now, link, self.io);
    }
    fn open_ahead(&mut self, worker: WorkerId) {
        self.inner.link_ahead(self.now, worker);
    }
    fn give_up(&mut self, link: LinkId, why: Why) {
        self.inner.give_link_up(self.now, link, why);
    }
    fn retire(&mut self, old: Old) {
        match old {
            Old::Link(link) => self.inner.retire_link(self.now, link),
            Old::Client(ClientId(conn)) => {
                self.inner
                    .retire_client(self.now, ConnectionId(conn), self.io)
            }
        }
    }
    fn wake_at(&mut self, at: Micros) {
        self.inner.connect_wake = Some(self.inner.connect_wake.map_or(at, |set| set.min(at)));
    }
}
