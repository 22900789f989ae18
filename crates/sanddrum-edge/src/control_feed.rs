//! Following the platform's control feed: one question always outstanding, asked again at once. What comes out are rows,
//! taken up as those of the list service.

use crate::{EdgeState, Owner};
use sanddrum::{EndpointListKind, Micros};
use sanddrum_net::{ConnectionId, Event, Io};
use sanddrum_platform::control_feed::{self, FeedEvents};
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_wire::http;

pub(crate) struct ControlFeed {
    address: String,
    kinds: Vec<String>,
    /// When the listed servers started.
    starts: StartTimes,
    /// The last event held; its number is the only thing that a new connection needs.
    last: u64,
    /// The last answer counted an event that it did not bring.
    is_behind: bool,
    bytes: Vec<u8>,
}

impl ControlFeed {
    pub fn new(address: &str, kinds: Vec<String>) -> Self {
        let starts = StartTimes::default();
        ControlFeed {
            address: address.to_string(),
            kinds,
            starts,
            last: 0,
            is_behind: false,
            bytes: Vec::new(),
        }
    }
}

impl EdgeState {
    /// Takes up events, in order, each once.
    pub(crate) fn apply_feed_events(&mut self, clocks: ClockReading, told: FeedEvents) {
        let Some(control_feed) = &mut self.control_feed else {
            return;
        };
        let now = clocks.now;
        control_feed.starts.observe_clocks(clocks);
        let held = control_feed.last;
        let newest = told
            .events
            .iter()
            .map(|change| change.number)
            .max()
            .unwrap_or(held)
            .max(held);
        // An event that an answer counts and does not bring is asked for once more. Guards against one lost for good;
        // a feed that has nothing to bring is believed then, or it would be asked without end.
        let is_behind = newest < told.last_number;
        control_feed.last = if is_behind && control_feed.is_behind {
            told.last_number
        } else {
            newest
        };
        control_feed.is_behind = is_behind && control_feed.last < told.last_number;
        for change in told
            .events
            .into_iter()
            .filter(|change| change.number > held)
        {
            let (Some(list), Some(control_feed)) = (change.members, &mut self.control_feed) else {
                continue;
            };
            let rows = control_feed
                .starts
                .endpoints(now, list.members, list.is_full_snapshot);
            let kind = if list.is_full_snapshot {
                EndpointListKind::Full
            } else {
                EndpointListKind::Delta
            };
            self.apply_endpoints(now, kind, &rows);
            self.discovery.remove_gone();
        }
        if let Some(control_feed) = self
            .control_feed
            .as_mut()
            .filter(|control_feed| !control_feed.is_behind)
        {
            control_feed.starts.finish_batch(now);
        }
    }

    /// Asks the feed; where it does not answer in time it is called anew.
    pub(crate) fn connect_feed(&mut self, now: Micros, io: &mut dyn Io) {
        if now < self.discovery.next {
            return;
        }
        if self.discovery.conn.is_some() {
            return self.on_feed_lost(now, "silent", io);
        }
        let Some(control_feed) = &mut self.control_feed else {
            return;
        };
        control_feed.bytes = Vec::new();
        let conn = io.connect(&control_feed.address);
        self.connection_owners.insert(conn, Owner::Discovery);
        self.discovery.conn = Some(conn);
        self.discovery.is_connected = false;
        self.schedule_discovery_check(now + self.limits.connect_time_out);
    }

    fn poll_feed(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(control_feed) = &mut self.control_feed else {
            return;
        };
        let question = control_feed::poll_request(
            &control_feed.address,
            control_feed.last,
            self.limits.feed_wait,
        );
        if io.write(conn, &question) < question.len() {
            return self.on_feed_lost(now, "does not read", io);
        }
        self.schedule_discovery_check(now + self.limits.feed_wait + self.limits.feed_silence);
    }

    fn on_feed_lost(&mut self, now: Micros, why: &str, io: &mut dyn Io) {
        if let Some(conn) = self.discovery.conn.take() {
            self.connection_owners.remove(&conn);
            io.reset(conn);
        }
        let until = self
            .discovery
            .backoff
            .record_failure(now, 0, self.rng.next_f64());
        tracing::info!(
            reason = "feed-away",
            why,
            wait_us = until - now,
            "the control feed is called anew"
        );
        self.metrics.discovery_losses.increment(1);
        self.schedule_discovery_check(until);
    }

    /// The feed has moved; its numbers go on.
    pub(crate) fn change_feed_address(&mut self, now: Micros, address: &str, io: &mut dyn Io) {
        let Some(control_feed) = self
            .control_feed
            .as_mut()
            .filter(|control_feed| control_feed.address != address)
        else {
            return;
        };
        tracing::info!(address, "the control feed has moved");
        control_feed.address = address.to_string();
        if let Some(conn) = self.discovery.conn.take() {
            self.connection_owners.remove(&conn);
            io.reset(conn);
        }
        self.discovery.backoff.reset();
        self.discovery.next = now;
        self.connect_feed(now, io);
    }

    pub(crate) fn on_feed_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        if self.discovery.conn != Some(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => {
                self.discovery.is_connected = true;
                self.poll_feed(now, conn, io);
            }
            Event::Bytes { bytes, .. } => {
                let Some(control_feed) = &mut self.control_feed else {
                    return;
                };
                control_feed.bytes.extend_from_slice(bytes);
                let told = match http::parse_response(&control_feed.bytes) {
                    Ok(None) if control_feed.bytes.len() <= self.limits.largest_list => return,
                    Ok(None) => Err("an answer without end".to_string()),
                    Ok(Some((answer, _))) if answer.status != 200 => {
                        Err(format!("status {}", answer.status))
                    }
                    Ok(Some((answer, _))) => serde_json::from_slice(&answer.body)
                        .map_err(|e| e.to_string())
                        .and_then(|json| {
                            control_feed::parse(&json, &control_feed.kinds)
                                .map_err(|e| e.to_string())
                        }),
                    Err(bad) => Err(bad.reason().to_string()),
                };
                match told {
                    Err(why) => self.on_feed_lost(now, &why, io),
                    Ok(told) => {
                        control_feed.bytes = Vec::new();
                        self.discovery.backoff.reset();
                        self.apply_feed_events(
                            ClockReading {
                                now,
                                wall: io.wall_clock(now),
                            },
                            told,
                        );
                        self.poll_feed(now, conn, io);
                    }
                }
            }
            Event::Closed { .. } => {
                self.discovery.conn = None;
                self.on_feed_lost(now, "closed", io);
            }
            Event::Accepted { .. } | Event::Writable { .. } => {}
        }
    }
}
