//! The FastCGI 1.0 listener for web servers, in the Responder role. Requests are multiplexed on a connection and
//! answered in any order. Buffers are bounded, and invalid requests are answered at once.

mod closing;
mod partial_requests;
mod request_params;
mod response;

pub(crate) use request_params::RequestParams;
pub(crate) use response::{encode_error, encode_health, encode_success};

use crate::context::{ConnectionOwner, EdgeContext};
use crate::invariants::CloseReason;
use crate::listener::{ClosedClient, EvictionRank};
use crate::responses::{ErrorKind, RequestError};
use crate::timers::Timer;
use partial_requests::{first_to_reject, PartialRequestHolder};
use sanddrum::{Micros, RequestId};
use sanddrum_fastcgi::{
    self as fastcgi, ProtocolError, ProtocolStatus, RejectReason, Request, Responder,
    ResponderEvent, ResponderLimits,
};
use sanddrum_net::{ConnectionId, Io, Outbox, UnreadInput};
use std::collections::{BTreeMap, BTreeSet};

/// Whether and when the edge closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// The connection stays open.
    Open,
    /// New requests are rejected, and the connection is closed once all responses are written.
    AfterResponses,
    /// Like `AfterResponses`, but the connection is closed at this instant at the latest: the rest of a request that
    /// is too large is not read.
    ByDeadline(Micros),
    /// The client does not read its responses: the connection is reset.
    NotReading,
}

struct FastCgiConnection {
    responder: Responder,
    outbox: Outbox<()>,
    /// Requests by their FastCGI ids.
    open_requests: BTreeMap<u16, RequestId>,
    accepted_at: Micros,
    /// When bytes were last received or written.
    last_active: Micros,
    /// Whether a complete request was received.
    has_sent_request: bool,
    /// When it is checked for timeouts next. A timer that fires earlier is obsolete.
    next_check_at: Micros,
    /// Memory of partially received requests in bytes, when it was last counted.
    partial_bytes: usize,
    close_state: CloseState,
}

impl FastCgiConnection {
    fn new(context: &EdgeContext, now: Micros) -> Self {
        let limits = &context.limits;
        // All open requests may be in transfer at a time. `limit_partial_bytes` bounds the sum over connections.
        let responder_limits = ResponderLimits::new(
            limits.max_pipelined_requests,
            limits.max_head_bytes,
            limits.max_body_bytes,
        );
        FastCgiConnection {
            responder: Responder::new(responder_limits),
            outbox: Outbox::new(limits.max_outbox_bytes_per_client),
            open_requests: BTreeMap::new(),
            accepted_at: now,
            last_active: now,
            has_sent_request: false,
            next_check_at: now,
            partial_bytes: 0,
            close_state: CloseState::Open,
        }
    }

    /// When the oldest request or record began of which only part has been received, if the connection still accepts
    /// requests. Each request has its own time: as web servers may pass on bodies as they arrive, requests can overlap
    /// so that one is always incomplete.
    fn partial_since(&self) -> Option<Micros> {
        if self.close_state != CloseState::Open {
            return None;
        }
        let record = self.responder.partial_record_since();
        let request = self.responder.oldest_partial_request();
        let request = request.map(|(_, began_at)| began_at);
        record.into_iter().chain(request).min()
    }

    /// Schedules a check for timeouts, unless an earlier one is scheduled.
    fn schedule_check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        at: Micros,
    ) {
        if self.next_check_at > now && self.next_check_at <= at {
            return;
        }
        self.next_check_at = at;
        context.timers.schedule(at, Timer::ClientConnection(conn));
    }

    fn is_flushed(&self) -> bool {
        self.open_requests.is_empty() && self.outbox.pending_bytes() == 0
    }
}

/// An event on a client connection that the edge has to handle.
pub(crate) enum FastCgiEvent {
    /// A complete request.
    Request {
        /// Its FastCGI request id.
        id: u16,
        /// The request.
        request: Request,
    },
    /// Requests cancelled by the client or by the reset of its connection.
    Cancelled(Vec<RequestId>),
}

/// All connections of web servers.
#[derive(Default)]
pub(crate) struct FastCgiListener {
    connections: BTreeMap<ConnectionId, FastCgiConnection>,
    /// Connections with something to write.
    dirty: BTreeSet<ConnectionId>,
    /// Memory of responses that have not been read by the client, in bytes, by connection.
    unread: BTreeMap<ConnectionId, usize>,
    /// The sum of the connections' `partial_bytes`.
    partial_bytes: usize,
}

impl FastCgiListener {
    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether all requests have been answered and all responses written.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(FastCgiConnection::is_flushed)
    }

    /// Whether any request has been received only in part.
    pub fn has_partial_request(&self) -> bool {
        self.connections
            .values()
            .any(|connection| connection.partial_since().is_some())
    }

    /// The connection to close at the connection limit: the longest idle one of the lowest [`EvictionRank`]. `None` if
    /// no connection is idle; one with unread input is not. Clients that open hundreds of connections and send no request, or only one, thus do not
    /// lock out others.
    pub fn eviction_candidate(
        &self,
        now: Micros,
        first_request_timeout: Micros,
        io: &dyn Io,
    ) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(conn, connection)| {
            connection.is_flushed() && io.unread_input(**conn) == UnreadInput::None
        });
        let rank = |connection: &FastCgiConnection| {
            let had_time_to_send = now - connection.accepted_at >= first_request_timeout;
            let is_receiving = connection.has_sent_request && connection.partial_since().is_some();
            EvictionRank::new(connection.has_sent_request, had_time_to_send, is_receiving)
        };
        idle.min_by_key(|(conn, connection)| (rank(connection), connection.last_active, **conn))
            .map(|(conn, _)| *conn)
    }

    /// Accepts a connection.
    pub fn accept(&mut self, context: &mut EdgeContext, now: Micros, conn: ConnectionId) {
        let mut connection = FastCgiConnection::new(context, now);
        let check_at = now + context.limits.request_timeout;
        connection.schedule_check(context, now, conn, check_at);
        context
            .connection_owners
            .insert(conn, ConnectionOwner::Client);
        self.connections.insert(conn, connection);
        context.metrics.client_connections_open.increment(1.0);
    }

    /// Records that bytes were received on a connection.
    pub fn bytes_received(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.last_active = now;
        }
    }

    /// Handles a connection that has become writable.
    pub fn writable(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.outbox.unblock();
            connection.last_active = now;
            self.dirty.insert(conn);
        }
    }

    /// Takes the next event from the front of the bytes received on a connection. Records that the edge need not handle
    /// are answered here. A malformed record resets the connection, and its open requests are returned as cancelled.
    pub fn next_event(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        received: &mut &[u8],
        io: &mut dyn Io,
    ) -> Option<FastCgiEvent> {
        loop {
            let connection = self.connections.get_mut(&conn)?;
            let event = match connection.responder.next_event(now, received) {
                Ok(Some(event)) => event,
                Ok(None) => {
                    self.track_partial_request(context, now, conn);
                    return None;
                }
                Err(error) => return self.reset_malformed(context, conn, &error, io),
            };
            match event {
                ResponderEvent::Reply(bytes) => self.write(context, conn, &bytes),
                ResponderEvent::Reject { id, reason } => {
                    self.reject_unparsed(context, now, conn, id, reason, io);
                }
                ResponderEvent::Abort { id } => {
                    let request = connection.open_requests.remove(&id);
                    self.write(
                        context,
                        conn,
                        &fastcgi::encode_end_request(id, ProtocolStatus::RequestComplete),
                    );
                    if let Some(request) = request {
                        return Some(FastCgiEvent::Cancelled(vec![request]));
                    }
                }
                // A closing connection rejects new requests but still handles cancellations of open ones.
                ResponderEvent::Request { id, .. }
                    if connection.close_state != CloseState::Open =>
                {
                    self.respond(
                        context,
                        conn,
                        id,
                        &fastcgi::encode_end_request(id, ProtocolStatus::Overloaded),
                    );
                }
                ResponderEvent::Request { id, request } => {
                    connection.has_sent_request = true;
                    return Some(FastCgiEvent::Request { id, request });
                }
            }
        }
    }

    fn track_partial_request(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
    ) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        if let Some(since) = connection.partial_since() {
            let check_at = since + context.limits.request_timeout;
            connection.schedule_check(context, now, conn, check_at.max(now + 1));
        }
    }

    fn reset_malformed(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        error: &ProtocolError,
        io: &mut dyn Io,
    ) -> Option<FastCgiEvent> {
        let reason = "unreadable";
        context
            .metrics
            .record_error_response(ErrorKind::Invalid, reason);
        tracing::debug!(
            conn = conn.0,
            reason,
            problem = %error,
            "malformed FastCGI record; connection reset"
        );
        let closed = self.close(context, conn, io, CloseReason::Unreadable)?;
        Some(FastCgiEvent::Cancelled(closed.cancelled))
    }

    /// Enforces the limit on the memory of partially received requests, summed over all connections, after bytes were
    /// received on a connection. None of these requests has been accepted yet.
    pub fn limit_partial_bytes(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
    ) {
        self.count_partial_bytes(conn);
        while self.partial_bytes > context.limits.max_partial_request_bytes {
            let holders = self.connections.iter().filter_map(|(conn, connection)| {
                let (_, began_at) = connection.responder.oldest_partial_request()?;
                Some(PartialRequestHolder {
                    conn: *conn,
                    has_sent_request: connection.has_sent_request,
                    bytes: connection.partial_bytes,
                    age: now - began_at,
                })
            });
            let Some(conn) = first_to_reject(holders) else {
                return;
            };
            context.metrics.record_limit_hit("partial-requests");
            self.reject_oldest_partial(context, conn);
        }
    }

    fn reject_oldest_partial(&mut self, context: &EdgeContext, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some((id, _)) = connection.responder.oldest_partial_request() else {
            return;
        };
        let response = fastcgi::encode_end_request(id, ProtocolStatus::Overloaded);
        self.respond(context, conn, id, &response);
        self.count_partial_bytes(conn);
    }

    fn count_partial_bytes(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            let buffered = connection.responder.buffered_bytes();
            let before = std::mem::replace(&mut connection.partial_bytes, buffered);
            self.partial_bytes = self.partial_bytes + buffered - before;
        }
    }

    /// Answers a request that the responder rejected before it was complete.
    fn reject_unparsed(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        id: u16,
        reject_reason: RejectReason,
        io: &mut dyn Io,
    ) {
        let (status, reason) = match reject_reason {
            RejectReason::TooManyOpen => {
                context.metrics.record_limit_hit("pipelined");
                let response = fastcgi::encode_end_request(id, ProtocolStatus::Overloaded);
                return self.write(context, conn, &response);
            }
            RejectReason::Role => {
                let response = fastcgi::encode_end_request(id, ProtocolStatus::UnknownRole);
                return self.write(context, conn, &response);
            }
            RejectReason::Params => (400, "malformed-request"),
            RejectReason::ParamsTooLong => (431, "head-too-large"),
            RejectReason::BodyTooLong => (413, "body-too-large"),
        };
        let detail = "the request can't be read; see the client door's page";
        let error = RequestError::new(status, reason, detail);
        let response = encode_error(id, &error.response(ErrorKind::Invalid, None));
        self.write(context, conn, &response);
        if reject_reason != RejectReason::Params {
            context
                .metrics
                .record_error_response(ErrorKind::Invalid, reason);
            self.stop_reading(context, now, conn, io);
        }
    }

    /// Stops reading from a connection with a request that is too large, as the rest of it may be endless. If other
    /// requests are open on the connection, the rest is read and discarded instead, so that one oversized request does
    /// not end them all.
    fn stop_reading(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        if !connection.open_requests.is_empty() {
            return;
        }
        let close_at = now + context.limits.linger_time;
        connection.close_state = CloseState::ByDeadline(close_at);
        connection.schedule_check(context, now, conn, close_at);
        io.pause(conn, true);
    }

    /// Records that a request was accepted.
    pub fn request_accepted(&mut self, conn: ConnectionId, id: u16, request: RequestId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.open_requests.insert(id, request);
        }
    }

    /// Removes an open request by its FastCGI id. Returns whether there was one.
    pub fn take_open_request(&mut self, conn: ConnectionId, id: u16) -> bool {
        self.connections
            .get_mut(&conn)
            .is_some_and(|connection| connection.open_requests.remove(&id).is_some())
    }

    /// Queues the final response to a request.
    pub fn respond(&mut self, context: &EdgeContext, conn: ConnectionId, id: u16, response: &[u8]) {
        self.write(context, conn, response);
        if let Some(connection) = self.connections.get_mut(&conn) {
            let is_last = connection.responder.finish(id);
            if is_last && connection.close_state == CloseState::Open {
                connection.close_state = CloseState::AfterResponses;
            }
        }
    }

    fn write(&mut self, context: &EdgeContext, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        if connection.outbox.push((), bytes).is_err() {
            context.metrics.record_limit_hit("waiting-per-client");
            connection.close_state = CloseState::NotReading;
        }
        self.dirty.insert(conn);
    }

    /// Writes as much as the connections take, and closes those that are due. Returns the closed connections.
    pub fn flush(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        io: &mut dyn Io,
    ) -> Vec<ClosedClient> {
        let mut closed = Vec::new();
        while let Some(conn) = self.dirty.pop_first() {
            let Some(connection) = self.connections.get_mut(&conn) else {
                continue;
            };
            let before = connection.outbox.pending_bytes();
            connection.outbox.flush(conn, io);
            let pending = connection.outbox.pending_bytes();
            if pending < before {
                connection.last_active = now;
            }
            match pending {
                0 => self.unread.remove(&conn),
                _ => self
                    .unread
                    .insert(conn, connection.outbox.allocated_bytes()),
            };
            let reason = match connection.close_state {
                CloseState::NotReading => CloseReason::NotReading,
                CloseState::AfterResponses | CloseState::ByDeadline(_)
                    if connection.is_flushed() =>
                {
                    CloseReason::Answered
                }
                _ => continue,
            };
            closed.extend(self.close(context, conn, io, reason));
        }
        closed.extend(self.limit_unread_responses(context, io));
        closed
    }

    /// Enforces the limit on the memory of responses that clients have not read, summed over all connections: those
    /// with the most are reset.
    fn limit_unread_responses(
        &mut self,
        context: &mut EdgeContext,
        io: &mut dyn Io,
    ) -> Vec<ClosedClient> {
        let mut closed = Vec::new();
        while self.unread.values().sum::<usize>() > context.limits.max_unread_response_bytes {
            let largest = self
                .unread
                .iter()
                .max_by_key(|(conn, bytes)| (**bytes, **conn));
            let Some(conn) = largest.map(|(conn, _)| *conn) else {
                break;
            };
            context.metrics.record_limit_hit("unread-responses");
            closed.extend(self.close(context, conn, io, CloseReason::NotReading));
            self.unread.remove(&conn);
        }
        closed
    }
}
