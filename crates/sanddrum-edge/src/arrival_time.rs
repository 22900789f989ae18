//! The instant from which a client's time counts. A client counts from its sending, and what it sent may have waited unread
//! while the process was delayed.

use sanddrum_net::Micros;

/// A wait of up to so long can't be distinguished from none: the driver knows the arrival no better, and the time limit that a
/// worker is sent may exceed what the client has left by twice as much.
const ARRIVAL_PRECISION: Micros = 75_000;

/// The instant from which the time of what is read at `now` counts, where it may have arrived at `earliest`.
pub(crate) fn counts_from(now: Micros, earliest: Micros) -> Micros {
    if now - earliest <= ARRIVAL_PRECISION {
        now
    } else {
        earliest
    }
}
