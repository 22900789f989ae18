//! A router that gets no processor for a while, as one that was stopped and continued: what came meanwhile lies together in
//! the kernel's buffers and is judged by when it came, as far as that can be known, not by when it is read.

mod steered;

use rstest::rstest;
use std::time::{Duration, Instant};
use steered::*;

const LEFT: &str = "00000000000000a1";
const STAYS: &str = "00000000000000b2";
/// What a model server may be told beyond what the client has left.
const SLACK: Duration = Duration::from_millis(150);
const STALL: Duration = Duration::from_millis(600);

/// On which connection a client asks while the router stands still.
#[derive(Clone, Copy, PartialEq, Eq)]
enum On {
    Kept,
    New,
}

/// How a client goes while the router stands still.
#[derive(Clone, Copy)]
enum Goes {
    Closes,
    Withdraws,
}

fn stalled_router(name: &str) -> (Router, Worker, Web, std::net::TcpStream) {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let router = Router::start(name, &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    // A connection that has served before, and a worker that is known to be warm.
    let mut kept = Web::connects(&router.at);
    kept.calls(1, "00000000000000ff");
    let first = worker.request();
    worker.serve(&first);
    assert_eq!(kept.answer().unwrap().status(), "200");
    router.stall();
    (router, worker, kept, feed)
}

#[rstest]
fn a_client_that_asked_and_left_during_a_stall_gets_no_attempt(
    #[values(On::Kept, On::New)] on: On,
    #[values(Goes::Closes, Goes::Withdraws)] goes: Goes,
) {
    let name = format!("left-{}-{}", on as u8, goes as u8);
    let (router, mut worker, kept, _feed) = stalled_router(&name);
    let mut client = if on == On::Kept {
        kept
    } else {
        Web::connects(&router.at)
    };
    client.calls(2, LEFT);
    let client = match goes {
        Goes::Closes => {
            drop(client);
            None
        }
        Goes::Withdraws => {
            client.withdraws(2);
            Some(client)
        }
    };
    std::thread::sleep(Duration::from_millis(250));
    router.resume();
    let mut stays = Web::connects(&router.at);
    stays.calls(1, STAYS);
    let next = worker.request();
    assert_eq!(
        next.1.body,
        STAYS.as_bytes(),
        "an attempt for a client that had left"
    );
    worker.serve(&next);
    assert_eq!(stays.answer().unwrap().status(), "200");
    drop(client);
}

#[rstest]
fn a_deadline_passed_on_after_a_stall_is_what_the_client_has_left(
    #[values(On::Kept, On::New)] on: On,
) {
    let (router, mut worker, kept, _feed) = stalled_router(&format!("deadline-{}", on as u8));
    let mut client = if on == On::Kept {
        kept
    } else {
        Web::connects(&router.at)
    };
    let (sent, patience) = (Instant::now(), Duration::from_millis(3000));
    client.says(&asks(2, STAYS, patience.as_millis() as u32, b"in"));
    std::thread::sleep(STALL);
    router.resume();
    let next = worker.request();
    let left = patience.saturating_sub(sent.elapsed());
    assert!(
        deadline(&next.1) <= left + SLACK,
        "{:?} where {left:?} are left",
        deadline(&next.1)
    );
    worker.serve(&next);
    assert_eq!(client.answer().unwrap().status(), "200");
}

#[rstest]
fn a_deadline_passed_on_over_a_slow_dial_is_what_the_client_has_left() {
    let ((listener, worker_at, full), (feeds, feed_at)) = (full_listener(), listener());
    let mut configuration = configuration(&feed_at, &worker_at, "once");
    configuration["settings"]["limits"]["connect-timeout-us"] = serde_json::json!(3_000_000);
    // The request itself goes on the connection that is being made, with no order before it.
    configuration["settings"]["family-info"] =
        serde_json::json!({"if-cold": "load", "idle-life-us": 9_000_000});
    let router = Router::start_with("slow-dial", &configuration, None);
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut client = Web::connects(&router.at);
    let (sent, patience) = (Instant::now(), Duration::from_millis(8000));
    client.says(&asks(1, STAYS, patience.as_millis() as u32, b"in"));
    std::thread::sleep(STALL);
    // Room at last: the dial comes up, at the latest when it is tried again by the kernel.
    drop(full);
    let mut worker = Worker::at(listener);
    let next = worker.request();
    let left = patience.saturating_sub(sent.elapsed());
    assert!(
        deadline(&next.1) <= left + SLACK,
        "{:?} where {left:?} are left",
        deadline(&next.1)
    );
    worker.serve(&next);
    assert_eq!(client.answer().unwrap().status(), "200");
}

#[rstest]
fn a_request_that_waits_unread_keeps_its_connection_though_a_new_client_wants_the_place() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let mut configuration = configuration(&feed_at, &worker_at, "once");
    configuration["limits"]["sockets"] = serde_json::json!(64);
    let places = 64 / 3;
    let router = Router::start_with("place", &configuration, None);
    let mut feed = accept(&feeds);
    question(&mut feed);
    // As many as there are places for, each with a request behind it; the first has been idle for longest.
    let mut clients: Vec<Web> = (0..places).map(|_| Web::connects(&router.at)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.calls(1, &format!("{:016x}", n + 1));
        let next = worker.request();
        worker.serve(&next);
        assert_eq!(client.answer().unwrap().status(), "200");
    }
    router.stall();
    let mut new = Web::connects(&router.at);
    new.calls(1, LEFT);
    clients[0].calls(2, STAYS);
    std::thread::sleep(Duration::from_millis(200));
    router.resume();
    for _ in 0..2 {
        let next = worker.request();
        worker.serve(&next);
    }
    assert_eq!(new.answer().unwrap().status(), "200");
    assert_eq!(
        clients[0]
            .answer()
            .expect("not closed with its request unread")
            .status(),
        "200"
    );
}

#[rstest]
fn a_request_that_waits_unread_past_the_end_of_a_shutdown_is_answered() {
    let ((_worker, worker_at), (_feeds, feed_at)) = (listener(), listener());
    let mut settings = configuration(&feed_at, &worker_at, "repeatable");
    // The shutdown ends 0.6 s after the longest deadline.
    settings["settings"]["classes"][0]["deadline-us"] = serde_json::json!(1_000_000);
    settings["settings"]["classes"][0]["aim-us"] = serde_json::json!(500_000);
    let router = Router::start_with("end-stalled", &settings, None);
    let mut web = Web::connects(&router.at);
    web.calls(1, "00000000000000e1");
    assert!(web.answer().is_some());
    router.signal("TERM");
    until(|| router.said_so_far().contains("graceful shutdown started"));
    router.stall();
    web.calls(2, "00000000000000e2");
    std::thread::sleep(Duration::from_millis(2_000));
    router.resume();
    let answer = web.answer();
    assert_eq!(answer.map(|answer| answer.id), Some(2));
}
