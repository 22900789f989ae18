//! Following the platform's control feed: one question always outstanding, asked again at once. What comes out are rows,
//! taken up as those of the list service.

use crate::{Inner, Owner};
use sanddrum::{EndpointListKind, Micros};
use sanddrum_net::{ConnectionId, Event, Io};
use sanddrum_platform::control_feed::{self, FeedEvents};
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_wire::http;

pub(crate) struct Feed {
    address: String,
    kinds: Vec<String>,
    /// When the listed servers started.
    starts: StartTimes,
    /// The last event held; its number is the only thing that a new connection needs.
    last: u64,
    /// The last answer counted an event that it did not bring.
    behind: bool,
    bytes: Vec<u8>,
}

impl Feed {
    pub fn new(address: &str, kinds: Vec<String>) -> Self {
        let starts = StartTimes::default();
        Feed {
            address: address.to_string(),
            kinds,
            starts,
            last: 0,
            behind: false,
            bytes: Vec::new(),
        }
    }
}

impl Inner {
    /// Takes up events, in order, each once.
    pub(crate) fn take_told(&mut self, clocks: ClockReading, told: FeedEvents) {
        let Some(feed) = &mut self.feed else { return };
        let now = clocks.now;
        feed.starts.observe_clocks(clocks);
        let held = feed.last;
        let newest = told
            .events
            .iter()
            .map(|change| change.number)
            .max()
            .unwrap_or(held)
            .max(held);
        // An event that an answer counts and does not bring is asked for once more. Guards against one lost for good;
        // a feed that has nothing to bring is believed then, or it would be asked without end.
        let behind = newest < told.last_number;
        feed.last = if behind && feed.behind {
            told.last_number
        } else {
            newest
        };
        feed.behind = behind && feed.last < told.last_number;
        for change in told
            .events
            .into_iter()
            .filter(|change| change.number > held)
        {
            let (Some(list), Some(feed)) = (change.members, &mut self.feed) else {
                continue;
            };
            let rows = feed
                .starts
                .endpoints(now, list.members, list.is_full_snapshot);
            let kind = if list.is_full_snapshot {
                EndpointListKind::Full
            } else {
                EndpointListKind::Delta
            };
            self.take_rows(now, kind, &rows);
            self.list.forget_gone();
        }
        if let Some(feed) = self.feed.as_mut().filter(|feed| !feed.behind) {
            feed.starts.finish_batch(now);
        }
    }

    /// Asks the feed; where it does not answer in time it is called anew.
    pub(crate) fn call_feed(&mut self, now: Micros, io: &mut dyn Io) {
        if now < self.list.next {
            return;
        }
        if self.list.conn.is_some() {
            return self.feed_lost(now, "silent", io);
        }
        let Some(feed) = &mut self.feed else { return };
        feed.bytes = Vec::new();
        let conn = io.connect(&feed.address);
        self.owners.insert(conn, Owner::List);
        self.list.conn = Some(conn);
        self.list.up = false;
        self.look_at_list_at(now + self.limits.connect_time_out);
    }

    fn ask_feed(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(feed) = &mut self.feed else { return };
        let question = control_feed::poll_request(&feed.address, feed.last, self.limits.feed_wait);
        if io.write(conn, &question) < question.len() {
            return self.feed_lost(now, "does not read", io);
        }
        self.look_at_list_at(now + self.limits.feed_wait + self.limits.feed_silence);
    }

    fn feed_lost(&mut self, now: Micros, why: &str, io: &mut dyn Io) {
        if let Some(conn) = self.list.conn.take() {
            self.owners.remove(&conn);
            io.reset(conn);
        }
        let until = self.list.backoff.record_failure(now, 0, self.chance.unit());
        tracing::info!(
            reason = "feed-away",
            why,
            wait_us = until - now,
            "the control feed is called anew"
        );
        self.figures.list_losses.increment(1);
        self.look_at_list_at(until);
    }

    /// The feed has moved; its numbers go on.
    pub(crate) fn feed_moved(&mut self, now: Micros, address: &str, io: &mut dyn Io) {
        let Some(feed) = self.feed.as_mut().filter(|feed| feed.address != address) else {
            return;
        };
        tracing::info!(address, "the control feed has moved");
        feed.address = address.to_string();
        if let Some(conn) = self.list.conn.take() {
            self.owners.remove(&conn);
            io.reset(conn);
        }
        self.list.backoff.reset();
        self.list.next = now;
        self.call_feed(now, io);
    }

    pub(crate) fn feed_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        if self.list.conn != Some(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => {
                self.list.up = true;
                self.ask_feed(now, conn, io);
            }
            Event::Bytes { bytes, .. } => {
                let Some(feed) = &mut self.feed else { return };
                feed.bytes.extend_from_slice(bytes);
                let told = match http::parse_response(&feed.bytes) {
                    Ok(None) if feed.bytes.len() <= self.limits.largest_list => return,
                    Ok(None) => Err("an answer without end".to_string()),
                    Ok(Some((answer, _))) if answer.status != 200 => {
                        Err(format!("status {}", answer.status))
                    }
                    Ok(Some((answer, _))) => serde_json::from_slice(&answer.body)
                        .map_err(|e| e.to_string())
                        .and_then(|json| {
                            control_feed::parse(&json, &feed.kinds).map_err(|e| e.to_string())
                        }),
                    Err(bad) => Err(bad.reason().to_string()),
                };
                match told {
                    Err(why) => self.feed_lost(now, &why, io),
                    Ok(told) => {
                        feed.bytes = Vec::new();
                        self.list.backoff.reset();
                        self.take_told(
                            ClockReading {
                                now,
                                wall: io.wall_clock(now),
                            },
                            told,
                        );
                        self.ask_feed(now, conn, io);
                    }
                }
            }
            Event::Closed { .. } => {
                self.list.conn = None;
                self.feed_lost(now, "closed", io);
            }
            Event::Accepted { .. } | Event::Writable { .. } => {}
        }
    }
}
