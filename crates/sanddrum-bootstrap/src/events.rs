//! The events that [`Bootstrap`](crate::Bootstrap) is given, and the decisions that it returns.

use sanddrum::Micros;

/// How far an edge's start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// The edge knows no endpoint: it can only reject requests.
    NoEndpoints,
    /// The edge serves from the endpoint list that it had cached, which may be stale.
    CachedEndpoints,
    /// The discovery service has sent the endpoint list since the start.
    Synced,
}

impl Readiness {
    /// The name on the health page and in logs.
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
    /// The service sent a change that does not follow on the known version.
    Gap,
    /// The connection could not be established, or ended.
    Disconnected,
}

/// Receives the decisions.
pub trait Decisions {
    /// Connect to the service and send the known version.
    fn connect(&mut self);
    /// On the established connection, request all changes since the known version.
    fn poll(&mut self);
    /// Close the connection, as the service does not answer on it.
    fn disconnect(&mut self);
    /// Call `handle` again at this instant, if not before.
    fn wake_at(&mut self, at: Micros);
}
