//! Responses: encoded by the listener, parsed by clients.

use super::{content_length, find_field, owned_fields, HttpError, MAX_FIELDS};
use std::fmt::Write;

/// Initial capacity of an encoded head in bytes.
const HEAD_CAPACITY: usize = 160;

/// The interim response to a request with `Expect: 100-continue` (RFC 9110, section 15.2.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code (RFC 9110, section 15).
    pub status: u16,
    /// Names and values of the header fields, in the order received.
    pub fields: Vec<(String, String)>,
    /// The content.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the first header field of this name, ignoring case.
    pub fn field(&self, name: &str) -> Option<&str> {
        find_field(&self.fields, name)
    }
}

/// Parses the response at the front of `bytes` and returns it with its length in bytes; `None` until more bytes are
/// received.
///
/// # Errors
/// [`HttpError::Malformed`], or [`HttpError::BodyTooLarge`] for a length that can't be represented.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    let status = head.parse(bytes).map_err(|_| HttpError::Malformed)?;
    let httparse::Status::Complete(head_length) = status else {
        return Ok(None);
    };
    let body_length = content_length(head.headers)?;
    let Some(body) = bytes[head_length..].get(..body_length) else {
        return Ok(None);
    };
    let response = Response {
        status: head.code.unwrap_or_default(),
        fields: owned_fields(head.headers),
        body: body.to_vec(),
    };
    Ok(Some((response, head_length + body_length)))
}

/// Encodes a response. Without `keep_alive`, it announces that the connection will be closed after it.
pub fn encode_response(
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = String::with_capacity(HEAD_CAPACITY);
    // Writing to a String cannot fail.
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {}\r\n", body.len());
    if !keep_alive {
        head.push_str("connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    message
}

/// Returns the reason phrase of a status that the listener sends (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}
