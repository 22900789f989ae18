//! Decides when an edge calls the discovery service and tracks the edge's readiness.
//!
//! The host creates one [`Bootstrap`] per edge and calls [`Bootstrap::handle`] with the events since the last call
//! ([`DiscoveryEvent`]) and a receiver for the decisions ([`Decisions`]). All events are recorded before anything is
//! decided.
//!
//! Hundreds of edges that start at the same instant, or lose the discovery service at the same instant, must not all
//! call it at once, and no edge knows whether others are in the same situation. Each edge therefore limits itself to
//! its part of the rate that the service sustains from all edges, and calls at random instants. The first call of an
//! edge with a cached endpoint list is spread over the time that all edges need at that rate, as the edge serves from
//! the cache until then; an edge without endpoints waits for at most a quarter of that time. Retries take tokens from a
//! budget, after delays with decorrelated jitter that are spread over at least the same time, so that edges which lost
//! the service together do not return together. If the configured number of edges is wrong, the rate is wrong by the
//! same factor; nothing else is affected.

mod discovery_client;
mod events;

pub use discovery_client::Bootstrap;
pub use events::{Decisions, DiscoveryEvent, Readiness};
