//! The options to pre-warm instances, to renew them, and to unload them early.

mod common;

use common::{router_count, Action, FakeHost, LOAD_COMMANDS};
use rstest::rstest;
use sanddrum::{Value, Warmth};

#[rstest]
fn pre_warmed_quota_is_loaded_in_advance_and_renewed() {
    let settings = [
        LOAD_COMMANDS,
        router_count(2.0),
        ("design.pre-warmed", Value::Number(3.0)),
    ];
    let mut host = FakeHost::new(3, &settings);
    host.send(1, 7);
    assert_eq!(
        host.load_commands(7, 2),
        1,
        "this router's quota of three instances"
    );
    host.answer_queries(0);
    host.complete_first_load(7, 500_000);
    host.advance(6_500_000);
    assert_eq!(host.load_commands(7, 2), 2);
}

#[rstest]
#[case::set_for_the_function("design.7.keep-alive-us", 1)]
#[case::set_for_another_function("design.8.keep-alive-us", 0)]
fn load_commands_renew_instances_for_a_longer_keep_alive(
    #[case] name: &str,
    #[case] renewals: usize,
) {
    let mut host = FakeHost::new(3, &[LOAD_COMMANDS, (name, Value::Number(2e7))]);
    host.send(1, 7);
    host.answer_queries(0);
    host.succeed(1, Warmth::StartedLoad, 900_000);
    host.advance(7_000_000);
    assert_eq!(host.load_commands(7, 1), renewals);
}

#[rstest]
fn idle_instances_are_unloaded_once() {
    let settings = [LOAD_COMMANDS, ("design.drop-after-us", Value::Number(2e6))];
    let mut host = FakeHost::new(3, &settings);
    host.send(1, 7);
    host.answer_queries(0);
    host.succeed(1, Warmth::StartedLoad, 900_000);
    let worker = host.dispatched_to(1).unwrap_or(9);
    host.advance(7_500_000);
    let unload = Action::Unload {
        worker,
        function: 7,
    };
    assert_eq!(host.count(|action| *action == unload), 1);
    host.advance(7_500_000);
    assert_eq!(host.count(|a| matches!(a, Action::Unload { .. })), 1);
}
