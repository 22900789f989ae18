//! Decides which connections to workers are opened, prewarmed, rejected and retired, and when.
//!
//! The host creates one [`ConnectionPolicy`] per edge and calls [`ConnectionPolicy::handle`] with the events since the
//! last call ([`ConnectionEvents`]) and a receiver for the decisions ([`Decisions`]). All events are recorded before
//! anything is decided. The policy selects no worker: the decision module does, and this package decides about the
//! connections that its choices require.
//!
//! - **Handshakes** cost CPU time at both ends, and the policy learns how much. Their number in flight is limited. A
//!   worker that has just started spends at most a fraction of its capacity on them, summed over all edges. The edges
//!   do not communicate: each one keeps an interval between its own handshakes and starts at a random point in it.
//! - **Unreachable workers** are retried after an exponential backoff, and all retries share one budget, so that a lost
//!   zone costs little.
//! - **Outdated connections**, made with credentials or settings that have changed, are replaced a few at a time within
//!   a configured period.

mod backoff;
mod config;
mod events;
mod handshake_costs;
mod idle_timeout;
mod policy;
mod rotation;
mod worker;

pub use backoff::Backoff;
pub use events::{
    ClientConnectionId, ConnectionEvents, ConnectionRequest, ConnectionUtilization, Decisions,
    EndpointChange, EstablishedConnection, ListedWorker, OutdatedConnection, Purpose, RejectReason,
    RotationRequest, WorkerConnectionId, WorkerLoad,
};
pub use handshake_costs::HandshakeCosts;
pub use idle_timeout::IdleTimeoutEstimate;
pub use policy::ConnectionPolicy;
