//! Events of client connections, for both listeners.

use super::EdgeState;
use crate::invariants::CloseReason;
use crate::listener::ClosedClient;
use crate::responses::FinalResponse;
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Event, Io};
use sanddrum_upstream::{ClientConnectionId, OutdatedConnection, RotationRequest};

impl EdgeState {
    /// Accepts a client connection, or resets it if the limit is reached and no connection can be evicted.
    pub(super) fn accept_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        if !self.evict_at_limit(now, io) {
            if !self.is_on_platform() {
                tracing::warn!(reason = "max-clients", "client connection rejected");
            }
            return io.reset(conn);
        }
        if self.is_on_platform() {
            return self.fastcgi.accept(&mut self.context, now, conn);
        }
        self.identity.client_connected(conn, io);
        self.http.accept(&mut self.context, now, conn);
    }

    /// Closes an idle connection if the limit is reached. Returns whether another connection can be accepted.
    fn evict_at_limit(&mut self, now: Micros, io: &mut dyn Io) -> bool {
        let limits = &self.context.limits;
        let (max_clients, first_request_timeout) =
            (limits.max_clients, limits.first_request_timeout);
        let open = if self.is_on_platform() {
            self.fastcgi.len()
        } else {
            self.http.len()
        };
        if open < max_clients {
            return true;
        }
        self.context.metrics.record_limit_hit("max-clients");
        let candidate = if self.is_on_platform() {
            self.fastcgi.eviction_candidate(now, first_request_timeout)
        } else {
            self.http.eviction_candidate(now, first_request_timeout)
        };
        let Some(candidate) = candidate else {
            return false;
        };
        let closed = if self.is_on_platform() {
            self.fastcgi
                .close(&mut self.context, candidate, io, CloseReason::Evicted)
        } else {
            self.http.close(&mut self.context, candidate, io, true)
        };
        self.client_closed(now, closed);
        true
    }

    /// Handles a closed client connection and cancels its open requests.
    pub(super) fn client_closed(&mut self, now: Micros, closed: Option<ClosedClient>) {
        let Some(ClosedClient { conn, cancelled }) = closed else {
            return;
        };
        self.identity.client_disconnected(conn);
        for request in cancelled {
            self.cancel_request(now, request);
        }
    }

    /// Handles an event of a client connection.
    pub(super) fn on_client_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        let is_on_platform = self.is_on_platform();
        match event {
            Event::Bytes { bytes, .. } if is_on_platform => {
                self.receive_fastcgi(now, conn, bytes, io);
            }
            Event::Bytes { bytes, .. } => self.receive_http(now, conn, bytes, io),
            Event::Writable { .. } if is_on_platform => self.fastcgi.writable(now, conn),
            Event::Writable { .. } => self.http.writable(now, conn),
            Event::Closed { .. } => {
                let closed = if is_on_platform {
                    self.fastcgi.remove(&self.context, conn)
                } else {
                    self.http.remove(&self.context, conn)
                };
                self.client_closed(now, closed);
            }
            Event::Accepted { .. } | Event::Connected { .. } => {}
        }
    }

    /// Handles a change of credentials since the handshake of a client connection. If its certificate was denied, no
    /// new requests are authorized on it.
    pub(super) fn client_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        is_denied: bool,
        io: &mut dyn Io,
    ) {
        let outdated = OutdatedConnection::Client(ClientConnectionId(conn.0));
        if is_denied {
            self.identity.deny_certificate(now, conn, io);
            self.context.connection_events.revoked.push(outdated);
        } else {
            let request = RotationRequest {
                connection: outdated,
                in_flight: self.http.open_requests(conn),
            };
            self.context.connection_events.outdated.push(request);
        }
    }

    /// Retires a client connection on behalf of the connection policy.
    pub(super) fn retire_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let closed = self.http.retire(&mut self.context, conn, io);
        self.client_closed(now, closed);
    }

    /// Runs the timeout check of a client connection.
    pub(super) fn check_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let closed = if self.is_on_platform() {
            self.fastcgi.check(&mut self.context, now, conn, io)
        } else {
            self.http.check(&mut self.context, now, conn, io)
        };
        self.client_closed(now, closed);
    }

    /// Queues the final response to a request.
    pub(super) fn respond(&mut self, conn: ConnectionId, slot: u64, response: &FinalResponse<'_>) {
        if self.is_on_platform() {
            self.respond_fastcgi(conn, slot, response);
        } else {
            self.http.respond(conn, slot, response);
        }
    }

    /// Writes queued responses to clients.
    pub(super) fn flush_clients(&mut self, now: Micros, io: &mut dyn Io) {
        self.flush_http(now, io);
        for closed in self.fastcgi.flush(&mut self.context, now, io) {
            self.client_closed(now, Some(closed));
        }
    }
}
