//! Signals and watched files: what asks the cores to end, to report, or to read a file again.

use super::{EventLoop, Source};
use crate::files::Watched;
use crate::{HostId, Micros};
use polling::{Event as Ready, PollMode};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

impl EventLoop {
    /// SIGTERM and SIGINT ask the cores to end; a second one ends the loop at once. SIGHUP has watched files looked at,
    /// SIGUSR1 has the cores report.
    pub fn catch_signals(&mut self) -> io::Result<()> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGTERM, theirs.try_clone()?)?;
        signal_hook::low_level::pipe::register(SIGINT, theirs)?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, self.asked_to_end.clone())?;
        }
        let (reload, asks) = UnixStream::pair()?;
        reload.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGHUP, asks)?;
        signal_hook::flag::register(SIGHUP, self.asked_to_reload.clone())?;
        signal_hook::flag::register(SIGUSR1, self.asked_to_report.clone())?;
        for source in [Source::Signals(ours), Source::Reload(reload)] {
            let key = self.sources.insert(source);
            if let Some(Source::Signals(pipe) | Source::Reload(pipe)) = self.sources.get(key) {
                self.poller
                    .add_with_mode(pipe, Ready::readable(key), PollMode::Level)?;
            }
        }
        Ok(())
    }
    /// From now on a second signal to end changes nothing, as whoever repeats it would take what is open with it: there is
    /// SIGKILL for who can't wait.
    pub fn ignore_repeated_signals(&mut self) {
        self.ends_in_order_only = true;
    }
    /// Tells this core of a file now, whenever it changes (looked at every so often), and on SIGHUP.
    pub fn watch_file(&mut self, host: HostId, name: &str, file: PathBuf, every: Micros) {
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.watched.push(Watched::new(name, file, every));
        }
        self.look_at_files(host, true);
    }
    pub(super) fn look_at_files(&mut self, host: HostId, anyway: bool) {
        let now = self.now();
        let Some(Some(hosted)) = self.hosts.get_mut(host.0) else {
            return;
        };
        let mut watched = std::mem::take(&mut hosted.watched);
        for file in &mut watched {
            if let Some(content) = file.look(now, anyway) {
                let content = content.as_deref().map_err(String::as_str);
                self.call(host, |core, now, io| {
                    core.on_file(now, &file.name, content, io)
                });
            }
        }
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.watched = watched;
        }
    }
    /// Hears signals whose handlers could not write to their pipes.
    pub(super) fn heed_flags(&mut self) {
        if self.asked_to_end.swap(false, Ordering::Relaxed) {
            // The pipe is read first, or what lies in it would count as a second signal.
            let is_pipe = |source: &Source| matches!(source, Source::Signals(_));
            let pipe = self
                .sources
                .all
                .iter()
                .find(|(_, source)| is_pipe(source))
                .map(|(key, _)| *key);
            pipe.into_iter().for_each(|key| self.signal(key));
            self.signals = self.signals.max(1);
            self.ask_to_end();
        }
        if self.asked_to_report.swap(false, Ordering::Relaxed) {
            self.report();
        }
        if self.asked_to_reload.swap(false, Ordering::Relaxed) {
            (0..self.hosts.len()).for_each(|n| self.look_at_files(HostId(n), true));
        }
    }
    pub(super) fn report(&mut self) {
        for n in 0..self.hosts.len() {
            self.call(HostId(n), |core, now, _| core.log_status(now));
        }
    }
    pub(super) fn signal(&mut self, key: usize) {
        let Some(Source::Signals(pipe)) = self.sources.get_mut(key) else {
            return;
        };
        let mut bytes = [0; 16];
        self.signals += pipe.read(&mut bytes).unwrap_or(0) as u32;
        self.ask_to_end();
    }
    fn ask_to_end(&mut self) {
        for n in 0..self.hosts.len() {
            if let Some(hosted) = self.hosts[n].as_mut().filter(|h| !h.stopping) {
                hosted.stopping = true;
                self.call(HostId(n), |core, now, io| core.shut_down(now, io));
                let closes = self.hosts[n]
                    .as_mut()
                    .filter(|h| !h.core.accepts_while_draining());
                for key in closes
                    .map(|h| std::mem::take(&mut h.doors))
                    .unwrap_or_default()
                {
                    // Who has connected and was not accepted yet would be reset when the door closes.
                    self.accept(key);
                    self.remove(key);
                }
            }
        }
    }

    pub(super) fn reload(&mut self, key: usize) {
        let Some(Source::Reload(pipe)) = self.sources.get_mut(key) else {
            return;
        };
        let _ = pipe.read(&mut [0; 16]);
        self.asked_to_reload.store(true, Ordering::Relaxed);
    }
}
