use sanddrum::Micros;

/// How often something happens a second, of late: what happened counts ever less, by half in about seven tenths of
/// the window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    per_window: f64,
    at: Micros,
}

impl RateMeter {
    pub fn record(&mut self, now: Micros, window: Micros) {
        self.per_window = self.faded(now, window) + 1.0;
        self.at = now;
    }
    fn faded(&self, now: Micros, window: Micros) -> f64 {
        self.per_window * (-((now - self.at).max(0) as f64) / window as f64).exp()
    }
    /// A second.
    pub fn per_second(&self, now: Micros, window: Micros) -> f64 {
        self.faded(now, window) * 1e6 / window as f64
    }
    pub fn last_event(&self) -> Micros {
        self.at
    }
}

/// Permits that come at a rate and are saved up to a bound; one may always be saved, however low the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    saved: f64,
    at: Option<Micros>,
}

/// A rate so low that nothing is to be waited for.
const NEVER_US: f64 = 3.6e9;

impl TokenBucket {
    /// Takes a permit.
    ///
    /// # Errors
    /// There is none; how long until there is one.
    pub fn take(&mut self, now: Micros, per_s: f64, most: f64) -> Result<(), Micros> {
        let most = most.max(1.0);
        let passed = self
            .at
            .map_or(most * 1e6 / per_s.max(1e-9), |at| (now - at).max(0) as f64);
        self.saved = (self.saved + passed * per_s / 1e6).min(most);
        self.at = Some(now);
        if per_s <= 0.0 {
            return Err(NEVER_US as Micros);
        }
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.saved) * 1e6 / per_s).min(NEVER_US).ceil() as Micros)
    }
}
