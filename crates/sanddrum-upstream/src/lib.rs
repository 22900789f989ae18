//! Which connections to workers are opened, kept, left alone and retired, and when. The host makes one [`ConnectionPolicy`]
//! an edge and calls `round` once a round with all that came in ([`ConnectionEvents`]) and a writer ([`Decisions`]). All news is
//! recorded first; only then is decided. It chooses no worker: that is the decision module's matter. Here is decided
//! what becomes of the connections that its choices need.
//!
//! A handshake is work, at the edge and at the worker, and what it takes is learned. So only some are under way at a
//! time; a worker that has just started gets no more of them than a part of what it can do yet, all edges together, with
//! no word between them: each keeps a distance between its own, and begins at a moment drawn by chance. A worker that
//! can't be reached is left alone for a while that grows, and all tries at such workers share one budget, so that a
//! dead zone costs little. ConnectionPolicy made on past terms are replaced a few at a time within a stated time.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

mod backoff;
mod handshake_budget;
mod idle_timeout;
mod rotation;
mod worker;

pub use backoff::Backoff;
pub use handshake_budget::HandshakeCosts;
pub use idle_timeout::IdleTimeoutEstimate;
use rotation::Rotation;
use worker::Worker;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sanddrum::{Micros, Settings, WorkerId};
use sanddrum_limits::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};

/// A connection to a worker, or one that is to be; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerConnectionId(pub u64);

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientConnectionId(pub u64);

/// What a connection is wanted for; the first is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Request,
    /// An order or a probe.
    Control,
    Prewarm,
}

/// A worker as the list has it.
#[derive(Clone, Copy, Debug)]
pub struct ListedWorker {
    pub worker: WorkerId,
    pub size: f64,
    /// When its process started; nought: long ago.
    pub started_at: Micros,
    pub is_ready: bool,
}

/// What waits for a connection that is not up.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest {
    pub connection: WorkerConnectionId,
    pub worker: WorkerId,
    pub purpose: Purpose,
    /// Of no use later than this.
    pub deadline: Micros,
}

/// A connection made on terms that are past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutdatedConnection {
    Worker(WorkerConnectionId),
    Client(ClientConnectionId),
}

/// What came in since the last round.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEvents {
    pub listed_workers: Vec<ListedWorker>,
    /// ListedWorker no more.
    pub removed_workers: Vec<WorkerId>,
    pub requested: Vec<ConnectionRequest>,
    /// Up now; whether its handshake was a short one.
    pub established: Vec<(WorkerConnectionId, bool)>,
    /// It never came to be, or what answered there was not who is listed.
    pub failed: Vec<WorkerConnectionId>,
    /// Gone after it was up, or not wanted any more before.
    pub closed: Vec<WorkerConnectionId>,
    /// Something was sent there, on a connection that is then full to this part.
    pub utilization: Vec<(WorkerId, f64)>,
    /// What it holds and what waits there, as it told.
    pub load_reports: Vec<(WorkerId, f64)>,
    /// Made on past terms, with what it carries.
    pub outdated: Vec<(OutdatedConnection, usize)>,
    /// With somebody who is not believed any more.
    pub revoked: Vec<OutdatedConnection>,
}

impl ConnectionEvents {
    pub fn is_empty(&self) -> bool {
        self.listed_workers.is_empty()
            && self.requested.is_empty()
            && self.established.is_empty()
            && self.failed.is_empty()
            && self.closed.is_empty()
            && self.outdated.is_empty()
            && self.revoked.is_empty()
            && self.removed_workers.is_empty()
            && self.utilization.is_empty()
            && self.load_reports.is_empty()
    }
}

/// RejectReason what waits for a connection is told to go elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It could not be reached a moment ago and is left alone.
    BackingOff,
    /// It could not be reached, and the tries at such workers are used up.
    RetryBudget,
    /// It is cold or handshakes queue there, and it has its share of them for now.
    HandshakeBudget,
}

impl RejectReason {
    pub fn reason(self) -> &'static str {
        match self {
            RejectReason::BackingOff => "left-alone",
            RejectReason::RetryBudget => "connect-again",
            RejectReason::HandshakeBudget => "spared-handshakes",
        }
    }
}

/// Where decisions are written.
pub trait Decisions {
    /// Begin this connection now.
    fn open(&mut self, link: WorkerConnectionId);
    /// Begin one that nothing waits for yet.
    fn prewarm(&mut self, worker: WorkerId);
    /// What waits for it is to be told at once.
    fn reject(&mut self, link: WorkerConnectionId, why: RejectReason);
    /// Give it nothing new; it ends once it carries nothing.
    fn retire(&mut self, old: OutdatedConnection);
    /// Call again then, if not before.
    fn wake_at(&mut self, at: Micros);
}

/// Handshakes queue at a worker where one takes so many times what it usually does.
const QUEUES: Micros = 4;
/// It is then spared for so many of the distances that follow from it.
const SPARED_GAPS: Micros = 2;
/// What waits for a spared worker's connection is told to go elsewhere where the wait would take more than this part of
/// the time that it has left.
const PATIENCE: f64 = 0.25;
/// Where the emptiest connection to a worker is full to this part, a further one is made ahead of need.
const NEARLY_FULL: f64 = 0.75;
/// ConnectionPolicy that nothing waits for leave this part of the handshakes to those that something does.
const AHEAD_PART: f64 = 0.5;

struct Waiting {
    worker: WorkerId,
    need: Purpose,
    due: Micros,
}
struct Begun {
    worker: WorkerId,
    at: Micros,
}

pub struct ConnectionPolicy {
    handshakes: usize,
    per_worker: usize,
    ahead: usize,
    routers: f64,
    cold: Micros,
    cold_from: f64,
    /// The part of what a worker can do that handshakes may take there, all edges together, while it is cold or they
    /// queue there; nought: any.
    handshake_part: f64,
    time_out: Micros,
    idle: Micros,
    chance: Pcg64Mcg,
    workers: BTreeMap<WorkerId, Worker>,
    waiting: BTreeMap<WorkerConnectionId, Waiting>,
    begun: BTreeMap<WorkerConnectionId, Begun>,
    up: BTreeMap<WorkerConnectionId, WorkerId>,
    tight: BTreeSet<WorkerId>,
    /// Something has changed by which a connection ahead of need may be missing.
    look_ahead: bool,
    costs: HandshakeCosts,
    /// Tries at what failed when it was last tried, shared by all who want something there: so many a second, and a
    /// second's worth may be saved up.
    again: TokenBucket,
    again_per_s: f64,
    retiring: Rotation,
    backoff: (Micros, Micros),
}

impl ConnectionPolicy {
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let number = |name: &str, otherwise: f64| settings.number(name).unwrap_or(otherwise);
        let span = |name: &str, otherwise: f64| number(name, otherwise) as Micros;
        let time_out = span("limits.connect-time-out-us", 1e6);
        ConnectionPolicy {
            handshakes: number("limits.handshakes-out", 32.0) as usize,
            per_worker: number("limits.handshakes-per-worker", 2.0) as usize,
            ahead: number("limits.connections-ahead", 0.0) as usize,
            routers: number("routers", 1.0).max(1.0),
            cold: span("rules.cold-us", 0.0),
            cold_from: number("rules.cold-from", 1.0),
            handshake_part: number("limits.handshake-part", 0.25),
            time_out,
            idle: span("limits.idle-close-us", 60e6),
            chance: Pcg64Mcg::seed_from_u64(seed),
            workers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            begun: BTreeMap::new(),
            up: BTreeMap::new(),
            tight: BTreeSet::new(),
            look_ahead: false,
            costs: HandshakeCosts::new(time_out),
            again: TokenBucket::default(),
            again_per_s: number("limits.connect-again", 20.0),
            retiring: Rotation::new(
                span("limits.retire-within-us", 30e6),
                number("limits.retire-at-once", 4.0),
            ),
            backoff: (
                span("limits.left-alone-least-us", 1e5),
                span("limits.left-alone-most-us", 1e7),
            ),
        }
    }
    /// What handshakes take, as learned.
    pub fn costs(&self) -> &HandshakeCosts {
        &self.costs
    }
    pub fn handshakes_in_flight(&self) -> usize {
        self.begun.len()
    }
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    pub fn handle(&mut self, now: Micros, news: &ConnectionEvents, out: &mut impl Decisions) {
        self.record(now, news);
        self.retire(now, out);
        self.serve(now, out);
        self.open_ahead(now, out);
    }

    // ---- What is known

    fn part(&mut self) -> f64 {
        self.chance.random()
    }

    fn record(&mut self, now: Micros, news: &ConnectionEvents) {
        for row in &news.listed_workers {
            let worker = self
                .workers
                .entry(row.worker)
                .or_insert_with(|| Worker::new(self.backoff));
            if worker.started != row.started_at {
                // A new process: what the old one did to us says nothing of it.
                worker.backoff.reset();
                worker.next = None;
                worker.spared_until = Micros::MIN;
            }
            (worker.size, worker.started, worker.ready) = (
                row.size.max(f64::MIN_POSITIVE),
                row.started_at,
                row.is_ready,
            );
        }
        for id in &news.removed_workers {
            self.workers.entry(*id).and_modify(|w| w.ready = false);
        }
        for wanted in &news.requested {
            let ConnectionRequest {
                connection: link,
                worker,
                purpose: need,
                deadline: due,
            } = *wanted;
            if self.begun.contains_key(&link) || self.up.contains_key(&link) {
                continue;
            }
            let waiting = self
                .waiting
                .entry(link)
                .or_insert(Waiting { worker, need, due });
            (waiting.need, waiting.due) = (waiting.need.min(need), waiting.due.max(due));
        }
        for (link, short) in &news.established {
            let Some(begun) = self.begun.remove(link) else {
                continue;
            };
            let (span, usual) = (
                now - begun.at,
                if *short {
                    self.costs.resumed()
                } else {
                    self.costs.full()
                },
            );
            self.costs.record(span, *short);
            if span > QUEUES * usual {
                self.spare(now, begun.worker);
            }
            self.up.insert(*link, begun.worker);
            self.retiring.replaced(begun.worker);
            if let Some(worker) = self.workers.get_mut(&begun.worker) {
                worker.under_way -= 1;
                worker.open += 1;
                worker.backoff.reset();
            }
        }
        for link in &news.failed {
            let part = self.part();
            let (begun, up) = (self.begun.remove(link), self.up.remove(link));
            let id = begun.as_ref().map(|begun| begun.worker).or(up);
            let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else {
                continue;
            };
            worker.under_way -= usize::from(begun.is_some());
            worker.open -= usize::from(up.is_some());
            // What took long to fail is left alone for at least as long, or it would be tried all the time.
            let after = begun.map_or(0, |begun| now - begun.at);
            worker.backoff.record_failure(now, after, part);
            self.retiring.ended(OutdatedConnection::Worker(*link));
            if let Some(id) = id.filter(|_| after * 2 >= self.time_out) {
                self.costs.record(after, false);
                self.spare(now, id);
            }
        }
        for link in &news.closed {
            self.waiting.remove(link);
            self.retiring.ended(OutdatedConnection::Worker(*link));
            if let Some(begun) = self.begun.remove(link) {
                self.workers
                    .entry(begun.worker)
                    .and_modify(|w| w.under_way -= 1);
            }
            if let Some(worker) = self.up.remove(link) {
                self.workers.entry(worker).and_modify(|w| w.open -= 1);
            }
        }
        for (id, full) in &news.utilization {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.used(now, self.idle);
            }
            if *full >= NEARLY_FULL {
                self.tight.insert(*id);
            }
        }
        for (worker, load) in &news.load_reports {
            self.workers.entry(*worker).and_modify(|w| w.load = *load);
        }
        self.retiring.add(now, &news.outdated);
        self.retiring.at_once(&news.revoked);
        self.look_ahead |= !(news.listed_workers.is_empty()
            && news.established.is_empty()
            && news.closed.is_empty());
        if !news.removed_workers.is_empty() {
            let waited: BTreeSet<WorkerId> = self.waiting.values().map(|w| w.worker).collect();
            self.workers
                .retain(|id, w| w.ready || w.open + w.under_way > 0 || waited.contains(id));
        }
    }

    /// Handshakes queue at this worker, or it had no time for one at all: all edges together are too many there. This
    /// guards against a queue of handshakes that is longer than anybody waits, so that all are done for nobody.
    fn spare(&mut self, now: Micros, id: WorkerId) {
        let part = self.part();
        let Some(gap) = self.workers.get(&id).map(|worker| self.gap(now, worker)) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&id) {
            // Where no part of a worker is for handshakes the gap is without end.
            worker.spared_until =
                now.saturating_add(SPARED_GAPS.saturating_mul(gap.max(self.time_out)));
            worker.next = Some(now.saturating_add((part * gap as f64) as Micros));
        }
    }
    /// When a worker that is spared may have its next handshake from here; `None` for all others.
    fn next(&mut self, now: Micros, id: WorkerId) -> Option<Micros> {
        let (part, cold) = (self.part(), self.cold);
        let gap = self.workers.get(&id).map(|worker| self.gap(now, worker))?;
        let worker = self.workers.get_mut(&id)?;
        let is_cold = worker.started > 0 && now < worker.started + cold;
        if self.handshake_part <= 0.0 || !(is_cold || now < worker.spared_until) {
            worker.next = None;
            return None;
        }
        // Alone there is nobody to keep a distance from.
        let others = 1.0 - 1.0 / self.routers;
        Some(
            *worker
                .next
                .get_or_insert(now.saturating_add((part * others * gap as f64) as Micros)),
        )
    }
    /// The distance between two handshakes from here to a worker that is spared: with all edges keeping it, all
    /// handshakes together take their part of what it can do by now.
    fn gap(&self, now: Micros, worker: &Worker) -> Micros {
        let age = (now - worker.started).max(0) as f64 / self.cold.max(1) as f64;
        let warmth = if worker.started <= 0 {
            1.0
        } else {
            self.cold_from + (1.0 - self.cold_from) * age.min(1.0)
        };
        let spent = worker.size * warmth * self.handshake_part.max(f64::MIN_POSITIVE);
        (self.costs.full() as f64 * self.routers / spent) as Micros
    }

    /// How many handshakes may be under way to a worker: one where its own work already waits, where it is spared, or
    /// where nobody knows whether it can be reached.
    fn bound(&self, worker: &Worker) -> usize {
        match worker.load >= worker.size || worker.backoff.has_failed() || worker.next.is_some() {
            true => 1,
            false => self.per_worker,
        }
    }

    // ---- What is decided

    /// Begins what waits, in the order of needs and then of times, as far as there is room; tells the rest whether to
    /// wait or to go elsewhere.
    fn serve(&mut self, now: Micros, out: &mut impl Decisions) {
        let mut order: Vec<(Purpose, Micros, WorkerConnectionId)> = self
            .waiting
            .iter()
            .map(|(link, w)| (w.need, w.due, *link))
            .collect();
        order.sort_unstable();
        for (need, due, link) in order {
            let Some(id) = self.waiting.get(&link).map(|w| w.worker) else {
                continue;
            };
            let spared = self.next(now, id);
            let listed = self.workers.get(&id);
            let Some(worker) = listed.filter(|worker| !worker.backoff.is_backing_off(now)) else {
                self.give_up(link, RejectReason::BackingOff, out);
                continue;
            };
            if let Some(at) = spared.filter(|at| *at > now) {
                match need < Purpose::Prewarm
                    && (at - now) as f64 > PATIENCE * (due - now).max(0) as f64
                {
                    true => self.give_up(link, RejectReason::HandshakeBudget, out),
                    false => out.wake_at(at),
                }
                continue;
            }
            if worker.under_way >= self.bound(worker) || self.begun.len() >= self.handshakes {
                continue;
            }
            if worker.backoff.has_failed()
                && self
                    .again
                    .take(now, self.again_per_s, self.again_per_s)
                    .is_err()
            {
                self.give_up(link, RejectReason::RetryBudget, out);
                continue;
            }
            self.waiting.remove(&link);
            self.begin(now, link, id);
            out.open(link);
        }
    }
    fn give_up(&mut self, link: WorkerConnectionId, why: RejectReason, out: &mut impl Decisions) {
        self.waiting.remove(&link);
        out.reject(link, why);
    }
    fn begin(&mut self, now: Micros, link: WorkerConnectionId, id: WorkerId) {
        self.begun.insert(
            link,
            Begun {
                worker: id,
                at: now,
            },
        );
        let gap = self
            .workers
            .get(&id)
            .map_or(0, |worker| self.gap(now, worker));
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.under_way += 1;
            worker.next = worker.next.map(|_| now + gap);
        }
    }

    /// Keeps a connection to each of the workers that were used most of late, and a further one where those that there
    /// are fill up. The host begins them as any other: they come back as wanted.
    fn open_ahead(&mut self, now: Micros, out: &mut impl Decisions) {
        if !self.look_ahead && self.tight.is_empty() {
            return;
        }
        let room = (self.handshakes as f64 * AHEAD_PART) as usize;
        let ready =
            |w: &Worker| w.ready && !w.backoff.has_failed() && w.load < w.size && w.under_way == 0;
        let waited: BTreeSet<WorkerId> = self.waiting.values().map(|w| w.worker).collect();
        let tight = std::mem::take(&mut self.tight);
        let tight = tight
            .into_iter()
            .filter(|id| self.workers.get(id).is_some_and(ready));
        let mut wanted: Vec<WorkerId> = tight.filter(|id| !waited.contains(id)).collect();
        if self.ahead > 0 && self.look_ahead {
            self.look_ahead = false;
            let used = self
                .workers
                .iter()
                .filter(|(_, w)| w.use_now(now, self.idle) >= 1.0);
            let mut used: Vec<(f64, WorkerId)> = used
                .map(|(id, w)| (-w.use_now(now, self.idle), *id))
                .collect();
            used.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let missing = used.iter().take(self.ahead).filter(|(_, id)| {
                !waited.contains(id)
                    && self
                        .workers
                        .get(id)
                        .is_some_and(|w| w.open == 0 && ready(w))
            });
            wanted.extend(missing.map(|(_, id)| *id));
        }
        let room = room.saturating_sub(self.begun.len() + self.waiting.len());
        wanted.into_iter().take(room).for_each(|id| out.prewarm(id));
    }

    /// Replaces connections made on past terms: where one is in use, its successor is made first.
    fn retire(&mut self, now: Micros, out: &mut impl Decisions) {
        self.retiring
            .take_denied()
            .into_iter()
            .for_each(|old| out.retire(old));
        for old in self.retiring.due(now) {
            let in_use = match old {
                OutdatedConnection::Worker(link) => self.up.get(&link).copied().filter(|id| {
                    self.workers
                        .get(id)
                        .is_some_and(|w| w.ready && w.use_now(now, self.idle) >= 1.0)
                }),
                OutdatedConnection::Client(_) => None,
            };
            match in_use {
                Some(worker) => {
                    self.retiring.waits_for(old, worker, now);
                    out.prewarm(worker);
                }
                None => out.retire(old),
            }
        }
        for old in self.retiring.succeeded(now) {
            out.retire(old);
        }
        if let Some(at) = self.retiring.next() {
            out.wake_at(at);
        }
    }
}
