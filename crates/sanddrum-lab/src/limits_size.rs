//! Measures customers' limits with many edges: the quota policy of the product at each edge, compared with a fixed even
//! split and with no limit. There is no network, and workers only count requests: the simulation measures the decisions
//! that edges make from the rates reported to them.

use sanddrum::{CustomerId, Micros, RequestId, Settings, Value, WorkerId};
use sanddrum_limits::{
    Admission, AdmissionEvents, AdmissionRequest, Dispatch, QuotaPolicy, RateMeter, Rejection,
    ReportedRates, TokenBucket,
};
use sanddrum_net::Rng;
use std::collections::BTreeMap;

/// How the edges enforce limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the product: each edge's quota follows the rates that workers report.
    Seen,
    /// Each edge has an equal share of every limit.
    Even,
    /// No limits.
    None,
}

const SECOND: Micros = 1_000_000;
const TIME_STEP: Micros = 10_000;
const WORKERS: u64 = 20;
/// Stands for all customers together, in the rates of a worker.
const ALL_CUSTOMERS: usize = usize::MAX;

/// A stream of requests: its customer, its edge (`None`: a random one for each request) and its rate per second.
#[derive(Clone, Copy, Debug)]
pub struct RequestStream {
    pub customer: usize,
    pub edge: Option<usize>,
    pub rate: f64,
}

/// A simulation of the edges' decisions about customers' limits.
pub struct QuotaSimulation {
    edges: Vec<QuotaPolicy>,
    even_split_buckets: Vec<BTreeMap<usize, TokenBucket>>,
    pending_events: Vec<AdmissionEvents>,
    workers: BTreeMap<(u64, usize), RateMeter>,
    settings: Settings,
    policy: Policy,
    capacity: f64,
    available_capacity: f64,
    now: Micros,
    next: u64,
    rng: Rng,
}

#[derive(Default)]
struct AdmittedRequests {
    admitted: Vec<RequestId>,
}
impl Admission for AdmittedRequests {
    fn admit(&mut self, request: RequestId) {
        self.admitted.push(request);
    }
    fn reject(&mut self, _: RequestId, _: Rejection) {}
}

impl QuotaSimulation {
    /// `capacity` is the number of requests that the fleet finishes in a second; `set` are settings of the module.
    pub fn new(
        edges: usize,
        capacity: f64,
        policy: Policy,
        set: &[(&str, f64)],
        seed: u64,
    ) -> Self {
        let mut map: BTreeMap<String, Value> = set
            .iter()
            .map(|(name, n)| (name.to_string(), Value::Number(*n)))
            .collect();
        map.insert("routers".into(), Value::Number(edges as f64));
        map.insert("sharing.shares".into(), Value::Flag(policy == Policy::Seen));
        let settings = Settings(map);
        QuotaSimulation {
            edges: (0..edges).map(|_| QuotaPolicy::new(&settings)).collect(),
            even_split_buckets: vec![BTreeMap::new(); edges],
            pending_events: vec![AdmissionEvents::default(); edges],
            workers: BTreeMap::new(),
            settings,
            policy,
            capacity,
            available_capacity: 0.0,
            now: 1000 * SECOND,
            next: 0,
            rng: Rng::new(seed),
        }
    }
    fn even_split_admits(&mut self, edge: usize, customer: usize) -> bool {
        let Some(rate) = self.settings.number(&format!("customers.{customer}.rate")) else {
            return true;
        };
        let rate = rate / self.edges.len() as f64;
        let bucket = self.even_split_buckets[edge].entry(customer).or_default();
        bucket.take(self.now, rate, rate / 2.0).is_ok()
    }
    /// Simulates a time span, and returns the requests offered and finished per second, by customer.
    pub fn run(&mut self, span: Micros, streams: &[RequestStream]) -> BTreeMap<usize, (f64, f64)> {
        let mut counts: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for _ in 0..span / TIME_STEP {
            self.now += TIME_STEP;
            let mut customer_of: BTreeMap<RequestId, usize> = BTreeMap::new();
            for stream in streams {
                let mean = stream.rate * TIME_STEP as f64 / SECOND as f64;
                let mut remaining = mean + self.rng.next_f64();
                while remaining >= 1.0 {
                    remaining -= 1.0;
                    self.next += 1;
                    let edge = stream
                        .edge
                        .unwrap_or_else(|| self.rng.index(self.edges.len()));
                    customer_of.insert(RequestId(self.next), stream.customer);
                    counts.entry(stream.customer).or_default().0 += 1.0;
                    self.pending_events[edge].requests.push(AdmissionRequest {
                        request: RequestId(self.next),
                        customer: CustomerId(stream.customer),
                    });
                }
            }
            self.available_capacity = (self.available_capacity
                + self.capacity * TIME_STEP as f64 / SECOND as f64)
                .min(self.capacity / 20.0);
            let mut admitted: Vec<(usize, RequestId)> = Vec::new();
            for n in 0..self.edges.len() {
                let pending_events = std::mem::take(&mut self.pending_events[n]);
                let mut admission = AdmittedRequests::default();
                match self.policy {
                    Policy::Seen => self.edges[n].handle(self.now, &pending_events, &mut admission),
                    Policy::None => {
                        admission.admitted = pending_events
                            .requests
                            .iter()
                            .map(|offered| offered.request)
                            .collect()
                    }
                    Policy::Even => {
                        let admitted_requests = pending_events
                            .requests
                            .iter()
                            .filter(|offered| self.even_split_admits(n, offered.customer.0));
                        admission.admitted =
                            admitted_requests.map(|offered| offered.request).collect();
                    }
                }
                admitted.extend(admission.admitted.into_iter().map(|request| (n, request)));
            }
            // The fleet serves the admitted requests in random order.
            while !admitted.is_empty() {
                let (edge, request) = admitted.swap_remove(self.rng.index(admitted.len()));
                let customer = customer_of[&request];
                let worker = self.rng.next_u64() % WORKERS;
                let finished = self.available_capacity >= 1.0;
                self.available_capacity -= f64::from(u8::from(finished));
                let pending_events = &mut self.pending_events[edge];
                pending_events.finished.push(CustomerId(customer));
                pending_events.rejected += u32::from(!finished);
                if finished {
                    counts.entry(customer).or_default().1 += 1.0;
                    pending_events.dispatched.push(Dispatch {
                        customer: CustomerId(customer),
                        worker: WorkerId(worker),
                    });
                    let rate_meter = self.workers.entry((worker, customer)).or_default();
                    rate_meter.record(self.now, SECOND);
                    let of = rate_meter.per_second(self.now, SECOND);
                    let all = self.workers.entry((worker, ALL_CUSTOMERS)).or_default();
                    all.record(self.now, SECOND);
                    pending_events.reported_rates.push(ReportedRates {
                        customer: CustomerId(customer),
                        customer_rate: of,
                        total_rate: all.per_second(self.now, SECOND),
                    });
                }
            }
        }
        let seconds = span as f64 / SECOND as f64;
        counts.values_mut().for_each(|(offered, finished)| {
            (*offered, *finished) = (*offered / seconds, *finished / seconds)
        });
        counts
    }
}

/// The results of one policy with one number of edges.
#[derive(Clone, Debug)]
pub struct LimitsResult {
    pub edges: usize,
    pub policy: Policy,
    /// The fraction of an honest customer's requests that finish while another customer floods the edges.
    pub honest_fraction: f64,
    /// The rate that a customer gets as a multiple of its limit when it sends three times the limit, spread over all
    /// edges.
    pub spread_over_limit: f64,
    /// The rate as a multiple of the limit when the customer sends all its requests to one edge.
    pub single_edge_over_limit: f64,
    /// The rate as a multiple of the limit, for each second after the customer moved all its requests to another edge.
    pub moved_over_limit: Vec<f64>,
    /// Seconds until 90 % of a customer's requests finish, when it starts to send while another customer uses its
    /// share.
    pub recovery_seconds: Option<f64>,
}

/// Runs the three simulations with one number of edges: a flood, a rate limit exceeded, and a borrowed share returned.
pub fn measure_limits(edges: usize, policy: Policy, seed: u64) -> LimitsResult {
    let capacity = 2000.0;
    let two_customers = [
        ("customers.count", 2.0),
        ("customers.0.share", 0.6),
        ("customers.1.share", 0.4),
    ];
    let flood = [
        RequestStream {
            customer: 0,
            edge: None,
            rate: 0.55 * capacity,
        },
        RequestStream {
            customer: 1,
            edge: None,
            rate: 4.0 * capacity,
        },
    ];
    let mut simulation = QuotaSimulation::new(edges, capacity, policy, &two_customers, seed);
    simulation.run(5 * SECOND, &flood);
    let rates = simulation.run(10 * SECOND, &flood);
    let honest_fraction = rates
        .get(&0)
        .map_or(0.0, |(offered, finished)| finished / offered);

    let rate_limited = [&two_customers[..], &[("customers.0.rate", 300.0)]].concat();
    let exceeding_stream = |edge| {
        [RequestStream {
            customer: 0,
            edge,
            rate: 900.0,
        }]
    };
    let over_limit = |rates: &BTreeMap<usize, (f64, f64)>| {
        rates.get(&0).map_or(0.0, |(_, finished)| finished / 300.0)
    };
    let mut simulation = QuotaSimulation::new(edges, capacity, policy, &rate_limited, seed);
    simulation.run(10 * SECOND, &exceeding_stream(None));
    let spread_over_limit = over_limit(&simulation.run(10 * SECOND, &exceeding_stream(None)));
    let mut simulation = QuotaSimulation::new(edges, capacity, policy, &rate_limited, seed);
    simulation.run(10 * SECOND, &exceeding_stream(Some(0)));
    let single_edge_over_limit =
        over_limit(&simulation.run(10 * SECOND, &exceeding_stream(Some(0))));
    let moved_over_limit = (0..8)
        .map(|_| over_limit(&simulation.run(SECOND, &exceeding_stream(Some(edges - 1)))))
        .collect();

    let mut simulation = QuotaSimulation::new(edges, capacity, policy, &two_customers, seed);
    simulation.run(10 * SECOND, &flood[1..]);
    let mut recovery_seconds = None;
    for n in 1..=40 {
        let rates = simulation.run(SECOND / 4, &flood);
        if recovery_seconds.is_none()
            && rates
                .get(&0)
                .is_some_and(|(offered, finished)| finished / offered >= 0.9)
        {
            recovery_seconds = Some(f64::from(n) / 4.0);
        }
    }
    LimitsResult {
        edges,
        policy,
        honest_fraction,
        spread_over_limit,
        single_edge_over_limit,
        moved_over_limit,
        recovery_seconds,
    }
}
