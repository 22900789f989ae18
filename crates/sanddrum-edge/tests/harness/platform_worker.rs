//! Workers that speak the platform's protocol.

use super::fastcgi::parse_call_id;
use super::EdgeHarness;
use sanddrum_net::ConnectionId;
use sanddrum_platform::frames;

/// The status code of a finished request or load command.
pub const FINISHED: u8 = 97;
/// The status code of a request whose function is not loaded.
pub const COLD_MISS: u8 = 99;
/// The status code of a rejected request.
pub const REJECTED: u8 = 100;

impl EdgeHarness {
    /// Delivers a worker's answer that a request has finished.
    pub fn finish_request(&mut self, worker: ConnectionId, call_id: &str, body: &[u8]) {
        let answer = frames::response(FINISHED, parse_call_id(call_id), "", body);
        self.receive(worker, &answer);
    }
}
