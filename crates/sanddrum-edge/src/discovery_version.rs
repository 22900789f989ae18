//! The version of the endpoint list that a client of the discovery service has. It determines whether an update can be
//! applied or updates before it were missed.

use sanddrum_wire::{EndpointUpdateHead, Watch};

/// The version of an endpoint list; all zeros if the client has no list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryVersion {
    /// The incarnation of the discovery service.
    pub service_incarnation: u64,
    /// The version of the list within that incarnation.
    pub version: u64,
}

impl DiscoveryVersion {
    /// The watch request for all updates after this version.
    pub fn watch(self) -> Watch {
        Watch {
            version: self.version,
            service_incarnation: self.service_incarnation,
        }
    }

    /// Whether the update is a full snapshot or a delta based on exactly this version.
    pub fn is_followed_by(self, update: EndpointUpdateHead) -> bool {
        update.is_full_snapshot
            || (update.service_incarnation == self.service_incarnation
                && update.base_version == self.version)
    }

    /// Advances to the version of an update for which [`is_followed_by`](Self::is_followed_by) holds. Returns false
    /// and changes nothing if the update is a snapshot older than this version.
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
