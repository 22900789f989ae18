//! Codecs without I/O: the worker protocol (length-prefixed CBOR, RFC 8949; described in docs/protocol.md) and the
//! part of HTTP/1.1 (RFC 9110, RFC 9112) that the HTTP listener uses.

pub mod frame;
pub mod http;
pub mod messages;
mod receive_buffer;

pub use frame::{FrameDecoder, FrameError};
pub use messages::*;
pub use receive_buffer::ReceiveBuffer;

use std::hash::{DefaultHasher, Hasher};

/// Returns a stable 64-bit id of a text. All edges compute the same id, so they agree on names without communicating.
pub fn stable_id(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}
