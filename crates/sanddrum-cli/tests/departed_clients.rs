//! Clients that close their connection: nothing may be sent on for them afterwards, and what they sent may not run twice.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, RecordType};
use std::time::Duration;

const DEPARTED: &str = "00000000000000a1";
const USUAL: &str = "00000000000000b2";
const STALL: Duration = Duration::from_millis(300);

/// A small request that is answered at once, as it has no id.
fn invalid_request() -> Vec<u8> {
    let mut out = Vec::new();
    write_begin_request(&mut out, 2, true);
    let pairs = [("SCRIPT_NAME", "/rpc/job")];
    write_stream(&mut out, RecordType::Params, 2, &encode_params(&pairs));
    write_stream(&mut out, RecordType::Stdin, 2, b"");
    out
}

/// Guards against requests of a client that has closed its connection while much of its input was unread: they were sent
/// on, as the end of the connection was behind more input than is read at a time.
#[rstest]
fn a_request_is_not_sent_on_for_a_client_that_left_with_much_unread() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start("left-unread", &feed_address, &worker_address, "once");
    next_poll(&mut accept(&feeds));
    let mut usual = WebServer::connect(&router.address);
    usual.send_request(1, "00000000000000ff");
    let first = worker.next_request();
    worker.serve(&first);
    assert_eq!(usual.response().unwrap().status(), "200");

    let mut departed = WebServer::connect(&router.address);
    router.stall();
    departed.send_request(1, DEPARTED);
    departed.send_as_much_as_possible(&invalid_request().repeat(1_000));
    drop(departed);
    std::thread::sleep(STALL);
    router.resume();
    usual.send_request(1, USUAL);
    let next = worker.next_request();
    assert_eq!(
        next.1.body,
        USUAL.as_bytes(),
        "a request was sent on for a client that had left"
    );
    worker.serve(&next);
    assert_eq!(usual.response().unwrap().status(), "200");
}
