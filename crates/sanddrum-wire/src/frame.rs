//! Frames of the worker protocol: a length in four bytes, most significant byte first, then as many bytes of CBOR
//! (RFC 8949).

use crate::ReceiveBuffer;
use minicbor::{Decode, Encode};

/// Size in bytes of the length that precedes a frame's content.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Why the rest of a stream of frames can't be decoded. The connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame's content is longer than this side accepts.
    #[error("a frame of {length} bytes exceeds the limit of {max} bytes (limits largest-frame)")]
    TooLarge {
        /// The announced length in bytes.
        length: usize,
        /// The largest accepted length in bytes.
        max: usize,
    },
    /// A frame's content is not a message of the protocol. The CBOR decoder's error is stored as text, so that errors
    /// can be compared.
    #[error("not a message of this protocol: {0}")]
    Malformed(String),
}

/// Splits a byte stream into frames. It buffers at most one frame and the bytes received together with its end.
///
/// The default decoder accepts empty frames only.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: ReceiveBuffer,
    max_frame_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that rejects frames of more than `max_frame_bytes` bytes as soon as their length is received.
    pub fn new(max_frame_bytes: usize) -> Self {
        FrameDecoder {
            buffer: ReceiveBuffer::default(),
            max_frame_bytes,
        }
    }

    /// Appends bytes that were received.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Bytes of memory allocated for what has been received and not returned.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.allocated_bytes()
    }

    /// Whether a part of a frame has been received.
    pub fn has_incomplete_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete frame's content, or `None` until more bytes are received.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`]; the decoder can't be used any further.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let unread = self.buffer.unread();
        let Some((prefix, content)) = unread.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLarge {
                length,
                max: self.max_frame_bytes,
            });
        }
        if content.len() < length {
            return Ok(None);
        }
        let frame = self.buffer.consume(LENGTH_PREFIX_BYTES + length);
        Ok(Some(&frame[LENGTH_PREFIX_BYTES..]))
    }

    /// Returns the next message, or `None` until more bytes are received. Messages with a number that this version
    /// does not know are skipped.
    ///
    /// # Errors
    /// [`FrameError`]; the decoder can't be used any further.
    pub fn next_message<T: for<'b> Decode<'b, ()>>(&mut self) -> Result<Option<T>, FrameError> {
        while let Some(frame) = self.next_frame()? {
            match minicbor::decode(frame) {
                Ok(message) => return Ok(Some(message)),
                Err(error) if error.is_unknown_variant() => {}
                Err(error) => return Err(FrameError::Malformed(error.to_string())),
            }
        }
        Ok(None)
    }
}

/// Encodes one message as a frame.
pub fn encode_frame<T: Encode<()>>(message: &T) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    // Writing to a Vec cannot fail, and the derived encoders have no errors of their own.
    let encoded = minicbor::encode(message, &mut frame);
    debug_assert!(encoded.is_ok());
    let length = (frame.len() - LENGTH_PREFIX_BYTES) as u32;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}
