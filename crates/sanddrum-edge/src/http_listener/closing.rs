//! Closing of HTTP connections.

use super::{CloseState, HttpConnection, HttpListener, ResponseSlot};
use crate::context::EdgeContext;
use crate::listener::ClosedClient;
use crate::responses::RequestError;
use crate::timers::Timer;
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Io, UnreadInput};

/// When a connection is checked again that has unread input.
const UNREAD_RECHECK_TIME: Micros = 10_000;

impl HttpListener {
    /// Closes a connection after its next response, or at once if it is idle.
    pub fn retire(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        let connection = self.connections.get_mut(&conn)?;
        connection.is_retired = true;
        if !connection.is_idle() {
            return None;
        }
        self.close(context, conn, io, true)
    }

    /// Closes a connection, gracefully if `is_orderly` and with a reset otherwise.
    pub fn close(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        io: &mut dyn Io,
        is_orderly: bool,
    ) -> Option<ClosedClient> {
        context.connection_owners.remove(&conn);
        if is_orderly {
            io.close(conn);
        } else {
            io.reset(conn);
        }
        self.remove(context, conn)
    }

    /// Removes the state of a closed connection.
    pub fn remove(&mut self, context: &EdgeContext, conn: ConnectionId) -> Option<ClosedClient> {
        let connection = self.connections.remove(&conn)?;
        self.dirty.remove(&conn);
        context.metrics.client_connections_open.decrement(1.0);
        let pending = connection.slots.into_iter().filter_map(|slot| match slot {
            ResponseSlot::Pending { request, .. } => Some(request),
            ResponseSlot::Ready { .. } => None,
        });
        Some(ClosedClient {
            conn,
            cancelled: pending.collect(),
        })
    }

    /// Closes a connection that has lingered or been idle for too long, or rejects its request that was not received
    /// in time. Otherwise schedules the next check.
    pub fn check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        let connection = self.connections.get(&conn)?;
        match connection.check(context, now) {
            // After a stall of the process, input may have arrived in time and be unread.
            CheckResult::Close { .. } | CheckResult::RejectPartialRequest
                if connection.close_state == CloseState::Open
                    && matches!(io.unread_input(conn), UnreadInput::Since(_)) =>
            {
                let timer = Timer::ClientConnection(conn);
                context.timers.schedule(now + UNREAD_RECHECK_TIME, timer);
            }
            CheckResult::Close { is_orderly } => return self.close(context, conn, io, is_orderly),
            CheckResult::RejectPartialRequest => {
                let detail = "the request did not come whole in time";
                let error = RequestError::new(408, "head-time-out", detail);
                self.reject_and_close(context, now, conn, &error);
            }
            CheckResult::RecheckAt(at) => {
                let timer = Timer::ClientConnection(conn);
                context.timers.schedule(at, timer);
            }
        }
        None
    }
}

/// The result of checking a connection.
enum CheckResult {
    /// Close it, gracefully if `is_orderly` and with a reset otherwise.
    Close { is_orderly: bool },
    /// Reject its request that was not received in time.
    RejectPartialRequest,
    /// Check it again at this instant.
    RecheckAt(Micros),
}

impl HttpConnection {
    fn check(&self, context: &EdgeContext, now: Micros) -> CheckResult {
        let limits = &context.limits;
        let is_written = self.outbox.pending_bytes() == 0;
        if let CloseState::Lingering(until) = self.close_state {
            // A malformed request does not end the requests before it on its connection: they are answered first.
            if until <= now && self.slots.is_empty() {
                return CheckResult::Close {
                    is_orderly: is_written,
                };
            }
            return CheckResult::RecheckAt(until.max(now + limits.linger_time.max(1)));
        }
        let request_until = self
            .partial_since
            .map(|since| since + limits.request_timeout);
        if request_until.is_some_and(|until| until <= now) {
            return CheckResult::RejectPartialRequest;
        }
        let waits_for_client = self.slots.is_empty() || !is_written;
        let idle_until = self.last_active + limits.client_idle_timeout;
        if waits_for_client && idle_until <= now {
            return CheckResult::Close {
                is_orderly: is_written,
            };
        }
        let idle_check = if waits_for_client {
            idle_until
        } else {
            now + limits.client_idle_timeout
        };
        let next_request_check = now + limits.request_timeout;
        let next_check = request_until
            .unwrap_or(next_request_check)
            .min(next_request_check)
            .min(idle_check);
        CheckResult::RecheckAt(next_check.max(now + 1))
    }
}
