//! Events of client connections, for both listeners.

use super::EdgeState;
use crate::event_counts::CountedEvent;
use crate::invariants::CloseReason;
use crate::listener::ClosedClient;
use crate::responses::{ErrorKind, FinalResponse, RequestError};
use crate::unread_input::{self, ReadRequests};
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Event, Io};
use sanddrum_upstream::{ClientConnectionId, OutdatedConnection, RotationRequest};
use std::collections::BTreeSet;

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
            self.fastcgi
                .eviction_candidate(now, first_request_timeout, io)
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
        if matches!(event, Event::Bytes { .. }) {
            self.clients_with_input.insert(conn);
        }
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

    /// Refuses or cancels the requests read in this turn that their clients may have cancelled in input that is still
    /// unread.
    pub fn check_unread_input(&mut self, now: Micros, io: &mut dyn Io) {
        let mut refusing = BTreeSet::new();
        for conn in std::mem::take(&mut self.clients_with_input) {
            match unread_input::decide(now, io.unread_input(conn)) {
                ReadRequests::Accept => {}
                ReadRequests::Refuse => {
                    refusing.insert(conn);
                }
                ReadRequests::Cancel => self.close_ended_client(now, conn, io),
            }
        }
        if !refusing.is_empty() {
            self.refuse_new_requests(now, &refusing);
        }
    }

    /// Closes a connection that its client has ended, without reading the rest of its input.
    fn close_ended_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let closed = if self.is_on_platform() {
            let reason = CloseReason::EndedByClient;
            self.fastcgi.close(&mut self.context, conn, io, reason)
        } else {
            self.http.close(&mut self.context, conn, io, false)
        };
        self.client_closed(now, closed);
    }

    fn refuse_new_requests(&mut self, now: Micros, clients: &BTreeSet<ConnectionId>) {
        let mut new_requests = self.admission.pending_ids();
        new_requests.retain(|id| {
            let request = self.requests.get_open(*id);
            request.is_some_and(|request| clients.contains(&request.client))
        });
        for id in new_requests {
            self.context.metrics.record_limit_hit("unread-input");
            let error = RequestError::unread_input();
            self.context
                .counts
                .record(CountedEvent::Refused, error.reason);
            let retry_after = Some(self.context.limits.max_retry_after);
            self.close_with_error(now, id, &error.response(ErrorKind::Rejected, retry_after));
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
