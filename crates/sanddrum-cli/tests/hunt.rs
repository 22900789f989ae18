//! Faults of the router as a process that were found by going through the rules one by one: each story had failed before.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, RecordType,
};
use sanddrum_lab::faults::{FaultControl, Word};
use sanddrum_platform::frames;
use serde_json::{json, Value};
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;

const A: &str = "00000000000000a1";
const B: &str = "00000000000000b2";

// ---- Clients

/// The largest body, as the protocol allows.
const LARGEST_BODY: usize = 16 * 1024;

#[rstest]
fn requests_that_come_in_turn_on_one_connection_are_all_served() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listen(), listener());
    let router = Router::start("in-turn", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    let requests = 1..=24u16;
    let body = vec![b'x'; LARGEST_BODY];
    for id in requests.clone() {
        let (call, mut out) = (format!("{id:016x}"), Vec::new());
        let pairs = [
            ("SCRIPT_NAME", "/rpc/job"),
            ("HTTP_X_CALL_ID", call.as_str()),
            ("HTTP_X_PATIENCE_MS", "8000"),
            ("HTTP_X_ENTITY", "7f3a9c21e0b4d655"),
            ("HTTP_X_INFO", "memory_mb:100;lanes:40;load_ms:300"),
        ];
        write_begin_request(&mut out, id, true);
        write_stream(&mut out, RecordType::Params, id, &encode_params(&pairs));
        web.send(&out);
    }
    // A record of each body in turn, so that none is whole before all nearly are.
    for id in requests.clone() {
        let mut out = encode_header(RecordType::Stdin, id, body.len()).to_vec();
        out.extend_from_slice(&body);
        web.send(&out);
    }
    requests
        .clone()
        .for_each(|id| web.send(&encode_header(RecordType::Stdin, id, 0)));
    for _ in requests {
        let next = worker.next_request();
        assert_eq!(next.1.body.len(), LARGEST_BODY);
        worker.serve(&next);
        assert_eq!(
            web.response()
                .expect("no connection is closed with requests open")
                .status(),
            "200"
        );
    }
}

// ---- Discovery

#[rstest]
fn a_whole_list_of_the_largest_fleet_is_taken() {
    let ((_first, first_at), (mut second, second_at), (feeds, feed_at)) =
        (listener(), Worker::listen(), listener());
    let router = Router::start("large-list", &feed_at, &first_at, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    // The largest fleet has 3,200 model servers; all of them but one drain.
    let drains = |n: usize| {
        let at = format!("10.{}.{}.9:8080", n / 250, n % 250);
        let mut drains = member(&format!("s-{n:08x}"), &at, "terminating");
        drains["flavor"] = json!("std");
        drains["cell"] = json!(n / 8);
        drains["up_since_ms"] = json!(1_700_000_000_000_i64 + n as i64);
        drains
    };
    let mut members: Vec<Value> = (0..3_200).map(drains).collect();
    members.push(member("stands", &second_at, "in_service"));
    let list = json!({"n": 2, "members": {"revision": 2, "complete": true, "members": members}});
    feed.write_all(&feed_response(2, json!([list]))).unwrap();
    assert_eq!(
        next_poll(&mut feed),
        2,
        "the list is taken, and the next one asked for"
    );
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let next = second.next_request();
    second.serve(&next);
    assert_eq!(web.response().unwrap().status(), "200");
}

#[rstest]
fn a_configuration_that_is_half_written_at_its_signal_is_read_once_it_is_whole() {
    let ((_worker, worker_at), (feeds, feed_at), (moved, moved_at)) =
        (listener(), listener(), listener());
    let router = Router::start("half-configured", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let whole = configuration(&moved_at, &worker_at, "once").to_string();
    std::fs::write(&router.file, &whole[..whole.len() / 2]).unwrap();
    router.signal("HUP");
    // Its log tells that the half was read.
    wait_until(|| router.logged_so_far().contains("configuration rejected"));
    std::fs::write(&router.file, &whole).unwrap();
    assert_eq!(next_poll(&mut accept(&moved)), 1);
}

// ---- The process

#[rstest]
fn a_log_that_nobody_reads_holds_nobody_up() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listen(), listener());
    let (free, at) = listener();
    drop(free);
    let mut json = configuration(&feed_at, &worker_at, "once");
    json["listen"] = json!(at);
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-log-{}.json", std::process::id()));
    std::fs::write(&file, json.to_string()).unwrap();
    let mut command = Router::command(&file);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let unread = child.stderr.take().unwrap();
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&at);
    // At this level some lines a request are logged, far more in all than a pipe holds.
    for n in 1..=400u64 {
        web.send_request(1, &format!("{n:016x}"));
        let next = worker.next_request();
        worker.serve(&next);
        assert_eq!(web.response().unwrap().status(), "200");
    }
    child.kill().unwrap();
    child.wait().unwrap();
    drop(unread);
    std::fs::remove_file(file).unwrap();
}

#[rstest]
fn a_second_signal_to_end_takes_no_request_with_it() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listen(), listener());
    let mut router = Router::start("twice", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let out = worker.next_request();
    router.signal("TERM");
    // Two that come together are one; the second comes once the first is heard.
    wait_until(|| router.logged_so_far().contains("graceful shutdown started"));
    router.signal("TERM");
    web.send_request(2, B);
    let also = worker.next_request();
    std::thread::sleep(Duration::from_millis(50));
    worker.send(
        out.0,
        &frames::response(97, out.1.id, "remark=hot", &out.1.body),
    );
    worker.serve(&also);
    assert_eq!(web.response().unwrap().status(), "200");
    assert_eq!(web.response().unwrap().status(), "200");
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

// ---- System calls that fail

#[rstest]
fn a_router_that_can_make_no_socket_for_a_moment_starts_all_the_same() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listen(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-socket-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    faults.set(Word::Socket, 1_000_000).unwrap();
    let starts = std::thread::spawn({
        let configuration = configuration(&feed_at, &worker_at, "once");
        move || {
            let router = Router::start_with("no-socket", &configuration, Some(&faults));
            (router, faults)
        }
    });
    // The block is a file: it is opened anew here to see that the fault has come, and to end it.
    let control = FaultControl::open(&file).unwrap();
    wait_until(|| control.get(Word::SocketsFailed).unwrap() > 0);
    control.set(Word::Socket, 0).unwrap();
    let (router, _faults) = starts.join().unwrap();
    next_poll(&mut accept(&feeds));
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(web.response().unwrap().status(), "200");
}

#[rstest]
fn a_poller_that_fails_for_a_while_ends_no_router_and_takes_no_request_with_it() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listen(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-poller-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    let router = Router::start_with(
        "poller",
        &configuration(&feed_at, &worker_at, "once"),
        Some(&faults),
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let out = worker.next_request();
    faults.set(Word::Control, 1_000_000).unwrap();
    faults.set(Word::Wait, 1_000_000).unwrap();
    wait_until(|| faults.get(Word::ControlsFailed).unwrap() >= 20);
    faults.set(Word::Wait, 0).unwrap();
    faults.set(Word::Control, 0).unwrap();
    worker.serve(&out);
    assert_eq!(web.response().unwrap().status(), "200");
    // A new client, too: its listener is watched still.
    let mut new = WebServer::connect(&router.address);
    new.send_request(1, B);
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(new.response().unwrap().status(), "200");
}
