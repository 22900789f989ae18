//! HTTP/1.1 (RFC 9112) on both ends, as far as calls need it: bodies by `Content-Length` only, requests pipelined.

use std::fmt::Write;

/// The most header fields of one head.
const FIELDS: usize = 64;

/// Why a request can't be read, as the status that tells the client (RFC 9110, section 15).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    LengthRequired,
    Version,
}

impl HttpError {
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::LengthRequired => 411,
            HttpError::Version => 505,
        }
    }
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

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection stays for further requests.
    pub keep_alive: bool,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// More bytes are needed; the client may wait to be told to send its body (RFC 9110, section 10.1.1).
    Partial { expects_continue: bool },
    /// A request, and how many bytes it took.
    Complete(Request, usize),
}

/// Reads a request from the front of `bytes`.
pub fn parse_request(
    bytes: &[u8],
    most_head: usize,
    most_body: usize,
) -> Result<Parsed, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let parsed = head.parse(bytes).map_err(|e| match e {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version => HttpError::Version,
        _ => HttpError::Malformed,
    })?;
    let httparse::Status::Complete(at) = parsed else {
        let too_large = bytes.len() > most_head;
        return if too_large {
            Err(HttpError::HeadTooLarge)
        } else {
            Ok(Parsed::Partial {
                expects_continue: false,
            })
        };
    };
    if at > most_head {
        return Err(HttpError::HeadTooLarge);
    }
    let field = |name| values(head.headers, name);
    if field("transfer-encoding").next().is_some() {
        return Err(HttpError::LengthRequired);
    }
    let length = length_of(field("content-length"))?;
    if length > most_body {
        return Err(HttpError::BodyTooLarge);
    }
    let Some(body) = bytes[at..].get(..length) else {
        let expects_continue = field("expect").any(|v| v.eq_ignore_ascii_case(b"100-continue"));
        return Ok(Parsed::Partial {
            expects_continue: expects_continue && bytes.len() == at,
        });
    };
    let one_one = head.version == Some(1);
    let mut options = field("connection").flat_map(|v| v.split(|b| *b == b','));
    let said = |what: &[u8], v: &[u8]| v.trim_ascii().eq_ignore_ascii_case(what);
    let keep_alive = if one_one {
        !options.any(|v| said(b"close", v))
    } else {
        options.any(|v| said(b"keep-alive", v))
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        fields: head
            .headers
            .iter()
            .map(|h| (h.name.to_string(), text(h.value)))
            .collect(),
        body: body.to_vec(),
        keep_alive,
    };
    Ok(Parsed::Complete(request, at + length))
}

fn values<'a>(
    fields: &'a [httparse::Header<'a>],
    name: &'static str,
) -> impl Iterator<Item = &'a [u8]> {
    fields
        .iter()
        .filter(move |h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

/// One length, said once or the same each time (RFC 9112, section 6.3).
fn length_of<'a>(mut said: impl Iterator<Item = &'a [u8]>) -> Result<usize, HttpError> {
    let Some(first) = said.next() else {
        return Ok(0);
    };
    if said.any(|other| other != first) || first.is_empty() || !first.iter().all(u8::is_ascii_digit)
    {
        return Err(HttpError::Malformed);
    }
    let digits = std::str::from_utf8(first).map_err(|_| HttpError::Malformed)?;
    digits.parse().map_err(|_| HttpError::BodyTooLarge)
}

/// An answer's head and body.
pub fn encode_response(
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = String::with_capacity(160);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", phrase(status));
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let close = if keep_alive {
        ""
    } else {
        "connection: close\r\n"
    };
    let _ = write!(head, "content-length: {}\r\n{close}\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn phrase(status: u16) -> &'static str {
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

/// A request as a client writes it.
pub fn encode_request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = String::with_capacity(200);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nhost: sanddrum\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// Reads an answer from the front of `bytes`, and how many bytes it took.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(at) = head.parse(bytes).map_err(|_| HttpError::Malformed)?
    else {
        return Ok(None);
    };
    let length = length_of(values(head.headers, "content-length"))?;
    let Some(body) = bytes[at..].get(..length) else {
        return Ok(None);
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let answer = Response {
        status: head.code.unwrap_or_default(),
        fields: head
            .headers
            .iter()
            .map(|h| (h.name.to_string(), text(h.value)))
            .collect(),
        body: body.to_vec(),
    };
    Ok(Some((answer, at + length)))
}
