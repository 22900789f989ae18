//! Forces unfavourable orders of events around a router as a process, with signals and real connections.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use sanddrum_platform::frames;
use serde_json::json;
use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const A: &str = "00000000000000a1";
const B: &str = "00000000000000b2";

// ---- Shutdown

#[rstest]
#[case::that_may_run_only_once("once", "502")]
#[case::that_may_be_repeated("repeatable", "503")]
fn a_shutdown_answers_a_request_whose_worker_is_silent_before_the_process_would_be_killed(
    #[case] effect: &str,
    #[case] status: &str,
) {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut router = Router::start(
        &format!("end-{effect}"),
        &feed_address,
        &worker_address,
        effect,
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send(&encode_request(1, A, 11_000, b"in"));
    worker.next_request();
    let shutdown_start = std::time::Instant::now();
    router.signal("TERM");
    // A partial request that never completes. If its bytes made the router reset the connection, the response would
    // be lost.
    web.send(&encode_request(2, B, 11_000, b"in")[..40]);
    let response = web.response().unwrap();
    assert!(
        shutdown_start.elapsed().as_millis() < 3_700,
        "the process would have been killed before it answered"
    );
    assert_eq!((response.id, response.status()), (1, status));
    assert!(
        web.response().is_none(),
        "the connection is closed normally after the response"
    );
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

#[rstest]
fn a_request_whose_connection_attempt_hangs_at_shutdown_is_answered() {
    let ((_listener, worker_address, _backlog), (feeds, feed_address)) =
        (listener_with_full_backlog(), listener());
    let mut router = Router::start("end-dial", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send(&encode_request(1, A, 11_000, b"in"));
    router.signal("TERM");
    let status = web.response().unwrap().status().to_string();
    assert_eq!(
        status, "503",
        "the request was never sent, so the client may retry it"
    );
    assert!(web.response().is_none());
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

#[rstest]
fn requests_on_an_open_connection_and_partly_read_requests_are_served_during_shutdown() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut router = Router::start("end-open", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let (mut open, mut partial) = (
        WebServer::connect(&router.address),
        WebServer::connect(&router.address),
    );
    open.send_request(1, A);
    let first = worker.next_request();
    worker.serve(&first);
    assert_eq!(open.response().unwrap().status(), "200");
    let bytes = encode_request(1, B, 4000, b"whole");
    partial.send(&bytes[..60]);
    router.signal("TERM");
    open.send_request(2, "00000000000000c3");
    let next = worker.next_request();
    partial.send(&bytes[60..]);
    worker.serve(&next);
    assert_eq!(open.response().unwrap().status(), "200");
    let last = worker.next_request();
    assert_eq!(last.1.body, b"whole");
    worker.serve(&last);
    assert_eq!(partial.response().unwrap().status(), "200");
    assert!(open.response().is_none() && partial.response().is_none());
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

#[rstest]
fn a_partly_written_response_is_completed_before_the_router_exits() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut router = Router::start("end-written", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect_with_small_buffer(&router.address);
    // Larger than the socket buffers on the way; nothing of it is read yet.
    let body = vec![b'x'; 150_000];
    (1..=6).for_each(|id| web.send(&encode_request(id, &format!("{id:016x}"), 11_000, b"in")));
    for served in 0..6 {
        let (n, request) = worker.next_request();
        worker.send(n, &frames::response(97, request.id, "remark=hot", &body));
        if served == 0 {
            router.signal("TERM");
        }
    }
    for _ in 0..6 {
        let response = web.response().unwrap();
        assert!(
            response.status() == "200" && response.text.len() > 150_000,
            "{}",
            response.text.len()
        );
    }
    assert!(web.response().is_none());
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

// ---- Signals

#[rstest]
fn a_signal_before_the_router_is_ready_is_handled_once_it_is(#[values("HUP", "TERM")] which: &str) {
    let ((_worker, worker_address), (feeds, feed_address)) = (listener(), listener());
    // The configuration is a pipe: once it opens for writing, the router has started but has read nothing.
    let file = std::env::temp_dir().join(format!(
        "sanddrum-race-early-{which}-{}",
        std::process::id()
    ));
    assert!(Command::new("mkfifo")
        .arg(&file)
        .status()
        .unwrap()
        .success());
    let child = Router::command(&file).spawn().unwrap();
    let router = Router::from_child(child, file.clone());
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    router.signal(which);
    let text = configuration(&feed_address, &worker_address, "once").to_string();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    // The router listens once it has read the first text. A second one written earlier would be read as part of the
    // first.
    let mut router = router.wait_until_listening();
    // Supplies the text each time the router reads the file again. Once the router has exited, nothing reads from the
    // pipe.
    let writer = file.clone();
    std::thread::spawn(move || loop {
        let open = std::fs::OpenOptions::new().write(true).open(&writer);
        let Ok(mut pipe) = open else { return };
        let _ = pipe.write_all(text.as_bytes());
        drop(pipe);
        std::thread::yield_now();
    });
    assert_eq!(next_poll(&mut accept(&feeds)), 1);
    if which == "HUP" {
        router.signal("TERM");
    }
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

#[rstest]
#[case::reload_just_before(&["HUP", "TERM"])]
#[case::reload_just_after(&["TERM", "HUP"])]
#[case::two_reloads_in_a_row(&["HUP", "HUP", "TERM"])]
fn a_new_configuration_around_a_shutdown_is_applied_and_no_request_is_lost(
    #[case] signals: &[&str],
) {
    let ((mut worker, worker_address), (feeds, feed_address), (moved, moved_address)) =
        (Worker::listen(), listener(), listener());
    let mut router = Router::start(
        &format!("hup-{}", signals.join("-")),
        &feed_address,
        &worker_address,
        "once",
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let request = worker.next_request();
    let text = configuration(&moved_address, &worker_address, "once").to_string();
    std::fs::write(&router.file, text).unwrap();
    signals.iter().for_each(|which| router.signal(which));
    assert_eq!(
        next_poll(&mut accept(&moved)),
        1,
        "the new feed is polled from the same event number"
    );
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

#[rstest]
fn an_invalid_configuration_is_logged_and_the_previous_one_stays_in_force() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut router = Router::start("hup-bad", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    std::fs::write(&router.file, "{\"feed\": 7").unwrap();
    router.signal("HUP");
    feed.write_all(&feed_response(1, json!([]))).unwrap();
    assert_eq!(next_poll(&mut feed), 1);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let request = worker.next_request();
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    router.signal("TERM");
    let log = router.log_until_exit();
    assert!(log.contains("configuration rejected"), "{log}");
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

// ---- Watch on the endpoint list

#[rstest]
#[case::after_a_complete_response(false)]
#[case::within_an_event(true)]
fn events_of_a_feed_that_closes_while_it_answers_are_applied_only_if_complete(
    #[case] is_cut: bool,
) {
    let ((_worker, worker_address), (feeds, feed_address)) = (listener(), listener());
    let _router = Router::start(
        &format!("watch-closes-{is_cut}"),
        &feed_address,
        &worker_address,
        "once",
    );
    let mut feed = accept(&feeds);
    assert_eq!(next_poll(&mut feed), 1);
    let response = feed_response(
        2,
        json!([event(2, member("v", "127.0.0.1:9", "in_service"))]),
    );
    let sent = if is_cut {
        response.len() - 20
    } else {
        response.len()
    };
    feed.write_all(&response[..sent]).unwrap();
    drop(feed);
    assert_eq!(next_poll(&mut accept(&feeds)), if is_cut { 1 } else { 2 });
}

#[rstest]
fn nothing_is_sent_to_a_worker_that_drains_while_its_connection_attempt_hangs() {
    let ((hanging, hanging_address, backlog), (mut worker, worker_address), (feeds, feed_address)) =
        (listener_with_full_backlog(), Worker::listen(), listener());
    let router = Router::start("watch-drain", &feed_address, &hanging_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    // The connection attempt hangs. The worker starts to drain, and another one is announced.
    let events = json!([
        event(2, member("v", &worker_address, "in_service")),
        event(3, member("w", &hanging_address, "terminating"))
    ]);
    feed.write_all(&feed_response(3, events)).unwrap();
    assert_eq!(next_poll(&mut feed), 3);
    let request = worker.next_request();
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    drop(backlog);
    // Connections that still arrive at the draining worker must carry no frames.
    let mut draining = Worker::from_listener(hanging);
    web.send_request(2, B);
    let request = worker.next_request();
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    assert!(draining.received_codes().is_empty());
}

// ---- Attempts

#[rstest]
fn a_request_whose_client_leaves_while_the_connection_attempt_hangs_is_never_sent(
    #[values(false, true)] aborts: bool,
) {
    let ((hanging, hanging_address, backlog), (feeds, feed_address)) =
        (listener_with_full_backlog(), listener());
    let router = Router::start(
        &format!("gone-dial-{aborts}"),
        &feed_address,
        &hanging_address,
        "once",
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut leaves = WebServer::connect(&router.address);
    leaves.send_request(1, A);
    if aborts {
        leaves.abort(1);
        assert_eq!(leaves.response().unwrap().text, "");
    } else {
        // The router has seen this close by the time it handles a request on a later connection.
        drop(leaves);
    }
    let mut stays = WebServer::connect(&router.address);
    stays.send(&encode_request(1, B, 11_000, b"stays"));
    drop(backlog);
    // The first request to arrive, on any connection, is the one whose client still waits.
    let (_, request) = Worker::from_listener(hanging).next_request();
    assert_eq!(request.body, b"stays");
}

#[rstest]
fn a_duplicate_response_does_not_end_another_attempt() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start("twice", &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let (first, request) = worker.next_request();
    let full = frames::response(100, request.id, "", b"");
    worker.send(first, &full);
    // The next attempt uses another connection, because the request's ID is already used on this one.
    let again = worker.next_request();
    assert_eq!(again.1.id, request.id);
    assert_ne!(again.0, first);
    worker.send(first, &full);
    worker.send(
        first,
        &frames::response(97, request.id, "remark=hot", b"of another attempt"),
    );
    worker.serve(&again);
    let response = web.response().unwrap();
    assert!(
        response.status() == "200" && response.text.ends_with(A),
        "{response:?}"
    );
}

#[rstest]
#[case::reset_after_its_last_byte(true, "502")]
#[case::rejected_as_full(false, "200")]
fn a_request_that_may_run_only_once_is_retried_only_if_it_never_ran(
    #[case] may_have_run: bool,
    #[case] status: &str,
) {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start(
        &format!("reset-{status}"),
        &feed_address,
        &worker_address,
        "once",
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let request = worker.next_request();
    if may_have_run {
        worker.close(request.0, true);
    } else {
        worker.send(request.0, &frames::response(100, request.1.id, "", b""));
        let again = worker.next_request();
        worker.serve(&again);
    }
    assert_eq!(web.response().unwrap().status(), status);
}

#[rstest]
fn an_idle_connection_closed_by_its_worker_fails_no_repeatable_request() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    // The kernel decides whether the close arrives before the next request. If not, that request is written to the
    // closing connection and may have run.
    let router = Router::start("idle", &feed_address, &worker_address, "repeatable");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, A);
    let request = worker.next_request();
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    // The worker closes the connection right after its response; the next request follows.
    worker.close(request.0, false);
    feed.write_all(&feed_response(1, json!([]))).unwrap();
    next_poll(&mut feed);
    web.send_request(2, B);
    std::thread::spawn(move || {
        let request = worker.next_request();
        worker.serve(&request);
    });
    // The request is served on another connection, or rejected because its only worker has just reset one, but never
    // failed.
    let response = web.response().unwrap();
    assert!(matches!(response.status(), "200" | "503"), "{response:?}");
}

// ---- Descriptors

#[rstest]
#[case::as_many_as_configured(64)]
#[case::fewer_than_configured(1024)]
fn idle_clients_that_use_up_the_descriptors_do_not_block_discovery_workers_or_other_clients(
    #[case] configured: u64,
) {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    // Nothing listens at the feed's address: discovery is down.
    drop(feeds);
    let mut json = configuration(&feed_address, &worker_address, "once");
    json["limits"]["sockets"] = json!(configured);
    let file = std::env::temp_dir().join(format!(
        "sanddrum-race-full-{configured}-{}.json",
        std::process::id()
    ));
    std::fs::write(&file, json.to_string()).unwrap();
    let program = env!("CARGO_BIN_EXE_sanddrum-edge");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n 64; exec {program} --platform --log info"),
    ]);
    command.env("RELAY_CONFIG", &file).stderr(Stdio::piped());
    let mut router = Router::from_child(command.spawn().unwrap(), file).wait_until_listening();
    let at = router.address.clone();
    let _idle: Vec<WebServer> = (0..100).map(|_| WebServer::connect(&at)).collect();
    let feeds = std::net::TcpListener::bind(&feed_address).unwrap();
    let mut feed = accept(&feeds);
    assert_eq!(next_poll(&mut feed), 1);
    let mut web = WebServer::connect(&at);
    web.send_request(1, A);
    let request = worker.next_request();
    worker.serve(&request);
    assert_eq!(web.response().unwrap().status(), "200");
    router.signal("TERM");
    assert_eq!(router.wait_for_exit().code(), Some(0));
}

/// Guards against a shutdown that goes on for half a second after its deadline, past SIGKILL, as clients keep their
/// connections open after their last response.
#[rstest]
fn a_shutdown_that_has_reached_its_deadline_does_not_wait_for_clients_to_disconnect() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut settings = configuration(&feed_address, &worker_address, "once");
    settings["settings"]["classes"][0]["deadline-us"] = json!(1_000_000);
    settings["settings"]["classes"][0]["aim-us"] = json!(500_000);
    let mut router = Router::start_with("stays-connected", &settings, None);
    next_poll(&mut accept(&feeds));
    let mut partial = WebServer::connect(&router.address);
    let mut web = WebServer::connect(&router.address);
    web.send(&encode_request(1, "00000000000000a1", 1_000, b"in"));
    let served = worker.next_request();
    worker.serve(&served);
    assert_eq!(web.response().unwrap().status(), "200");
    router.signal("TERM");
    let signalled_at = Instant::now();
    // A request that is not complete by the deadline keeps the router until then.
    std::thread::sleep(Duration::from_millis(650));
    let request = encode_request(1, "00000000000000a2", 1_000, b"in");
    partial.send(&request[..request.len() / 2]);
    assert_eq!(router.wait_for_exit().code(), Some(0));
    // SIGKILL follows SIGTERM after the longest deadline and 0.7 s.
    let took = signalled_at.elapsed();
    assert!(took < Duration::from_millis(1_700), "{took:?}");
}
