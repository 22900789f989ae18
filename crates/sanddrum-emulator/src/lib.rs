//! Emulators of the services around an edge, as cores without I/O: a worker with emulated work, loads and memory, the
//! store that functions are fetched from, and the discovery service that lists the workers. A scenario injects faults
//! through handles that it shares with them.

mod discovery_service;
mod faults;
mod ground_truth;
mod handshakes;
pub mod machine;
mod peers;
mod store;
mod upstream;
mod worker;

pub use discovery_service::{DiscoveryService, DiscoverySpec};
pub use faults::{DiscoveryFaults, IdempotencyKeys, Shared, StoreFaults, WorkerFaults};
pub use ground_truth::{FunctionGroundTruth, GroundTruth, WorkerGroundTruth};
pub use handshakes::{HandshakeQueue, HandshakeWork};
pub use machine::{MachineConfig, OnMiss};
pub use store::{Store, StoreSpec};
pub use worker::{Worker, WorkerSpec};
