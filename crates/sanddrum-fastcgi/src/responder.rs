//! One connection from a web server: bytes in, whole requests out.

use crate::record::{self, decode_params, encode_header, Record, RecordType};
use std::collections::BTreeMap;
use std::fmt;

/// What a connection may have the responder hold.
#[derive(Clone, Copy, Debug)]
pub struct ResponderLimits {
    /// Requests open at a time, whole or not.
    pub max_open_requests: usize,
    /// Bytes of a request's parameters.
    pub max_params_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of all requests that have not come whole.
    pub max_buffered_bytes: usize,
}

/// RejectReason the connection can't be read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// Not FastCGI 1.0.
    Version(u8),
    /// A request begins under a number that is open: an answer under it would be for either of the two.
    RequestIdInUse(u16),
    /// A request that begins with less than its body, or without a number.
    Malformed,
    /// More of unfinished requests than is held.
    BufferFull,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProtocolError::Version(version) => write!(f, "version {version} is not FastCGI 1.0"),
            ProtocolError::RequestIdInUse(id) => {
                write!(f, "request number {id} begins while it is open")
            }
            ProtocolError::Malformed => write!(f, "a request's beginning can't be read"),
            ProtocolError::BufferFull => write!(f, "too much of requests that are not whole"),
        }
    }
}

impl std::error::Error for ProtocolError {}

/// RejectReason a request is not taken up, though its records can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its parameters can't be read.
    Params,
    ParamsTooLong,
    BodyTooLong,
    /// As many are open as may be.
    TooManyOpen,
    /// Not the Responder's role.
    Role,
}

/// A request that has come whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    pub params: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.params.get(name).map(String::as_str)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponderEvent {
    /// It stays open until [`Responder::ended`].
    Request { id: u16, request: Request },
    /// It is not taken up, and its number is free again once it is ended; what still comes of it is skipped.
    Reject { id: u16, reason: RejectReason },
    /// The web server gives an open request up; it is closed.
    Abort { id: u16 },
    /// To be written back as it is: an answer to a management record.
    Reply(Vec<u8>),
}

struct Open {
    keep: bool,
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    whole: bool,
}

pub struct Responder {
    bounds: ResponderLimits,
    bytes: Vec<u8>,
    read: usize,
    open: BTreeMap<u16, Open>,
    held: usize,
    closes: bool,
}

impl Responder {
    pub fn new(bounds: ResponderLimits) -> Self {
        Responder {
            bounds,
            bytes: Vec::new(),
            read: 0,
            open: BTreeMap::new(),
            held: 0,
            closes: false,
        }
    }
    /// Requests that are open, whole or not.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }
    /// Bytes held of requests that have not come whole.
    pub fn buffered_bytes(&self) -> usize {
        self.held
    }
    /// Gives up all requests that have not come whole; what still comes of them is skipped. Their numbers are free.
    pub fn drop_partial(&mut self) -> Vec<u16> {
        let partial: Vec<u16> = self
            .open
            .iter()
            .filter(|(_, open)| !open.whole)
            .map(|(id, _)| *id)
            .collect();
        for id in &partial {
            self.closes |= self.drop_open(*id).is_some_and(|open| !open.keep);
        }
        partial
    }
    /// Whether something has begun and is not whole.
    pub fn has_partial_request(&self) -> bool {
        self.bytes.len() > self.read || self.open.values().any(|open| !open.whole)
    }
    /// A request has had its end; true where the connection is to be closed after it (section 5.1, FCGI_KEEP_CONN).
    pub fn finish(&mut self, id: u16) -> bool {
        self.closes |= self.drop_open(id).is_some_and(|open| !open.keep);
        self.closes
    }
    fn drop_open(&mut self, id: u16) -> Option<Open> {
        let open = self.open.remove(&id)?;
        if !open.whole {
            self.held = self
                .held
                .saturating_sub(open.params.len() + open.body.len());
        }
        Some(open)
    }
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.read > 0 {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }
    /// What the next records say; `None` until more bytes have come.
    ///
    /// # Errors
    /// The connection can't be read on and is to be closed.
    pub fn next_event(&mut self) -> Result<Option<ResponderEvent>, ProtocolError> {
        loop {
            let bytes = std::mem::take(&mut self.bytes);
            let read = Record::read(&bytes[self.read..]);
            let said = match read {
                Err(version) => Err(ProtocolError::Version(version)),
                Ok(None) => Ok(None),
                Ok(Some((record, took))) => {
                    self.read += took;
                    self.heed(record).map(Some)
                }
            };
            self.bytes = bytes;
            if self.read == self.bytes.len() {
                // A burst's buffer is not kept for good.
                self.bytes = Vec::new();
                self.read = 0;
            }
            match said? {
                None => return Ok(None),
                Some(Some(said)) => return Ok(Some(said)),
                Some(None) => {}
            }
        }
    }

    fn heed(&mut self, record: Record<'_>) -> Result<Option<ResponderEvent>, ProtocolError> {
        let Record { kind, id, content } = record;
        if id == 0 {
            return Ok(Some(ResponderEvent::Reply(match kind {
                RecordType::GetValues => self.values(content),
                other => unknown(other),
            })));
        }
        match kind {
            RecordType::BeginRequest => self.begin(id, content),
            // Records under a number that is not open are ignored (section 3.3).
            RecordType::AbortRequest => {
                Ok(self.drop_open(id).map(|_| ResponderEvent::Abort { id }))
            }
            RecordType::Params => self.more_params(id, content),
            RecordType::Stdin => self.more_body(id, content),
            _ => Ok(None),
        }
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<Option<ResponderEvent>, ProtocolError> {
        let [role1, role0, flags, ..] = *content else {
            return Err(ProtocolError::Malformed);
        };
        if content.len() < 8 {
            return Err(ProtocolError::Malformed);
        }
        if self.open.contains_key(&id) {
            return Err(ProtocolError::RequestIdInUse(id));
        }
        if u16::from_be_bytes([role1, role0]) != 1 {
            return Ok(Some(ResponderEvent::Reject {
                id,
                reason: RejectReason::Role,
            }));
        }
        if self.open.len() >= self.bounds.max_open_requests {
            return Ok(Some(ResponderEvent::Reject {
                id,
                reason: RejectReason::TooManyOpen,
            }));
        }
        let keep = flags & 1 != 0;
        let (params, body) = (Vec::new(), Vec::new());
        self.open.insert(
            id,
            Open {
                keep,
                params,
                params_done: false,
                body,
                whole: false,
            },
        );
        Ok(None)
    }

    fn hold(&mut self, more: usize) -> Result<(), ProtocolError> {
        self.held += more;
        if self.held > self.bounds.max_buffered_bytes {
            return Err(ProtocolError::BufferFull);
        }
        Ok(())
    }

    fn refuse(&mut self, id: u16, why: RejectReason) -> Option<ResponderEvent> {
        let open = self.drop_open(id)?;
        self.closes |= !open.keep;
        Some(ResponderEvent::Reject { id, reason: why })
    }

    fn more_params(
        &mut self,
        id: u16,
        content: &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let most = self.bounds.max_params_bytes;
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.params_done) else {
            return Ok(None);
        };
        if content.is_empty() {
            open.params_done = true;
            return Ok(None);
        }
        if open.params.len() + content.len() > most {
            return Ok(self.refuse(id, RejectReason::ParamsTooLong));
        }
        open.params.extend_from_slice(content);
        self.hold(content.len())?;
        Ok(None)
    }

    fn more_body(
        &mut self,
        id: u16,
        content: &[u8],
    ) -> Result<Option<ResponderEvent>, ProtocolError> {
        let most = self.bounds.max_body_bytes;
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.whole) else {
            return Ok(None);
        };
        if !content.is_empty() {
            if open.body.len() + content.len() > most {
                return Ok(self.refuse(id, RejectReason::BodyTooLong));
            }
            open.body.extend_from_slice(content);
            self.hold(content.len())?;
            return Ok(None);
        }
        let texts = decode_params(&open.params).filter(|_| open.params_done);
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok();
        let params = texts.and_then(|pairs| {
            pairs
                .into_iter()
                .map(|(name, value)| Some((text(name)?, text(value)?)))
                .collect::<Option<_>>()
        });
        let Some(params) = params else {
            return Ok(self.refuse(id, RejectReason::Params));
        };
        open.whole = true;
        let body = std::mem::take(&mut open.body);
        self.held = self.held.saturating_sub(open.params.len() + body.len());
        open.params = Vec::new();
        Ok(Some(ResponderEvent::Request {
            id,
            request: Request { params, body },
        }))
    }

    /// Section 4.1.
    fn values(&self, content: &[u8]) -> Vec<u8> {
        let open = self.bounds.max_open_requests.to_string();
        let known = [
            ("FCGI_MAX_CONNS", open.as_str()),
            ("FCGI_MAX_REQS", open.as_str()),
            ("FCGI_MPXS_CONNS", "1"),
        ];
        let asked = decode_params(content).unwrap_or_default();
        let told = known
            .iter()
            .filter(|(name, _)| asked.iter().any(|(n, _)| *n == name.as_bytes()));
        let content = record::encode_params(&told.copied().collect::<Vec<_>>());
        let mut out = encode_header(RecordType::GetValuesResult, 0, content.len()).to_vec();
        out.extend_from_slice(&content);
        out
    }
}

/// Section 4.2.
fn unknown(kind: RecordType) -> Vec<u8> {
    let mut out = encode_header(RecordType::UnknownType, 0, 8).to_vec();
    out.extend_from_slice(&[kind.code(), 0, 0, 0, 0, 0, 0, 0]);
    out
}
