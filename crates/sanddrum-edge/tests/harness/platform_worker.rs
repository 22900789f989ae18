//! Workers that speak the platform's protocol.

use super::fastcgi::id_number;
use super::EdgeHarness;
use sanddrum_net::ConnectionId;
use sanddrum_platform::frames;

/// The code of an answer to a call that has finished, or to a load command.
pub const FINISHED: u8 = 97;
/// The code of an answer to a call whose function is not loaded.
pub const COLD_MISS: u8 = 99;
/// The code of an answer to a call that was rejected.
pub const REJECTED: u8 = 100;

impl EdgeHarness {
    /// A worker answers that a call has finished.
    pub fn finish_request(&mut self, worker: ConnectionId, call_id: &str, body: &[u8]) {
        let answer = frames::response(FINISHED, id_number(call_id), "", body);
        self.receive(worker, &answer);
    }
}
