//! Decodes the frames that workers send.

use super::{CHECKSUM_BYTES, HEADER_BYTES, WORKER_MARKER};
use sanddrum_wire::{ExecutionStatus, InstanceState, LoadReport, ReceiveBuffer};

/// A worker's response to a request, a load command or a ping.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Response {
    /// The id of the frame that it responds to.
    pub id: u64,
    /// The outcome; `None` in the response to a ping.
    pub status: Option<ExecutionStatus>,
    /// The state of the function's instance when a request arrived.
    pub instance: Option<InstanceState>,
    /// The worker's load report.
    pub report: Option<LoadReport>,
    /// The number of loaded instances, in the response to a load command.
    pub instances: Option<u32>,
    /// The response's body.
    pub body: Vec<u8>,
}

/// Why a worker's stream can't be decoded any further. The connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame does not begin with the marker of a worker's frame.
    #[error("a frame begins with byte {0} instead of a worker's marker")]
    UnexpectedMarker(u8),
    /// A frame's code is not the code of a response.
    #[error("frame code {0} is not the code of a response")]
    UnknownCode(u8),
    /// The fields and the body have this many bytes together, which exceeds the limit.
    #[error("a frame of {0} bytes exceeds the limit (limits largest-frame)")]
    TooLarge(usize),
    /// The CRC-32 does not match the fields and the body.
    #[error("a frame's checksum does not match")]
    ChecksumMismatch,
    /// The fields are not `name=value` pairs, or a value is malformed.
    #[error("a frame's fields are malformed")]
    MalformedFields,
}

/// Splits a worker's stream into responses. It buffers at most one frame and the bytes received together with its end.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: ReceiveBuffer,
    max_frame_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that rejects a frame as soon as its header announces more than `max_frame_bytes` bytes of
    /// fields and body.
    pub fn new(max_frame_bytes: usize) -> Self {
        FrameDecoder {
            buffer: ReceiveBuffer::default(),
            max_frame_bytes,
        }
    }

    /// Appends bytes received from the worker.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Bytes of memory allocated for what has been received and not returned.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.allocated_bytes()
    }

    /// Whether a part of a frame has been received.
    pub fn has_incomplete_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete response, or `None` until more bytes are received.
    ///
    /// # Errors
    /// [`FrameError`]; the decoder can't be used any further.
    pub fn next_response(&mut self) -> Result<Option<Response>, FrameError> {
        self.buffer.release_if_empty();
        let unread = self.buffer.unread();
        let Some(header) = Header::decode(unread)? else {
            return Ok(None);
        };
        let content_length = header.fields_length.saturating_add(header.body_length);
        if content_length > self.max_frame_bytes {
            return Err(FrameError::TooLarge(content_length));
        }
        let Some((content, rest)) = unread[HEADER_BYTES..].split_at_checked(content_length) else {
            return Ok(None);
        };
        let Some(checksum) = rest.first_chunk::<CHECKSUM_BYTES>() else {
            return Ok(None);
        };
        if crc32fast::hash(content) != u32::from_be_bytes(*checksum) {
            return Err(FrameError::ChecksumMismatch);
        }
        let response = header.decode_response(content)?;
        self.buffer
            .consume(HEADER_BYTES + content_length + CHECKSUM_BYTES);
        Ok(Some(response))
    }
}

/// A frame's header.
struct Header {
    status: Option<ExecutionStatus>,
    /// Bytes of the fields.
    fields_length: usize,
    /// Bytes of the body.
    body_length: usize,
    id: u64,
}

impl Header {
    /// Decodes the header at the start of `bytes`, or returns `None` until more bytes are received. A wrong marker is
    /// an error as soon as the first byte has arrived.
    fn decode(bytes: &[u8]) -> Result<Option<Header>, FrameError> {
        match bytes.first() {
            Some(marker) if *marker != WORKER_MARKER => {
                return Err(FrameError::UnexpectedMarker(*marker))
            }
            _ => {}
        }
        let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [_marker, code, fields1, fields0, body3, body2, body1, body0, id @ ..] = *header;
        Ok(Some(Header {
            status: decode_status(code)?,
            fields_length: usize::from(u16::from_be_bytes([fields1, fields0])),
            body_length: u32::from_be_bytes([body3, body2, body1, body0]) as usize,
            id: u64::from_be_bytes(id),
        }))
    }

    /// Decodes the response with this header; `content` is its fields followed by its body.
    fn decode_response(&self, content: &[u8]) -> Result<Response, FrameError> {
        let (fields, body) = content.split_at(self.fields_length);
        let mut response = Response {
            id: self.id,
            status: self.status,
            body: body.to_vec(),
            ..Response::default()
        };
        let fields = std::str::from_utf8(fields).map_err(|_| FrameError::MalformedFields)?;
        for field in fields.split(',').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once('=').ok_or(FrameError::MalformedFields)?;
            match name {
                "remark" => response.instance = decode_instance_state(value),
                "report" => response.report = Some(decode_load_report(value)),
                "copies" => {
                    let instances = value.parse().map_err(|_| FrameError::MalformedFields)?;
                    response.instances = Some(instances);
                }
                _ => {}
            }
        }
        Ok(response)
    }
}

/// The status that a response's code stands for; `None` for the response to a ping.
fn decode_status(code: u8) -> Result<Option<ExecutionStatus>, FrameError> {
    match code {
        97 => Ok(Some(ExecutionStatus::Finished)),
        99 => Ok(Some(ExecutionStatus::ColdMiss)),
        100 => Ok(Some(ExecutionStatus::Rejected)),
        101 => Ok(Some(ExecutionStatus::Error)),
        102 => Ok(Some(ExecutionStatus::Dropped)),
        103 => Ok(None),
        other => Err(FrameError::UnknownCode(other)),
    }
}

fn decode_instance_state(remark: &str) -> Option<InstanceState> {
    match remark {
        "hot" => Some(InstanceState::Warm),
        "started" => Some(InstanceState::StartedLoad),
        "waited" => Some(InstanceState::WaitedForLoad),
        "broken" => Some(InstanceState::LoadFailed),
        _ => None,
    }
}

/// Decodes a load report: `name:value` pairs separated by semicolons. Non-finite values count as absent.
fn decode_load_report(text: &str) -> LoadReport {
    let values = text
        .split(';')
        .filter_map(|pair| pair.split_once(':'))
        .map(|(name, value)| (name, parse_finite(value)));
    let report = sanddrum_platform_config::load_report(values);
    LoadReport {
        in_flight: report.in_flight,
        queued: report.queued,
        busy: report.busy,
        memory_pinned: report.memory_pinned,
        loads_in_progress: report.loads_in_progress,
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
