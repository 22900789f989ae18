//! A versioned set of Ed25519 keys (RFC 8037), each with a state.
//!
//! The version only increases, and a revoked key stays revoked.

mod file;
mod secret;

pub use secret::{SecretKey, SecretKeyError};

use crate::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum length of a key id in bytes.
const MAX_KEY_ID_BYTES: usize = 64;

/// The state of a key in its rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Distributed to the edges, but not in use yet: it verifies nothing.
    Coming,
    /// Signs new tokens and verifies tokens.
    Signing,
    /// Signs no new tokens; verifies existing ones until this time.
    Retiring(Seconds),
    /// Verifies nothing, permanently.
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
    /// Whether the key signs and verifies.
    pub state: KeyState,
}

/// The key set at one version.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct KeySet {
    /// Increases with each change.
    pub version: u64,
    /// The keys by id.
    pub keys: BTreeMap<String, PublicKey>,
}

/// Why a key set is rejected. The last valid one stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeySetError {
    /// The file is not a valid key set: truncated, empty or otherwise wrong. The reason is text so that errors can be
    /// compared.
    #[error("not a valid key set: {0}")]
    Unreadable(String),
    /// The key set's version is lower than one that was in force.
    #[error("version {version} is older than version {min_version}, which was already in force")]
    Older {
        /// The version of the rejected set.
        version: u64,
        /// The lowest acceptable version.
        min_version: u64,
    },
    /// The rejected key set differs from the one in force but has the same version.
    #[error("version {0} is already in force with different content; increase the version")]
    SameVersion(u64),
    /// The key set lacks a key that still verifies tokens.
    #[error("key {0} is missing but still verifies tokens; retire or revoke it first")]
    MissingKey(String),
    /// A key that was revoked is in another state.
    #[error("key {0} was revoked and cannot be reinstated; create a new key")]
    RevokedKeyReturned(String),
}

impl KeySetError {
    /// The reason code in logs, metrics and the audit log.
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

/// Why an operator's change to a key set is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyChangeError {
    /// The id is already in use, empty or too long.
    #[error("key id {0:?} already exists, or is not 1 to {MAX_KEY_ID_BYTES} bytes long")]
    InvalidId(String),
    /// The set has no key in state [`KeyState::Coming`] to rotate to.
    #[error("no key has state \"coming\"; add one first, so that every edge knows it before it signs tokens")]
    NoComingKey,
    /// No key has this id.
    #[error("the key set has no key {0:?}")]
    UnknownId(String),
}

/// The part of the key set state that survives a restart: the lowest acceptable version, and all revoked keys. It is
/// recorded before a key set comes into force, so that a crash in between can only make the checks stricter.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeySetFloor {
    /// The highest version that was in force.
    pub version: u64,
    /// The ids of all revoked keys.
    pub revoked: BTreeSet<String>,
}

impl KeySet {
    /// Checks whether this set may come into force. `current` is the set in force in this process, and `floor` is what
    /// this process and earlier ones recorded.
    ///
    /// # Errors
    /// [`KeySetError`]: why the set is rejected.
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

    /// The floor to record before this set comes into force, given the one that is recorded so far.
    pub fn floor(&self, recorded: &KeySetFloor) -> KeySetFloor {
        let revoked = self
            .keys
            .iter()
            .filter(|(_, key)| key.state == KeyState::Revoked)
            .map(|(id, _)| id.clone());
        KeySetFloor {
            version: self.version.max(recorded.version),
            revoked: recorded.revoked.iter().cloned().chain(revoked).collect(),
        }
    }

    /// The id of the signing key, if any.
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

/// Changes that operators make. Each increases the version.
impl KeySet {
    /// Adds a key, given as the base64url encoding of its 32 bytes. Its state is [`KeyState::Signing`] if no key signs
    /// yet, otherwise [`KeyState::Coming`].
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

    /// Makes the coming key the signing key. The previous signing key still verifies tokens until `until`. Returns the
    /// id of the new signing key.
    ///
    /// # Errors
    /// [`KeyChangeError::NoComingKey`]
    pub fn rotate(&mut self, until: Seconds) -> Result<String, KeyChangeError> {
        let coming = self
            .key_in_state(KeyState::Coming)
            .ok_or(KeyChangeError::NoComingKey)?
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

    /// Revokes a key permanently.
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
