//! Connections of hollow routers to hollow workers: the connection module as it is decides on them.

use super::super::decision_host::{Link, Mark};
use super::*;
use sanddrum_upstream::{
    ConnectionRequest, ConnectionUtilization, Decisions, EstablishedConnection, ListedWorker,
    OutdatedConnection, Purpose, RejectReason, WorkerConnectionId,
};
use std::cmp::Reverse;

/// What the connection module decided, carried out after its round.
#[derive(Default)]
struct Decided(Vec<Connecting>);

enum Connecting {
    Open(WorkerConnectionId),
    OpenAhead(WorkerId),
    GiveUp(WorkerConnectionId, RejectReason),
    Retire(WorkerConnectionId),
    WakeAt(Micros),
}

impl Decisions for Decided {
    fn open(&mut self, link: WorkerConnectionId) {
        self.0.push(Connecting::Open(link));
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.0.push(Connecting::OpenAhead(worker));
    }
    fn reject(&mut self, link: WorkerConnectionId, why: RejectReason) {
        self.0.push(Connecting::GiveUp(link, why));
    }
    fn retire(&mut self, old: OutdatedConnection) {
        if let OutdatedConnection::Worker(link) = old {
            self.0.push(Connecting::Retire(link));
        }
    }
    fn wake_at(&mut self, at: Micros) {
        self.0.push(Connecting::WakeAt(at));
    }
}

impl Fleet {
    /// Sends to a worker on the connection that carries the least, or on a new one; or says how that ended.
    pub(super) fn send(
        &mut self,
        router: usize,
        worker: WorkerId,
        mark: Mark,
        message: Message,
        due: Micros,
    ) -> Result<WorkerConnectionId, Outcome> {
        let streams = self.model.streams;
        let host = &self.hosts[router];
        let targets = host.targets.get(&worker).ok_or(Outcome::NoConnection)?;
        let links = targets
            .iter()
            .filter_map(|id| Some((id, host.links.get(id)?)));
        let least = links
            .map(|(id, link)| (link.carries.len(), Reverse(link.quiet_since), *id))
            .min();
        let id = match least.filter(|(carried, ..)| *carried < streams) {
            Some((.., id)) => id,
            None => self.new_link(router, worker)?,
        };
        let host = &mut self.hosts[router];
        let link = host.links.get_mut(&id).ok_or(Outcome::NoConnection)?;
        link.out.push((mark, message));
        if mark != Mark::Other {
            link.carries.insert(mark);
        }
        let need = if matches!(mark, Mark::Execution(_)) {
            Purpose::Request
        } else {
            Purpose::Control
        };
        let full = link.carries.len() as f64 / streams as f64;
        if !link.dialled {
            host.news.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose: need,
                deadline: due,
            });
        }
        host.news.utilization.push(ConnectionUtilization {
            worker,
            utilization: full,
        });
        host.dirty.insert(id);
        Ok(id)
    }
    /// Written behind what is already on a connection, if it still stands.
    pub(super) fn tell(&mut self, router: usize, id: WorkerConnectionId, message: Message) {
        let host = &mut self.hosts[router];
        if let Some(link) = host.links.get_mut(&id) {
            link.out.push((Mark::Other, message));
            host.dirty.insert(id);
        }
    }
    fn new_link(&mut self, router: usize, worker: WorkerId) -> Result<WorkerConnectionId, Outcome> {
        let (now, most) = (self.now, self.model.connections);
        let to = self
            .by_id
            .get(&worker)
            .copied()
            .ok_or(Outcome::NoConnection)?;
        let host = &mut self.hosts[router];
        let target = host.targets.get_mut(&worker).ok_or(Outcome::NoConnection)?;
        if target.len() >= most {
            return Err(Outcome::Rejected);
        }
        host.made += 1;
        let id = WorkerConnectionId(host.made);
        target.insert(id);
        host.links.insert(id, Link::new(to, worker, now));
        Ok(id)
    }
    /// Takes an execution back of which nothing was written.
    pub(super) fn take_back(&mut self, router: usize, id: u64) -> bool {
        let host = &mut self.hosts[router];
        let Some(link) = host
            .executions
            .get(&id)
            .and_then(|out| host.links.get_mut(&out.link))
        else {
            return false;
        };
        let before = link.out.len();
        link.out.retain(|(mark, _)| *mark != Mark::Execution(id));
        link.out.len() < before
    }
    /// What a connection carried has ended.
    pub(super) fn release(&mut self, router: usize, id: WorkerConnectionId, mark: Mark) {
        let now = self.now;
        let Some(link) = self.hosts[router].links.get_mut(&id) else {
            return;
        };
        link.carries.remove(&mark);
        link.quiet_since = now;
        if link.retired && link.carries.is_empty() {
            self.post(now, Event::Link { router, link: id });
        }
    }

    /// The connection module's round, where it is due or something came in.
    pub(super) fn connect(&mut self, router: usize) {
        let now = self.now;
        let host = &mut self.hosts[router];
        let due = host.connect_wake.is_some_and(|at| at <= now);
        if !due && host.news.is_empty() {
            return;
        }
        host.connect_wake = None;
        let (news, mut decided) = (std::mem::take(&mut host.news), Decided::default());
        let began = Clock::now();
        host.connections.handle(now, &news, &mut decided);
        host.counts.connection_nanoseconds += self.clock.passed(began);
        for decision in decided.0 {
            match decision {
                Connecting::Open(link) => self.dial(router, link),
                Connecting::OpenAhead(worker) => self.link_ahead(router, worker),
                Connecting::GiveUp(link, why) => {
                    let end = if why == RejectReason::HandshakeBudget {
                        Outcome::Rejected
                    } else {
                        Outcome::NoConnection
                    };
                    self.end_link(router, link, end);
                }
                Connecting::Retire(link) => self.retire_link(router, link),
                Connecting::WakeAt(at) => {
                    let wake = &mut self.hosts[router].connect_wake;
                    *wake = Some(wake.map_or(at, |set| set.min(at)));
                }
            }
        }
    }
    fn dial(&mut self, router: usize, id: WorkerConnectionId) {
        let now = self.now;
        let hellos = self.bytes.hellos;
        let host = &mut self.hosts[router];
        let zone = host.zone;
        let Some(link) = host.links.get_mut(&id).filter(|link| !link.dialled) else {
            return;
        };
        let worker = &self.workers[link.to];
        (link.dialled, link.incarnation) = (true, worker.incarnation);
        let (up, to_zone) = (worker.up, worker.zone);
        host.counts.handshakes += 1;
        (host.counts.messages, host.counts.bytes) =
            (host.counts.messages + 2, host.counts.bytes + hellos);
        if up {
            let way = self.way(zone, to_zone);
            self.post(now + 2 * way, Event::LinkUp { router, link: id });
        }
        self.post(
            now + self.model.connect_time_out,
            Event::Link { router, link: id },
        );
    }
    fn link_ahead(&mut self, router: usize, worker: WorkerId) {
        let host = &self.hosts[router];
        let Some(target) = host.targets.get(&worker) else {
            return;
        };
        let to_come = target
            .iter()
            .filter_map(|id| host.links.get(id))
            .any(|link| !link.up);
        if to_come || target.len() >= self.model.connections {
            return;
        }
        if let Ok(link) = self.new_link(router, worker) {
            let due = self.now + self.model.connect_time_out;
            self.hosts[router].news.requested.push(ConnectionRequest {
                connection: link,
                worker,
                purpose: Purpose::Prewarm,
                deadline: due,
            });
        }
    }
    pub(super) fn link_up(&mut self, router: usize, id: WorkerConnectionId) {
        let (now, host) = (self.now, &mut self.hosts[router]);
        if let Some(link) = host.links.get_mut(&id) {
            (link.up, link.quiet_since) = (true, now);
            host.news.established.push(EstablishedConnection {
                connection: id,
                resumed: false,
            });
            host.dirty.insert(id);
            self.touched_routers.insert(router);
        }
    }
    /// It is not up in time, or carries nothing for long, or nothing more.
    pub(super) fn look_at_link(&mut self, router: usize, id: WorkerConnectionId) {
        let (now, idle_close) = (self.now, self.model.idle_close);
        let Some(link) = self.hosts[router].links.get(&id) else {
            return;
        };
        self.touched_routers.insert(router);
        let idle = link.quiet_since + idle_close;
        if !link.up && link.dialled && !link.retired {
            return self.end_link(router, id, Outcome::NoConnection);
        }
        let empty = link.carries.is_empty();
        if empty && (link.retired || (link.out.is_empty() && idle <= now)) {
            return self.end_link(router, id, Outcome::Reset);
        }
        if !link.retired {
            let again = if empty { idle } else { now + idle_close };
            self.post(again.max(now + 1), Event::Link { router, link: id });
        }
    }
    /// A connection is gone, with all that it carried.
    pub(super) fn end_link(&mut self, router: usize, id: WorkerConnectionId, end: Outcome) {
        let host = &mut self.hosts[router];
        let Some(link) = host.links.remove(&id) else {
            return;
        };
        host.dirty.remove(&id);
        if let Some(target) = host.targets.get_mut(&link.worker) {
            target.remove(&id);
        }
        let failed = link.dialled && !link.up && !link.retired;
        if failed {
            &mut host.news.failed
        } else {
            &mut host.news.closed
        }
        .push(id);
        for mark in link.carries {
            match mark {
                Mark::Execution(id) => self.end_execution(router, id, end),
                Mark::Order(id) => self.end_order(router, id, end, 0),
                Mark::Probe(id) => self.end_probe(router, id, end, None),
                Mark::Other => {}
            }
        }
        self.touched_routers.insert(router);
    }
    fn retire_link(&mut self, router: usize, id: WorkerConnectionId) {
        let host = &mut self.hosts[router];
        let Some(link) = host.links.get_mut(&id) else {
            return;
        };
        link.retired = true;
        if let Some(target) = host.targets.get_mut(&link.worker) {
            target.remove(&id);
        }
        self.post(self.now, Event::Link { router, link: id });
    }
    /// Writes what waits on connections that are up.
    pub(super) fn flush(&mut self, router: usize) {
        let now = self.now;
        for id in std::mem::take(&mut self.hosts[router].dirty) {
            let zone = self.hosts[router].zone;
            let Some(link) = self.hosts[router].links.get_mut(&id).filter(|link| link.up) else {
                continue;
            };
            let (worker, incarnation) = (link.to, link.incarnation);
            let out = std::mem::take(&mut link.out);
            let way = self.way(zone, self.workers[worker].zone);
            for (_, message) in out {
                self.post(
                    now + way,
                    Event::ToWorker {
                        worker,
                        incarnation,
                        router,
                        message,
                    },
                );
            }
        }
    }

    /// The list as it concerns connections: who may be called, and from whom what is unwritten is taken back.
    pub(super) fn listed(&mut self, router: usize, list: &EndpointList) {
        for row in &list.endpoints {
            let (worker, ready) = (row.worker, row.state != WorkerState::Gone);
            let host = &mut self.hosts[router];
            if !ready {
                host.news.removed_workers.push(worker);
            }
            host.news.listed_workers.push(ListedWorker {
                worker,
                size: row.size,
                started_at: row.started_at,
                is_ready: ready,
            });
            host.targets.entry(worker).or_default();
            if row.state == WorkerState::Ready {
                continue;
            }
            self.recall_from(router, worker);
            if !ready {
                let links = self.hosts[router]
                    .targets
                    .remove(&worker)
                    .unwrap_or_default();
                links
                    .into_iter()
                    .for_each(|id| self.retire_link(router, id));
            }
        }
    }
    fn recall_from(&mut self, router: usize, worker: WorkerId) {
        let host = &mut self.hosts[router];
        let mut back = Vec::new();
        for id in host.targets.get(&worker).into_iter().flatten() {
            if let Some(link) = host.links.get_mut(id) {
                back.extend(
                    link.out
                        .iter()
                        .map(|(mark, _)| *mark)
                        .filter(|mark| *mark != Mark::Other),
                );
                link.out.retain(|(mark, _)| *mark == Mark::Other);
            }
        }
        for mark in back {
            match mark {
                Mark::Execution(id) => {
                    self.end_execution(router, id, Outcome::CancelledBeforeStart)
                }
                Mark::Order(id) => self.end_order(router, id, Outcome::Rejected, 0),
                Mark::Probe(id) => self.end_probe(router, id, Outcome::CancelledBeforeStart, None),
                Mark::Other => {}
            }
        }
    }
    /// A worker's process has ended: its connections break.
    pub(super) fn break_links(&mut self, worker: usize) {
        for router in 0..self.hosts.len() {
            let host = &self.hosts[router];
            let at = self.now + self.way(host.zone, self.workers[worker].zone);
            let of = |(id, link): (&WorkerConnectionId, &Link)| (link.to == worker).then_some(*id);
            let broken: Vec<WorkerConnectionId> = host.links.iter().filter_map(of).collect();
            broken.into_iter().for_each(|link| {
                self.post(at, Event::LinkBroken { router, link });
            });
        }
    }
}
