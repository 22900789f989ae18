//! The messages of the worker protocol, version 1, as described in docs/protocol.md. Each message is an array of its
//! number and one map with unsigned integers as keys (RFC 8949, section 3.1). Readers skip unknown keys, and writers
//! omit absent optional values.
//!
//! Only numbers go over the wire, not the names of types and fields, so a number is never reused for another meaning.

mod discovery;
mod store;
mod worker;

pub use discovery::{
    EndpointRecord, EndpointUpdate, EndpointUpdateHead, FromDiscovery, FromDiscoveryHead,
    Heartbeat, Phase, ToDiscovery, Watch,
};
pub use store::{Fetch, Fetched, FromStore, ToStore};
pub use worker::{
    Cancel, Done, Execute, ExecutionStatus, FromWorker, HealthCheck, HealthStatus, InstanceState,
    Load, LoadDone, LoadReport, ToWorker, Unload,
};

use minicbor::{Decode, Encode};

/// The protocol version that is sent in a [`Hello`]. Both sides use the lower of their versions.
pub const VERSION: u32 = 1;

/// The first message that each side of a connection sends.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Hello {
    /// The highest version that the sender supports.
    #[n(0)]
    pub version: u32,
    /// The sender's name. An edge closes a connection on which a worker's name is not the one in the endpoint list.
    #[n(1)]
    pub name: String,
    /// The sender's incarnation, which grows from one start of its process to the next.
    #[n(2)]
    #[cbor(default)]
    pub incarnation: u64,
    /// Microseconds since the sender's process started; absent if not reported.
    #[n(3)]
    pub age_us: Option<i64>,
}
