//! Routing decisions for workers that load functions on demand, and the interface through which a host (the simulator
//! adapter or the edge) reports events and receives decisions.
//!
//! The crate does no I/O and reads no clock. All decisions are made in [`logic`]; the other modules define the events,
//! the settings and the state that it works on.

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

pub use decisions::{AttemptLimits, Decisions, NO_SEND_DEADLINE};
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

/// Microseconds: an instant of the host's clock, or a duration.
pub type Micros = i64;
