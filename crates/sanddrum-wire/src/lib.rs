//! Codecs without I/O: the worker protocol (length-prefixed CBOR, RFC 8949; see docs/protocol.md) and the part of
//! HTTP/1.1 (RFC 9110, RFC 9112) that the client door speaks.

#![allow(clippy::missing_errors_doc, missing_docs)] // unfinished: docs/ROADMAP.md

pub mod frame;
pub mod http;
pub mod messages;

pub use frame::{FrameDecoder, FrameError};
pub use messages::*;

use std::hash::{DefaultHasher, Hasher};

/// A stable id of a text: the same in every program, so that edges agree by hashing without a word between them.
pub fn stable_id(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}
