//! When and how connections of web servers are closed.

use super::{CloseState, FastCgiConnection, FastCgiListener};
use crate::context::EdgeContext;
use crate::event_counts::CountedEvent;
use crate::invariants::{may_close, CloseReason};
use crate::listener::ClosedClient;
use crate::timers::Timer;
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Io};

/// What a check of a connection comes to.
enum Check {
    Close(CloseReason),
    /// Nothing new is accepted on it, as a request that is received in part takes too long.
    Drain,
    /// It is to be checked again at this instant.
    At(Micros),
}

impl FastCgiConnection {
    fn check(&self, context: &EdgeContext, now: Micros) -> Check {
        let unwritten = self.outbox.pending_bytes();
        if self.is_close_due(now) {
            return Check::Close(match self.is_flushed() {
                true => CloseReason::Answered,
                false => CloseReason::NotReading,
            });
        }
        let request_timeout = context.limits.request_timeout;
        let client_idle_timeout = context.limits.client_idle_timeout;
        let silent_until = (!self.has_sent_request).then_some(self.accepted_at + request_timeout);
        let partial_until = self
            .partial_since
            .filter(|_| self.close_state == CloseState::Open)
            .map(|since| since + request_timeout);
        let is_over = |until: Micros| until <= now;
        if partial_until.is_some_and(is_over) && !self.open_requests.is_empty() {
            return Check::Drain;
        }
        let waits_for_client = self.open_requests.is_empty() || unwritten > 0;
        let idle_until = waits_for_client.then_some(self.last_active + client_idle_timeout);
        let instants = [silent_until, partial_until, idle_until];
        let next_check = instants.into_iter().flatten().min();
        if !next_check.is_some_and(is_over) {
            let check_at = next_check.unwrap_or(now + client_idle_timeout);
            return Check::At(check_at.max(now + 1));
        }
        Check::Close(if unwritten > 0 {
            CloseReason::NotReading
        } else if silent_until.or(partial_until).is_some_and(is_over) {
            CloseReason::RequestTimeout
        } else {
            CloseReason::Idle
        })
    }

    fn is_close_due(&self, now: Micros) -> bool {
        match self.close_state {
            CloseState::Open | CloseState::AfterResponses => false,
            CloseState::By(at) => at <= now,
            CloseState::NotReading => true,
        }
    }
}

impl FastCgiListener {
    /// Closes a connection that has sent nothing valid, is slow with a request, is idle or does not read.
    pub fn check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        let connection = self.connections.get_mut(&conn)?;
        let timer = Timer::ClientConnection(conn);
        match connection.check(context, now) {
            Check::Close(reason) => return self.close(context, conn, io, reason),
            Check::At(at) => context.timers.schedule(at, timer),
            Check::Drain => {
                // Guards against a request that is never received completely and ends all that are open beside it: the
                // connection is closed behind their responses.
                connection.close_state = CloseState::AfterResponses;
                connection.partial_since = None;
                let check_at = now + context.limits.request_timeout;
                context.timers.schedule(check_at, timer);
            }
        }
        None
    }

    /// Closes a connection: in order, unless the client could not read what is left.
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
            CloseReason::Unreadable | CloseReason::NotReading => io.reset(conn),
            _ => io.close(conn),
        }
        self.remove(context, conn)
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, context: &EdgeContext, conn: ConnectionId) -> Option<ClosedClient> {
        let connection = self.connections.remove(&conn)?;
        self.dirty.remove(&conn);
        self.partial_bytes -= connection.partial_bytes;
        context.metrics.client_connections_open.decrement(1.0);
        Some(ClosedClient {
            conn,
            cancelled: connection.open_requests.into_values().collect(),
        })
    }
}
