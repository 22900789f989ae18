//! The hosted routers and the loop that reads batches of messages and writes the answers.

use crate::decode::BatchProgress;
use crate::encode::{self, Encoder};
use crate::error::AdapterError;
use crate::names::Names;
use sanddrum::{Endpoint, EventBatch, Micros, Router};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The message that ends the answer to a batch.
const ACKNOWLEDGEMENT: &[u8] = b"[\"ack\"]\n";

/// One hosted router.
pub(crate) struct Instance {
    pub router: Router,
    /// The events of the batch that is being read.
    pub batch: EventBatch,
    /// The names of the values in a load report, in order.
    pub report_fields: Vec<String>,
    /// Whether workers report the requests in flight for an attempt's function.
    pub reports_function_in_flight: bool,
    pub names: Names,
}

/// An endpoint and the worker's name on the wire.
pub(crate) struct NamedEndpoint {
    pub endpoint: Endpoint,
    pub name: String,
}

/// All hosted routers.
#[derive(Default)]
pub(crate) struct Host {
    pub instances: BTreeMap<String, Instance>,
    /// Instances with a message in the current batch, in the order of their first message.
    pub batch_instances: Vec<String>,
    /// The endpoint lists by their number.
    pub endpoint_lists: HashMap<u64, Vec<NamedEndpoint>>,
    pub now: Micros,
}

impl Host {
    /// Passes the batch to each router that has a message in it, and writes the decisions.
    fn answer_batch(&mut self, out: &mut Vec<u8>) {
        for name in std::mem::take(&mut self.batch_instances) {
            if let Some(instance) = self.instances.get_mut(&name) {
                instance.answer_batch(&name, self.now, out);
            }
        }
        out.extend_from_slice(ACKNOWLEDGEMENT);
    }
}

impl Instance {
    /// Passes the batch to the router and writes its decisions. If it panics, the decisions are discarded and only the
    /// panic is reported.
    fn answer_batch(&mut self, name: &str, now: Micros, out: &mut Vec<u8>) {
        let batch = std::mem::take(&mut self.batch);
        let start = out.len();
        let mut encoder = Encoder {
            out,
            instance: name,
            names: &mut self.names,
        };
        let router = &mut self.router;
        let result = catch_unwind(AssertUnwindSafe(|| {
            router.handle(now, &batch, &mut encoder)
        }));
        if result.is_err() {
            out.truncate(start);
            let reason = "the decision module panicked";
            encode::write_message(out, &["broken".into(), name.into(), reason.into()]);
        }
    }
}

/// Reads messages until the end of the input and answers each batch once it is complete.
///
/// # Errors
///
/// If the input cannot be read or decoded, or the output cannot be written. Answers to earlier batches have been
/// written by then.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut answer = Vec::new();
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|source| AdapterError::Read { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let progress = host
            .read_message(&text)
            .map_err(|source| AdapterError::Decode { line, source })?;
        if progress == BatchProgress::Complete {
            answer.clear();
            host.answer_batch(&mut answer);
            output
                .write_all(&answer)
                .and_then(|()| output.flush())
                .map_err(|source| AdapterError::Write { line, source })?;
        }
    }
    Ok(())
}
