//! From when on a client's time counts. A client counts from its sending, and what it sent may have waited unread while the
//! process was held up.

use sanddrum_net::Micros;

/// A wait of up to so long is not told apart from none: the driver knows the arrival no better, and what a server is told
/// may exceed what the client has left by twice as much.
const ARRIVAL_KNOWN_WITHIN: Micros = 75_000;

/// The instant from which the time of what is read at `now` counts, where it may have come at `earliest`.
pub(crate) fn counts_from(now: Micros, earliest: Micros) -> Micros {
    if now - earliest <= ARRIVAL_KNOWN_WITHIN {
        now
    } else {
        earliest
    }
}
