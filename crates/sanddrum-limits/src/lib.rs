//! What each customer gets under load, decided before a job reaches the decision module. The host makes one
//! [`QuotaPolicy`] an edge and calls `round` once a round with all that came in ([`AdmissionEvents`]) and a writer ([`Admission`]).
//! All news is recorded first; only then is decided.
//!
//! Three limits, each for a customer over all edges together: a rate, jobs in flight, and, while the fleet is pressed,
//! a share of what it does. Edges never talk to each other. Workers tell with their answers at which pace this
//! customer's jobs, and all jobs, come there from all edges. From that each edge estimates the customer's pace over the
//! whole fleet, and steers what it lets through of its own demand: a little less while the whole is over the limit, a
//! little more while it is under. All edges see the same whole, so the sum stays near the limit wherever the customer
//! calls, and nobody needs to know how many edges it calls at.
//!
//! Whether the fleet is pressed is not decided here: it is where the decision module pushes jobs back. A customer over
//! its share is then let through less, until nothing more is pushed back; what is within its share is not touched.
//! While nothing is pressed there are no shares: what others leave is lent to whoever asks.

#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

mod fleet_rate_estimate;
mod rate;
mod retry_budget;

pub use fleet_rate_estimate::FleetRateEstimate;
pub use rate::{RateMeter, TokenBucket};
pub use retry_budget::{RetryBudget, RetryEvents};

use sanddrum::{CustomerId, Micros, RequestId, Settings, WorkerId};

/// However far over, an edge lets through this part of an even split, so that it goes on seeing the whole.
const FLOOR: f64 = 0.1;
/// What is let through is steered so often in a window.
const LOOKS_A_WINDOW: Micros = 10;
/// How strongly: the whole is seen about a window late, so an error is mended over several.
const GAIN: f64 = 0.08;
/// At most so much more or less at a look. A customer that moves to one edge of hundreds gets there in some windows.
const STEP: f64 = 1.2;
/// What workers told is not steered by any more after so many windows.
const TOLD_HOLDS: Micros = 3;
/// The fleet is pressed while more than this part of the jobs let in is pushed back by the decision module.
const PRESSED: f64 = 0.01;
/// What is lent more at each look; while so much of what is let in is pushed back, lending stands still.
const LENDS: f64 = 1.03;
/// What is let through is saved up for no more than this part of a window.
const BURST: f64 = 0.3;

/// What came in since the last round.
#[derive(Clone, Debug, Default)]
pub struct AdmissionEvents {
    /// Jobs that ask to be taken, with their customers.
    pub requests: Vec<(RequestId, CustomerId)>,
    /// Jobs that were taken and now have their final answer, or whose client left.
    pub finished: Vec<CustomerId>,
    /// Jobs that the decision module pushed back.
    pub rejected: u32,
    /// Executions sent.
    pub dispatched: Vec<(CustomerId, WorkerId)>,
    /// How many jobs a second of this customer, and of all, came to a worker from all edges.
    pub reported_rates: Vec<(CustomerId, f64, f64)>,
}

/// Why a job is pushed back here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    Rate,
    InFlight,
    Quota,
    /// A client's repeat while the fleet is pressed, beyond what first tries earn.
    RetryBudget,
}

impl RejectReason {
    pub fn reason(self) -> &'static str {
        match self {
            RejectReason::Rate => "over-rate",
            RejectReason::InFlight => "over-in-flight",
            RejectReason::Quota => "over-share",
            RejectReason::RetryBudget => "over-repeats",
        }
    }
}

/// Where decisions are written.
pub trait Admission {
    fn admit(&mut self, job: RequestId);
    /// Final answer, best tried again after `wait`.
    fn reject(&mut self, job: RequestId, why: RejectReason, wait: Micros);
}

#[derive(Default)]
struct Customer {
    rate: Option<f64>,
    in_flight: Option<f64>,
    share: f64,
    held: f64,
    asked: RateMeter,
    sent: RateMeter,
    sight: FleetRateEstimate,
    /// What is let through here a second, while something limits it.
    lets: f64,
    permits: TokenBucket,
    limited: Option<RejectReason>,
    /// Jobs that asked since the last look.
    asks: u32,
}

pub struct QuotaPolicy {
    edges: f64,
    window: Micros,
    shares: bool,
    any: bool,
    customers: Vec<Customer>,
    /// Jobs let in since the last look, and jobs that the decision module pushed back, at this edge.
    let_in: u32,
    pushed: u32,
    next_look: Micros,
}

impl QuotaPolicy {
    /// Customers as the settings name them, in their order; one more for all others.
    pub fn new(settings: &Settings) -> Self {
        let count = settings.number("customers.count").unwrap_or(0.0) as usize;
        let of = |n: usize, name: &str| settings.number(&format!("customers.{n}.{name}"));
        let named: f64 = (0..count).filter_map(|n| of(n, "share")).sum();
        let mut customers: Vec<Customer> = (0..count)
            .map(|n| Customer {
                rate: of(n, "rate"),
                in_flight: of(n, "in-flight"),
                share: of(n, "share").unwrap_or(0.0),
                ..Customer::default()
            })
            .collect();
        customers.push(Customer {
            share: (1.0 - named).max(0.0),
            ..Customer::default()
        });
        let shares = settings.flag("sharing.shares") == Some(true) && count > 0;
        let any = shares
            || customers
                .iter()
                .any(|c| c.rate.is_some() || c.in_flight.is_some());
        let window = settings.number("sharing.window-us").unwrap_or(1e6) as Micros;
        let edges = settings.number("routers").unwrap_or(1.0).max(1.0);
        QuotaPolicy {
            edges,
            window: window.max(1),
            shares,
            any,
            customers,
            let_in: 0,
            pushed: 0,
            next_look: 0,
        }
    }
    /// Whether anything is limited at all; if not, a host need not ask.
    pub fn is_active(&self) -> bool {
        self.any
    }

    pub fn handle(&mut self, now: Micros, news: &AdmissionEvents, out: &mut impl Admission) {
        let window = self.window;
        for customer in &news.finished {
            if let Some(c) = self.customers.get_mut(customer.0) {
                c.held = (c.held - 1.0).max(0.0);
            }
        }
        for (customer, worker) in &news.dispatched {
            if let Some(c) = self.customers.get_mut(customer.0) {
                c.sent.record(now, window);
                c.sight.record_dispatch(*worker);
            }
        }
        for (customer, of_customer, of_all) in &news.reported_rates {
            if let Some(c) = self.customers.get_mut(customer.0) {
                c.sight.record_report(now, window, *of_customer, *of_all);
            }
        }
        self.pushed += news.rejected;
        for (_, customer) in &news.requests {
            if let Some(c) = self.customers.get_mut(customer.0) {
                c.asked.record(now, window);
                c.asks += 1;
            }
        }
        if now >= self.next_look {
            self.next_look = now + window / LOOKS_A_WINDOW;
            let pressed = self.pressed();
            (self.let_in, self.pushed) = (0, 0);
            let edges = self.edges;
            self.customers
                .iter_mut()
                .for_each(|c| c.steer(now, window, edges, pressed));
        }
        for (job, customer) in &news.requests {
            match self.judge(now, *customer) {
                Ok(()) => {
                    if let Some(c) = self.customers.get_mut(customer.0) {
                        c.held += 1.0;
                    }
                    self.let_in += 1;
                    out.admit(*job);
                }
                Err((why, wait)) => out.reject(*job, why, wait),
            }
        }
    }

    /// The part of what was let in since the last look that the decision module pushed back. Guards against overload of
    /// any cause, as that module sees it. No longer memory: what falls for what is over falls too far.
    fn pressed(&self) -> f64 {
        let part = f64::from(self.pushed) / f64::from(self.let_in.max(1));
        if self.shares {
            part.min(1.0)
        } else {
            0.0
        }
    }

    fn judge(&mut self, now: Micros, customer: CustomerId) -> Result<(), (RejectReason, Micros)> {
        let (window, even) = (self.window, 1.0 / self.edges);
        let Some(c) = self.customers.get_mut(customer.0) else {
            return Ok(());
        };
        if let Some(most) = c.in_flight {
            let whole = c.sight.fleet_rate(now, window).filter(|whole| *whole > 0.0);
            let part = whole.map_or(even, |whole| {
                (c.sent.per_second(now, window) / whole).clamp(even * FLOOR, 1.0)
            });
            // One at least, unless none is allowed at all.
            if c.held + 1.0 > (most * part).max(f64::from(u8::from(most > 0.0))) {
                // A place is free once one of those held ends; when is not known here, a window is told.
                return Err((RejectReason::InFlight, window));
            }
        }
        let Some(why) = c.limited else { return Ok(()) };
        let burst = c.lets * window as f64 / 1e6 * BURST;
        c.permits
            .take(now, c.lets, burst)
            .map_err(|wait| (why, wait))
    }
}

impl Customer {
    /// What limits it now, and by how much more or less is to be let through at the next look.
    fn limits(&self, now: Micros, window: Micros, pressed: f64) -> Option<(RejectReason, f64)> {
        // What this edge lets through by itself is seen at once, and the whole is no less.
        let own = self.lets.min(self.asked.per_second(now, window));
        let whole = self
            .sight
            .fleet_rate(now, window)
            .map(|whole| whole.max(own));
        let of_rate = self.rate.map(|rate| {
            let off = whole.map_or(1.0, |whole| rate / whole.max(1e-9));
            (
                RejectReason::Rate,
                if off >= 2.0 {
                    STEP
                } else {
                    off.powf(GAIN).clamp(1.0 / STEP, STEP)
                },
            )
        });
        let over = self
            .sight
            .fleet_share(now, window)
            .is_some_and(|part| part > self.share);
        let of_share = (over && pressed > PRESSED).then(|| (1.0 - pressed).max(1.0 / STEP) * LENDS);
        // What was limited a moment ago soon is again: a share is lent step by step.
        let lent = self.limited == Some(RejectReason::Quota)
            && self.lets < self.asked.per_second(now, window);
        let lent = lent.then_some(LENDS);
        let of_share = of_share.or(lent).map(|step| (RejectReason::Quota, step));
        of_rate
            .into_iter()
            .chain(of_share)
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }
    /// Lets through a little more or less than before.
    fn steer(&mut self, now: Micros, window: Micros, edges: f64, pressed: f64) {
        let one = 1e6 / window as f64;
        // What it asks for right now counts, too, as a pace takes a window to tell of a rise.
        let just_asked = f64::from(std::mem::take(&mut self.asks)) * one * LOOKS_A_WINDOW as f64;
        let asked = self.asked.per_second(now, window).max(just_asked);
        let Some((why, step)) = self.limits(now, window, pressed) else {
            (self.limited, self.lets) = (None, asked);
            return;
        };
        let even = self.rate.unwrap_or(0.0) / edges;
        if self.limited.is_none() && why == RejectReason::Rate {
            // It may have moved here with all it has, or call everywhere: it begins with an even part.
            self.lets = even.max(one);
        }
        // Never far above what is asked, or an even part, so that a pause does not save up a flood.
        let most = (asked * STEP).max(even).max(one);
        self.lets = (self.lets * step).clamp((even * FLOOR).min(one).max(one * FLOOR), most);
        self.limited = Some(why);
    }
}
