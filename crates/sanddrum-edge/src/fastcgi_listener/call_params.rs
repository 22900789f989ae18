//! The call that a FastCGI request makes, as its parameters describe it.

use crate::functions::{FunctionSpec, Functions};
use crate::limits::Limits;
use crate::responses::CallError;
use sanddrum::{Micros, WorkloadId};
use sanddrum_fastcgi::Request;
use std::ops::RangeInclusive;

const MICROS_PER_MILLI: f64 = 1_000.0;
const MAX_MEMORY_MB: f64 = 1e9;
const MAX_CONCURRENCY: f64 = 1e4;

/// The parameters of a valid call.
pub(crate) struct CallParams<'a> {
    /// The workload, by the path.
    pub workload: WorkloadId,
    /// The caller's id of the call.
    pub call_id: u64,
    /// The function's name: 16 hex digits.
    pub function: &'a str,
    /// How long the caller waits.
    pub patience: Micros,
    /// Memory of one instance, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves at a time.
    pub concurrency: f64,
    /// How long a load of the function takes, where the caller knows it.
    pub load_time: Option<Micros>,
    /// Calls with the same key have the effect of one.
    pub idempotency_key: Option<String>,
}

impl<'a> CallParams<'a> {
    /// Reads the parameters of a request.
    ///
    /// # Errors
    /// The workload is not set, or a parameter is missing or out of its bounds.
    pub fn parse(
        request: &'a Request,
        functions: &Functions,
        limits: &Limits,
    ) -> Result<Self, CallError> {
        let workload = workload(request, functions)?;
        check_content_length(request)?;
        let call_id = hex_id(request, "HTTP_X_CALL_ID")?;
        let function = request.param("HTTP_X_ENTITY").unwrap_or_default();
        hex_id(request, "HTTP_X_ENTITY")?;
        // Callers round, and count from before the request was sent: a little beyond what is set is still valid.
        let tolerance = limits.parameter_tolerance;
        let max_patience_ms = tolerance * functions.time_limit(workload) as f64 / MICROS_PER_MILLI;
        let patience = request.param("HTTP_X_PATIENCE_MS");
        let patience_ms = number(patience, "HTTP_X_PATIENCE_MS", 1.0..=max_patience_ms)?;
        let info = FunctionInfo::parse(request.param("HTTP_X_INFO").unwrap_or_default());
        let max_load_ms = tolerance * limits.load_timeout as f64 / MICROS_PER_MILLI;
        Ok(CallParams {
            workload,
            call_id,
            function,
            patience: micros(patience_ms),
            memory_mb: number(info.get("memory_mb"), "memory_mb", 0.0..=MAX_MEMORY_MB)?,
            concurrency: number(info.get("lanes"), "lanes", 1.0..=MAX_CONCURRENCY)?,
            load_time: info.load_time(max_load_ms)?,
            idempotency_key: idempotency_key(request)?,
        })
    }

    /// What an instance of the function needs.
    pub fn function_spec(&self) -> FunctionSpec {
        FunctionSpec {
            memory_mb: self.memory_mb,
            concurrency: self.concurrency as u32,
            load_time: self.load_time,
        }
    }
}

fn workload(request: &Request, functions: &Functions) -> Result<WorkloadId, CallError> {
    request
        .param("SCRIPT_NAME")
        .and_then(|path| path.strip_prefix("/rpc/"))
        .and_then(|name| functions.workload(name))
        .ok_or_else(|| {
            let detail = "jobs go to /rpc/ and a workload that is set";
            CallError::new(404, "no-such-workload", detail)
        })
}

fn check_content_length(request: &Request) -> Result<(), CallError> {
    let length = request.param("CONTENT_LENGTH").unwrap_or_default();
    if length.is_empty() || length.parse().ok() == Some(request.body.len()) {
        return Ok(());
    }
    let detail = "CONTENT_LENGTH is not the body's";
    Err(CallError::new(400, "bad-length", detail))
}

/// A parameter of 16 hex digits.
fn hex_id(request: &Request, name: &'static str) -> Result<u64, CallError> {
    let is_hex = |text: &&str| text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    request
        .param(name)
        .filter(is_hex)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or_else(|| CallError::bad_field(format!("{name}: 16 hex digits are wanted")))
}

/// A number within bounds.
fn number(
    text: Option<&str>,
    name: &'static str,
    bounds: RangeInclusive<f64>,
) -> Result<f64, CallError> {
    text.and_then(|text| text.trim().parse().ok())
        .filter(|value| bounds.contains(value))
        .ok_or_else(|| {
            let (least, most) = (bounds.start(), bounds.end());
            CallError::bad_field(format!(
                "{name}: {text:?} is not a number from {least} to {most}"
            ))
        })
}

fn micros(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI) as Micros
}

/// A key without the characters that separate fields on the way to the worker.
fn idempotency_key(request: &Request) -> Result<Option<String>, CallError> {
    let key = request
        .param("HTTP_X_DEDUPE_KEY")
        .filter(|key| !key.is_empty());
    let is_invalid = |c: char| matches!(c, ',' | '=') || c.is_control();
    if key.is_some_and(|key| key.chars().any(is_invalid)) {
        let detail = "HTTP_X_DEDUPE_KEY: a key without commas and equals signs";
        return Err(CallError::bad_field(detail));
    }
    Ok(key.map(String::from))
}

/// What the caller says of the function: `name:value` pairs, separated by semicolons.
struct FunctionInfo<'a>(Vec<(&'a str, &'a str)>);

impl<'a> FunctionInfo<'a> {
    fn parse(text: &'a str) -> Self {
        let pairs = text.split(';');
        FunctionInfo(
            pairs
                .filter_map(|pair| pair.trim().split_once(':'))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.iter();
        let (_, value) = pairs.find(|(known, _)| *known == name)?;
        Some(value)
    }

    fn load_time(&self, max_load_ms: f64) -> Result<Option<Micros>, CallError> {
        let Some(load_ms) = self.get("load_ms") else {
            return Ok(None);
        };
        number(Some(load_ms), "load_ms", 0.0..=max_load_ms).map(|millis| Some(micros(millis)))
    }
}
