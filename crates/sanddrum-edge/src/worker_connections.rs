//! Connections to workers: opened as needed, capped, closed when idle; and how whatever was out on one ended.

mod ends;
mod errands;
mod guard;
mod recall;
mod restate;

use crate::requests::report_of;
use crate::worker_protocol::Reader;
use crate::{Due, Inner, Owner};
use sanddrum::{
    Endpoint, FunctionId, HealthCheckResult, LoadReport, Micros, Outcome, WorkerId, WorkerState,
};
use sanddrum_net::{CloseCause, ConnectionId, Event, Io, Outbox};
use sanddrum_upstream::{
    ConnectionEvents, ConnectionRequest, ConnectionUtilization, EstablishedConnection,
    ListedWorker, OutdatedConnection, Purpose, RejectReason, RotationRequest, WorkerConnectionId,
    WorkerLoad,
};
use sanddrum_wire::{self as wire, EndpointRecord, FromWorker, Hello, VERSION};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that nobody waits for any more begins no later than this: the tenth of a second that the users allow,
/// less a fifth of it for the way.
const WRITTEN_SOON: Micros = 80_000;

/// A piece of what is written to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Mark {
    Execution(u64),
    Order(u64),
    Probe(u64),
    /// Gives an execution up. It is written at once or the connection ends, which gives up as well.
    GiveUp,
    Other,
}

/// Something to be written to a worker.
pub(crate) struct Piece<'a> {
    pub mark: Mark,
    /// Under which the worker answers it.
    pub id: u64,
    pub bytes: &'a [u8],
}

struct Link {
    worker: WorkerId,
    /// None while it waits to be begun.
    conn: Option<ConnectionId>,
    out: Outbox<Mark>,
    frames: Reader,
    /// What is out on it and wants an answer.
    carries: BTreeSet<Mark>,
    /// The same by the ids that answers name, where those are not our own.
    ids: BTreeMap<u64, Mark>,
    /// Ids that have had their end here, and until when an answer under them may still come. Guards against a second
    /// answer to one attempt, taken for the answer to a later one: what runs then would count as never run.
    spent: BTreeMap<u64, Micros>,
    up: bool,
    /// It gets nothing new, and ends once it carries nothing.
    retired: bool,
    quiet_since: Micros,
    /// How long it had carried nothing before what it carries now.
    rested: Micros,
    /// Since when it carries something.
    began: Micros,
}

/// A worker as the list last named it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub name: String,
    pub address: String,
    links: BTreeSet<WorkerConnectionId>,
}

struct Asked {
    worker: WorkerId,
    function: FunctionId,
    link: WorkerConnectionId,
    sent: Micros,
    due: Micros,
}

#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<WorkerConnectionId, Link>,
    targets: BTreeMap<WorkerId, Target>,
    orders: BTreeMap<u64, Asked>,
    probes: BTreeMap<u64, Asked>,
    asked: u64,
    made: u64,
    dirty: BTreeSet<WorkerConnectionId>,
    /// Those on which something is given up; they are written to first.
    first: BTreeSet<WorkerConnectionId>,
    /// What the connection module is to hear in its next round.
    pub news: ConnectionEvents,
}

impl Links {
    pub fn all(&self) -> usize {
        self.links.len()
    }
    /// The connection that has carried nothing for longest and may end.
    fn longest_idle(&self) -> Option<WorkerConnectionId> {
        let idle = self
            .links
            .iter()
            .filter(|(_, l)| l.up && !l.retired && l.carries.is_empty());
        idle.min_by_key(|(id, l)| (l.quiet_since, **id))
            .map(|(id, _)| *id)
    }
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.targets.get(&worker).map(|t| t.name.as_str())
    }
    /// Whether a worker is called elsewhere than this row says.
    pub fn has_moved(&self, row: &EndpointRecord) -> bool {
        let target = self.targets.get(&WorkerId(wire::stable_id(&row.name)));
        target.is_some_and(|target| target.address != row.address)
    }
    /// Other workers called at this address.
    pub fn called_at(&self, row: &EndpointRecord) -> Vec<WorkerId> {
        let others = self
            .targets
            .iter()
            .filter(|(_, t)| t.address == row.address && t.name != row.name);
        others.map(|(worker, _)| *worker).collect()
    }
    /// A worker as listed.
    pub fn set_target(&mut self, row: &Endpoint, name: &str, address: &str) {
        let Endpoint {
            worker,
            size,
            state,
            started_at: started,
            ..
        } = *row;
        if state == WorkerState::Gone {
            self.news.removed_workers.push(worker);
        }
        self.news.listed_workers.push(ListedWorker {
            worker,
            size,
            started_at: started,
            is_ready: state != WorkerState::Gone,
        });
        let target = self.targets.entry(worker).or_default();
        (target.name, target.address) = (name.to_string(), address.to_string());
    }
    /// Takes an execution back of which nothing was written.
    pub fn take_back(&mut self, link: WorkerConnectionId, execution: u64) -> bool {
        self.take_back_mark(link, &Mark::Execution(execution))
    }
    /// Whether an execution is not written to its last byte.
    fn holds(&self, link: WorkerConnectionId, execution: u64) -> bool {
        self.links
            .get(&link)
            .is_some_and(|link| link.out.is_pending(&Mark::Execution(execution)))
    }
    fn take_back_mark(&mut self, link: WorkerConnectionId, mark: &Mark) -> bool {
        self.links
            .get_mut(&link)
            .is_some_and(|link| link.out.remove_unwritten(mark))
    }
    /// What a link carried has ended, and its id is not used there again until then; `true` where a retired one has
    /// nothing more to wait for.
    fn carried_ends(
        &mut self,
        id: WorkerConnectionId,
        mark: Mark,
        now: Micros,
        until: Micros,
    ) -> bool {
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        link.carries.remove(&mark);
        link.spent.retain(|_, until| *until > now);
        let ended = link
            .ids
            .iter()
            .find(|(_, of)| **of == mark)
            .map(|(id, _)| *id);
        if let Some(id) = ended {
            link.ids.remove(&id);
            link.spent.insert(id, until);
        }
        (link.quiet_since, link.rested) = (now, 0);
        link.retired && link.carries.is_empty()
    }
    /// The connection to a worker that carries the least, if one has room.
    fn roomy(
        &self,
        worker: WorkerId,
        streams: usize,
        piece: &Piece<'_>,
        fresh: impl Fn(Micros) -> bool,
    ) -> Option<WorkerConnectionId> {
        let links = self.targets.get(&worker)?.links.iter();
        let links = links.filter_map(|id| self.links.get(id).map(|link| (id, link)));
        // One id stands for one thing on a connection.
        let used =
            |link: &Link| link.ids.contains_key(&piece.id) || link.spent.contains_key(&piece.id);
        let free = links.filter(|(_, link)| piece.mark == Mark::Other || !used(link));
        let fresh = free
            .filter(|(_, link)| !link.carries.is_empty() || !link.up || fresh(link.quiet_since));
        // Of those that carry nothing, the one that did last: the longest idle may be dead without a word.
        let load = fresh.map(|(id, link)| (link.carries.len(), Reverse(link.quiet_since), *id));
        load.min().filter(|(n, ..)| *n < streams).map(|(.., id)| id)
    }
    /// Connections to a worker that have carried nothing for too long.
    fn stale(&self, worker: WorkerId, fresh: impl Fn(Micros) -> bool) -> Vec<WorkerConnectionId> {
        let links = self
            .targets
            .get(&worker)
            .into_iter()
            .flat_map(|target| target.links.iter().copied());
        let stale = |link: &Link| link.up && link.carries.is_empty() && !fresh(link.quiet_since);
        links
            .filter(|id| self.links.get(id).is_some_and(stale))
            .collect()
    }
    fn has_one_to_come(&self, worker: WorkerId) -> bool {
        let links = self
            .targets
            .get(&worker)
            .into_iter()
            .flat_map(|target| &target.links);
        links
            .filter_map(|id| self.links.get(id))
            .any(|link| !link.up)
    }
    /// What the worker told of itself.
    pub fn reported(&mut self, worker: WorkerId, report: &LoadReport) {
        if let (Some(held), Some(queued)) = (report.in_flight, report.queued) {
            self.news.load_reports.push(WorkerLoad {
                worker,
                requests: held + queued,
            });
        }
    }
    pub fn count(&self, worker: WorkerId) -> usize {
        self.targets
            .get(&worker)
            .map_or(0, |target| target.links.len())
    }
}

impl Inner {
    pub(crate) fn release(&mut self, link: WorkerConnectionId, mark: Mark, now: Micros) {
        if self
            .links
            .carried_ends(link, mark, now, now + self.limits.answers_late)
        {
            self.due.insert((now, Due::Link(link)));
        }
    }
    /// Sends to a worker, or says how that ended: nothing was sent then.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        worker: WorkerId,
        piece: Piece<'_>,
        due: Micros,
    ) -> Result<WorkerConnectionId, Outcome> {
        let mark = piece.mark;
        let rests = self.rests;
        let fresh = |since: Micros| rests.is_trusted(now, now - since);
        let id = match self.links.roomy(worker, self.limits.streams, &piece, fresh) {
            Some(id) => id,
            None => {
                let stale = self.links.stale(worker, fresh);
                stale.into_iter().for_each(|id| self.retire_link(now, id));
                self.new_link(now, worker)?
            }
        };
        let link = self.links.links.get_mut(&id).ok_or(Outcome::NoConnection)?;
        if link.out.push(mark, piece.bytes).is_err() {
            // It does not read: as good as unreachable.
            self.figures.limit_hit("waiting-per-worker");
            tracing::warn!(
                worker = self.links.name(worker),
                reason = "waiting-per-worker",
                "a worker reads too slowly"
            );
            return Err(Outcome::NoConnection);
        }
        if mark != Mark::Other {
            if link.carries.is_empty() {
                (link.rested, link.began) = (now - link.quiet_since, now);
            }
            link.carries.insert(mark);
            if self.speech.carries_call_ids() {
                link.ids.insert(piece.id, mark);
            }
        }
        let need = if matches!(mark, Mark::Execution(_)) {
            Purpose::Request
        } else {
            Purpose::Control
        };
        let full = link.carries.len() as f64 / self.limits.streams_wanted as f64;
        let waits = link.conn.is_none();
        let news = &mut self.links.news;
        if waits {
            news.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose: need,
                deadline: due,
            });
        }
        news.utilization.push(ConnectionUtilization {
            worker,
            utilization: full,
        });
        self.links.dirty.insert(id);
        Ok(id)
    }
    /// Writes behind what is already on this connection, if it still stands.
    pub(crate) fn tell(&mut self, id: WorkerConnectionId, bytes: &[u8]) {
        if let Some(link) = self.links.links.get_mut(&id) {
            if link.out.push(Mark::GiveUp, bytes).is_ok() {
                self.links.dirty.insert(id);
                self.links.first.insert(id);
            }
        }
    }
    /// A connection that is to be; the connection module says when it is begun.
    fn new_link(&mut self, now: Micros, worker: WorkerId) -> Result<WorkerConnectionId, Outcome> {
        let target = self
            .links
            .targets
            .get_mut(&worker)
            .ok_or(Outcome::NoConnection)?;
        if target.links.len() >= self.limits.connections {
            self.figures.limit_hit("connections");
            tracing::warn!(
                worker = target.name,
                reason = "connections",
                "all connections to a worker are full"
            );
            return Err(Outcome::Rejected);
        }
        // Guards against workers' connections that leave no descriptor for clients': their requests would lie
        // unaccepted until their time is up.
        if self.links.all() >= self.limits.all_connections {
            self.figures.limit_hit("all-connections");
            let idle = self.links.longest_idle().ok_or(Outcome::NoConnection)?;
            self.retire_link(now, idle);
        }
        self.links.made += 1;
        let id = WorkerConnectionId(self.links.made);
        if let Some(target) = self.links.targets.get_mut(&worker) {
            target.links.insert(id);
        }
        let mut out = Outbox::new(self.limits.waiting_per_worker);
        let name = self.settings.text("edge.name").to_string();
        let hello = Hello {
            version: VERSION,
            name,
            incarnation: self.incarnation,
            age_us: None,
        };
        if let Some(hello) = self.speech.hello(hello) {
            let _ = out.push(Mark::Other, &hello);
        }
        let link = Link {
            worker,
            conn: None,
            out,
            frames: self.speech.reader(self.limits.largest_frame),
            carries: BTreeSet::new(),
            ids: BTreeMap::new(),
            spent: BTreeMap::new(),
            up: false,
            retired: false,
            quiet_since: now,
            rested: 0,
            began: now,
        };
        self.links.links.insert(id, link);
        self.figures.links_open.increment(1.0);
        Ok(id)
    }
    /// Begins a connection that has waited.
    pub(crate) fn begin_link(&mut self, now: Micros, id: WorkerConnectionId, io: &mut dyn Io) {
        let Some(link) = self
            .links
            .links
            .get_mut(&id)
            .filter(|link| link.conn.is_none())
        else {
            return;
        };
        let Some(target) = self.links.targets.get(&link.worker) else {
            return;
        };
        let conn = io.connect_named(&target.address, &target.name);
        link.conn = Some(conn);
        self.owners.insert(conn, Owner::Link(id));
        self.due
            .insert((now + self.limits.connect_time_out, Due::Link(id)));
    }
    /// One that nothing waits for yet.
    pub(crate) fn link_ahead(&mut self, now: Micros, worker: WorkerId) {
        let all = self.links.all() >= self.limits.all_connections;
        if all
            || self.links.has_one_to_come(worker)
            || self.links.count(worker) >= self.limits.connections
        {
            return;
        }
        if let Ok(link) = self.new_link(now, worker) {
            let due = now + self.limits.connect_time_out;
            self.links.news.requested.push(ConnectionRequest {
                connection: link,
                worker,
                purpose: Purpose::Prewarm,
                deadline: due,
            });
        }
    }
    /// What waits for a connection is told that it does not come.
    pub(crate) fn give_link_up(&mut self, now: Micros, id: WorkerConnectionId, why: RejectReason) {
        self.figures.limit_hit(why.reason());
        let end = if why == RejectReason::HandshakeBudget {
            Outcome::Rejected
        } else {
            Outcome::NoConnection
        };
        self.end_link(now, id, |_| end, false);
    }
    pub(crate) fn retire_link(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        link.retired = true;
        let worker = link.worker;
        if let Some(target) = self.links.targets.get_mut(&worker) {
            target.links.remove(&id);
        }
        self.due.insert((now, Due::Link(id)));
    }
    /// A connection was made on terms that are past.
    pub(crate) fn link_is_old(&mut self, id: WorkerConnectionId, denied: bool) {
        let Some(link) = self.links.links.get(&id) else {
            return;
        };
        let carries = link.carries.len();
        match denied {
            true => self.links.news.revoked.push(OutdatedConnection::Worker(id)),
            false => self.links.news.outdated.push(RotationRequest {
                connection: OutdatedConnection::Worker(id),
                in_flight: carries,
            }),
        }
    }

    pub(crate) fn link_event(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        match event {
            Event::Connected { conn } => {
                if let Some(link) = self.links.links.get_mut(&id) {
                    (link.up, link.quiet_since) = (true, now);
                    let resumed = io.peer(conn).is_some_and(|peer| peer.resumed);
                    self.links.news.established.push(EstablishedConnection {
                        connection: id,
                        resumed,
                    });
                    self.links.dirty.insert(id);
                }
            }
            Event::Writable { .. } => {
                if let Some(link) = self.links.links.get_mut(&id) {
                    link.out.unblock();
                    self.links.dirty.insert(id);
                }
            }
            Event::Bytes { bytes, .. } => self.link_bytes(now, id, bytes, io),
            Event::Closed { cause: how, .. } => self.link_ended(now, id, how, false),
            Event::Accepted { .. } => {}
        }
    }

    fn link_bytes(&mut self, now: Micros, id: WorkerConnectionId, bytes: &[u8], io: &mut dyn Io) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        let worker = link.worker;
        let mut frames = std::mem::take(&mut link.frames);
        frames.take_in(bytes);
        loop {
            let Some(link) = self.links.links.get(&id) else {
                return;
            };
            let problem = match frames.next_message(&link.ids) {
                Ok(None) => break,
                Ok(Some(message)) => match self.worker_says(now, id, worker, message) {
                    Ok(()) => continue,
                    Err(problem) => problem,
                },
                Err(problem) => problem,
            };
            self.figures.garbled_links.increment(1);
            let name = self.links.name(worker).unwrap_or_default();
            tracing::warn!(
                worker = name,
                reason = "garbled-worker",
                problem,
                "the connection is ended"
            );
            self.reset_link(id, io);
            return self.link_ended(now, id, CloseCause::Reset, true);
        }
        if let Some(link) = self.links.links.get_mut(&id) {
            link.frames = frames;
        }
    }
    fn reset_link(&mut self, id: WorkerConnectionId, io: &mut dyn Io) {
        if let Some(conn) = self.links.links.get(&id).and_then(|link| link.conn) {
            self.owners.remove(&conn);
            io.reset(conn);
        }
    }

    fn worker_says(
        &mut self,
        now: Micros,
        link: WorkerConnectionId,
        worker: WorkerId,
        says: FromWorker,
    ) -> Result<(), String> {
        match says {
            FromWorker::Hello(hello) => {
                // One that was told as gone meanwhile has no name to compare.
                let Some(name) = self.links.name(worker) else {
                    return Ok(());
                };
                if hello.name != name {
                    return Err(format!("{:?} answers where {name:?} is listed", hello.name));
                }
                if hello.version == 0 {
                    return Err("version 0 of the protocol does not exist".into());
                }
                self.worker_started(now, worker, hello.incarnation, hello.age_us);
            }
            FromWorker::Done(done) => self.execution_answered(now, link, done),
            FromWorker::LoadDone(held) => {
                let end = match held.status {
                    wire::ExecutionStatus::Finished => Outcome::Finished,
                    wire::ExecutionStatus::Error | wire::ExecutionStatus::ColdMiss => {
                        Outcome::Error
                    }
                    wire::ExecutionStatus::Rejected | wire::ExecutionStatus::Dropped => {
                        Outcome::Rejected
                    }
                };
                self.order_ended(now, held.id, end, held.instances);
            }
            FromWorker::HealthStatus(probed) => {
                let report = probed.report.as_ref().map(report_of);
                if let Some(asked) = self.probe_over(now, probed.id) {
                    report
                        .iter()
                        .for_each(|report| self.links.reported(asked.worker, report));
                    let latency = now - asked.sent;
                    self.round.health_check_results.push(HealthCheckResult {
                        worker: asked.worker,
                        outcome: Outcome::Finished,
                        latency,
                        report,
                    });
                }
            }
        }
        Ok(())
    }
}
