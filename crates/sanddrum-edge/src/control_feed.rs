//! The client of the platform's control feed, whose events update the endpoint list. It keeps one long poll
//! outstanding. A poll that is not answered in time is followed by one on a new connection, but its own connection stays
//! open for a while: a slow feed can't be told from a silent one, and its answer may be on the way.

use crate::context::{ConnectionOwner, EdgeContext};
use crate::endpoint_freshness::{EndpointFreshness, FreshnessChange, Poll};
use crate::feed_connection::FeedConnection;
use crate::feed_reload::FeedReload;
use crate::timers::Timer;
use sanddrum::{EndpointConfirmation, EndpointListKind, Micros};
use sanddrum_net::{ConnectionId, Io, Rng};
use sanddrum_platform::control_feed::{
    self, FeedEvent, FeedEvents, MAX_NOTIFICATION_DELAY, MIN_NOTIFICATION_DELAY,
};
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::Backoff;
use sanddrum_wire::http::{HttpError, Response};
use sanddrum_wire::EndpointRecord;
use std::collections::VecDeque;
use thiserror::Error;

const STATUS_OK: u16 = 200;
/// The most connections with an overdue poll. With the poll wait and the answer timeout between them, answers are heard up
/// to about the longest notification delay after their polls.
const MAX_OVERDUE_CONNECTIONS: usize = 4;

/// Why the client closes its connection to the feed.
#[derive(Debug, Error)]
pub(crate) enum FeedError {
    /// The connection was not established in time, or a poll was not answered within its wait and the answer timeout.
    #[error("silent")]
    TimedOut,
    /// The poll could not be written at once.
    #[error("the feed does not read the poll")]
    NotReading,
    /// The feed closed the connection.
    #[error("closed")]
    Closed,
    /// The answer exceeds the size limit.
    #[error("the answer exceeds the size limit")]
    TooLarge,
    /// The answer is not HTTP.
    #[error("{}", .0.reason())]
    Http(HttpError),
    /// The answer's status code is not 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer's body does not describe events.
    #[error(transparent)]
    InvalidEvents(#[from] control_feed::FeedError),
}

/// An update of the endpoint list.
pub(crate) struct EndpointChange {
    /// Whether `endpoints` contains all workers or only those that have changed.
    pub kind: EndpointListKind,
    /// The workers.
    pub endpoints: Vec<EndpointRecord>,
}

/// An answer of the feed.
pub(crate) struct FeedAnswer {
    /// Its events.
    pub events: FeedEvents,
    /// The poll that it answers, if one was outstanding.
    pub poll: Option<Poll>,
}

/// A client of the control feed.
pub(crate) struct ControlFeed {
    address: String,
    /// Machine kinds, in the order of the settings.
    machine_kinds: Vec<String>,
    /// The start times of the listed workers.
    start_times: StartTimes,
    /// The number of the last event that was applied, from which a new connection continues.
    last_event: u64,
    /// Whether the last answer stated a higher last event number than those of the events that it contained.
    missed_event: bool,
    current: Option<FeedConnection>,
    /// Connections whose polls were not answered in time, oldest first.
    overdue: VecDeque<FeedConnection>,
    freshness: EndpointFreshness,
    reload: FeedReload,
    /// Why the last connection was closed; none if the feed has answered since.
    last_error: Option<String>,
    backoff: Backoff,
    rng: Rng,
    /// When to connect, or when the current connection times out. A timer that fires earlier is obsolete.
    next_timer_at: Micros,
}

impl ControlFeed {
    /// A client that is not connected. `seed` seeds the jitter of the backoff.
    pub fn new(settings: &LoadedSettings, machine_kinds: Vec<String>, seed: u64) -> Self {
        let backoff = |name: &str| settings.duration_us(&format!("limits.list-retry-{name}-us"));
        ControlFeed {
            address: settings.text("edge.list").to_string(),
            machine_kinds,
            start_times: StartTimes::default(),
            last_event: 0,
            missed_event: false,
            current: None,
            overdue: VecDeque::new(),
            freshness: EndpointFreshness::new(MIN_NOTIFICATION_DELAY),
            reload: FeedReload::default(),
            last_error: None,
            backoff: Backoff::new(backoff("least"), backoff("most")),
            rng: Rng::new(seed),
            next_timer_at: 0,
        }
    }

    /// Starts with the endpoint list of the startup configuration, which counts as current.
    pub fn start(&mut self, now: Micros) {
        self.freshness.start(now);
    }

    /// The instant up to which the endpoint list is confirmed, and when the platform considers this router notified of
    /// later changes that the feed could not deliver.
    pub fn confirmation(&self) -> EndpointConfirmation {
        let confirmed_at = self.freshness.confirmed_at();
        EndpointConfirmation {
            confirmed_at,
            min_notification_delay: MIN_NOTIFICATION_DELAY,
            max_notification_delay: self.reload.notification_delay(
                confirmed_at,
                MIN_NOTIFICATION_DELAY,
                MAX_NOTIFICATION_DELAY,
            ),
        }
    }

    /// Records that a reload of the configuration was requested, which may move the feed.
    pub fn reload_requested(&mut self, now: Micros) {
        self.reload.request(now);
    }

    /// The address that is polled.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The number of the last event that was applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Updates the list's freshness for the answer to a poll. An answer that lacks an event confirms nothing.
    pub fn record_answer(
        &mut self,
        now: Micros,
        poll: Option<Poll>,
        has_events: bool,
        is_poll_overdue: bool,
    ) -> Option<FreshnessChange> {
        let poll = poll?;
        if self.missed_event {
            return None;
        }
        self.reload.record_answer(poll);
        self.freshness
            .record_answer(now, poll, has_events, is_poll_overdue);
        self.last_error = None;
        self.freshness.take_change(now)
    }

    /// Returns whether the list has become stale or current since the last check, with the reason of the last failure.
    pub fn check_freshness(&mut self, now: Micros) -> Option<(FreshnessChange, String)> {
        let change = self.freshness.take_change(now)?;
        let reason = self.last_error.clone();
        Some((change, reason.unwrap_or_else(|| "no answer".to_string())))
    }

    /// Applies each event once, in order, and returns the resulting updates of the endpoint list.
    pub fn apply(&mut self, clocks: ClockReading, events: FeedEvents) -> Vec<EndpointChange> {
        self.start_times.observe_clocks(clocks);
        let seen = self.last_event;
        self.advance(&events);
        let unseen = events
            .events
            .into_iter()
            .filter(|event| event.number > seen);
        let changes = unseen
            .filter_map(|event| self.endpoint_change(clocks.now, event))
            .collect();
        if !self.missed_event {
            self.start_times.mark_caught_up(clocks.now);
        }
        changes
    }

    /// Advances `last_event` to the last event of an answer. If the feed's last event number is higher, an event is
    /// missing from the answer, and the client polls for it once more so that it is not lost. If it is missing again,
    /// it is skipped: the feed would otherwise be polled in an endless loop.
    fn advance(&mut self, events: &FeedEvents) {
        let numbers = events.events.iter().map(|event| event.number);
        let newest = numbers.fold(self.last_event, u64::max);
        let is_missing = newest < events.last_number;
        let skips_missing = is_missing && self.missed_event;
        self.last_event = if skips_missing {
            events.last_number
        } else {
            newest
        };
        self.missed_event = is_missing && !skips_missing;
    }

    fn endpoint_change(&mut self, now: Micros, event: FeedEvent) -> Option<EndpointChange> {
        let list = event.members?;
        let endpoints = self
            .start_times
            .endpoints(now, list.members, list.is_full_snapshot);
        let kind = if list.is_full_snapshot {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        Some(EndpointChange { kind, endpoints })
    }

    /// Handles the client's timer. If it is due, connects, or leaves a connection that has timed out.
    pub fn on_timer(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        if now < self.next_timer_at {
            return;
        }
        if self.current.is_some() {
            self.keep_overdue(context, io);
            return self.reconnect_later(context, now, &FeedError::TimedOut, io);
        }
        let conn = io.connect(&self.address);
        context
            .connection_owners
            .insert(conn, ConnectionOwner::Discovery);
        self.current = Some(FeedConnection::new(conn));
        self.schedule_timer(context, now + context.limits.connect_timeout);
    }

    /// Keeps the current connection for the answer to its poll, in place of the oldest one that is kept if there are too
    /// many.
    fn keep_overdue(&mut self, context: &mut EdgeContext, io: &mut dyn Io) {
        let overdue = self.current.take_if(|current| current.poll.is_some());
        self.overdue.extend(overdue);
        if self.overdue.len() > MAX_OVERDUE_CONNECTIONS {
            let oldest = self.overdue.pop_front();
            reset(context, oldest, io);
        }
    }

    fn schedule_timer(&mut self, context: &mut EdgeContext, at: Micros) {
        self.next_timer_at = at;
        context.timers.schedule(at, Timer::Discovery);
    }

    /// Polls for the events after the last one that was applied, unless the current connection is being opened or has an
    /// outstanding poll.
    pub fn poll(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        let max_wait = context.limits.feed_poll_wait;
        let Some(current) = self.current.as_mut().filter(|c| c.can_poll()) else {
            return;
        };
        // The feed answers the first poll of a connection at once, so that missed events arrive without a further
        // wait.
        let wait = if current.has_polled {
            self.freshness.next_wait(max_wait)
        } else {
            0
        };
        let request = control_feed::poll_request(&self.address, self.last_event, wait);
        if io.write(current.conn, &request) < request.len() {
            return self.reconnect_later(context, now, &FeedError::NotReading, io);
        }
        current.has_polled = true;
        current.poll = Some(Poll { sent_at: now, wait });
        let expected = max_wait.max(wait + self.freshness.answer_delay());
        let answer_due = now + expected + context.limits.feed_answer_timeout;
        self.schedule_timer(context, answer_due);
        let stale_at = self.freshness.confirmed_at() + MIN_NOTIFICATION_DELAY + 1;
        context.timers.schedule(stale_at, Timer::Discovery);
    }

    /// Closes the connection, if there is one, and schedules a reconnect after a backoff.
    pub fn reconnect_later(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        error: &FeedError,
        io: &mut dyn Io,
    ) {
        self.disconnect(context, io);
        self.last_error = Some(error.to_string());
        let retry_at = self.backoff.record_failure(now, 0, self.rng.next_f64());
        tracing::info!(
            reason = "feed-away",
            why = %error,
            wait_us = retry_at - now,
            last_event = self.last_event,
            list_age_us = now - self.freshness.confirmed_at(),
            "reconnecting to the control feed"
        );
        context.metrics.discovery_losses.increment(1);
        self.schedule_timer(context, retry_at);
    }

    fn disconnect(&mut self, context: &mut EdgeContext, io: &mut dyn Io) {
        let current = self.current.take();
        reset(context, current, io);
    }

    /// Applies the feed's address in a configuration that was read again. If it is another one, connects to it; the
    /// event numbers continue.
    pub fn change_address(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        address: &str,
        io: &mut dyn Io,
    ) {
        let has_moved = self.address != address;
        self.reload.apply(has_moved);
        if !has_moved {
            return;
        }
        tracing::info!(address, "control feed address changed");
        self.address = address.to_string();
        self.disconnect(context, io);
        for overdue in std::mem::take(&mut self.overdue) {
            reset(context, Some(overdue), io);
        }
        self.backoff.reset();
        self.next_timer_at = now;
        self.on_timer(context, now, io);
    }

    /// Whether `conn` is a connection of this client.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.is_current(conn) || self.overdue.iter().any(|overdue| overdue.conn == conn)
    }

    fn is_current(&self, conn: ConnectionId) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.conn == conn)
    }

    /// Handles the opening of a connection.
    pub fn on_connected(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        if let Some(current) = &mut self.current {
            current.is_open = true;
        }
        self.poll(context, now, io);
    }

    /// Handles the end of a connection by the feed.
    pub fn on_closed(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) {
        if self.is_current(conn) {
            self.current = None;
            return self.reconnect_later(context, now, &FeedError::Closed, io);
        }
        self.overdue.retain(|overdue| overdue.conn != conn);
    }

    /// Closes a connection on which an answer could not be used.
    pub fn on_invalid_answer(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        conn: ConnectionId,
        error: &FeedError,
        io: &mut dyn Io,
    ) {
        if self.is_current(conn) {
            return self.reconnect_later(context, now, error, io);
        }
        self.end_overdue(context, conn, io);
    }

    /// Receives bytes of an answer. Returns it once it is complete; an overdue connection is then closed, as a later poll
    /// is outstanding.
    ///
    /// # Errors
    /// [`FeedError`]: the answer is too large or malformed, and the connection has to be closed.
    pub fn receive(
        &mut self,
        context: &mut EdgeContext,
        conn: ConnectionId,
        bytes: &[u8],
        io: &mut dyn Io,
    ) -> Result<Option<FeedAnswer>, FeedError> {
        let max_bytes = context.limits.max_feed_answer_bytes;
        let mut connections = self.current.iter_mut().chain(&mut self.overdue);
        let Some(connection) = connections.find(|connection| connection.conn == conn) else {
            return Ok(None);
        };
        let Some(response) = connection.receive(max_bytes, bytes)? else {
            return Ok(None);
        };
        let poll = connection.poll.take();
        let events = self.parse(&response)?;
        if !self.is_current(conn) {
            self.end_overdue(context, conn, io);
        }
        self.backoff.reset();
        Ok(Some(FeedAnswer { events, poll }))
    }

    fn end_overdue(&mut self, context: &mut EdgeContext, conn: ConnectionId, io: &mut dyn Io) {
        let position = self.overdue.iter().position(|overdue| overdue.conn == conn);
        let ended = position.and_then(|position| self.overdue.remove(position));
        reset(context, ended, io);
    }

    fn parse(&self, response: &Response) -> Result<FeedEvents, FeedError> {
        if response.status != STATUS_OK {
            return Err(FeedError::Status(response.status));
        }
        let events = control_feed::read(&response.body, &self.machine_kinds)?;
        Ok(events)
    }
}

fn reset(context: &mut EdgeContext, connection: Option<FeedConnection>, io: &mut dyn Io) {
    if let Some(FeedConnection { conn, .. }) = connection {
        context.connection_owners.remove(&conn);
        io.reset(conn);
    }
}
