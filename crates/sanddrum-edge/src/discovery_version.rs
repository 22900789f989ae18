//! What of the list service's tale is known: its run and the version of its list. Everything that follows the list
//! decides by it whether rows follow on what it has.

use sanddrum_wire::{EndpointUpdateHead, Watch};

/// The run of the list service and the version of its list that are known; nought for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryVersion {
    pub service_incarnation: u64,
    pub version: u64,
}

impl DiscoveryVersion {
    /// Asks for all that follows on it.
    pub fn watch(self) -> Watch {
        Watch {
            version: self.version,
            service_incarnation: self.service_incarnation,
        }
    }
    /// Whether nothing is missing between what is known and these rows.
    pub fn is_followed_by(self, rows: EndpointUpdateHead) -> bool {
        rows.is_full_snapshot
            || (rows.service_incarnation == self.service_incarnation
                && rows.base_version == self.version)
    }
    /// Takes the version of rows that follow; false for a list that is older than what is known, which changes nothing.
    pub fn advance(&mut self, rows: EndpointUpdateHead) -> bool {
        if rows.is_full_snapshot
            && rows.service_incarnation == self.service_incarnation
            && rows.version < self.version
        {
            return false;
        }
        (self.service_incarnation, self.version) = (rows.service_incarnation, rows.version);
        true
    }
}
