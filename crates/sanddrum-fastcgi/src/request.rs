//! A request while it is received, and when it is complete.

use crate::params::decode_params;
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
    progress: Progress,
    params: Vec<u8>,
    body: Vec<u8>,
}

impl OpenRequest {
    pub fn new(keep_connection: bool) -> Self {
        OpenRequest {
            keep_connection,
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

    /// Bytes buffered; zero once it is complete.
    pub fn buffered_bytes(&self) -> usize {
        self.params.len() + self.body.len()
    }

    pub fn push_params(&mut self, content: &[u8]) {
        self.params.extend_from_slice(content);
    }

    pub fn push_body(&mut self, content: &[u8]) {
        self.body.extend_from_slice(content);
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
