//! A connection that an emulated worker opens and keeps open, to the discovery service or to the store.

use sanddrum_net::{ConnectionId, Event, Io, Micros, Outbox};
use sanddrum_wire::FrameDecoder;

/// The maximum number of bytes that may wait to be written, and the maximum size of a received frame.
const MAX_BYTES: usize = 16 << 20;

pub(crate) struct Upstream {
    address: String,
    pub connection: Option<ConnectionId>,
    is_up: bool,
    pub outbox: Outbox<()>,
    pub frames: FrameDecoder,
    /// The earliest time to reconnect.
    pub retry_at: Micros,
}

impl Upstream {
    pub fn new(address: &str) -> Self {
        Upstream {
            address: address.to_string(),
            connection: None,
            is_up: false,
            outbox: Outbox::new(MAX_BYTES),
            frames: FrameDecoder::new(MAX_BYTES),
            retry_at: 0,
        }
    }

    pub fn connect(&mut self, io: &mut dyn Io) {
        self.connection = Some(io.connect(&self.address));
        self.is_up = false;
        self.outbox = Outbox::new(MAX_BYTES);
        self.frames = FrameDecoder::new(MAX_BYTES);
    }

    pub fn flush(&mut self, io: &mut dyn Io) {
        if let Some(connection) = self.connection.filter(|_| self.is_up) {
            self.outbox.flush(connection, io);
        }
    }

    pub fn on_event(&mut self, now: Micros, event: &Event<'_>, retry_after: Micros) {
        match event {
            Event::Connected { .. } => self.is_up = true,
            Event::Writable { .. } => self.outbox.unblock(),
            Event::Bytes { bytes, .. } => self.frames.push_bytes(bytes),
            Event::Closed { .. } => {
                self.connection = None;
                self.is_up = false;
                self.retry_at = now + retry_after;
            }
            Event::Accepted { .. } => {}
        }
    }
}
