//! What an edge keeps over a restart: the last worker list, with a mark of what it is and a checksum.

use minicbor::{Decode, Encode};
use sanddrum_wire::EndpointRecord;

const MAGIC: &[u8] = b"sanddrum worker list 1\n";

#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct CachedState {
    /// When it was kept, by the wall clock. Told for people only: a wall clock is stepped, and a worker that it made older
    /// than it is would be overloaded in its slow start.
    #[n(0)]
    pub saved_at: i64,
    #[n(1)]
    pub service_incarnation: u64,
    #[n(2)]
    pub version: u64,
    /// Ages are those at the time of keeping, which are the least that they can be later.
    #[n(3)]
    pub endpoints: Vec<EndpointRecord>,
    /// The highest version of the keys that was in force, and the keys that were revoked.
    #[n(4)]
    #[cbor(default)]
    pub keys_version: u64,
    #[n(5)]
    #[cbor(default)]
    pub keys_revoked: Vec<String>,
}

pub fn write(kept: &CachedState) -> Vec<u8> {
    let content = minicbor::to_vec(kept).unwrap_or_default();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&crc32fast::hash(&content).to_be_bytes());
    out.extend_from_slice(&content);
    out
}

/// Reads what was kept.
///
/// # Errors
/// It is not a kept list, or it is torn; the text says which.
pub fn read(bytes: &[u8]) -> Result<CachedState, &'static str> {
    let rest = bytes
        .strip_prefix(MAGIC)
        .ok_or("it is not a kept worker list of this version")?;
    let (sum, content) = rest.split_first_chunk::<4>().ok_or("it is torn")?;
    if crc32fast::hash(content).to_be_bytes() != *sum {
        return Err("it is torn: its checksum does not fit");
    }
    minicbor::decode(content).map_err(|_| "it can't be read")
}
