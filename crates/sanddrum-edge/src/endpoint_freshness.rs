//! The freshness of the endpoint list: the instant up to which all changes are known from the control feed's answers.
//!
//! A silent feed looks the same whether nothing has changed or the feed is unreachable. Freshness is therefore
//! measured from the last instant for which the feed itself confirmed that there were no further changes.

use sanddrum::Micros;
use sanddrum_platform::control_feed::MAX_NOTIFICATION_DELAY;

/// The longest delay that is expected of an answer: one that takes longer comes too late to be of use.
const MAX_ANSWER_DELAY: Micros = MAX_NOTIFICATION_DELAY;

/// A poll of the control feed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Poll {
    /// When it was sent.
    pub sent_at: Micros,
    /// How long the feed may hold the poll before it answers.
    pub wait: Micros,
}

/// A transition between a current and a stale list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FreshnessChange {
    /// Changes may have been missed for too long.
    Stale {
        /// The age of the list.
        age: Micros,
    },
    /// The feed has confirmed the list again.
    Current,
}

/// Tracks the freshness of the endpoint list.
#[derive(Debug)]
pub(crate) struct EndpointFreshness {
    /// The age above which the list is stale.
    stale_after: Micros,
    /// All changes up to this instant are known.
    confirmed_at: Micros,
    /// The delay of the feed's answers, measured with the last answer without events, and raised by later ones with events.
    answer_delay: Micros,
    is_stale: bool,
}

impl EndpointFreshness {
    /// A list that becomes stale once its age exceeds `stale_after`.
    pub fn new(stale_after: Micros) -> Self {
        EndpointFreshness {
            stale_after,
            confirmed_at: 0,
            answer_delay: 0,
            is_stale: false,
        }
    }

    /// The instant up to which all changes are known.
    pub fn confirmed_at(&self) -> Micros {
        self.confirmed_at
    }

    /// Marks the list as complete at the start of the edge.
    pub fn start(&mut self, now: Micros) {
        self.confirmed_at = now;
    }

    /// Records an answer to a poll. An answer without events was held for the whole wait, so it confirms the list up
    /// to the end of that wait. An answer with events was sent when the first of them occurred, which is estimated
    /// from the delay of earlier answers. If `is_poll_overdue`, because this process was delayed, the answer may have
    /// been waiting unread for any time, and it confirms the list only up to the time at which the poll was sent.
    pub fn record_answer(
        &mut self,
        now: Micros,
        poll: Poll,
        has_events: bool,
        is_poll_overdue: bool,
    ) {
        let least_delay = (now - poll.sent_at - poll.wait).clamp(0, MAX_ANSWER_DELAY);
        let confirmed_until = if has_events && is_poll_overdue {
            poll.sent_at
        } else if has_events {
            // An event may have occurred at any time of the wait, but not after it.
            self.answer_delay = self.answer_delay.max(least_delay);
            (now - self.answer_delay).max(poll.sent_at)
        } else {
            self.answer_delay = least_delay;
            (poll.sent_at + poll.wait).min(now)
        };
        self.confirmed_at = self.confirmed_at.max(confirmed_until);
    }

    /// How late the feed answers.
    pub fn answer_delay(&self) -> Micros {
        self.answer_delay
    }

    /// The wait of the next poll, chosen so that its answer arrives within `answer_within`. Without the deduction of
    /// the answers' delay, every poll of a slow feed would time out.
    pub fn next_wait(&self, answer_within: Micros) -> Micros {
        (answer_within - self.answer_delay).max(0)
    }

    /// Returns whether the list has become stale, or current again, since the last call.
    pub fn take_change(&mut self, now: Micros) -> Option<FreshnessChange> {
        let age = now - self.confirmed_at;
        let is_stale = age > self.stale_after;
        let was_stale = std::mem::replace(&mut self.is_stale, is_stale);
        match (was_stale, is_stale) {
            (false, true) => Some(FreshnessChange::Stale { age }),
            (true, false) => Some(FreshnessChange::Current),
            _ => None,
        }
    }
}
