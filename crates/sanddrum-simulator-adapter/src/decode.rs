//! From the wire's events to the rounds that the module takes, and from its words to ours.

use crate::{Host, Instance, Names};
use base64::{engine::general_purpose::STANDARD, Engine};
use sanddrum::*;
use sanddrum_platform_config::{self as dialect, stable_id};
use serde_json::Value as Json;

type Read<T> = Result<T, String>;

/// A message's values, asked for by place and name.
struct Fields<'a>(&'a [Json]);

impl<'a> Fields<'a> {
    fn get(&self, place: usize) -> &'a Json {
        self.0.get(place).unwrap_or(&Json::Null)
    }
    fn text(&self, place: usize, name: &str) -> Read<&'a str> {
        self.get(place)
            .as_str()
            .ok_or_else(|| format!("{name}: a text is wanted"))
    }
    fn maybe(&self, place: usize, name: &str) -> Read<Option<f64>> {
        match self.get(place) {
            Json::Null => Ok(None),
            v => v
                .as_f64()
                .map(Some)
                .ok_or_else(|| format!("{name}: a number is wanted")),
        }
    }
    fn number(&self, place: usize, name: &str) -> Read<f64> {
        self.maybe(place, name)?
            .ok_or_else(|| format!("{name}: a number is wanted"))
    }
    fn or_nought(&self, place: usize, name: &str) -> Read<f64> {
        Ok(self.maybe(place, name)?.unwrap_or(0.0))
    }
    fn list(&self, place: usize, name: &str) -> Read<&'a [Json]> {
        self.get(place)
            .as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| format!("{name}: a list is wanted"))
    }
}

fn end_of(code: &str) -> Read<Outcome> {
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
        other => return Err(format!("state-code: unknown {other:?}")),
    })
}

fn report_of(names: &[String], gauge: &Json) -> Option<LoadReport> {
    let values = gauge.as_array()?.iter().map(Json::as_f64);
    Some(dialect::load_report(
        names.iter().map(String::as_str).zip(values),
    ))
}

fn warmth_of(note: u32) -> Warmth {
    match note % 8 {
        1 => Warmth::Warm,
        2 => Warmth::StartedLoad,
        3 => Warmth::WaitedForLoad,
        4 => Warmth::LoadFailed,
        _ => Warmth::Unknown,
    }
}

fn row_of(json: &Json) -> Read<(Endpoint, String)> {
    let f = Fields(json.as_array().ok_or("lines: a list is wanted")?);
    let state = match f.text(2, "phase")? {
        "IN" => WorkerState::Ready,
        "LAME" => WorkerState::Draining,
        "OUT" => WorkerState::Gone,
        other => return Err(format!("phase: unknown {other:?}")),
    };
    let server = f.text(5, "server")?;
    let row = Endpoint {
        worker: WorkerId(stable_id(server)),
        zone: ZoneId(f.or_nought(6, "locality")? as usize),
        cell: CellId(f.or_nought(3, "cohort")? as usize),
        kind: KindId(f.or_nought(0, "hw")? as usize),
        size: f.maybe(1, "nominal")?.unwrap_or(1.0),
        state,
        started_at: f.or_nought(4, "started-at-us")? as Micros,
    };
    Ok((row, server.to_string()))
}

/// The settings of an instance's first message.
fn told_at_start<'a>(f: &Fields<'a>) -> Read<(&'a Json, Settings)> {
    let info = f.get(3);
    if !info.is_object() {
        return Err("boot-info: an object is wanted".into());
    }
    Ok((
        info,
        dialect::decision_settings(info).map_err(|why| format!("boot-info: {why}"))?,
    ))
}

fn power_on(f: &Fields) -> Read<Instance> {
    let (info, map) = told_at_start(f)?;
    let seed = f.get(2);
    let seed = seed.as_u64().or_else(|| seed.as_i64().map(|n| n as u64));
    let seed = seed.ok_or("rng-seed: a whole number is wanted")?;
    Ok(Instance {
        router: Router::new(seed, &map),
        round: EventBatch::default(),
        fields: dialect::load_report_fields(info),
        tells_crowd: info["family-info"]["tells-crowd"].as_bool() == Some(true),
        names: Names::default(),
    })
}

/// Takes one line in; true at the end of a batch.
pub fn line(host: &mut Host, text: &str) -> Read<bool> {
    let json: Json = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let f = Fields(json.as_array().ok_or("a list is wanted")?);
    let word = f.text(0, "message name")?;
    match word {
        "clock" => {
            host.now = f.number(1, "clock")? as i64;
            return Ok(false);
        }
        "end" => return Ok(true),
        "snapshot-rows" => {
            let rows = f
                .list(2, "lines")?
                .iter()
                .map(row_of)
                .collect::<Read<Vec<_>>>()?;
            host.lists.insert(f.number(1, "ref")? as u64, rows);
            return Ok(false);
        }
        "power-on"
        | "killed"
        | "peers-known"
        | "incoming"
        | "accepted"
        | "outcome"
        | "cancelled-by-client"
        | "due"
        | "sampled"
        | "whisper"
        | "loaded" => {}
        _ => return Ok(false),
    }
    let name = f.text(1, "i")?;
    if word == "killed" {
        host.instances.remove(name);
        return Ok(false);
    }
    if !host.called.iter().any(|c| c == name) {
        host.called.push(name.to_string());
    }
    if word == "power-on" {
        host.instances.insert(name.to_string(), power_on(&f)?);
        return Ok(false);
    }
    let instance = host
        .instances
        .get_mut(name)
        .ok_or_else(|| format!("i: no instance {name:?}"))?;
    let (round, names) = (&mut instance.round, &mut instance.names);
    match word {
        "peers-known" => {
            let kind = match f.text(2, "mode")? {
                "delta" => EndpointListKind::Delta,
                "full" => EndpointListKind::Full,
                "cached" => EndpointListKind::Cached,
                "failed" => EndpointListKind::Failed,
                other => return Err(format!("mode: unknown {other:?}")),
            };
            let number = f.or_nought(4, "ref")? as u64;
            let rows = match kind {
                EndpointListKind::Failed => &Vec::new(),
                _ => host
                    .lists
                    .get(&number)
                    .ok_or_else(|| format!("ref: no list {number}"))?,
            };
            names
                .workers
                .extend(rows.iter().map(|(row, text)| (row.worker.0, text.clone())));
            round.endpoint_lists.push(EndpointList {
                kind,
                endpoints: rows.iter().map(|(row, _)| *row).collect(),
            });
        }
        "incoming" => {
            let (rid, function) = (f.text(2, "rid")?, f.text(5, "function")?);
            let opts = f.or_nought(9, "opts")? as u64;
            names
                .functions
                .entry(stable_id(function))
                .or_insert_with(|| function.to_string());
            round.requests.push(Request {
                id: names.take(rid),
                function: FunctionId(stable_id(function)),
                workload: WorkloadId(f.or_nought(6, "qos")? as usize),
                customer: CustomerId(f.or_nought(7, "team")? as usize),
                deadline: f.number(3, "due-us")? as Micros,
                memory_mb: f.or_nought(8, "ram-mb")?,
                concurrency: f.or_nought(10, "at-once")?,
                load_time: f
                    .maybe(4, "load-time-ms")?
                    .map(|ms| (ms * 1000.0) as Micros),
                expected_work: f
                    .maybe(11, "work-us")?
                    .filter(|_| opts & 1 != 0)
                    .map(|us| us as Micros),
                is_retry: opts & 2 != 0,
            });
        }
        "outcome" => {
            let Some(&id) = names.jobs.get(f.text(2, "rid")?) else {
                return Ok(false);
            };
            let settled = f.get(7).as_bool().ok_or("settled: a bool is wanted")?;
            if let Some(job) = names.job_texts.get_mut(&id) {
                job.out = job.out.saturating_sub(1);
                job.ended |= settled;
            }
            names.forget_if_done(id);
            let note = f.or_nought(8, "note")? as u32;
            round.attempt_results.push(AttemptResult {
                request: RequestId(id),
                attempt: f.number(3, "attempt")? as usize,
                worker: WorkerId(stable_id(f.text(4, "server")?)),
                outcome: end_of(f.text(5, "state-code")?)?,
                latency: f.or_nought(6, "latency-us")? as Micros,
                is_final: settled,
                warmth: warmth_of(note),
                function_in_flight: instance.tells_crowd.then_some(note / 8),
                report: report_of(&instance.fields, f.get(9)),
            });
        }
        // The client has its answer begun: nothing further is owed, and its time no longer runs.
        "accepted" => {
            if let Some(&id) = names.jobs.get(f.text(2, "rid")?) {
                round.cancelled.push(RequestId(id));
            }
        }
        "cancelled-by-client" => {
            let Some(&id) = names.jobs.get(f.text(2, "rid")?) else {
                return Ok(false);
            };
            if let Some(job) = names.job_texts.get_mut(&id) {
                job.ended = true;
            }
            names.forget_if_done(id);
            round.cancelled.push(RequestId(id));
        }
        "loaded" => round.load_results.push(LoadResult {
            worker: WorkerId(stable_id(f.text(2, "server")?)),
            function: FunctionId(stable_id(f.text(3, "function")?)),
            outcome: end_of(f.text(4, "state-code")?)?,
            latency: f.or_nought(5, "latency-us")? as Micros,
            instances: f.or_nought(6, "count")? as u32,
        }),
        "sampled" => round.health_check_results.push(HealthCheckResult {
            worker: WorkerId(stable_id(f.text(2, "server")?)),
            outcome: end_of(f.text(3, "state-code")?)?,
            latency: f.or_nought(4, "latency-us")? as Micros,
            report: report_of(&instance.fields, f.get(5)),
        }),
        "whisper" => {
            let content = STANDARD
                .decode(f.text(3, "content")?)
                .map_err(|e| format!("content: {e}"))?;
            round.gossip.push(GossipMessage {
                from: PeerId(f.number(2, "origin-peer")? as usize),
                payload: content,
            });
        }
        "due" => round.timer = true,
        _ => {}
    }
    Ok(false)
}

#[cfg(test)]
#[path = "decode_tests.rs"]
mod tests;
