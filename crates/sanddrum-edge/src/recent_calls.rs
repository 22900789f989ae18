//! Decides whether a request may be accepted whose client-assigned id was seen before: its first client may have left
//! while the request ran. The calls that may have run are remembered for some time, in a bounded number.

use sanddrum::Micros;
use std::collections::{BTreeMap, VecDeque};

/// At most this many calls are remembered; the oldest are forgotten first.
const MAX_CALLS: usize = 8_192;

/// What is known of an earlier request with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlierCall {
    /// There was none, or none that can have run.
    None,
    /// It has no final response yet.
    Open,
    /// It is closed, but a worker may still run it.
    Ending,
    /// It has ended and may have run.
    MayHaveRun,
}

/// Whether a request is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatedCall {
    /// It is accepted.
    Accept,
    /// It is refused until the earlier one has ended: two attempts of it must not run at once.
    RefuseForNow,
    /// It fails: nothing is known of the effect of the earlier one.
    Fail,
}

/// Decides by what is known of the earlier call, and by whether a request of its workload may run again.
pub(crate) fn decide(earlier: EarlierCall, may_run_again: bool) -> RepeatedCall {
    match earlier {
        EarlierCall::None => RepeatedCall::Accept,
        EarlierCall::Open => RepeatedCall::Fail,
        _ if !may_run_again => RepeatedCall::Fail,
        EarlierCall::Ending => RepeatedCall::RefuseForNow,
        EarlierCall::MayHaveRun => RepeatedCall::Accept,
    }
}

/// The ids of calls that have ended and may have run.
#[derive(Debug, Default)]
pub(crate) struct RecentCalls {
    /// When each call was last recorded.
    recorded_at: BTreeMap<u64, Micros>,
    /// The records, oldest first.
    by_age: VecDeque<(Micros, u64)>,
}

impl RecentCalls {
    /// Records a call that has ended and may have run.
    pub fn record(&mut self, now: Micros, call_id: u64) {
        self.recorded_at.insert(call_id, now);
        self.by_age.push_back((now, call_id));
        if self.by_age.len() > MAX_CALLS {
            self.forget_oldest();
        }
    }

    /// Whether a call was recorded within `retention` before `now`. Older records are forgotten.
    pub fn contains(&mut self, now: Micros, call_id: u64, retention: Micros) -> bool {
        while self
            .by_age
            .front()
            .is_some_and(|(at, _)| at + retention < now)
        {
            self.forget_oldest();
        }
        self.recorded_at.contains_key(&call_id)
    }

    fn forget_oldest(&mut self) {
        let Some((at, call_id)) = self.by_age.pop_front() else {
            return;
        };
        if self.recorded_at.get(&call_id) == Some(&at) {
            self.recorded_at.remove(&call_id);
        }
    }
}
