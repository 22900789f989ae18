//! The time at which a request arrived, from which its time limit counts. If the process was delayed, the request may
//! have waited unread, while the client's own timeout was already running.

use sanddrum_net::Micros;

/// Waits of up to this duration are ignored: the driver does not know the arrival time more precisely, and the time
/// limit sent to a worker may exceed the client's remaining time by twice this value.
const ARRIVAL_PRECISION: Micros = 75_000;

/// The arrival time to assume for input that is read at `now` and may have arrived as early as `earliest`.
pub(crate) fn effective_arrival(now: Micros, earliest: Micros) -> Micros {
    if now - earliest <= ARRIVAL_PRECISION {
        now
    } else {
        earliest
    }
}
