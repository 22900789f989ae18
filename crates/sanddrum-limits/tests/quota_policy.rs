//! Simulates many edges that share a few workers, in steps of 10 ms. The workers report rates to the edges.

use rstest::rstest;
use sanddrum::{CustomerId, Micros, RequestId, Settings, Value, WorkerId};
use sanddrum_limits::{
    Admission, AdmissionEvents, AdmissionRequest, Dispatch, QuotaPolicy, RateMeter, RejectReason,
    Rejection, ReportedRates,
};
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
const STEP: Micros = SECOND / 100;
const WORKERS: u64 = 5;

#[derive(Default)]
struct Recorded {
    admitted: Vec<RequestId>,
    rejected: Vec<Rejection>,
}

impl Admission for Recorded {
    fn admit(&mut self, request: RequestId) {
        self.admitted.push(request);
    }
    fn reject(&mut self, _: RequestId, rejection: Rejection) {
        self.rejected.push(rejection);
    }
}

fn settings(overrides: &[(&str, f64)]) -> Settings {
    let mut values: BTreeMap<String, Value> = overrides
        .iter()
        .map(|(name, number)| (name.to_string(), Value::Number(*number)))
        .collect();
    values.insert("sharing.shares".into(), Value::Flag(true));
    Settings(values)
}

/// The requests of one customer at one edge.
#[derive(Clone, Copy)]
struct Traffic {
    edge: usize,
    customer: usize,
    per_second: f64,
}

fn traffic(edge: usize, customer: usize, per_second: f64) -> Traffic {
    Traffic {
        edge,
        customer,
        per_second,
    }
}

/// Edges, the workers that they share, and the fleet's capacity in requests per second.
struct Fleet {
    edges: Vec<QuotaPolicy>,
    events: Vec<AdmissionEvents>,
    customer_meters: BTreeMap<(WorkerId, CustomerId), RateMeter>,
    worker_meters: BTreeMap<WorkerId, RateMeter>,
    capacity: f64,
    free_capacity: f64,
    now: Micros,
    last_request: u64,
    /// Fractions of requests that have not been sent yet, by edge and customer.
    remainders: BTreeMap<(usize, usize), f64>,
}

impl Fleet {
    fn new(edges: usize, capacity: f64, overrides: &[(&str, f64)]) -> Fleet {
        let overrides = [overrides, &[("routers", edges as f64)]].concat();
        Fleet {
            edges: (0..edges)
                .map(|_| QuotaPolicy::new(&settings(&overrides)))
                .collect(),
            events: vec![AdmissionEvents::default(); edges],
            customer_meters: BTreeMap::new(),
            worker_meters: BTreeMap::new(),
            capacity,
            free_capacity: 0.0,
            now: 1000 * SECOND,
            last_request: 0,
            remainders: BTreeMap::new(),
        }
    }
    /// Runs with this traffic for `duration`. Returns each customer's finished requests per second.
    fn run(&mut self, duration: Micros, traffic: &[Traffic]) -> BTreeMap<usize, f64> {
        let mut finished: BTreeMap<usize, f64> = BTreeMap::new();
        for _ in 0..duration / STEP {
            self.now += STEP;
            let customers = self.send_requests(traffic);
            // Unused capacity accumulates for at most 100 ms.
            let added = self.capacity * STEP as f64 / SECOND as f64;
            self.free_capacity = (self.free_capacity + added).min(self.capacity / 10.0);
            // Another edge is served first in each step.
            let (step, edges) = ((self.now / STEP) as usize, self.edges.len());
            for edge in (0..edges).map(|n| (n + step) % edges) {
                let is_reversed = step % 4 < 2;
                for customer in self.serve(edge, &customers, is_reversed) {
                    *finished.entry(customer.0).or_default() += 1.0;
                }
            }
        }
        let seconds = duration as f64 / SECOND as f64;
        for count in finished.values_mut() {
            *count /= seconds;
        }
        finished
    }
    /// Sends the requests of one step to the edges. Returns the customer of each.
    fn send_requests(&mut self, traffic: &[Traffic]) -> BTreeMap<RequestId, CustomerId> {
        let mut customers = BTreeMap::new();
        for stream in traffic {
            let remainder = self
                .remainders
                .entry((stream.edge, stream.customer))
                .or_default();
            *remainder += stream.per_second * STEP as f64 / SECOND as f64;
            while *remainder >= 1.0 {
                *remainder -= 1.0;
                self.last_request += 1;
                let request = RequestId(self.last_request);
                let customer = CustomerId(stream.customer);
                customers.insert(request, customer);
                self.events[stream.edge]
                    .requests
                    .push(AdmissionRequest { request, customer });
            }
        }
        customers
    }
    /// One edge admits requests, and the fleet finishes as many as its capacity allows. Returns the customer of each
    /// finished request.
    fn serve(
        &mut self,
        edge: usize,
        customers: &BTreeMap<RequestId, CustomerId>,
        is_reversed: bool,
    ) -> Vec<CustomerId> {
        let events = std::mem::take(&mut self.events[edge]);
        let mut recorded = Recorded::default();
        self.edges[edge].handle(self.now, &events, &mut recorded);
        if is_reversed {
            recorded.admitted.reverse();
        }
        let mut finished = Vec::new();
        for request in recorded.admitted {
            let customer = customers[&request];
            let is_finished = self.free_capacity >= 1.0;
            let events = &mut self.events[edge];
            events.finished.push(customer);
            if is_finished {
                self.free_capacity -= 1.0;
                finished.push(customer);
                self.execute(edge, request, customer);
            } else {
                events.rejected += 1;
            }
        }
        finished
    }
    /// A worker executes the request and reports its rates to the edge.
    fn execute(&mut self, edge: usize, request: RequestId, customer: CustomerId) {
        let hash = request.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let worker = WorkerId(hash % WORKERS);
        let customer_meter = self.customer_meters.entry((worker, customer)).or_default();
        customer_meter.record(self.now, SECOND);
        let worker_meter = self.worker_meters.entry(worker).or_default();
        worker_meter.record(self.now, SECOND);
        let rates = ReportedRates {
            customer,
            customer_rate: customer_meter.per_second(self.now, SECOND),
            total_rate: worker_meter.per_second(self.now, SECOND),
        };
        let events = &mut self.events[edge];
        events.dispatched.push(Dispatch { customer, worker });
        events.reported_rates.push(rates);
    }
}

const TWO_CUSTOMERS: [(&str, f64); 3] = [
    ("customers.count", 2.0),
    ("customers.0.share", 0.7),
    ("customers.1.share", 0.3),
];
/// More than any traffic in these tests needs.
const UNLIMITED: f64 = 1e9;

#[rstest]
#[case::one_edge(1)]
#[case::ten_edges(10)]
fn a_rate_quota_holds_over_all_edges_together(#[case] edges: usize) {
    let overrides = [&TWO_CUSTOMERS[..], &[("customers.0.rate", 100.0)]].concat();
    let mut fleet = Fleet::new(edges, UNLIMITED, &overrides);
    let everywhere: Vec<Traffic> = (0..edges)
        .map(|edge| traffic(edge, 0, 300.0 / edges as f64))
        .collect();
    fleet.run(5 * SECOND, &everywhere);
    let rate = fleet.run(10 * SECOND, &everywhere)[&0];
    assert!((85.0..=115.0).contains(&rate), "{rate}");
}

#[rstest]
fn a_customer_that_moves_to_another_edge_keeps_its_rate() {
    let overrides = [&TWO_CUSTOMERS[..], &[("customers.0.rate", 100.0)]].concat();
    let mut fleet = Fleet::new(40, UNLIMITED, &overrides);
    let at_first = fleet.run(10 * SECOND, &[traffic(0, 0, 300.0)])[&0];
    fleet.run(5 * SECOND, &[traffic(39, 0, 300.0)]);
    let after = fleet.run(5 * SECOND, &[traffic(39, 0, 300.0)])[&0];
    let both_edges = [traffic(0, 0, 300.0), traffic(39, 0, 300.0)];
    let at_both = fleet.run(2 * SECOND, &both_edges)[&0];
    assert!(at_first > 60.0 && after > 80.0, "{at_first}, {after}");
    assert!(after < 115.0 && at_both < 130.0, "{after}, {at_both}");
}

#[rstest]
fn under_overload_a_customer_over_its_share_is_limited_and_one_within_is_not() {
    let mut fleet = Fleet::new(2, 100.0, &TWO_CUSTOMERS);
    // Customer 0 requests less than its share, customer 1 ten times its share.
    let requests = [
        traffic(0, 0, 30.0),
        traffic(1, 0, 30.0),
        traffic(0, 1, 150.0),
        traffic(1, 1, 150.0),
    ];
    fleet.run(5 * SECOND, &requests);
    let finished = fleet.run(10 * SECOND, &requests);
    assert!(finished[&0] > 48.0, "{finished:?}");
    assert!(finished[&1] > 15.0, "{finished:?}");
}

#[rstest]
fn an_unused_share_is_lent_and_returned_on_demand() {
    let mut fleet = Fleet::new(2, 100.0, &TWO_CUSTOMERS);
    let borrower = [traffic(0, 1, 150.0), traffic(1, 1, 150.0)];
    fleet.run(5 * SECOND, &borrower);
    let lent = fleet.run(5 * SECOND, &borrower)[&1];
    assert!(lent > 80.0, "customer 1 may use all capacity: {lent}");
    let owner = [traffic(0, 0, 30.0), traffic(1, 0, 30.0)];
    let both = [owner, borrower].concat();
    fleet.run(2 * SECOND, &both);
    let returned = fleet.run(2 * SECOND, &both)[&0];
    assert!(returned > 45.0, "returned within two windows: {returned}");
}

#[rstest]
fn a_customer_without_a_share_is_served_and_its_requests_in_flight_are_bounded() {
    let overrides = [
        ("customers.count", 1.0),
        ("customers.0.share", 0.0),
        ("customers.0.in-flight", 3.0),
    ];
    let mut policy = QuotaPolicy::new(&settings(&overrides));
    let requests: Vec<AdmissionRequest> = (0..5)
        .map(|id| AdmissionRequest {
            request: RequestId(id),
            customer: CustomerId(0),
        })
        .collect();
    let five_requests = AdmissionEvents {
        requests: requests.clone(),
        ..AdmissionEvents::default()
    };
    let mut recorded = Recorded::default();
    policy.handle(SECOND, &five_requests, &mut recorded);
    assert_eq!((recorded.admitted.len(), recorded.rejected.len()), (3, 2));
    assert!(recorded
        .rejected
        .iter()
        .all(|rejection| rejection.reason == RejectReason::InFlight && rejection.retry_after > 0));
    let after_one_finished = AdmissionEvents {
        finished: vec![CustomerId(0)],
        requests,
        ..AdmissionEvents::default()
    };
    let mut recorded = Recorded::default();
    policy.handle(SECOND, &after_one_finished, &mut recorded);
    assert_eq!(recorded.admitted.len(), 1);
}
