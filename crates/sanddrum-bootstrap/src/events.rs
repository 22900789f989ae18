//! The events passed to [`Bootstrap`](crate::Bootstrap) and the decisions that it returns.

use sanddrum::Micros;

/// The readiness of an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// The edge has no endpoints and can only reject requests.
    NoEndpoints,
    /// The edge uses its cached endpoint list, which may be stale.
    CachedEndpoints,
    /// The edge has received the endpoint list from the discovery service since its start.
    Synced,
}

impl Readiness {
    /// The name used in health responses and logs.
    pub fn name(self) -> &'static str {
        match self {
            Readiness::NoEndpoints => "no-list",
            Readiness::CachedEndpoints => "kept-list",
            Readiness::Synced => "told",
        }
    }
}

/// An event since the last call of [`Bootstrap::handle`](crate::Bootstrap::handle).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// The process has started.
    Started {
        /// Whether it has a cached endpoint list.
        has_cache: bool,
    },
    /// The service answered with endpoints: a full snapshot, or the changes since the known version.
    Answered,
    /// The service sent a change that does not directly follow the known version.
    Gap,
    /// The connection could not be established or was closed.
    Disconnected,
}

/// Receives the decisions of [`Bootstrap`](crate::Bootstrap).
pub trait Decisions {
    /// Connects to the service and sends the known version.
    fn connect(&mut self);
    /// Requests all changes since the known version on the established connection.
    fn poll(&mut self);
    /// Closes the connection because the service does not answer on it.
    fn disconnect(&mut self);
    /// Requests the next call of `handle` at this instant, or earlier if there are events.
    fn wake_at(&mut self, at: Micros);
}
