//! Decodes records while they are received, without buffering their content.

use crate::record::{check_version, RecordHeader, UnsupportedVersion, HEADER_BYTES};

/// A part of a record. Each record yields its header, its content in any number of parts, and its end.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Fragment<'a> {
    /// The record's header.
    Header(RecordHeader),
    /// The next part of the record's content; never empty.
    Content(&'a [u8]),
    /// All of the record's content has been received.
    EndOfContent,
}

/// What is expected next.
#[derive(Debug)]
enum Position {
    /// The rest of a header, of which `received` bytes are known.
    Header {
        bytes: [u8; HEADER_BYTES],
        received: usize,
    },
    /// The rest of a record's content and then its padding.
    Content { left: usize, padding: usize },
    /// The rest of a record's padding.
    Padding { left: usize },
}

const START_OF_RECORD: Position = Position::Header {
    bytes: [0; HEADER_BYTES],
    received: 0,
};

/// Splits a stream of bytes into fragments of records. It stores at most a header.
#[derive(Debug)]
pub(crate) struct RecordReader {
    position: Position,
}

impl Default for RecordReader {
    fn default() -> Self {
        RecordReader {
            position: START_OF_RECORD,
        }
    }
}

impl RecordReader {
    /// Whether the bytes read so far end with a complete record.
    pub fn is_between_records(&self) -> bool {
        matches!(
            self.position,
            Position::Header { received: 0, .. } | Position::Padding { left: 0 }
        )
    }

    /// Takes the next fragment from the front of `input`. Returns `None` once `input` is empty.
    ///
    /// # Errors
    /// [`UnsupportedVersion`], as soon as the first byte of the record is received.
    pub fn next<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<Fragment<'a>>, UnsupportedVersion> {
        loop {
            match &mut self.position {
                Position::Header { bytes, received } => {
                    let part = take(input, HEADER_BYTES - *received);
                    bytes[*received..*received + part.len()].copy_from_slice(part);
                    *received += part.len();
                    if *received > 0 {
                        check_version(bytes[0])?;
                    }
                    if *received < HEADER_BYTES {
                        return Ok(None);
                    }
                    let header = RecordHeader::decode(bytes)?;
                    self.position = Position::Content {
                        left: header.content_length,
                        padding: header.padding_length,
                    };
                    return Ok(Some(Fragment::Header(header)));
                }
                Position::Content { left: 0, padding } => {
                    self.position = Position::Padding { left: *padding };
                    return Ok(Some(Fragment::EndOfContent));
                }
                Position::Content { left, .. } => {
                    let part = take(input, *left);
                    *left -= part.len();
                    return Ok((!part.is_empty()).then_some(Fragment::Content(part)));
                }
                Position::Padding { left: 0 } => self.position = START_OF_RECORD,
                Position::Padding { left } => {
                    let part = take(input, *left);
                    *left -= part.len();
                    if part.is_empty() {
                        return Ok(None);
                    }
                }
            }
        }
    }
}

/// Takes up to `length` bytes from the front of `input`.
fn take<'a>(input: &mut &'a [u8], length: usize) -> &'a [u8] {
    let (taken, rest) = input.split_at(length.min(input.len()));
    *input = rest;
    taken
}
