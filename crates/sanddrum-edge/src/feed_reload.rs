//! The time from a requested reload of the startup configuration until the control feed answers again. The
//! configuration may move the feed, whose old address then tells nothing further. If the configuration can't be used or
//! the feed doesn't answer at its new address, changes of the endpoint list are missed without a failure of the old
//! connection.

use crate::endpoint_freshness::Poll;
use sanddrum::Micros;

/// How long after a reload was requested the platform considers the router notified of all changes, in microseconds
/// (the platform's page on the days that count, section *New configurations and restarts*).
const RELOAD_NOTIFICATION_DELAY: Micros = 4_000_000;
/// A feed that has moved closes its old connections within 1.5 s. An answer to a poll that was sent this long after the
/// reload was requested, in microseconds, shows that it has not moved.
const OLD_FEED_CLOSED_AFTER: Micros = 2_000_000;

/// Whether the feed may have moved to an address at which it has not answered yet.
#[derive(Debug, Default)]
pub(crate) struct FeedReload {
    /// When the first reload was requested since the feed last answered at an address that is known to be current.
    requested_at: Option<Micros>,
    /// Whether a new address is known.
    has_moved: bool,
}

impl FeedReload {
    /// Records that a reload was requested.
    pub fn request(&mut self, now: Micros) {
        self.requested_at.get_or_insert(now);
    }

    /// Records that a configuration was applied, and whether it has changed the feed's address.
    pub fn apply(&mut self, has_moved: bool) {
        self.has_moved |= has_moved;
        if !self.has_moved {
            self.requested_at = None;
        }
    }

    /// Records that the feed has answered a poll at the address that was last applied.
    pub fn record_answer(&mut self, poll: Poll) {
        let is_old_feed_open = self
            .requested_at
            .is_some_and(|at| poll.sent_at < at + OLD_FEED_CLOSED_AFTER);
        if self.has_moved || !is_old_feed_open {
            *self = FeedReload::default();
        }
    }

    /// How long after `confirmed_at`, up to which all changes are known, the platform considers the router notified of
    /// all later ones; within the given bounds.
    pub fn notification_delay(&self, confirmed_at: Micros, min: Micros, max: Micros) -> Micros {
        self.requested_at.map_or(max, |at| {
            (at + RELOAD_NOTIFICATION_DELAY - confirmed_at).clamp(min, max)
        })
    }
}
