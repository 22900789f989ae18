//! Decides when an edge calls the discovery service, and how ready the edge is.
//!
//! The host creates one [`Bootstrap`] per edge and calls [`Bootstrap::handle`] with the events since the last call
//! ([`DiscoveryEvent`]) and a receiver for the decisions ([`Decisions`]). All events are recorded before anything is
//! decided.
//!
//! Hundreds of edges that start at the same instant, or lose the discovery service at the same instant, must not all
//! call it at once. No edge knows whether it is alone in this. Each one therefore keeps to its part of the rate that the
//! service bears from all edges, and calls at random instants. The first call of an edge with a cached endpoint list is
//! spread over the time that all edges need at that rate, as the edge serves from the cache meanwhile; an edge without
//! endpoints waits for a quarter of that at most. Retries take tokens from a budget, after delays with decorrelated
//! jitter that are spread over at least the same time, so that edges which lost the service together stay spread. Where
//! the number of edges is configured wrongly the rate is wrong by the same factor, and nothing else is.

mod discovery_client;
mod events;

pub use discovery_client::Bootstrap;
pub use events::{Decisions, DiscoveryEvent, Readiness};
