//! The sizes of control messages on the wire. Each kind is encoded once.

use super::model::Functions;
use sanddrum_wire::{
    frame::encode_frame, Cancel, ExecutionStatus, FromDiscovery, FromWorker, Hello, Load, LoadDone,
    LoadReport, Phase,
};
use sanddrum_wire::{
    EndpointRecord, EndpointUpdate, HealthCheck, HealthStatus, ToWorker, Unload, VERSION,
};

/// Sizes of frames in bytes, without TLS and the layers below.
pub(crate) struct MessageSizes {
    /// A load command or query with its answer.
    pub load: u64,
    /// A health check with its answer.
    pub health_check: u64,
    pub cancel: u64,
    pub unload: u64,
    /// The hello messages of both sides.
    pub hello_exchange: u64,
    list: u64,
    row: u64,
}

/// A typical id on a long-lived connection, or version of a long-lived process.
const SAMPLE_NUMBER: u64 = 1 << 20;

impl MessageSizes {
    pub fn new(functions: &Functions) -> Self {
        let last = functions.all.last();
        let function = last.map(|f| f.name.clone()).unwrap_or_default();
        let (memory_mb, concurrency) = last.map_or((0.0, 1), |f| (f.memory_mb, f.concurrency));
        let load = Load {
            id: SAMPLE_NUMBER,
            function: function.clone(),
            instances: 1,
            memory_mb,
            concurrency,
        };
        let load_done = LoadDone {
            id: SAMPLE_NUMBER,
            status: ExecutionStatus::Finished,
            instances: 1,
        };
        let sample = Some(0.3);
        let report = LoadReport {
            in_flight: sample,
            queued: sample,
            busy: sample,
            memory_pinned: sample,
            loads_in_progress: sample,
        };
        let hello = Hello {
            version: VERSION,
            name: "worker-10000".into(),
            incarnation: SAMPLE_NUMBER,
            age_us: Some(1 << 40),
        };
        let row = EndpointRecord {
            name: "worker-10000".into(),
            address: "10.100.100.100:10000".into(),
            zone: "zone-10".into(),
            size: 8.0,
            phase: Phase::Ready,
            incarnation: SAMPLE_NUMBER,
            age_us: 1 << 40,
            ..EndpointRecord::default()
        };
        let rows = |n: usize| {
            let rows = vec![row.clone(); n];
            let rows = EndpointUpdate {
                version: SAMPLE_NUMBER,
                service_incarnation: SAMPLE_NUMBER,
                is_full_snapshot: false,
                base_version: SAMPLE_NUMBER,
                endpoints: rows,
            };
            encode_frame(&FromDiscovery::Endpoints(rows)).len() as u64
        };
        let to = |message: &ToWorker| encode_frame(message).len() as u64;
        let from = |message: &FromWorker| encode_frame(message).len() as u64;
        MessageSizes {
            load: to(&ToWorker::Load(load)) + from(&FromWorker::LoadDone(load_done)),
            health_check: to(&ToWorker::HealthCheck(HealthCheck { id: SAMPLE_NUMBER }))
                + from(&FromWorker::HealthStatus(HealthStatus {
                    id: SAMPLE_NUMBER,
                    report: Some(report),
                })),
            cancel: to(&ToWorker::Cancel(Cancel { id: SAMPLE_NUMBER })),
            unload: to(&ToWorker::Unload(Unload { function })),
            hello_exchange: to(&ToWorker::Hello(hello.clone())) + from(&FromWorker::Hello(hello)),
            list: rows(0),
            row: rows(2) - rows(1),
        }
    }
    pub fn list(&self, rows: usize) -> u64 {
        self.list + self.row * rows as u64
    }
}
