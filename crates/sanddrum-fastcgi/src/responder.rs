//! The decoder of one connection from a web server.

use crate::params::{decode_params, encode_params};
use crate::record::{
    write_record, RecordHeader, RecordType, UnsupportedVersion, FLAG_KEEP_CONNECTION, HEADER_BYTES,
    ROLE_RESPONDER,
};
use crate::record_reader::{Fragment, RecordReader};
use crate::request::{max_incomplete_bytes, OpenRequest, Request};
use std::collections::BTreeMap;

/// An instant of the caller's clock, in microseconds.
pub type Timestamp = i64;

/// Maximum size in bytes of the content of a get-values record. The names that the specification defines take 55 bytes;
/// none of the values of a longer record are reported.
const MAX_GET_VALUES_BYTES: usize = 1024;

/// Size in bytes of the content of begin-request and unknown-type records.
const FIXED_CONTENT_BYTES: usize = 8;

/// Limits on the open requests and the buffered data of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ResponderLimits {
    /// Maximum number of requests that are open at a time, complete or not.
    pub max_open_requests: usize,
    /// Maximum size of one request's parameters in bytes.
    pub max_params_bytes: usize,
    /// Maximum size of one request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size in memory of all incomplete requests in bytes.
    pub max_buffered_bytes: usize,
}

impl ResponderLimits {
    /// Limits under which all open requests may be incomplete at a time.
    pub fn new(max_open_requests: usize, max_params_bytes: usize, max_body_bytes: usize) -> Self {
        let max_request_bytes = max_incomplete_bytes(max_params_bytes, max_body_bytes);
        ResponderLimits {
            max_open_requests,
            max_params_bytes,
            max_body_bytes,
            max_buffered_bytes: max_open_requests * max_request_bytes,
        }
    }
}

/// Why the rest of a connection can't be decoded. The connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A record is not of FastCGI 1.0.
    #[error(transparent)]
    Version(#[from] UnsupportedVersion),
    /// A request begins with the id of an open one, so that a response would be ambiguous.
    #[error("a request begins with id {0}, which belongs to an open request")]
    RequestIdInUse(u16),
    /// A begin-request record is too short.
    #[error("a begin-request record is malformed")]
    Malformed,
    /// Incomplete requests exceed [`ResponderLimits::max_buffered_bytes`].
    #[error("incomplete requests exceed the limit of buffered bytes")]
    BufferFull,
}

/// Why a request is rejected although its records can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request's parameters can't be decoded.
    Params,
    /// The request's parameters exceed [`ResponderLimits::max_params_bytes`].
    ParamsTooLong,
    /// The request's body exceeds [`ResponderLimits::max_body_bytes`].
    BodyTooLong,
    /// [`ResponderLimits::max_open_requests`] requests are already open.
    TooManyOpen,
    /// The request's role is not Responder.
    Role,
}

/// An event that is decoded from the records of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponderEvent {
    /// A request is complete. It stays open until [`Responder::finish`].
    Request {
        /// The request's id on the connection.
        id: u16,
        /// The request.
        request: Request,
    },
    /// A request is rejected, and an end-request record has to be sent. Its id is free again, and its further records
    /// are skipped.
    Reject {
        /// The request's id on the connection.
        id: u16,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// The web server aborted an open request, whose id is free again (section 5.4).
    Abort {
        /// The request's id on the connection.
        id: u16,
    },
    /// The reply to a management record (section 4), to be sent as it is.
    Reply(Vec<u8>),
}

/// What the content of the current record is used for. Content is never buffered beyond what its use needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContentUse {
    /// Nothing: it is discarded.
    Discard,
    /// It begins the request with this id.
    BeginRequest(u16),
    /// It names the values that are queried.
    GetValues,
    /// Parameters of the request with this id.
    Params(u16),
    /// Part of the body of the request with this id.
    Body(u16),
}

/// The decoder of one connection.
pub struct Responder {
    limits: ResponderLimits,
    reader: RecordReader,
    /// When the record began of which only part has been received.
    record_began_at: Option<Timestamp>,
    /// What the content of the current record is used for.
    content_use: ContentUse,
    /// The content of the current record, if it is used as a whole; of a begin-request record only the fixed part.
    fixed_content: Vec<u8>,
    /// Open requests by id.
    open: BTreeMap<u16, OpenRequest>,
    /// Bytes of memory allocated for incomplete requests.
    buffered_bytes: usize,
    /// Whether a request has ended after which the web server expects the connection to be closed.
    must_close: bool,
}

impl Responder {
    /// Creates the decoder of a new connection.
    pub fn new(limits: ResponderLimits) -> Self {
        Responder {
            limits,
            reader: RecordReader::default(),
            record_began_at: None,
            content_use: ContentUse::Discard,
            fixed_content: Vec::new(),
            open: BTreeMap::new(),
            buffered_bytes: 0,
            must_close: false,
        }
    }

    /// The number of open requests, complete or not.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Bytes of memory allocated for incomplete requests and for the current record.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes + self.fixed_content.capacity()
    }

    /// Whether part of a record or of a request has been received.
    pub fn has_partial_request(&self) -> bool {
        !self.reader.is_between_records() || self.oldest_partial_request().is_some()
    }

    /// When the record began of which only part has been received, if there is one. Nothing else can be received on the
    /// connection before its end.
    pub fn partial_record_since(&self) -> Option<Timestamp> {
        self.record_began_at
    }

    /// The id of the incomplete request that began first, and when it began.
    pub fn oldest_partial_request(&self) -> Option<(u16, Timestamp)> {
        let partial = self.open.iter().filter(|(_, open)| !open.is_complete());
        partial
            .map(|(id, open)| (*id, open.began_at))
            .min_by_key(|(id, began_at)| (*began_at, *id))
    }

    /// Closes a request that has been answered. Returns whether the connection has to be closed after it (section 5.1,
    /// FCGI_KEEP_CONN).
    pub fn finish(&mut self, id: u16) -> bool {
        if let Some(open) = self.remove(id) {
            self.must_close |= !open.keep_connection;
        }
        self.must_close
    }

    /// Decodes bytes received from the web server at `now`, from the front of `input`, up to the next event. Returns
    /// `None` once `input` is empty.
    ///
    /// # Errors
    /// [`ProtocolError`]; the connection has to be closed.
    pub fn next_event(
        &mut self,
        now: Timestamp,
        input: &mut &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        while let Some(fragment) = self.reader.next(input)? {
            match fragment {
                Fragment::Header(_) => self.record_began_at = Some(now),
                Fragment::EndOfContent => self.record_began_at = None,
                Fragment::Content(_) => {}
            }
            let event = match fragment {
                Fragment::Header(header) => self.begin_record(&header)?,
                Fragment::Content(content) => {
                    self.receive_content(content)?;
                    None
                }
                Fragment::EndOfContent => self.end_record(now)?,
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        if self.reader.is_between_records() {
            self.record_began_at = None;
        } else {
            // Of a record whose header is incomplete, or whose padding is, the time counts from now.
            self.record_began_at.get_or_insert(now);
        }
        Ok(None)
    }

    /// Decides what a record's content is used for. What exceeds a limit by its header is rejected at once.
    fn begin_record(
        &mut self,
        header: &RecordHeader,
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let RecordHeader {
            record_type,
            id,
            content_length,
            ..
        } = *header;
        self.content_use = ContentUse::Discard;
        self.fixed_content = Vec::new();
        match record_type {
            RecordType::GetValues if id == 0 => self.content_use = ContentUse::GetValues,
            other if id == 0 => return Ok(Some(ResponderEvent::Reply(unknown_type(other)))),
            RecordType::BeginRequest => self.content_use = ContentUse::BeginRequest(id),
            // Records of a request that is not open are ignored (section 3.3).
            RecordType::AbortRequest => {
                return Ok(self.remove(id).map(|_| ResponderEvent::Abort { id }))
            }
            RecordType::Params => return Ok(self.begin_params(id, content_length)),
            RecordType::Stdin => return Ok(self.begin_body(id, content_length)),
            _ => {}
        }
        Ok(None)
    }

    /// Handles the header of a params record (section 5.2). The empty record ends the parameters.
    fn begin_params(&mut self, id: u16, content_length: usize) -> Option<ResponderEvent> {
        let open = self.open.get_mut(&id).filter(|open| open.awaits_params())?;
        if content_length == 0 {
            open.end_params();
            return None;
        }
        if open.params_length() + content_length > self.limits.max_params_bytes {
            return self.reject(id, RejectReason::ParamsTooLong);
        }
        self.content_use = ContentUse::Params(id);
        None
    }

    /// Handles the header of a stdin record (section 5.3). The empty record ends the body and completes the request.
    fn begin_body(&mut self, id: u16, content_length: usize) -> Option<ResponderEvent> {
        let open = self.open.get(&id).filter(|open| !open.is_complete())?;
        if content_length == 0 {
            return self.complete(id);
        }
        if open.body_length() + content_length > self.limits.max_body_bytes {
            return self.reject(id, RejectReason::BodyTooLong);
        }
        self.content_use = ContentUse::Body(id);
        None
    }

    fn receive_content(&mut self, content: &[u8]) -> Result<(), ProtocolError> {
        match self.content_use {
            ContentUse::Discard => Ok(()),
            ContentUse::BeginRequest(_) => {
                self.receive_fixed_content(content, FIXED_CONTENT_BYTES);
                Ok(())
            }
            // One byte beyond the limit tells a content that is too long.
            ContentUse::GetValues => {
                self.receive_fixed_content(content, MAX_GET_VALUES_BYTES + 1);
                Ok(())
            }
            ContentUse::Params(id) => self.buffer(id, |open| open.push_params(content)),
            ContentUse::Body(id) => self.buffer(id, |open| open.push_body(content)),
        }
    }

    fn receive_fixed_content(&mut self, content: &[u8], max_bytes: usize) {
        let used = content.len().min(max_bytes - self.fixed_content.len());
        self.fixed_content.extend_from_slice(&content[..used]);
    }

    /// Changes the buffers of an open request. Does nothing if the request was removed within the record.
    fn buffer(
        &mut self,
        id: u16,
        change: impl FnOnce(&mut OpenRequest),
    ) -> Result<(), ProtocolError> {
        let Some(open) = self.open.get_mut(&id) else {
            return Ok(());
        };
        let before = open.buffered_bytes();
        change(open);
        let added = open.buffered_bytes() - before;
        self.count_buffered(added)
    }

    fn end_record(&mut self, now: Timestamp) -> Result<Option<ResponderEvent>, ProtocolError> {
        let content = std::mem::take(&mut self.fixed_content);
        match std::mem::replace(&mut self.content_use, ContentUse::Discard) {
            ContentUse::BeginRequest(id) => self.begin(now, id, &content),
            ContentUse::GetValues => {
                let reply = self.get_values_result(&content);
                Ok(Some(ResponderEvent::Reply(reply)))
            }
            _ => Ok(None),
        }
    }

    /// Handles a begin-request record (section 5.1).
    fn begin(
        &mut self,
        now: Timestamp,
        id: u16,
        content: &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let [role1, role0, flags, ..] = *content else {
            return Err(ProtocolError::Malformed);
        };
        if content.len() < FIXED_CONTENT_BYTES {
            return Err(ProtocolError::Malformed);
        }
        if self.open.contains_key(&id) {
            return Err(ProtocolError::RequestIdInUse(id));
        }
        let reject = |reason| Ok(Some(ResponderEvent::Reject { id, reason }));
        if u16::from_be_bytes([role1, role0]) != ROLE_RESPONDER {
            return reject(RejectReason::Role);
        }
        if self.open.len() >= self.limits.max_open_requests {
            return reject(RejectReason::TooManyOpen);
        }
        let keep_connection = flags & FLAG_KEEP_CONNECTION != 0;
        let open = OpenRequest::new(now, keep_connection);
        let added = open.buffered_bytes();
        self.open.insert(id, open);
        self.count_buffered(added)?;
        Ok(None)
    }

    fn complete(&mut self, id: u16) -> Option<ResponderEvent> {
        let open = self.open.get_mut(&id)?;
        let buffered_bytes = open.buffered_bytes();
        let Some(request) = open.complete() else {
            return self.reject(id, RejectReason::Params);
        };
        self.buffered_bytes = self.buffered_bytes.saturating_sub(buffered_bytes);
        Some(ResponderEvent::Request { id, request })
    }

    fn reject(&mut self, id: u16, reason: RejectReason) -> Option<ResponderEvent> {
        let open = self.remove(id)?;
        self.must_close |= !open.keep_connection;
        Some(ResponderEvent::Reject { id, reason })
    }

    fn remove(&mut self, id: u16) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.buffered_bytes = self.buffered_bytes.saturating_sub(open.buffered_bytes());
        Some(open)
    }

    fn count_buffered(&mut self, bytes: usize) -> Result<(), ProtocolError> {
        self.buffered_bytes += bytes;
        if self.buffered_bytes > self.limits.max_buffered_bytes {
            return Err(ProtocolError::BufferFull);
        }
        Ok(())
    }

    /// The reply to a query of the application's limits (section 4.1).
    fn get_values_result(&self, content: &[u8]) -> Vec<u8> {
        let max_requests = self.limits.max_open_requests.to_string();
        let values = [
            ("FCGI_MAX_CONNS", max_requests.as_str()),
            ("FCGI_MAX_REQS", max_requests.as_str()),
            ("FCGI_MPXS_CONNS", "1"),
        ];
        let queried = Some(content)
            .filter(|content| content.len() <= MAX_GET_VALUES_BYTES)
            .and_then(decode_params)
            .unwrap_or_default();
        let is_queried = |name: &str| queried.iter().any(|(key, _)| *key == name.as_bytes());
        let reported: Vec<_> = values
            .into_iter()
            .filter(|(name, _)| is_queried(name))
            .collect();
        encode_management(RecordType::GetValuesResult, &encode_params(&reported))
    }
}

/// The reply to a management record of another type (section 4.2).
fn unknown_type(record_type: RecordType) -> Vec<u8> {
    let mut content = [0; FIXED_CONTENT_BYTES];
    content[0] = record_type.code();
    encode_management(RecordType::UnknownType, &content)
}

/// Encodes a management record, which has the request id zero.
fn encode_management(record_type: RecordType, content: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + content.len());
    write_record(&mut out, record_type, 0, content);
    out
}
