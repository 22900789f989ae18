//! Decodes messages of the simulator's protocol into events of the decision module.

use crate::error::{DecodeError, ValueKind};
use crate::fields::{unknown_value, wrong_type, Fields};
use crate::host::{Host, Instance, NamedEndpoint};
use crate::names::Names;
use base64::{engine::general_purpose::STANDARD, Engine};
use sanddrum::{
    AttemptResult, CellId, CustomerId, Endpoint, EndpointList, EndpointListKind, EventBatch,
    FunctionId, GossipMessage, HealthCheckResult, KindId, LoadReport, LoadResult, Micros, Outcome,
    PeerId, Request, Router, Settings, Warmth, WorkerId, WorkerState, WorkloadId, ZoneId,
};
use sanddrum_platform_config::{self as platform_config, stable_id};
use serde_json::Value as Json;
use std::collections::HashMap;

/// Bit of a request's options: the work hint is valid.
const OPTION_WORK_HINT: u64 = 1;
/// Bit of a request's options: the request is a retry by the client.
const OPTION_CLIENT_RETRY: u64 = 2;
/// The note in an attempt's outcome combines two values: the warmth code, plus this multiplied by the number of the
/// function's requests in flight.
const WARMTH_CODES: u32 = 8;

/// Whether a batch of messages is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchProgress {
    /// More messages follow.
    Incomplete,
    /// The batch has ended and must be answered.
    Complete,
}

/// The kind of a message to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InstanceMessage {
    Start,
    Stop,
    EndpointList,
    Request,
    AnswerBegun,
    AttemptResult,
    Cancelled,
    Timer,
    HealthCheckResult,
    Gossip,
    LoadResult,
}

impl InstanceMessage {
    /// The kind for a message name; `None` if the adapter ignores such messages.
    fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "power-on" => InstanceMessage::Start,
            "killed" => InstanceMessage::Stop,
            "peers-known" => InstanceMessage::EndpointList,
            "incoming" => InstanceMessage::Request,
            "accepted" => InstanceMessage::AnswerBegun,
            "outcome" => InstanceMessage::AttemptResult,
            "cancelled-by-client" => InstanceMessage::Cancelled,
            "due" => InstanceMessage::Timer,
            "sampled" => InstanceMessage::HealthCheckResult,
            "whisper" => InstanceMessage::Gossip,
            "loaded" => InstanceMessage::LoadResult,
            _ => return None,
        })
    }
}

impl Host {
    /// Decodes one message and records its event.
    pub fn read_message(&mut self, text: &str) -> Result<BatchProgress, DecodeError> {
        let json: Json = serde_json::from_str(text)?;
        let fields = Fields::from_json(&json).ok_or(DecodeError::NotAnArray)?;
        match fields.text(0, "message name")? {
            "clock" => self.now = fields.number(1, "clock")? as Micros,
            "end" => return Ok(BatchProgress::Complete),
            "snapshot-rows" => self.read_endpoint_rows(fields)?,
            name => {
                if let Some(message) = InstanceMessage::from_name(name) {
                    self.read_instance_message(message, fields)?;
                }
            }
        }
        Ok(BatchProgress::Incomplete)
    }

    /// Stores a list of endpoints under its number, by which later messages refer to it.
    fn read_endpoint_rows(&mut self, fields: Fields) -> Result<(), DecodeError> {
        let rows = fields.array(2, "lines")?.iter().map(read_endpoint);
        let rows = rows.collect::<Result<Vec<_>, _>>()?;
        let number = fields.number(1, "ref")? as u64;
        self.endpoint_lists.insert(number, rows);
        Ok(())
    }

    fn read_instance_message(
        &mut self,
        message: InstanceMessage,
        fields: Fields,
    ) -> Result<(), DecodeError> {
        let name = fields.text(1, "i")?;
        if message == InstanceMessage::Stop {
            self.instances.remove(name);
            return Ok(());
        }
        if !self.batch_instances.iter().any(|other| other == name) {
            self.batch_instances.push(name.to_string());
        }
        if message == InstanceMessage::Start {
            let instance = read_start(fields)?;
            self.instances.insert(name.to_string(), instance);
            return Ok(());
        }
        let instance = self.instances.get_mut(name);
        let instance = instance.ok_or_else(|| DecodeError::UnknownInstance(name.to_string()))?;
        if message == InstanceMessage::EndpointList {
            return instance.read_endpoint_list(fields, &self.endpoint_lists);
        }
        instance.read_event(message, fields)
    }
}

impl Instance {
    fn read_event(&mut self, message: InstanceMessage, fields: Fields) -> Result<(), DecodeError> {
        match message {
            InstanceMessage::Request => self.read_request(fields)?,
            InstanceMessage::AnswerBegun => self.read_answer_begun(fields)?,
            InstanceMessage::AttemptResult => self.read_attempt_result(fields)?,
            InstanceMessage::Cancelled => self.read_cancelled(fields)?,
            InstanceMessage::Timer => self.batch.timer = true,
            InstanceMessage::HealthCheckResult => self.read_health_check_result(fields)?,
            InstanceMessage::Gossip => self.batch.gossip.push(read_gossip(fields)?),
            InstanceMessage::LoadResult => self.batch.load_results.push(read_load_result(fields)?),
            InstanceMessage::Start | InstanceMessage::Stop | InstanceMessage::EndpointList => {}
        }
        Ok(())
    }

    fn read_endpoint_list(
        &mut self,
        fields: Fields,
        lists: &HashMap<u64, Vec<NamedEndpoint>>,
    ) -> Result<(), DecodeError> {
        let kind = match fields.text(2, "mode")? {
            "delta" => EndpointListKind::Delta,
            "full" => EndpointListKind::Full,
            "cached" => EndpointListKind::Cached,
            "failed" => EndpointListKind::Failed,
            other => return Err(unknown_value("mode", other)),
        };
        let number = fields.number_or_zero(4, "ref")? as u64;
        let rows: &[NamedEndpoint] = if kind == EndpointListKind::Failed {
            &[]
        } else {
            let list = lists.get(&number);
            list.ok_or(DecodeError::UnknownList(number))?
        };
        for row in rows {
            self.names.add_worker(row.endpoint.worker, &row.name);
        }
        let endpoints = rows.iter().map(|row| row.endpoint).collect();
        self.batch
            .endpoint_lists
            .push(EndpointList { kind, endpoints });
        Ok(())
    }

    fn read_request(&mut self, fields: Fields) -> Result<(), DecodeError> {
        let name = fields.text(2, "rid")?;
        let function_name = fields.text(5, "function")?;
        let function = FunctionId(stable_id(function_name));
        let options = fields.number_or_zero(9, "opts")? as u64;
        let has_hint = options & OPTION_WORK_HINT != 0;
        self.names.add_function(function, function_name);
        self.batch.requests.push(Request {
            id: self.names.add_request(name),
            function,
            workload: WorkloadId(fields.number_or_zero(6, "qos")? as usize),
            customer: CustomerId(fields.number_or_zero(7, "team")? as usize),
            deadline: fields.number(3, "due-us")? as Micros,
            memory_mb: fields.number_or_zero(8, "ram-mb")?,
            concurrency: fields.number_or_zero(10, "at-once")?,
            load_time: fields
                .optional_number(4, "load-time-ms")?
                .map(|ms| (ms * 1000.0) as Micros),
            expected_work: fields
                .optional_number(11, "work-us")?
                .filter(|_| has_hint)
                .map(|us| us as Micros),
            is_retry: options & OPTION_CLIENT_RETRY != 0,
        });
        Ok(())
    }

    fn read_attempt_result(&mut self, fields: Fields) -> Result<(), DecodeError> {
        let Some(request) = self.names.request_id(fields.text(2, "rid")?) else {
            return Ok(());
        };
        let is_final = fields.flag(7, "settled")?;
        self.names.record_attempt_end(request, is_final);
        let note = fields.number_or_zero(8, "note")? as u32;
        let function_in_flight = note / WARMTH_CODES;
        self.batch.attempt_results.push(AttemptResult {
            request,
            attempt: fields.number(3, "attempt")? as usize,
            worker: WorkerId(stable_id(fields.text(4, "server")?)),
            outcome: read_outcome(fields.text(5, "state-code")?)?,
            latency: fields.number_or_zero(6, "latency-us")? as Micros,
            is_final,
            warmth: read_warmth(note),
            function_in_flight: self
                .reports_function_in_flight
                .then_some(function_in_flight),
            report: read_report(&self.report_fields, fields.get(9)),
        });
        Ok(())
    }

    /// Records that the client has received the start of its answer. The deadline no longer applies and no final answer
    /// is needed, so the request is reported as cancelled to the decision module.
    fn read_answer_begun(&mut self, fields: Fields) -> Result<(), DecodeError> {
        let request = self.names.request_id(fields.text(2, "rid")?);
        self.batch.cancelled.extend(request);
        Ok(())
    }

    fn read_cancelled(&mut self, fields: Fields) -> Result<(), DecodeError> {
        if let Some(request) = self.names.request_id(fields.text(2, "rid")?) {
            self.names.record_request_end(request);
            self.batch.cancelled.push(request);
        }
        Ok(())
    }

    fn read_health_check_result(&mut self, fields: Fields) -> Result<(), DecodeError> {
        self.batch.health_check_results.push(HealthCheckResult {
            worker: WorkerId(stable_id(fields.text(2, "server")?)),
            outcome: read_outcome(fields.text(3, "state-code")?)?,
            latency: fields.number_or_zero(4, "latency-us")? as Micros,
            report: read_report(&self.report_fields, fields.get(5)),
        });
        Ok(())
    }
}

/// The settings that the decision module of an instance gets from its start message.
///
/// # Errors
///
/// If the text is not a start message, or its settings are invalid.
pub fn start_settings(message: &str) -> Result<Settings, DecodeError> {
    let json: Json = serde_json::from_str(message)?;
    let fields = Fields::from_json(&json).ok_or(DecodeError::NotAnArray)?;
    read_settings(read_start_info(fields)?)
}

fn read_start_info<'a>(fields: Fields<'a>) -> Result<&'a Json, DecodeError> {
    let info = fields.get(3);
    if info.is_object() {
        Ok(info)
    } else {
        Err(wrong_type("boot-info", ValueKind::Object))
    }
}

fn read_settings(info: &Json) -> Result<Settings, DecodeError> {
    Ok(platform_config::decision_settings(info)?)
}

fn read_start(fields: Fields) -> Result<Instance, DecodeError> {
    let info = read_start_info(fields)?;
    let settings = read_settings(info)?;
    let seed = fields.get(2);
    let seed = seed.as_u64().or_else(|| seed.as_i64().map(|n| n as u64));
    let seed = seed.ok_or_else(|| wrong_type("rng-seed", ValueKind::Integer))?;
    Ok(Instance {
        router: Router::new(seed, &settings),
        batch: EventBatch::default(),
        report_fields: platform_config::load_report_fields(info),
        reports_function_in_flight: info["family-info"]["tells-crowd"].as_bool() == Some(true),
        names: Names::default(),
    })
}

fn read_endpoint(json: &Json) -> Result<NamedEndpoint, DecodeError> {
    let fields = Fields::from_json(json).ok_or_else(|| wrong_type("lines", ValueKind::Array))?;
    let state = match fields.text(2, "phase")? {
        "IN" => WorkerState::Ready,
        "LAME" => WorkerState::Draining,
        "OUT" => WorkerState::Gone,
        other => return Err(unknown_value("phase", other)),
    };
    let name = fields.text(5, "server")?;
    let endpoint = Endpoint {
        worker: WorkerId(stable_id(name)),
        zone: ZoneId(fields.number_or_zero(6, "locality")? as usize),
        cell: CellId(fields.number_or_zero(3, "cohort")? as usize),
        kind: KindId(fields.number_or_zero(0, "hw")? as usize),
        size: fields.optional_number(1, "nominal")?.unwrap_or(1.0),
        state,
        started_at: fields.number_or_zero(4, "started-at-us")? as Micros,
    };
    Ok(NamedEndpoint {
        endpoint,
        name: name.to_string(),
    })
}

fn read_load_result(fields: Fields) -> Result<LoadResult, DecodeError> {
    Ok(LoadResult {
        worker: WorkerId(stable_id(fields.text(2, "server")?)),
        function: FunctionId(stable_id(fields.text(3, "function")?)),
        outcome: read_outcome(fields.text(4, "state-code")?)?,
        latency: fields.number_or_zero(5, "latency-us")? as Micros,
        instances: fields.number_or_zero(6, "count")? as u32,
    })
}

fn read_gossip(fields: Fields) -> Result<GossipMessage, DecodeError> {
    let payload = STANDARD.decode(fields.text(3, "content")?)?;
    Ok(GossipMessage {
        from: PeerId(fields.number(2, "origin-peer")? as usize),
        payload,
    })
}

fn read_outcome(code: &str) -> Result<Outcome, DecodeError> {
    Ok(match code {
        "completed" => Outcome::Finished,
        "errored" => Outcome::Error,
        "saturated" => Outcome::Rejected,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::NoConnection,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::CancelledBeforeStart,
        "lookup_miss" => Outcome::ColdMiss,
        other => return Err(unknown_value("state-code", other)),
    })
}

fn read_report(names: &[String], values: &Json) -> Option<LoadReport> {
    let values = values.as_array()?.iter().map(Json::as_f64);
    let names = names.iter().map(String::as_str);
    Some(platform_config::load_report(names.zip(values)))
}

fn read_warmth(note: u32) -> Warmth {
    match note % WARMTH_CODES {
        1 => Warmth::Warm,
        2 => Warmth::StartedLoad,
        3 => Warmth::WaitedForLoad,
        4 => Warmth::LoadFailed,
        _ => Warmth::Unknown,
    }
}
