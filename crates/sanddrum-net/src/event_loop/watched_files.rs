//! The watched files of the cores.

use super::EventLoop;
use crate::files::{Delivery, WatchedFile};
use crate::{FilePart, HostId, Micros};
use std::path::PathBuf;

impl EventLoop {
    /// Delivers the content of a file to the host's core now, on SIGHUP, and whenever a check at this interval finds
    /// that the file has changed.
    pub fn watch_file(&mut self, id: HostId, name: &str, path: PathBuf, interval: Micros) {
        self.watch(id, WatchedFile::new(name, path, interval, Delivery::Whole));
    }
    /// Like [`watch_file`](Self::watch_file), for a large file: it is delivered in parts, one in each turn of the loop.
    pub fn watch_large_file(&mut self, id: HostId, name: &str, path: PathBuf, interval: Micros) {
        self.watch(
            id,
            WatchedFile::new(name, path, interval, Delivery::InParts),
        );
    }
    fn watch(&mut self, id: HostId, file: WatchedFile) {
        if let Some(host) = self.host_mut(id) {
            host.watched_files.push(file);
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
        self.for_each_file(id, |event_loop, file| {
            if !file.check(now, reload_requested) {
                return;
            }
            match file.delivery {
                Delivery::Whole => event_loop.deliver_whole(id, file),
                Delivery::InParts => event_loop.begin_delivery(id, file),
            }
        });
    }
    /// Delivers the next part of each file of a host that is delivered in parts.
    pub(super) fn deliver_file_parts(&mut self, id: HostId) {
        self.for_each_file(id, |event_loop, file| {
            if !file.has_more_parts() {
                return;
            }
            let part = file.read_part();
            let part = match &part {
                Ok(bytes) if bytes.is_empty() => FilePart::End,
                Ok(bytes) => FilePart::Bytes(bytes),
                Err(error) => FilePart::Failed(error),
            };
            event_loop.deliver_part(id, &file.name, part);
        });
    }
    fn for_each_file(&mut self, id: HostId, mut handle: impl FnMut(&mut Self, &mut WatchedFile)) {
        let Some(host) = self.host_mut(id) else {
            return;
        };
        let mut files = std::mem::take(&mut host.watched_files);
        for file in &mut files {
            handle(self, file);
        }
        if let Some(host) = self.host_mut(id) {
            host.watched_files = files;
        }
    }
    fn deliver_whole(&mut self, id: HostId, file: &WatchedFile) {
        let content = file.read();
        self.call(id, |core, now, io| {
            core.on_file(now, &file.name, content.as_deref(), io);
        });
    }
    fn begin_delivery(&mut self, id: HostId, file: &mut WatchedFile) {
        self.deliver_part(id, &file.name, FilePart::Begin);
        if let Err(error) = file.open() {
            self.deliver_part(id, &file.name, FilePart::Failed(&error));
        }
    }
    fn deliver_part(&mut self, id: HostId, name: &str, part: FilePart<'_>) {
        self.call(id, |core, now, io| core.on_file_part(now, name, part, io));
    }
}
