//! The outbox: writing, removing and replacing pending messages.

use rstest::rstest;
use sanddrum_net::{ConnectionId, Io, Outbox, OutboxFull};

const CONNECTION: ConnectionId = ConnectionId(0);
/// The bound on pending bytes in tests that do not test the bound itself.
const MAX_PENDING_BYTES: usize = 100;

/// A connection that accepts a limited number of bytes.
struct LimitedConnection {
    capacity: usize,
    written: Vec<u8>,
}

impl LimitedConnection {
    fn new(capacity: usize) -> Self {
        LimitedConnection {
            capacity,
            written: Vec::new(),
        }
    }
}

impl Io for LimitedConnection {
    fn connect(&mut self, _: &str) -> ConnectionId {
        CONNECTION
    }
    fn write(&mut self, _: ConnectionId, bytes: &[u8]) -> usize {
        let accepted = bytes.len().min(self.capacity);
        self.capacity -= accepted;
        self.written.extend_from_slice(&bytes[..accepted]);
        accepted
    }
    fn close(&mut self, _: ConnectionId) {}
    fn reset(&mut self, _: ConnectionId) {}
    fn pause(&mut self, _: ConnectionId, _: bool) {}
    fn save_state(&mut self, _: &[u8]) {}
}

/// An outbox with these messages.
fn outbox(messages: &[(u32, &str)]) -> Outbox<u32> {
    let mut outbox = Outbox::new(MAX_PENDING_BYTES);
    for (tag, message) in messages {
        outbox.push(*tag, message.as_bytes()).unwrap();
    }
    outbox
}

#[rstest]
fn a_partly_written_message_is_pending_and_cannot_be_removed() {
    let mut outbox = outbox(&[(1, "aaaa"), (2, "bbbbbb"), (3, "cc")]);
    let mut io = LimitedConnection::new(7);
    outbox.flush(CONNECTION, &mut io);
    assert!(!outbox.is_pending(&1) && outbox.is_pending(&2) && outbox.is_pending(&3));
    assert!(
        !outbox.remove_unwritten(&2),
        "three of its bytes are written"
    );
    assert!(outbox.remove_unwritten(&3));
    outbox.push(4, b"dd").unwrap();
    io.capacity = 100;
    outbox.flush(CONNECTION, &mut io);
    assert!(
        outbox.pending_bytes() > 0,
        "nothing is written until the connection is writable"
    );
    outbox.unblock();
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(io.written, b"aaaabbbbbbdd");
}

#[rstest]
fn an_unwritten_message_in_the_middle_is_removed_completely() {
    let mut outbox = outbox(&[(1, "one"), (2, "two"), (3, "three")]);
    let mut io = LimitedConnection::new(0);
    assert!(outbox.remove_unwritten(&2) && !outbox.remove_unwritten(&2));
    io.capacity = 50;
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(io.written, b"onethree");
    assert!(!outbox.is_pending(&3));
}

#[rstest]
fn pending_bytes_are_bounded_but_an_empty_outbox_accepts_any_message() {
    let mut outbox = Outbox::new(4);
    assert_eq!(outbox.push(1, b"much too long"), Ok(()));
    assert_eq!(outbox.push(2, b"x"), Err(OutboxFull));
}

#[rstest]
fn flush_through_a_tag_writes_nothing_after_it() {
    let mut outbox = outbox(&[
        (1, "one"),
        (7, "seven"),
        (2, "two"),
        (7, "again"),
        (3, "three"),
    ]);
    let mut io = LimitedConnection::new(100);
    let written = outbox.flush_through(|tag| *tag == 8, CONNECTION, &mut io);
    assert_eq!(io.written, b"", "no message has this tag");
    assert_eq!(written, []);
    let written = outbox.flush_through(|tag| *tag == 7, CONNECTION, &mut io);
    assert_eq!(written, [1, 7, 2, 7]);
    assert_eq!(io.written, b"oneseventwoagain");
    assert!(outbox.is_pending(&3) && !outbox.is_pending(&7) && outbox.remove_unwritten(&3));
    outbox.push(4, b"four").unwrap();
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(io.written, b"oneseventwoagainfour");
}

#[rstest]
fn a_short_flush_through_a_tag_blocks_until_the_connection_is_writable() {
    let mut outbox = outbox(&[(1, "aaa"), (2, "bbb")]);
    let mut io = LimitedConnection::new(4);
    let written = outbox.flush_through(|tag| *tag == 2, CONNECTION, &mut io);
    assert_eq!(written, [1], "the other one is written in part");
    assert!(outbox.is_pending(&2));
    io.capacity = 10;
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(
        io.written, b"aaab",
        "nothing is written until the connection is writable"
    );
    outbox.unblock();
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(io.written, b"aaabbb");
}

#[rstest]
fn an_unwritten_message_is_replaced_in_place_and_a_partly_written_one_is_not() {
    let mut outbox = outbox(&[(1, "aaaa"), (2, "bbbbbb"), (3, "cc")]);
    let mut io = LimitedConnection::new(2);
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(outbox.unwritten().collect::<Vec<_>>(), [&2, &3]);
    assert!(
        !outbox.replace_unwritten(&1, b"x")
            && outbox.replace_unwritten(&2, b"B")
            && outbox.replace_unwritten(&3, b"CCCC")
    );
    outbox.unblock();
    io.capacity = 100;
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(
        (io.written.as_slice(), outbox.pending_bytes()),
        (&b"aaaaBCCCC"[..], 0)
    );
}

/// Guards against a buffer that stays allocated when its content has been written, on each of hundreds of connections.
#[rstest]
fn an_outbox_releases_the_memory_of_a_burst() {
    let burst = "x".repeat(200_000);
    let mut outbox: Outbox<i32> = Outbox::new(burst.len());
    outbox.push(1, burst.as_bytes()).unwrap();
    assert!(outbox.allocated_bytes() >= burst.len());
    let mut io = LimitedConnection::new(burst.len());
    outbox.flush(CONNECTION, &mut io);
    assert_eq!(outbox.pending_bytes(), 0);
    assert!(outbox.allocated_bytes() <= 8 * 1024);
}
