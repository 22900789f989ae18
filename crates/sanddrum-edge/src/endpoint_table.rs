//! The listed workers, whether they come from the discovery service, the control feed or the cache.

use crate::idempotency_key::WorkerLocation;
use sanddrum::{CellId, Endpoint, KindId, Micros, WorkerId, WorkerState, ZoneId};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::{EndpointRecord, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// The start time of a worker whose age is unknown or long.
const STARTED_LONG_AGO: Micros = 0;

/// The value of `age_us` in an endpoint record for a worker whose age is unknown or long.
const UNKNOWN_AGE_US: i64 = -1;

/// One start of a worker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerStart {
    /// The incarnation, higher at each start.
    pub incarnation: u64,
    /// When it started, by the edge's clock; zero means long ago.
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
    /// An empty table with the configured zones.
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

    /// The last record of a worker.
    pub fn record(&self, worker: WorkerId) -> Option<&EndpointRecord> {
        let listed = self.endpoints.get(&worker)?;
        Some(&listed.record)
    }

    /// The phase in the last record of a worker.
    pub fn phase(&self, worker: WorkerId) -> Option<Phase> {
        self.record(worker).map(|record| record.phase)
    }

    /// The location of a worker, if it is listed.
    pub fn location(&self, worker: WorkerId) -> Option<WorkerLocation> {
        self.record(worker).map(|record| WorkerLocation {
            zone: self.zone(&record.zone),
            cell: CellId(record.cell as usize),
        })
    }

    /// The process start that a record describes. A start that is already known keeps its instant, because the
    /// decision module takes a later instant for a restart. A record of an older incarnation is outdated, and yields
    /// the known start.
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

    /// Converts a record to the decision module's representation.
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

    /// The id of a zone. All zones that are not configured share one additional id.
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

    /// Removes all workers that are not in `workers`.
    pub fn retain(&mut self, workers: &BTreeSet<WorkerId>) {
        self.endpoints.retain(|worker, _| workers.contains(worker));
    }

    /// Removes workers that are gone. Only valid if a worker never returns under the same name.
    pub fn remove_gone(&mut self) {
        self.endpoints
            .retain(|_, listed| listed.record.phase != Phase::Gone);
    }

    /// The records of all workers that are not gone, with their ages at `now`.
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
        UNKNOWN_AGE_US
    }
}
