//! What control messages take on the wire, each kind encoded once.

use super::model::Functions;
use sanddrum_wire::{
    frame::encode_frame, Cancel, ExecutionStatus, FromDiscovery, FromWorker, Hello, Load, LoadDone,
    LoadReport, Phase,
};
use sanddrum_wire::{
    EndpointRecord, EndpointUpdate, HealthCheck, HealthStatus, ToWorker, Unload, VERSION,
};

/// Bytes of frames; TLS and what is below it aren't in them.
pub(crate) struct Bytes {
    /// An order or an ask with its answer.
    pub hold: u64,
    pub probe: u64,
    pub cancel: u64,
    pub unload: u64,
    /// Both greetings.
    pub hellos: u64,
    list: u64,
    row: u64,
}

/// A number as long-lived connections and processes have it.
const NUMBER: u64 = 1 << 20;

impl Bytes {
    pub fn new(functions: &Functions) -> Self {
        let last = functions.all.last();
        let function = last.map(|f| f.name.clone()).unwrap_or_default();
        let (memory_mb, lanes) = last.map_or((0.0, 1), |f| (f.memory_mb, f.lanes));
        let hold = Load {
            id: NUMBER,
            function: function.clone(),
            instances: 1,
            memory_mb,
            concurrency: lanes,
        };
        let held = LoadDone {
            id: NUMBER,
            status: ExecutionStatus::Finished,
            instances: 1,
        };
        let some = Some(0.3);
        let report = LoadReport {
            in_flight: some,
            queued: some,
            busy: some,
            memory_pinned: some,
            loads_in_progress: some,
        };
        let hello = Hello {
            version: VERSION,
            name: "worker-10000".into(),
            incarnation: NUMBER,
            age_us: Some(1 << 40),
        };
        let row = EndpointRecord {
            name: "worker-10000".into(),
            address: "10.100.100.100:10000".into(),
            zone: "zone-10".into(),
            size: 8.0,
            phase: Phase::Ready,
            incarnation: NUMBER,
            age_us: 1 << 40,
            ..EndpointRecord::default()
        };
        let rows = |n: usize| {
            let rows = vec![row.clone(); n];
            let rows = EndpointUpdate {
                version: NUMBER,
                service_incarnation: NUMBER,
                is_full_snapshot: false,
                base_version: NUMBER,
                endpoints: rows,
            };
            encode_frame(&FromDiscovery::Endpoints(rows)).len() as u64
        };
        let to = |message: &ToWorker| encode_frame(message).len() as u64;
        let from = |message: &FromWorker| encode_frame(message).len() as u64;
        Bytes {
            hold: to(&ToWorker::Load(hold)) + from(&FromWorker::LoadDone(held)),
            probe: to(&ToWorker::HealthCheck(HealthCheck { id: NUMBER }))
                + from(&FromWorker::HealthStatus(HealthStatus {
                    id: NUMBER,
                    report: Some(report),
                })),
            cancel: to(&ToWorker::Cancel(Cancel { id: NUMBER })),
            unload: to(&ToWorker::Unload(Unload { function })),
            hellos: to(&ToWorker::Hello(hello.clone())) + from(&FromWorker::Hello(hello)),
            list: rows(0),
            row: rows(2) - rows(1),
        }
    }
    pub fn list(&self, rows: usize) -> u64 {
        self.list + self.row * rows as u64
    }
}
