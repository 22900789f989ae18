//! From the module's decisions to the wire's actions.

use crate::Names;
use base64::{engine::general_purpose::STANDARD, Engine};
use sanddrum::{Decisions, FunctionId, Micros, PeerId, RequestId, WorkerId};
use serde_json::Value;

pub struct Encoder<'a> {
    pub out: &'a mut Vec<u8>,
    pub instance: &'a str,
    pub names: &'a mut Names,
}

pub fn line(out: &mut Vec<u8>, values: &[Value]) {
    out.extend_from_slice(Value::from(values).to_string().as_bytes());
    out.push(b'\n');
}

impl Encoder<'_> {
    fn act(&mut self, word: &str, rest: &[Value]) {
        let mut values = vec![Value::from(word), Value::from(self.instance)];
        values.extend_from_slice(rest);
        line(self.out, &values);
    }
    fn job(&self, job: RequestId) -> Value {
        self.names
            .job_texts
            .get(&job.0)
            .map_or(Value::Null, |j| j.text.as_str().into())
    }
    fn worker(&self, worker: WorkerId) -> Value {
        self.names
            .workers
            .get(&worker.0)
            .map_or(Value::Null, |w| w.as_str().into())
    }
    fn function(&self, function: FunctionId) -> Value {
        self.names
            .functions
            .get(&function.0)
            .map_or(Value::Null, |f| f.as_str().into())
    }
    fn ended(&mut self, job: RequestId) {
        if let Some(name) = self.names.job_texts.get_mut(&job.0) {
            name.ended = true;
        }
        self.names.forget_if_done(job.0);
    }
}

impl Decisions for Encoder<'_> {
    fn dispatch(&mut self, job: RequestId, worker: WorkerId, limit: Micros) {
        self.act("send", &[self.job(job), self.worker(worker), limit.into()]);
        if let Some(name) = self.names.job_texts.get_mut(&job.0) {
            name.out += 1;
        }
    }
    fn cancel(&mut self, job: RequestId, execution: usize) {
        self.act("undo-send", &[self.job(job), execution.into()]);
    }
    fn reject(&mut self, job: RequestId, wait: Micros) {
        self.act("overload-reply", &[self.job(job), wait.into()]);
        self.ended(job);
    }
    fn fail(&mut self, job: RequestId) {
        self.act("abort", &[self.job(job)]);
        self.ended(job);
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32) {
        self.act(
            "warm-up",
            &[self.worker(worker), self.function(function), copies.into()],
        );
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.act("let-cool", &[self.worker(worker), self.function(function)]);
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.act("poll", &[self.worker(worker)]);
    }
    fn subscribe(&mut self) {
        self.act("listen", &[true.into()]);
    }
    fn gossip(&mut self, peer: Option<PeerId>, content: &[u8]) {
        let peer = peer.map_or(Value::Null, |p| p.0.into());
        self.act("say", &[peer, STANDARD.encode(content).into()]);
    }
    fn wake_at(&mut self, at: Micros) {
        self.act("set-alarm", &["wake".into(), at.into()]);
    }
    fn log(&mut self, text: &str) {
        self.act("print", &[text.into()]);
    }
}
