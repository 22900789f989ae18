//! Records (section 3.3) and name-value pairs (section 3.4), written and read.

use crate::ProtocolStatus;

/// Bytes of a record's header.
pub const HEADER_BYTES: usize = 8;
/// The longest content of a record.
pub const MAX_CONTENT_BYTES: usize = 0xffff;
const VERSION: u8 = 1;

/// The record types of section 8, as far as they are spoken here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordType {
    BeginRequest,
    AbortRequest,
    EndRequest,
    Params,
    Stdin,
    Stdout,
    Stderr,
    Data,
    GetValues,
    GetValuesResult,
    UnknownType,
    Other(u8),
}

impl RecordType {
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
    pub fn from_code(number: u8) -> RecordType {
        let known = usize::from(number)
            .checked_sub(1)
            .and_then(|n| RecordType::KNOWN.get(n));
        known.copied().unwrap_or(RecordType::Other(number))
    }
    pub fn code(self) -> u8 {
        match self {
            RecordType::Other(number) => number,
            known => RecordType::KNOWN
                .iter()
                .position(|k| *k == known)
                .map_or(0, |n| n as u8 + 1),
        }
    }
}

/// One record, as it lies in the bytes that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub kind: RecordType,
    pub id: u16,
    pub content: &'a [u8],
}

impl<'a> Record<'a> {
    /// The record at the front of `bytes` and how many bytes it took; `None` until more have come.
    ///
    /// # Errors
    /// The version is not 1: what follows has no meaning.
    pub fn read(bytes: &'a [u8]) -> Result<Option<(Record<'a>, usize)>, u8> {
        match bytes.first() {
            Some(version) if *version != VERSION => return Err(*version),
            _ => {}
        }
        let Some((head, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [_, kind, id1, id0, length1, length0, padding, _] = *head;
        let length = usize::from(u16::from_be_bytes([length1, length0]));
        let Some(content) = rest.get(..length) else {
            return Ok(None);
        };
        if rest.len() < length + usize::from(padding) {
            return Ok(None);
        }
        let record = Record {
            kind: RecordType::from_code(kind),
            id: u16::from_be_bytes([id1, id0]),
            content,
        };
        Ok(Some((record, HEADER_BYTES + length + usize::from(padding))))
    }
}

pub fn encode_header(kind: RecordType, id: u16, length: usize) -> [u8; HEADER_BYTES] {
    let [id1, id0] = id.to_be_bytes();
    let [length1, length0] = (length.min(MAX_CONTENT_BYTES) as u16).to_be_bytes();
    [VERSION, kind.code(), id1, id0, length1, length0, 0, 0]
}

fn write_record(out: &mut Vec<u8>, kind: RecordType, id: u16, content: &[u8]) {
    out.extend_from_slice(&encode_header(kind, id, content.len()));
    out.extend_from_slice(content);
}

/// A stream's content in as many records as it takes, and the empty one that ends it.
pub fn write_stream(out: &mut Vec<u8>, kind: RecordType, id: u16, content: &[u8]) {
    for piece in content.chunks(MAX_CONTENT_BYTES) {
        write_record(out, kind, id, piece);
    }
    write_record(out, kind, id, &[]);
}

/// A request's end: the last of it.
pub fn write_end_request(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    write_record(
        out,
        RecordType::EndRequest,
        id,
        &[0, 0, 0, 0, status as u8, 0, 0, 0],
    );
}

/// A whole answer: its CGI response and the request's end.
pub fn encode_response(id: u16, response: &[&[u8]]) -> Vec<u8> {
    let length: usize = response.iter().map(|part| part.len()).sum();
    let mut out =
        Vec::with_capacity(length + 4 * HEADER_BYTES + length / MAX_CONTENT_BYTES * HEADER_BYTES);
    if length <= MAX_CONTENT_BYTES {
        out.extend_from_slice(&encode_header(RecordType::Stdout, id, length));
        response.iter().for_each(|part| out.extend_from_slice(part));
        write_record(&mut out, RecordType::Stdout, id, &[]);
    } else {
        write_stream(&mut out, RecordType::Stdout, id, &response.concat());
    }
    write_end_request(&mut out, id, ProtocolStatus::RequestComplete);
    out
}

/// An end with nothing before it.
pub fn encode_end_request(id: u16, status: ProtocolStatus) -> Vec<u8> {
    let mut out = Vec::with_capacity(2 * HEADER_BYTES);
    write_end_request(&mut out, id, status);
    out
}

/// A Responder's request begins, as a web server writes it.
pub fn write_begin_request(out: &mut Vec<u8>, id: u16, keep: bool) {
    write_record(
        out,
        RecordType::BeginRequest,
        id,
        &[0, 1, u8::from(keep), 0, 0, 0, 0, 0],
    );
}

/// Name-value pairs, as they are sent in a stream.
pub fn encode_params(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in pairs {
        for length in [name.len(), value.len()] {
            match u8::try_from(length).ok().filter(|n| *n < 0x80) {
                Some(short) => out.push(short),
                None => out.extend_from_slice(&(length as u32 | 0x8000_0000).to_be_bytes()),
            }
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(value.as_bytes());
    }
    out
}

/// Reads name-value pairs; `None` where a length does not fit what is there.
pub(crate) fn decode_params(mut bytes: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    fn length(bytes: &mut &[u8]) -> Option<usize> {
        let (first, rest) = bytes.split_first()?;
        if first & 0x80 == 0 {
            *bytes = rest;
            return Some(usize::from(*first));
        }
        let (long, rest) = bytes.split_first_chunk::<4>()?;
        *bytes = rest;
        Some((u32::from_be_bytes(*long) & 0x7fff_ffff) as usize)
    }
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let (name, value) = (length(&mut bytes)?, length(&mut bytes)?);
        let (pair, rest) = bytes.split_at_checked(name.checked_add(value)?)?;
        pairs.push(pair.split_at(name));
        bytes = rest;
    }
    Some(pairs)
}
