//! Faults that a scenario injects into emulated services through shared handles.

use sanddrum_net::Micros;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// State that a scenario and an emulated service share.
pub type Shared<T> = Rc<RefCell<T>>;

/// The faults of a worker. The serialized names are those of the lab's fault files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerFaults {
    /// The worker accepts requests but answers nothing, not even health checks.
    #[serde(rename = "hangs")]
    pub is_hung: bool,
    /// How many times slower than usual the worker is; zero and one mean normal speed.
    #[serde(rename = "slower")]
    pub slowdown: f64,
    /// Probability that the answer to an attempt is lost, 0 to 1.
    #[serde(rename = "loses")]
    pub answer_loss: f64,
    /// Probability that a load fails, 0 to 1.
    #[serde(rename = "load_fails")]
    pub load_failure: f64,
    /// The worker finishes the requests that it has accepted, and accepts no new ones.
    #[serde(rename = "drains")]
    pub is_draining: bool,
    /// The worker sends each router one frame that is not a message, and clears this fault.
    #[serde(rename = "garbles")]
    pub garble_once: bool,
    /// All its instances become obsolete, as after a new release of all functions, and it clears this fault.
    #[serde(rename = "flush")]
    pub invalidate_once: bool,
}

/// The faults of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// Fetches in progress make no progress.
    #[serde(rename = "stalls")]
    pub is_stalled: bool,
    /// Every fetch is rejected.
    #[serde(rename = "refuses")]
    pub rejects_all: bool,
    /// How many times slower than usual it is; zero and one mean normal speed.
    #[serde(rename = "slower")]
    pub slowdown: f64,
}

/// The faults of the discovery service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiscoveryFaults {
    /// An additional delay until changes are published.
    #[serde(rename = "lags")]
    pub delay: Micros,
}

/// The number of stored keys from which on each insertion removes the expired ones.
const SWEEP_THRESHOLD: usize = 4096;

/// Idempotency keys of requests that a group of workers has finished, each retained for a time window.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyKeys {
    window: Micros,
    finished_at: BTreeMap<String, Micros>,
}

impl IdempotencyKeys {
    /// Creates an empty set that retains each key for `window`.
    pub fn new(window: Micros) -> Self {
        IdempotencyKeys {
            window,
            finished_at: BTreeMap::new(),
        }
    }

    /// Whether a request with this key has finished within the window.
    pub fn is_duplicate(&self, now: Micros, key: &str) -> bool {
        self.finished_at
            .get(key)
            .is_some_and(|at| now < at + self.window)
    }

    /// Records that a request with this key has finished.
    pub fn record(&mut self, now: Micros, key: &str) {
        if self.finished_at.len() >= SWEEP_THRESHOLD {
            self.finished_at.retain(|_, at| now < *at + self.window);
        }
        self.finished_at.insert(key.to_string(), now);
    }
}
