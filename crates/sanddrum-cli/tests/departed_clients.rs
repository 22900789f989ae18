//! Clients that close their connection: nothing may be sent on for them afterwards, and what they sent may not run twice.

mod measured_traffic;
mod router_harness;

use measured_traffic::SelfServingWorker;
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

/// When the first request of an id has its client leave.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Leaves {
    /// While the worker runs it.
    Running,
    /// After the worker has answered it.
    Answered,
}

/// Guards against an effect that happens twice: an id that came again after its client had left was taken for a new
/// request and ran once more.
#[rstest]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice(
    #[values("once", "by_key")] effect: &str,
    #[values(Leaves::Running, Leaves::Answered)] leaves: Leaves,
) {
    let ((workers, worker_address), (feeds, feed_address)) = (listener(), listener());
    let worker = SelfServingWorker::start(workers, Duration::from_millis(300));
    let name = format!("again-{effect}-{}", leaves as u8);
    let router = Router::start(&name, &feed_address, &worker_address, effect);
    next_poll(&mut accept(&feeds));
    let mut departed = WebServer::connect(&router.address);
    departed.send_request(1, DEPARTED);
    wait_until(|| worker.received().len() == 1);
    if leaves == Leaves::Answered {
        assert_eq!(departed.response().unwrap().status(), "200");
    }
    drop(departed);
    if leaves == Leaves::Running {
        wait_until(|| router.logged_so_far().contains("cancelled by its client"));
    }

    let mut again = WebServer::connect(&router.address);
    again.send_request(1, DEPARTED);
    let response = again.response().unwrap();
    assert_eq!(worker.received().len(), 1, "the id ran again: {response:?}");
    assert_eq!(response.status(), "409");
    again.send_request(1, USUAL);
    assert_eq!(again.response().unwrap().status(), "200");
}

/// Guards against two attempts of one id at once: where a request may run again, an id that came again was sent on while
/// the worker had not yet read that the first attempt was cancelled.
#[rstest]
fn an_id_that_may_run_again_waits_for_the_end_of_its_first_attempt() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start("again-safe", &feed_address, &worker_address, "repeatable");
    next_poll(&mut accept(&feeds));
    let mut departed = WebServer::connect(&router.address);
    departed.send_request(1, DEPARTED);
    worker.next_request();
    drop(departed);
    wait_until(|| router.logged_so_far().contains("cancelled by its client"));

    let mut again = WebServer::connect(&router.address);
    again.send_request(1, DEPARTED);
    let refused = again.response().unwrap();
    assert_eq!(refused.status(), "503");
    assert!(refused.text.contains("X-Come-Back-Ms"), "{}", refused.text);
    assert_eq!(worker.try_next_request(), None, "two attempts at once");
    // The worker answers what the router asked after the cancellation.
    while !router.logged_so_far().contains("attempt ended") {
        assert_eq!(worker.try_next_request(), None, "two attempts at once");
        std::thread::yield_now();
    }
    again.send_request(1, DEPARTED);
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(again.response().unwrap().status(), "200");
}
