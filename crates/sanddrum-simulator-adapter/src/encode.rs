//! Encodes the decision module's decisions as messages of the simulator's protocol.

use crate::names::Names;
use base64::{engine::general_purpose::STANDARD, Engine};
use sanddrum::{AttemptLimits, Decisions, FunctionId, Micros, PeerId, RequestId, WorkerId};
use serde_json::Value as Json;

/// Encodes the decisions of one instance.
pub(crate) struct Encoder<'a> {
    pub out: &'a mut Vec<u8>,
    pub instance: &'a str,
    pub names: &'a mut Names,
}

/// Appends a message as one line.
pub(crate) fn write_message(out: &mut Vec<u8>, fields: &[Json]) {
    out.extend_from_slice(Json::from(fields).to_string().as_bytes());
    out.push(b'\n');
}

impl Encoder<'_> {
    fn write(&mut self, message: &str, fields: &[Json]) {
        let mut all = vec![Json::from(message), Json::from(self.instance)];
        all.extend_from_slice(fields);
        write_message(self.out, &all);
    }
}

impl Decisions for Encoder<'_> {
    // The simulator sends attempts and load commands at once, so that their send deadlines need no check.
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, limits: AttemptLimits) {
        let request_name = self.names.request(request);
        let worker_name = self.names.worker(worker);
        self.write(
            "send",
            &[request_name, worker_name, limits.time_limit.into()],
        );
        self.names.record_dispatch(request);
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.write("undo-send", &[self.names.request(request), attempt.into()]);
    }

    fn reject(&mut self, request: RequestId, retry_after: Micros) {
        let request_name = self.names.request(request);
        self.write("overload-reply", &[request_name, retry_after.into()]);
        self.names.record_request_end(request);
    }

    fn fail(&mut self, request: RequestId) {
        self.write("abort", &[self.names.request(request)]);
        self.names.record_request_end(request);
    }

    fn load(&mut self, worker: WorkerId, function: FunctionId, instances: u32, _: Micros) {
        let worker_name = self.names.worker(worker);
        let function_name = self.names.function(function);
        self.write("warm-up", &[worker_name, function_name, instances.into()]);
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        let worker_name = self.names.worker(worker);
        let function_name = self.names.function(function);
        self.write("let-cool", &[worker_name, function_name]);
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.write("poll", &[self.names.worker(worker)]);
    }

    fn subscribe(&mut self) {
        self.write("listen", &[true.into()]);
    }

    fn gossip(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        let peer = peer.map_or(Json::Null, |peer| peer.0.into());
        self.write("say", &[peer, STANDARD.encode(payload).into()]);
    }

    fn wake_at(&mut self, at: Micros) {
        self.write("set-alarm", &["wake".into(), at.into()]);
    }

    fn log(&mut self, text: &str) {
        self.write("print", &[text.into()]);
    }
}
