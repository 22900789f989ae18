//! Signals that request a shutdown, a status log or a reload of watched files.

use super::{EventLoop, Source, SourceKey};
use crate::HostId;
use polling::{Event as PollEvent, PollMode};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};

impl EventLoop {
    /// Installs signal handlers. SIGTERM and SIGINT begin a graceful shutdown, and a second one ends the loop
    /// immediately. SIGHUP reloads watched files, SIGUSR1 makes the cores log their status, and SIGUSR2 turns the debug
    /// log on or off.
    ///
    /// # Errors
    /// A signal handler or its pipe cannot be installed.
    pub fn catch_signals(&mut self) -> io::Result<()> {
        let (shutdown_reader, shutdown_writer) = UnixStream::pair()?;
        shutdown_reader.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGTERM, shutdown_writer.try_clone()?)?;
        signal_hook::low_level::pipe::register(SIGINT, shutdown_writer)?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, self.signal_flags.shutdown.clone())?;
        }
        let (reload_reader, reload_writer) = UnixStream::pair()?;
        reload_reader.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGHUP, reload_writer)?;
        signal_hook::flag::register(SIGHUP, self.signal_flags.reload.clone())?;
        signal_hook::flag::register(SIGUSR1, self.signal_flags.status.clone())?;
        signal_hook::flag::register(SIGUSR2, self.signal_flags.debug_log.clone())?;
        self.add_signal_pipe(Source::ShutdownSignals(shutdown_reader))?;
        self.add_signal_pipe(Source::ReloadSignal(reload_reader))
    }
    fn add_signal_pipe(&mut self, source: Source) -> io::Result<()> {
        let key = self.sources.insert(source);
        if let Some(Source::ShutdownSignals(pipe) | Source::ReloadSignal(pipe)) =
            self.sources.get(key)
        {
            let interest = PollEvent::readable(key);
            self.poller.add_with_mode(pipe, interest, PollMode::Level)?;
        }
        Ok(())
    }
    /// Sets the switch of the program's debug log, which SIGUSR2 turns on or off.
    pub fn set_debug_log(&mut self, switch: &'static AtomicBool) {
        self.debug_log = Some(switch);
    }
    fn switch_debug_log(&self) {
        if let Some(switch) = self.debug_log {
            let was_on = switch.fetch_xor(true, Ordering::Relaxed);
            tracing::warn!(on = !was_on, "debug log switched");
        }
    }
    /// Ignores further shutdown signals after the first one, since an immediate end would break the connections that
    /// are still open. SIGKILL still ends the process immediately.
    pub fn ignore_repeated_signals(&mut self) {
        self.ignores_repeated_signals = true;
    }
    /// Handles the signals whose handlers have set a flag, even if they could not write to their pipe.
    pub(super) fn handle_signal_flags(&mut self) {
        if self.signal_flags.shutdown.swap(false, Ordering::Relaxed) {
            self.handle_shutdown_flag();
        }
        if self.signal_flags.status.swap(false, Ordering::Relaxed) {
            self.log_status();
        }
        if self.signal_flags.debug_log.swap(false, Ordering::Relaxed) {
            self.switch_debug_log();
        }
        if self.signal_flags.reload.swap(false, Ordering::Relaxed) {
            for id in (0..self.hosts.len()).map(HostId) {
                self.check_files(id, true);
            }
        }
    }
    fn handle_shutdown_flag(&mut self) {
        // Reads the pipe first: bytes left in it would count as a second signal later.
        let pipe = self
            .sources
            .iter()
            .find(|(_, source)| matches!(source, Source::ShutdownSignals(_)))
            .map(|(key, _)| key);
        if let Some(key) = pipe {
            self.read_shutdown_signals(key);
        }
        self.shutdown_signals = self.shutdown_signals.max(1);
        self.shut_down_cores();
    }
    pub(super) fn log_status(&mut self) {
        for id in (0..self.hosts.len()).map(HostId) {
            self.call(id, |core, now, _| core.log_status(now));
        }
    }
    pub(super) fn read_shutdown_signals(&mut self, key: SourceKey) {
        let Some(Source::ShutdownSignals(pipe)) = self.sources.get_mut(key) else {
            return;
        };
        // Each signal writes one byte.
        let mut bytes = [0; 16];
        self.shutdown_signals += pipe.read(&mut bytes).unwrap_or(0) as u32;
        self.shut_down_cores();
    }
    fn shut_down_cores(&mut self) {
        for id in (0..self.hosts.len()).map(HostId) {
            let Some(host) = self.host_mut(id).filter(|host| !host.is_shutting_down) else {
                continue;
            };
            host.is_shutting_down = true;
            self.call(id, |core, now, io| core.shut_down(now, io));
            let closed = self
                .host_mut(id)
                .filter(|host| !host.core.accepts_while_draining())
                .map(|host| std::mem::take(&mut host.listeners));
            for key in closed.into_iter().flatten() {
                // Closing the listener would reset the connections that wait to be accepted.
                self.accept(key);
                self.remove_source(key);
            }
        }
    }
    pub(super) fn read_reload_signal(&mut self, key: SourceKey) {
        let Some(Source::ReloadSignal(pipe)) = self.sources.get_mut(key) else {
            return;
        };
        let _ = pipe.read(&mut [0; 16]);
        self.signal_flags.reload.store(true, Ordering::Relaxed);
    }
}
