//! When and how connections of HTTP clients are closed.

use super::{CloseState, HttpConnection, HttpListener, ResponseSlot};
use crate::context::EdgeContext;
use crate::listener::ClosedClient;
use crate::responses::CallError;
use crate::timers::Timer;
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Io};

impl HttpListener {
    /// Has a connection closed with its next response, or at once where no request is open.
    pub fn retire(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        let connection = self.connections.get_mut(&conn)?;
        connection.is_retired = true;
        if !connection.is_quiet() {
            return None;
        }
        self.close(context, conn, io, true)
    }

    /// Closes a connection in order, or resets it.
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

    /// Removes a connection that is closed.
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

    /// Closes a connection that lingers, is slow with a request, is idle or does not read.
    pub fn check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Option<ClosedClient> {
        let connection = self.connections.get(&conn)?;
        match connection.check(context, now) {
            Check::Close { is_orderly } => return self.close(context, conn, io, is_orderly),
            Check::RejectPartialRequest => {
                let detail = "the request did not come whole in time";
                let error = CallError::new(408, "head-time-out", detail);
                self.reject_unreadable(context, now, conn, &error);
            }
            Check::At(at) => {
                let timer = Timer::ClientConnection(conn);
                context.timers.schedule(at, timer);
            }
        }
        None
    }
}

/// What a check of a connection comes to.
enum Check {
    /// It is closed in order, or reset.
    Close { is_orderly: bool },
    /// A request that is received in part takes too long.
    RejectPartialRequest,
    /// It is to be checked again at this instant.
    At(Micros),
}

impl HttpConnection {
    fn check(&self, context: &EdgeContext, now: Micros) -> Check {
        let limits = &context.limits;
        let is_orderly = self.outbox.pending_bytes() == 0;
        if let CloseState::Lingering(until) = self.close_state {
            // Guards against a request that can't be read and ends those before it on its connection.
            if until <= now && self.slots.is_empty() {
                return Check::Close { is_orderly };
            }
            return Check::At(until.max(now + limits.linger_time.max(1)));
        }
        let request_until = self
            .partial_since
            .map(|since| since + limits.request_timeout);
        if request_until.is_some_and(|until| until <= now) {
            return Check::RejectPartialRequest;
        }
        let waits_for_client = self.slots.is_empty() || !is_orderly;
        let idle_until = self.last_active + limits.client_idle_timeout;
        if waits_for_client && idle_until <= now {
            return Check::Close { is_orderly };
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
        Check::At(next_check.max(now + 1))
    }
}
