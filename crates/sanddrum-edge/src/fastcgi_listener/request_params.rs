//! Validation of the parameters of a FastCGI request.

use crate::functions::{FunctionSpec, Functions};
use crate::limits::Limits;
use crate::responses::RequestError;
use sanddrum::{Micros, WorkloadId};
use sanddrum_fastcgi::Request;
use std::ops::RangeInclusive;

const MICROS_PER_MILLI: f64 = 1_000.0;
const MAX_MEMORY_MB: f64 = 1e9;
const MAX_CONCURRENCY: f64 = 1e4;

/// The validated parameters of a request.
pub(crate) struct RequestParams<'a> {
    /// The workload that the path names.
    pub workload: WorkloadId,
    /// The id that the client assigned to the request.
    pub call_id: u64,
    /// The name of the function, 16 hex digits.
    pub function: &'a str,
    /// How long the client waits for the response.
    pub time_limit: Micros,
    /// Memory of one instance, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves concurrently.
    pub concurrency: f64,
    /// How long the function takes to load, if the client states it.
    pub load_time: Option<Micros>,
    /// Requests with the same key take effect once.
    pub idempotency_key: Option<String>,
}

impl<'a> RequestParams<'a> {
    /// Parses and validates the parameters of a request.
    ///
    /// # Errors
    /// The workload is unknown, or a parameter is missing, malformed or out of bounds.
    pub fn parse(
        request: &'a Request,
        functions: &Functions,
        limits: &Limits,
    ) -> Result<Self, RequestError> {
        let workload = workload(request, functions)?;
        check_content_length(request)?;
        let call_id = hex_id(request, "HTTP_X_CALL_ID")?;
        let function = request.param("HTTP_X_ENTITY").unwrap_or_default();
        hex_id(request, "HTTP_X_ENTITY")?;
        // Clients round their values and measure from before they send, so values slightly above the limits are valid.
        let tolerance = limits.parameter_tolerance;
        let max_time_limit_ms =
            tolerance * functions.time_limit(workload) as f64 / MICROS_PER_MILLI;
        let time_limit = request.param("HTTP_X_PATIENCE_MS");
        let time_limit_ms = number(time_limit, "HTTP_X_PATIENCE_MS", 1.0..=max_time_limit_ms)?;
        let info = FunctionInfo::parse(request.param("HTTP_X_INFO").unwrap_or_default());
        let max_load_ms = tolerance * limits.load_timeout as f64 / MICROS_PER_MILLI;
        Ok(RequestParams {
            workload,
            call_id,
            function,
            time_limit: micros(time_limit_ms),
            memory_mb: number(info.get("memory_mb"), "memory_mb", 0.0..=MAX_MEMORY_MB)?,
            concurrency: number(info.get("lanes"), "lanes", 1.0..=MAX_CONCURRENCY)?,
            load_time: info.load_time(max_load_ms)?,
            idempotency_key: idempotency_key(request)?,
        })
    }

    /// The resource needs of an instance of the function.
    pub fn function_spec(&self) -> FunctionSpec {
        FunctionSpec {
            memory_mb: self.memory_mb,
            concurrency: self.concurrency as u32,
            load_time: self.load_time,
        }
    }
}

fn workload(request: &Request, functions: &Functions) -> Result<WorkloadId, RequestError> {
    request
        .param("SCRIPT_NAME")
        .and_then(|path| path.strip_prefix("/rpc/"))
        .and_then(|name| functions.workload(name))
        .ok_or_else(|| {
            let detail = "jobs go to /rpc/ and a workload that is set";
            RequestError::new(404, "no-such-workload", detail)
        })
}

fn check_content_length(request: &Request) -> Result<(), RequestError> {
    let length = request.param("CONTENT_LENGTH").unwrap_or_default();
    if length.is_empty() || length.parse().ok() == Some(request.body.len()) {
        return Ok(());
    }
    let detail = "CONTENT_LENGTH is not the body's";
    Err(RequestError::new(400, "bad-length", detail))
}

/// Parses a parameter of 16 hex digits.
fn hex_id(request: &Request, name: &'static str) -> Result<u64, RequestError> {
    let is_hex = |text: &&str| text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    request
        .param(name)
        .filter(is_hex)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or_else(|| RequestError::bad_field(format!("{name}: 16 hex digits are wanted")))
}

/// Parses a number within bounds.
fn number(
    text: Option<&str>,
    name: &'static str,
    bounds: RangeInclusive<f64>,
) -> Result<f64, RequestError> {
    text.and_then(|text| text.trim().parse().ok())
        .filter(|value| bounds.contains(value))
        .ok_or_else(|| {
            let (min, max) = (bounds.start(), bounds.end());
            RequestError::bad_field(format!(
                "{name}: {text:?} is not a number from {min} to {max}"
            ))
        })
}

fn micros(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI) as Micros
}

/// Returns the idempotency key. Characters that separate fields in frames to workers are not allowed in it.
fn idempotency_key(request: &Request) -> Result<Option<String>, RequestError> {
    let key = request
        .param("HTTP_X_DEDUPE_KEY")
        .filter(|key| !key.is_empty());
    let is_invalid = |c: char| matches!(c, ',' | '=') || c.is_control();
    if key.is_some_and(|key| key.chars().any(is_invalid)) {
        let detail = "HTTP_X_DEDUPE_KEY: a key without commas and equals signs";
        return Err(RequestError::bad_field(detail));
    }
    Ok(key.map(String::from))
}

/// The client's description of the function: `name:value` pairs separated by semicolons.
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

    fn load_time(&self, max_load_ms: f64) -> Result<Option<Micros>, RequestError> {
        let Some(load_ms) = self.get("load_ms") else {
            return Ok(None);
        };
        number(Some(load_ms), "load_ms", 0.0..=max_load_ms).map(|millis| Some(micros(millis)))
    }
}
