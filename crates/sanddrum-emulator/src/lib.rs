//! Emulators of what the product talks to, as cores without I/O: a worker that emulates work, loads and memory, the store
//! that functions are fetched from, and the discovery service that lists the workers. Faults are injected through
//! handles that a scenario shares with them.

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
pub use ground_truth::{FunctionTruth, GroundTruth, WorkerTruth};
pub use handshakes::{HandshakeQueue, HandshakeWork};
pub use machine::{MachineConfig, OnMiss};
pub use store::{Store, StoreSpec};
pub use worker::{Worker, WorkerSpec};
