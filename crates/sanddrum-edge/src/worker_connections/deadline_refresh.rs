//! Deadlines of requests that have waited to be written. A frame states the time that is left as it is made; until its
//! connection is up, or has room, that time passes.

use super::MessageKey;
use crate::dispatch::execute_message;
use crate::EdgeState;
use sanddrum::Micros;
use sanddrum_upstream::WorkerConnectionId;

/// A frame that has waited longer than this states its deadline anew.
const STATED_FOR: Micros = 10_000;

impl EdgeState {
    /// Has the frames that wait on this link, and are not begun, state what is left by now.
    pub(super) fn refresh_deadlines(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(connection) = self
            .worker_connections
            .connections
            .get(&id)
            .filter(|connection| connection.is_connected)
        else {
            return;
        };
        let attempts = connection.out.unwritten().filter_map(|mark| match mark {
            MessageKey::Attempt(attempt) => Some(*attempt),
            _ => None,
        });
        let stale = |attempt: &u64| {
            self.requests
                .attempts
                .get(attempt)
                .is_some_and(|e| now - e.deadline_encoded_at > STATED_FOR)
        };
        let stale: Vec<u64> = attempts.filter(stale).collect();
        for attempt in stale {
            self.refresh_deadline(now, id, attempt);
        }
    }

    fn refresh_deadline(&mut self, now: Micros, id: WorkerConnectionId, attempt: u64) {
        let Some(e) = self.requests.attempts.get_mut(&attempt) else {
            return;
        };
        let Some(request) = self
            .requests
            .requests
            .get(&e.request)
            .filter(|request| !request.is_closed)
        else {
            return;
        };
        e.deadline_encoded_at = now;
        let message = execute_message(&self.functions, request, attempt, (e.due - now).max(0));
        let bytes = self.protocol.execute(message, request.number);
        if let Some(connection) = self.worker_connections.connections.get_mut(&id) {
            connection
                .out
                .replace_unwritten(&MessageKey::Attempt(attempt), &bytes);
        }
    }
}
