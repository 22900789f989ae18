//! Detects connections that stay open although nothing on them is answered any more: an incomplete frame waits for its end,
//! or a message that workers answer at once has no answer.

use super::{ConnectionLoss, MessageOutcome, WorkerConnections};
use crate::attempt_end::MAX_LINK_DELAY;
use crate::context::EdgeContext;
use crate::event_counts::CountedEvent;
use crate::timers::Timer;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::WorkerConnectionId;

/// How long the rest of a frame, or the answer to a message that is answered at once, may take on a usable connection.
const MAX_SILENCE: Micros = MAX_LINK_DELAY;

impl WorkerConnections {
    /// Records that a complete message was received on a connection.
    pub fn record_message(&mut self, now: Micros, id: WorkerConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let is_check_in_flight = connection.is_check_in_flight();
            connection.check_unanswered_since = is_check_in_flight.then_some(now);
            connection.incomplete_since = None;
        }
    }

    /// Records whether a frame is incomplete after all bytes received so far were read.
    pub fn record_incomplete_frame(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.decoder.has_incomplete_frame() || connection.transport.is_closing() {
            connection.incomplete_since = None;
            return;
        }
        connection.incomplete_since.get_or_insert(now);
        if !connection.is_frame_timer_scheduled {
            connection.is_frame_timer_scheduled = true;
            let timer = Timer::IncompleteFrame(id);
            context.timers.schedule(now + MAX_SILENCE, timer);
        }
    }

    /// Gives a connection up if its frame is incomplete for too long: nothing that follows on it can be read.
    pub fn check_incomplete_frame(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) -> Vec<MessageOutcome> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        connection.is_frame_timer_scheduled = false;
        let Some(since) = connection.incomplete_since else {
            return Vec::new();
        };
        if now < since + MAX_SILENCE {
            connection.is_frame_timer_scheduled = true;
            let timer = Timer::IncompleteFrame(id);
            context.timers.schedule(since + MAX_SILENCE, timer);
            return Vec::new();
        }
        let worker = connection.worker;
        self.record_unusable(context, worker, "incomplete-frame");
        let loss = ConnectionLoss::Closed(CloseCause::Reset);
        self.abandon(context, now, id, loss, io)
    }

    /// Retires the connections to a worker on which a message that is answered at once has had no answer for too long. What
    /// is in flight on them is still awaited.
    pub(super) fn retire_unresponsive(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        worker: WorkerId,
    ) {
        let mut unresponsive = self.connections_of(worker);
        unresponsive.retain(|id| {
            let connection = self.connections.get(id);
            let since = connection.and_then(|connection| connection.check_unanswered_since);
            since.is_some_and(|since| since + MAX_SILENCE <= now)
        });
        for id in unresponsive {
            self.record_unusable(context, worker, "unresponsive");
            self.retire(context, now, id);
        }
    }

    fn record_unusable(&self, context: &mut EdgeContext, worker: WorkerId, reason: &'static str) {
        context.counts.record(CountedEvent::WorkerLost, reason);
        tracing::info!(
            worker = self.worker_name(worker),
            reason,
            "worker connection of no further use"
        );
    }
}
