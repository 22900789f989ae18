//! Slow start: how much work a worker gets while it warms up.

mod common;

use common::{endpoint, router_count, Action, FakeHost};
use rstest::rstest;
use sanddrum::WorkerState;

fn is_dispatch_to_worker_1(action: &Action) -> bool {
    matches!(action, Action::Dispatch { worker: 1, .. })
}

#[rstest]
fn restarted_worker_gets_nothing_before_its_budget_has_accrued() {
    let mut host = FakeHost::new(2, &[]);
    host.update_endpoint(endpoint(1, WorkerState::Ready, host.now));
    for id in 0..8 {
        host.send(id, id);
    }
    assert_eq!(host.count(is_dispatch_to_worker_1), 0);
}

#[rstest]
#[case::one_router(1.0)]
#[case::two_hundred(200.0)]
fn routers_together_stay_within_the_budget_of_a_restarted_worker(#[case] routers: f64) {
    // One worker of four restarts; all routers together get the traffic of one, ten requests a second.
    let mut dispatched = 0;
    for router in 0..routers as u64 {
        let mut host = FakeHost::with_seed(router, 4, &[router_count(routers)]);
        host.update_endpoint(endpoint(1, WorkerState::Ready, host.now));
        let requests = 20 / routers as u64 + u64::from(router < 20 % routers as u64);
        (0..requests).for_each(|id| {
            host.advance(100_000);
            host.send(id, router * 100 + id);
        });
        dispatched += host.count(is_dispatch_to_worker_1);
    }
    assert!(
        dispatched <= 3,
        "{dispatched} of twenty requests in two seconds"
    );
}
