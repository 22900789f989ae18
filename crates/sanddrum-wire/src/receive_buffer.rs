//! The receive buffer of stream decoders.

/// Bytes received from a stream, which decoders consume from the front.
///
/// Consumed bytes are dropped with the next [`push`](ReceiveBuffer::push), so that a slice returned by
/// [`consume`](ReceiveBuffer::consume) borrows from the buffer instead of being copied.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// Length of the consumed part at the front of `bytes`.
    consumed: usize,
}

impl ReceiveBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The bytes that have not been consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.bytes.len()
    }

    /// Bytes of memory allocated for the buffer.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Consumes the next `length` bytes and returns them.
    ///
    /// # Panics
    /// When fewer than `length` bytes are unread.
    pub fn consume(&mut self, length: usize) -> &[u8] {
        let start = self.consumed;
        self.consumed += length;
        &self.bytes[start..self.consumed]
    }

    /// Returns the memory to the allocator when all bytes have been consumed, so that the buffer of a burst does not
    /// stay allocated for as long as the connection is open.
    pub fn release_if_empty(&mut self) {
        if self.is_empty() {
            *self = ReceiveBuffer::default();
        }
    }
}
