//! FastCGI 1.0 (the specification of 29 April 1996) in the Responder role, without I/O. Section numbers in this
//! package are the specification's.
//!
//! A [`Responder`] decodes the bytes received from a web server into complete requests, of which many may be open on
//! one connection. It buffers nothing but the parameters and bodies of incomplete requests. [`encode_response`] and [`encode_end_request`] encode what is sent back. [`ResponderLimits`]
//! bounds the data that is buffered for incomplete requests. The `write_*` functions are the web server's side, for
//! tests and load generators.

mod params;
mod record;
mod record_reader;
mod request;
mod responder;

pub use params::encode_params;
pub use record::{
    encode_end_request, encode_header, encode_response, write_begin_request, write_end_request,
    write_stream, ProtocolStatus, Record, RecordType, UnsupportedVersion, HEADER_BYTES,
    MAX_CONTENT_BYTES,
};
pub use request::Request;
pub use responder::{
    ProtocolError, RejectReason, Responder, ResponderEvent, ResponderLimits, Timestamp,
};
