//! The workers as listed, whether the discovery service or the control feed listed them.

use sanddrum::{CellId, Endpoint, KindId, Micros, WorkerId, WorkerState, ZoneId};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::{EndpointRecord, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// The start time of a worker that has been running for long.
const STARTED_LONG_AGO: Micros = 0;

/// The age that stands for "long" in an endpoint record, in microseconds.
const AGE_LONG: i64 = -1;

/// One start of a worker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerStart {
    /// Larger at each start.
    pub incarnation: u64,
    /// When it started, by the edge's clock; zero: long ago.
    pub started_at: Micros,
}

struct ListedEndpoint {
    record: EndpointRecord,
    started_at: Micros,
}

/// All listed workers.
pub(crate) struct EndpointTable {
    zones: Vec<String>,
    endpoints: BTreeMap<WorkerId, ListedEndpoint>,
}

impl EndpointTable {
    /// No workers, in the zones as set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        EndpointTable {
            zones: settings.names("zones"),
            endpoints: BTreeMap::new(),
        }
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no worker is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// A worker as last listed.
    pub fn record(&self, worker: WorkerId) -> Option<&EndpointRecord> {
        let listed = self.endpoints.get(&worker)?;
        Some(&listed.record)
    }

    /// The phase that a worker was last listed in.
    pub fn phase(&self, worker: WorkerId) -> Option<Phase> {
        self.record(worker).map(|record| record.phase)
    }

    /// The start that a record describes. The same start keeps its instant however often it is listed, as a later instant
    /// would mean a restart; a record of an older incarnation is out of date.
    pub fn start_of(&self, worker: WorkerId, record: &EndpointRecord, now: Micros) -> WorkerStart {
        match self.endpoints.get(&worker) {
            Some(known) if known.record.incarnation >= record.incarnation => WorkerStart {
                incarnation: known.record.incarnation,
                started_at: known.started_at,
            },
            _ if record.age_us < 0 => WorkerStart {
                incarnation: record.incarnation,
                started_at: STARTED_LONG_AGO,
            },
            _ => WorkerStart {
                incarnation: record.incarnation,
                started_at: (now - record.age_us).max(STARTED_LONG_AGO + 1),
            },
        }
    }

    /// A worker as the decision module sees it.
    pub fn endpoint(
        &self,
        worker: WorkerId,
        record: &EndpointRecord,
        started_at: Micros,
    ) -> Endpoint {
        Endpoint {
            worker,
            zone: self.zone(&record.zone),
            cell: CellId(record.cell as usize),
            kind: KindId(record.kind as usize),
            size: record.size,
            state: match record.phase {
                Phase::Ready => WorkerState::Ready,
                Phase::Draining => WorkerState::Draining,
                Phase::Gone => WorkerState::Gone,
            },
            started_at,
        }
    }

    /// Zones that are not set count as one more.
    fn zone(&self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        ZoneId(known.unwrap_or(self.zones.len()))
    }

    /// Adds or replaces a worker.
    pub fn insert(&mut self, worker: WorkerId, record: &EndpointRecord, start: WorkerStart) {
        let record = EndpointRecord {
            incarnation: start.incarnation,
            ..record.clone()
        };
        let listed = ListedEndpoint {
            record,
            started_at: start.started_at,
        };
        self.endpoints.insert(worker, listed);
    }

    /// Removes all workers but these.
    pub fn retain(&mut self, workers: &BTreeSet<WorkerId>) {
        self.endpoints.retain(|worker, _| workers.contains(worker));
    }

    /// Removes workers that are gone. To be used where none comes back under its name.
    pub fn remove_gone(&mut self) {
        self.endpoints
            .retain(|_, listed| listed.record.phase != Phase::Gone);
    }

    /// The workers that are not gone, with their ages at this instant.
    pub fn aged_records(&self, now: Micros) -> Vec<EndpointRecord> {
        let live = self
            .endpoints
            .values()
            .filter(|listed| listed.record.phase != Phase::Gone);
        live.map(|listed| EndpointRecord {
            age_us: age(listed.started_at, now),
            ..listed.record.clone()
        })
        .collect()
    }
}

fn age(started_at: Micros, now: Micros) -> i64 {
    if started_at > STARTED_LONG_AGO {
        now - started_at
    } else {
        AGE_LONG
    }
}
