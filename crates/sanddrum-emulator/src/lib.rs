//! Stand-ins for what the product talks to, as cores: a worker that emulates work, loads and memory in simulated
//! time, the store that functions are fetched from, and the service that lists the workers. Faults are scripted
//! through handles that a scenario holds.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

mod faults;
mod ground_truth;
mod handshakes;
mod list_service;
pub mod machine;
mod peers;
mod store;
mod worker;

pub use faults::{ListFaults, Marks, Shared, StoreFaults, WorkerFaults};
pub use ground_truth::{TrueFunction, TrueWorker, Truth};
pub use handshakes::{HandshakeWork, Slowed};
pub use list_service::{ListService, ListSpec};
pub use machine::OnMiss;
pub use store::{Store, StoreSpec};
pub use worker::{Worker, WorkerSpec};
