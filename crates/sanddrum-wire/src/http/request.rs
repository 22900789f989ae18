//! Requests: parsed by the listener, encoded by clients.

use super::{content_length, field_values, find_field, owned_fields, HttpError, MAX_FIELDS};
use httparse::Header;
use std::fmt::Write;

/// Initial capacity of an encoded head in bytes.
const HEAD_CAPACITY: usize = 200;

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The request target in origin form (RFC 9112, section 3.2.1).
    pub path: String,
    /// Names and values of the header fields, in the order received.
    pub fields: Vec<(String, String)>,
    /// The content.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open for further requests (RFC 9112, section 9.3).
    pub keep_alive: bool,
}

impl Request {
    /// Returns the value of the first header field of this name, ignoring case.
    pub fn field(&self, name: &str) -> Option<&str> {
        find_field(&self.fields, name)
    }
}

/// The result of [`parse_request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// More bytes are needed.
    Partial {
        /// The client waits for [`CONTINUE`](super::CONTINUE) before it sends the body (RFC 9110, section 10.1.1).
        expects_continue: bool,
    },
    /// A request, and its length in bytes.
    Complete(Request, usize),
}

/// Parses the request at the front of `bytes`. Its head is limited to `max_head_bytes` and its body to
/// `max_body_bytes`.
///
/// # Errors
/// [`HttpError`]: the request can't be served. Where its body ends is unknown, so the connection has to be closed.
pub fn parse_request(
    bytes: &[u8],
    max_head_bytes: usize,
    max_body_bytes: usize,
) -> Result<Parsed, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut headers);
    let status = head.parse(bytes).map_err(|error| match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version => HttpError::Version,
        _ => HttpError::Malformed,
    })?;
    let head_length = match status {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() > max_head_bytes => {
            return Err(HttpError::HeadTooLarge)
        }
        httparse::Status::Partial => {
            return Ok(Parsed::Partial {
                expects_continue: false,
            })
        }
    };
    if head_length > max_head_bytes {
        return Err(HttpError::HeadTooLarge);
    }
    let body_length = body_length(head.headers, max_body_bytes)?;
    let received_body = &bytes[head_length..];
    let Some(body) = received_body.get(..body_length) else {
        return Ok(Parsed::Partial {
            expects_continue: received_body.is_empty() && expects_continue(head.headers),
        });
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        fields: owned_fields(head.headers),
        body: body.to_vec(),
        keep_alive: keeps_alive(head.version, head.headers),
    };
    Ok(Parsed::Complete(request, head_length + body_length))
}

/// Returns the body's length in bytes. Transfer codings are not supported (RFC 9112, section 6.1).
fn body_length(headers: &[Header<'_>], max_body_bytes: usize) -> Result<usize, HttpError> {
    if field_values(headers, "transfer-encoding").next().is_some() {
        return Err(HttpError::LengthRequired);
    }
    let length = content_length(headers)?;
    if length > max_body_bytes {
        return Err(HttpError::BodyTooLarge);
    }
    Ok(length)
}

fn expects_continue(headers: &[Header<'_>]) -> bool {
    field_values(headers, "expect").any(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the client keeps the connection open: in HTTP/1.1 unless the `close` option is present, in HTTP/1.0 only
/// with the `keep-alive` option (RFC 9112, section 9.3).
fn keeps_alive(minor_version: Option<u8>, headers: &[Header<'_>]) -> bool {
    let mut options = field_values(headers, "connection")
        .flat_map(|value| value.split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii);
    if minor_version == Some(1) {
        !options.any(|option| option.eq_ignore_ascii_case(b"close"))
    } else {
        options.any(|option| option.eq_ignore_ascii_case(b"keep-alive"))
    }
}

/// Encodes a request as a client sends it.
pub fn encode_request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = String::with_capacity(HEAD_CAPACITY);
    // Writing to a String cannot fail.
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nhost: sanddrum\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    message
}
