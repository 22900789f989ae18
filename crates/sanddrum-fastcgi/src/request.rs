//! A request while it is received, and when it is complete.

use crate::params::decode_params;
use crate::responder::Timestamp;
use std::collections::BTreeMap;

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Its parameters by name (section 5.2).
    pub params: BTreeMap<String, String>,
    /// Its body, which is the content of its stdin stream (section 5.3).
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the parameter of this name.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.params.get(name).map(String::as_str)
    }
}

/// A buffer grows by this many bytes at a time. Doubling would allocate up to twice the bytes that are received.
const BUFFER_INCREMENT: usize = 256;

/// Bytes that an open request takes besides its buffers: its entry in the table of open requests.
const TABLE_ENTRY_BYTES: usize = 2 * std::mem::size_of::<(u16, OpenRequest)>();

/// The largest size of an incomplete request in memory, in bytes, if its parameters and its body are within these
/// limits.
pub(crate) fn max_incomplete_bytes(max_params_bytes: usize, max_body_bytes: usize) -> usize {
    let buffer_bytes = |length: usize| length.next_multiple_of(BUFFER_INCREMENT);
    TABLE_ENTRY_BYTES + buffer_bytes(max_params_bytes) + buffer_bytes(max_body_bytes)
}

/// Appends to a buffer whose allocation follows its content closely.
fn append(buffer: &mut Vec<u8>, content: &[u8]) {
    let needed = (buffer.len() + content.len()).next_multiple_of(BUFFER_INCREMENT);
    if needed > buffer.capacity() {
        buffer.reserve_exact(needed - buffer.len());
    }
    buffer.extend_from_slice(content);
}

/// How much of a request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The stream of parameters has not ended.
    Params,
    /// The parameters are complete, but the body is not.
    Body,
    /// The request is complete and has not been answered.
    Complete,
}

/// A request that has begun and has not been answered, rejected or aborted.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// Whether the web server keeps the connection open after it.
    pub keep_connection: bool,
    /// When its first record was received.
    pub began_at: Timestamp,
    progress: Progress,
    params: Vec<u8>,
    body: Vec<u8>,
}

impl OpenRequest {
    pub fn new(began_at: Timestamp, keep_connection: bool) -> Self {
        OpenRequest {
            keep_connection,
            began_at,
            progress: Progress::Params,
            params: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn is_complete(&self) -> bool {
        self.progress == Progress::Complete
    }

    pub fn awaits_params(&self) -> bool {
        self.progress == Progress::Params
    }

    /// Bytes of parameters received.
    pub fn params_length(&self) -> usize {
        self.params.len()
    }

    /// Bytes of the body received.
    pub fn body_length(&self) -> usize {
        self.body.len()
    }

    /// Bytes of memory allocated for it; zero once it is complete.
    pub fn buffered_bytes(&self) -> usize {
        if self.is_complete() {
            return 0;
        }
        TABLE_ENTRY_BYTES + self.params.capacity() + self.body.capacity()
    }

    pub fn push_params(&mut self, content: &[u8]) {
        append(&mut self.params, content);
    }

    pub fn push_body(&mut self, content: &[u8]) {
        append(&mut self.body, content);
    }

    pub fn end_params(&mut self) {
        self.progress = Progress::Body;
    }

    /// Ends the body and returns the request, or `None` if its parameters are incomplete or can't be decoded.
    pub fn complete(&mut self) -> Option<Request> {
        if self.progress != Progress::Body {
            return None;
        }
        let params = decode_params(&self.params)?
            .into_iter()
            .map(|(name, value)| Some((utf8(name)?, utf8(value)?)))
            .collect::<Option<_>>()?;
        self.progress = Progress::Complete;
        self.params = Vec::new();
        let body = std::mem::take(&mut self.body);
        Some(Request { params, body })
    }
}

fn utf8(bytes: &[u8]) -> Option<String> {
    String::from_utf8(bytes.to_vec()).ok()
}
