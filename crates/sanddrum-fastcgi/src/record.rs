//! Records (section 3.3), decoded and encoded.

/// Size of a record's header in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum size of a record's content in bytes.
pub const MAX_CONTENT_BYTES: usize = 0xffff;
/// The version of the protocol (FCGI_VERSION_1).
const VERSION: u8 = 1;
/// The Responder role in a begin-request record (FCGI_RESPONDER).
pub(crate) const ROLE_RESPONDER: u16 = 1;
/// The flag that keeps the connection open after the request (FCGI_KEEP_CONN).
pub(crate) const FLAG_KEEP_CONNECTION: u8 = 1;

/// The record types of section 8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordType {
    /// FCGI_BEGIN_REQUEST (section 5.1).
    BeginRequest,
    /// FCGI_ABORT_REQUEST (section 5.4).
    AbortRequest,
    /// FCGI_END_REQUEST (section 5.5).
    EndRequest,
    /// FCGI_PARAMS (section 5.2).
    Params,
    /// FCGI_STDIN (section 5.3).
    Stdin,
    /// FCGI_STDOUT (section 5.3).
    Stdout,
    /// FCGI_STDERR (section 5.3).
    Stderr,
    /// FCGI_DATA (section 5.3).
    Data,
    /// FCGI_GET_VALUES (section 4.1).
    GetValues,
    /// FCGI_GET_VALUES_RESULT (section 4.1).
    GetValuesResult,
    /// FCGI_UNKNOWN_TYPE (section 4.2).
    UnknownType,
    /// The code of a type that the specification does not define.
    Other(u8),
}

impl RecordType {
    /// The known types in the order of their codes, which start at one.
    const KNOWN: [RecordType; 11] = [
        RecordType::BeginRequest,
        RecordType::AbortRequest,
        RecordType::EndRequest,
        RecordType::Params,
        RecordType::Stdin,
        RecordType::Stdout,
        RecordType::Stderr,
        RecordType::Data,
        RecordType::GetValues,
        RecordType::GetValuesResult,
        RecordType::UnknownType,
    ];

    /// The type with this code.
    pub fn from_code(code: u8) -> RecordType {
        let known = usize::from(code)
            .checked_sub(1)
            .and_then(|index| RecordType::KNOWN.get(index));
        known.copied().unwrap_or(RecordType::Other(code))
    }

    /// The type's code.
    pub fn code(self) -> u8 {
        match self {
            RecordType::Other(code) => code,
            known => RecordType::KNOWN
                .iter()
                .position(|record_type| *record_type == known)
                .map_or(0, |index| index as u8 + 1),
        }
    }
}

/// How the application ended a request (protocolStatus in section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// FCGI_REQUEST_COMPLETE: the request was processed.
    RequestComplete = 0,
    /// FCGI_CANT_MPX_CONN: rejected, as the application processes only one request at a time per connection.
    CantMultiplex = 1,
    /// FCGI_OVERLOADED: rejected, as the application is overloaded.
    Overloaded = 2,
    /// FCGI_UNKNOWN_ROLE: rejected, as the application does not support the role.
    UnknownRole = 3,
}

/// A record has another version than FastCGI 1.0. The rest of the connection can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unsupported FastCGI version {0}; only FastCGI 1.0 is supported")]
pub struct UnsupportedVersion(
    /// The version in the record's header.
    pub u8,
);

/// Checks the first byte of a record.
pub(crate) fn check_version(version: u8) -> Result<(), UnsupportedVersion> {
    match version {
        VERSION => Ok(()),
        other => Err(UnsupportedVersion(other)),
    }
}

/// The header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    /// The record's type.
    pub record_type: RecordType,
    /// The id of the request that the record belongs to; zero for management records.
    pub id: u16,
    /// Size of the content in bytes.
    pub content_length: usize,
    /// Size of the padding after the content in bytes.
    pub padding_length: usize,
}

impl RecordHeader {
    /// Decodes a header.
    ///
    /// # Errors
    /// [`UnsupportedVersion`]
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Self, UnsupportedVersion> {
        let [version, code, id1, id0, length1, length0, padding, _reserved] = *bytes;
        check_version(version)?;
        Ok(RecordHeader {
            record_type: RecordType::from_code(code),
            id: u16::from_be_bytes([id1, id0]),
            content_length: usize::from(u16::from_be_bytes([length1, length0])),
            padding_length: usize::from(padding),
        })
    }
}

/// One record, which borrows its content from the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// The record's type.
    pub record_type: RecordType,
    /// The id of the request that it belongs to; zero for management records.
    pub id: u16,
    /// Its content, without padding.
    pub content: &'a [u8],
}

impl<'a> Record<'a> {
    /// Decodes the record at the front of `bytes` and returns it with its length in bytes, header and padding
    /// included; `None` until more bytes are received.
    ///
    /// # Errors
    /// [`UnsupportedVersion`], as soon as the first byte is received.
    pub fn read(bytes: &'a [u8]) -> Result<Option<(Record<'a>, usize)>, UnsupportedVersion> {
        let Some((header, body)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return match bytes.first() {
                Some(version) => check_version(*version).map(|()| None),
                None => Ok(None),
            };
        };
        let header = RecordHeader::decode(header)?;
        let body_length = header.content_length + header.padding_length;
        if body.len() < body_length {
            return Ok(None);
        }
        let record = Record {
            record_type: header.record_type,
            id: header.id,
            content: &body[..header.content_length],
        };
        Ok(Some((record, HEADER_BYTES + body_length)))
    }
}

/// Encodes the header of a record without padding whose content has `length` bytes, at most [`MAX_CONTENT_BYTES`].
pub fn encode_header(record_type: RecordType, id: u16, length: usize) -> [u8; HEADER_BYTES] {
    let [id1, id0] = id.to_be_bytes();
    let [length1, length0] = (length.min(MAX_CONTENT_BYTES) as u16).to_be_bytes();
    [
        VERSION,
        record_type.code(),
        id1,
        id0,
        length1,
        length0,
        0,
        0,
    ]
}

pub(crate) fn write_record(out: &mut Vec<u8>, record_type: RecordType, id: u16, content: &[u8]) {
    out.extend_from_slice(&encode_header(record_type, id, content.len()));
    out.extend_from_slice(content);
}

/// Writes a stream: its content in as many records as needed, and the empty record that ends it.
pub fn write_stream(out: &mut Vec<u8>, record_type: RecordType, id: u16, content: &[u8]) {
    for chunk in content.chunks(MAX_CONTENT_BYTES) {
        write_record(out, record_type, id, chunk);
    }
    write_record(out, record_type, id, &[]);
}

/// Writes the begin-request record of a Responder's request, as a web server sends it.
pub fn write_begin_request(out: &mut Vec<u8>, id: u16, keep_connection: bool) {
    let [role1, role0] = ROLE_RESPONDER.to_be_bytes();
    let flags = if keep_connection {
        FLAG_KEEP_CONNECTION
    } else {
        0
    };
    let content = [role1, role0, flags, 0, 0, 0, 0, 0];
    write_record(out, RecordType::BeginRequest, id, &content);
}

/// Writes the end-request record, the last one of a request.
pub fn write_end_request(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    let content = [0, 0, 0, 0, status as u8, 0, 0, 0];
    write_record(out, RecordType::EndRequest, id, &content);
}

/// Encodes a complete response: the parts of the CGI response as one stream, and the end of the request.
pub fn encode_response(id: u16, response: &[&[u8]]) -> Vec<u8> {
    let length: usize = response.iter().map(|part| part.len()).sum();
    let header_count = 4 + length / MAX_CONTENT_BYTES;
    let mut out = Vec::with_capacity(length + header_count * HEADER_BYTES);
    if length <= MAX_CONTENT_BYTES {
        out.extend_from_slice(&encode_header(RecordType::Stdout, id, length));
        for part in response {
            out.extend_from_slice(part);
        }
        write_record(&mut out, RecordType::Stdout, id, &[]);
    } else {
        write_stream(&mut out, RecordType::Stdout, id, &response.concat());
    }
    write_end_request(&mut out, id, ProtocolStatus::RequestComplete);
    out
}

/// Encodes the end of a request without a response.
pub fn encode_end_request(id: u16, status: ProtocolStatus) -> Vec<u8> {
    let mut out = Vec::with_capacity(2 * HEADER_BYTES);
    write_end_request(&mut out, id, status);
    out
}
