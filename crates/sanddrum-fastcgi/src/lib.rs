//! FastCGI 1.0 (the specification of 29 April 1996), the Responder's side, without I/O. Bytes go into a [`Responder`],
//! whole requests come out of it, many at a time on one connection; [`answer`] and [`end`] write what goes back. All that
//! is held of what has not come whole is bounded by [`ResponderLimits`].

#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

mod record;
mod responder;

pub use record::{
    encode_end_request, encode_header, encode_params, encode_response, write_begin_request,
    write_end_request, write_stream, Record, RecordType, HEADER_BYTES, MAX_CONTENT_BYTES,
};
pub use responder::{
    ProtocolError, RejectReason, Request, Responder, ResponderEvent, ResponderLimits,
};

/// How the application ended a request (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    RequestComplete = 0,
    CantMultiplex = 1,
    Overloaded = 2,
    UnknownRole = 3,
}
