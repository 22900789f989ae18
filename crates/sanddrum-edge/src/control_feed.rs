//! The client of the platform's control feed: one long poll is always outstanding. Its events change the endpoint list.

use crate::context::{ConnectionOwner, EdgeContext};
use crate::endpoint_freshness::{EndpointFreshness, FreshnessChange, Poll};
use crate::timers::Timer;
use sanddrum::{EndpointConfirmation, EndpointListKind, Micros};
use sanddrum_net::{ConnectionId, Io, Rng};
use sanddrum_platform::control_feed::{
    self, FeedEvent, FeedEvents, NOTIFIED_AFTER, NOTIFIED_WITHIN,
};
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::Backoff;
use sanddrum_wire::http::{self, HttpError, Response};
use sanddrum_wire::EndpointRecord;
use thiserror::Error;

const STATUS_OK: u16 = 200;

/// Why the connection to the feed is given up.
#[derive(Debug, Error)]
pub(crate) enum FeedError {
    /// No answer came within the poll's wait and the silence that is allowed beyond it, or no connection in time.
    #[error("silent")]
    TimedOut,
    /// The poll could not be written at once.
    #[error("does not read")]
    NotReading,
    /// The other side closed the connection.
    #[error("closed")]
    Closed,
    /// The answer is larger than a list may be.
    #[error("an answer without end")]
    TooLarge,
    /// The answer is not HTTP.
    #[error("{}", .0.reason())]
    Http(HttpError),
    /// The answer has another status than success.
    #[error("status {0}")]
    Status(u16),
    /// The answer is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The answer does not describe events.
    #[error("{0}")]
    Events(String),
}

/// A change of the endpoint list.
pub(crate) struct EndpointChange {
    /// Whether all workers are listed, or only those that have changed.
    pub kind: EndpointListKind,
    /// The workers.
    pub endpoints: Vec<EndpointRecord>,
}

/// Follows the control feed.
pub(crate) struct ControlFeed {
    address: String,
    /// Machine kinds, in the settings' order.
    machine_kinds: Vec<String>,
    /// When the listed workers started.
    start_times: StartTimes,
    /// The number of the last event that was applied; all that a new connection needs.
    last_event: u64,
    /// The last answer counted an event that it did not bring.
    missed_event: bool,
    conn: Option<ConnectionId>,
    received: Vec<u8>,
    /// The poll that has not been answered.
    poll: Option<Poll>,
    freshness: EndpointFreshness,
    /// The connection has not been polled on.
    has_just_connected: bool,
    /// Why the feed was lost, since its last answer.
    last_loss: Option<String>,
    backoff: Backoff,
    rng: Rng,
    /// When to connect, or to give the connection up; timers for earlier instants are obsolete.
    next_check: Micros,
}

impl ControlFeed {
    /// A client that is not connected. `seed` is the seed of the backoff's random draws.
    pub fn new(settings: &LoadedSettings, machine_kinds: Vec<String>, seed: u64) -> Self {
        let backoff = |name: &str| settings.duration_us(&format!("limits.list-retry-{name}-us"));
        ControlFeed {
            address: settings.text("edge.list").to_string(),
            machine_kinds,
            start_times: StartTimes::default(),
            last_event: 0,
            missed_event: false,
            conn: None,
            received: Vec::new(),
            poll: None,
            freshness: EndpointFreshness::new(NOTIFIED_AFTER),
            has_just_connected: false,
            last_loss: None,
            backoff: Backoff::new(backoff("least"), backoff("most")),
            rng: Rng::new(seed),
            next_check: 0,
        }
    }

    /// The list is that of the startup configuration.
    pub fn start(&mut self, now: Micros) {
        self.freshness.start(now);
    }

    /// Until when the endpoint list is confirmed, with the platform's terms on what the feed does not tell.
    pub fn confirmation(&self) -> EndpointConfirmation {
        EndpointConfirmation {
            confirmed_at: self.freshness.confirmed_at(),
            min_notification_delay: NOTIFIED_AFTER,
            max_notification_delay: NOTIFIED_WITHIN,
        }
    }

    /// The number of the last event that was applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Records what an answer shows of the list's age. An answer that leaves an event out shows nothing.
    pub fn record_answer(
        &mut self,
        now: Micros,
        has_events: bool,
        is_delayed: bool,
    ) -> Option<FreshnessChange> {
        let poll = self.poll.take()?;
        if self.missed_event {
            return None;
        }
        self.freshness.answered(now, poll, has_events, is_delayed);
        self.last_loss = None;
        self.freshness.change(now)
    }

    /// Whether the list has become stale since this was last asked, and why the feed was lost.
    pub fn check_freshness(&mut self, now: Micros) -> Option<(FreshnessChange, String)> {
        let change = self.freshness.change(now)?;
        let reason = self.last_loss.clone();
        Some((change, reason.unwrap_or_else(|| "no answer".to_string())))
    }

    /// Applies events, in order and each once. Returns the changes of the endpoint list.
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
            self.start_times.finish_batch(clocks.now);
        }
        changes
    }

    /// Moves on to the last event of an answer. An event that the answer counts and does not bring is polled for once
    /// more. Guards against one that is lost for good; a feed that has nothing to bring is believed then, or it would be
    /// polled without end.
    fn advance(&mut self, events: &FeedEvents) {
        let numbers = events.events.iter().map(|event| event.number);
        let newest = numbers.fold(self.last_event, u64::max);
        let is_missing = newest < events.last_number;
        let gives_up = is_missing && self.missed_event;
        self.last_event = if gives_up { events.last_number } else { newest };
        self.missed_event = is_missing && !gives_up;
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

    /// Connects where that is due. A connection that is there by then has not answered in time and is given up.
    pub fn check(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        if now < self.next_check {
            return;
        }
        if self.conn.is_some() {
            return self.give_up(context, now, &FeedError::TimedOut, io);
        }
        self.received = Vec::new();
        self.poll = None;
        self.has_just_connected = true;
        let conn = io.connect(&self.address);
        context
            .connection_owners
            .insert(conn, ConnectionOwner::Discovery);
        self.conn = Some(conn);
        self.check_at(context, now + context.limits.connect_timeout);
    }

    fn check_at(&mut self, context: &mut EdgeContext, at: Micros) {
        self.next_check = at;
        context.timers.schedule(at, Timer::Discovery);
    }

    /// Polls for the events after the last one.
    pub fn poll(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        let Some(conn) = self.conn else { return };
        let longest_wait = context.limits.feed_poll_wait;
        // The first poll of a connection is answered at once: what has been missed is then known without another wait.
        let wait = if std::mem::take(&mut self.has_just_connected) {
            0
        } else {
            self.freshness.next_wait(longest_wait)
        };
        let request = control_feed::poll_request(&self.address, self.last_event, wait);
        if io.write(conn, &request) < request.len() {
            return self.give_up(context, now, &FeedError::NotReading, io);
        }
        self.poll = Some(Poll { sent_at: now, wait });
        let answer_due = now + longest_wait + context.limits.feed_answer_timeout;
        self.check_at(context, answer_due);
        let stale_at = self.freshness.confirmed_at() + NOTIFIED_AFTER + 1;
        context.timers.schedule(stale_at, Timer::Discovery);
    }

    /// Closes the connection, if there is one, and reconnects after a backoff.
    pub fn give_up(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        error: &FeedError,
        io: &mut dyn Io,
    ) {
        self.disconnect(context, io);
        self.last_loss = Some(error.to_string());
        let until = self.backoff.record_failure(now, 0, self.rng.next_f64());
        tracing::info!(
            reason = "feed-away",
            why = %error,
            wait_us = until - now,
            last_event = self.last_event,
            list_age_us = now - self.freshness.confirmed_at(),
            "reconnecting to the control feed"
        );
        context.metrics.discovery_losses.increment(1);
        self.check_at(context, until);
    }

    fn disconnect(&mut self, context: &mut EdgeContext, io: &mut dyn Io) {
        if let Some(conn) = self.conn.take() {
            context.connection_owners.remove(&conn);
            io.reset(conn);
        }
    }

    /// Follows the feed at another address; the numbers of its events go on.
    pub fn change_address(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        address: &str,
        io: &mut dyn Io,
    ) {
        if self.address == address {
            return;
        }
        tracing::info!(address, "control feed address changed");
        self.address = address.to_string();
        self.disconnect(context, io);
        self.backoff.reset();
        self.next_check = now;
        self.check(context, now, io);
    }

    /// Whether this is the current connection.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.conn == Some(conn)
    }

    /// The connection was closed by the other side.
    pub fn closed(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        self.conn = None;
        self.give_up(context, now, &FeedError::Closed, io);
    }

    /// Receives bytes of an answer. Returns its events once it is complete.
    ///
    /// # Errors
    /// The answer can't be read; the connection is to be given up.
    pub fn receive(
        &mut self,
        max_bytes: usize,
        bytes: &[u8],
    ) -> Result<Option<FeedEvents>, FeedError> {
        self.received.extend_from_slice(bytes);
        let Some((response, _)) = http::parse_response(&self.received).map_err(FeedError::Http)?
        else {
            return match self.received.len() <= max_bytes {
                true => Ok(None),
                false => Err(FeedError::TooLarge),
            };
        };
        let events = self.parse(&response)?;
        self.received = Vec::new();
        self.backoff.reset();
        Ok(Some(events))
    }

    fn parse(&self, response: &Response) -> Result<FeedEvents, FeedError> {
        if response.status != STATUS_OK {
            return Err(FeedError::Status(response.status));
        }
        let json = serde_json::from_slice(&response.body)?;
        control_feed::parse(&json, &self.machine_kinds)
            .map_err(|error| FeedError::Events(error.to_string()))
    }
}
