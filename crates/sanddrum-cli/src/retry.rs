//! Retries startup steps that fail because system resources are temporarily unavailable.

use std::io;
use std::time::{Duration, Instant};

/// A startup step is not retried any more after this time: the platform expects a router to be ready within ten seconds.
const MAX_RETRY_TIME: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether an error may be temporary: no descriptors, memory or buffers, an address still in use by the previous
/// process, an interruption by a signal.
fn is_transient(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let transient_errors = [
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
    error.raw_os_error().is_some_and(|code| {
        transient_errors
            .iter()
            .any(|errno| errno.raw_os_error() == code)
    })
}

/// Calls `attempt` until it succeeds, fails with a permanent error or has failed for too long.
///
/// # Errors
/// The error of the last attempt.
pub fn retry_transient_errors<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(e) if is_transient(&e) && started.elapsed() < MAX_RETRY_TIME => {
                tracing::warn!(reason = "start", error = %e, "startup step failed and is retried");
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}
