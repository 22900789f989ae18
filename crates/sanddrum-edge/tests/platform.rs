//! Stories of the edge on the platform: web servers, workers and the control feed speak its protocol, a puppet decides.

mod host;

use host::platform::*;
use host::*;
use rstest::rstest;
use sanddrum::{Outcome, Warmth, WorkerState};
use sanddrum_fastcgi::{encode_header, RecordType, HEADER_BYTES};
use sanddrum_net::{CloseCause, Core, Event};
use sanddrum_platform::frames;
use serde_json::json;

#[rstest]
fn a_job_goes_to_a_worker_and_its_answer_back_unchanged() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    let sent = frames::request(call_number(), "job", FUNCTION, 1_400_000, b"in");
    assert_eq!(host.io.wrote[&worker], sent);
    host.says(
        worker,
        &frames::response(97, call_number(), "remark=started,report=rif:3", b"\x00out"),
    );
    let (id, text, status) = answers(&host, front).remove(0);
    assert_eq!((id, status), (1, 0));
    assert!(
        text.starts_with("Status: 200\r\n") && text.ends_with("\r\n\r\n\0out"),
        "{text}"
    );
    let end = host.strings.borrow().ends[0];
    assert_eq!(
        (end.outcome, end.warmth, end.report.unwrap().in_flight),
        (Outcome::Finished, Warmth::StartedLoad, Some(3.0))
    );
}

#[rstest]
fn its_health_is_good_once_it_holds_a_list() {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.says(
        front,
        &request(1, &[("SCRIPT_NAME", "/health".into())], b""),
    );
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
}

#[rstest]
fn a_pushed_back_job_is_told_when_to_come_back_and_a_killed_one_is_not() {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.strings.borrow_mut().deeds.push(Do::PushBack(0));
    asks(&mut host, front, 1, CALL);
    host.strings.borrow_mut().deeds.push(Do::Kill(1));
    asks(&mut host, front, 2, CALL);
    let answers = answers(&host, front);
    assert!(
        answers[0].1.starts_with("Status: 503\r\n")
            && answers[0].1.contains("X-Come-Back-Ms: 300\r\n")
    );
    assert!(answers[1].1.starts_with("Status: 502\r\n") && !answers[1].1.contains("Come-Back"));
}

#[rstest]
#[case::no_such_workload("SCRIPT_NAME", "/rpc/other", "404")]
#[case::no_id("HTTP_X_CALL_ID", "", "400")]
#[case::an_id_too_long("HTTP_X_CALL_ID", "9b1f03aa5c7e2d4100", "400")]
#[case::no_number("HTTP_X_PATIENCE_MS", "soon", "400")]
#[case::not_a_number("HTTP_X_PATIENCE_MS", "NaN", "400")]
#[case::a_negative_number("HTTP_X_PATIENCE_MS", "-5", "400")]
#[case::a_huge_number("HTTP_X_PATIENCE_MS", "1e12", "400")]
#[case::no_lanes("HTTP_X_INFO", "memory_mb:512;lanes:0;load_ms:640", "400")]
#[case::a_length_that_lies("CONTENT_LENGTH", "700", "400")]
fn nonsense_is_answered_at_once_and_the_connection_stays(
    #[case] name: &'static str,
    #[case] value: &str,
    #[case] status: &str,
) {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    let mut pairs = usual(CALL);
    pairs.retain(|(other, _)| *other != name);
    pairs.push((name, value.into()));
    host.says(front, &request(1, &pairs, b"in"));
    assert_eq!(statuses(&host, front), [(1, format!("Status: {status}"))]);
    assert!(host.strings.borrow().jobs.is_empty());
    asks(&mut host, front, 2, OTHER);
    assert_eq!(host.strings.borrow().jobs.len(), 1);
}

#[rstest]
#[case::a_load_longer_than_an_order_is_waited_for(
    "HTTP_X_INFO",
    "memory_mb:512;lanes:2;load_ms:11500"
)]
#[case::a_patience_just_beyond_the_time_limit("HTTP_X_PATIENCE_MS", "10001")]
fn what_usual_clients_state_a_little_beyond_what_is_set_is_taken(
    #[case] name: &'static str,
    #[case] value: &str,
) {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    let mut pairs = usual(CALL);
    pairs.retain(|(other, _)| *other != name);
    pairs.push((name, value.into()));
    host.says(front, &request(1, &pairs, b"in"));
    assert_eq!(host.strings.borrow().jobs.len(), 1);
}

#[rstest]
fn a_call_whose_id_is_open_is_refused_and_leaves_the_first_alone() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    let second = host.client();
    host.says(second, &request(1, &usual(CALL), b"another body"));
    assert_eq!(statuses(&host, second), [(1, "Status: 409".to_string())]);
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
}

#[rstest]
fn a_body_beyond_the_bound_is_refused_without_reading_on() {
    let mut host = Host::on_platform(&[("limits.largest-body", "16 KB")]);
    let front = host.client();
    let whole = request(1, &usual(CALL), &vec![7; 60_000]);
    host.says(front, &whole[..40_000]);
    // The record has not come whole: nothing is held beyond it, and the rest is not waited for.
    host.says(front, &whole[40_000..]);
    assert_eq!(statuses(&host, front), [(1, "Status: 413".to_string())]);
    assert_eq!(host.io.closed, [(front, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::silent(vec![])]
#[case::half_a_request(encode_header(RecordType::BeginRequest, 1, 8).to_vec())]
fn a_connection_that_says_nothing_whole_ends_well_before_three_seconds(#[case] bytes: Vec<u8>) {
    let mut host = Host::on_platform(&[("limits.head-time-out", "2 s")]);
    let front = host.client();
    if !bytes.is_empty() {
        host.says(front, &bytes);
    }
    host.wait(2 * S + 1);
    assert!(host.io.closed.iter().any(|(conn, _)| *conn == front));
}

#[rstest]
fn where_there_is_no_room_the_one_that_never_spoke_goes_first_and_never_one_with_a_job() {
    let mut host = Host::on_platform(&[("limits.max-clients", "2")]);
    let (busy, _) = job_out(&mut host);
    let silent = host.client();
    host.wait(S / 4);
    let third = host.client();
    assert_eq!(host.io.closed, [(silent, Some(CloseCause::Orderly))]);
    asks(&mut host, third, 1, OTHER);
    host.client();
    assert!(host
        .io
        .closed
        .iter()
        .all(|(conn, _)| *conn != busy && *conn != third));
}

#[rstest]
fn one_that_has_only_just_come_outlasts_one_that_asked_before_and_stays() {
    let mut host = Host::on_platform(&[("limits.max-clients", "2")]);
    let stays = host.client();
    host.says(
        stays,
        &request(1, &[("SCRIPT_NAME", "/health".into())], b""),
    );
    let fresh = host.client();
    host.client();
    assert_eq!(host.io.closed, [(stays, Some(CloseCause::Orderly))]);
    asks(&mut host, fresh, 1, CALL);
    assert_eq!(host.strings.borrow().jobs.len(), 1);
}

#[rstest]
fn a_withdrawn_job_is_owed_no_answer_and_a_late_one_changes_nothing() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    host.says(front, &encode_header(RecordType::AbortRequest, 1, 0));
    assert_eq!(host.strings.borrow().left.len(), 1);
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(answers(&host, front), [(1, String::new(), 0)]);
}

#[rstest]
#[case::noise(b"noise".to_vec())]
#[case::a_check_that_does_not_fit({ let mut f = frames::response(97, call_number(), "", b"out"); f[17] ^= 1; f })]
#[case::three_gigabytes({ let mut f = frames::response(97, call_number(), "", b"out"); f[4] = 0xc0; f })]
fn a_spoilt_answer_ends_the_connection_and_nothing_of_it_is_passed_on(#[case] bytes: Vec<u8>) {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    host.says(worker, &bytes);
    assert_eq!(host.ends(), [Outcome::Reset], "it may have run");
    assert_eq!(host.io.closed, [(worker, Some(CloseCause::Reset))]);
    assert!(answers(&host, front).is_empty());
}

#[rstest]
fn answers_that_bring_more_than_belongs_to_them_change_nothing_more() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    host.says(worker, &frames::response(97, 77, "", b"for nobody"));
    let out = frames::response(97, call_number(), "", b"out");
    host.says(worker, &[out.clone(), out].concat());
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
    assert_eq!(host.ends(), [Outcome::Finished]);
}

#[rstest]
fn a_further_execution_goes_on_another_connection_behind_the_give_up() {
    let mut host = Host::on_platform(&[]);
    let (_, first) = job_out(&mut host);
    host.strings
        .borrow_mut()
        .deeds
        .extend([Do::Cancel(0, 0), Do::Execute(0, 1_000_000)]);
    told(&mut host, 2, member("w", "in_service"));
    assert!(host.io.wrote[&first].ends_with(&frames::cancel(call_number())));
    let second = worker(&host);
    assert_ne!(first, second);
    host.up(second);
    // The first one's answer comes late: it is not taken for the second one's.
    host.says(first, &frames::response(99, call_number(), "", b""));
    assert_eq!(host.ends(), [Outcome::Cancelled]);
    host.says(second, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(host.ends(), [Outcome::Cancelled, Outcome::Finished]);
}

#[rstest]
fn an_execution_whose_time_is_up_is_given_up_at_the_worker() {
    let mut host = Host::on_platform(&[]);
    let (_, worker) = job_out(&mut host);
    host.wait(2 * S);
    assert_eq!(host.ends(), [Outcome::TimedOut]);
    assert!(host.io.wrote[&worker].ends_with(&frames::cancel(call_number())));
}

#[rstest]
#[case::draining("terminating", WorkerState::Draining)]
#[case::gone("terminated", WorkerState::Gone)]
fn what_waits_for_a_worker_that_drains_is_taken_back_as_never_run(
    #[case] phase: &str,
    #[case] state: WorkerState,
) {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    asks(&mut host, front, 1, CALL);
    let worker = worker(&host);
    told(&mut host, 2, member("w", phase));
    assert_eq!(
        host.strings.borrow().lists.last().unwrap().endpoints[0].state,
        state
    );
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
    host.up(worker);
    assert_eq!(host.io.wrote.get(&worker), None);
}

#[rstest]
fn an_order_to_load_is_answered_under_its_own_id() {
    let mut host = Host::on_platform(&[]);
    let (_, worker) = job_out(&mut host);
    host.strings.borrow_mut().deeds.push(Do::Hold(2));
    told(&mut host, 2, member("w", "in_service"));
    let order = frames::load(1, FUNCTION, 2);
    assert!(host.io.wrote[&worker].ends_with(&order));
    host.says(worker, &frames::response(97, 1, "copies=2", b""));
    let end = host.strings.borrow().orders[0];
    assert_eq!((end.outcome, end.instances), (Outcome::Finished, 2));
}

fn asked_of_feed(host: &Host) -> Vec<String> {
    let conns = host.io.connects.iter().map(|(conn, _)| *conn);
    let wrote = conns.filter_map(|conn| host.io.wrote.get(&conn));
    let text: Vec<String> = wrote
        .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
        .collect();
    text.iter()
        .flat_map(|t| t.lines())
        .filter(|l| l.starts_with("GET"))
        .map(String::from)
        .collect()
}

#[rstest]
fn the_feed_is_asked_again_at_once_and_events_are_taken_once() {
    let mut host = Host::on_platform(&[]);
    told(&mut host, 5, member("v", "in_service"));
    told(&mut host, 5, member("v", "in_service"));
    let asked = asked_of_feed(&host);
    assert!(
        asked[0].starts_with("GET /v1/events?SUB=1&wait=") && asked[1].contains("SUB=5"),
        "{asked:?}"
    );
    assert_eq!(asked.len(), 3);
    assert_eq!(host.strings.borrow().lists.len(), 2);
}

#[rstest]
#[case::silent(false)]
#[case::broken_off_in_an_event(true)]
fn a_feed_that_fails_is_called_anew_from_the_last_whole_event(#[case] breaks: bool) {
    let mut host = Host::on_platform(&[]);
    let feed = host.list;
    if breaks {
        host.says(
            feed,
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"n\":2,\"events\":[{\"n\":2,",
        );
        host.event(Event::Closed {
            conn: feed,
            cause: CloseCause::Orderly,
        });
    }
    host.wait(2 * S);
    let (again, _) = host
        .io
        .connects
        .iter()
        .find(|(conn, to)| *conn != feed && to == "127.0.0.1:8090")
        .unwrap()
        .clone();
    host.up(again);
    assert!(asked_of_feed(&host).last().unwrap().contains("SUB=1&"));
    assert_eq!(host.strings.borrow().lists.len(), 1);
}

#[rstest]
fn a_new_configuration_moves_the_feed_and_one_that_is_no_good_changes_nothing() {
    let mut host = Host::on_platform(&[]);
    let (now, before) = (host.now, host.io.connects.len());
    host.edge.on_file(
        now,
        sanddrum_edge::CONFIGURATION_FILE,
        Ok(b"{"),
        &mut host.io,
    );
    assert_eq!(host.io.connects.len(), before);
    let json = json!({"name": "n", "listen": "127.0.0.1:1", "feed": "127.0.0.9:2380", "seed": "1", "settings": {},
                      "limits": {"sockets": 100, "memory_mb": 10}, "known": {"n": 0, "events": []}});
    host.edge.on_file(
        now,
        sanddrum_edge::CONFIGURATION_FILE,
        Ok(json.to_string().as_bytes()),
        &mut host.io,
    );
    let (moved, to) = host.io.connects.last().unwrap().clone();
    assert_eq!(to, "127.0.0.9:2380");
    host.up(moved);
    assert!(
        asked_of_feed(&host).last().unwrap().contains("SUB=1&"),
        "the numbers go on"
    );
}

#[rstest]
fn asked_to_end_it_serves_what_still_comes_and_ends_when_it_owes_nothing() {
    let mut host = Host::on_platform(&[("limits.late-arrivals", "700 ms")]);
    let now = host.now;
    host.edge.shut_down(now, &mut host.io);
    assert!(host.edge.accepts_while_draining() && !host.edge.is_done());
    host.wait(S / 2);
    let (front, worker) = job_out(&mut host);
    host.wait(S / 2);
    assert!(!host.edge.is_done(), "a job is open");
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
    assert!(host.edge.is_done());
}

#[rstest]
fn tables_come_back_to_a_bound_however_many_pass() {
    let mut host = Host::on_platform(&[
        ("copies.keep-alive", "1 s"),
        ("limits.head-time-out", "100 ms"),
    ]);
    for n in 0..3_000u64 {
        let front = host.client();
        let mut pairs = usual(&format!("{n:016x}"));
        pairs.retain(|(name, _)| *name != "HTTP_X_ENTITY");
        pairs.push(("HTTP_X_ENTITY", format!("{:016x}", n / 2)));
        let phase = if n % 2 == 0 {
            "in_service"
        } else {
            "terminated"
        };
        told(&mut host, n + 2, member(&format!("v{}", n / 2), phase));
        host.strings.borrow_mut().deeds.push(Do::PushBack(n));
        host.says(front, &request(1, &pairs, b"in"));
        host.event(Event::Closed {
            conn: front,
            cause: CloseCause::Orderly,
        });
        host.wait(S / 100);
    }
    let counts = host.edge.resource_counts();
    assert!(
        counts.requests == 0
            && counts.client_connections == 0
            && counts.worker_connections <= 1
            && counts.workers <= 2,
        "{counts:?}"
    );
    assert!(counts.functions < 1_000, "{counts:?}");
    assert!(counts.timers < 50, "{counts:?}");
}

#[rstest]
fn records_of_ten_requests_at_a_time_are_all_answered_once() {
    let mut host = Host::on_platform(&[("limits.pipelined", "32")]);
    let front = host.client();
    let bytes: Vec<u8> = (1..=40)
        .flat_map(|id| request(id, &usual(&format!("{id:016x}")), b"in"))
        .collect();
    host.event(Event::Bytes {
        conn: front,
        bytes: &bytes[..HEADER_BYTES / 2],
    });
    host.event(Event::Bytes {
        conn: front,
        bytes: &bytes[HEADER_BYTES / 2..],
    });
    assert_eq!(host.strings.borrow().jobs.len(), 32);
    assert_eq!(
        answers(&host, front)
            .iter()
            .filter(|(_, _, status)| *status == 2)
            .count(),
        8
    );
    host.strings
        .borrow_mut()
        .deeds
        .extend((0..32).map(Do::PushBack));
    told(&mut host, 2, member("w", "in_service"));
    assert_eq!(answers(&host, front).len(), 40);
}

#[rstest]
fn after_a_spoilt_answer_the_next_job_is_connected_at_once() {
    let mut host = Host::on_platform(&[]);
    let (front, first) = job_out(&mut host);
    host.says(first, b"noise");
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_000_000));
    told(&mut host, 2, member("w", "in_service"));
    let second = worker(&host);
    assert_ne!(first, second);
    host.up(second);
    host.says(second, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
    assert_eq!(host.ends(), [Outcome::Reset, Outcome::Finished]);
}

#[rstest]
fn what_is_held_of_requests_that_are_not_whole_is_bounded_over_all_connections() {
    let mut host = Host::on_platform(&[
        ("limits.held-bodies", "30KB"),
        ("limits.largest-body", "16KB"),
    ]);
    let (first, second) = (host.client(), host.client());
    let whole = |id, call| request(id, &usual(call), &[b'x'; 16 * 1024]);
    let (one, other) = (whole(1, CALL), whole(1, OTHER));
    host.says(first, &one[..one.len() - HEADER_BYTES]);
    host.says(second, &other[..other.len() - HEADER_BYTES]);
    // The one that brought too much is refused, as never taken up; the other comes whole and is asked.
    assert_eq!(
        answers(&host, second)
            .iter()
            .map(|(id, _, status)| (*id, *status))
            .collect::<Vec<_>>(),
        [(1, 2)]
    );
    host.says(second, &other[other.len() - HEADER_BYTES..]);
    host.says(first, &one[one.len() - HEADER_BYTES..]);
    assert_eq!(host.strings.borrow().jobs.len(), 1);
    // Its place is free again for the next.
    let again = request(2, &usual(OTHER), b"in");
    host.says(second, &again);
    assert_eq!(host.strings.borrow().jobs.len(), 2);
}

#[rstest]
#[should_panic(expected = "violation of endpoint-listed")]
fn an_attempt_that_is_decided_for_a_worker_that_drains_is_caught_before_it_is_written() {
    let mut host = Host::on_platform(&[]);
    told(&mut host, 2, member("w", "terminating"));
    job_out(&mut host);
}
