//! One customer's quotas at one edge, and the feedback control of the admitted rate.

use crate::quota_policy::ADJUSTMENTS_PER_WINDOW;
use crate::{FleetRateEstimate, RateMeter, RejectReason, Rejection, ReportedRates, TokenBucket};
use sanddrum::{Micros, WorkerId};

/// However far a customer is over its quota, an edge admits this fraction of an even split of the quota over all edges,
/// so that it keeps receiving reports.
const MIN_EVEN_SPLIT_FRACTION: f64 = 0.1;
/// The exponent of the feedback control. Reports lag by about a window, so a deviation is corrected over several
/// adjustments.
const GAIN: f64 = 0.08;
/// The largest factor of one adjustment, up or down. With it, a customer that moves to one edge of hundreds reaches its
/// full rate there within a few windows.
const MAX_FACTOR: f64 = 1.2;
/// If the quota is at least this multiple of the fleet rate, the admitted rate grows by the largest factor.
const FAST_GROWTH_RATIO: f64 = 2.0;
/// The fleet is overloaded while the decision module rejects more than this fraction of the admitted requests.
const OVERLOAD_THRESHOLD: f64 = 0.01;
/// The factor by which the admitted rate of a customer limited by its share grows at each adjustment. Under overload, a
/// rejected fraction of the same size cancels the growth.
const LENDING_FACTOR: f64 = 1.03;
/// The burst that the admitted rate allows, in windows.
const BURST_WINDOWS: f64 = 0.3;

/// The inputs that are common to all customers of an edge at one instant.
pub(crate) struct EdgeContext {
    pub now: Micros,
    pub window: Micros,
    pub router_count: f64,
}

impl EdgeContext {
    /// One request per window, in requests per second.
    fn one_per_window(&self) -> f64 {
        1e6 / self.window as f64
    }
}

/// A change of the admitted rate and the quota that causes it.
struct Adjustment {
    reason: RejectReason,
    factor: f64,
}

/// One customer's quotas and this edge's measurements of its requests. All rates are in requests per second.
#[derive(Default)]
pub(crate) struct Customer {
    rate_quota: Option<f64>,
    in_flight_quota: Option<f64>,
    share: f64,
    in_flight: f64,
    requested: RateMeter,
    dispatched: RateMeter,
    fleet: FleetRateEstimate,
    /// The rate that this edge admits while a quota limits the customer.
    admitted_rate: f64,
    bucket: TokenBucket,
    limited_by: Option<RejectReason>,
    requests_since_adjustment: u32,
}

impl Customer {
    pub fn new(rate_quota: Option<f64>, in_flight_quota: Option<f64>, share: f64) -> Self {
        Customer {
            rate_quota,
            in_flight_quota,
            share,
            ..Customer::default()
        }
    }
    /// Whether it has a quota that applies without overload.
    pub fn has_limits(&self) -> bool {
        self.rate_quota.is_some() || self.in_flight_quota.is_some()
    }

    pub fn record_request(&mut self, now: Micros, window: Micros) {
        self.requested.record(now, window);
        self.requests_since_adjustment += 1;
    }
    pub fn record_admission(&mut self) {
        self.in_flight += 1.0;
    }
    pub fn record_finish(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }
    pub fn record_dispatch(&mut self, now: Micros, window: Micros, worker: WorkerId) {
        self.dispatched.record(now, window);
        self.fleet.record_dispatch(worker);
    }
    pub fn record_report(&mut self, now: Micros, window: Micros, rates: &ReportedRates) {
        self.fleet
            .record_report(now, window, rates.customer_rate, rates.total_rate);
    }

    /// Checks whether one more request is within the quotas.
    pub fn check(&mut self, context: &EdgeContext) -> Result<(), Rejection> {
        if !self.has_in_flight_capacity(context) {
            // It is unknown here when a request in flight will finish.
            return Err(Rejection {
                reason: RejectReason::InFlight,
                retry_after: context.window,
            });
        }
        let Some(reason) = self.limited_by else {
            return Ok(());
        };
        let burst = self.admitted_rate * context.window as f64 / 1e6 * BURST_WINDOWS;
        self.bucket
            .take(context.now, self.admitted_rate, burst)
            .map_err(|no_token| Rejection {
                reason,
                retry_after: no_token.retry_after,
            })
    }
    /// Whether one more request is within this edge's part of the in-flight quota. That part is proportional to the
    /// edge's part of the customer's rate, or an even split while that is unknown.
    fn has_in_flight_capacity(&self, context: &EdgeContext) -> bool {
        let Some(quota) = self.in_flight_quota else {
            return true;
        };
        let (now, window) = (context.now, context.window);
        let even_part = 1.0 / context.router_count;
        let fleet_rate = self
            .fleet
            .fleet_rate(now, window)
            .filter(|rate| *rate > 0.0);
        let part = fleet_rate.map_or(even_part, |fleet_rate| {
            let part = self.dispatched.per_second(now, window) / fleet_rate;
            part.clamp(even_part * MIN_EVEN_SPLIT_FRACTION, 1.0)
        });
        // At least one, unless the quota is zero.
        let min = f64::from(u8::from(quota > 0.0));
        self.in_flight + 1.0 <= (quota * part).max(min)
    }

    /// Adjusts the admitted rate to the estimate of the customer's rate over the whole fleet. `overload` is the
    /// fraction of the admitted requests that the decision module rejected.
    pub fn adjust(&mut self, context: &EdgeContext, overload: f64) {
        let requested_rate = self.take_requested_rate(context);
        let Some(adjustment) = self.adjustment(context, overload) else {
            (self.limited_by, self.admitted_rate) = (None, requested_rate);
            return;
        };
        let one_per_window = context.one_per_window();
        let even_split = self.rate_quota.unwrap_or(0.0) / context.router_count;
        if self.limited_by.is_none() && adjustment.reason == RejectReason::Rate {
            // Start with an even split: the customer may send to this edge only, or to all edges.
            self.admitted_rate = even_split.max(one_per_window);
        }
        // Bounded by the requested rate and an even split, so that no burst accumulates while nothing is requested.
        let max = (requested_rate * MAX_FACTOR)
            .max(even_split)
            .max(one_per_window);
        let min = (even_split * MIN_EVEN_SPLIT_FRACTION)
            .min(one_per_window)
            .max(one_per_window * MIN_EVEN_SPLIT_FRACTION);
        self.admitted_rate = (self.admitted_rate * adjustment.factor).clamp(min, max);
        self.limited_by = Some(adjustment.reason);
    }
    /// The requested rate: the mean over a window, or the rate since the last adjustment if that is higher, as the mean
    /// takes a window to follow a rise.
    fn take_requested_rate(&mut self, context: &EdgeContext) -> f64 {
        let requests = std::mem::take(&mut self.requests_since_adjustment);
        let since_adjustment =
            f64::from(requests) * context.one_per_window() * ADJUSTMENTS_PER_WINDOW as f64;
        self.requested
            .per_second(context.now, context.window)
            .max(since_adjustment)
    }
    /// The adjustment for the quota that limits the customer most, if any does.
    fn adjustment(&self, context: &EdgeContext, overload: f64) -> Option<Adjustment> {
        let for_rate = self.rate_adjustment(context);
        let for_share = self.share_adjustment(context, overload);
        for_rate
            .into_iter()
            .chain(for_share)
            .min_by(|a, b| a.factor.total_cmp(&b.factor))
    }
    fn rate_adjustment(&self, context: &EdgeContext) -> Option<Adjustment> {
        let quota = self.rate_quota?;
        let (now, window) = (context.now, context.window);
        // This edge's own rate is known without delay and is a lower bound of the fleet rate.
        let own_rate = self
            .admitted_rate
            .min(self.requested.per_second(now, window));
        let fleet_rate = self
            .fleet
            .fleet_rate(now, window)
            .map(|rate| rate.max(own_rate));
        let ratio = fleet_rate.map_or(1.0, |rate| quota / rate.max(1e-9));
        let factor = if ratio >= FAST_GROWTH_RATIO {
            MAX_FACTOR
        } else {
            ratio.powf(GAIN).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
        };
        Some(Adjustment {
            reason: RejectReason::Rate,
            factor,
        })
    }
    fn share_adjustment(&self, context: &EdgeContext, overload: f64) -> Option<Adjustment> {
        let (now, window) = (context.now, context.window);
        let is_over_share = self
            .fleet
            .fleet_share(now, window)
            .is_some_and(|share| share > self.share);
        let is_lending = self.limited_by == Some(RejectReason::CapacityShare)
            && self.admitted_rate < self.requested.per_second(now, window);
        let factor = if is_over_share && overload > OVERLOAD_THRESHOLD {
            (1.0 - overload).max(1.0 / MAX_FACTOR) * LENDING_FACTOR
        } else if is_lending {
            // The limit is relaxed gradually: the customer would soon be over its share again.
            LENDING_FACTOR
        } else {
            return None;
        };
        Some(Adjustment {
            reason: RejectReason::CapacityShare,
            factor,
        })
    }
}
