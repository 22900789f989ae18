//! Which version of the endpoint list a client of the discovery service has. By it the client decides whether an update
//! follows on what it has.

use sanddrum_wire::{EndpointUpdateHead, Watch};

/// The version of an endpoint list; all zero for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryVersion {
    /// The incarnation of the discovery service.
    pub service_incarnation: u64,
    /// The version of its list.
    pub version: u64,
}

impl DiscoveryVersion {
    /// The watch request for all that follows on this version.
    pub fn watch(self) -> Watch {
        Watch {
            version: self.version,
            service_incarnation: self.service_incarnation,
        }
    }

    /// Whether nothing is missing between this version and the update.
    pub fn is_followed_by(self, update: EndpointUpdateHead) -> bool {
        update.is_full_snapshot
            || (update.service_incarnation == self.service_incarnation
                && update.base_version == self.version)
    }

    /// Takes the version of an update that follows. Returns false for a snapshot that is older than this version, which
    /// changes nothing.
    pub fn advance(&mut self, update: EndpointUpdateHead) -> bool {
        let is_outdated = update.is_full_snapshot
            && update.service_incarnation == self.service_incarnation
            && update.version < self.version;
        if is_outdated {
            return false;
        }
        self.service_incarnation = update.service_incarnation;
        self.version = update.version;
        true
    }
}
