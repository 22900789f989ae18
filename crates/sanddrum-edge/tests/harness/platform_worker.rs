//! Workers that speak the platform's protocol.

use super::fastcgi::parse_call_id;
use super::EdgeHarness;
use sanddrum_net::ConnectionId;
use sanddrum_platform::frames;

/// The code of a health check, and of its answer.
pub const HEALTH_CHECK: u8 = 67;
pub const HEALTH_CHECK_ANSWER: u8 = 103;
/// The length of a frame without fields and body.
const EMPTY_FRAME_BYTES: usize = 20;

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

    /// The id of the health check that was written to a worker last, if nothing was written after it.
    pub fn last_health_check(&self, worker: ConnectionId) -> Option<u64> {
        let written = self.io.written.get(&worker)?;
        let frame = written.last_chunk::<EMPTY_FRAME_BYTES>()?;
        let id = u64::from_be_bytes(*frame[8..].first_chunk()?);
        (frame[..] == frames::ping(id)).then_some(id)
    }

    /// The ids of all health checks that were written to a worker, in the order of writing.
    pub fn health_checks(&self, worker: ConnectionId) -> Vec<u64> {
        let written = self.io.written.get(&worker).map_or(&[][..], Vec::as_slice);
        let frames = written.windows(EMPTY_FRAME_BYTES);
        let checks = frames.filter_map(|frame| {
            let id = u64::from_be_bytes(*frame[8..].first_chunk()?);
            (frame == frames::ping(id)).then_some(id)
        });
        checks.collect()
    }

    /// Delivers a worker's answer to the health check that was written to it last.
    pub fn answer_health_check(&mut self, worker: ConnectionId) {
        let id = self.last_health_check(worker).expect("a health check");
        self.answer_health_check_of(worker, id);
    }

    /// Delivers a worker's answer to the health check with this id.
    pub fn answer_health_check_of(&mut self, worker: ConnectionId, id: u64) {
        let answer = frames::response(HEALTH_CHECK_ANSWER, id, "", b"");
        self.receive(worker, &answer);
    }

    /// Delivers a worker's answer to the health check that verifies a new connection, and removes it from the record.
    pub fn answer_verification(&mut self, worker: ConnectionId) {
        let Some(id) = self.last_health_check(worker) else {
            return;
        };
        self.io.written.remove(&worker);
        self.io.writes.pop();
        let answer = frames::response(HEALTH_CHECK_ANSWER, id, "", b"");
        self.receive(worker, &answer);
    }
}
