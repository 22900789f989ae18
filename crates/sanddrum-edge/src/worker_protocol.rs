//! The worker protocol: native or the platform's, chosen at startup. Answers in either protocol are decoded to the
//! same messages.

use crate::message::{AttemptId, CommandId, MessageKey};
use sanddrum_platform::frames;
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    self as wire, Done, Execute, ExecutionStatus, FrameDecoder, FromWorker, HealthStatus, Hello,
    Load, LoadDone, ToWorker,
};
use std::collections::BTreeMap;
use thiserror::Error;

/// An id that no attempt has. Answers with this id are counted as unmatched.
const NO_ATTEMPT: AttemptId = AttemptId(0);

/// The protocol between an edge and its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerProtocol {
    /// Sanddrum's native frames.
    Native,
    /// The platform's frames.
    Platform,
}

/// A protocol violation that makes a worker connection unusable.
#[derive(Debug, Error)]
pub(crate) enum WorkerProtocolError {
    /// A native frame can't be decoded.
    #[error(transparent)]
    NativeFrame(#[from] wire::FrameError),
    /// A platform frame can't be decoded.
    #[error(transparent)]
    PlatformFrame(#[from] sanddrum_platform::FrameError),
    /// The address belongs to another worker than the endpoint list states.
    #[error("worker {answering:?} answered at the address listed for {listed:?}")]
    WrongWorker {
        /// The name in the worker's greeting.
        answering: String,
        /// The name in the endpoint list.
        listed: String,
    },
    /// The incomplete frames of all workers exceed their limit, and this connection's takes the most memory.
    #[error("incomplete frames of workers exceed {0} bytes (limits worker-frames), and this one takes the most")]
    TooManyBytes(usize),
    /// The greeting states version 0, which does not exist.
    #[error("unsupported protocol version 0")]
    UnsupportedVersion,
}

/// A message received from a worker.
pub(crate) enum WorkerMessage {
    /// A message of the protocol.
    Message(FromWorker),
    /// The answer to a message that only asked for proof of what the worker has read.
    Confirmation(CommandId),
}

/// Decodes messages from a worker.
pub(crate) enum MessageDecoder {
    /// Decodes native frames.
    Native(FrameDecoder),
    /// Decodes the platform's frames.
    Platform(sanddrum_platform::FrameDecoder),
}

impl WorkerProtocol {
    /// Whether answers carry the client-assigned id of the request rather than the id of the attempt.
    pub fn uses_call_ids(self) -> bool {
        self == WorkerProtocol::Platform
    }

    /// Creates a decoder for one connection that accepts frames of up to `max_frame_bytes`.
    pub fn decoder(self, max_frame_bytes: usize) -> MessageDecoder {
        match self {
            WorkerProtocol::Native => MessageDecoder::Native(FrameDecoder::new(max_frame_bytes)),
            WorkerProtocol::Platform => {
                MessageDecoder::Platform(sanddrum_platform::FrameDecoder::new(max_frame_bytes))
            }
        }
    }

    /// Encodes the greeting that opens a connection, if the protocol has one.
    pub fn hello(self, hello: Hello) -> Option<Vec<u8>> {
        (self == WorkerProtocol::Native).then(|| encode_frame(&ToWorker::Hello(hello)))
    }

    /// Encodes a request.
    pub fn execute(self, execute: Execute, call_id: u64) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Execute(execute)),
            WorkerProtocol::Platform => frames::request_with_key(
                call_id,
                &execute.workload,
                &execute.function,
                execute.time_limit_us,
                execute.idempotency_key.as_deref(),
                &execute.body,
            ),
        }
    }

    /// Encodes the cancellation of an attempt.
    pub fn cancel(self, attempt: AttemptId, call_id: u64) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => {
                encode_frame(&ToWorker::Cancel(wire::Cancel { id: attempt.0 }))
            }
            WorkerProtocol::Platform => frames::cancel(call_id),
        }
    }

    /// Encodes a load command.
    pub fn load(self, load: Load) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Load(load)),
            WorkerProtocol::Platform => frames::load(load.id, &load.function, load.instances),
        }
    }

    /// Encodes the command to unload a function's idle instances.
    pub fn unload(self, function: String) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Unload(wire::Unload { function })),
            WorkerProtocol::Platform => {
                frames::unload(u64::from_str_radix(&function, 16).unwrap_or_default())
            }
        }
    }

    /// Encodes a health check.
    pub fn health_check(self, id: CommandId) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => {
                encode_frame(&ToWorker::HealthCheck(wire::HealthCheck { id: id.0 }))
            }
            WorkerProtocol::Platform => frames::ping(id.0),
        }
    }
}

impl MessageDecoder {
    /// Buffers received bytes.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        match self {
            MessageDecoder::Native(frames) => frames.push_bytes(bytes),
            MessageDecoder::Platform(frames) => frames.push_bytes(bytes),
        }
    }

    /// Bytes of memory allocated for what has been received and not taken.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            MessageDecoder::Native(frames) => frames.buffered_bytes(),
            MessageDecoder::Platform(frames) => frames.buffered_bytes(),
        }
    }

    /// Whether a part of a message has been received.
    pub fn has_incomplete_frame(&self) -> bool {
        match self {
            MessageDecoder::Native(frames) => frames.has_incomplete_frame(),
            MessageDecoder::Platform(frames) => frames.has_incomplete_frame(),
        }
    }

    /// Takes the next complete message. `keys_by_wire_id` holds the messages in flight on the connection, by the ids
    /// that the platform's answers carry.
    ///
    /// # Errors
    /// A frame can't be decoded.
    pub fn next_message(
        &mut self,
        keys_by_wire_id: &BTreeMap<u64, MessageKey>,
    ) -> Result<Option<WorkerMessage>, WorkerProtocolError> {
        match self {
            MessageDecoder::Native(frames) => {
                let message = frames.next_message()?;
                Ok(message.map(WorkerMessage::Message))
            }
            MessageDecoder::Platform(frames) => {
                let answer = frames.next_response()?;
                Ok(answer.map(|answer| platform_message(answer, keys_by_wire_id)))
            }
        }
    }
}

fn platform_message(
    answer: frames::Response,
    keys_by_wire_id: &BTreeMap<u64, MessageKey>,
) -> WorkerMessage {
    match keys_by_wire_id.get(&answer.id) {
        Some(MessageKey::Confirmation(id)) => WorkerMessage::Confirmation(*id),
        _ => WorkerMessage::Message(native_message(answer, keys_by_wire_id)),
    }
}

/// Converts an answer in the platform's protocol to a native message.
fn native_message(
    answer: frames::Response,
    keys_by_wire_id: &BTreeMap<u64, MessageKey>,
) -> FromWorker {
    let key = keys_by_wire_id.get(&answer.id).copied();
    match (key, answer.status) {
        (Some(MessageKey::Attempt(id)), Some(status)) => done(id, status, answer),
        (Some(MessageKey::Load(id)), Some(status)) => FromWorker::LoadDone(LoadDone {
            id: id.0,
            status,
            instances: answer.instances.unwrap_or(0),
        }),
        (Some(MessageKey::HealthCheck(id)), None) => FromWorker::HealthStatus(HealthStatus {
            id: id.0,
            report: answer.report,
        }),
        _ => done(NO_ATTEMPT, ExecutionStatus::Dropped, answer),
    }
}

fn done(id: AttemptId, status: ExecutionStatus, answer: frames::Response) -> FromWorker {
    FromWorker::Done(Done {
        id: id.0,
        status,
        instance: answer.instance,
        function_in_flight: None,
        report: answer.report,
        body: answer.body,
        customer_rate: None,
        total_rate: None,
    })
}
