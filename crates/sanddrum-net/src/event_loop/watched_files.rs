//! The watched files of the cores.

use super::EventLoop;
use crate::files::WatchedFile;
use crate::{HostId, Micros};
use std::path::PathBuf;

impl EventLoop {
    /// Delivers the content of a file to the host's core now, on SIGHUP, and whenever a check at this interval finds
    /// that the file has changed.
    pub fn watch_file(&mut self, id: HostId, name: &str, path: PathBuf, interval: Micros) {
        if let Some(host) = self.host_mut(id) {
            host.watched_files
                .push(WatchedFile::new(name, path, interval));
        }
        self.check_files(id, true);
    }
    /// Checks all watched files of a host if a check of one of them is due.
    pub(super) fn check_due_files(&mut self, id: HostId, now: Micros) {
        let is_due = self
            .host(id)
            .is_some_and(|host| host.watched_files.iter().any(|file| file.next_check <= now));
        if is_due {
            self.check_files(id, false);
        }
    }
    /// Checks all watched files of a host.
    pub(super) fn check_files(&mut self, id: HostId, reload_requested: bool) {
        let now = self.now();
        let Some(host) = self.host_mut(id) else {
            return;
        };
        let mut files = std::mem::take(&mut host.watched_files);
        for file in &mut files {
            if let Some(content) = file.check(now, reload_requested) {
                let content = content.as_deref();
                self.call(id, |core, now, io| {
                    core.on_file(now, &file.name, content, io);
                });
            }
        }
        if let Some(host) = self.host_mut(id) {
            host.watched_files = files;
        }
    }
}
