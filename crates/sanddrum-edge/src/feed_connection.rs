//! One connection to the control feed, with at most one poll outstanding.

use crate::control_feed::FeedError;
use crate::endpoint_freshness::Poll;
use sanddrum_net::ConnectionId;
use sanddrum_wire::http::{self, Response};

/// A connection to the control feed.
#[derive(Debug)]
pub(crate) struct FeedConnection {
    /// The transport.
    pub conn: ConnectionId,
    /// The outstanding poll.
    pub poll: Option<Poll>,
    /// Whether it has been opened.
    pub is_open: bool,
    /// Whether a poll has been sent on it.
    pub has_polled: bool,
    /// Bytes of an incomplete answer.
    received: Vec<u8>,
}

impl FeedConnection {
    /// A connection that is being opened.
    pub fn new(conn: ConnectionId) -> Self {
        FeedConnection {
            conn,
            poll: None,
            is_open: false,
            has_polled: false,
            received: Vec::new(),
        }
    }

    /// Whether a poll can be sent on it.
    pub fn can_poll(&self) -> bool {
        self.is_open && self.poll.is_none()
    }

    /// Receives bytes of an answer. Returns it once it is complete.
    ///
    /// # Errors
    /// [`FeedError`]: the answer is not HTTP, or is larger than `max_bytes`.
    pub fn receive(
        &mut self,
        max_bytes: usize,
        bytes: &[u8],
    ) -> Result<Option<Response>, FeedError> {
        self.received.extend_from_slice(bytes);
        let parsed = http::parse_response(&self.received).map_err(FeedError::Http)?;
        if let Some((response, _)) = parsed {
            self.received = Vec::new();
            return Ok(Some(response));
        }
        if self.received.len() > max_bytes {
            return Err(FeedError::TooLarge);
        }
        Ok(None)
    }
}
