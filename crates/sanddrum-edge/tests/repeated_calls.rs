//! Requests with the id of an earlier one.

mod harness;

use harness::fastcgi::{request, request_params_with, CALL_ID};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::Micros;
use sanddrum_net::ConnectionId;

/// A workload whose requests may run once.
const ONCE: &str = r#"(workload "pay" (time-limit 10s) (effect run-once))"#;
/// A worker answers no attempt after twice the longest time limit.
const RETENTION: Micros = 20 * SECOND;

fn send_once(harness: &mut EdgeHarness, client: ConnectionId, id: u16) {
    let params = request_params_with("SCRIPT_NAME", "/rpc/pay");
    harness.receive(client, &request(id, &params, b"in"));
}

/// Guards against effects that happen twice: an id is remembered for as long as its first attempt may run.
#[rstest]
#[case::within_the_retention(RETENTION - SECOND, &[(1, 409)], 1)]
#[case::after_the_retention(RETENTION + SECOND, &[], 2)]
fn an_id_that_has_run_fails_until_it_is_forgotten(
    #[case] later: Micros,
    #[case] statuses: &[(u16, u16)],
    #[case] decided: usize,
) {
    let mut harness = EdgeHarness::on_platform_with_forms(&[], ONCE);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, SECOND)]);
    send_once(&mut harness, client, 1);
    let worker = harness.last_connection();
    harness.connect(worker);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    harness.now += later;
    let again = harness.accept_client();
    send_once(&mut harness, again, 1);
    assert_eq!(harness.fastcgi_statuses(again), statuses);
    assert_eq!(harness.request_count(), decided);
}

/// Guards against failures of requests that certainly have not run.
#[rstest]
fn an_id_that_has_not_run_is_accepted_again() {
    let mut harness = EdgeHarness::on_platform_with_forms(&[], ONCE);
    let client = harness.accept_client();
    harness.plan([Decision::Reject(0)]);
    send_once(&mut harness, client, 1);
    send_once(&mut harness, client, 2);
    assert_eq!(harness.request_count(), 2);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 503)]);
}
