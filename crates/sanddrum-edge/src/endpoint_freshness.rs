//! How old the endpoint list is: the instant up to which every change of it is known, as the control feed's answers show.
//!
//! A feed that says nothing looks the same whether nothing has changed or nothing can be heard. So what counts is the last
//! instant at which the feed itself stated that there was nothing more.

use sanddrum::Micros;

/// A poll of the control feed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Poll {
    /// When it was sent.
    pub sent_at: Micros,
    /// How long the feed may hold it.
    pub wait: Micros,
}

/// A change between a current and a stale list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FreshnessChange {
    /// Changes may have come unseen for too long.
    Stale {
        /// The age of the list.
        age: Micros,
    },
    /// The feed has answered again.
    Current,
}

/// The age of the endpoint list.
#[derive(Debug)]
pub(crate) struct EndpointFreshness {
    /// An older list is stale.
    stale_after: Micros,
    /// All changes until then are known.
    confirmed_at: Micros,
    /// How long answers of the feed are under way, by the newest one that shows it.
    answer_delay: Micros,
    is_stale: bool,
}

impl EndpointFreshness {
    /// A list that is stale once it is older than this.
    pub fn new(stale_after: Micros) -> Self {
        EndpointFreshness {
            stale_after,
            confirmed_at: 0,
            answer_delay: 0,
            is_stale: false,
        }
    }

    /// All changes until this instant are known.
    pub fn confirmed_at(&self) -> Micros {
        self.confirmed_at
    }

    /// The list is complete as of this instant, which is that of the start.
    pub fn start(&mut self, now: Micros) {
        self.confirmed_at = now;
    }

    /// The feed has answered a poll. An answer without events was held for the whole wait. One with events was sent as they
    /// came, which is known only as well as the answers' delay is; a process that was held up may have found it long after
    /// that. Guards against an answer that has lain unread and is taken for the feed's newest word.
    pub fn answered(&mut self, now: Micros, poll: Poll, has_events: bool, is_delayed: bool) {
        let held_until = if has_events && is_delayed {
            poll.sent_at
        } else if has_events {
            (now - self.answer_delay).max(poll.sent_at)
        } else {
            self.answer_delay = (now - poll.sent_at - poll.wait).max(0);
            (poll.sent_at + poll.wait).min(now)
        };
        self.confirmed_at = self.confirmed_at.max(held_until);
    }

    /// How long the feed is to hold the next poll, if its answer is to be there within this time. Guards against a slow feed
    /// whose answers are all given up.
    pub fn next_wait(&self, answer_within: Micros) -> Micros {
        (answer_within - self.answer_delay).max(0)
    }

    /// Whether the list has become stale, or current again, since this was last asked.
    pub fn change(&mut self, now: Micros) -> Option<FreshnessChange> {
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
