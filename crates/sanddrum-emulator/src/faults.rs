use sanddrum_net::Micros;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a scenario and a stand-in both hold.
pub type Shared<T> = Rc<RefCell<T>>;

/// What is wrong with a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerFaults {
    /// It takes jobs and answers nothing, not even probes.
    pub hangs: bool,
    /// So many times slower; nought or one is as usual.
    pub slower: f64,
    /// The part of its answers to executions that never leave it.
    pub loses: f64,
    /// The part of its loads that fail.
    pub load_fails: f64,
    /// It finishes what it holds and takes nothing new.
    pub drains: bool,
    /// It writes bytes that are no message.
    pub garbles: bool,
    /// All its copies are void, once.
    pub flush: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// Fetches under way stand still.
    pub stalls: bool,
    /// Every fetch is turned away.
    pub refuses: bool,
    /// So many times slower; nought or one is as usual.
    pub slower: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListFaults {
    /// Changes are told so much later.
    pub lags: Micros,
}

/// Marks of fingerprinted jobs that a group of workers has seen end well, each remembered for a while.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    pub window: Micros,
    ended: BTreeMap<String, Micros>,
}

impl Marks {
    pub fn new(window: Micros) -> Self {
        Marks {
            window,
            ended: BTreeMap::new(),
        }
    }
    pub fn is_repeat(&self, now: Micros, mark: &str) -> bool {
        self.ended
            .get(mark)
            .is_some_and(|at| now < at + self.window)
    }
    pub fn ended(&mut self, now: Micros, mark: &str) {
        if self.ended.len() >= MARKS {
            self.ended.retain(|_, at| now < *at + self.window);
        }
        self.ended.insert(mark.to_string(), now);
    }
}

/// Marks kept before the old ones are swept out.
const MARKS: usize = 4096;
