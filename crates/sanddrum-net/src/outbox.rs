use crate::{ConnectionId, Io};
use std::collections::VecDeque;

/// What waits to be written to one connection, in marked pieces, and how far the socket has taken it. From this a
/// core knows, when the connection ends, which pieces can have arrived: one that was not taken to its last byte
/// cannot have been read by the other side.
#[derive(Debug)]
pub struct Outbox<M> {
    bytes: Vec<u8>,
    /// Bytes at the front of `bytes` that the socket has taken.
    taken: usize,
    /// The end of each piece that is not wholly taken, counted from the front of `bytes`.
    pieces: VecDeque<(usize, M)>,
    /// The first piece is written in part.
    begun: bool,
    most: usize,
    blocked: bool,
}

/// The bound on what may wait is reached; nothing was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboxFull;

impl<M: PartialEq> Outbox<M> {
    /// At most `most` bytes wait, but one piece always may.
    pub fn new(most: usize) -> Self {
        Outbox {
            bytes: Vec::new(),
            taken: 0,
            pieces: VecDeque::new(),
            begun: false,
            most,
            blocked: false,
        }
    }
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len() - self.taken
    }
    pub fn push(&mut self, mark: M, piece: &[u8]) -> Result<(), OutboxFull> {
        if self.pending_bytes() > 0 && self.pending_bytes() + piece.len() > self.most {
            return Err(OutboxFull);
        }
        self.bytes.extend_from_slice(piece);
        self.pieces.push_back((self.bytes.len(), mark));
        Ok(())
    }
    /// Takes a piece back of which nothing was written; true if that was still possible.
    pub fn remove_unwritten(&mut self, mark: &M) -> bool {
        let Some(n) = self.pieces.iter().position(|(_, m)| m == mark) else {
            return false;
        };
        if n == 0 && self.begun {
            return false;
        }
        let start = if n == 0 {
            self.taken
        } else {
            self.pieces[n - 1].0
        };
        let end = self.pieces[n].0;
        self.bytes.drain(start..end);
        self.pieces.remove(n);
        self.pieces
            .iter_mut()
            .skip(n)
            .for_each(|(at, _)| *at -= end - start);
        true
    }
    /// Puts other bytes in the place of a piece of which nothing was written; true if that was still possible.
    pub fn replace_unwritten(&mut self, mark: &M, piece: &[u8]) -> bool {
        let Some(n) = self.pieces.iter().position(|(_, m)| m == mark) else {
            return false;
        };
        if n == 0 && self.begun {
            return false;
        }
        let start = if n == 0 {
            self.taken
        } else {
            self.pieces[n - 1].0
        };
        let end = self.pieces[n].0;
        self.bytes.splice(start..end, piece.iter().copied());
        self.pieces
            .iter_mut()
            .skip(n)
            .for_each(|(at, _)| *at = *at + piece.len() - (end - start));
        true
    }
    /// The marks of pieces of which nothing was written.
    pub fn unwritten(&self) -> impl Iterator<Item = &M> {
        self.pieces
            .iter()
            .skip(usize::from(self.begun))
            .map(|(_, mark)| mark)
    }
    /// Writes what the socket takes.
    pub fn flush(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        self.write(self.bytes.len(), conn, io);
    }
    /// Writes what the socket takes of all up to the last piece of this mark, and nothing behind it.
    pub fn flush_through(&mut self, mark: &M, conn: ConnectionId, io: &mut dyn Io) {
        let end = self
            .pieces
            .iter()
            .rev()
            .find(|(_, m)| m == mark)
            .map(|(end, _)| *end);
        end.into_iter().for_each(|end| self.write(end, conn, io));
    }
    fn write(&mut self, end: usize, conn: ConnectionId, io: &mut dyn Io) {
        while !self.blocked && self.taken < end {
            let wrote = io.write(conn, &self.bytes[self.taken..end]);
            self.taken += wrote;
            self.begun |= wrote > 0;
            self.blocked = self.taken < end;
        }
        while self
            .pieces
            .front()
            .is_some_and(|(end, _)| *end <= self.taken)
        {
            self.begun = self
                .pieces
                .pop_front()
                .is_some_and(|(end, _)| end < self.taken);
        }
        if self.pending_bytes() == 0 {
            self.bytes.clear();
            self.taken = 0;
        } else if self.taken > self.most {
            self.compact();
        }
    }
    /// The socket has room again.
    pub fn unblock(&mut self) {
        self.blocked = false;
    }
    /// Whether this piece was not taken to its end, so that it cannot have been read.
    pub fn is_pending(&self, mark: &M) -> bool {
        self.pieces.iter().any(|(_, m)| m == mark)
    }
    fn compact(&mut self) {
        self.bytes.drain(..self.taken);
        let gone = std::mem::take(&mut self.taken);
        self.pieces.iter_mut().for_each(|(end, _)| *end -= gone);
    }
}
