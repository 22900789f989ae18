//! What an edge keeps over a restart: the last endpoint list and what must never be forgotten of the key set, with a magic
//! number and a checksum.

use minicbor::{Decode, Encode};
use sanddrum_wire::EndpointRecord;
use thiserror::Error;

const MAGIC: &[u8] = b"sanddrum worker list 1\n";

/// The state that is kept.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct CachedState {
    /// When it was written, by the edge's clock. For people only: a wall clock is stepped, and a worker that it made
    /// older than it is would be overloaded in its slow start.
    #[n(0)]
    pub saved_at: i64,
    /// The incarnation of the discovery service that the list came from.
    #[n(1)]
    pub service_incarnation: u64,
    /// The version of the list.
    #[n(2)]
    pub version: u64,
    /// The listed workers. Their ages are those at the time of writing, which are the least that they can be later.
    #[n(3)]
    pub endpoints: Vec<EndpointRecord>,
    /// The highest version of the key set that was in force.
    #[n(4)]
    #[cbor(default)]
    pub keys_version: u64,
    /// The keys that were revoked.
    #[n(5)]
    #[cbor(default)]
    pub keys_revoked: Vec<String>,
}

/// Why a cached state can't be used.
#[derive(Debug, Error)]
pub enum CacheError {
    /// It does not begin with the magic number.
    #[error("it is not a kept worker list of this version")]
    WrongMagic,
    /// It ends before the checksum does.
    #[error("it is torn")]
    Truncated,
    /// Its content is not what was written.
    #[error("it is torn: its checksum does not fit")]
    WrongChecksum,
    /// The content can't be decoded.
    #[error("it can't be read")]
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
/// It is not a cached state, it is truncated or corrupt, or it can't be decoded.
pub fn read(bytes: &[u8]) -> Result<CachedState, CacheError> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(CacheError::WrongMagic)?;
    let (checksum, content) = rest.split_first_chunk().ok_or(CacheError::Truncated)?;
    if crc32fast::hash(content).to_be_bytes() != *checksum {
        return Err(CacheError::WrongChecksum);
    }
    minicbor::decode(content).map_err(CacheError::Undecodable)
}
