//! A set of Ed25519 keys (RFC 8037) with a version, and a state for each key.
//!
//! Versions only increase, and what was revoked stays revoked.

mod file;
mod secret;

pub use secret::{SecretKey, SecretKeyError};

use crate::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The longest key id in bytes.
const MAX_KEY_ID_BYTES: usize = 64;

/// What a key is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Edges know it, and it verifies nothing yet.
    Coming,
    /// It signs, and verifies.
    Signing,
    /// It no longer signs, and verifies until this instant.
    Retiring(Seconds),
    /// It verifies nothing, for good.
    Revoked,
}

impl KeyState {
    fn verifies(self, now: Seconds) -> bool {
        match self {
            KeyState::Signing => true,
            KeyState::Retiring(until) => now < until,
            KeyState::Coming | KeyState::Revoked => false,
        }
    }
}

/// A public key and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey {
    /// The key's 32 bytes in base64url (RFC 8037, section 2).
    pub x: String,
    /// Its state.
    pub state: KeyState,
}

/// A version of the key set.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct KeySet {
    /// The version; it increases with each change.
    pub version: u64,
    /// The keys by their ids.
    pub keys: BTreeMap<String, PublicKey>,
}

/// Why a key set is rejected. The last accepted one stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeySetError {
    /// The file is no key set: torn, empty, or something else. The reason is text only, so that errors compare equal.
    #[error("it can't be read: {0}")]
    Unreadable(String),
    /// Its version is lower than one that was in force.
    #[error("version {version} is older than {min_version}, which was in force")]
    Older {
        /// Its version.
        version: u64,
        /// The lowest acceptable version.
        min_version: u64,
    },
    /// It differs from the key set in force, and has the same version.
    #[error("version {0} is in force with another content; raise the version")]
    SameVersion(u64),
    /// A key is missing that still verifies.
    #[error("key {0} still verifies and is missing; retire or revoke it first")]
    MissingKey(String),
    /// A revoked key is in another state again.
    #[error("key {0} was revoked and stays so; make a new key")]
    RevokedKeyReturned(String),
}

impl KeySetError {
    /// The reason in logs, metrics and the audit.
    pub fn reason(&self) -> &'static str {
        match self {
            KeySetError::Unreadable(_) => "keys-unreadable",
            KeySetError::Older { .. } => "keys-older",
            KeySetError::SameVersion(_) => "keys-same-version",
            KeySetError::MissingKey(_) => "keys-shrunken",
            KeySetError::RevokedKeyReturned(_) => "keys-revived",
        }
    }
}

/// Why an operator's change of a key set is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyChangeError {
    /// A key has this id already, or the id is empty or too long.
    #[error("key {0:?} is there already, or its name is not of 1 to {MAX_KEY_ID_BYTES} bytes")]
    InvalidId(String),
    /// There is no key that could sign next.
    #[error("no key is coming; add one first, so that every edge knows it before it signs")]
    NoneComing,
    /// No key has this id.
    #[error("no key {0:?} in this set")]
    UnknownId(String),
}

/// What outlives a restart: the lowest acceptable version, and all keys that were revoked. It is recorded before a key set
/// comes into force, so that a crash in between errs on the safe side.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeySetFloor {
    /// The highest version that was in force.
    pub version: u64,
    /// The ids of all keys that were revoked.
    pub revoked: BTreeSet<String>,
}

impl KeySet {
    /// Checks that this set may come into force. `current` is the set in force in this process, `floor` what any earlier
    /// process recorded.
    ///
    /// # Errors
    /// [`KeySetError`]: why it may not.
    pub fn check_successor(
        &self,
        current: Option<&KeySet>,
        floor: &KeySetFloor,
        now: Seconds,
    ) -> Result<(), KeySetError> {
        if self.version < floor.version {
            return Err(KeySetError::Older {
                version: self.version,
                min_version: floor.version,
            });
        }
        if let Some(key_id) = floor.revoked.iter().find(|id| self.has_unrevoked(id)) {
            return Err(KeySetError::RevokedKeyReturned(key_id.clone()));
        }
        let Some(current) = current else {
            return Ok(());
        };
        if self.version == current.version && self != current {
            return Err(KeySetError::SameVersion(self.version));
        }
        let missing = current
            .keys
            .iter()
            .find(|(id, key)| key.state.verifies(now) && !self.keys.contains_key(*id));
        match missing {
            Some((key_id, _)) => Err(KeySetError::MissingKey(key_id.clone())),
            None => Ok(()),
        }
    }

    fn has_unrevoked(&self, key_id: &str) -> bool {
        self.keys
            .get(key_id)
            .is_some_and(|key| key.state != KeyState::Revoked)
    }

    /// What a restart must remember when this set comes into force, in addition to what it remembered before.
    pub fn floor(&self, before: &KeySetFloor) -> KeySetFloor {
        let revoked = self
            .keys
            .iter()
            .filter(|(_, key)| key.state == KeyState::Revoked)
            .map(|(id, _)| id.clone());
        KeySetFloor {
            version: self.version.max(before.version),
            revoked: before.revoked.iter().cloned().chain(revoked).collect(),
        }
    }

    /// The id of the key that signs, if there is one.
    pub fn signing_key(&self) -> Option<&str> {
        self.key_in_state(KeyState::Signing)
    }

    fn key_in_state(&self, state: KeyState) -> Option<&str> {
        self.keys
            .iter()
            .find(|(_, key)| key.state == state)
            .map(|(id, _)| id.as_str())
    }
}

/// Changes by operators. Each increases the version.
impl KeySet {
    /// Adds a key, by the base64url of its 32 bytes: the first one signs, a further one is coming.
    ///
    /// # Errors
    /// [`KeyChangeError::InvalidId`]
    pub fn add(&mut self, key_id: &str, x: String) -> Result<(), KeyChangeError> {
        if self.keys.contains_key(key_id) || !has_valid_length(key_id) {
            return Err(KeyChangeError::InvalidId(key_id.to_string()));
        }
        let state = if self.signing_key().is_none() {
            KeyState::Signing
        } else {
            KeyState::Coming
        };
        self.keys.insert(key_id.to_string(), PublicKey { x, state });
        self.version += 1;
        Ok(())
    }

    /// The coming key signs from now on; the one that signed retires until `until`. Returns the id of the new one.
    ///
    /// # Errors
    /// [`KeyChangeError::NoneComing`]
    pub fn rotate(&mut self, until: Seconds) -> Result<String, KeyChangeError> {
        let coming = self
            .key_in_state(KeyState::Coming)
            .ok_or(KeyChangeError::NoneComing)?
            .to_string();
        for key in self.keys.values_mut() {
            if key.state == KeyState::Signing {
                key.state = KeyState::Retiring(until);
            }
        }
        if let Some(key) = self.keys.get_mut(&coming) {
            key.state = KeyState::Signing;
        }
        self.version += 1;
        Ok(coming)
    }

    /// Revokes a key.
    ///
    /// # Errors
    /// [`KeyChangeError::UnknownId`]
    pub fn revoke(&mut self, key_id: &str) -> Result<(), KeyChangeError> {
        let key = self
            .keys
            .get_mut(key_id)
            .ok_or_else(|| KeyChangeError::UnknownId(key_id.to_string()))?;
        key.state = KeyState::Revoked;
        self.version += 1;
        Ok(())
    }
}

fn has_valid_length(key_id: &str) -> bool {
    (1..=MAX_KEY_ID_BYTES).contains(&key_id.len())
}
