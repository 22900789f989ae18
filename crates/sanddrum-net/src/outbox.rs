//! A write buffer that tracks which messages can have reached the peer.

use crate::{ConnectionId, Io};
use std::collections::VecDeque;
use std::ops::Range;

/// An empty outbox releases its buffer if that is larger, so that a burst does not take memory for as long as the
/// connection is open.
const MAX_EMPTY_BUFFER_BYTES: usize = 4 * 1024;

/// A message that has not been written completely.
#[derive(Debug)]
struct Message<T> {
    /// The end of the message, as an offset in the buffer.
    end: usize,
    tag: T,
}

/// The messages to be written to one connection, each with a tag, and how far they have been written. When the
/// connection ends, it shows which messages can have arrived: the peer cannot have read one whose last byte was not
/// written.
#[derive(Debug)]
pub struct Outbox<T> {
    buffer: Vec<u8>,
    /// Length of the front part of `buffer` that has been written.
    written: usize,
    /// The messages that have not been written completely, in order.
    messages: VecDeque<Message<T>>,
    /// Whether part of the first message has been written.
    first_is_partly_written: bool,
    max_pending_bytes: usize,
    /// Whether the last write was short and the connection is not writable yet.
    blocked: bool,
}

/// The message would exceed the bound on pending bytes; it was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the outbox is full; wait until pending bytes are written")]
pub struct OutboxFull;

impl<T: PartialEq> Outbox<T> {
    /// Creates an empty outbox that holds at most `max_pending_bytes` pending bytes. A single message may exceed this
    /// bound if no other bytes are pending.
    pub fn new(max_pending_bytes: usize) -> Self {
        Outbox {
            buffer: Vec::new(),
            written: 0,
            messages: VecDeque::new(),
            first_is_partly_written: false,
            max_pending_bytes,
            blocked: false,
        }
    }
    /// The number of bytes that have not been written.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.written
    }
    /// Bytes of memory allocated for messages.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity()
    }
    /// Appends a message.
    ///
    /// # Errors
    /// [`OutboxFull`] if other bytes are pending and the message would exceed the bound.
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
    /// The index of the first message with this tag, if none of it was written.
    fn unwritten_index(&self, tag: &T) -> Option<usize> {
        self.messages
            .iter()
            .position(|message| message.tag == *tag)
            .filter(|index| *index > 0 || !self.first_is_partly_written)
    }
    /// The range of an unwritten message in the buffer.
    fn range_of(&self, index: usize) -> Range<usize> {
        let start = match index.checked_sub(1) {
            Some(before) => self.messages[before].end,
            None => self.written,
        };
        start..self.messages[index].end
    }
    /// The tags of the messages of which nothing was written.
    pub fn unwritten(&self) -> impl Iterator<Item = &T> {
        self.messages
            .iter()
            .skip(usize::from(self.first_is_partly_written))
            .map(|message| &message.tag)
    }
    /// The tags of the messages that are not written completely.
    pub fn pending(&self) -> impl Iterator<Item = &T> {
        self.messages.iter().map(|message| &message.tag)
    }
    /// Writes as much as the connection accepts. Returns the tags of the messages whose last byte was written.
    pub fn flush(&mut self, conn: ConnectionId, io: &mut dyn Io) -> Vec<T> {
        self.write(self.buffer.len(), conn, io)
    }
    /// Writes as much as the connection accepts, up to and including the last message whose tag is wanted. Writes nothing
    /// if there is none. Returns the tags of the messages whose last byte was written.
    pub fn flush_through(
        &mut self,
        is_wanted: impl Fn(&T) -> bool,
        conn: ConnectionId,
        io: &mut dyn Io,
    ) -> Vec<T> {
        let mut newest_first = self.messages.iter().rev();
        let last = newest_first.find(|message| is_wanted(&message.tag));
        match last.map(|message| message.end) {
            Some(end) => self.write(end, conn, io),
            None => Vec::new(),
        }
    }
    fn write(&mut self, end: usize, conn: ConnectionId, io: &mut dyn Io) -> Vec<T> {
        while !self.blocked && self.written < end {
            let accepted = io.write(conn, &self.buffer[self.written..end]);
            self.written += accepted;
            self.first_is_partly_written |= accepted > 0;
            self.blocked = self.written < end;
        }
        let mut completed = Vec::new();
        while self.is_first_written() {
            let Some(first) = self.messages.pop_front() else {
                break;
            };
            self.first_is_partly_written = first.end < self.written;
            completed.push(first.tag);
        }
        if self.pending_bytes() == 0 {
            self.buffer.clear();
            self.buffer.shrink_to(MAX_EMPTY_BUFFER_BYTES);
            self.written = 0;
        } else if self.written > self.max_pending_bytes {
            self.compact();
        }
        completed
    }
    fn is_first_written(&self) -> bool {
        self.messages
            .front()
            .is_some_and(|first| first.end <= self.written)
    }
    /// Allows writing again after a short write. Called when the connection is writable.
    pub fn unblock(&mut self) {
        self.blocked = false;
    }
    /// Whether a message with this tag has not been written completely, so that the peer cannot have read it.
    pub fn is_pending(&self, tag: &T) -> bool {
        self.messages.iter().any(|message| message.tag == *tag)
    }
    fn compact(&mut self) {
        self.buffer.drain(..self.written);
        let removed = std::mem::take(&mut self.written);
        for message in &mut self.messages {
            message.end -= removed;
        }
    }
}
