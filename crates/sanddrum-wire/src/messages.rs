//! The messages of the worker protocol, version 1. Each is an array of its number and one map with whole numbers as
//! keys (RFC 8949, section 3.1); fields that a reader does not know are skipped, absent ones are absent.

use minicbor::data::Type;
use minicbor::{Decode, Decoder, Encode};

/// The version that both sides name in their greeting; they speak the lesser.
pub const VERSION: u32 = 1;

/// From an edge to a worker.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToWorker {
    #[n(0)]
    Hello(#[n(0)] Hello),
    #[n(1)]
    Execute(#[n(0)] Execute),
    #[n(2)]
    Cancel(#[n(0)] Cancel),
    #[n(3)]
    Load(#[n(0)] Load),
    #[n(4)]
    Unload(#[n(0)] Unload),
    #[n(5)]
    HealthCheck(#[n(0)] HealthCheck),
}

/// From a worker to an edge.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromWorker {
    #[n(0)]
    Hello(#[n(0)] Hello),
    #[n(1)]
    Done(#[n(0)] Done),
    #[n(2)]
    LoadDone(#[n(0)] LoadDone),
    #[n(3)]
    HealthStatus(#[n(0)] HealthStatus),
}

/// To the list service, from edges and workers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToDiscovery {
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// An edge follows the list.
    #[n(1)]
    Watch(#[n(0)] Watch),
    /// A worker tells of itself; again when something changes.
    #[n(2)]
    Register(#[n(0)] EndpointRecord),
    /// A worker's process still runs.
    #[n(3)]
    Heartbeat(#[n(0)] Heartbeat),
}

/// From the list service to an edge.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromDiscovery {
    #[n(0)]
    Hello(#[n(0)] Hello),
    #[n(1)]
    Endpoints(#[n(0)] EndpointUpdate),
}

/// From a worker to the function store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToStore {
    #[n(0)]
    Fetch(#[n(0)] Fetch),
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromStore {
    #[n(0)]
    Fetched(#[n(0)] Fetched),
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Hello {
    #[n(0)]
    pub version: u32,
    #[n(1)]
    pub name: String,
    /// Differs from one start of a process to the next, and grows.
    #[n(2)]
    #[cbor(default)]
    pub incarnation: u64,
    /// Microseconds since this process started; absent where that is not told.
    #[n(3)]
    pub age_us: Option<i64>,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Execute {
    /// Names this execution on this connection; never used twice on one connection.
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub workload: String,
    #[n(2)]
    pub function: String,
    /// No answer is wanted after so many microseconds from its arrival.
    #[n(3)]
    pub time_limit_us: i64,
    #[n(4)]
    pub memory_mb: f64,
    #[n(5)]
    pub concurrency: u32,
    /// The mark by which a repeat of a fingerprinted job is known.
    #[n(6)]
    pub idempotency_key: Option<String>,
    /// Passed through from the client, to find a job's way.
    #[n(7)]
    pub trace: Option<String>,
    #[n(8)]
    #[cbor(with = "minicbor::bytes", default)]
    pub body: Vec<u8>,
    #[n(9)]
    pub customer: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Cancel {
    #[n(0)]
    pub id: u64,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub function: String,
    /// Nought only asks.
    #[n(2)]
    pub instances: u32,
    #[n(3)]
    pub memory_mb: f64,
    #[n(4)]
    pub concurrency: u32,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Unload {
    #[n(0)]
    pub function: String,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct HealthCheck {
    #[n(0)]
    pub id: u64,
}

/// How a worker ended an execution or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ExecutionStatus {
    #[n(0)]
    Finished,
    /// It ran, or may have, and came to nothing.
    #[n(1)]
    Error,
    /// Turned away unlooked at: no room, or draining. It has not run.
    #[n(2)]
    Rejected,
    /// The function is not loaded here, or its load failed. It has not run.
    #[n(3)]
    ColdMiss,
    /// Its time was up, or it was cancelled, before it began. It has not run.
    #[n(4)]
    Dropped,
}

/// What stood loaded when an execution came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum InstanceState {
    #[n(1)]
    Warm,
    #[n(2)]
    StartedLoad,
    #[n(3)]
    WaitedForLoad,
    #[n(4)]
    LoadFailed,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Done {
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub status: ExecutionStatus,
    #[n(2)]
    pub instance: Option<InstanceState>,
    /// Jobs for the same function that were held when this one came.
    #[n(3)]
    pub function_in_flight: Option<u32>,
    #[n(4)]
    pub report: Option<LoadReport>,
    #[n(5)]
    #[cbor(with = "minicbor::bytes", default)]
    pub body: Vec<u8>,
    /// Jobs a second of this job's customer that came here of late, from all edges, this one included.
    #[n(6)]
    pub customer_rate: Option<f64>,
    /// The same of all jobs.
    #[n(7)]
    pub total_rate: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct LoadDone {
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub status: ExecutionStatus,
    #[n(2)]
    pub instances: u32,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct HealthStatus {
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub report: Option<LoadReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct LoadReport {
    #[n(0)]
    pub in_flight: Option<f64>,
    #[n(1)]
    pub queued: Option<f64>,
    #[n(2)]
    pub busy: Option<f64>,
    #[n(3)]
    pub memory_pinned: Option<f64>,
    #[n(4)]
    pub loads_in_progress: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Watch {
    /// The last version that this edge has; nought for none.
    #[n(0)]
    pub version: u64,
    /// Which run of the list service that version is of; nought for none.
    #[n(1)]
    #[cbor(default)]
    pub service_incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(index_only)]
pub enum Phase {
    #[n(0)]
    Ready,
    #[n(1)]
    Draining,
    #[default]
    #[n(2)]
    Gone,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct EndpointRecord {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub address: String,
    #[n(2)]
    #[cbor(default)]
    pub zone: String,
    #[n(3)]
    #[cbor(default)]
    pub cell: u32,
    #[n(4)]
    #[cbor(default)]
    pub kind: u32,
    #[n(5)]
    pub size: f64,
    #[n(6)]
    pub phase: Phase,
    #[n(7)]
    pub incarnation: u64,
    /// Microseconds since its process started; negative where that is long ago.
    #[n(8)]
    pub age_us: i64,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct EndpointUpdate {
    #[n(0)]
    pub version: u64,
    #[n(1)]
    pub service_incarnation: u64,
    /// The whole list, or only what changed since the version that this follows.
    #[n(2)]
    pub is_full_snapshot: bool,
    /// The version that changes apply to.
    #[n(3)]
    #[cbor(default)]
    pub base_version: u64,
    #[n(4)]
    pub endpoints: Vec<EndpointRecord>,
}

/// The head of [`EndpointUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct EndpointUpdateHead {
    pub version: u64,
    pub service_incarnation: u64,
    pub is_full_snapshot: bool,
    pub base_version: u64,
}

impl EndpointUpdate {
    pub fn head(&self) -> EndpointUpdateHead {
        EndpointUpdateHead {
            version: self.version,
            service_incarnation: self.service_incarnation,
            is_full_snapshot: self.is_full_snapshot,
            base_version: self.base_version,
        }
    }
}

/// Reads a [`EndpointUpdate`] as far as its rows and no further; this encoder writes them last.
impl<C> Decode<'_, C> for EndpointUpdateHead {
    fn decode(d: &mut Decoder<'_>, _: &mut C) -> Result<Self, minicbor::decode::Error> {
        let mut head = EndpointUpdateHead::default();
        let keys = d.map()?.unwrap_or(u64::MAX);
        for _ in 0..keys {
            if d.datatype()? == Type::Break {
                break;
            }
            match d.u32()? {
                0 => head.version = d.u64()?,
                1 => head.service_incarnation = d.u64()?,
                2 => head.is_full_snapshot = d.bool()?,
                3 => head.base_version = d.u64()?,
                _ => break,
            }
        }
        Ok(head)
    }
}

/// [`FromDiscovery`] for who follows the list's versions and keeps no rows.
#[derive(Clone, Debug, PartialEq, Decode)]
#[cbor(flat)]
pub enum FromDiscoveryHead {
    #[n(0)]
    Hello(#[n(0)] Hello),
    #[n(1)]
    Endpoints(#[n(0)] EndpointUpdateHead),
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Heartbeat {
    #[n(0)]
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Fetch {
    #[n(0)]
    pub id: u64,
    #[n(1)]
    pub function: String,
    #[n(2)]
    pub size_mb: f64,
}

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Fetched {
    #[n(0)]
    pub id: u64,
    /// Otherwise turned away.
    #[n(1)]
    pub is_complete: bool,
}
