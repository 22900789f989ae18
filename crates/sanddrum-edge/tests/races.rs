//! Bad orders of events at the edge of the platform, each forced: between decision and write, between the halves of
//! what is written, between an answer and its second copy, between the list and what waits for a worker.

mod host;

use host::platform::*;
use host::*;
use rstest::rstest;
use sanddrum::{Outcome, WorkerState};
use sanddrum_fastcgi::{encode_header, RecordType, HEADER_BYTES};
use sanddrum_net::{CloseCause, ConnectionId, Core, Event};
use sanddrum_platform::frames;
use sanddrum_wire::Phase;
use serde_json::json;

fn tells(host: &mut Host, last: u64, events: serde_json::Value) {
    let json = json!({"n": last, "events": events});
    let answer = sanddrum_wire::http::encode_response(200, &[], json.to_string().as_bytes(), true);
    host.says(host.list, &answer);
}
/// Has the puppet decide: any word of the list calls it.
fn decide(host: &mut Host, n: u64, deeds: &[Do]) {
    host.strings.borrow_mut().deeds.extend(deeds);
    told(host, n, member("w", "in_service"));
}
/// A job sent to the worker while its connection is under way.
fn job_waits(host: &mut Host) -> (ConnectionId, ConnectionId) {
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    asks(host, front, 1, CALL);
    (front, worker(host))
}
fn leaves(host: &mut Host, front: ConnectionId, withdraws: bool) {
    if withdraws {
        host.says(front, &encode_header(RecordType::AbortRequest, 1, 0));
    } else {
        host.event(Event::Closed {
            conn: front,
            cause: CloseCause::Orderly,
        });
    }
}

// ---- Attempts

#[rstest]
fn nothing_is_sent_for_a_client_that_left_while_the_dial_was_under_way(
    #[values(false, true)] withdraws: bool,
) {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_waits(&mut host);
    leaves(&mut host, front, withdraws);
    host.up(worker);
    host.wait(S);
    assert_eq!(host.io.wrote.get(&worker), None);
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
fn nothing_is_sent_for_a_client_that_left_in_the_same_wake_up_as_its_request(
    #[values(false, true)] withdraws: bool,
) {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    let (now, bytes) = (host.now, request(1, &usual(CALL), b"in"));
    host.edge.on_event(
        now,
        Event::Bytes {
            conn: front,
            bytes: &bytes,
        },
        &mut host.io,
    );
    let before = host.io.connects.len();
    leaves(&mut host, front, withdraws);
    assert_eq!(host.io.connects.len(), before, "no dial for it either");
    assert_eq!(host.strings.borrow().jobs.len(), 0);
}

#[rstest]
fn a_further_attempt_is_not_begun_for_a_client_that_left_before_it() {
    let mut host = Host::on_platform(&[]);
    let (front, first) = job_out(&mut host);
    host.says(first, &frames::response(100, call_number(), "", b""));
    leaves(&mut host, front, true);
    let wrote = host.io.wrote[&first].len();
    decide(&mut host, 2, &[Do::Execute(0, 1_000_000)]);
    host.wait(S);
    assert_eq!(host.io.wrote[&first].len(), wrote);
    assert_eq!(host.ends()[0], Outcome::Rejected);
}

#[rstest]
fn what_is_half_written_when_its_client_leaves_is_out_at_once_or_never(
    #[values(false, true)] reads: bool,
) {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    asks(&mut host, front, 1, CALL);
    let worker = worker(&host);
    host.io.room.insert(worker, 20);
    host.up(worker);
    assert_eq!(host.io.wrote[&worker].len(), 20);
    leaves(&mut host, front, true);
    if reads {
        host.io.room.insert(worker, 10_000);
        host.event(Event::Writable { conn: worker });
        host.wait(S);
        assert!(
            !host.io.closed.iter().any(|(conn, _)| *conn == worker),
            "others may be out on it"
        );
        return;
    }
    host.wait(S / 10);
    assert!(host.io.closed.contains(&(worker, Some(CloseCause::Reset))));
    assert_eq!(host.ends(), [Outcome::NoConnection]);
}

#[rstest]
fn a_further_attempt_is_not_begun_behind_one_that_is_half_written_and_still_to_come() {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    asks(&mut host, front, 1, CALL);
    let first = worker(&host);
    host.io.room.insert(first, 20);
    host.up(first);
    decide(&mut host, 2, &[Do::Cancel(0, 0), Do::Execute(0, 1_000_000)]);
    // The first one's rest can't come any more, wherever the second is.
    assert!(host.io.closed.contains(&(first, Some(CloseCause::Reset))));
    let second = worker(&host);
    assert_ne!(first, second);
    host.up(second);
    host.says(second, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
}

#[rstest]
fn no_further_attempt_is_written_before_the_one_it_follows_is_given_up() {
    let mut host = Host::on_platform(&[("limits.streams", "1")]);
    let front = host.client();
    for (job, call) in [(0, CALL), (1, OTHER)] {
        host.strings
            .borrow_mut()
            .deeds
            .push(Do::Execute(job, 1_400_000));
        asks(&mut host, front, job as u16 + 1, call);
        let conn = worker(&host);
        host.up(conn);
    }
    let (first, second) = (host.io.connects[1].0, host.io.connects[2].0);
    // Both are given up, and the second goes again where the first one was: on the connection before its own.
    let again = [
        Do::Cancel(0, 0),
        Do::Cancel(1, 0),
        Do::Execute(1, 1_000_000),
    ];
    let before = host.io.writes.len();
    decide(&mut host, 2, &again);
    let written: Vec<ConnectionId> = host.io.writes[before..]
        .iter()
        .map(|(conn, _)| *conn)
        .collect();
    let other = u64::from_str_radix(OTHER, 16).unwrap();
    let given_up = host.io.writes[before..]
        .iter()
        .position(|(conn, bytes)| *conn == second && bytes.ends_with(&frames::cancel(other)));
    let request = frames::request(other, "job", FUNCTION, 1_000_000, b"in");
    let sent = host.io.writes[before..]
        .iter()
        .position(|(conn, bytes)| *conn == first && bytes.ends_with(&request));
    assert!(given_up.unwrap() < sent.unwrap(), "{written:?}");
}

#[rstest]
fn a_request_in_the_wake_up_of_its_connections_idle_time_out_is_taken() {
    let mut host = Host::on_platform(&[("limits.client-idle", "4 s")]);
    let front = host.client();
    asks(&mut host, front, 1, CALL);
    decide(&mut host, 2, &[Do::PushBack(0)]);
    host.now += 4 * S + 1;
    asks(&mut host, front, 2, OTHER);
    assert_eq!(host.strings.borrow().jobs.len(), 2);
    assert!(!host.io.closed.iter().any(|(conn, _)| *conn == front));
}

#[rstest]
fn a_second_copy_of_an_answer_is_not_taken_for_the_answer_to_the_next_attempt() {
    let mut host = Host::on_platform(&[]);
    let (front, first) = job_out(&mut host);
    let full = frames::response(100, call_number(), "", b"");
    host.says(first, &full);
    decide(&mut host, 2, &[Do::Execute(0, 1_000_000)]);
    let second = worker(&host);
    assert_ne!(first, second, "the id is spent on the first connection");
    host.up(second);
    host.says(first, &full);
    assert_eq!(host.ends(), [Outcome::Rejected], "the second attempt runs");
    host.says(second, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
}

#[rstest]
fn a_late_answer_to_one_client_is_not_given_to_another_that_uses_its_id() {
    let mut host = Host::on_platform(&[]);
    let (front, first) = job_out(&mut host);
    leaves(&mut host, front, true);
    host.says(
        first,
        &frames::response(97, call_number(), "", b"the first one's"),
    );
    let other = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(1, 1_400_000));
    asks(&mut host, other, 1, CALL);
    let second = worker(&host);
    assert_ne!(first, second);
    host.up(second);
    host.says(
        first,
        &frames::response(97, call_number(), "", b"the first one's"),
    );
    assert!(answers(&host, other).is_empty());
    host.says(second, &frames::response(97, call_number(), "", b"its own"));
    assert!(answers(&host, other)[0].1.ends_with("its own"));
}

#[rstest]
fn an_id_comes_back_into_use_once_no_answer_can_come_any_more() {
    let mut host = Host::on_platform(&[
        ("limits.idle-close", "1000 s"),
        ("limits.client-idle", "1000 s"),
    ]);
    let (_, first) = job_out(&mut host);
    host.says(first, &frames::response(97, call_number(), "", b"out"));
    // The time limit is 10 s.
    host.wait(21 * S);
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(1, 1_400_000));
    asks(&mut host, front, 1, OTHER);
    let before = host.io.connects.len();
    host.says(
        first,
        &frames::response(97, u64::from_str_radix(OTHER, 16).unwrap(), "", b"out"),
    );
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(2, 1_400_000));
    asks(&mut host, front, 2, CALL);
    assert_eq!(host.io.connects.len(), before);
}

#[rstest]
#[case::before_its_last_byte(20, Outcome::NoConnection)]
#[case::after_its_last_byte(10_000, Outcome::Reset)]
fn a_reset_tells_whether_a_request_can_have_run(#[case] room: usize, #[case] end: Outcome) {
    let mut host = Host::on_platform(&[]);
    let (_, worker) = job_waits(&mut host);
    host.io.room.insert(worker, room);
    host.up(worker);
    host.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Reset,
    });
    assert_eq!(host.ends(), [end]);
}

#[rstest]
fn an_answer_in_the_wake_up_of_its_deadline_counts() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    host.now += 1_400_000;
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
    assert_eq!(host.ends(), [Outcome::Finished]);
}

#[rstest]
fn a_request_sent_as_its_connection_closes_may_have_run_and_is_told_so_once() {
    let mut host = Host::on_platform(&[]);
    let (front, worker) = job_out(&mut host);
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(1, 1_000_000));
    let (now, bytes) = (host.now, request(2, &usual(OTHER), b"in"));
    host.edge.on_event(
        now,
        Event::Bytes {
            conn: front,
            bytes: &bytes,
        },
        &mut host.io,
    );
    host.turn();
    host.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Orderly,
    });
    assert_eq!(host.ends(), [Outcome::Finished, Outcome::Reset]);
}

#[rstest]
fn a_dial_that_comes_up_after_its_request_has_gone_is_used_by_the_next() {
    let mut host = Host::on_platform(&[("limits.connect-time-out", "2 s")]);
    let (front, worker) = job_waits(&mut host);
    leaves(&mut host, front, true);
    host.wait(S);
    host.up(worker);
    let before = host.io.connects.len();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(1, 1_000_000));
    let other = host.client();
    asks(&mut host, other, 1, OTHER);
    assert_eq!(host.io.connects.len(), before);
    assert!(host.io.wrote.contains_key(&worker));
}

// ---- The list

#[rstest]
fn what_waits_for_a_worker_that_a_whole_list_leaves_out_is_taken_back() {
    let mut host = Host::on_platform(&[]);
    let (_, dial) = job_waits(&mut host);
    let others =
        json!([{"n": 2, "members": {"complete": true, "members": [member("v", "in_service")]}}]);
    tells(&mut host, 2, others);
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
    host.up(dial);
    assert_eq!(host.io.wrote.get(&dial), None);
}

#[rstest]
#[case::draining(Phase::Draining)]
#[case::gone(Phase::Gone)]
fn what_waits_for_a_worker_that_our_own_list_service_tells_off_is_taken_back(#[case] phase: Phase) {
    let mut host = Host::new(&[]);
    let (_, dial) = host.call_out(S);
    host.list_says(&host.rows(2, true, 0, &[row("w", 1, phase)]));
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
    host.up(dial);
    assert!(host.executions_read(dial).is_empty());
}

#[rstest]
fn what_waits_for_a_worker_that_has_moved_is_not_sent_to_its_old_address() {
    let mut host = Host::on_platform(&[]);
    let (_, dial) = job_waits(&mut host);
    let mut moved = member("w", "in_service");
    moved["host_port"] = json!("10.0.0.9:7001");
    told(&mut host, 2, moved);
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
    host.up(dial);
    assert_eq!(host.io.wrote.get(&dial), None);
    decide(&mut host, 2, &[]);
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_000_000));
    tells(
        &mut host,
        3,
        json!([{"n": 3, "members": {"complete": false, "members": [member("u", "in_service")]}}]),
    );
    assert_eq!(host.io.connects.last().unwrap().1, "10.0.0.9:7001");
}

#[rstest]
fn what_waits_for_a_worker_whose_address_a_later_start_took_over_does_not_go_there() {
    let mut host = Host::on_platform(&[]);
    let (_, dial) = job_waits(&mut host);
    let mut cold = member("v", "in_service");
    cold["up_since_ms"] = json!(host.now / 1000);
    told(&mut host, 2, cold);
    assert_eq!(host.ends(), [Outcome::CancelledBeforeStart]);
    host.up(dial);
    assert_eq!(host.io.wrote.get(&dial), None);
    // Until the list tells that it is gone nothing is sent for it, wherever that would come.
    let before = host.io.connects.len();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_000_000));
    tells(
        &mut host,
        3,
        json!([{"n": 3, "members": {"complete": false, "members": [member("u", "in_service")]}}]),
    );
    assert_eq!(host.io.connects.len(), before);
    assert_eq!(
        host.ends(),
        [Outcome::CancelledBeforeStart, Outcome::NoConnection]
    );
}

#[rstest]
fn an_event_that_an_answer_counts_and_does_not_bring_is_asked_for_once_more() {
    let mut host = Host::on_platform(&[]);
    tells(
        &mut host,
        3,
        json!([{"n": 2, "members": {"complete": false, "members": [member("v", "in_service")]}}]),
    );
    let asked = |host: &Host| {
        let text = String::from_utf8_lossy(&host.io.wrote[&host.list]).into_owned();
        text.lines()
            .rfind(|line| line.starts_with("GET"))
            .unwrap()
            .to_string()
    };
    assert!(asked(&host).contains("SUB=2&"), "{}", asked(&host));
    tells(
        &mut host,
        3,
        json!([{"n": 3, "members": {"complete": false, "members": [member("v", "terminated")]}}]),
    );
    assert_eq!(
        host.strings.borrow().lists.last().unwrap().endpoints[0].state,
        WorkerState::Gone
    );
    // A feed that counts what it never brings is believed the second time.
    tells(&mut host, 5, json!([]));
    assert!(asked(&host).contains("SUB=3&"));
    tells(&mut host, 5, json!([]));
    assert!(asked(&host).contains("SUB=5&"));
}

#[rstest]
fn the_last_events_of_a_watch_that_closes_at_once_are_taken() {
    let mut host = Host::on_platform(&[]);
    let (now, feed) = (host.now, host.list);
    let json = json!({"n": 2, "events": [{"n": 2, "members": {"complete": false, "members": [member("w", "terminating")]}}]});
    let answer = sanddrum_wire::http::encode_response(200, &[], json.to_string().as_bytes(), true);
    host.edge.on_event(
        now,
        Event::Bytes {
            conn: feed,
            bytes: &answer,
        },
        &mut host.io,
    );
    host.event(Event::Closed {
        conn: feed,
        cause: CloseCause::Orderly,
    });
    assert_eq!(
        host.strings.borrow().lists.last().unwrap().endpoints[0].state,
        WorkerState::Draining
    );
}

#[rstest]
fn an_answer_to_the_watch_before_changes_nothing_once_there_is_a_new_one() {
    let mut host = Host::on_platform(&[]);
    let old = host.list;
    host.wait(2 * S);
    let json = json!({"n": 2, "events": [{"n": 2, "members": {"complete": false, "members": [member("w", "terminated")]}}]});
    let answer = sanddrum_wire::http::encode_response(200, &[], json.to_string().as_bytes(), true);
    host.says(old, &answer);
    assert_eq!(host.strings.borrow().lists.len(), 1);
}

#[rstest]
fn one_that_starts_while_discovery_is_down_is_ready_within_ten_seconds_and_refuses_at_once() {
    let mut host = Host::without_list(&[]);
    let health = |host: &mut Host| {
        let front = host.client();
        host.says(
            front,
            &request(1, &[("SCRIPT_NAME", "/health".into())], b""),
        );
        statuses(host, front).remove(0).1
    };
    host.event(Event::Closed {
        conn: host.list,
        cause: CloseCause::Refused,
    });
    assert_eq!(health(&mut host), "Status: 503");
    host.wait(5 * S);
    assert_eq!(health(&mut host), "Status: 200");
}

// ---- Clients

#[rstest]
fn an_idempotency_key_goes_on_unchanged_with_every_attempt() {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    let mut pairs = usual(CALL);
    pairs.push(("HTTP_X_DEDUPE_KEY", "order-17".into()));
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    host.says(front, &request(1, &pairs, b"in"));
    let first = worker(&host);
    host.up(first);
    let (id, key) = (call_number(), Some("order-17"));
    assert_eq!(
        host.io.wrote[&first],
        frames::request_with_key(id, "job", FUNCTION, 1_400_000, key, b"in")
    );
    host.says(first, &frames::response(100, id, "", b""));
    decide(&mut host, 2, &[Do::Execute(0, 1_000_000)]);
    let second = worker(&host);
    host.up(second);
    assert_eq!(
        host.io.wrote[&second],
        frames::request_with_key(id, "job", FUNCTION, 1_000_000, key, b"in")
    );
}

#[rstest]
fn one_request_too_long_takes_no_other_on_its_connection_with_it() {
    let mut host = Host::on_platform(&[("limits.largest-body", "16 KB")]);
    let (front, worker) = job_out(&mut host);
    host.says(front, &request(2, &usual(OTHER), &vec![7; 40_000]));
    host.wait(S);
    assert_eq!(statuses(&host, front), [(2, "Status: 413".to_string())]);
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(
        statuses(&host, front).last().unwrap(),
        &(1, "Status: 200".to_string())
    );
    assert!(!host.io.closed.iter().any(|(conn, _)| *conn == front));
}

#[rstest]
fn one_request_that_never_comes_whole_takes_no_other_on_its_connection_with_it() {
    let mut host = Host::on_platform(&[("limits.head-time-out", "500 ms")]);
    let (front, worker) = job_out(&mut host);
    host.says(front, &request(2, &usual(OTHER), b"in")[..40]);
    host.wait(S);
    assert!(!host.io.closed.iter().any(|(conn, _)| *conn == front));
    host.says(worker, &frames::response(97, call_number(), "", b"out"));
    assert_eq!(statuses(&host, front), [(1, "Status: 200".to_string())]);
    assert!(
        host.io.closed.contains(&(front, Some(CloseCause::Orderly))),
        "behind the answer"
    );
}

#[rstest]
fn a_request_given_up_on_a_connection_that_ends_is_heard_of() {
    let mut host = Host::on_platform(&[]);
    let front = host.client();
    // The second is the last on its connection, and is answered first.
    asks(&mut host, front, 1, CALL);
    let mut last = request(2, &usual(OTHER), b"in");
    last[HEADER_BYTES + 2] = 0;
    host.strings.borrow_mut().deeds.push(Do::PushBack(1));
    host.says(front, &last);
    assert_eq!(statuses(&host, front), [(2, "Status: 503".to_string())]);
    asks(&mut host, front, 3, "00000000000000bb");
    assert_eq!(
        answers(&host, front).last().unwrap().2,
        2,
        "it is told at once that it is not taken"
    );
    leaves(&mut host, front, true);
    assert_eq!(host.strings.borrow().left.len(), 1);
    assert!(host.io.closed.contains(&(front, Some(CloseCause::Orderly))));
}

// ---- The end

#[rstest]
fn asked_to_end_it_waits_for_a_request_that_has_come_in_part() {
    let mut host = Host::on_platform(&[("limits.late-arrivals", "700 ms")]);
    let front = host.client();
    let bytes = request(1, &usual(CALL), b"in");
    let now = host.now;
    host.edge.shut_down(now, &mut host.io);
    host.wait(S / 2);
    host.says(front, &bytes[..40]);
    host.wait(S / 2);
    assert!(!host.edge.is_done());
    host.strings.borrow_mut().deeds.push(Do::PushBack(0));
    host.says(front, &bytes[40..]);
    assert_eq!(statuses(&host, front), [(1, "Status: 503".to_string())]);
    assert!(host.edge.is_done());
}

#[rstest]
fn one_that_never_sends_the_rest_does_not_hold_the_end_up() {
    let mut host = Host::on_platform(&[
        ("limits.stop-within", "1 s"),
        ("limits.head-time-out", "30 s"),
    ]);
    let front = host.client();
    let now = host.now;
    host.says(front, &request(1, &usual(CALL), b"in")[..40]);
    host.edge.shut_down(now, &mut host.io);
    host.wait(S + 1);
    assert!(host.edge.is_done());
}

#[rstest]
fn what_is_taken_while_it_ends_has_no_longer_than_that() {
    let mut host = Host::on_platform(&[
        ("limits.stop-within", "1 s"),
        ("limits.late-arrivals", "700 ms"),
    ]);
    let now = host.now;
    host.edge.shut_down(now, &mut host.io);
    let front = host.client();
    asks(&mut host, front, 1, CALL);
    assert_eq!(host.strings.borrow().jobs[0].deadline, now + S);
}
