//! Faults that a scenario injects into emulated parts through shared handles.

use sanddrum_net::Micros;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// State that a scenario and an emulated part share.
pub type Shared<T> = Rc<RefCell<T>>;

/// What is wrong with a worker. The names of its serialized form are those of the lab's fault files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerFaults {
    /// It accepts requests and answers nothing, not even health checks.
    #[serde(rename = "hangs")]
    pub is_hung: bool,
    /// How many times slower it is; zero or one is as usual.
    #[serde(rename = "slower")]
    pub slowdown: f64,
    /// Probability that the answer to an attempt never leaves it, 0 to 1.
    #[serde(rename = "loses")]
    pub answer_loss: f64,
    /// Probability that a load fails, 0 to 1.
    #[serde(rename = "load_fails")]
    pub load_failure: f64,
    /// It finishes what it has accepted and accepts nothing new.
    #[serde(rename = "drains")]
    pub is_draining: bool,
    /// It writes bytes that are no message, once.
    #[serde(rename = "garbles")]
    pub garble_once: bool,
    /// All its instances become obsolete, once.
    #[serde(rename = "flush")]
    pub invalidate_once: bool,
}

/// What is wrong with the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// Fetches under way make no progress.
    #[serde(rename = "stalls")]
    pub is_stalled: bool,
    /// Every fetch is rejected.
    #[serde(rename = "refuses")]
    pub rejects_all: bool,
    /// How many times slower it is; zero or one is as usual.
    #[serde(rename = "slower")]
    pub slowdown: f64,
}

/// What is wrong with the discovery service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiscoveryFaults {
    /// Changes are published so much later.
    #[serde(rename = "lags")]
    pub delay: Micros,
}

/// Keys remembered before the expired ones are swept out.
const SWEEP_ABOVE: usize = 4096;

/// Idempotency keys of requests that a group of workers has finished, each remembered for a while.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyKeys {
    window: Micros,
    finished_at: BTreeMap<String, Micros>,
}

impl IdempotencyKeys {
    /// Remembers each key for `window`.
    pub fn new(window: Micros) -> Self {
        IdempotencyKeys {
            window,
            finished_at: BTreeMap::new(),
        }
    }

    /// Whether a request of this key has finished within the window.
    pub fn is_duplicate(&self, now: Micros, key: &str) -> bool {
        self.finished_at
            .get(key)
            .is_some_and(|at| now < at + self.window)
    }

    /// A request of this key has finished.
    pub fn record(&mut self, now: Micros, key: &str) {
        if self.finished_at.len() >= SWEEP_ABOVE {
            self.finished_at.retain(|_, at| now < *at + self.window);
        }
        self.finished_at.insert(key.to_string(), now);
    }
}
