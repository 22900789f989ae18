//! What a start tries again while the system has no room for it.

use std::io;
use std::time::{Duration, Instant};

/// A start gives up after this; the platform wants a router ready within ten seconds.
const WITHIN: Duration = Duration::from_secs(5);
const AGAIN_AFTER: Duration = Duration::from_millis(20);

/// Errors that pass: no descriptors, memory or buffers, an address that the process before still has, a signal.
fn passes(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let passing = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::IO,
        Errno::INTR,
        Errno::AGAIN,
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
    ];
    error
        .raw_os_error()
        .is_some_and(|code| passing.iter().any(|errno| errno.raw_os_error() == code))
}

/// Tries until it works, or fails for good, or for too long.
///
/// # Errors
/// The last error.
pub fn until_it_works<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        match attempt() {
            Err(e) if passes(&e) && begun.elapsed() < WITHIN => {
                tracing::warn!(reason = "start", error = %e, "a step of the start is tried again");
                std::thread::sleep(AGAIN_AFTER);
            }
            done => return done,
        }
    }
}
