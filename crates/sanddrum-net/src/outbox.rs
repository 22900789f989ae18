//! A write buffer that knows which messages can have reached the peer.

use crate::{ConnectionId, Io};
use std::collections::VecDeque;
use std::ops::Range;

/// A message that the connection has not taken to its end.
#[derive(Debug)]
struct Message<T> {
    /// The end of the message, as an offset in the buffer.
    end: usize,
    tag: T,
}

/// The messages to be written to one connection, each with a tag, and how far the connection has taken them. When the
/// connection ends, the core learns from it which messages can have arrived: one that was not taken to its last byte
/// cannot have been read by the peer.
#[derive(Debug)]
pub struct Outbox<T> {
    buffer: Vec<u8>,
    /// The bytes at the front of the buffer that the connection has taken.
    taken: usize,
    /// The messages that are not taken to their end.
    messages: VecDeque<Message<T>>,
    /// Whether the first message is taken in part.
    first_is_partly_taken: bool,
    max_pending_bytes: usize,
    /// Whether the last write was short and the connection is not writable yet.
    blocked: bool,
}

/// The message would exceed the bound on pending bytes; it was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the outbox is full; wait until pending bytes are written")]
pub struct OutboxFull;

impl<T: PartialEq> Outbox<T> {
    /// An empty outbox. At most `max_pending_bytes` are pending, but a single message may exceed them.
    pub fn new(max_pending_bytes: usize) -> Self {
        Outbox {
            buffer: Vec::new(),
            taken: 0,
            messages: VecDeque::new(),
            first_is_partly_taken: false,
            max_pending_bytes,
            blocked: false,
        }
    }
    /// The bytes that the connection has not taken.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.taken
    }
    /// Appends a message.
    ///
    /// # Errors
    /// [`OutboxFull`] if other bytes are pending and the message exceeds the bound.
    pub fn push(&mut self, tag: T, message: &[u8]) -> Result<(), OutboxFull> {
        let pending = self.pending_bytes();
        if pending > 0 && pending + message.len() > self.max_pending_bytes {
            return Err(OutboxFull);
        }
        self.buffer.extend_from_slice(message);
        self.messages.push_back(Message {
            end: self.buffer.len(),
            tag,
        });
        Ok(())
    }
    /// Removes the first message with this tag if none of it was written. Returns whether it was removed.
    pub fn remove_unwritten(&mut self, tag: &T) -> bool {
        let Some(index) = self.unwritten_index(tag) else {
            return false;
        };
        let range = self.range_of(index);
        let removed = range.len();
        self.buffer.drain(range);
        self.messages.remove(index);
        for message in self.messages.iter_mut().skip(index) {
            message.end -= removed;
        }
        true
    }
    /// Replaces the first message with this tag if none of it was written. Returns whether it was replaced.
    pub fn replace_unwritten(&mut self, tag: &T, replacement: &[u8]) -> bool {
        let Some(index) = self.unwritten_index(tag) else {
            return false;
        };
        let range = self.range_of(index);
        let removed = range.len();
        self.buffer.splice(range, replacement.iter().copied());
        for message in self.messages.iter_mut().skip(index) {
            message.end = message.end + replacement.len() - removed;
        }
        true
    }
    /// The first message with this tag, if none of it was written.
    fn unwritten_index(&self, tag: &T) -> Option<usize> {
        self.messages
            .iter()
            .position(|message| message.tag == *tag)
            .filter(|index| *index > 0 || !self.first_is_partly_taken)
    }
    /// Where an unwritten message lies in the buffer.
    fn range_of(&self, index: usize) -> Range<usize> {
        let start = match index.checked_sub(1) {
            Some(before) => self.messages[before].end,
            None => self.taken,
        };
        start..self.messages[index].end
    }
    /// The tags of the messages of which nothing was written.
    pub fn unwritten(&self) -> impl Iterator<Item = &T> {
        self.messages
            .iter()
            .skip(usize::from(self.first_is_partly_taken))
            .map(|message| &message.tag)
    }
    /// Writes what the connection takes.
    pub fn flush(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        self.write(self.buffer.len(), conn, io);
    }
    /// Writes what the connection takes of everything up to the last message with this tag, and nothing after that.
    pub fn flush_through(&mut self, tag: &T, conn: ConnectionId, io: &mut dyn Io) {
        let last = self
            .messages
            .iter()
            .rev()
            .find(|message| message.tag == *tag);
        if let Some(end) = last.map(|message| message.end) {
            self.write(end, conn, io);
        }
    }
    fn write(&mut self, end: usize, conn: ConnectionId, io: &mut dyn Io) {
        while !self.blocked && self.taken < end {
            let written = io.write(conn, &self.buffer[self.taken..end]);
            self.taken += written;
            self.first_is_partly_taken |= written > 0;
            self.blocked = self.taken < end;
        }
        while let Some(end) = self.messages.front().map(|first| first.end) {
            if end > self.taken {
                break;
            }
            self.messages.pop_front();
            self.first_is_partly_taken = end < self.taken;
        }
        if self.pending_bytes() == 0 {
            self.buffer.clear();
            self.taken = 0;
        } else if self.taken > self.max_pending_bytes {
            self.compact();
        }
    }
    /// The connection takes bytes again.
    pub fn unblock(&mut self) {
        self.blocked = false;
    }
    /// Whether a message with this tag was not taken to its end, so that the peer cannot have read it.
    pub fn is_pending(&self, tag: &T) -> bool {
        self.messages.iter().any(|message| message.tag == *tag)
    }
    fn compact(&mut self) {
        self.buffer.drain(..self.taken);
        let removed = std::mem::take(&mut self.taken);
        for message in &mut self.messages {
            message.end -= removed;
        }
    }
}
