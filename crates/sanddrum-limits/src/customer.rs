//! One customer's quotas at one edge, and the feedback control of the rate that is admitted.

use crate::quota_policy::ADJUSTMENTS_PER_WINDOW;
use crate::{FleetRateEstimate, RateMeter, RejectReason, Rejection, ReportedRates, TokenBucket};
use sanddrum::{Micros, WorkerId};

/// However far a customer is over its quota, an edge admits this fraction of an even part, so that it goes on receiving
/// reports.
const MIN_EVEN_FRACTION: f64 = 0.1;
/// The exponent of the control: reports lag by about a window, so that a deviation is corrected over several
/// adjustments.
const GAIN: f64 = 0.08;
/// The largest factor of one adjustment, up or down. A customer that moves to one edge of hundreds has its full rate
/// there within a few windows.
const MAX_FACTOR: f64 = 1.2;
/// A rate this many times over the present one is approached by the largest factor.
const FAR_BELOW_QUOTA: f64 = 2.0;
/// The fleet is overloaded while more than this fraction of the admitted requests is rejected by the decision module.
const OVERLOAD_THRESHOLD: f64 = 0.01;
/// The factor by which lending grows at each adjustment; at a rejected fraction of as much it stands still.
const LENDING_FACTOR: f64 = 1.03;
/// The burst of the admitted rate, in windows.
const BURST_WINDOWS: f64 = 0.3;

/// What holds for all customers of an edge at an instant.
pub(crate) struct Conditions {
    pub now: Micros,
    pub window: Micros,
    pub router_count: f64,
}

impl Conditions {
    /// One request a window, in requests a second.
    fn one_per_window(&self) -> f64 {
        1e6 / self.window as f64
    }
}

/// By which factor the admitted rate changes, and which quota limits it.
struct Adjustment {
    reason: RejectReason,
    factor: f64,
}

/// One customer's quotas and what this edge knows of its requests. All rates are in requests a second.
#[derive(Default)]
pub(crate) struct Customer {
    rate_quota: Option<f64>,
    in_flight_quota: Option<f64>,
    share: f64,
    in_flight: f64,
    requested: RateMeter,
    dispatched: RateMeter,
    fleet: FleetRateEstimate,
    /// The rate admitted at this edge, while a quota limits it.
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
    /// Whether it has a quota that holds without overload.
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
            .record_report(now, window, rates.of_customer, rates.of_all);
    }

    /// Whether one more request is within the quotas.
    pub fn judge(&mut self, conditions: &Conditions) -> Result<(), Rejection> {
        if !self.has_in_flight_capacity(conditions) {
            // When a request in flight will finish is not known here.
            return Err(Rejection {
                reason: RejectReason::InFlight,
                retry_after: conditions.window,
            });
        }
        let Some(reason) = self.limited_by else {
            return Ok(());
        };
        let burst = self.admitted_rate * conditions.window as f64 / 1e6 * BURST_WINDOWS;
        self.bucket
            .take(conditions.now, self.admitted_rate, burst)
            .map_err(|no_token| Rejection {
                reason,
                retry_after: no_token.retry_after,
            })
    }
    /// This edge's part of the quota is its part of the customer's rate; an even part while that is unknown.
    fn has_in_flight_capacity(&self, conditions: &Conditions) -> bool {
        let Some(quota) = self.in_flight_quota else {
            return true;
        };
        let (now, window) = (conditions.now, conditions.window);
        let even = 1.0 / conditions.router_count;
        let fleet_rate = self
            .fleet
            .fleet_rate(now, window)
            .filter(|rate| *rate > 0.0);
        let part = fleet_rate.map_or(even, |fleet_rate| {
            let part = self.dispatched.per_second(now, window) / fleet_rate;
            part.clamp(even * MIN_EVEN_FRACTION, 1.0)
        });
        // One at least, unless the quota is zero.
        let min = f64::from(u8::from(quota > 0.0));
        self.in_flight + 1.0 <= (quota * part).max(min)
    }

    /// Adjusts the admitted rate to what is known of the customer's rate over the whole fleet. `overload` is the
    /// fraction of the admitted requests that the decision module rejected.
    pub fn adjust(&mut self, conditions: &Conditions, overload: f64) {
        let requested_rate = self.take_requested_rate(conditions);
        let Some(adjustment) = self.adjustment(conditions, overload) else {
            (self.limited_by, self.admitted_rate) = (None, requested_rate);
            return;
        };
        let one = conditions.one_per_window();
        let even = self.rate_quota.unwrap_or(0.0) / conditions.router_count;
        if self.limited_by.is_none() && adjustment.reason == RejectReason::Rate {
            // The customer may have moved here entirely, or use all edges: it starts with an even part.
            self.admitted_rate = even.max(one);
        }
        // Never far above the requested rate or an even part, so that no burst accumulates while nothing is requested.
        let max = (requested_rate * MAX_FACTOR).max(even).max(one);
        let min = (even * MIN_EVEN_FRACTION)
            .min(one)
            .max(one * MIN_EVEN_FRACTION);
        self.admitted_rate = (self.admitted_rate * adjustment.factor).clamp(min, max);
        self.limited_by = Some(adjustment.reason);
    }
    /// The requested rate: the mean over a window, or that since the last adjustment where it is higher, as the mean
    /// takes a window to show a rise.
    fn take_requested_rate(&mut self, conditions: &Conditions) -> f64 {
        let requests = std::mem::take(&mut self.requests_since_adjustment);
        let since_adjustment =
            f64::from(requests) * conditions.one_per_window() * ADJUSTMENTS_PER_WINDOW as f64;
        self.requested
            .per_second(conditions.now, conditions.window)
            .max(since_adjustment)
    }
    /// The quota that limits the customer most, if any does.
    fn adjustment(&self, conditions: &Conditions, overload: f64) -> Option<Adjustment> {
        let for_rate = self.rate_adjustment(conditions);
        let for_share = self.share_adjustment(conditions, overload);
        for_rate
            .into_iter()
            .chain(for_share)
            .min_by(|a, b| a.factor.total_cmp(&b.factor))
    }
    fn rate_adjustment(&self, conditions: &Conditions) -> Option<Adjustment> {
        let quota = self.rate_quota?;
        let (now, window) = (conditions.now, conditions.window);
        // What this edge admits itself is known at once, and the fleet's rate is no less.
        let own_rate = self
            .admitted_rate
            .min(self.requested.per_second(now, window));
        let fleet_rate = self
            .fleet
            .fleet_rate(now, window)
            .map(|rate| rate.max(own_rate));
        let ratio = fleet_rate.map_or(1.0, |rate| quota / rate.max(1e-9));
        let factor = if ratio >= FAR_BELOW_QUOTA {
            MAX_FACTOR
        } else {
            ratio.powf(GAIN).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
        };
        Some(Adjustment {
            reason: RejectReason::Rate,
            factor,
        })
    }
    fn share_adjustment(&self, conditions: &Conditions, overload: f64) -> Option<Adjustment> {
        let (now, window) = (conditions.now, conditions.window);
        let is_over_share = self
            .fleet
            .fleet_share(now, window)
            .is_some_and(|share| share > self.share);
        let is_lending = self.limited_by == Some(RejectReason::Quota)
            && self.admitted_rate < self.requested.per_second(now, window);
        let factor = if is_over_share && overload > OVERLOAD_THRESHOLD {
            (1.0 - overload).max(1.0 / MAX_FACTOR) * LENDING_FACTOR
        } else if is_lending {
            // Capacity is lent step by step: what was over its share just now soon is again.
            LENDING_FACTOR
        } else {
            return None;
        };
        Some(Adjustment {
            reason: RejectReason::Quota,
            factor,
        })
    }
}
