//! Reads of a test's own peers.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Reads what has come, as [`Read::read`], and goes on where it is interrupted, which says nothing of the peer. A read with a
/// timeout fails with EINTR also without a signal handler (signal(7)): as the process is stopped and continued, and as a
/// child ends while another thread, whose signals are blocked for that moment, starts one.
pub fn read(socket: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match socket.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
