//! Requests from web servers over FastCGI.

use super::EdgeState;
use crate::arrival_time;
use crate::event_counts::CountedEvent;
use crate::fastcgi_listener::{
    encode_error, encode_health, encode_success, FastCgiEvent, RequestParams,
};
use crate::recent_calls::{self, EarlierCall, RepeatedCall};
use crate::requests::RequestSpec;
use crate::responses::{ErrorKind, FinalResponse, RequestError};
use sanddrum::Micros;
use sanddrum_fastcgi::Request;
use sanddrum_net::{ConnectionId, Io};

/// How long after its start an edge without an endpoint list reports ready all the same, even if it can't reach the
/// control feed: it can at least reject requests with a retry delay. This is half of the 10 s within which 9 of 10
/// edges have to be ready.
const READY_WITHOUT_LIST_AFTER: Micros = 5_000_000;

impl EdgeState {
    /// Handles bytes received on a FastCGI connection.
    pub(super) fn receive_fastcgi(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        mut bytes: &[u8],
        io: &mut dyn Io,
    ) {
        self.fastcgi.bytes_received(now, conn);
        let received_at = arrival_time::effective_arrival(now, io.earliest_arrival(now));
        let unread = &mut bytes;
        while let Some(event) = self
            .fastcgi
            .next_event(&mut self.context, now, conn, unread, io)
        {
            match event {
                FastCgiEvent::Request { id, request } => {
                    self.handle_fastcgi_request(now, received_at, conn, id, request);
                }
                FastCgiEvent::Cancelled(requests) => {
                    for request in requests {
                        self.cancel_request(now, request);
                    }
                }
            }
        }
        self.fastcgi
            .limit_partial_bytes(&mut self.context, now, conn);
    }

    /// Answers a request at once, or accepts it. Its time limit counts from `received_at`.
    fn handle_fastcgi_request(
        &mut self,
        now: Micros,
        received_at: Micros,
        conn: ConnectionId,
        id: u16,
        request: Request,
    ) {
        if request.param("SCRIPT_NAME") == Some("/health") {
            let response = encode_health(id, self.is_ready(now));
            return self.fastcgi.respond(&self.context, conn, id, &response);
        }
        match self.validate_fastcgi_request(now, request) {
            Ok(mut spec) => {
                spec.unread_for = now - received_at;
                spec.time_limit = (spec.time_limit - spec.unread_for).max(1);
                let request = self.accept_request(now, conn, u64::from(id), spec);
                self.fastcgi.request_accepted(conn, id, request);
            }
            Err(error) => self.reject_fastcgi_request(conn, id, &error),
        }
    }

    fn is_ready(&self, now: Micros) -> bool {
        !self.endpoints.is_empty() || now >= self.started_at + READY_WITHOUT_LIST_AFTER
    }

    fn reject_fastcgi_request(&mut self, conn: ConnectionId, id: u16, error: &RequestError) {
        let (kind, retry_after) = match error.status {
            503 => (
                ErrorKind::Rejected,
                Some(self.context.limits.max_retry_after),
            ),
            _ => (ErrorKind::Invalid, None),
        };
        let (status, reason) = (error.status, error.reason);
        self.context.metrics.record_error_response(kind, reason);
        self.context.counts.record(CountedEvent::Refused, reason);
        tracing::debug!(status, reason, detail = error.detail, "request rejected");
        let response = encode_error(id, &error.response(kind, retry_after));
        self.fastcgi.respond(&self.context, conn, id, &response);
    }

    /// Validates a request and checks that the edge has capacity for it.
    fn validate_fastcgi_request(
        &mut self,
        now: Micros,
        request: Request,
    ) -> Result<RequestSpec, RequestError> {
        let limits = &self.context.limits;
        let params = RequestParams::parse(&request, &self.functions, limits)?;
        let may_run_again = self.functions.is_restartable(params.workload);
        let earlier = self
            .requests
            .earlier_call(now, params.call_id, limits.late_answer_window);
        match recent_calls::decide(earlier, may_run_again) {
            RepeatedCall::Accept => {}
            RepeatedCall::RefuseForNow => return Err(RequestError::call_is_ending()),
            RepeatedCall::Fail if earlier == EarlierCall::Open => {
                return Err(RequestError::call_is_open())
            }
            RepeatedCall::Fail => return Err(RequestError::call_may_have_run()),
        }
        self.check_capacity(request.body.len())?;
        if self.functions.may_have_many_unserved() {
            let in_use = self
                .requests
                .functions()
                .chain(self.control_commands.functions())
                .collect();
            self.functions.remove_unserved(&in_use);
        }
        let limits = &self.context.limits;
        let function = self.functions.upsert(
            now,
            params.function,
            params.workload,
            params.function_spec(),
            limits.max_functions,
        );
        let Some(function) = function else {
            self.context.metrics.record_limit_hit("max-functions");
            return Err(RequestError::too_many_functions());
        };
        Ok(RequestSpec {
            call_id: params.call_id,
            workload: params.workload,
            function,
            memory_mb: params.memory_mb,
            concurrency: params.concurrency,
            load_time: params.load_time,
            time_limit: (params.time_limit - limits.response_lead_time).max(1),
            idempotency_key: params.idempotency_key,
            body: request.body,
            ..RequestSpec::default()
        })
    }

    fn check_capacity(&self, body_bytes: usize) -> Result<(), RequestError> {
        let limits = &self.context.limits;
        if self.requests.open_count() >= limits.max_open_requests {
            self.context.metrics.record_limit_hit("max-open");
            return Err(RequestError::too_many_requests());
        }
        if self.requests.body_bytes() + body_bytes > limits.max_buffered_body_bytes {
            self.context.metrics.record_limit_hit("held-bodies");
            let detail = "this edge holds as much as it may; nothing was done";
            return Err(RequestError::new(503, "held-bodies", detail));
        }
        Ok(())
    }

    /// Queues the final response to a FastCGI request.
    pub(super) fn respond_fastcgi(
        &mut self,
        conn: ConnectionId,
        slot: u64,
        response: &FinalResponse<'_>,
    ) {
        // The slot of a FastCGI request is its FastCGI id.
        let id = slot as u16;
        if !self.fastcgi.take_open_request(conn, id) {
            return;
        }
        let bytes = match response {
            FinalResponse::Finished { body, .. } => encode_success(id, body),
            FinalResponse::Error(error) => encode_error(id, error),
        };
        self.fastcgi.respond(&self.context, conn, id, &bytes);
    }
}
