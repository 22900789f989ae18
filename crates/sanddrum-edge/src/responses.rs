//! Final responses to requests, before a listener encodes them for its protocol.

use sanddrum::{Micros, RequestId};
use sanddrum_wire::http;
use serde_json::json;
use thiserror::Error;

const MICROS_PER_MILLI: Micros = 1_000;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// What an error response states about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    /// The request has not run, or retrying it is harmless.
    Rejected,
    /// The request failed and may have run.
    Failed,
    /// The request is not valid.
    Invalid,
}

impl ErrorKind {
    /// The name on the wire and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ErrorKind::Rejected => "pushed-back",
            ErrorKind::Failed => "killed",
            ErrorKind::Invalid => "refused",
        }
    }
}

/// A final response.
pub(crate) enum FinalResponse<'a> {
    /// The request finished.
    Finished {
        /// The request.
        request: RequestId,
        /// The name of the worker that ran it.
        worker: &'a str,
        /// The state of the instance that the worker reported, as written on the wire.
        instance: &'static str,
        /// The result.
        body: &'a [u8],
    },
    /// The request did not finish.
    Error(&'a ErrorResponse<'a>),
}

impl FinalResponse<'_> {
    /// Encodes the response for HTTP/1.1.
    pub fn encode_http(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            FinalResponse::Finished {
                request,
                worker,
                instance,
                body,
            } => {
                let request_id = request.0.to_string();
                let fields = [
                    ("content-type", "application/octet-stream"),
                    ("sanddrum-end", "finished"),
                    ("sanddrum-job", request_id.as_str()),
                    ("sanddrum-worker", worker),
                    ("sanddrum-copy", instance),
                ];
                http::encode_response(200, &fields, body, keep_alive)
            }
            FinalResponse::Error(error) => error.encode_http(keep_alive),
        }
    }
}

/// A final response to a request that was rejected, failed or is invalid.
pub(crate) struct ErrorResponse<'a> {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request was rejected, failed or is invalid.
    pub kind: ErrorKind,
    /// The name of the reason on the wire and in metrics.
    pub reason: &'static str,
    /// A human-readable explanation.
    pub detail: &'a str,
    /// How long the client is asked to wait before it retries.
    pub retry_after: Option<Micros>,
    /// The request, if it was accepted.
    pub request: Option<RequestId>,
}

impl ErrorResponse<'_> {
    /// Encodes the response for HTTP/1.1 as problem details (RFC 9457). The retry delay is given in whole seconds in
    /// the standard `Retry-After` field (RFC 9110, section 10.2.3) and in milliseconds in a field of its own.
    pub fn encode_http(&self, keep_alive: bool) -> Vec<u8> {
        let mut body = json!({
            "type": format!("urn:sanddrum:{}", self.reason),
            "title": self.kind.name(),
            "status": self.status,
            "detail": self.detail,
        });
        let mut fields = vec![
            ("content-type", "application/problem+json"),
            ("sanddrum-end", self.kind.name()),
        ];
        let (seconds, millis);
        if let Some(wait) = self.retry_after {
            body["retry_after_ms"] = json!(wait / MICROS_PER_MILLI);
            seconds = seconds_rounded_up(wait).max(1).to_string();
            millis = (wait / MICROS_PER_MILLI).to_string();
            fields.extend([
                ("retry-after", seconds.as_str()),
                ("sanddrum-retry-after-ms", millis.as_str()),
            ]);
        }
        if self.status == 401 {
            // A 401 response has to carry a challenge (RFC 6750, section 3).
            fields.push(("www-authenticate", "Bearer error=\"invalid_token\""));
        }
        if let Some(request) = self.request {
            body["job"] = json!(request.0);
        }
        let body = body.to_string();
        http::encode_response(self.status, &fields, body.as_bytes(), keep_alive)
    }
}

fn seconds_rounded_up(wait: Micros) -> Micros {
    (wait + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND
}

/// Why a client's request was not accepted.
#[derive(Debug, Error)]
#[error("{reason}: {detail}")]
pub(crate) struct RequestError {
    /// The HTTP status code.
    pub status: u16,
    /// The name of the reason on the wire and in metrics.
    pub reason: &'static str,
    /// A human-readable explanation.
    pub detail: String,
}

impl RequestError {
    /// Creates an error.
    pub fn new(status: u16, reason: &'static str, detail: impl Into<String>) -> Self {
        RequestError {
            status,
            reason,
            detail: detail.into(),
        }
    }

    /// A field or parameter is missing or malformed.
    pub fn bad_field(detail: impl Into<String>) -> Self {
        RequestError::new(400, "bad-field", detail)
    }

    /// The limit of open requests is reached.
    pub fn too_many_requests() -> Self {
        let detail = "this edge holds as many jobs as it may; nothing was done";
        RequestError::new(503, "max-open", detail)
    }

    /// A request with the same id is open.
    pub fn call_is_open() -> Self {
        RequestError::new(409, "call-open", "a call of this id is open")
    }

    /// The client of a request with the same id has left, and a worker may still run it.
    pub fn call_is_ending() -> Self {
        let detail = "an earlier call of this id may still run; this one was not begun";
        RequestError::new(503, "call-ending", detail)
    }

    /// A request with the same id may have run, and may not run again.
    pub fn call_may_have_run() -> Self {
        let detail = "an earlier call of this id may have run; this one was not begun";
        RequestError::new(409, "call-may-have-run", detail)
    }

    /// The client sends more than is read, so that it may have cancelled the request meanwhile.
    pub fn unread_input() -> Self {
        let detail = "more was sent on this connection than can be read in time; nothing was done";
        RequestError::new(503, "unread-input", detail)
    }

    /// The limit of known functions is reached.
    pub fn too_many_functions() -> Self {
        let detail = "this edge knows as many functions as it may";
        RequestError::new(503, "max-functions", detail)
    }

    /// The response to the client, with the time to wait before a retry, if any.
    pub fn response(&self, kind: ErrorKind, retry_after: Option<Micros>) -> ErrorResponse<'_> {
        ErrorResponse {
            status: self.status,
            kind,
            reason: self.reason,
            detail: &self.detail,
            retry_after,
            request: None,
        }
    }
}
