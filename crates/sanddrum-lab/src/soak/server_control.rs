//! How the environment controls an emulated model server.

use super::link_faults::LinkMode;
use super::server_modes::ServerMode;
use sanddrum_net::Micros;

/// How the environment controls a server while it runs.
#[derive(Clone, Copy, Debug)]
pub struct ServerControl {
    pub mode: ServerMode,
    /// What the links to the server do.
    pub link: LinkMode,
    /// Whether the server is draining: it finishes its open requests and rejects new ones until it is gone.
    pub is_draining: bool,
    /// Set once the server has read nothing for a while.
    pub freeze: Option<Freeze>,
}

/// A time in which a server read nothing, neither on open nor on new connections.
#[derive(Clone, Copy, Debug)]
pub struct Freeze {
    /// When it began.
    pub from: Micros,
    /// What the server reads until this time may have arrived from the beginning on.
    pub arrivals_unknown_until: Micros,
}

impl ServerControl {
    /// A server that behaves, on links without faults.
    pub fn normal() -> Self {
        ServerControl {
            mode: ServerMode::Normal,
            link: LinkMode::Normal,
            is_draining: false,
            freeze: None,
        }
    }
    /// Returns the earliest time at which what the server reads now may have arrived, if it was frozen before.
    pub fn arrived_since(&self, now: Micros) -> Option<Micros> {
        let freeze = self.freeze?;
        (now < freeze.arrivals_unknown_until).then_some(freeze.from)
    }
}
