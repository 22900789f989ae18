//! Decides which partially received request is rejected when all of them together exceed their memory limit.

use sanddrum::Micros;
use sanddrum_net::ConnectionId;
use std::cmp::Reverse;

/// A connection with partially received requests.
pub(super) struct PartialRequestHolder {
    /// The connection.
    pub conn: ConnectionId,
    /// Whether it has sent a complete request before.
    pub has_sent_request: bool,
    /// Memory of its partially received requests in bytes.
    pub bytes: usize,
    /// How long ago the oldest of them began.
    pub age: Micros,
}

/// Selects the connection whose oldest partial request is rejected: one that has never sent a complete request before
/// all others, and among equals the one with the greatest product of memory and time. Clients that send parts of
/// requests by the hundred thus do not displace those that send complete ones.
pub(super) fn first_to_reject(
    holders: impl Iterator<Item = PartialRequestHolder>,
) -> Option<ConnectionId> {
    let selected = holders.min_by_key(|holder| {
        // A request that began in this instant counts as well.
        let age = u128::from(holder.age.max(0).unsigned_abs()) + 1;
        let memory_and_time = holder.bytes as u128 * age;
        (
            holder.has_sent_request,
            Reverse(memory_and_time),
            holder.conn,
        )
    });
    selected.map(|holder| holder.conn)
}
