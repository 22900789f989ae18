//! The decoder of one connection from a web server.

use crate::params::{decode_params, encode_params};
use crate::record::{
    write_record, Record, RecordType, UnsupportedVersion, FLAG_KEEP_CONNECTION, HEADER_BYTES,
    ROLE_RESPONDER,
};
use crate::request::{OpenRequest, Request};
use sanddrum_wire::ReceiveBuffer;
use std::collections::BTreeMap;

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
    /// Maximum size of the buffered data of all incomplete requests in bytes.
    pub max_buffered_bytes: usize,
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

/// The result of processing the next record.
enum Step {
    /// More bytes are needed.
    Incomplete,
    /// A record was processed.
    Processed(Option<ResponderEvent>),
}

/// The decoder of one connection.
pub struct Responder {
    limits: ResponderLimits,
    buffer: ReceiveBuffer,
    /// Open requests by id.
    open: BTreeMap<u16, OpenRequest>,
    /// Bytes buffered for incomplete requests.
    buffered_bytes: usize,
    /// Whether a request has ended after which the web server expects the connection to be closed.
    must_close: bool,
}

impl Responder {
    /// Creates the decoder of a new connection.
    pub fn new(limits: ResponderLimits) -> Self {
        Responder {
            limits,
            buffer: ReceiveBuffer::default(),
            open: BTreeMap::new(),
            buffered_bytes: 0,
            must_close: false,
        }
    }

    /// The number of open requests, complete or not.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Bytes buffered for incomplete requests.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether part of a record or of a request has been received.
    pub fn has_partial_request(&self) -> bool {
        !self.buffer.is_empty() || self.open.values().any(|open| !open.is_complete())
    }

    /// Drops all incomplete requests and returns their ids, which are free again. Their further records are skipped.
    pub fn drop_partial(&mut self) -> Vec<u16> {
        let ids: Vec<u16> = self
            .open
            .iter()
            .filter(|(_, open)| !open.is_complete())
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.finish(*id);
        }
        ids
    }

    /// Closes a request that has been answered. Returns whether the connection has to be closed after it (section 5.1,
    /// FCGI_KEEP_CONN).
    pub fn finish(&mut self, id: u16) -> bool {
        if let Some(open) = self.remove(id) {
            self.must_close |= !open.keep_connection;
        }
        self.must_close
    }

    /// Appends bytes received from the web server.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Returns the next event, or `None` until more bytes are received.
    ///
    /// # Errors
    /// [`ProtocolError`]; the connection has to be closed.
    pub fn next_event(&mut self) -> Result<Option<ResponderEvent>, ProtocolError> {
        loop {
            match self.process_next_record()? {
                Step::Incomplete => return Ok(None),
                Step::Processed(Some(event)) => return Ok(Some(event)),
                Step::Processed(None) => {}
            }
        }
    }

    fn process_next_record(&mut self) -> Result<Step, ProtocolError> {
        // The buffer is moved out, since the record borrows from it while `process` modifies the responder.
        let mut buffer = std::mem::take(&mut self.buffer);
        let result = match Record::read(buffer.unread()) {
            Ok(Some((record, length))) => {
                let event = self.process(record);
                buffer.consume(length);
                event.map(Step::Processed)
            }
            Ok(None) => Ok(Step::Incomplete),
            Err(error) => Err(error.into()),
        };
        buffer.release_if_empty();
        self.buffer = buffer;
        result
    }

    fn process(&mut self, record: Record<'_>) -> Result<Option<ResponderEvent>, ProtocolError> {
        let Record {
            record_type,
            id,
            content,
        } = record;
        if id == 0 {
            let reply = match record_type {
                RecordType::GetValues => self.get_values_result(content),
                other => unknown_type(other),
            };
            return Ok(Some(ResponderEvent::Reply(reply)));
        }
        match record_type {
            RecordType::BeginRequest => self.begin(id, content),
            // Records of a request that is not open are ignored (section 3.3).
            RecordType::AbortRequest => Ok(self.remove(id).map(|_| ResponderEvent::Abort { id })),
            RecordType::Params => self.receive_params(id, content),
            RecordType::Stdin => self.receive_body(id, content),
            _ => Ok(None),
        }
    }

    /// Handles a begin-request record (section 5.1).
    fn begin(&mut self, id: u16, content: &[u8]) -> Result<Option<ResponderEvent>, ProtocolError> {
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
        self.open.insert(id, OpenRequest::new(keep_connection));
        Ok(None)
    }

    /// Handles a params record (section 5.2).
    fn receive_params(
        &mut self,
        id: u16,
        content: &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.awaits_params()) else {
            return Ok(None);
        };
        if content.is_empty() {
            open.end_params();
            return Ok(None);
        }
        if open.params_length() + content.len() > self.limits.max_params_bytes {
            return Ok(self.reject(id, RejectReason::ParamsTooLong));
        }
        open.push_params(content);
        self.count_buffered(content.len())?;
        Ok(None)
    }

    /// Handles a stdin record (section 5.3). The empty record that ends the body completes the request.
    fn receive_body(
        &mut self,
        id: u16,
        content: &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.is_complete()) else {
            return Ok(None);
        };
        if content.is_empty() {
            return Ok(self.complete(id));
        }
        if open.body_length() + content.len() > self.limits.max_body_bytes {
            return Ok(self.reject(id, RejectReason::BodyTooLong));
        }
        open.push_body(content);
        self.count_buffered(content.len())?;
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
        let queried = decode_params(content).unwrap_or_default();
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
