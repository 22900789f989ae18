//! The number of endpoint rows that a decision copies, derived from its allocations. This file has a single test,
//! because allocations of concurrent tests would be counted too.

use rstest::rstest;
use sanddrum::{
    AttemptLimits, CustomerId, Decisions, Endpoint, EndpointList, EndpointListKind, EventBatch,
    FunctionId, PeerId, Request, RequestId, Router, WorkerId, WorkerState, WorkloadId,
};
use sanddrum_lab::capacity::router::module_settings;
use sanddrum_lab::capacity::{Memory, Plan, SHORT_PLAN};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn plan() -> Plan {
    Plan::read("rows.sx", SHORT_PLAN, 1, Memory { total: 24 << 30 }).unwrap()
}

/// Discards all decisions.
struct DiscardDecisions;

impl Decisions for DiscardDecisions {
    fn dispatch(&mut self, _: RequestId, _: WorkerId, _: AttemptLimits) {}
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: i64) {}
    fn fail(&mut self, _: RequestId) {}
    fn load(&mut self, _: WorkerId, _: FunctionId, _: u32, _: i64) {}
    fn unload(&mut self, _: WorkerId, _: FunctionId) {}
    fn check_health(&mut self, _: WorkerId) {}
    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn wake_at(&mut self, _: i64) {}
    fn log(&mut self, _: &str) {}
}

/// The mean number of bytes that a module allocates for the decision on a request, over requests for different
/// functions between two sweeps.
fn bytes_per_decision(workers: u64, load_commands: bool) -> f64 {
    const REQUESTS: u64 = 200;
    let mut module = Router::new(
        1,
        &module_settings(&plan(), 0, 4200, load_commands).unwrap(),
    );
    let row = |n| Endpoint {
        worker: WorkerId(n),
        size: 8.0,
        state: WorkerState::Ready,
        ..Endpoint::default()
    };
    let list = EndpointList {
        kind: EndpointListKind::Full,
        endpoints: (0..workers).map(row).collect(),
    };
    let now = 1_000_000_000;
    module.handle(
        now,
        &EventBatch {
            endpoint_lists: vec![list],
            ..EventBatch::default()
        },
        &mut DiscardDecisions,
    );
    let request = |n| Request {
        id: RequestId(n),
        function: FunctionId(n),
        workload: WorkloadId(0),
        customer: CustomerId(0),
        deadline: now + 10_000_000,
        memory_mb: 128.0,
        concurrency: 1.0,
        load_time: None,
        expected_work: None,
        is_retry: false,
    };
    let rounds: Vec<EventBatch> = (0..REQUESTS)
        .map(|n| EventBatch {
            requests: vec![request(n)],
            ..EventBatch::default()
        })
        .collect();
    let region = Region::new(COUNTED);
    rounds
        .iter()
        .for_each(|round| module.handle(now + 1, round, &mut DiscardDecisions));
    region.change().bytes_allocated as f64 / REQUESTS as f64
}

#[rstest]
fn rows_copied_per_decision_do_not_grow_with_the_fleet() {
    // A copied row takes at least eight bytes. Up to a hundredth of a row per additional worker means that no rows are
    // copied. In small fleets the path of a random selection grows until its tree is full, which may come to less than
    // one row per worker.
    for (from, to, rows_per_worker) in [(1000, 10_000, 0.01), (100, 1000, 0.5)] {
        for load_commands in [false, true] {
            let of = |workers| bytes_per_decision(workers, load_commands);
            let (small, large) = (of(from), of(to));
            let rows = (large - small) / 8.0;
            assert!(
                rows < (to - from) as f64 * rows_per_worker,
                "load commands {load_commands}: {small:.0} bytes with {from} workers, {large:.0} with {to}, the equivalent of {rows:.0} more rows"
            );
        }
    }
}
