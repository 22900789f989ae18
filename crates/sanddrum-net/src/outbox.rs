use crate::{Conn, Io};
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
        Outbox { bytes: Vec::new(), taken: 0, pieces: VecDeque::new(), begun: false, most, blocked: false }
    }
    pub fn waiting(&self) -> usize {
        self.bytes.len() - self.taken
    }
    pub fn push(&mut self, mark: M, piece: &[u8]) -> Result<(), OutboxFull> {
        if self.waiting() > 0 && self.waiting() + piece.len() > self.most {
            return Err(OutboxFull);
        }
        self.bytes.extend_from_slice(piece);
        self.pieces.push_back((self.bytes.len(), mark));
        Ok(())
    }
    /// Takes a piece back of which nothing was written; true if that was still possible.
    pub fn retract(&mut self, mark: &M) -> bool {
        let Some(n) = self.pieces.iter().position(|(_, m)| m == mark) else { return false };
        if n == 0 && self.begun {
            return false;
        }
        let start = if n == 0 { self.taken } else { self.pieces[n - 1].0 };
        let end = self.pieces[n].0;
        self.bytes.drain(start..end);
        self.pieces.remove(n);
        self.pieces.iter_mut().skip(n).for_each(|(at, _)| *at -= end - start);
        true
    }
    /// Writes what the socket takes.
    pub fn flush(&mut self, conn: Conn, io: &mut dyn Io) {
        while !self.blocked && self.waiting() > 0 {
            let wrote = io.write(conn, &self.bytes[self.taken..]);
            self.taken += wrote;
            self.begun |= wrote > 0;
            self.blocked = self.waiting() > 0;
        }
        while self.pieces.front().is_some_and(|(end, _)| *end <= self.taken) {
            self.begun = self.pieces.pop_front().is_some_and(|(end, _)| end < self.taken);
        }
        if self.waiting() == 0 {
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
    pub fn holds(&self, mark: &M) -> bool {
        self.pieces.iter().any(|(_, m)| m == mark)
    }
    fn compact(&mut self) {
        self.bytes.drain(..self.taken);
        let gone = std::mem::take(&mut self.taken);
        self.pieces.iter_mut().for_each(|(end, _)| *end -= gone);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    struct Narrow {
        room: usize,
        wrote: Vec<u8>,
    }
    impl Io for Narrow {
        fn connect(&mut self, _: &str) -> Conn {
            Conn(0)
        }
        fn write(&mut self, _: Conn, bytes: &[u8]) -> usize {
            let n = bytes.len().min(self.room);
            self.room -= n;
            self.wrote.extend_from_slice(&bytes[..n]);
            n
        }
        fn close(&mut self, _: Conn) {}
        fn reset(&mut self, _: Conn) {}
        fn pause(&mut self, _: Conn, _: bool) {}
        fn save(&mut self, _: &[u8]) {}
    }

    #[rstest]
    fn a_piece_written_in_part_is_still_held_and_cannot_be_taken_back() {
        let (mut out, mut io) = (Outbox::new(100), Narrow { room: 7, wrote: vec![] });
        out.push(1, b"aaaa").unwrap();
        out.push(2, b"bbbbbb").unwrap();
        out.push(3, b"cc").unwrap();
        out.flush(Conn(0), &mut io);
        assert!(!out.holds(&1) && out.holds(&2) && out.holds(&3));
        assert!(!out.retract(&2), "three of its bytes are out");
        assert!(out.retract(&3));
        out.push(4, b"dd").unwrap();
        io.room = 100;
        out.flush(Conn(0), &mut io);
        assert!(out.waiting() > 0, "not before the socket says that there is room");
        out.unblock();
        out.flush(Conn(0), &mut io);
        assert_eq!(io.wrote, b"aaaabbbbbbdd");
    }

    #[rstest]
    fn an_unwritten_piece_in_the_middle_is_taken_back_whole() {
        let (mut out, mut io) = (Outbox::new(100), Narrow { room: 0, wrote: vec![] });
        for (mark, piece) in [(1, &b"one"[..]), (2, b"two"), (3, b"three")] {
            out.push(mark, piece).unwrap();
        }
        assert!(out.retract(&2) && !out.retract(&2));
        io.room = 50;
        out.flush(Conn(0), &mut io);
        assert_eq!(io.wrote, b"onethree");
        assert!(!out.holds(&3));
    }

    #[rstest]
    fn what_waits_is_bounded_but_one_piece_always_fits() {
        let mut out = Outbox::new(4);
        assert_eq!(out.push(1, b"much too long"), Ok(()));
        assert_eq!(out.push(2, b"x"), Err(OutboxFull));
    }
}
