//! Routing decisions for workers that load functions on demand, and the interface through which a host (the simulator's
//! adapter or the running edge) reports events and receives decisions.
//!
//! The crate does no I/O and reads no clock. Every decision is in [`logic`]; the other modules only describe what is
//! decided about.

mod config;
mod decisions;
mod events;
mod ids;
mod lazy;
pub mod logic;
pub mod rendezvous;
mod settings;
mod state;
mod statistics;

pub use decisions::Decisions;
pub use events::{
    AnswerReason, AttemptResult, Endpoint, EndpointConfirmation, EndpointList, EndpointListKind,
    EventBatch, GossipMessage, HealthCheckResult, LoadReport, LoadResult, Outcome, Request, Warmth,
    WorkerState,
};
pub use ids::{
    CellId, CustomerId, FunctionId, KindId, PeerId, RequestId, WorkerId, WorkloadId, ZoneId,
};
pub use logic::Router;
pub use settings::{Settings, Value};

/// Whole microseconds, as an instant of the host's clock or as a span.
pub type Micros = i64;
