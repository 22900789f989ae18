//! The HTTP/1.1 listener, with keep-alive and bounded pipelining. Responses are written in request order.

mod closing;

use crate::arrival_time;
use crate::context::{ConnectionOwner, EdgeContext};
use crate::listener::{ClosedClient, EvictionRank};
use crate::responses::{ErrorKind, FinalResponse, RequestError};
use crate::timers::Timer;
use sanddrum::{Micros, RequestId};
use sanddrum_net::{ConnectionId, Io, Outbox};
use sanddrum_wire::http::{self, Parsed, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The response to a request in the pipeline of its connection.
enum ResponseSlot {
    /// The request has no final response yet.
    Pending {
        request: RequestId,
        keep_alive: bool,
    },
    /// The response is written after those before it.
    Ready { response: Vec<u8>, keep_alive: bool },
}

/// Whether and when the edge closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// The connection stays open.
    Open,
    /// The connection is closed once all responses are written.
    AfterFlush,
    /// The connection stays open until this instant, and received bytes are dropped: closing it with unread bytes
    /// could reset it before the client has read the response (RFC 9112, section 9.6).
    Lingering(Micros),
}

struct HttpConnection {
    received: Vec<u8>,
    outbox: Outbox<()>,
    slots: VecDeque<ResponseSlot>,
    /// The sequence number of the first slot.
    first_slot: u64,
    /// When the partially received request began, if there is one.
    partial_since: Option<Micros>,
    accepted_at: Micros,
    /// When bytes were last received or written.
    last_active: Micros,
    /// The arrival time assumed for the bytes received last; see [`arrival_time`].
    received_at: Micros,
    close_state: CloseState,
    is_paused: bool,
    continue_sent: bool,
    /// Whether the connection is closed after its next response, or at once if it is idle.
    is_retired: bool,
}

impl HttpConnection {
    fn new(context: &EdgeContext, now: Micros) -> Self {
        HttpConnection {
            received: Vec::new(),
            outbox: Outbox::new(context.limits.max_outbox_bytes_per_client),
            slots: VecDeque::new(),
            first_slot: 0,
            partial_since: None,
            accepted_at: now,
            last_active: now,
            received_at: now,
            close_state: CloseState::Open,
            is_paused: false,
            continue_sent: false,
            is_retired: false,
        }
    }

    fn is_flushed(&self) -> bool {
        self.slots.is_empty() && self.outbox.pending_bytes() == 0
    }

    fn is_idle(&self) -> bool {
        self.is_flushed() && self.received.is_empty()
    }

    /// Moves ready responses to the outbox, in order. Returns false if it is full because the client reads too slowly.
    fn queue_ready_responses(&mut self) -> bool {
        while let Some(ResponseSlot::Ready {
            response,
            keep_alive,
        }) = self.slots.front()
        {
            if self.outbox.push((), response).is_err() {
                return false;
            }
            if !keep_alive && self.close_state == CloseState::Open {
                self.close_state = CloseState::AfterFlush;
            }
            self.slots.pop_front();
            self.first_slot += 1;
        }
        true
    }
}

/// The result of writing to a connection.
pub(crate) enum FlushResult {
    /// Nothing is left to do.
    Done,
    /// The connection was closed.
    Closed(ClosedClient),
    /// Received requests can be processed again, as the pipeline has capacity.
    ResumeReading(ConnectionId),
}

/// All connections of HTTP clients.
#[derive(Default)]
pub(crate) struct HttpListener {
    connections: BTreeMap<ConnectionId, HttpConnection>,
    /// Connections with something to write.
    dirty: BTreeSet<ConnectionId>,
}

impl HttpListener {
    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether all requests have been answered and all responses written.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(HttpConnection::is_flushed)
    }

    /// Whether any request has been received only in part.
    pub fn has_partial_request(&self) -> bool {
        self.connections
            .values()
            .any(|connection| connection.partial_since.is_some())
    }

    /// The connection to close at the connection limit: the longest idle one of the lowest [`EvictionRank`]. `None` if
    /// no connection is idle.
    pub fn eviction_candidate(
        &self,
        now: Micros,
        first_request_timeout: Micros,
    ) -> Option<ConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle());
        let rank = |connection: &HttpConnection| {
            let had_time_to_send = now - connection.accepted_at >= first_request_timeout;
            // A connection with a part of a request is not idle.
            EvictionRank::new(connection.first_slot > 0, had_time_to_send, false)
        };
        idle.min_by_key(|(conn, connection)| (rank(connection), connection.last_active, **conn))
            .map(|(conn, _)| *conn)
    }

    /// Accepts a connection.
    pub fn accept(&mut self, context: &mut EdgeContext, now: Micros, conn: ConnectionId) {
        let connection = HttpConnection::new(context, now);
        context
            .connection_owners
            .insert(conn, ConnectionOwner::Client);
        self.connections.insert(conn, connection);
        context.metrics.client_connections_open.increment(1.0);
        let check_in = context
            .limits
            .request_timeout
            .min(context.limits.client_idle_timeout);
        let timer = Timer::ClientConnection(conn);
        context.timers.schedule(now + check_in, timer);
    }

    /// Buffers received bytes. Returns false, dropping them, if the connection is unknown or being closed.
    pub fn push_bytes(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        bytes: &[u8],
        io: &dyn Io,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return false;
        };
        connection.last_active = now;
        if connection.close_state != CloseState::Open {
            return false;
        }
        if connection.received.is_empty() {
            connection.partial_since = Some(now);
        }
        connection.received.extend_from_slice(bytes);
        let earliest = io.earliest_arrival(now);
        connection.received_at = arrival_time::effective_arrival(now, earliest);
        true
    }

    /// Handles a connection that has become writable.
    pub fn writable(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.outbox.unblock();
            connection.last_active = now;
            self.dirty.insert(conn);
        }
    }

    /// The number of requests on a connection whose responses are not in the outbox yet.
    pub fn open_requests(&self, conn: ConnectionId) -> usize {
        self.connections
            .get(&conn)
            .map_or(0, |connection| connection.slots.len())
    }

    /// Whether a connection is closed after its next response.
    pub fn is_retired(&self, conn: ConnectionId) -> bool {
        self.connections
            .get(&conn)
            .is_some_and(|connection| connection.is_retired)
    }

    /// How long the last bytes of a connection waited before they were read. `None` if it is closed.
    pub fn read_delay(&self, now: Micros, conn: ConnectionId) -> Option<Micros> {
        let connection = self.connections.get(&conn)?;
        Some((now - connection.received_at).max(0))
    }

    /// The sequence number of the next request on a connection.
    pub fn next_slot(&self, conn: ConnectionId) -> Option<u64> {
        let connection = self.connections.get(&conn)?;
        Some(connection.first_slot + connection.slots.len() as u64)
    }

    /// Takes the next complete request of a connection. A malformed request is answered here.
    pub fn next_request(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<Request> {
        let connection = self.connections.get_mut(&conn)?;
        let limits = &context.limits;
        if connection.received.is_empty() || connection.close_state != CloseState::Open {
            connection.partial_since = None;
            return None;
        }
        if connection.slots.len() >= limits.max_pipelined_requests {
            connection.partial_since = None;
            // Reading is paused only beyond this bound: the closing of a paused connection goes unnoticed, so attempts
            // would still be sent for a client that has disconnected.
            if connection.received.len() > limits.max_head_bytes + limits.max_body_bytes {
                connection.is_paused = true;
                io.pause(conn, true);
            }
            return None;
        }
        let (max_head, max_body) = (limits.max_head_bytes, limits.max_body_bytes);
        match http::parse_request(&connection.received, max_head, max_body) {
            Ok(Parsed::Partial { expects_continue }) => {
                connection.partial_since = connection.partial_since.or(Some(now));
                let is_due = expects_continue && !connection.continue_sent;
                if is_due && connection.slots.is_empty() {
                    connection.continue_sent = connection.outbox.push((), http::CONTINUE).is_ok();
                    self.dirty.insert(conn);
                }
                None
            }
            Ok(Parsed::Complete(request, length)) => {
                connection.received.drain(..length);
                connection.continue_sent = false;
                connection.partial_since = None;
                Some(request)
            }
            Err(error) => {
                let detail = "the request can't be read; see the client door's page";
                let error = RequestError::new(error.status(), error.reason(), detail);
                self.reject_and_close(context, now, conn, &error);
                None
            }
        }
    }

    /// Answers a request that is malformed or timed out, and closes its connection after lingering.
    fn reject_and_close(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        error: &RequestError,
    ) {
        let (status, reason) = (error.status, error.reason);
        context
            .metrics
            .record_error_response(ErrorKind::Invalid, reason);
        tracing::info!(status, reason, "request rejected");
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.slots.push_back(ResponseSlot::Ready {
            response: error.response(ErrorKind::Invalid, None).encode_http(false),
            keep_alive: false,
        });
        connection.received = Vec::new();
        connection.partial_since = None;
        let linger_until = now + context.limits.linger_time;
        connection.close_state = CloseState::Lingering(linger_until);
        let timer = Timer::ClientConnection(conn);
        context.timers.schedule(linger_until, timer);
        self.dirty.insert(conn);
    }

    /// Queues the response to a request that is answered at once.
    pub fn push_response(&mut self, conn: ConnectionId, response: Vec<u8>, keep_alive: bool) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.slots.push_back(ResponseSlot::Ready {
                response,
                keep_alive,
            });
            self.dirty.insert(conn);
        }
    }

    /// Reserves the response slot of an accepted request.
    pub fn push_pending(&mut self, conn: ConnectionId, request: RequestId, keep_alive: bool) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.slots.push_back(ResponseSlot::Pending {
                request,
                keep_alive,
            });
        }
    }

    /// Sets the final response to a request.
    pub fn respond(&mut self, conn: ConnectionId, slot: u64, response: &FinalResponse<'_>) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some(index) = slot.checked_sub(connection.first_slot) else {
            return;
        };
        let Some(slot) = connection.slots.get_mut(index as usize) else {
            return;
        };
        if let ResponseSlot::Pending { keep_alive, .. } = *slot {
            let keep_alive = keep_alive && !connection.is_retired;
            *slot = ResponseSlot::Ready {
                response: response.encode_http(keep_alive),
                keep_alive,
            };
            self.dirty.insert(conn);
        }
    }

    /// The next connection with something to write.
    pub fn next_dirty(&mut self) -> Option<ConnectionId> {
        self.dirty.pop_first()
    }

    /// Writes as much as a connection takes, and closes it if all is written or its client reads too slowly.
    pub fn flush(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> FlushResult {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return FlushResult::Done;
        };
        let is_reading = connection.queue_ready_responses();
        let before = connection.outbox.pending_bytes();
        connection.outbox.flush(conn, io);
        let unwritten = connection.outbox.pending_bytes();
        if unwritten < before {
            connection.last_active = now;
        }
        if !is_reading {
            context.metrics.record_limit_hit("waiting-per-client");
            tracing::warn!(
                reason = "waiting-per-client",
                "client reads too slowly; connection reset"
            );
            return self.close_or_done(context, conn, io, false);
        }
        if connection.close_state == CloseState::AfterFlush && unwritten == 0 {
            return self.close_or_done(context, conn, io, true);
        }
        let has_capacity = connection.slots.len() < context.limits.max_pipelined_requests;
        if connection.received.is_empty() || !has_capacity {
            return FlushResult::Done;
        }
        if std::mem::take(&mut connection.is_paused) {
            io.pause(conn, false);
        }
        FlushResult::ResumeReading(conn)
    }

    fn close_or_done(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        io: &mut dyn Io,
        is_orderly: bool,
    ) -> FlushResult {
        self.close(context, conn, io, is_orderly)
            .map_or(FlushResult::Done, FlushResult::Closed)
    }
}
