//! Requests from HTTP clients.

use super::EdgeState;
use crate::functions::{FunctionLookupError, FunctionSpec};
use crate::http_listener::FlushResult;
use crate::identity::RequestTarget;
use crate::requests::RequestSpec;
use crate::responses::{ErrorKind, RequestError};
use sanddrum::{CustomerId, FunctionId, Micros, RequestId, WorkloadId};
use sanddrum_net::{ConnectionId, Io};
use sanddrum_wire::http::{self, Request};

const MICROS_PER_MILLI: Micros = 1_000;
const MAX_FIELD_VALUE: i64 = 1_000_000_000_000;

/// The function that a request names.
struct RequestedFunction {
    id: FunctionId,
    workload: WorkloadId,
    spec: FunctionSpec,
}

impl EdgeState {
    /// Handles bytes received on an HTTP connection.
    pub(super) fn receive_http(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        bytes: &[u8],
        io: &mut dyn Io,
    ) {
        if self.http.push_bytes(now, conn, bytes, io) {
            self.read_http_requests(now, conn, io);
        }
    }

    fn read_http_requests(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        while let Some(request) = self.http.next_request(&mut self.context, now, conn, io) {
            self.handle_http_request(now, conn, request, io);
        }
    }

    /// Writes queued responses to HTTP clients, and processes received requests that waited for pipeline capacity.
    pub(super) fn flush_http(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.http.next_dirty() {
            match self.http.flush(&mut self.context, now, conn, io) {
                FlushResult::Done => {}
                FlushResult::Closed(closed) => self.client_closed(now, Some(closed)),
                FlushResult::ResumeReading(conn) => self.read_http_requests(now, conn, io),
            }
        }
    }

    /// Answers a request at once, or accepts it.
    fn handle_http_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: Request,
        io: &mut dyn Io,
    ) {
        let is_closing = self.shutdown.is_requested() || self.http.is_retired(conn);
        let keep_alive = request.keep_alive && !is_closing;
        let path = request.path.split('?').next().unwrap_or_default();
        let response = match (request.method.as_str(), path) {
            ("GET", "/metrics") => self.metrics_response(keep_alive),
            ("GET", "/health") => self.health_response(keep_alive),
            _ => match self.validate_http_request(now, conn, &request, path, io) {
                Ok(spec) => return self.accept_http_request(now, conn, request, spec, keep_alive),
                Err(error) => return self.reject_http_request(conn, &error, keep_alive),
            },
        };
        self.http.push_response(conn, response, keep_alive);
    }

    fn metrics_response(&self, keep_alive: bool) -> Vec<u8> {
        let page = self.metrics_page.as_ref().map(|page| page());
        let fields = [("content-type", "text/plain; version=0.0.4")];
        let body = page.unwrap_or_default();
        http::encode_response(200, &fields, body.as_bytes(), keep_alive)
    }

    /// An edge without an endpoint list can only reject requests, so it reports that it is not ready and clients can
    /// use another one.
    fn health_response(&self, keep_alive: bool) -> Vec<u8> {
        let (status, text) = if self.discovery.is_healthy() {
            (200, "ok\n".to_string())
        } else {
            let step = self.discovery.readiness().name();
            (503, format!("starting: {step}\n"))
        };
        let fields = [("content-type", "text/plain")];
        http::encode_response(status, &fields, text.as_bytes(), keep_alive)
    }

    fn accept_http_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: Request,
        mut spec: RequestSpec,
        keep_alive: bool,
    ) {
        spec.body = request.body;
        let slot = self.http.next_slot(conn).unwrap_or_default();
        let request: RequestId = self.accept_request(now, conn, slot, spec);
        self.http.push_pending(conn, request, keep_alive);
    }

    fn reject_http_request(&mut self, conn: ConnectionId, error: &RequestError, keep_alive: bool) {
        let (status, reason) = (error.status, error.reason);
        // An unauthorized request has not run, so it counts as rejected, like a request over a limit.
        let kind = match status {
            401 | 403 | 503 => ErrorKind::Rejected,
            _ => ErrorKind::Invalid,
        };
        if status == 503 {
            self.context.metrics.record_limit_hit(reason);
        }
        self.context.metrics.record_error_response(kind, reason);
        tracing::info!(status, reason, "request rejected");
        let retry_after = (status == 503).then_some(self.context.limits.max_retry_after);
        let keep_alive = keep_alive && !self.identity.must_disconnect(conn);
        let response = error.response(kind, retry_after).encode_http(keep_alive);
        self.http.push_response(conn, response, keep_alive);
    }

    /// Validates and authorizes a request, and checks that the edge has capacity for it. The body is left empty.
    fn validate_http_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
        path: &str,
        io: &mut dyn Io,
    ) -> Result<RequestSpec, RequestError> {
        let target = parse_target(request, path)?;
        self.check_accepts_requests()?;
        let customer = self
            .identity
            .authorize(now, conn, request, target, io)
            .map_err(|error| {
                RequestError::new(error.status(), error.reason(), error.to_string())
            })?;
        let time_limit = number_field(request, "sanddrum-time-limit-ms")?;
        let expected_work = number_field(request, "sanddrum-work-us")?;
        let is_retry = number_field(request, "sanddrum-repeat")?.is_some_and(|count| count > 0);
        let function = self.find_function(target)?;
        let longest = self.functions.time_limit(function.workload);
        let requested = time_limit.map_or(longest, |millis| millis * MICROS_PER_MILLI);
        let Some(read_delay) = self.http.read_delay(now, conn) else {
            return Err(RequestError::new(400, "client-left", "its client has left"));
        };
        let field = |name: &str| request.field(name).map(String::from);
        Ok(RequestSpec {
            call_id: 0,
            workload: function.workload,
            function: function.id,
            memory_mb: function.spec.memory_mb,
            concurrency: f64::from(function.spec.concurrency),
            load_time: function.spec.load_time,
            time_limit: requested.min(longest)
                - self.context.limits.response_lead_time
                - read_delay,
            unread_for: read_delay,
            expected_work,
            is_retry,
            idempotency_key: field("idempotency-key"),
            trace: field("sanddrum-trace"),
            customer_id: self.customer_id(customer.as_deref()),
            customer,
            body: Vec::new(),
        })
    }

    fn check_accepts_requests(&self) -> Result<(), RequestError> {
        if self.shutdown.is_requested() {
            let detail = "this edge ends; nothing was done, ask another one";
            return Err(RequestError::new(503, "stopping", detail));
        }
        if self.requests.open_count() >= self.context.limits.max_open_requests {
            return Err(RequestError::too_many_requests());
        }
        Ok(())
    }

    fn find_function(
        &mut self,
        target: RequestTarget<'_>,
    ) -> Result<RequestedFunction, RequestError> {
        let RequestTarget { workload, function } = target;
        let max_functions = self.context.limits.max_functions;
        let found = self.functions.find(workload, function, max_functions);
        let (id, function) = found.map_err(|error| match error {
            FunctionLookupError::UnknownWorkload => RequestError::new(
                404,
                "no-such-workload",
                format!("no workload {workload:?} is set here"),
            ),
            FunctionLookupError::UnknownFunction => RequestError::new(
                404,
                "no-such-function",
                format!("no function {function:?} is set for it"),
            ),
            FunctionLookupError::TooManyFunctions => RequestError::too_many_functions(),
        })?;
        Ok(RequestedFunction {
            id,
            workload: function.workload,
            spec: function.spec,
        })
    }

    /// The index of a customer in the settings; the number of customers if it is unknown.
    fn customer_id(&self, customer: Option<&str>) -> CustomerId {
        let mut names = self.customers.iter();
        let position = names.position(|name| name.as_deref() == customer);
        CustomerId(position.unwrap_or(self.customers.len()))
    }
}

/// Parses the workload and function from the path of a request, and checks its method.
fn parse_target<'a>(request: &Request, path: &'a str) -> Result<RequestTarget<'a>, RequestError> {
    let (workload, function) = path
        .strip_prefix("/v1/calls/")
        .and_then(|names| names.split_once('/'))
        .filter(|(_, function)| !function.is_empty() && !function.contains('/'))
        .ok_or_else(|| {
            let detail = "calls go to POST /v1/calls/{workload}/{function}";
            RequestError::new(404, "no-such-path", detail)
        })?;
    if request.method != "POST" {
        return Err(RequestError::new(405, "method", "calls are made with POST"));
    }
    Ok(RequestTarget { workload, function })
}

/// Parses a header field with a non-negative integer, if the request has it.
fn number_field(request: &Request, name: &'static str) -> Result<Option<i64>, RequestError> {
    let Some(text) = request.field(name) else {
        return Ok(None);
    };
    let value = text.trim().parse().ok();
    value
        .filter(|value| (0..=MAX_FIELD_VALUE).contains(value))
        .map(Some)
        .ok_or_else(|| {
            RequestError::bad_field(format!("{name}: a whole number from 0 on is wanted"))
        })
}
