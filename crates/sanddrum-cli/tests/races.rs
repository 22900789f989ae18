//! Bad orders of events around a router as a process, with signals and real connections, each forced.

mod steered;

use rstest::rstest;
use sanddrum_platform::frames;
use serde_json::json;
use std::io::Write;
use std::process::{Command, Stdio};
use steered::*;

const A: &str = "00000000000000a1";
const B: &str = "00000000000000b2";

// ---- The end

#[rstest]
#[case::that_may_not_run_twice("once", "502")]
#[case::that_may("repeatable", "503")]
fn asked_to_end_it_answers_a_request_whose_worker_does_not_before_it_is_killed(
    #[case] effect: &str,
    #[case] status: &str,
) {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let mut router = Router::start(&format!("end-{effect}"), &feed_at, &worker_at, effect);
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.says(&asks(1, A, 11_000, b"in"));
    worker.request();
    let begun = std::time::Instant::now();
    router.signal("TERM");
    // What it will never read whole, and what a reset would take the answer with.
    web.says(&asks(2, B, 11_000, b"in")[..40]);
    let answer = web.answer().unwrap();
    assert!(begun.elapsed().as_millis() < 3_700, "killed by then");
    assert_eq!((answer.id, answer.status()), (1, status));
    assert!(web.answer().is_none(), "an orderly end behind the answer");
    assert_eq!(router.ends().code(), Some(0));
}

#[rstest]
fn a_request_whose_dial_hangs_as_it_is_asked_to_end_gets_its_answer() {
    let ((_hangs, worker_at, _full), (feeds, feed_at)) = (full_listener(), listener());
    let mut router = Router::start("end-dial", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.says(&asks(1, A, 11_000, b"in"));
    router.signal("TERM");
    let status = web.answer().unwrap().status().to_string();
    assert_eq!(status, "503", "it was never sent");
    assert!(web.answer().is_none());
    assert_eq!(router.ends().code(), Some(0));
}

#[rstest]
fn a_request_on_a_kept_connection_and_a_half_read_one_are_served_after_it_was_asked_to_end() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let mut router = Router::start("end-kept", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let (mut kept, mut half) = (Web::connects(&router.at), Web::connects(&router.at));
    kept.calls(1, A);
    let first = worker.request();
    worker.serve(&first);
    assert_eq!(kept.answer().unwrap().status(), "200");
    let rest = asks(1, B, 4000, b"whole");
    half.says(&rest[..60]);
    router.signal("TERM");
    kept.calls(2, "00000000000000c3");
    let next = worker.request();
    half.says(&rest[60..]);
    worker.serve(&next);
    assert_eq!(kept.answer().unwrap().status(), "200");
    let last = worker.request();
    assert_eq!(last.1.body, b"whole");
    worker.serve(&last);
    assert_eq!(half.answer().unwrap().status(), "200");
    assert!(kept.answer().is_none() && half.answer().is_none());
    assert_eq!(router.ends().code(), Some(0));
}

#[rstest]
fn a_half_written_answer_is_written_to_its_end_before_it_ends() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let mut router = Router::start("end-written", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects_narrowly(&router.at);
    // More than the buffers on the way hold, of which nothing is read yet.
    let body = vec![b'x'; 150_000];
    (1..=6).for_each(|id| web.says(&asks(id, &format!("{id:016x}"), 11_000, b"in")));
    for served in 0..6 {
        let (n, request) = worker.request();
        worker.says(n, &frames::response(97, request.id, "remark=hot", &body));
        if served == 0 {
            router.signal("TERM");
        }
    }
    for _ in 0..6 {
        let answer = web.answer().unwrap();
        assert!(
            answer.status() == "200" && answer.text.len() > 150_000,
            "{}",
            answer.text.len()
        );
    }
    assert!(web.answer().is_none());
    assert_eq!(router.ends().code(), Some(0));
}

// ---- Signals

#[rstest]
fn a_signal_before_it_is_ready_is_heard_once_it_is(#[values("HUP", "TERM")] which: &str) {
    let ((_workers, worker_at), (feeds, feed_at)) = (listener(), listener());
    // Its configuration is a pipe: opened, it has begun and read nothing.
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
    let router = Router::of(child, file.clone());
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    router.signal(which);
    let text = configuration(&feed_at, &worker_at, "once").to_string();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    // It listens once it has read that; before, a second text would be read behind the first.
    let mut router = router.begins();
    // It reads it again whenever it looks; nothing is there to be read where it has ended.
    let writer = file.clone();
    std::thread::spawn(move || loop {
        let open = std::fs::OpenOptions::new().write(true).open(&writer);
        let Ok(mut pipe) = open else { return };
        let _ = pipe.write_all(text.as_bytes());
        drop(pipe);
        std::thread::yield_now();
    });
    assert_eq!(question(&mut accept(&feeds)), 1);
    if which == "HUP" {
        router.signal("TERM");
    }
    assert_eq!(router.ends().code(), Some(0));
}

#[rstest]
#[case::just_before(&["HUP", "TERM"])]
#[case::just_after(&["TERM", "HUP"])]
#[case::two_running(&["HUP", "HUP", "TERM"])]
fn a_new_configuration_around_the_end_is_taken_and_nothing_is_lost(#[case] signals: &[&str]) {
    let ((mut worker, worker_at), (feeds, feed_at), (moved, moved_at)) =
        (Worker::listens(), listener(), listener());
    let mut router = Router::start(
        &format!("hup-{}", signals.join("-")),
        &feed_at,
        &worker_at,
        "once",
    );
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    let request = worker.request();
    let text = configuration(&moved_at, &worker_at, "once").to_string();
    std::fs::write(&router.file, text).unwrap();
    signals.iter().for_each(|which| router.signal(which));
    assert_eq!(question(&mut accept(&moved)), 1, "its numbers go on");
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    assert_eq!(router.ends().code(), Some(0));
}

#[rstest]
fn an_unreadable_configuration_leaves_the_old_one_in_force_and_says_why() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let mut router = Router::start("hup-bad", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    std::fs::write(&router.file, "{\"feed\": 7").unwrap();
    router.signal("HUP");
    feed.write_all(&told(1, json!([]))).unwrap();
    assert_eq!(question(&mut feed), 1);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    let request = worker.request();
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    router.signal("TERM");
    let log = router.log();
    assert!(log.contains("configuration rejected"), "{log}");
    assert_eq!(router.ends().code(), Some(0));
}

// ---- The watch on the list

#[rstest]
fn a_silent_watch_is_asked_anew_and_its_late_answer_is_not_taken() {
    let ((mut worker, worker_at), (feeds, feed_at), (_others, other_at)) =
        (Worker::listens(), listener(), listener());
    let _router = Router::start("watch-silent", &feed_at, &worker_at, "once");
    let mut silent = accept(&feeds);
    assert_eq!(question(&mut silent), 1);
    let mut anew = accept(&feeds);
    assert_eq!(question(&mut anew), 1);
    // The old one speaks up after all; what it tells is not what holds.
    let _ = silent.write_all(&told(
        2,
        json!([event(2, member("w", &other_at, "in_service"))]),
    ));
    anew.write_all(&told(
        2,
        json!([event(2, member("v", &other_at, "terminated"))]),
    ))
    .unwrap();
    assert_eq!(question(&mut anew), 2);
    let mut web = Web::connects(&_router.at);
    web.calls(1, A);
    // At the address that holds.
    worker.request();
}

#[rstest]
#[case::in_order(false)]
#[case::broken_in_an_event(true)]
fn a_watch_that_closes_as_it_answers_is_taken_up_to_its_last_whole_event(#[case] breaks: bool) {
    let ((_workers, worker_at), (feeds, feed_at)) = (listener(), listener());
    let _router = Router::start(
        &format!("watch-closes-{breaks}"),
        &feed_at,
        &worker_at,
        "once",
    );
    let mut feed = accept(&feeds);
    assert_eq!(question(&mut feed), 1);
    let answer = told(
        2,
        json!([event(2, member("v", "127.0.0.1:9", "in_service"))]),
    );
    let cut = if breaks {
        answer.len() - 20
    } else {
        answer.len()
    };
    feed.write_all(&answer[..cut]).unwrap();
    drop(feed);
    assert_eq!(question(&mut accept(&feeds)), if breaks { 1 } else { 2 });
}

#[rstest]
fn nothing_goes_to_a_worker_told_to_drain_while_its_dial_hangs() {
    let ((hangs, hangs_at, full), (mut worker, worker_at), (feeds, feed_at)) =
        (full_listener(), Worker::listens(), listener());
    let router = Router::start("watch-drain", &feed_at, &hangs_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    // Its dial hangs; the worker drains, and another one is there.
    let events = json!([
        event(2, member("v", &worker_at, "in_service")),
        event(3, member("w", &hangs_at, "terminating"))
    ]);
    feed.write_all(&told(3, events)).unwrap();
    assert_eq!(question(&mut feed), 3);
    let request = worker.request();
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    drop(full);
    // Whatever still comes there says nothing.
    let mut late = Worker::at(hangs);
    web.calls(2, B);
    let request = worker.request();
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    assert!(late.codes().is_empty());
}

// ---- Attempts

#[rstest]
fn a_client_that_leaves_while_the_dial_hangs_has_nothing_sent(
    #[values(false, true)] withdraws: bool,
) {
    let ((hangs, hangs_at, full), (feeds, feed_at)) = (full_listener(), listener());
    let router = Router::start(
        &format!("gone-dial-{withdraws}"),
        &feed_at,
        &hangs_at,
        "once",
    );
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut leaves = Web::connects(&router.at);
    leaves.calls(1, A);
    if withdraws {
        leaves.withdraws(1);
        assert_eq!(leaves.answer().unwrap().text, "");
    } else {
        // Once another of its connections is answered, the close before it has been seen.
        drop(leaves);
    }
    let mut stays = Web::connects(&router.at);
    stays.says(&asks(1, B, 11_000, b"stays"));
    drop(full);
    // The first request to come, on whatever connection, is the one that is still waited for.
    let (_, request) = Worker::at(hangs).request();
    assert_eq!(request.body, b"stays");
}

#[rstest]
fn a_second_copy_of_an_answer_ends_no_other_attempt() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let router = Router::start("twice", &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    let (first, request) = worker.request();
    let full = frames::response(100, request.id, "", b"");
    worker.says(first, &full);
    // Its next attempt is on another connection: on this one its id is spent.
    let again = worker.request();
    assert_eq!(again.1.id, request.id);
    assert_ne!(again.0, first);
    worker.says(first, &full);
    worker.says(
        first,
        &frames::response(97, request.id, "remark=hot", b"the wrong one's"),
    );
    worker.serve(&again);
    let answer = web.answer().unwrap();
    assert!(
        answer.status() == "200" && answer.text.ends_with(A),
        "{answer:?}"
    );
}

#[rstest]
#[case::after_its_last_byte(true, "502")]
#[case::once_it_was_answered_as_full(false, "200")]
fn a_request_that_may_not_run_twice_is_sent_again_only_where_it_never_ran(
    #[case] ran: bool,
    #[case] status: &str,
) {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    let router = Router::start(&format!("reset-{status}"), &feed_at, &worker_at, "once");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    let request = worker.request();
    if ran {
        worker.ends(request.0, true);
    } else {
        worker.says(request.0, &frames::response(100, request.1.id, "", b""));
        let again = worker.request();
        worker.serve(&again);
    }
    assert_eq!(web.answer().unwrap().status(), status);
}

#[rstest]
fn a_connection_that_its_worker_closed_idle_fails_no_request_that_may_run_again() {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    // Whether the close has come by then is the kernel's: if not, the next request is written to it and may have run.
    let router = Router::start("idle", &feed_at, &worker_at, "repeatable");
    let mut feed = accept(&feeds);
    question(&mut feed);
    let mut web = Web::connects(&router.at);
    web.calls(1, A);
    let request = worker.request();
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    // Closed with the answer still on its way, and the next request behind it.
    worker.ends(request.0, false);
    feed.write_all(&told(1, json!([]))).unwrap();
    question(&mut feed);
    web.calls(2, B);
    std::thread::spawn(move || {
        let request = worker.request();
        worker.serve(&request);
    });
    // Sent on another connection, or pushed back, as its only worker has just reset one; never failed for its client.
    let answer = web.answer().unwrap();
    assert!(matches!(answer.status(), "200" | "503"), "{answer:?}");
}

// ---- Descriptors

#[rstest]
#[case::as_many_as_it_is_told(64)]
#[case::fewer_than_it_is_told(1024)]
fn idle_clients_that_fill_the_descriptors_keep_nobody_from_the_list_the_workers_and_their_answers(
    #[case] told: u64,
) {
    let ((mut worker, worker_at), (feeds, feed_at)) = (Worker::listens(), listener());
    // Nobody is there at the feed's address: discovery is down.
    drop(feeds);
    let mut json = configuration(&feed_at, &worker_at, "once");
    json["limits"]["sockets"] = json!(told);
    let file = std::env::temp_dir().join(format!(
        "sanddrum-race-full-{told}-{}.json",
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
    let mut router = Router::of(command.spawn().unwrap(), file).begins();
    let at = router.at.clone();
    let _idle: Vec<Web> = (0..100).map(|_| Web::connects(&at)).collect();
    let feeds = std::net::TcpListener::bind(&feed_at).unwrap();
    let mut feed = accept(&feeds);
    assert_eq!(question(&mut feed), 1);
    let mut web = Web::connects(&at);
    web.calls(1, A);
    let request = worker.request();
    worker.serve(&request);
    assert_eq!(web.answer().unwrap().status(), "200");
    router.signal("TERM");
    assert_eq!(router.ends().code(), Some(0));
}
