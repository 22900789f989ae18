//! Rows of the worker list that a decision copies, by what it allocates. The only test here, as what others allocate
//! meanwhile would count.

use rstest::rstest;
use sanddrum::{
    CustomerId, Decisions, Endpoint, EndpointList, EndpointListKind, EventBatch, FunctionId,
    PeerId, Request, RequestId, Router, WorkerId, WorkerState, WorkloadId,
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

/// Nothing is kept of what is decided.
struct Unkept;

impl Decisions for Unkept {
    fn dispatch(&mut self, _: RequestId, _: WorkerId, _: i64) {}
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: i64) {}
    fn fail(&mut self, _: RequestId) {}
    fn load(&mut self, _: WorkerId, _: FunctionId, _: u32) {}
    fn unload(&mut self, _: WorkerId, _: FunctionId) {}
    fn check_health(&mut self, _: WorkerId) {}
    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn wake_at(&mut self, _: i64) {}
    fn log(&mut self, _: &str) {}
}

/// Bytes that a module allocates for the decision on one job, in the mean over jobs of different functions that come
/// between two sweeps.
fn allocated_for_a_decision(workers: u64, orders: bool) -> f64 {
    const JOBS: u64 = 200;
    let mut module = Router::new(1, &module_settings(&plan(), 0, 4200, orders).unwrap());
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
        &mut Unkept,
    );
    let job = |n| Request {
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
    let rounds: Vec<EventBatch> = (0..JOBS)
        .map(|n| EventBatch {
            requests: vec![job(n)],
            ..EventBatch::default()
        })
        .collect();
    let region = Region::new(COUNTED);
    rounds
        .iter()
        .for_each(|round| module.handle(now + 1, round, &mut Unkept));
    region.change().bytes_allocated as f64 / JOBS as f64
}

#[rstest]
fn rows_copied_for_a_decision_do_not_grow_with_the_fleet() {
    // A row that is copied takes eight bytes at least. A hundredth of a row for each further worker is no copy; in small
    // fleets a draw's path, which grows until its tree is filled, may come to less than one.
    for (from, to, row_a_worker) in [(1000, 10_000, 0.01), (100, 1000, 0.5)] {
        for orders in [false, true] {
            let of = |workers| allocated_for_a_decision(workers, orders);
            let (small, large) = (of(from), of(to));
            let rows = (large - small) / 8.0;
            assert!(
                rows < (to - from) as f64 * row_a_worker,
                "orders {orders}: {small:.0} bytes with {from} workers, {large:.0} with {to}, as of {rows:.0} rows more"
            );
        }
    }
}
