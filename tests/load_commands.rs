//! Load commands: loads for a burst of requests, the load budget, and failed or long loads.

mod common;

use common::{workers_answer_misses, Action, FakeHost, Setting, LOAD_COMMANDS};
use rstest::rstest;
use sanddrum::{Outcome, Request, Value, Warmth};
use std::collections::BTreeSet;

fn misses_and_load_commands() -> [Setting; 2] {
    [workers_answer_misses(), LOAD_COMMANDS]
}

#[rstest]
fn burst_causes_one_load_command_per_request() {
    let mut host = FakeHost::new(3, &misses_and_load_commands());
    host.send(1, 7);
    host.answer_queries(0);
    host.send(2, 7);
    assert_eq!(
        host.load_commands(7, 1),
        2,
        "an instance runs one request at a time"
    );
    host.send(3, 7);
    host.send(3, 7);
    host.complete_first_load(7, 900_000);
    assert!(host.is_dispatched(1));
    assert_eq!(
        host.load_commands(None, 1),
        3,
        "one more load for one more request"
    );
}

#[rstest]
fn without_load_commands_each_worker_is_tried_once() {
    let mut host = FakeHost::new(3, &[workers_answer_misses()]);
    host.send(1, 7);
    let mut tried = BTreeSet::new();
    while let Some(worker) = host.dispatched_to(1).filter(|w| tried.insert(*w)) {
        host.end_attempt(1, Outcome::ColdMiss, Warmth::Unknown, 1_000);
        assert!(tried.len() <= 3, "worker {worker} was tried again");
    }
    assert_eq!(tried.len(), 3);
    assert_eq!(
        host.final_answers(1),
        0,
        "the request waits while it can still be in time"
    );
    assert_eq!(host.count(|a| matches!(a, Action::Load { .. })), 0);
}

#[rstest]
fn load_commands_stay_within_the_budget() {
    let budget = [
        ("copies.load-window-us", Value::Number(5e6)),
        ("copies.load-free", Value::Number(2.0)),
        ("copies.load-share", Value::Number(0.1)),
    ];
    let settings = [&misses_and_load_commands()[..], &budget[..]].concat();
    let mut host = FakeHost::new(8, &settings);
    (0..10).for_each(|id| host.send(id, id));
    host.answer_queries(0);
    assert_eq!(
        host.load_commands(None, 1),
        3,
        "two, plus a tenth of ten requests"
    );
}

#[rstest]
#[case::of_several_functions([1, 2], 0)]
#[case::of_one_function([1, 1], 1)]
fn failed_loads_of_several_functions_suspend_load_commands(
    #[case] failing: [u64; 2],
    #[case] loads: usize,
) {
    let mut host = FakeHost::new(3, &misses_and_load_commands());
    for (id, failing_function) in failing.into_iter().enumerate() {
        host.send(id as u64, failing_function);
        host.answer_queries(0);
        let loading_at = host
            .log
            .actions
            .iter()
            .rev()
            .find_map(|action| match action {
                Action::Load {
                    worker,
                    function,
                    instances: 1,
                } if *function == failing_function => Some(*worker),
                _ => None,
            });
        host.end_load(
            loading_at.unwrap_or(99),
            failing_function,
            Outcome::Error,
            0,
        );
    }
    host.send(9, 3);
    host.answer_queries(0);
    assert_eq!(host.load_commands(3, 1), loads);
    host.advance(1_600_000);
    host.send(10, 3);
    assert!(
        host.load_commands(3, 1) >= 1,
        "load commands resume after the backoff"
    );
}

#[rstest]
fn function_whose_load_exceeds_the_deadline_is_loaded_for_later_requests() {
    let mut host = FakeHost::new(3, &misses_and_load_commands());
    for id in [1, 2] {
        host.send_all(vec![Request {
            load_time: Some(4_000_000),
            ..host.request(id, 7)
        }]);
        host.answer_queries(0);
        assert_eq!(
            host.final_answers(id),
            1,
            "the request can't be in time and is rejected immediately"
        );
    }
    assert_eq!(
        host.load_commands(7, 1),
        1,
        "one load, caused by the second request"
    );
    host.complete_first_load(7, 4_000_000);
    host.send(3, 7);
    assert!(host.is_dispatched(3));
}

#[rstest]
#[case::where_requests_start_loads("load", 1)]
#[case::where_workers_answer_misses("miss", 0)]
fn congested_loads_cause_rejections_only_where_requests_wait_at_workers(
    #[case] on_miss: &str,
    #[case] rejections: usize,
) {
    let on_miss_setting = ("copies.on-miss", Value::Text(on_miss.into()));
    let mut host = FakeHost::new(3, &[on_miss_setting, LOAD_COMMANDS]);
    // Loads take four times as long as announced; no request has had to wait for a core.
    for id in 1..4 {
        host.send_all(vec![Request {
            load_time: Some(300_000),
            ..host.request(id, id)
        }]);
        host.answer_queries(0);
        match on_miss {
            "load" => host.succeed(id, Warmth::StartedLoad, 1_200_000),
            _ => drop(host.complete_first_load(id, 1_200_000)),
        }
    }
    host.send_all(vec![Request {
        load_time: Some(500_000),
        ..host.request(9, 9)
    }]);
    host.answer_queries(0);
    assert_eq!(host.final_answers(9), rejections);
}
