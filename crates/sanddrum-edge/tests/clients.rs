//! The client door under clients of every kind.

mod host;

use host::{Do, Host, S};
use rstest::rstest;
use sanddrum::RequestId;
use sanddrum_net::{CloseCause, Core, Event};
use sanddrum_wire::{http, ExecutionStatus};

#[rstest]
fn answers_go_out_in_the_order_of_the_requests() {
    let mut h = Host::new(&[]);
    let client = h.client();
    h.strings
        .borrow_mut()
        .deeds
        .extend([Do::Execute(0, 5 * S), Do::Execute(1, 5 * S)]);
    let two = [
        http::encode_request("POST", "/v1/calls/job/f1", &[], b"a"),
        http::encode_request("POST", "/v1/calls/job/f2", &[], b"b"),
    ];
    h.says(client, &two.concat());
    let worker = h.io.connects.last().unwrap().0;
    h.up(worker);
    let ids = h.executions_read(worker);
    h.done(worker, ids[1], ExecutionStatus::Finished);
    assert!(
        h.statuses(client).is_empty(),
        "the first is not answered yet"
    );
    h.decide(Do::PushBack(0));
    h.done(worker, ids[0], ExecutionStatus::Finished);
    assert_eq!(h.statuses(client), [503, 200]);
    let first = &h.answers(client)[0];
    assert_eq!(
        (
            first.field("retry-after"),
            first.field("sanddrum-retry-after-ms")
        ),
        (Some("1"), Some("300"))
    );
    assert_eq!(
        first.field("content-type"),
        Some("application/problem+json")
    );
}

#[rstest]
#[case::little_waits_to_be_read(5, false)]
#[case::more_than_one_request_may_be_long(50, true)]
fn pipelining_is_bounded_and_goes_on_when_there_is_room(
    #[case] calls: usize,
    #[case] paused: bool,
) {
    let mut h = Host::new(&[
        ("limits.pipelined", "2"),
        ("limits.largest-head", "1KB"),
        ("limits.largest-body", "1KB"),
    ]);
    let client = h.client();
    let one = http::encode_request("POST", "/v1/calls/job/f1", &[], b"");
    h.says(client, &one.repeat(calls));
    assert_eq!(h.strings.borrow().jobs.len(), 2);
    // One that is not paused is heard when it leaves.
    assert_eq!(h.io.paused.get(&client).copied().unwrap_or(false), paused);
    for job in 0..calls as u64 {
        h.decide(Do::PushBack(job));
        h.wait(0);
    }
    assert_eq!(h.strings.borrow().jobs.len(), calls);
    assert_eq!(h.statuses(client).len(), calls);
    assert!(!h.io.paused.get(&client).copied().unwrap_or(false));
}

#[rstest]
fn a_request_may_come_byte_by_byte_but_not_for_ever() {
    let mut h = Host::new(&[("limits.head-time-out", "1s")]);
    let (client, slow) = (h.client(), h.client());
    let request = http::encode_request(
        "POST",
        "/v1/calls/job/f1",
        &[("sanddrum-time-limit-ms", "700")],
        b"x",
    );
    request.iter().for_each(|byte| h.says(client, &[*byte]));
    let due = h.strings.borrow().jobs[0].deadline;
    assert_eq!(
        due,
        h.now + 700_000 - 20_000,
        "its client's time less the way back"
    );
    h.says(slow, b"POST /v1/calls/job/f1 HTTP/1.1\r\nx");
    h.wait(S / 2);
    h.says(slow, b"y");
    h.wait(S);
    assert_eq!(h.statuses(slow), [408]);
}

#[rstest]
#[case::head(
    "GET /health HTTP/1.1\r\nx: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy",
    431
)]
#[case::body("POST /v1/calls/job/f1 HTTP/1.1\r\ncontent-length: 999\r\n\r\n", 413)]
#[case::noise("\u{1}\u{2}\u{3}\r\n\r\n", 400)]
#[case::chunked("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", 411)]
fn what_cannot_be_read_is_answered_and_the_connection_read_out_and_closed(
    #[case] text: &str,
    #[case] status: u16,
) {
    let mut h = Host::new(&[
        ("limits.largest-head", "60 B"),
        ("limits.largest-body", "50 B"),
        ("limits.linger", "1s"),
    ]);
    let client = h.client();
    h.says(client, text.as_bytes());
    h.says(client, b"and more of it");
    assert_eq!(h.statuses(client), [status]);
    assert!(h.io.closed.is_empty());
    h.wait(2 * S);
    assert_eq!(h.io.closed, [(client, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::noise("\u{1}\u{2}\r\n\r\n", 400)]
#[case::never_whole("POST /v1/calls/job/f1 HT", 408)]
fn a_request_that_cannot_be_read_takes_none_before_it_on_its_connection_with_it(
    #[case] text: &str,
    #[case] status: u16,
) {
    let mut h = Host::new(&[
        ("limits.linger", "100ms"),
        ("limits.head-time-out", "500ms"),
    ]);
    let (client, worker) = h.call_out(50 * S);
    h.up(worker);
    h.says(client, text.as_bytes());
    h.wait(2 * S);
    assert!(h.io.closed.is_empty());
    h.done(
        worker,
        h.executions_read(worker)[0],
        ExecutionStatus::Finished,
    );
    assert_eq!(h.statuses(client), [200, status]);
    h.wait(S);
    assert_eq!(h.io.closed, [(client, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::path("POST", "/v1/calls/job", 404)]
#[case::workload("POST", "/v1/calls/jib/f1", 404)]
#[case::function("POST", "/v1/calls/job/g", 404)]
#[case::method("GET", "/v1/calls/job/f1", 405)]
#[case::health("GET", "/health", 200)]
fn what_is_no_call_becomes_no_job(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    let mut h = Host::new(&[]);
    let client = h.client();
    h.says(client, &http::encode_request(method, path, &[], b""));
    assert_eq!(h.statuses(client), [status]);
    assert!(h.strings.borrow().jobs.is_empty());
}

#[rstest]
fn more_jobs_than_may_be_held_are_pushed_back_unseen() {
    let mut h = Host::new(&[("limits.max-open", "2")]);
    let clients: Vec<_> = (0..3).map(|_| h.client()).collect();
    clients.iter().for_each(|client| h.calls(*client, &[]));
    assert_eq!(
        (h.statuses(clients[1]), h.statuses(clients[2])),
        (vec![], vec![503])
    );
    assert!(String::from_utf8_lossy(&h.answers(clients[2])[0].body).contains("max-open"));
    assert_eq!(h.strings.borrow().jobs.len(), 2);
}

#[rstest]
fn where_there_is_no_room_the_silent_go_first_and_never_one_that_waits_for_its_answer() {
    let mut h = Host::new(&[("limits.max-clients", "2"), ("limits.client-idle", "3s")]);
    let (silent, asks) = (h.client(), h.client());
    h.wait(S);
    h.calls(asks, &[]);
    let third = h.client();
    assert_eq!(h.io.closed, [(silent, Some(CloseCause::Orderly))]);
    h.calls(third, &[]);
    let fourth = h.client();
    assert_eq!(
        h.io.closed[1..],
        [(fourth, Some(CloseCause::Reset))],
        "both wait for an answer"
    );
    h.wait(9 * S);
    assert!(
        !h.io
            .closed
            .iter()
            .any(|(conn, _)| [asks, third].contains(conn)),
        "they still wait"
    );
}

#[rstest]
fn a_client_that_says_nothing_is_closed() {
    let mut h = Host::new(&[("limits.client-idle", "3s")]);
    let silent = h.client();
    h.wait(9 * S);
    assert_eq!(h.io.closed, [(silent, Some(CloseCause::Orderly))]);
}

#[rstest]
fn a_client_that_reads_too_slowly_is_closed_and_its_jobs_are_left() {
    let mut h = Host::new(&[("limits.waiting-per-client", "500 B")]);
    let client = h.client();
    h.io.room.insert(client, 10);
    for job in 0..4 {
        h.calls(client, &[]);
        h.decide(Do::PushBack(job));
    }
    h.calls(client, &[]);
    assert!(h.io.closed.contains(&(client, Some(CloseCause::Reset))));
}

#[rstest]
fn a_client_that_closes_has_left_and_is_sent_nothing() {
    let mut h = Host::new(&[]);
    let (client, worker) = h.call_out(5 * S);
    h.up(worker);
    h.event(Event::Closed {
        conn: client,
        cause: CloseCause::Orderly,
    });
    h.turn();
    assert_eq!(h.strings.borrow().left, [RequestId(0)]);
    h.done(
        worker,
        h.executions_read(worker)[0],
        ExecutionStatus::Finished,
    );
    assert!(h.strings.borrow().ends[0].is_final);
    assert!(h.statuses(client).is_empty());
}

#[rstest]
fn each_job_gets_one_answer_whatever_is_decided_for_it_twice() {
    let mut h = Host::new(&[]);
    let (client, _) = h.call_out(5 * S);
    for deed in [Do::Kill(0), Do::PushBack(0), Do::Kill(0)] {
        h.decide(deed);
    }
    assert_eq!(h.statuses(client), [502]);
    h.decide(Do::Execute(0, S));
    h.turn();
    assert!(
        !h.ends().is_empty(),
        "what is sent for an ended job never leaves"
    );
}

#[rstest]
#[case::at_the_time_limit(11, 504)]
#[case::before(1, 502)]
fn killed_tells_whether_the_time_was_up(#[case] seconds: i64, #[case] status: u16) {
    let mut h = Host::new(&[]);
    let client = h.client();
    h.calls(client, &[]);
    h.now += seconds * S;
    h.decide(Do::Kill(0));
    assert_eq!(h.statuses(client), [status]);
}

#[rstest]
fn an_edge_asked_to_end_takes_nothing_new_and_answers_what_it_holds() {
    let mut h = Host::new(&[("limits.stop-within", "3s")]);
    let (client, worker) = h.call_out(50 * S);
    let (second, _) = h.call_out(50 * S);
    let late = h.client();
    h.up(worker);
    h.edge.shut_down(h.now, &mut h.io);
    h.calls(late, &[]);
    assert_eq!(h.statuses(late), [503]);
    assert!(h.io.closed.contains(&(late, Some(CloseCause::Orderly))));
    h.done(
        worker,
        h.executions_read(worker)[0],
        ExecutionStatus::Finished,
    );
    assert_eq!(h.statuses(client), [200]);
    assert!(!h.edge.is_done());
    h.wait(3 * S);
    assert_eq!(h.statuses(second), [502], "the bound on ending");
    assert!(h.edge.is_done());
}

#[rstest]
fn a_customer_over_its_rate_is_pushed_back_with_an_honest_time_and_others_are_not() {
    let customers = r#"(customer "a" (share 50%) (rate 4)) (customer "b" (share 50%))"#;
    let mut h = Host::with(&[], customers);
    let client = h.client();
    for _ in 0..3 {
        h.calls(client, &[("sanddrum-customer", "a")]);
    }
    let other = h.client();
    h.calls(other, &[("sanddrum-customer", "b")]);
    assert_eq!(h.strings.borrow().jobs.len(), 2, "one of a's and b's");
    h.decide(Do::PushBack(0));
    let answers = h.answers(client);
    let last = answers.last().unwrap();
    assert!(String::from_utf8_lossy(&last.body).contains("over-rate"));
    let wait: i64 = last
        .field("sanddrum-retry-after-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (150..=250).contains(&wait),
        "a permit comes every 250 ms: {wait}"
    );
    h.wait(wait * 1000 + 1000);
    h.calls(client, &[("sanddrum-customer", "a")]);
    assert_eq!(h.strings.borrow().jobs.len(), 3);
}
