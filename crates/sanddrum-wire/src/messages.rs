//! The messages of the worker protocol, version 1, as docs/protocol.md describes them. Each is an array of its number
//! and one map with unsigned integers as keys (RFC 8949, section 3.1). A reader skips keys that it does not know, and
//! writers leave optional values out.
//!
//! Names of types and fields are not on the wire, numbers are: a number is never given a second meaning.

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

/// The protocol's version in a [`Hello`]; both sides speak the lower one.
pub const VERSION: u32 = 1;

/// The first message of both sides of a connection.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Hello {
    /// The highest version that the sender speaks.
    #[n(0)]
    pub version: u32,
    /// The sender's name. An edge closes a connection on which a worker's name is not the one in the endpoint list.
    #[n(1)]
    pub name: String,
    /// The sender's incarnation, which grows from one start of its process to the next.
    #[n(2)]
    #[cbor(default)]
    pub incarnation: u64,
    /// Microseconds since the sender's process started; absent where it does not report them.
    #[n(3)]
    pub age_us: Option<i64>,
}
