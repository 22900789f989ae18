//! The client door: HTTP/1.1 with keep-alive and bounded pipelining. Answers go out in the order of the requests.

use crate::functions::FunctionLookupError;
use crate::requests::{Call, ErrorResponse, FinalResponse};
use crate::{arrival_time, EdgeState, Owner, Timer};
use sanddrum::{CustomerId, Micros, RequestId};
use sanddrum_net::{ConnectionId, Event, Io, Outbox};
use sanddrum_upstream::{ClientConnectionId, OutdatedConnection, RotationRequest};
use sanddrum_wire::http::{self, Parsed, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

enum ResponseSlot {
    Open { request: RequestId, keep: bool },
    Ready { answer: Vec<u8>, keep: bool },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseState {
    No,
    /// Once all that is owed is written.
    AfterFlush,
    /// Read out until then, so that an early answer is not lost to unread bytes (RFC 9112, section 9.6).
    Lingering(Micros),
}

struct HttpConnection {
    bytes: Vec<u8>,
    out: Outbox<()>,
    slots: VecDeque<ResponseSlot>,
    /// The number of the first slot.
    first_slot: u64,
    /// Since when a request is begun and not whole.
    partial_since: Option<Micros>,
    accepted_at: Micros,
    last_active: Micros,
    /// From when on the time of what has come last counts.
    from: Micros,
    ending: CloseState,
    paused: bool,
    continue_sent: bool,
    /// It ends with its next answer, or at once where it asks nothing.
    is_retired: bool,
}

#[derive(Default)]
pub(crate) struct HttpListener {
    connections: BTreeMap<ConnectionId, HttpConnection>,
    dirty: BTreeSet<ConnectionId>,
}

impl HttpListener {
    pub fn count(&self) -> usize {
        self.connections.len()
    }
    pub fn is_flushed(&self) -> bool {
        self.connections
            .values()
            .all(|c| c.slots.is_empty() && c.out.pending_bytes() == 0)
    }
    /// Whether a request has come in part.
    pub fn has_partial_request(&self) -> bool {
        self.connections.values().any(|c| c.partial_since.is_some())
    }
    /// Who goes where there is no room for one more, as for web servers: the silent first, never one with a request.
    fn eviction_candidate(&self, now: Micros, time_to_speak: Micros) -> Option<ConnectionId> {
        let quiet = |c: &HttpConnection| {
            c.slots.is_empty() && c.out.pending_bytes() == 0 && c.bytes.is_empty()
        };
        let idle = self.connections.iter().filter(|(_, client)| quiet(client));
        let rank = |client: &HttpConnection| {
            eviction_rank(
                client.first_slot > 0,
                now - client.accepted_at >= time_to_speak,
            )
        };
        idle.min_by_key(|(conn, client)| (rank(client), client.last_active, **conn))
            .map(|(conn, _)| *conn)
    }
}

/// Who goes first where there is no room for one more.
pub(crate) fn eviction_rank(has_sent_request: bool, had_time_to_speak: bool) -> u8 {
    match (has_sent_request, had_time_to_speak) {
        (false, true) => 0,
        (true, _) => 1,
        (false, false) => 2,
    }
}

/// Why a request became no job.
pub(crate) struct RejectedCall {
    pub status: u16,
    pub reason: &'static str,
    pub detail: String,
}

pub(crate) fn rejected_call(
    status: u16,
    reason: &'static str,
    detail: impl Into<String>,
) -> RejectedCall {
    RejectedCall {
        status,
        reason,
        detail: detail.into(),
    }
}

/// A field with a number in it, if it is there.
fn number(request: &Request, name: &'static str) -> Result<Option<i64>, RejectedCall> {
    let Some(text) = request.field(name) else {
        return Ok(None);
    };
    let read = text
        .trim()
        .parse::<i64>()
        .ok()
        .filter(|n| (0..=1_000_000_000_000).contains(n));
    read.map(Some).ok_or_else(|| {
        rejected_call(
            400,
            "bad-field",
            format!("{name}: a whole number from 0 on is wanted"),
        )
    })
}

impl EdgeState {
    pub(crate) fn accept_http(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        if self.http.connections.len() >= self.limits.max_clients {
            self.metrics.record_limit_hit("max-clients");
            match self.http.eviction_candidate(now, self.limits.time_to_speak) {
                Some(other) => self.close_http(now, other, io, true),
                None => {
                    tracing::warn!(reason = "max-clients", "a client is closed at once");
                    return io.reset(conn);
                }
            }
        }
        self.connection_owners.insert(conn, Owner::Client);
        self.identity.accept_http(conn, io);
        let client = HttpConnection {
            bytes: Vec::new(),
            out: Outbox::new(self.limits.waiting_per_client),
            slots: VecDeque::new(),
            first_slot: 0,
            partial_since: None,
            accepted_at: now,
            last_active: now,
            from: now,
            ending: CloseState::No,
            paused: false,
            continue_sent: false,
            is_retired: false,
        };
        self.http.connections.insert(conn, client);
        self.metrics.client_connections_open.increment(1.0);
        self.timers.insert((
            now + self.limits.head_time_out.min(self.limits.client_idle),
            Timer::ClientConnection(conn),
        ));
    }

    pub(crate) fn on_http_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        match event {
            Event::Bytes { bytes, .. } => {
                let Some(client) = self.http.connections.get_mut(&conn) else {
                    return;
                };
                client.last_active = now;
                if client.ending != CloseState::No {
                    return;
                }
                if client.bytes.is_empty() {
                    client.partial_since = Some(now);
                }
                client.bytes.extend_from_slice(bytes);
                client.from = arrival_time::counts_from(now, io.earliest_arrival(now));
                self.read_http_requests(now, conn, io);
            }
            Event::Writable { .. } => {
                if let Some(client) = self.http.connections.get_mut(&conn) {
                    client.out.unblock();
                    client.last_active = now;
                    self.http.dirty.insert(conn);
                }
            }
            Event::Closed { .. } => self.http_connection_closed(now, conn),
            Event::Accepted { .. } | Event::Connected { .. } => {}
        }
    }

    /// A client that closes has left; what it had asked for needs no answer any more.
    fn http_connection_closed(&mut self, now: Micros, conn: ConnectionId) {
        let Some(client) = self.http.connections.remove(&conn) else {
            return;
        };
        self.http.dirty.remove(&conn);
        self.metrics.client_connections_open.decrement(1.0);
        self.identity.client_gone(conn);
        for slot in client.slots {
            if let ResponseSlot::Open { request, .. } = slot {
                self.abandon_request(now, request);
            }
        }
    }

    /// A client's connection was made on terms that are past.
    pub(crate) fn client_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        if denied {
            self.client_denied_by(now, conn, io);
            return self
                .worker_connections
                .events
                .revoked
                .push(OutdatedConnection::Client(ClientConnectionId(conn.0)));
        }
        let in_flight = self
            .http
            .connections
            .get(&conn)
            .map_or(0, |client| client.slots.len());
        self.worker_connections
            .events
            .outdated
            .push(RotationRequest {
                connection: OutdatedConnection::Client(ClientConnectionId(conn.0)),
                in_flight,
            });
    }
    pub(crate) fn retire_http_connection(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) {
        let Some(client) = self.http.connections.get_mut(&conn) else {
            return;
        };
        client.is_retired = true;
        if client.slots.is_empty() && client.bytes.is_empty() && client.out.pending_bytes() == 0 {
            self.close_http(now, conn, io, true);
        }
    }

    fn read_http_requests(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        loop {
            let Some(client) = self.http.connections.get_mut(&conn) else {
                return;
            };
            if client.bytes.is_empty() || client.ending != CloseState::No {
                client.partial_since = None;
                return;
            }
            if client.slots.len() >= self.limits.pipelined {
                client.partial_since = None;
                // Read on within a bound. Guards against a client that leaves unheard, for which what it had asked
                // would still be sent: of a connection that is not read its end is not told.
                if client.bytes.len() > self.limits.largest_head + self.limits.largest_body {
                    client.paused = true;
                    io.pause(conn, true);
                }
                return;
            }
            match http::parse_request(
                &client.bytes,
                self.limits.largest_head,
                self.limits.largest_body,
            ) {
                Ok(Parsed::Partial { expects_continue }) => {
                    client.partial_since = client.partial_since.or(Some(now));
                    if expects_continue && !client.continue_sent && client.slots.is_empty() {
                        client.continue_sent = client.out.push((), http::CONTINUE).is_ok();
                        self.http.dirty.insert(conn);
                    }
                    return;
                }
                Ok(Parsed::Complete(request, took)) => {
                    client.bytes.drain(..took);
                    client.continue_sent = false;
                    client.partial_since = None;
                    self.handle_http_request(now, conn, request, io);
                }
                Err(bad) => {
                    let detail = "the request can't be read; see the client door's page";
                    self.reject_unreadable(now, conn, bad.status(), bad.reason(), detail, None);
                    return;
                }
            }
        }
    }

    /// Answers a request that can't be read on, and ends its connection.
    fn reject_unreadable(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        status: u16,
        reason: &'static str,
        detail: &str,
        retry_after: Option<Micros>,
    ) {
        self.metrics.refused("refused", reason);
        tracing::info!(status, reason, "a client is turned away");
        let refusal = ErrorResponse {
            status,
            end: "refused",
            reason,
            detail,
            retry_after,
            request: None,
        };
        let Some(client) = self.http.connections.get_mut(&conn) else {
            return;
        };
        client.slots.push_back(ResponseSlot::Ready {
            answer: refusal.response(false),
            keep: false,
        });
        client.bytes = Vec::new();
        client.partial_since = None;
        client.ending = CloseState::Lingering(now + self.limits.linger);
        self.timers
            .insert((now + self.limits.linger, Timer::ClientConnection(conn)));
        self.http.dirty.insert(conn);
    }

    fn handle_http_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: Request,
        io: &mut dyn Io,
    ) {
        let is_retired = self
            .http
            .connections
            .get(&conn)
            .is_some_and(|client| client.is_retired);
        let mut keep = request.keep_alive && self.shutdown_deadline.is_none() && !is_retired;
        let path = request
            .path
            .split('?')
            .next()
            .unwrap_or_default()
            .to_string();
        let answer = match (request.method.as_str(), path.as_str()) {
            ("GET", "/metrics") => {
                let page = self
                    .metrics_page
                    .as_ref()
                    .map(|page| page())
                    .unwrap_or_default();
                Ok(http::encode_response(
                    200,
                    &[("content-type", "text/plain; version=0.0.4")],
                    page.as_bytes(),
                    keep,
                ))
            }
            ("GET", "/health") => {
                // An edge that knows no worker can only push back: clients are better served elsewhere.
                let (status, text) = match self.bootstrap.is_healthy() {
                    true => (200, "ok\n".to_string()),
                    false => (
                        503,
                        format!("starting: {}\n", self.bootstrap.readiness().name()),
                    ),
                };
                Ok(http::encode_response(
                    status,
                    &[("content-type", "text/plain")],
                    text.as_bytes(),
                    keep,
                ))
            }
            _ => Err(self.accept_http_call(now, conn, request, &path, io)),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(Ok(request)) => {
                if let Some(client) = self.http.connections.get_mut(&conn) {
                    client.slots.push_back(ResponseSlot::Open { request, keep });
                }
                return;
            }
            Err(Err(no)) => {
                // What was refused for who asks has not run either, and is a final answer as any pushback.
                let pushed_back = matches!(no.status, 401 | 403 | 503);
                let end = if pushed_back {
                    "pushed-back"
                } else {
                    "refused"
                };
                if no.status == 503 {
                    self.metrics.record_limit_hit(no.reason);
                }
                self.metrics.refused(end, no.reason);
                tracing::info!(status = no.status, reason = no.reason, "not taken");
                let retry_after = (no.status == 503).then_some(self.limits.max_retry_after);
                keep &= !self.identity.is_ejected(conn);
                ErrorResponse {
                    status: no.status,
                    end,
                    reason: no.reason,
                    detail: &no.detail,
                    retry_after,
                    request: None,
                }
                .response(keep)
            }
        };
        if let Some(client) = self.http.connections.get_mut(&conn) {
            client.slots.push_back(ResponseSlot::Ready { answer, keep });
            self.http.dirty.insert(conn);
        }
    }

    fn accept_http_call(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: Request,
        path: &str,
        io: &mut dyn Io,
    ) -> Result<RequestId, RejectedCall> {
        let names = path
            .strip_prefix("/v1/calls/")
            .and_then(|rest| rest.split_once('/'));
        let Some((workload, function)) = names.filter(|(_, f)| !f.is_empty() && !f.contains('/'))
        else {
            return Err(rejected_call(
                404,
                "no-such-path",
                "calls go to POST /v1/calls/{workload}/{function}",
            ));
        };
        if request.method != "POST" {
            return Err(rejected_call(405, "method", "calls are made with POST"));
        }
        if self.shutdown_deadline.is_some() {
            return Err(rejected_call(
                503,
                "stopping",
                "this edge ends; nothing was done, ask another one",
            ));
        }
        if self.requests.open() >= self.limits.max_open {
            return Err(rejected_call(
                503,
                "max-open",
                "this edge holds as many jobs as it may; nothing was done",
            ));
        }
        let customer = self.authorize_call(now, conn, &request, (workload, function), io);
        let customer =
            customer.map_err(|why| rejected_call(why.status(), why.reason(), why.detail()))?;
        let limit = number(&request, "sanddrum-time-limit-ms")?.map(|ms| ms * 1000);
        let expected_work = number(&request, "sanddrum-work-us")?;
        let is_retry = number(&request, "sanddrum-repeat")?.is_some_and(|n| n > 0);
        let found = self
            .functions
            .find(workload, function, self.limits.max_functions);
        let (id, known) = found.map_err(|unknown| match unknown {
            FunctionLookupError::Workload => rejected_call(
                404,
                "no-such-workload",
                format!("no workload {workload:?} is set here"),
            ),
            FunctionLookupError::Function => rejected_call(
                404,
                "no-such-function",
                format!("no function {function:?} is set for it"),
            ),
            FunctionLookupError::TooMany => rejected_call(
                503,
                "max-functions",
                "this edge knows as many functions as it may",
            ),
        })?;
        let (of, memory_mb, concurrency, load) = (
            known.workload,
            known.memory_mb,
            known.concurrency,
            known.load,
        );
        let whole = self
            .settings
            .duration_us(&format!("workloads.{}.time-limit-us", of.0));
        let waited = self
            .http
            .connections
            .get(&conn)
            .map_or(0, |client| (now - client.from).max(0));
        let limit = limit.map_or(whole, |told| told.min(whole)) - self.limits.answer_ahead - waited;
        let field = |name: &str| request.field(name).map(String::from);
        let customers = self.settings.count("customers");
        let number = (0..customers).find(|n| {
            customer.as_deref() == self.settings.values.text(&format!("customers.{n}.name"))
        });
        let Some(client) = self.http.connections.get(&conn) else {
            return Err(rejected_call(400, "client-left", "its client has left"));
        };
        let slot = client.first_slot + client.slots.len() as u64;
        let call = Call {
            number: 0,
            workload: of,
            function: id,
            memory_mb,
            concurrency: f64::from(concurrency),
            load,
            limit,
            expected_work,
            is_retry,
            idempotency_key: field("idempotency-key"),
            trace: field("sanddrum-trace"),
            customer,
            customer_id: CustomerId(number.unwrap_or(customers)),
            body: request.body,
        };
        Ok(self.accept_request(now, conn, slot, call))
    }

    /// The final answer to one request of a client, written in its turn.
    pub(crate) fn respond(&mut self, conn: ConnectionId, slot: u64, answer: &FinalResponse<'_>) {
        if self.on_platform {
            return self.respond_fastcgi(conn, slot, answer);
        }
        let Some(client) = self.http.connections.get_mut(&conn) else {
            return;
        };
        let n = slot.checked_sub(client.first_slot).map(|n| n as usize);
        let Some(slot) = n.and_then(|n| client.slots.get_mut(n)) else {
            return;
        };
        if let ResponseSlot::Open { keep, .. } = *slot {
            let keep = keep && !client.is_retired;
            *slot = ResponseSlot::Ready {
                answer: answer.http(keep),
                keep,
            };
            self.http.dirty.insert(conn);
        }
    }

    pub(crate) fn flush_http(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.http.dirty.pop_first() {
            let Some(client) = self.http.connections.get_mut(&conn) else {
                continue;
            };
            let mut slow = false;
            while let Some(ResponseSlot::Ready { answer, keep }) = client.slots.front() {
                slow = client.out.push((), answer).is_err();
                if slow {
                    break;
                }
                if !keep && client.ending == CloseState::No {
                    client.ending = CloseState::AfterFlush;
                }
                client.slots.pop_front();
                client.first_slot += 1;
            }
            let before = client.out.pending_bytes();
            client.out.flush(conn, io);
            if client.out.pending_bytes() < before {
                client.last_active = now;
            }
            if slow {
                self.metrics.record_limit_hit("waiting-per-client");
                tracing::warn!(
                    reason = "waiting-per-client",
                    "a client that reads too slowly is closed"
                );
                self.close_http(now, conn, io, false);
            } else if client.ending == CloseState::AfterFlush && client.out.pending_bytes() == 0 {
                self.close_http(now, conn, io, true);
            } else if !client.bytes.is_empty() && client.slots.len() < self.limits.pipelined {
                if std::mem::take(&mut client.paused) {
                    io.pause(conn, false);
                }
                self.read_http_requests(now, conn, io);
            }
        }
    }

    fn close_http(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io, orderly: bool) {
        self.connection_owners.remove(&conn);
        if orderly {
            io.close(conn);
        } else {
            io.reset(conn);
        }
        self.http_connection_closed(now, conn);
    }

    /// Looks whether a client lingers, is slow with its request, asks nothing or does not read.
    pub(crate) fn check_http_connection(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) {
        let Some(client) = self.http.connections.get(&conn) else {
            return;
        };
        let head = client
            .partial_since
            .map(|at| at + self.limits.head_time_out);
        let quiet = client.slots.is_empty() || client.out.pending_bytes() > 0;
        let idle = client.last_active + self.limits.client_idle;
        match client.ending {
            // Guards against a request that can't be read and takes those before it on its connection with it.
            CloseState::Lingering(until) if until <= now && client.slots.is_empty() => {
                return self.close_http(now, conn, io, client.out.pending_bytes() == 0)
            }
            CloseState::Lingering(until) => {
                self.timers.insert((
                    until.max(now + self.limits.linger.max(1)),
                    Timer::ClientConnection(conn),
                ));
                return;
            }
            _ => {}
        }
        if head.is_some_and(|at| at <= now) {
            return self.reject_unreadable(
                now,
                conn,
                408,
                "head-time-out",
                "the request did not come whole in time",
                None,
            );
        }
        if quiet && idle <= now {
            return self.close_http(now, conn, io, client.out.pending_bytes() == 0);
        }
        let idle = if quiet {
            idle
        } else {
            now + self.limits.client_idle
        };
        let next = head
            .into_iter()
            .chain([idle, now + self.limits.head_time_out])
            .min()
            .unwrap_or(idle);
        self.timers
            .insert((next.max(now + 1), Timer::ClientConnection(conn)));
    }
}
