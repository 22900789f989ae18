//! Secret keys and their file format.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The length of an Ed25519 secret key (RFC 8032).
const SECRET_KEY_BYTES: usize = 32;

/// The DER bytes before the 32 bytes of an Ed25519 secret key in PKCS #8 (RFC 8410, section 7).
const PKCS8_PREFIX: [u8; 16] = [
    0x30, 0x2e, 2, 1, 0, 0x30, 5, 6, 3, 0x2b, 0x65, 0x70, 4, 0x22, 4, 0x20,
];

/// Why a secret key can't be used. Underlying errors are omitted because they might quote the key.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SecretKeyError {
    /// The content is not a secret key file.
    #[error("not a secret key file")]
    Unreadable,
    /// The key is not 32 bytes in base64url.
    #[error("not a secret key of 32 bytes")]
    WrongLength,
    /// The cryptographic library rejects the key.
    #[error("{0}")]
    Rejected(#[from] ring::error::KeyRejected),
}

/// A secret key. `Debug` prints only its id, so that the key itself never reaches a log.
#[derive(Serialize, Deserialize)]
pub struct SecretKey {
    /// The key's id.
    #[serde(rename = "kid")]
    pub key_id: String,
    /// The key's 32 bytes in base64url (RFC 8037, section 2).
    #[serde(rename = "d")]
    encoded_seed: String,
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey({})", self.key_id)
    }
}

impl SecretKey {
    /// Creates a secret key from 32 random bytes.
    pub fn from_seed(key_id: &str, seed: [u8; SECRET_KEY_BYTES]) -> SecretKey {
        SecretKey {
            key_id: key_id.to_string(),
            encoded_seed: URL_SAFE_NO_PAD.encode(seed),
        }
    }

    /// Parses a secret key from the content of its file.
    ///
    /// # Errors
    /// [`SecretKeyError`]: the content is not a secret key file, or the key is not 32 bytes long.
    pub fn read(bytes: &[u8]) -> Result<SecretKey, SecretKeyError> {
        let key: SecretKey =
            serde_json::from_slice(bytes).map_err(|_| SecretKeyError::Unreadable)?;
        key.seed()?;
        Ok(key)
    }

    /// Formats the secret key as the content of its file.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn seed(&self) -> Result<Vec<u8>, SecretKeyError> {
        URL_SAFE_NO_PAD
            .decode(&self.encoded_seed)
            .ok()
            .filter(|seed| seed.len() == SECRET_KEY_BYTES)
            .ok_or(SecretKeyError::WrongLength)
    }

    /// The public key in base64url, as in [`PublicKey::x`](super::PublicKey::x).
    ///
    /// # Errors
    /// [`SecretKeyError`]: the key can't be used.
    pub fn public_key(&self) -> Result<String, SecretKeyError> {
        let pair = Ed25519KeyPair::from_seed_unchecked(&self.seed()?)?;
        Ok(URL_SAFE_NO_PAD.encode(pair.public_key().as_ref()))
    }

    pub(crate) fn pkcs8(&self) -> Result<Vec<u8>, SecretKeyError> {
        Ok([&PKCS8_PREFIX[..], &self.seed()?].concat())
    }
}
