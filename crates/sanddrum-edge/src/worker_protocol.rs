//! What is spoken with workers: our protocol or the platform's, chosen at the start. Both come out as the same messages.

use crate::worker_connections::MessageKey;
use sanddrum_platform::frames;
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    self as wire, Done, Execute, ExecutionStatus, FrameDecoder, FromWorker, HealthStatus, Hello,
    Load, LoadDone, ToWorker,
};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerProtocol {
    Native,
    Platform,
}

/// Cuts what a worker writes into messages.
pub(crate) enum MessageDecoder {
    Native(FrameDecoder),
    Platform(sanddrum_platform::FrameDecoder),
}

impl Default for MessageDecoder {
    fn default() -> Self {
        MessageDecoder::Native(FrameDecoder::default())
    }
}

impl WorkerProtocol {
    /// The platform's ids are the callers', and are seen on the wire; ours are the executions' own.
    pub fn uses_call_ids(self) -> bool {
        self == WorkerProtocol::Platform
    }
    pub fn decoder(self, most: usize) -> MessageDecoder {
        match self {
            WorkerProtocol::Native => MessageDecoder::Native(FrameDecoder::new(most)),
            WorkerProtocol::Platform => {
                MessageDecoder::Platform(sanddrum_platform::FrameDecoder::new(most))
            }
        }
    }
    pub fn hello(self, hello: Hello) -> Option<Vec<u8>> {
        (self == WorkerProtocol::Native).then(|| encode_frame(&ToWorker::Hello(hello)))
    }
    pub fn execute(self, execute: Execute, call: u64) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Execute(execute)),
            WorkerProtocol::Platform => {
                let Execute {
                    workload,
                    function,
                    time_limit_us: limit_us,
                    body,
                    idempotency_key: mark,
                    ..
                } = execute;
                frames::request_with_key(
                    call,
                    &workload,
                    &function,
                    limit_us,
                    mark.as_deref(),
                    &body,
                )
            }
        }
    }
    pub fn cancel(self, attempt: u64, call: u64) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Cancel(wire::Cancel { id: attempt })),
            WorkerProtocol::Platform => frames::cancel(call),
        }
    }
    pub fn load(self, load: Load) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Load(load)),
            WorkerProtocol::Platform => frames::load(load.id, &load.function, load.instances),
        }
    }
    pub fn unload(self, function: String) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => encode_frame(&ToWorker::Unload(wire::Unload { function })),
            WorkerProtocol::Platform => {
                frames::unload(u64::from_str_radix(&function, 16).unwrap_or_default())
            }
        }
    }
    pub fn health_check(self, id: u64) -> Vec<u8> {
        match self {
            WorkerProtocol::Native => {
                encode_frame(&ToWorker::HealthCheck(wire::HealthCheck { id }))
            }
            WorkerProtocol::Platform => frames::ping(id),
        }
    }
}

impl MessageDecoder {
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        match self {
            MessageDecoder::Native(frames) => frames.push_bytes(bytes),
            MessageDecoder::Platform(frames) => frames.push_bytes(bytes),
        }
    }
    /// The next message; `ids` says what is out under which id on this connection.
    pub fn next_message(
        &mut self,
        ids: &BTreeMap<u64, MessageKey>,
    ) -> Result<Option<FromWorker>, String> {
        match self {
            MessageDecoder::Native(frames) => frames.next_message().map_err(|e| e.to_string()),
            MessageDecoder::Platform(frames) => {
                let answer = frames.next_response().map_err(|e| e.to_string())?;
                Ok(answer.map(|answer| translate(answer, ids)))
            }
        }
    }
}

fn translate(answer: frames::Response, ids: &BTreeMap<u64, MessageKey>) -> FromWorker {
    let frames::Response {
        id,
        status: ended,
        instance,
        report,
        instances,
        body,
    } = answer;
    let done = |id, ended| {
        FromWorker::Done(Done {
            id,
            status: ended,
            instance,
            function_in_flight: None,
            report,
            body,
            customer_rate: None,
            total_rate: None,
        })
    };
    match (ids.get(&id), ended) {
        (Some(MessageKey::Attempt(id)), Some(ended)) => done(*id, ended),
        (Some(MessageKey::Load(id)), Some(ended)) => FromWorker::LoadDone(LoadDone {
            id: *id,
            status: ended,
            instances: instances.unwrap_or(0),
        }),
        (Some(MessageKey::HealthCheck(id)), None) => {
            FromWorker::HealthStatus(HealthStatus { id: *id, report })
        }
        // No execution has this number: it is counted as an answer that nothing waits for.
        _ => done(0, ExecutionStatus::Dropped),
    }
}
