//! The quotas of all customers at one edge.

use crate::customer::{Customer, EdgeContext};
use crate::{Admission, AdmissionEvents, Rejection};
use sanddrum::{CustomerId, Micros, Settings};

/// The number of adjustments of the admitted rates per window.
pub(crate) const ADJUSTMENTS_PER_WINDOW: Micros = 10;
/// The number of windows after which reported rates are no longer used.
pub(crate) const REPORTS_EXPIRE_AFTER_WINDOWS: Micros = 3;

/// Enforces the quotas of all customers at one edge.
pub struct QuotaPolicy {
    router_count: f64,
    window: Micros,
    /// Whether shares are enforced under overload.
    has_shares: bool,
    is_active: bool,
    /// The configured customers by id, and an entry for all others at the end.
    customers: Vec<Customer>,
    /// The number of requests admitted at this edge since the last adjustment.
    admitted: u32,
    /// The number of requests that the decision module rejected since the last adjustment.
    rejected: u32,
    next_adjustment: Micros,
}

impl QuotaPolicy {
    /// A policy for the configured customers, in their order, and one more for all others.
    pub fn new(settings: &Settings) -> Self {
        let count = settings.number("customers.count").unwrap_or(0.0) as usize;
        let customers = read_customers(settings, count);
        let has_shares = settings.flag("sharing.shares") == Some(true) && count > 0;
        let is_active = has_shares || customers.iter().any(Customer::has_limits);
        let window = settings.number("sharing.window-us").unwrap_or(1e6) as Micros;
        QuotaPolicy {
            router_count: settings.number("routers").unwrap_or(1.0).max(1.0),
            window: window.max(1),
            has_shares,
            is_active,
            customers,
            admitted: 0,
            rejected: 0,
            next_adjustment: 0,
        }
    }
    /// Whether any customer has a quota; if not, the host need not call `handle`.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records the events, then admits or rejects each request, in order.
    pub fn handle(
        &mut self,
        now: Micros,
        events: &AdmissionEvents,
        admission: &mut impl Admission,
    ) {
        self.record(now, events);
        if now >= self.next_adjustment {
            self.adjust(now);
        }
        for request in &events.requests {
            match self.check(now, request.customer) {
                Ok(()) => {
                    if let Some(customer) = self.customers.get_mut(request.customer.0) {
                        customer.record_admission();
                    }
                    self.admitted += 1;
                    admission.admit(request.request);
                }
                Err(rejection) => admission.reject(request.request, rejection),
            }
        }
    }

    fn record(&mut self, now: Micros, events: &AdmissionEvents) {
        let window = self.window;
        for id in &events.finished {
            if let Some(customer) = self.customers.get_mut(id.0) {
                customer.record_finish();
            }
        }
        for dispatch in &events.dispatched {
            if let Some(customer) = self.customers.get_mut(dispatch.customer.0) {
                customer.record_dispatch(now, window, dispatch.worker);
            }
        }
        for rates in &events.reported_rates {
            if let Some(customer) = self.customers.get_mut(rates.customer.0) {
                customer.record_report(now, window, rates);
            }
        }
        self.rejected += events.rejected;
        for request in &events.requests {
            if let Some(customer) = self.customers.get_mut(request.customer.0) {
                customer.record_request(now, window);
            }
        }
    }

    fn adjust(&mut self, now: Micros) {
        self.next_adjustment = now + self.window / ADJUSTMENTS_PER_WINDOW;
        let overload = self.overload();
        (self.admitted, self.rejected) = (0, 0);
        let context = self.context(now);
        for customer in &mut self.customers {
            customer.adjust(&context, overload);
        }
    }

    /// The fraction of the requests admitted since the last adjustment that the decision module rejected, which covers
    /// every cause of overload that the module detects. Older rejections do not count, as they would lower the admitted
    /// rates too far.
    fn overload(&self) -> f64 {
        let fraction = f64::from(self.rejected) / f64::from(self.admitted.max(1));
        if self.has_shares {
            fraction.min(1.0)
        } else {
            0.0
        }
    }

    fn check(&mut self, now: Micros, id: CustomerId) -> Result<(), Rejection> {
        let context = self.context(now);
        match self.customers.get_mut(id.0) {
            Some(customer) => customer.check(&context),
            None => Ok(()),
        }
    }

    fn context(&self, now: Micros) -> EdgeContext {
        EdgeContext {
            now,
            window: self.window,
            router_count: self.router_count,
        }
    }
}

fn read_customers(settings: &Settings, count: usize) -> Vec<Customer> {
    let number = |index: usize, name: &str| settings.number(&format!("customers.{index}.{name}"));
    let mut customers: Vec<Customer> = (0..count)
        .map(|index| {
            let share = number(index, "share").unwrap_or(0.0);
            Customer::new(number(index, "rate"), number(index, "in-flight"), share)
        })
        .collect();
    let named_shares: f64 = (0..count).filter_map(|index| number(index, "share")).sum();
    customers.push(Customer::new(None, None, (1.0 - named_shares).max(0.0)));
    customers
}
