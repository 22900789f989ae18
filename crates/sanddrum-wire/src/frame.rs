//! FrameDecoder: four bytes of length, most significant first, then so many bytes of CBOR.

use minicbor::{Decode, Encode};
use std::fmt;

pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a stream of frames can't be read on. The connection has no meaning any more and is to be ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than this side takes.
    TooLarge { length: usize, max: usize },
    /// Not a message of the protocol.
    Malformed(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLarge { length, max: most } => {
                write!(
                    f,
                    "a frame of {length} bytes; at most {most} are taken (limits largest-frame)"
                )
            }
            FrameError::Malformed(why) => write!(f, "not a message of this protocol: {why}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Cuts a stream into frames. Holds no more than one frame and what came with it.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    read: usize,
    most: usize,
}

impl FrameDecoder {
    /// FrameDecoder of more than `most` bytes are refused as soon as their length is read.
    pub fn new(most: usize) -> Self {
        FrameDecoder {
            bytes: Vec::new(),
            read: 0,
            most,
        }
    }
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.read > 0 {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }
    /// The next whole frame's content; `None` until more bytes have come.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let rest = &self.bytes[self.read..];
        let Some((prefix, content)) = rest.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.most {
            return Err(FrameError::TooLarge {
                length,
                max: self.most,
            });
        }
        if content.len() < length {
            return Ok(None);
        }
        let start = self.read + LENGTH_PREFIX_BYTES;
        self.read = start + length;
        Ok(Some(&self.bytes[start..self.read]))
    }
    /// The next message. Kinds of message that this version does not know are skipped.
    pub fn next_message<T: for<'b> Decode<'b, ()>>(&mut self) -> Result<Option<T>, FrameError> {
        while let Some(frame) = self.next_frame()? {
            match minicbor::decode(frame) {
                Ok(message) => return Ok(Some(message)),
                Err(e) if e.is_unknown_variant() => {}
                Err(e) => return Err(FrameError::Malformed(e.to_string())),
            }
        }
        Ok(None)
    }
}

/// One message as a frame.
pub fn encode_frame<T: Encode<()>>(message: &T) -> Vec<u8> {
    let mut out = vec![0; LENGTH_PREFIX_BYTES];
    // Writing to a Vec cannot fail, and the derived encoders have no errors of their own.
    let written = minicbor::encode(message, &mut out);
    debug_assert!(written.is_ok());
    let length = (out.len() - LENGTH_PREFIX_BYTES) as u32;
    out[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    out
}
