//! The state that an edge saves for its next start: the last endpoint list, and the part of the key set's history that
//! must survive a restart. The encoding has a magic number and a checksum.

use minicbor::{Decode, Encode};
use sanddrum_wire::EndpointRecord;
use thiserror::Error;

const MAGIC: &[u8] = b"sanddrum worker list 1\n";

/// The saved state.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct CachedState {
    /// When it was saved, by the edge's clock. It is informational only: wall clocks can be stepped, and a worker
    /// whose age was overestimated would be overloaded in its slow start.
    #[n(0)]
    pub saved_at: i64,
    /// The incarnation of the discovery service that sent the list.
    #[n(1)]
    pub service_incarnation: u64,
    /// The version of the list.
    #[n(2)]
    pub version: u64,
    /// The listed workers, with their ages at the time of saving, which are lower bounds at any later time.
    #[n(3)]
    pub endpoints: Vec<EndpointRecord>,
    /// The highest version of a key set that was in force.
    #[n(4)]
    #[cbor(default)]
    pub keys_version: u64,
    /// The ids of revoked keys.
    #[n(5)]
    #[cbor(default)]
    pub keys_revoked: Vec<String>,
}

/// Why a saved state can't be used.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The saved state does not start with the magic number.
    #[error("it is not an endpoint cache of this version")]
    WrongMagic,
    /// The saved state ends before the end of the checksum.
    #[error("it is truncated")]
    Truncated,
    /// The content does not match the checksum.
    #[error("it is corrupt: its checksum does not match")]
    WrongChecksum,
    /// The content can't be decoded.
    #[error("it can't be decoded")]
    Undecodable(#[source] minicbor::decode::Error),
}

/// Encodes a state.
pub fn write(state: &CachedState) -> Vec<u8> {
    let content = minicbor::to_vec(state).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&content).to_be_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

/// Decodes a state.
///
/// # Errors
/// [`CacheError`]: `bytes` is not a saved state of this version, or is truncated, corrupt or undecodable.
pub fn read(bytes: &[u8]) -> Result<CachedState, CacheError> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(CacheError::WrongMagic)?;
    let (checksum, content) = rest.split_first_chunk().ok_or(CacheError::Truncated)?;
    if crc32fast::hash(content).to_be_bytes() != *checksum {
        return Err(CacheError::WrongChecksum);
    }
    minicbor::decode(content).map_err(CacheError::Undecodable)
}
