//! The policy's configuration, read from the settings.

use crate::backoff::Backoff;
use sanddrum::{Micros, Settings};

/// The configuration of a [`ConnectionPolicy`](crate::ConnectionPolicy).
pub(crate) struct Config {
    /// Maximum number of handshakes in flight.
    pub max_handshakes: usize,
    /// Maximum number of handshakes in flight to one worker.
    pub max_handshakes_per_worker: usize,
    /// How many of the most used workers are prewarmed.
    pub prewarmed_workers: usize,
    /// Number of edges that share the workers.
    pub router_count: f64,
    /// How long a worker warms up after its start.
    pub slow_start: Micros,
    /// The fraction of its capacity that a worker has at its start; it grows linearly during slow start.
    pub initial_capacity: f64,
    /// The fraction of its capacity that a worker may spend on handshakes of all edges while they are throttled; zero
    /// or less means no limit.
    pub handshake_fraction: f64,
    /// How long a connection may take to be established.
    pub connect_timeout: Micros,
    /// A worker that was not used for this long is not prewarmed.
    pub idle_timeout: Micros,
    /// Connection attempts per second to workers that were unreachable; the burst is one second's worth.
    pub retries_per_second: f64,
    /// Outdated connections are replaced within this period.
    pub rotation_period: Micros,
    /// How many outdated connections are replaced at a time.
    pub rotation_batch: f64,
    /// The backoff of a worker that has not failed.
    pub backoff: Backoff,
}

impl Config {
    pub fn new(settings: &Settings) -> Self {
        let number = |name: &str, default: f64| settings.number(name).unwrap_or(default);
        let duration = |name: &str, default: f64| number(name, default) as Micros;
        Config {
            max_handshakes: number("limits.handshakes-out", 32.0) as usize,
            max_handshakes_per_worker: number("limits.handshakes-per-worker", 2.0) as usize,
            prewarmed_workers: number("limits.connections-ahead", 0.0) as usize,
            router_count: number("routers", 1.0).max(1.0),
            slow_start: duration("rules.cold-us", 0.0),
            initial_capacity: number("rules.cold-from", 1.0),
            handshake_fraction: number("limits.handshake-part", 0.25),
            connect_timeout: duration("limits.connect-time-out-us", 1e6),
            idle_timeout: duration("limits.idle-close-us", 60e6),
            retries_per_second: number("limits.connect-again", 20.0),
            rotation_period: duration("limits.retire-within-us", 30e6),
            rotation_batch: number("limits.retire-at-once", 4.0),
            backoff: Backoff::new(
                duration("limits.left-alone-least-us", 1e5),
                duration("limits.left-alone-most-us", 1e7),
            ),
        }
    }
}
