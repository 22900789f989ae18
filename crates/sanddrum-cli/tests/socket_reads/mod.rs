//! Reads of a test's own peers.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Reads what has come, as [`Read::read`], and goes on where it is interrupted: a read with a timeout fails with EINTR when the
/// process is stopped and continued meanwhile, also without a signal handler (signal(7)), which says nothing of the peer.
pub fn read(socket: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match socket.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
