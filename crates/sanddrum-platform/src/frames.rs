//! Frames between routers and workers. A frame is a header of 16 bytes (marker, code, length of the fields in 2 bytes,
//! length of the body in 4, id in 8), the fields, the body, and the CRC-32 of fields and body in 4 bytes. Numbers are
//! unsigned and big-endian. Fields are UTF-8 text: `name=value` pairs separated by commas.

mod decoder;

pub use decoder::{FrameDecoder, FrameError, Response};

use sanddrum::Micros;

const HEADER_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;

/// The first byte of frames that routers send.
const ROUTER_MARKER: u8 = 76;
/// The first byte of frames that workers send.
const WORKER_MARKER: u8 = 108;

/// Codes of the frames that routers send.
const CODE_REQUEST: u8 = 65;
const CODE_CANCEL: u8 = 66;
const CODE_PING: u8 = 67;
const CODE_LOAD: u8 = 69;
const CODE_UNLOAD: u8 = 71;

fn encode_frame(marker: u8, code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = HEADER_BYTES + fields.len() + body.len() + CHECKSUM_BYTES;
    let mut frame = Vec::with_capacity(length);
    frame.extend_from_slice(&[marker, code]);
    frame.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&id.to_be_bytes());
    frame.extend_from_slice(fields.as_bytes());
    frame.extend_from_slice(body);
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame.extend_from_slice(&checksum.to_be_bytes());
    frame
}

/// Encodes a request. The worker executes it if it can start within `limit`.
pub fn request(id: u64, workload: &str, function: &str, limit: Micros, body: &[u8]) -> Vec<u8> {
    request_with_key(id, workload, function, limit, None, body)
}

/// Encodes a request with the client's idempotency key, by which workers recognize and drop retries.
pub fn request_with_key(
    id: u64,
    workload: &str,
    function: &str,
    limit: Micros,
    idempotency_key: Option<&str>,
    body: &[u8],
) -> Vec<u8> {
    let limit_ms = (limit / 1000).max(1);
    let mut fields = format!("profile={workload},thing={function},max={limit_ms}");
    if let Some(key) = idempotency_key {
        fields.push_str(",replay=");
        fields.push_str(key);
    }
    encode_frame(ROUTER_MARKER, CODE_REQUEST, id, &fields, body)
}

/// Encodes the cancellation of a request; it has no response.
pub fn cancel(id: u64) -> Vec<u8> {
    encode_frame(ROUTER_MARKER, CODE_CANCEL, id, "", &[])
}

/// Encodes a health check of the connection.
pub fn ping(id: u64) -> Vec<u8> {
    encode_frame(ROUTER_MARKER, CODE_PING, id, "", &[])
}

/// Encodes a load command: the worker loads the function until it has at least `instances` instances. Zero only
/// queries how many are loaded.
pub fn load(id: u64, function: &str, instances: u32) -> Vec<u8> {
    let fields = format!("thing={function},copies={instances}");
    encode_frame(ROUTER_MARKER, CODE_LOAD, id, &fields, &[])
}

/// Encodes the command to unload the idle instances of a function; it has no response.
pub fn unload(function: u64) -> Vec<u8> {
    encode_frame(ROUTER_MARKER, CODE_UNLOAD, function, "", &[])
}

/// Encodes a response as a worker does; for tests and emulated workers.
pub fn response(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    encode_frame(WORKER_MARKER, code, id, fields, body)
}
