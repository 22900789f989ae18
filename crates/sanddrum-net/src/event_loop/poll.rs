//! Polling for input, and dispatching it to the cores.

use super::host::Host;
use super::{EventLoop, HostConnection, Source};
use crate::{CloseCause, Event, HostId, Micros};
use polling::Event as PollEvent;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The longest wait for input. It limits the uncertainty about when input arrived.
const MAX_POLL_TIMEOUT: Micros = 25_000;
/// A poll that exceeds its timeout by more than this shows that the process was stalled during the poll.
const POLL_SLACK: Micros = 5_000;
/// The delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The number of consecutive failed polls that are retried before the loop gives up, after five seconds.
const MAX_FAILED_POLLS: u32 = 5_000;

/// The times of the last two polls. Input that the last poll found, but not the previous one, arrived between them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollTimes {
    pub last: Micros,
    pub previous: Micros,
}

impl EventLoop {
    /// How long to wait for input: until this instant, the next timer or the longest timeout, whichever comes first.
    pub(super) fn poll_timeout(&self, until: Option<Micros>) -> Duration {
        if !(self.pending_refusals.is_empty() && self.pending_resets.is_empty()) {
            return Duration::ZERO;
        }
        let hosts = || self.hosts.iter().flatten();
        if hosts().any(Host::has_file_parts) {
            return Duration::ZERO;
        }
        let wakeups = hosts()
            .filter(|host| !host.frozen)
            .filter_map(|host| host.core.next_wakeup());
        let file_checks = hosts().flat_map(|host| &host.watched_files);
        let lingering = self.lingering.first().map(|(at, _)| *at);
        let next = wakeups
            .chain(file_checks.map(|file| file.next_check))
            .chain(until)
            .chain(self.retry_accept_at)
            .chain(lingering)
            .min();
        let timeout = next.map_or(MAX_POLL_TIMEOUT, |at| {
            (at - self.now()).clamp(0, MAX_POLL_TIMEOUT)
        });
        Duration::from_micros(timeout as u64)
    }
    /// Waits for input and dispatches it to the cores. Returns the number of events, or `None` if the wait was
    /// interrupted or failed.
    pub(super) fn poll(&mut self, timeout: Duration) -> io::Result<Option<usize>> {
        let began = self.now();
        let Some(events) = self.wait_for_events(timeout)? else {
            return Ok(None);
        };
        self.record_poll(began, timeout);
        self.turn_log.record_poll();
        self.end_backlogs(&events);
        let count = events.len();
        // Listeners are served last, so that a new connection does not displace one whose input has already arrived.
        let is_listener =
            |event: &PollEvent| matches!(self.sources.get(event.key), Some(Source::Listener(_)));
        let (listeners, others): (Vec<_>, Vec<_>) = events.into_iter().partition(is_listener);
        for event in others {
            self.dispatch(event);
        }
        self.read_scheduled();
        for event in listeners {
            self.dispatch(event);
        }
        self.handle_signal_flags();
        self.end_pending_connections();
        Ok(Some(count))
    }
    fn wait_for_events(&mut self, timeout: Duration) -> io::Result<Option<Vec<PollEvent>>> {
        let mut events = Vec::new();
        match self.poller.wait(&mut events, Some(timeout)) {
            Ok(_) => {
                self.failed_polls = 0;
                Ok(Some(events))
            }
            // No timer may run before input that arrived meanwhile is read: a process that was stopped and continued
            // would consider all its peers silent.
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(None),
            // A transient error, such as a kernel out of memory, must not end all connections.
            Err(error) if self.failed_polls < MAX_FAILED_POLLS => {
                self.failed_polls += 1;
                tracing::warn!(reason = "poller", %error, "polling for input failed and is retried");
                std::thread::sleep(POLL_RETRY_DELAY);
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }
    /// Records when the loop polled. If the process was stalled during the wait, it is unknown whether the kernel
    /// collected the events at the beginning or at the end of the wait, as a process may be stopped while it is being
    /// woken; the beginning is recorded then.
    fn record_poll(&mut self, began: Micros, timeout: Duration) {
        let ended = self.now();
        let was_stalled = ended - began > timeout.as_micros() as Micros + POLL_SLACK;
        self.polls = PollTimes {
            last: if was_stalled { began } else { ended },
            previous: self.polls.last,
        };
    }
    fn dispatch(&mut self, event: PollEvent) {
        match self.sources.get(event.key) {
            Some(Source::Listener(_)) => self.accept(event.key),
            Some(Source::Stream(_)) => self.on_stream_ready(event),
            Some(Source::Lingering(_)) => self.drain(event.key),
            Some(Source::ShutdownSignals(_)) => self.read_shutdown_signals(event.key),
            Some(Source::ReloadSignal(_)) => self.read_reload_signal(event.key),
            None => {}
        }
    }
    /// Ends the connections that were refused or are to be reset, and notifies their cores.
    fn end_pending_connections(&mut self) {
        for HostConnection { host, conn } in std::mem::take(&mut self.pending_refusals) {
            let cause = CloseCause::Refused;
            self.call_with_event(host, Event::Closed { conn, cause });
        }
        for HostConnection { host, conn } in std::mem::take(&mut self.pending_resets) {
            self.end_connection(host, conn, CloseCause::Reset);
        }
    }
    /// Runs the loop's own due timers, checks due files, and calls `process` on cores that have new input or a due
    /// timer.
    pub(super) fn run_due(&mut self) {
        if self.retry_accept_at.is_some_and(|at| at <= self.now()) {
            self.resume_accepting();
        }
        let now = self.now();
        while let Some((_, key)) = self.lingering.first().copied().filter(|(at, _)| *at <= now) {
            self.remove_source(key);
        }
        for id in (0..self.hosts.len()).map(HostId) {
            self.check_due_files(id, now);
            if self.host(id).is_some_and(Host::has_file_parts) {
                self.deliver_file_parts(id);
            }
            let Some(host) = self.host_mut(id) else {
                continue;
            };
            let is_due = host.core.next_wakeup().is_some_and(|at| at <= now);
            if (host.is_pending || is_due) && !host.frozen {
                host.is_pending = false;
                self.call(id, |core, now, io| core.process(now, io));
            }
        }
    }
}
