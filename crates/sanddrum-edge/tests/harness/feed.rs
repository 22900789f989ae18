//! Answers and polls of the platform's control feed.

use super::scripted_module::Decision;
use super::{EdgeHarness, SECOND};
use sanddrum::Micros;
use sanddrum_net::{ConnectionId, Event};
use sanddrum_wire::http;
use serde_json::{json, Value as Json};

/// The feed's address.
const FEED: &str = "127.0.0.1:8090";

/// A worker in the feed's format.
pub fn member(id: &str, phase: &str) -> Json {
    json!({"id": id, "host_port": "10.0.0.1:7001", "locality": "a", "phase": phase, "size": 4, "up_since_ms": 0})
}

/// An event that changes one worker.
pub fn member_event(number: u64, member: Json) -> Json {
    json!({"n": number, "members": {"complete": false, "members": [member]}})
}

/// An answer of the feed that contains `events` and reports `last` as the number of its last event.
pub fn feed_answer(last: u64, events: Json) -> Vec<u8> {
    let body = json!({"n": last, "events": events}).to_string();
    http::encode_response(200, &[], body.as_bytes(), true)
}

impl EdgeHarness {
    /// Delivers an answer of the feed with these events.
    pub fn receive_events(&mut self, last: u64, events: Json) {
        self.receive(self.discovery, &feed_answer(last, events));
    }

    /// Delivers an answer of the feed with one event that changes one worker.
    pub fn receive_member(&mut self, number: u64, member: Json) {
        self.receive_events(number, json!([member_event(number, member)]));
    }

    /// Has the module make these decisions now, by delivering a feed event, which runs it.
    pub fn decide_on_event(&mut self, number: u64, decisions: impl IntoIterator<Item = Decision>) {
        self.plan(decisions);
        self.receive_member(number, member("w", "in_service"));
    }

    /// Until when the endpoint list was last reported as confirmed.
    pub fn confirmed_at(&self) -> Micros {
        let script = self.script.borrow();
        script.confirmations.last().unwrap().confirmed_at
    }

    /// The connections to the feed, oldest first.
    pub fn feed_connections(&self) -> Vec<ConnectionId> {
        let connects = self.io.connects.iter();
        connects
            .filter(|(_, to)| to == FEED)
            .map(|(conn, _)| *conn)
            .collect()
    }

    /// Advances the clock while no poll is answered, and opens the connections to the feed.
    pub fn leave_polls_unanswered(&mut self, duration: Micros) {
        let until = self.now + duration;
        let mut opened = self.feed_connections().len();
        while self.now < until {
            self.advance(SECOND / 20);
            for conn in self.feed_connections().split_off(opened) {
                opened += 1;
                self.event(Event::Connected { conn });
            }
        }
    }

    /// The request lines of all polls, in the order of their connections.
    pub fn polls(&self) -> Vec<String> {
        let connections = self.io.connects.iter().map(|(conn, _)| conn);
        let written = connections.filter_map(|conn| self.io.written.get(conn));
        let texts: Vec<_> = written
            .map(|bytes| String::from_utf8_lossy(bytes))
            .collect();
        let lines = texts.iter().flat_map(|text| text.lines());
        lines
            .filter(|line| line.starts_with("GET"))
            .map(String::from)
            .collect()
    }

    /// The request line of the last poll on the feed's first connection.
    pub fn last_poll(&self) -> String {
        let text = String::from_utf8_lossy(&self.io.written[&self.discovery]);
        let poll = text.lines().rfind(|line| line.starts_with("GET"));
        poll.unwrap().to_string()
    }
}
