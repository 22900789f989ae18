//! The file format of a key set: a JWK set (RFC 7517) of Ed25519 keys (RFC 8037), with a version and a state for each
//! key.

use super::{has_valid_length, KeySet, KeySetError, KeyState, PublicKey, MAX_KEY_ID_BYTES};
use crate::Seconds;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of keys in a set, all of which an edge holds in memory.
const MAX_KEYS: usize = 256;
/// The length of an Ed25519 public key (RFC 8032).
const PUBLIC_KEY_BYTES: usize = 32;

const KEY_TYPE: &str = "OKP";
const CURVE: &str = "Ed25519";
const ALGORITHM: &str = "EdDSA";

#[derive(Serialize, Deserialize)]
struct JwkSet {
    version: u64,
    keys: Vec<Jwk>,
}

#[derive(Serialize, Deserialize)]
struct Jwk {
    kty: String,
    crv: String,
    kid: String,
    x: String,
    #[serde(default)]
    alg: String,
    state: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    until: Option<Seconds>,
}

impl KeySet {
    /// Parses a key set from the content of its file.
    ///
    /// # Errors
    /// [`KeySetError::Unreadable`] with the reason.
    pub fn read(bytes: &[u8]) -> Result<KeySet, KeySetError> {
        let set: JwkSet = serde_json::from_slice(bytes)
            .map_err(|error| KeySetError::Unreadable(error.to_string()))?;
        if set.version == 0 || set.keys.is_empty() || set.keys.len() > MAX_KEYS {
            return Err(KeySetError::Unreadable(format!(
                "expected a version of at least 1 and 1 to {MAX_KEYS} keys"
            )));
        }
        let mut keys = BTreeMap::new();
        for jwk in set.keys {
            let key_id = jwk.kid.clone();
            let key = read_key(jwk)?;
            if keys.insert(key_id.clone(), key).is_some() {
                return Err(KeySetError::Unreadable(format!(
                    "duplicate key id {key_id}"
                )));
            }
        }
        Ok(KeySet {
            version: set.version,
            keys,
        })
    }

    /// Formats the key set as the content of its file.
    pub fn write(&self) -> Vec<u8> {
        let set = JwkSet {
            version: self.version,
            keys: self
                .keys
                .iter()
                .map(|(id, key)| write_key(id, key))
                .collect(),
        };
        let mut bytes = serde_json::to_vec_pretty(&set).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }
}

fn read_key(jwk: Jwk) -> Result<PublicKey, KeySetError> {
    let unreadable = |reason: String| Err(KeySetError::Unreadable(reason));
    let key_id = &jwk.kid;
    if !has_valid_length(key_id) {
        return unreadable(format!("expected a kid of 1 to {MAX_KEY_ID_BYTES} bytes"));
    }
    let has_algorithm = jwk.alg.is_empty() || jwk.alg == ALGORITHM;
    if jwk.kty != KEY_TYPE || jwk.crv != CURVE || !has_algorithm {
        return unreadable(format!("key {key_id} is not an Ed25519 key (RFC 8037)"));
    }
    let public_key = URL_SAFE_NO_PAD.decode(&jwk.x).unwrap_or_default();
    if public_key.len() != PUBLIC_KEY_BYTES {
        return unreadable(format!("key {key_id}: x is not 32 bytes in base64url"));
    }
    let state = match (jwk.state.as_str(), jwk.until) {
        ("coming", _) => KeyState::Coming,
        ("signing", _) => KeyState::Signing,
        ("retiring", Some(until)) => KeyState::Retiring(until),
        ("revoked", _) => KeyState::Revoked,
        (other, _) => {
            return unreadable(format!(
                "key {key_id}: invalid state {other:?} (\"retiring\" requires \"until\")"
            ))
        }
    };
    Ok(PublicKey { x: jwk.x, state })
}

fn write_key(key_id: &str, key: &PublicKey) -> Jwk {
    let (state, until) = match key.state {
        KeyState::Coming => ("coming", None),
        KeyState::Signing => ("signing", None),
        KeyState::Retiring(until) => ("retiring", Some(until)),
        KeyState::Revoked => ("revoked", None),
    };
    Jwk {
        kty: KEY_TYPE.into(),
        crv: CURVE.into(),
        kid: key_id.into(),
        x: key.x.clone(),
        alg: ALGORITHM.into(),
        state: state.into(),
        until,
    }
}
