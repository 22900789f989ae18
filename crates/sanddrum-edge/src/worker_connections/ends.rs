//! How connections to workers end, and what waits on them is written.

use super::{Link, Mark};
use crate::{Due, Inner};
use sanddrum::{Micros, Outcome, Warmth};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeMap;

impl Inner {
    /// A connection is gone. What was not written to its last byte cannot have been read; what was may have run.
    pub(super) fn link_ended(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        how: CloseCause,
        lied: bool,
    ) {
        let Some(link) = self.links.links.get(&id) else {
            return;
        };
        if !link.carries.is_empty() {
            let name = self.links.name(link.worker);
            tracing::info!(
                worker = name,
                ?how,
                up = link.up,
                carried = link.carries.len(),
                rested_us = link.rested,
                "a connection ended"
            );
        }
        if link.up && how != CloseCause::Refused && !link.carries.is_empty() && !lied {
            self.rests.record_reset(now, link.rested, now - link.began);
        }
        let unread = |link: &Link, mark: &Mark| {
            !link.up || how == CloseCause::Refused || link.out.is_pending(mark)
        };
        let each: BTreeMap<Mark, bool> = link
            .carries
            .iter()
            .map(|mark| (*mark, unread(link, mark)))
            .collect();
        let end = |mark: &Mark| {
            if each.get(mark) == Some(&true) {
                Outcome::NoConnection
            } else {
                Outcome::Reset
            }
        };
        self.end_link(now, id, end, lied);
    }
    pub(super) fn end_link(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        end: impl Fn(&Mark) -> Outcome,
        lied: bool,
    ) {
        let Some(link) = self.links.links.remove(&id) else {
            return;
        };
        self.figures.links_open.decrement(1.0);
        self.links.dirty.remove(&id);
        if let Some(target) = self.links.targets.get_mut(&link.worker) {
            target.links.remove(&id);
        }
        // A spoilt answer tells nothing against the next connection; another worker's name, as our own tell it, does.
        // Nor does a dial that was left because its worker has moved.
        let failed =
            (lied && !self.on_platform) || (link.conn.is_some() && !link.up && !link.retired);
        let news = &mut self.links.news;
        if failed {
            &mut news.failed
        } else {
            &mut news.closed
        }
        .push(id);
        for mark in &link.carries {
            let end = end(mark);
            match mark {
                Mark::Execution(id) => {
                    self.execution_ended(now, *id, end, Warmth::Unknown, None, None)
                }
                Mark::Order(id) => self.order_ended(now, *id, end, 0),
                Mark::Probe(id) => self.probe_failed(now, *id, end),
                Mark::GiveUp | Mark::Other => {}
            }
        }
    }

    /// Its connection is not up in time, or carries nothing for long, or nothing more.
    pub(crate) fn look_at_link(&mut self, now: Micros, id: WorkerConnectionId, io: &mut dyn Io) {
        let Some(link) = self.links.links.get(&id) else {
            return;
        };
        let idle = link.quiet_since + self.limits.idle_close;
        let empty = link.carries.is_empty() && link.out.pending_bytes() == 0;
        if !link.up && link.conn.is_some() && !link.retired {
            self.reset_link(id, io);
            return self.link_ended(now, id, CloseCause::Refused, false);
        }
        if link.carries.is_empty() && (link.retired || (empty && idle <= now)) {
            if let Some(conn) = link.conn {
                self.owners.remove(&conn);
                io.close(conn);
            }
            return self.link_ended(now, id, CloseCause::Orderly, false);
        }
        if link.retired {
            return;
        }
        let again = if link.carries.is_empty() {
            idle
        } else {
            now + self.limits.idle_close
        };
        self.due.insert((again.max(now + 1), Due::Link(id)));
    }

    /// Writes what waits: first all that gives something up, on all connections, then the rest. Guards against a
    /// further attempt that is out on one connection before the first one is given up on another.
    pub(crate) fn flush_links(&mut self, now: Micros, io: &mut dyn Io) {
        for id in std::mem::take(&mut self.links.first) {
            self.guard_writes(now, id);
            self.restate_deadlines(now, id);
            let Some(link) = self.links.links.get_mut(&id).filter(|link| link.up) else {
                continue;
            };
            if let Some(conn) = link.conn {
                link.out.flush_through(&Mark::GiveUp, conn, io);
            }
            if self.on_platform && link.out.is_pending(&Mark::GiveUp) {
                // It reads nothing, so that what is given up there would be out twice at a time.
                self.reset_link(id, io);
                self.link_ended(now, id, CloseCause::Reset, false);
            }
        }
        for id in std::mem::take(&mut self.links.dirty) {
            self.guard_writes(now, id);
            self.restate_deadlines(now, id);
            let Some(link) = self.links.links.get_mut(&id).filter(|link| link.up) else {
                continue;
            };
            if let Some(conn) = link.conn {
                link.out.flush(conn, io);
            }
        }
    }
}
