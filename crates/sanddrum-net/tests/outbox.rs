//! What waits to be written to one connection.

use rstest::rstest;
use sanddrum_net::{ConnectionId, Io, Outbox, OutboxFull};

struct Narrow {
    room: usize,
    wrote: Vec<u8>,
}
impl Io for Narrow {
    fn connect(&mut self, _: &str) -> ConnectionId {
        ConnectionId(0)
    }
    fn write(&mut self, _: ConnectionId, bytes: &[u8]) -> usize {
        let n = bytes.len().min(self.room);
        self.room -= n;
        self.wrote.extend_from_slice(&bytes[..n]);
        n
    }
    fn close(&mut self, _: ConnectionId) {}
    fn reset(&mut self, _: ConnectionId) {}
    fn pause(&mut self, _: ConnectionId, _: bool) {}
    fn save_state(&mut self, _: &[u8]) {}
}

#[rstest]
fn a_piece_written_in_part_is_still_held_and_cannot_be_taken_back() {
    let (mut out, mut io) = (
        Outbox::new(100),
        Narrow {
            room: 7,
            wrote: vec![],
        },
    );
    out.push(1, b"aaaa").unwrap();
    out.push(2, b"bbbbbb").unwrap();
    out.push(3, b"cc").unwrap();
    out.flush(ConnectionId(0), &mut io);
    assert!(!out.is_pending(&1) && out.is_pending(&2) && out.is_pending(&3));
    assert!(!out.remove_unwritten(&2), "three of its bytes are out");
    assert!(out.remove_unwritten(&3));
    out.push(4, b"dd").unwrap();
    io.room = 100;
    out.flush(ConnectionId(0), &mut io);
    assert!(
        out.pending_bytes() > 0,
        "not before the socket says that there is room"
    );
    out.unblock();
    out.flush(ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"aaaabbbbbbdd");
}

#[rstest]
fn an_unwritten_piece_in_the_middle_is_taken_back_whole() {
    let (mut out, mut io) = (
        Outbox::new(100),
        Narrow {
            room: 0,
            wrote: vec![],
        },
    );
    for (mark, piece) in [(1, &b"one"[..]), (2, b"two"), (3, b"three")] {
        out.push(mark, piece).unwrap();
    }
    assert!(out.remove_unwritten(&2) && !out.remove_unwritten(&2));
    io.room = 50;
    out.flush(ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"onethree");
    assert!(!out.is_pending(&3));
}

#[rstest]
fn what_waits_is_bounded_but_one_piece_always_fits() {
    let mut out = Outbox::new(4);
    assert_eq!(out.push(1, b"much too long"), Ok(()));
    assert_eq!(out.push(2, b"x"), Err(OutboxFull));
}

#[rstest]
fn up_to_a_mark_nothing_behind_it_is_written() {
    let (mut out, mut io) = (
        Outbox::new(100),
        Narrow {
            room: 100,
            wrote: vec![],
        },
    );
    for (mark, piece) in [
        (1, &b"one"[..]),
        (7, b"seven"),
        (2, b"two"),
        (7, b"again"),
        (3, b"three"),
    ] {
        out.push(mark, piece).unwrap();
    }
    out.flush_through(&8, ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"", "no piece has this mark");
    out.flush_through(&7, ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"oneseventwoagain");
    assert!(out.is_pending(&3) && !out.is_pending(&7) && out.remove_unwritten(&3));
    out.push(4, b"four").unwrap();
    out.flush(ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"oneseventwoagainfour");
}

#[rstest]
fn a_short_write_up_to_a_mark_waits_for_room_as_any() {
    let (mut out, mut io) = (
        Outbox::new(100),
        Narrow {
            room: 4,
            wrote: vec![],
        },
    );
    out.push(1, b"aaa").unwrap();
    out.push(2, b"bbb").unwrap();
    out.flush_through(&2, ConnectionId(0), &mut io);
    assert!(out.is_pending(&2));
    io.room = 10;
    out.flush(ConnectionId(0), &mut io);
    assert_eq!(
        io.wrote, b"aaab",
        "not before the socket says that there is room"
    );
    out.unblock();
    out.flush(ConnectionId(0), &mut io);
    assert_eq!(io.wrote, b"aaabbb");
}

#[rstest]
fn a_piece_that_is_not_begun_is_replaced_in_its_place_and_a_begun_one_is_not() {
    let (mut out, mut io) = (
        Outbox::new(100),
        Narrow {
            room: 2,
            wrote: vec![],
        },
    );
    for (mark, piece) in [(1, &b"aaaa"[..]), (2, b"bbbbbb"), (3, b"cc")] {
        out.push(mark, piece).unwrap();
    }
    out.flush(ConnectionId(1), &mut io);
    assert_eq!(out.unwritten().collect::<Vec<_>>(), [&2, &3]);
    assert!(
        !out.replace_unwritten(&1, b"x")
            && out.replace_unwritten(&2, b"B")
            && out.replace_unwritten(&3, b"CCCC")
    );
    out.unblock();
    io.room = 100;
    out.flush(ConnectionId(1), &mut io);
    assert_eq!(
        (io.wrote.as_slice(), out.pending_bytes()),
        (&b"aaaaBCCCC"[..], 0)
    );
}
