//! Regression tests of the router process, one for each fault that a systematic review of the rules found. Each test
//! failed before its fault was fixed.

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

/// Maximum size of a request body in the protocol.
const MAX_BODY_BYTES: usize = 16 * 1024;

#[rstest]
fn requests_with_interleaved_bodies_on_one_connection_are_all_served() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start("in-turn", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    let requests = 1..=24u16;
    let body = vec![b'x'; MAX_BODY_BYTES];
    for id in requests.clone() {
        let (call_id, mut out) = (format!("{id:016x}"), Vec::new());
        let pairs = [
            ("SCRIPT_NAME", "/rpc/job"),
            ("HTTP_X_CALL_ID", call_id.as_str()),
            ("HTTP_X_PATIENCE_MS", "8000"),
            ("HTTP_X_ENTITY", "7f3a9c21e0b4d655"),
            ("HTTP_X_INFO", "memory_mb:100;lanes:40;load_ms:300"),
        ];
        write_begin_request(&mut out, id, true);
        write_stream(&mut out, RecordType::Params, id, &encode_params(&pairs));
        web.send(&out);
    }
    // First all bodies, then all ends of bodies, so that no request is complete before all bodies have been sent.
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
        assert_eq!(next.1.body.len(), MAX_BODY_BYTES);
        worker.serve(&next);
        assert_eq!(
            web.response()
                .expect("a connection with open requests is not closed")
                .status(),
            "200"
        );
    }
}

// ---- Discovery

#[rstest]
fn a_full_list_of_the_largest_fleet_is_accepted() {
    let ((_first, first_address), (mut second, second_address), (feeds, feed_address)) =
        (listener(), Worker::listen(), listener());
    let router = Router::start("large-list", &feed_address, &first_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    // The largest fleet has 3,200 model servers, which drain here; one further server is in service.
    let draining_member = |n: usize| {
        let address = format!("10.{}.{}.9:8080", n / 250, n % 250);
        let mut draining = member(&format!("s-{n:08x}"), &address, "terminating");
        draining["flavor"] = json!("std");
        draining["cell"] = json!(n / 8);
        draining["up_since_ms"] = json!(1_700_000_000_000_i64 + n as i64);
        draining
    };
    let mut members: Vec<Value> = (0..3_200).map(draining_member).collect();
    members.push(member("s-in-service", &second_address, "in_service"));
    let list = json!({"n": 2, "members": {"revision": 2, "complete": true, "members": members}});
    feed.write_all(&feed_response(2, json!([list]))).unwrap();
    assert_eq!(
        next_poll(&mut feed),
        2,
        "the list is accepted, and the next change is requested"
    );
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let next = second.next_request();
    second.serve(&next);
    assert_eq!(web.response().unwrap().status(), "200");
}

#[rstest]
fn a_configuration_half_written_at_sighup_is_applied_once_it_is_complete() {
    let ((_worker, worker_address), (feeds, feed_address), (moved, moved_address)) =
        (listener(), listener(), listener());
    let router = Router::start("half-configured", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let complete = configuration(&moved_address, &worker_address, "once").to_string();
    std::fs::write(&router.file, &complete[..complete.len() / 2]).unwrap();
    router.signal("HUP");
    // The log shows that the incomplete file was read.
    wait_until(|| router.logged_so_far().contains("configuration rejected"));
    std::fs::write(&router.file, &complete).unwrap();
    assert_eq!(next_poll(&mut accept(&moved)), 1);
}

// ---- The process

#[rstest]
fn an_unread_log_does_not_block_requests() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    // Binding and closing a listener finds a free port for the router.
    let (closed, address) = listener();
    drop(closed);
    let mut json = configuration(&feed_address, &worker_address, "once");
    json["listen"] = json!(address);
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-log-{}.json", std::process::id()));
    std::fs::write(&file, json.to_string()).unwrap();
    let mut command = Router::command(&file);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let unread_log = child.stderr.take().unwrap();
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&address);
    // Several lines per request are logged at this level, far more in total than a pipe buffers.
    for n in 1..=400u64 {
        web.send_request(1, &format!("{n:016x}"));
        let next = worker.next_request();
        worker.serve(&next);
        assert_eq!(web.response().unwrap().status(), "200");
    }
    child.kill().unwrap();
    child.wait().unwrap();
    drop(unread_log);
    std::fs::remove_file(file).unwrap();
}

/// The message of the line that a switch of the debug log leaves.
const SWITCHED: &str = "debug log switched";

/// Guards against an incident that the default log can't explain while the process runs on.
#[rstest]
fn sigusr2_turns_the_debug_log_on_and_off() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start_with_default_log("debug", &feed_address, &worker_address);
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    for n in 1..=3 {
        web.send_request(1, &format!("{n:016x}"));
        let next = worker.next_request();
        worker.serve(&next);
        assert_eq!(web.response().unwrap().status(), "200");
        router.signal("USR2");
        // The log is read by another thread: all lines before this one have been read as well.
        wait_until(|| router.logged_so_far().matches(SWITCHED).count() == n);
    }
    let log = router.logged_so_far();
    let accepted = log
        .split(SWITCHED)
        .map(|lines| lines.matches("request accepted").count());
    let accepted: Vec<usize> = accepted.take(3).collect();
    assert_eq!(
        accepted,
        [0, 1, 0],
        "before the first signal, then, after the second"
    );
}

#[rstest]
fn a_second_sigterm_does_not_abort_open_requests() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut router = Router::start("twice", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let first = worker.next_request();
    router.signal("TERM");
    // Two pending signals would be merged into one, so the second is sent after the first has been handled.
    wait_until(|| router.logged_so_far().contains("graceful shutdown started"));
    router.signal("TERM");
    web.send_request(2, B);
    let second = worker.next_request();
    std::thread::sleep(Duration::from_millis(50));
    worker.send(
        first.0,
        &frames::response(97, first.1.id, "remark=hot", &first.1.body),
    );
    worker.serve(&second);
    assert_eq!(web.response().unwrap().status(), "200");
    assert_eq!(web.response().unwrap().status(), "200");
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

// ---- System calls that fail

#[rstest]
fn a_router_starts_although_socket_creation_fails_at_first() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-socket-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    faults.set(Word::Socket, 1_000_000).unwrap();
    let startup = std::thread::spawn({
        let configuration = configuration(&feed_address, &worker_address, "once");
        move || {
            let router = Router::start_with("no-socket", &configuration, Some(&faults));
            (router, faults)
        }
    });
    // The fault settings are shared through a file, which is opened again here to wait for the fault and to end it.
    let control = FaultControl::open(&file).unwrap();
    wait_until(|| control.get(Word::SocketsFailed).unwrap() > 0);
    control.set(Word::Socket, 0).unwrap();
    let (router, _faults) = startup.join().unwrap();
    next_poll(&mut accept(&feeds));
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(web.response().unwrap().status(), "200");
}

#[rstest]
fn a_temporary_poller_failure_ends_neither_the_router_nor_open_requests() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-hunt-poller-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    let router = Router::start_with(
        "poller",
        &configuration(&feed_address, &worker_address, "once"),
        Some(&faults),
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let open = worker.next_request();
    faults.set(Word::Control, 1_000_000).unwrap();
    faults.set(Word::Wait, 1_000_000).unwrap();
    wait_until(|| faults.get(Word::ControlsFailed).unwrap() >= 20);
    faults.set(Word::Wait, 0).unwrap();
    faults.set(Word::Control, 0).unwrap();
    worker.serve(&open);
    assert_eq!(web.response().unwrap().status(), "200");
    // A new client is served as well, so the listener is still polled.
    let mut new_client = WebServer::connect(&router.address);
    new_client.send_request(1, B);
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(new_client.response().unwrap().status(), "200");
}
