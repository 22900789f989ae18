//! In which order and when connections made on past terms are replaced.

use crate::OutdatedConnection;
use sanddrum::{Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct Rotation {
    within: Micros,
    at_once: usize,
    due: BTreeSet<(Micros, OutdatedConnection)>,
    /// In use, with a successor under way; retired once it is up, and then at the latest.
    followed: BTreeMap<OutdatedConnection, (WorkerId, Micros)>,
    up: BTreeSet<WorkerId>,
    denied: Vec<OutdatedConnection>,
}

/// A successor is waited for no longer than this part of the stated time.
const SUCCESSOR_PART: Micros = 10;

impl Rotation {
    pub fn new(within: Micros, at_once: f64) -> Self {
        let at_once = (at_once as usize).max(1);
        let (due, followed, up) = (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
        Rotation {
            within,
            at_once,
            due,
            followed,
            up,
            denied: Vec::new(),
        }
    }
    /// Spreads those told of over the stated time, a few at a time: first what carries nothing, then what carries the
    /// least. Successors have their part of the time at its end.
    pub fn add(&mut self, now: Micros, old: &[(OutdatedConnection, usize)]) {
        if old.is_empty() {
            return;
        }
        let mut told: Vec<(usize, OutdatedConnection)> =
            old.iter().map(|(old, carries)| (*carries, *old)).collect();
        told.sort_unstable();
        // Those that have a time already keep their order before these.
        let pending = std::mem::take(&mut self.due)
            .into_iter()
            .map(|(_, old)| old);
        let all: Vec<OutdatedConnection> = pending
            .chain(told.into_iter().map(|(_, old)| old))
            .collect();
        let steps = all.len().div_ceil(self.at_once) as Micros;
        let within = self.within - self.within / SUCCESSOR_PART;
        for (n, old) in all.into_iter().enumerate() {
            let step = (n / self.at_once) as Micros;
            self.due.insert((now + within * step / steps.max(1), old));
        }
    }
    /// These have no time left, and no successor with the same somebody.
    pub fn at_once(&mut self, old: &[OutdatedConnection]) {
        old.iter().for_each(|old| self.ended(*old));
        self.denied.extend(old);
    }
    pub fn take_denied(&mut self) -> Vec<OutdatedConnection> {
        std::mem::take(&mut self.denied)
    }
    pub fn ended(&mut self, old: OutdatedConnection) {
        self.due.retain(|(_, other)| *other != old);
        self.followed.remove(&old);
    }
    /// Those whose time has come.
    pub fn due(&mut self, now: Micros) -> Vec<OutdatedConnection> {
        let later = self.due.split_off(&(
            now + 1,
            OutdatedConnection::Worker(crate::WorkerConnectionId(0)),
        ));
        std::mem::replace(&mut self.due, later)
            .into_iter()
            .map(|(_, old)| old)
            .collect()
    }
    /// Waits for a successor, which is to be begun.
    pub fn waits_for(&mut self, old: OutdatedConnection, worker: WorkerId, now: Micros) {
        self.up.remove(&worker);
        self.followed
            .insert(old, (worker, now + self.within / SUCCESSOR_PART));
    }
    /// A new connection to this worker is up.
    pub fn replaced(&mut self, worker: WorkerId) {
        self.up.insert(worker);
    }
    /// Those with a successor by now, or that have waited for it long enough.
    pub fn succeeded(&mut self, now: Micros) -> Vec<OutdatedConnection> {
        let up = std::mem::take(&mut self.up);
        let over = |(worker, at): &(WorkerId, Micros)| up.contains(worker) || *at <= now;
        let done: Vec<OutdatedConnection> = self
            .followed
            .iter()
            .filter(|(_, of)| over(of))
            .map(|(old, _)| *old)
            .collect();
        self.followed.retain(|old, _| !done.contains(old));
        done
    }
    pub fn next(&self) -> Option<Micros> {
        let followed = self.followed.values().map(|(_, at)| *at).min();
        self.due
            .first()
            .map(|(at, _)| *at)
            .into_iter()
            .chain(followed)
            .min()
    }
}
