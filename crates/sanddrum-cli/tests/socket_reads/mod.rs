//! Socket reads for the peers that a test runs itself.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Reads like [`Read::read`], but retries when interrupted, which is no fault of the peer. A read with a timeout can
/// fail with EINTR even without a signal handler (signal(7)): when the process is stopped and continued, and when a
/// child exits while another thread, whose signals are blocked at that moment, starts one.
pub fn read(socket: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match socket.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
