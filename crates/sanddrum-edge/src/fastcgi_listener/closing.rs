//! Closing of FastCGI connections.

use super::{encode_error, CloseState, FastCgiConnection, FastCgiListener};
use crate::context::EdgeContext;
use crate::event_counts::CountedEvent;
use crate::invariants::{may_close, CloseReason};
use crate::listener::ClosedClient;
use crate::responses::{ErrorKind, RequestError};
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Io, UnreadInput};

/// When a connection is checked again that has unread input.
const UNREAD_RECHECK_TIME: Micros = 10_000;

/// The result of checking a connection.
enum CheckResult {
    /// Close it for this reason.
    Close(CloseReason),
    /// Reject new requests on it and close it after its responses, as a request was not received in time.
    Drain,
    /// Reject this request, which was not received in time, and check the connection again.
    RejectRequest(u16),
    /// Check it again at this instant.
    RecheckAt(Micros),
}

impl CheckResult {
    /// Whether it follows from what the client has not sent.
    fn is_timeout_of_client(&self) -> bool {
        match self {
            CheckResult::Close(reason) => {
                matches!(reason, CloseReason::Idle | CloseReason::RequestTimeout)
            }
            CheckResult::Drain | CheckResult::RejectRequest(_) => true,
            CheckResult::RecheckAt(_) => false,
        }
    }
}

impl FastCgiConnection {
    fn check(&self, context: &EdgeContext, now: Micros) -> CheckResult {
        let unwritten = self.outbox.pending_bytes();
        if self.is_close_due(now) {
            return CheckResult::Close(match self.is_flushed() {
                true => CloseReason::Answered,
                false => CloseReason::NotReading,
            });
        }
        let request_timeout = context.limits.request_timeout;
        let client_idle_timeout = context.limits.client_idle_timeout;
        let silent_until = (!self.has_sent_request).then_some(self.accepted_at + request_timeout);
        let record_until = self
            .partial_record_since()
            .map(|since| since + request_timeout);
        let has_passed = |until: Micros| until <= now;
        if record_until.is_some_and(has_passed) && !self.open_requests.is_empty() {
            return CheckResult::Drain;
        }
        if !record_until.or(silent_until).is_some_and(has_passed) {
            if let Some(id) = self.overdue_request(now - request_timeout) {
                return CheckResult::RejectRequest(id);
            }
        }
        let partial_until = self.partial_since().map(|since| since + request_timeout);
        let waits_for_client = self.open_requests.is_empty() || unwritten > 0;
        let idle_until = waits_for_client.then_some(self.last_active + client_idle_timeout);
        let close_at = match self.close_state {
            CloseState::ByDeadline(at) => Some(at),
            _ => None,
        };
        let instants = [silent_until, partial_until, idle_until, close_at];
        let next_check = instants.into_iter().flatten().min();
        if !next_check.is_some_and(has_passed) {
            let check_at = next_check.unwrap_or(now + client_idle_timeout);
            return CheckResult::RecheckAt(check_at.max(now + 1));
        }
        CheckResult::Close(if unwritten > 0 {
            CloseReason::NotReading
        } else if silent_until.or(partial_until).is_some_and(has_passed) {
            CloseReason::RequestTimeout
        } else {
            CloseReason::Idle
        })
    }

    /// When the record began of which only part has been received, if the connection still accepts requests.
    fn partial_record_since(&self) -> Option<Micros> {
        self.responder
            .partial_record_since()
            .filter(|_| self.close_state == CloseState::Open)
    }

    /// The oldest incomplete request, if it began at or before this instant.
    fn overdue_request(&self, began_by: Micros) -> Option<u16> {
        if self.close_state != CloseState::Open {
            return None;
        }
        let (id, began_at) = self.responder.oldest_partial_request()?;
        (began_at <= began_by).then_some(id)
    }

    fn is_close_due(&self, now: Micros) -> bool {
        match self.close_state {
            CloseState::Open | CloseState::AfterResponses => false,
            CloseState::ByDeadline(at) => at <= now,
            CloseState::NotReading => true,
        }
    }
}

impl FastCgiListener {
    /// Closes a connection that has been idle for too long, does not read its responses, or has not sent a complete
    /// request in time. Otherwise schedules the next check.
    pub fn check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        loop {
            let connection = self.connections.get_mut(&conn)?;
            if now < connection.next_check_at {
                return None;
            }
            match connection.check(context, now) {
                // After a stall of the process, input may have arrived in time and be unread.
                result
                    if result.is_timeout_of_client()
                        && io.unread_input(conn) != UnreadInput::None =>
                {
                    let check_at = now + UNREAD_RECHECK_TIME;
                    connection.schedule_check(context, now, conn, check_at);
                }
                CheckResult::Close(reason) => return self.close(context, conn, io, reason),
                CheckResult::RejectRequest(id) => self.reject_overdue(context, conn, id),
                CheckResult::RecheckAt(at) => connection.schedule_check(context, now, conn, at),
                CheckResult::Drain => {
                    // A record that is never completed must not end the other open requests: the connection is closed
                    // after their responses.
                    connection.close_state = CloseState::AfterResponses;
                    let check_at = now + context.limits.request_timeout;
                    connection.schedule_check(context, now, conn, check_at);
                }
            }
        }
    }

    /// Answers a request that was not received in time. Others on its connection, complete or not, are unaffected.
    fn reject_overdue(&mut self, context: &mut EdgeContext, conn: ConnectionId, id: u16) {
        let reason = "head-time-out";
        context
            .metrics
            .record_error_response(ErrorKind::Invalid, reason);
        let error = RequestError::new(408, reason, "the request was not received in time");
        let response = encode_error(id, &error.response(ErrorKind::Invalid, None));
        self.respond(context, conn, id, &response);
        self.count_partial_bytes(conn);
    }

    /// Closes a connection gracefully, or resets it if it is malformed or its client does not read.
    pub fn close(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        io: &mut dyn Io,
        reason: CloseReason,
    ) -> Option<ClosedClient> {
        if let Some(connection) = self.connections.get(&conn) {
            let open = connection.open_requests.len();
            let unwritten = connection.outbox.pending_bytes();
            let name = reason.name();
            tracing::debug!(
                conn = conn.0,
                reason = name,
                open,
                unwritten,
                "client connection closed"
            );
            if let Err(invariant) = may_close(reason, open, unwritten) {
                context.violations.report(invariant, name);
            }
        }
        context.metrics.record_client_close(reason.name());
        context
            .counts
            .record(CountedEvent::ClientClosed, reason.name());
        context.connection_owners.remove(&conn);
        match reason {
            CloseReason::Unreadable | CloseReason::NotReading | CloseReason::EndedByClient => {
                io.reset(conn);
            }
            _ => io.close(conn),
        }
        self.remove(context, conn)
    }

    /// Removes the state of a closed connection.
    pub fn remove(&mut self, context: &EdgeContext, conn: ConnectionId) -> Option<ClosedClient> {
        let connection = self.connections.remove(&conn)?;
        self.dirty.remove(&conn);
        self.unread.remove(&conn);
        self.partial_bytes -= connection.partial_bytes;
        context.metrics.client_connections_open.decrement(1.0);
        Some(ClosedClient {
            conn,
            cancelled: connection.open_requests.into_values().collect(),
        })
    }
}
