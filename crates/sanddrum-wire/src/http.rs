//! The part of HTTP/1.1 (RFC 9112) that requests for functions need, for servers and clients: bodies are delimited by
//! `Content-Length` only, and requests may be pipelined.

mod request;
mod response;

pub use request::{encode_request, parse_request, Parsed, Request};
pub use response::{encode_response, parse_response, Response, CONTINUE};

use httparse::Header;

/// The maximum number of header fields of one message.
const MAX_FIELDS: usize = 64;

/// Why a message can't be parsed. Each variant corresponds to a response status (RFC 9110, section 15).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is not a valid HTTP/1.1 message, or its `Content-Length` is invalid.
    #[error("the message is malformed")]
    Malformed,
    /// The head is longer than accepted, or has more than 64 fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The announced body is longer than accepted.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body has a transfer coding, which is not supported; a `Content-Length` is required.
    #[error("the body has no Content-Length")]
    LengthRequired,
    /// The message has an unsupported HTTP version.
    #[error("the HTTP version is not supported")]
    Version,
}

impl HttpError {
    /// The status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::LengthRequired => 411,
            HttpError::Version => 505,
        }
    }

    /// The reason that is given in responses and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            HttpError::Malformed => "malformed-request",
            HttpError::HeadTooLarge => "head-too-large",
            HttpError::BodyTooLarge => "body-too-large",
            HttpError::LengthRequired => "length-required",
            HttpError::Version => "http-version",
        }
    }
}

/// Returns the value of the first field of this name, ignoring case (RFC 9110, section 5.1).
fn find_field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let (_, value) = fields
        .iter()
        .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))?;
    Some(value)
}

/// Copies the fields of a parsed head; bytes that are not UTF-8 are replaced.
fn owned_fields(headers: &[Header<'_>]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_string(), value)
        })
        .collect()
}

/// Returns the values of all fields of this name, ignoring case.
fn field_values<'a>(
    headers: &'a [Header<'a>],
    name: &'static str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Returns the body's length in bytes, or zero if there is no `Content-Length`. Repeated fields must have equal values
/// (RFC 9112, section 6.3).
fn content_length(headers: &[Header<'_>]) -> Result<usize, HttpError> {
    let mut values = field_values(headers, "content-length");
    let Some(first) = values.next() else {
        return Ok(0);
    };
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    if !is_number || values.any(|other| other != first) {
        return Err(HttpError::Malformed);
    }
    let digits = std::str::from_utf8(first).map_err(|_| HttpError::Malformed)?;
    digits.parse().map_err(|_| HttpError::BodyTooLarge)
}
