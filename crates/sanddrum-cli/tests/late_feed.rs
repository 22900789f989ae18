//! A poll of the control feed that is answered after the router has polled again on a new connection (review, case 8).

mod router_harness;

use router_harness::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;

const CALL: &str = "00000000000000a1";

/// A router whose poll was silent for so long that it has polled again. Returns the connections of both polls, and the
/// worker at its address in the configuration and at another one.
struct RepeatedPoll {
    _router: Router,
    web: WebServer,
    worker: Worker,
    moved_worker: Worker,
    moved: Value,
    moved_back: Value,
    silent: TcpStream,
    repeated: TcpStream,
}

impl RepeatedPoll {
    fn start(name: &str) -> RepeatedPoll {
        let (worker, address) = Worker::listen();
        let (moved_worker, moved_address) = Worker::listen();
        let (feeds, feed_address) = listener();
        let router = Router::start(name, &feed_address, &address, "once");
        let mut silent = accept(&feeds);
        assert_eq!(next_poll(&mut silent), 1);
        let mut repeated = accept(&feeds);
        assert_eq!(next_poll(&mut repeated), 1);
        RepeatedPoll {
            web: WebServer::connect(&router.address),
            _router: router,
            worker,
            moved_worker,
            moved: event(2, member("w", &moved_address, "in_service")),
            moved_back: event(3, member("w", &address, "in_service")),
            silent,
            repeated,
        }
    }

    /// Answers the silent poll after all, and waits until the router has handled that and ended the connection.
    fn answer_late(&mut self, last: u64, events: Value) {
        self.silent.write_all(&feed_response(last, events)).unwrap();
        let mut byte = [0];
        assert!(!matches!(self.silent.read(&mut byte), Ok(1)));
    }
}

#[rstest]
fn the_late_response_to_a_silent_poll_is_applied_and_its_event_not_applied_again() {
    let mut polls = RepeatedPoll::start("watch-silent");
    let moved = polls.moved.clone();
    polls.answer_late(2, json!([moved]));
    let response = feed_response(2, json!([moved]));
    polls.repeated.write_all(&response).unwrap();
    assert_eq!(next_poll(&mut polls.repeated), 2);
    polls.web.send_request(1, CALL);
    polls.moved_worker.next_request();
}

#[rstest]
fn the_late_response_to_a_silent_poll_undoes_no_later_event() {
    let mut polls = RepeatedPoll::start("watch-overtaken");
    let (moved, moved_back) = (polls.moved.clone(), polls.moved_back.clone());
    let response = feed_response(3, json!([moved, moved_back]));
    polls.repeated.write_all(&response).unwrap();
    assert_eq!(next_poll(&mut polls.repeated), 3);
    polls.answer_late(2, json!([moved]));
    polls.web.send_request(1, CALL);
    polls.worker.next_request();
}
