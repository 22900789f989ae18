//! Customers' limits at many edges: the deciding module itself at each edge, beside a fixed even split and no limit at
//! all, with workers that only count. No network: what is measured is what the edges decide from what they see.

use sanddrum::{CustomerId, Micros, RequestId, Settings, Value, WorkerId};
use sanddrum_limits::{
    Admission, AdmissionEvents, AdmissionRequest, Dispatch, QuotaPolicy, RateMeter, Rejection,
    ReportedRates, TokenBucket,
};
use sanddrum_net::Rng;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's: each edge's part follows what workers tell.
    Seen,
    /// Each edge has an even part of every limit.
    Even,
    None,
}

const S: Micros = 1_000_000;
const STEP: Micros = 10_000;
const WORKERS: u64 = 20;
/// Stands for all customers at a worker.
const ALL: usize = usize::MAX;

/// One kind of calls: whose, at which edge (none: at all, by chance), and how many a second.
#[derive(Clone, Copy, Debug)]
pub struct RequestStream {
    pub customer: usize,
    pub edge: Option<usize>,
    pub rate: f64,
}

pub struct QuotaSimulation {
    edges: Vec<QuotaPolicy>,
    even: Vec<BTreeMap<usize, TokenBucket>>,
    news: Vec<AdmissionEvents>,
    workers: BTreeMap<(u64, usize), RateMeter>,
    settings: Settings,
    policy: Policy,
    capacity: f64,
    room: f64,
    now: Micros,
    next: u64,
    chance: Rng,
}

#[derive(Default)]
struct Ruled {
    taken: Vec<RequestId>,
}
impl Admission for Ruled {
    fn admit(&mut self, job: RequestId) {
        self.taken.push(job);
    }
    fn reject(&mut self, _: RequestId, _: Rejection) {}
}

impl QuotaSimulation {
    /// `capacity` is what the fleet finishes in a second; `set` are settings as the module reads them.
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
            even: vec![BTreeMap::new(); edges],
            news: vec![AdmissionEvents::default(); edges],
            workers: BTreeMap::new(),
            settings,
            policy,
            capacity,
            room: 0.0,
            now: 1000 * S,
            next: 0,
            chance: Rng::new(seed),
        }
    }
    fn even_part_has_room(&mut self, edge: usize, customer: usize) -> bool {
        let Some(rate) = self.settings.number(&format!("customers.{customer}.rate")) else {
            return true;
        };
        let rate = rate / self.edges.len() as f64;
        let bucket = self.even[edge].entry(customer).or_default();
        bucket.take(self.now, rate, rate / 2.0).is_ok()
    }
    /// Plays so long; gives calls asked and finished a second, by customer.
    pub fn play(&mut self, span: Micros, streams: &[RequestStream]) -> BTreeMap<usize, (f64, f64)> {
        let mut done: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for _ in 0..span / STEP {
            self.now += STEP;
            let mut whose: BTreeMap<RequestId, usize> = BTreeMap::new();
            for stream in streams {
                let mean = stream.rate * STEP as f64 / S as f64;
                let mut left = mean + self.chance.next_f64();
                while left >= 1.0 {
                    left -= 1.0;
                    self.next += 1;
                    let edge = stream
                        .edge
                        .unwrap_or_else(|| self.chance.index(self.edges.len()));
                    whose.insert(RequestId(self.next), stream.customer);
                    done.entry(stream.customer).or_default().0 += 1.0;
                    self.news[edge].requests.push(AdmissionRequest {
                        request: RequestId(self.next),
                        customer: CustomerId(stream.customer),
                    });
                }
            }
            self.room =
                (self.room + self.capacity * STEP as f64 / S as f64).min(self.capacity / 20.0);
            let mut taken: Vec<(usize, RequestId)> = Vec::new();
            for n in 0..self.edges.len() {
                let news = std::mem::take(&mut self.news[n]);
                let mut ruled = Ruled::default();
                match self.policy {
                    Policy::Seen => self.edges[n].handle(self.now, &news, &mut ruled),
                    Policy::None => {
                        ruled.taken = news.requests.iter().map(|asked| asked.request).collect()
                    }
                    Policy::Even => {
                        let fit = news
                            .requests
                            .iter()
                            .filter(|asked| self.even_part_has_room(n, asked.customer.0));
                        ruled.taken = fit.map(|asked| asked.request).collect();
                    }
                }
                taken.extend(ruled.taken.into_iter().map(|job| (n, job)));
            }
            // The fleet serves them in no order of its own.
            while !taken.is_empty() {
                let (edge, job) = taken.swap_remove(self.chance.index(taken.len()));
                let customer = whose[&job];
                let worker = self.chance.next_u64() % WORKERS;
                let finished = self.room >= 1.0;
                self.room -= f64::from(u8::from(finished));
                let news = &mut self.news[edge];
                news.finished.push(CustomerId(customer));
                news.rejected += u32::from(!finished);
                if finished {
                    done.entry(customer).or_default().1 += 1.0;
                    news.dispatched.push(Dispatch {
                        customer: CustomerId(customer),
                        worker: WorkerId(worker),
                    });
                    let pace = self.workers.entry((worker, customer)).or_default();
                    pace.record(self.now, S);
                    let of = pace.per_second(self.now, S);
                    let all = self.workers.entry((worker, ALL)).or_default();
                    all.record(self.now, S);
                    news.reported_rates.push(ReportedRates {
                        customer: CustomerId(customer),
                        of_customer: of,
                        of_all: all.per_second(self.now, S),
                    });
                }
            }
        }
        let seconds = span as f64 / S as f64;
        done.values_mut()
            .for_each(|(asked, got)| (*asked, *got) = (*asked / seconds, *got / seconds));
        done
    }
}

/// What one policy did at one size.
#[derive(Clone, Debug)]
pub struct LimitsResult {
    pub edges: usize,
    pub policy: Policy,
    /// Calls of an honest customer that finished, over asked, while another floods.
    pub honest_fraction: f64,
    /// A customer at three times its rate limit, spread over all edges: what it got over the limit.
    pub spread_over_limit: f64,
    /// The same at one edge.
    pub single_edge_over_limit: f64,
    /// The same in the seconds after it moved to another edge, second by second.
    pub moved_over_limit: Vec<f64>,
    /// Seconds until a customer that begins to ask has nine tenths of its share back from one that had borrowed it.
    pub recovery_seconds: Option<f64>,
}

/// Plays the three scenes at one size.
pub fn measure_limits(edges: usize, policy: Policy, seed: u64) -> LimitsResult {
    let capacity = 2000.0;
    let two = [
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
    let mut size = QuotaSimulation::new(edges, capacity, policy, &two, seed);
    size.play(5 * S, &flood);
    let got = size.play(10 * S, &flood);
    let honest = got.get(&0).map_or(0.0, |(asked, got)| got / asked);

    let limited = [&two[..], &[("customers.0.rate", 300.0)]].concat();
    let over = |edge| {
        [RequestStream {
            customer: 0,
            edge,
            rate: 900.0,
        }]
    };
    let part = |got: &BTreeMap<usize, (f64, f64)>| got.get(&0).map_or(0.0, |(_, got)| got / 300.0);
    let mut size = QuotaSimulation::new(edges, capacity, policy, &limited, seed);
    size.play(10 * S, &over(None));
    let spread = part(&size.play(10 * S, &over(None)));
    let mut size = QuotaSimulation::new(edges, capacity, policy, &limited, seed);
    size.play(10 * S, &over(Some(0)));
    let at_one = part(&size.play(10 * S, &over(Some(0))));
    let moved = (0..8)
        .map(|_| part(&size.play(S, &over(Some(edges - 1)))))
        .collect();

    let mut size = QuotaSimulation::new(edges, capacity, policy, &two, seed);
    size.play(10 * S, &flood[1..]);
    let mut back = None;
    for n in 1..=40 {
        let got = size.play(S / 4, &flood);
        if back.is_none() && got.get(&0).is_some_and(|(asked, got)| got / asked >= 0.9) {
            back = Some(f64::from(n) / 4.0);
        }
    }
    LimitsResult {
        edges,
        policy,
        honest_fraction: honest,
        spread_over_limit: spread,
        single_edge_over_limit: at_one,
        moved_over_limit: moved,
        recovery_seconds: back,
    }
}
