//! Every way in which an execution can end, and whether it can have run.

mod host;

use host::{row, Do, Host, S};
use rstest::rstest;
use sanddrum::{EndpointListKind, Outcome, WorkerState};
use sanddrum_edge::endpoint_cache;
use sanddrum_net::{CloseCause, Core, Event};
use sanddrum_wire::{ExecutionStatus, FromWorker, HealthStatus, LoadDone, Phase};

#[rstest]
#[case::refused(0, CloseCause::Refused, Outcome::NoConnection)]
#[case::written_in_part(60, CloseCause::Reset, Outcome::NoConnection)]
#[case::written_whole(10_000, CloseCause::Reset, Outcome::Reset)]
#[case::closed_in_order_without_an_answer(10_000, CloseCause::Orderly, Outcome::Reset)]
fn a_broken_connection_tells_whether_the_job_can_have_run(
    #[case] room: usize,
    #[case] how: CloseCause,
    #[case] end: Outcome,
) {
    let mut h = Host::new(&[]);
    let (_, worker) = h.call_out(5 * S);
    h.io.room.insert(worker, room);
    if how != CloseCause::Refused {
        h.up(worker);
    }
    assert_eq!(h.executions_read(worker).len(), usize::from(room == 10_000));
    h.event(Event::Closed {
        conn: worker,
        cause: how,
    });
    h.turn();
    assert_eq!(h.ends(), [end]);
}

#[rstest]
fn a_connection_that_is_not_up_in_time_is_given_up() {
    let mut h = Host::new(&[("limits.connect-time-out", "100ms")]);
    let (_, worker) = h.call_out(5 * S);
    h.wait(S / 5);
    assert_eq!(h.ends(), [Outcome::NoConnection]);
    assert!(h.io.closed.contains(&(worker, Some(CloseCause::Reset))));
}

#[rstest]
fn workers_connections_keep_within_their_bound_and_the_idle_one_makes_room() {
    let mut h = Host::new(&[("limits.all-connections", "1")]);
    h.list_says(&h.rows(
        2,
        true,
        0,
        &[row("w", 1, Phase::Ready), row("v", 1, Phase::Ready)],
    ));
    let (_, first) = h.call_out(5 * S);
    h.up(first);
    let connects = h.io.connects.len();
    let client = h.client();
    let call_at_v = |h: &mut Host, job: u64| {
        h.strings
            .borrow_mut()
            .deeds
            .push(Do::ExecuteAt(job, 5 * S, "v"));
        h.calls(client, &[]);
        h.turn();
    };
    call_at_v(&mut h, 1);
    assert_eq!(
        (h.ends(), h.io.connects.len()),
        (vec![Outcome::NoConnection], connects),
        "none is idle"
    );
    let id = h.executions_read(first)[0];
    h.done(first, id, ExecutionStatus::Finished);
    call_at_v(&mut h, 2);
    h.wait(S / 100);
    assert_eq!(h.io.connects.len(), connects + 1);
    assert!(h.io.closed.iter().any(|(conn, _)| *conn == first));
}

#[rstest]
fn an_answer_after_a_cancel_or_a_second_one_changes_nothing() {
    let mut h = Host::new(&[]);
    let (client, worker) = h.call_out(5 * S);
    h.up(worker);
    let id = h.executions_read(worker)[0];
    h.decide(Do::Cancel(0, 0));
    h.turn();
    assert_eq!(h.ends(), [Outcome::Cancelled]);
    h.done(worker, id, ExecutionStatus::Finished);
    assert_eq!((h.ends().len(), h.statuses(client).len()), (1, 0));
    h.decide(Do::PushBack(0));
    h.done(worker, id, ExecutionStatus::Finished);
    assert_eq!(h.statuses(client), [503]);

    let (client, _) = h.call_out(5 * S);
    let id = h.executions_read(worker)[1];
    h.done(worker, id, ExecutionStatus::Finished);
    h.done(worker, id, ExecutionStatus::Error);
    assert_eq!(h.statuses(client), [200]);
    assert!(h.strings.borrow().ends[1].is_final);
    assert_eq!(h.ends().len(), 2);
}

#[rstest]
fn what_was_never_written_is_taken_back_and_is_known_not_to_have_run() {
    let mut h = Host::new(&[]);
    let (_, worker) = h.call_out(5 * S);
    h.decide(Do::Cancel(0, 0));
    h.turn();
    assert_eq!(h.ends(), [Outcome::CancelledBeforeStart]);
    h.call_out(S / 10);
    h.wait(S / 5);
    assert_eq!(
        h.ends(),
        [Outcome::CancelledBeforeStart, Outcome::NoConnection],
        "its time was up before it could be sent"
    );
    h.up(worker);
    assert_eq!(h.executions_read(worker), [] as [u64; 0]);
}

#[rstest]
fn what_was_written_and_is_not_answered_in_time_may_have_run() {
    let mut h = Host::new(&[]);
    let (client, worker) = h.call_out(S);
    h.up(worker);
    h.wait(2 * S);
    assert_eq!(h.ends(), [Outcome::TimedOut]);
    let id = h.executions_read(worker)[0];
    h.done(worker, id, ExecutionStatus::Finished);
    assert_eq!(
        h.statuses(client),
        [] as [u16; 0],
        "an execution that was given up answers nobody"
    );
}

#[rstest]
#[case::finished(ExecutionStatus::Finished, Outcome::Finished)]
#[case::error(ExecutionStatus::Error, Outcome::Error)]
#[case::full(ExecutionStatus::Rejected, Outcome::Rejected)]
#[case::miss(ExecutionStatus::ColdMiss, Outcome::ColdMiss)]
#[case::dropped(ExecutionStatus::Dropped, Outcome::CancelledBeforeStart)]
fn workers_ends_are_told_as_they_are(#[case] ended: ExecutionStatus, #[case] end: Outcome) {
    let mut h = Host::new(&[]);
    let (client, worker) = h.call_out(5 * S);
    h.up(worker);
    h.done(worker, h.executions_read(worker)[0], ended);
    assert_eq!(h.ends(), [end]);
    assert_eq!(
        h.statuses(client).len(),
        usize::from(ended == ExecutionStatus::Finished)
    );
}

#[rstest]
#[case::noise(&[0, 0, 0, 2, 0xff, 0xff])]
#[case::too_large(&[0x7f, 0xff, 0xff, 0xff])]
#[case::half_a_frame_then_noise(&[0, 0, 0, 1, 0x00])]
fn a_worker_that_sends_garbage_is_cut_off(#[case] bytes: &[u8]) {
    let mut h = Host::new(&[]);
    let (_, worker) = h.call_out(5 * S);
    h.up(worker);
    h.says(worker, bytes);
    assert_eq!(h.ends(), [Outcome::Reset]);
    assert!(h.io.closed.contains(&(worker, Some(CloseCause::Reset))));
}

#[rstest]
fn answers_count_only_where_they_were_asked_for() {
    let mut h = Host::new(&[("limits.streams", "1")]);
    let (first, one) = h.call_out(5 * S);
    let (second, two) = h.call_out(5 * S);
    assert_ne!(one, two, "each connection carries one");
    h.up(one);
    h.up(two);
    let id = h.executions_read(one)[0];
    h.done(two, id, ExecutionStatus::Finished);
    h.done(two, 999, ExecutionStatus::Finished);
    assert!(h.ends().is_empty() && h.statuses(first).is_empty() && h.statuses(second).is_empty());
    h.done(one, id, ExecutionStatus::Finished);
    assert_eq!(h.statuses(first), [200]);
}

#[rstest]
fn another_worker_at_its_address_is_not_talked_to() {
    let mut h = Host::new(&[]);
    let (_, worker) = h.call_out(5 * S);
    h.up(worker);
    h.greets(worker, "someone-else", 1, None);
    assert_eq!(h.ends(), [Outcome::Reset]);
}

#[rstest]
fn connections_are_bounded_and_close_when_idle() {
    let mut h = Host::new(&[
        ("limits.streams", "1"),
        ("limits.connections", "1"),
        ("limits.idle-close", "2s"),
    ]);
    let (_, worker) = h.call_out(50 * S);
    h.up(worker);
    h.call_out(50 * S);
    h.turn();
    assert_eq!(h.ends(), [Outcome::Rejected]);
    h.wait(5 * S);
    assert!(h.io.closed.is_empty(), "it carries an execution");
    h.done(
        worker,
        h.executions_read(worker)[0],
        ExecutionStatus::Finished,
    );
    h.wait(4 * S);
    assert!(h.io.closed.contains(&(worker, Some(CloseCause::Orderly))));
}

#[rstest]
fn a_worker_that_does_not_read_is_as_good_as_unreachable() {
    let mut h = Host::new(&[("limits.waiting-per-worker", "100 B")]);
    let (_, worker) = h.call_out(5 * S);
    h.io.room.insert(worker, 0);
    h.up(worker);
    for _ in 0..5 {
        h.call_out(5 * S);
    }
    h.turn();
    assert!(h.ends().contains(&Outcome::NoConnection));
}

#[rstest]
fn every_order_and_probe_gets_exactly_one_end() {
    let mut h = Host::new(&[("limits.order-time-out", "1s")]);
    let (_, worker) = h.call_out(50 * S);
    h.up(worker);
    h.decide(Do::Hold(1));
    h.decide(Do::Probe);
    let held = FromWorker::LoadDone(LoadDone {
        id: 1,
        status: ExecutionStatus::Finished,
        instances: 1,
    });
    let probed = FromWorker::HealthStatus(HealthStatus {
        id: 2,
        report: None,
    });
    for message in [&held, &held, &probed, &probed] {
        h.worker_says(worker, message);
    }
    h.decide(Do::Hold(1));
    h.decide(Do::Probe);
    h.wait(2 * S);
    let strings = h.strings.borrow();
    assert_eq!(
        strings.orders.iter().map(|o| o.outcome).collect::<Vec<_>>(),
        [Outcome::Finished, Outcome::TimedOut]
    );
    assert_eq!(
        strings.probes.iter().map(|p| p.outcome).collect::<Vec<_>>(),
        [Outcome::Finished, Outcome::TimedOut]
    );
}

// ---- The list

#[rstest]
fn a_change_after_a_gap_counts_at_once_and_what_was_missed_is_asked_for_once() {
    let mut h = Host::new(&[]);
    let before = h.io.wrote[&h.list].len();
    h.list_says(&h.rows(5, false, 4, &[row("w", 1, Phase::Draining)]));
    let told = h
        .strings
        .borrow()
        .lists
        .last()
        .map(|l| (l.kind, l.endpoints[0].state));
    assert_eq!(
        told,
        Some((EndpointListKind::Delta, WorkerState::Draining)),
        "a drain does not wait for the rest"
    );
    let asked = h.io.wrote[&h.list].len();
    assert!(asked > before, "it asks");
    h.list_says(&h.rows(6, false, 5, &[row("w", 1, Phase::Draining)]));
    assert_eq!(h.io.wrote[&h.list].len(), asked, "and not again");
    // What follows on the version that it knows comes, and counts.
    h.list_says(&h.rows(6, false, 1, &[row("w", 1, Phase::Ready)]));
    let told = h
        .strings
        .borrow()
        .lists
        .last()
        .map(|l| (l.kind, l.endpoints[0].state));
    assert_eq!(told, Some((EndpointListKind::Delta, WorkerState::Ready)));
}

#[rstest]
fn the_same_start_is_one_instant_and_a_greeting_may_tell_of_a_new_one() {
    let mut h = Host::new(&[]);
    let young = |incarnation, age_us| sanddrum_wire::EndpointRecord {
        age_us,
        ..row("w", incarnation, Phase::Ready)
    };
    h.list_says(&h.rows(2, true, 0, &[young(2, 500_000)]));
    let first = h.strings.borrow().lists.last().unwrap().endpoints[0].started_at;
    assert_eq!(first, h.now - 500_000);
    h.now += S;
    h.list_says(&h.rows(3, true, 0, &[young(2, 1_700_000)]));
    assert_eq!(
        h.strings.borrow().lists.last().unwrap().endpoints[0].started_at,
        first,
        "200 ms late, not restarted"
    );
    let (_, worker) = h.call_out(5 * S);
    h.up(worker);
    h.greets(worker, "w", 3, Some(1000));
    let told = h.strings.borrow().lists.last().unwrap().endpoints[0];
    assert_eq!(told.started_at, h.now - 1000);
    h.list_says(&h.rows(4, true, 0, &[young(2, 9_000_000)]));
    assert_eq!(
        h.strings.borrow().lists.last().unwrap().endpoints[0].started_at,
        told.started_at,
        "stale news"
    );
}

#[rstest]
fn the_last_list_comes_back_after_a_crash_unless_it_is_torn() {
    let mut h = Host::new(&[]);
    h.wait(S);
    let kept = h.io.saved.clone().unwrap();
    let again = Host::bare(&[], Some(kept.clone()));
    assert_eq!(
        again.strings.borrow().lists[0].kind,
        EndpointListKind::Cached
    );
    assert_eq!(
        again.strings.borrow().lists[0].endpoints[0].state,
        WorkerState::Ready
    );
    for torn in [&kept[..kept.len() - 3], b"something else", &[]] {
        assert!(endpoint_cache::read(torn).is_err());
        let again = Host::bare(&[], Some(torn.to_vec()));
        assert!(again.strings.borrow().lists.is_empty());
    }
}

#[rstest]
fn a_list_service_that_is_away_is_called_again_after_waits_that_spread() {
    let mut h = Host::new(&[
        ("limits.list-retry-least", "100ms"),
        ("limits.list-retry-most", "1s"),
    ]);
    h.event(Event::Closed {
        conn: h.list,
        cause: CloseCause::Reset,
    });
    let mut calls = Vec::new();
    for _ in 0..6 {
        let before = h.io.connects.len();
        let since = h.now;
        while h.io.connects.len() == before {
            h.wait(10_000);
        }
        calls.push(h.now - since);
        let conn = h.io.connects.last().unwrap().0;
        h.event(Event::Closed {
            conn,
            cause: CloseCause::Refused,
        });
    }
    // Each wait is drawn from the least to three times the last one.
    assert!(
        calls[0] <= 310_000 && calls.iter().all(|wait| (90_000..=1_010_000).contains(wait)),
        "{calls:?}"
    );
    assert!(calls.iter().any(|wait| *wait >= 400_000), "{calls:?}");
}

// ---- Connections, as the connection module decides them

/// The certificates have changed while a job is out: it ends where it is, a successor takes what is new, and the old
/// connection goes once nothing is out on it.
#[rstest]
fn a_connection_of_past_terms_is_replaced_and_what_is_out_on_it_ends_there() {
    let mut h = Host::new(&[("limits.retire-within", "1s")]);
    let (client, old) = h.call_out(5 * S);
    h.up(old);
    let first = h.executions_read(old)[0];
    let now = h.now;
    h.edge.on_credentials_changed(now, old, false, &mut h.io);
    h.turn();
    h.turn();
    let new = h.io.connects.last().unwrap().0;
    assert_ne!(new, old, "its successor is begun");
    h.up(new);
    let (other, _) = h.call_out(5 * S);
    assert_eq!(
        (h.executions_read(old).len(), h.executions_read(new).len()),
        (1, 1)
    );
    h.wait(2 * S);
    assert!(
        !h.io.closed.iter().any(|(conn, _)| *conn == old),
        "a job is out on it"
    );
    h.done(old, first, ExecutionStatus::Finished);
    h.wait(S);
    assert!(h.io.closed.contains(&(old, Some(CloseCause::Orderly))));
    let second = h.executions_read(new)[0];
    h.done(new, second, ExecutionStatus::Finished);
    assert_eq!(
        (h.statuses(client), h.statuses(other)),
        (vec![200], vec![200])
    );
}

#[rstest]
fn a_worker_that_is_not_believed_any_more_gets_nothing_new() {
    let mut h = Host::new(&[]);
    let (_, old) = h.call_out(5 * S);
    h.up(old);
    let now = h.now;
    h.edge.on_credentials_changed(now, old, true, &mut h.io);
    h.turn();
    h.call_out(5 * S);
    assert_eq!(h.executions_read(old).len(), 1);
}

/// It refused a moment ago: what is sent there ends at once, and nobody knocks again before its time.
#[rstest]
fn a_worker_that_can_not_be_reached_is_left_alone_for_a_while() {
    let mut h = Host::new(&[("limits.left-alone-least", "400ms")]);
    let (_, conn) = h.call_out(5 * S);
    h.event(Event::Closed {
        conn,
        cause: CloseCause::Refused,
    });
    let tried = h.io.connects.len();
    for _ in 0..3 {
        h.strings.borrow_mut().deeds.push(Do::Probe);
        h.call_out(5 * S);
        h.turn();
    }
    assert_eq!(h.io.connects.len(), tried);
    assert!(
        h.ends().iter().all(|end| *end == Outcome::NoConnection) && h.ends().len() == 4,
        "{:?}",
        h.ends()
    );
    h.wait(S);
    h.call_out(5 * S);
    assert_eq!(h.io.connects.len(), tried + 1);
}

#[rstest]
fn a_worker_under_a_name_that_is_not_its_own_is_left_alone_too() {
    let mut h = Host::new(&[]);
    let (_, conn) = h.call_out(5 * S);
    h.up(conn);
    h.greets(conn, "somebody", 1, None);
    let tried = h.io.connects.len();
    h.call_out(5 * S);
    h.turn();
    assert_eq!(h.io.connects.len(), tried);
    assert_eq!(h.ends(), [Outcome::Reset, Outcome::NoConnection]);
}

/// Its connection is long in coming, and meanwhile another execution finishes, or the client leaves: nothing of the job
/// is sent once the connection is up.
#[rstest]
fn what_waits_for_a_connection_is_not_sent_after_the_final_answer(
    #[values(true, false)] leaves: bool,
) {
    let mut h = Host::new(&[("limits.connect-time-out", "4s")]);
    let (client, slow) = h.call_out(5 * S);
    h.wait(S);
    if leaves {
        h.event(Event::Closed {
            conn: client,
            cause: CloseCause::Orderly,
        });
    } else {
        h.decide(Do::PushBack(0));
        assert_eq!(h.statuses(client), [503]);
    }
    h.up(slow);
    h.wait(S);
    assert_eq!(h.executions_read(slow).len(), 0);
    assert_eq!(h.ends(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
#[should_panic(expected = "violation of effect-once")]
fn a_second_attempt_of_what_may_run_once_is_caught_before_it_is_written() {
    let more =
        r#"(workload "once" (time-limit 10s) (effect run-once)) (function "g*" (workload "once"))"#;
    let mut host = Host::with(&[], more);
    let client = host.client();
    host.strings.borrow_mut().deeds.push(Do::Execute(0, S));
    host.says(
        client,
        &sanddrum_wire::http::encode_request("POST", "/v1/calls/once/g1", &[], b"in"),
    );
    let worker = host.io.connects.last().unwrap().0;
    host.up(worker);
    let first = host.executions_read(worker)[0];
    host.done(worker, first, ExecutionStatus::Error);
    host.decide(Do::Execute(0, S));
}

#[rstest]
#[case::the_clock_went_on_by_an_hour(-3600 * S)]
#[case::the_clock_went_back_by_an_hour(3600 * S)]
fn a_worker_that_was_young_as_the_list_was_kept_is_no_older_for_a_step_of_the_clock(
    #[case] kept_at: i64,
) {
    use sanddrum_edge::endpoint_cache::{write, CachedState};
    let young = sanddrum_wire::EndpointRecord {
        age_us: 500_000,
        ..row("w", 1, Phase::Ready)
    };
    let kept = CachedState {
        saved_at: 1000 * S + kept_at,
        service_incarnation: 1,
        version: 1,
        endpoints: vec![young],
        ..CachedState::default()
    };
    let h = Host::bare(&[], Some(write(&kept)));
    assert_eq!(
        h.strings.borrow().lists[0].endpoints[0].started_at,
        1000 * S - 500_000
    );
}
