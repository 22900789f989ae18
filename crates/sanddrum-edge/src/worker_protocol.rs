//! What is spoken with workers: our protocol or the platform's, chosen at the start. Both come out as the same messages.

use crate::worker_connections::Mark;
use sanddrum_platform::frames;
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    self as wire, Done, Execute, ExecutionStatus, FrameDecoder, FromWorker, HealthStatus, Hello,
    Load, LoadDone, ToWorker,
};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Speech {
    Ours,
    Platform,
}

/// Cuts what a worker writes into messages.
pub(crate) enum Reader {
    Ours(FrameDecoder),
    Platform(sanddrum_platform::FrameDecoder),
}

impl Default for Reader {
    fn default() -> Self {
        Reader::Ours(FrameDecoder::default())
    }
}

impl Speech {
    /// The platform's ids are the callers', and are seen on the wire; ours are the executions' own.
    pub fn carries_call_ids(self) -> bool {
        self == Speech::Platform
    }
    pub fn reader(self, most: usize) -> Reader {
        match self {
            Speech::Ours => Reader::Ours(FrameDecoder::new(most)),
            Speech::Platform => Reader::Platform(sanddrum_platform::FrameDecoder::new(most)),
        }
    }
    pub fn hello(self, hello: Hello) -> Option<Vec<u8>> {
        (self == Speech::Ours).then(|| encode_frame(&ToWorker::Hello(hello)))
    }
    pub fn execute(self, execute: Execute, call: u64) -> Vec<u8> {
        match self {
            Speech::Ours => encode_frame(&ToWorker::Execute(execute)),
            Speech::Platform => {
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
    pub fn cancel(self, execution: u64, call: u64) -> Vec<u8> {
        match self {
            Speech::Ours => encode_frame(&ToWorker::Cancel(wire::Cancel { id: execution })),
            Speech::Platform => frames::cancel(call),
        }
    }
    pub fn hold(self, hold: Load) -> Vec<u8> {
        match self {
            Speech::Ours => encode_frame(&ToWorker::Load(hold)),
            Speech::Platform => frames::load(hold.id, &hold.function, hold.instances),
        }
    }
    pub fn unload(self, function: String) -> Vec<u8> {
        match self {
            Speech::Ours => encode_frame(&ToWorker::Unload(wire::Unload { function })),
            Speech::Platform => {
                frames::unload(u64::from_str_radix(&function, 16).unwrap_or_default())
            }
        }
    }
    pub fn probe(self, id: u64) -> Vec<u8> {
        match self {
            Speech::Ours => encode_frame(&ToWorker::HealthCheck(wire::HealthCheck { id })),
            Speech::Platform => frames::ping(id),
        }
    }
}

impl Reader {
    pub fn take_in(&mut self, bytes: &[u8]) {
        match self {
            Reader::Ours(frames) => frames.push_bytes(bytes),
            Reader::Platform(frames) => frames.push_bytes(bytes),
        }
    }
    /// The next message; `ids` says what is out under which id on this connection.
    pub fn next_message(
        &mut self,
        ids: &BTreeMap<u64, Mark>,
    ) -> Result<Option<FromWorker>, String> {
        match self {
            Reader::Ours(frames) => frames.next_message().map_err(|e| e.to_string()),
            Reader::Platform(frames) => {
                let answer = frames.next_response().map_err(|e| e.to_string())?;
                Ok(answer.map(|answer| meant(answer, ids)))
            }
        }
    }
}

fn meant(answer: frames::Response, ids: &BTreeMap<u64, Mark>) -> FromWorker {
    let frames::Response {
        id,
        status: ended,
        instance: copy,
        report,
        instances: copies,
        body,
    } = answer;
    let done = |id, ended| {
        FromWorker::Done(Done {
            id,
            status: ended,
            instance: copy,
            function_in_flight: None,
            report,
            body,
            customer_rate: None,
            total_rate: None,
        })
    };
    match (ids.get(&id), ended) {
        (Some(Mark::Execution(id)), Some(ended)) => done(*id, ended),
        (Some(Mark::Order(id)), Some(ended)) => FromWorker::LoadDone(LoadDone {
            id: *id,
            status: ended,
            instances: copies.unwrap_or(0),
        }),
        (Some(Mark::Probe(id)), None) => FromWorker::HealthStatus(HealthStatus { id: *id, report }),
        // No execution has this number: it is counted as an answer that nothing waits for.
        _ => done(0, ExecutionStatus::Dropped),
    }
}
