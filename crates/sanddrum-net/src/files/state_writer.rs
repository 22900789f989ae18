//! Saves a host's states in the background. Guards against a disk that takes long to sync: the event loop would stand still
//! for so long, and with it all responses that are due.

use super::replace_atomically;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// What is still to be done, shared with the writing thread.
#[derive(Default)]
struct Work {
    /// The newest state that is not being written. Older ones are not needed any more.
    next: Option<Vec<u8>>,
    is_writing: bool,
    has_ended: bool,
}

#[derive(Default)]
struct Shared {
    work: Mutex<Work>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, work: MutexGuard<'a, Work>) -> MutexGuard<'a, Work> {
        self.changed
            .wait(work)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The next state to be written; none once all is written and the writer has ended.
    fn next(&self) -> Option<Vec<u8>> {
        let mut work = self.lock();
        work.is_writing = false;
        self.changed.notify_all();
        loop {
            if let Some(state) = work.next.take() {
                work.is_writing = true;
                return Some(state);
            }
            if work.has_ended {
                return None;
            }
            work = self.wait(work);
        }
    }
}

/// Writes states to a file, the newest one last. What has been given to it is written before it is dropped.
pub(crate) struct StateWriter {
    path: PathBuf,
    shared: Arc<Shared>,
    /// Started with the first state.
    thread: Option<JoinHandle<()>>,
}

impl StateWriter {
    /// A writer to this file.
    pub fn new(path: PathBuf) -> Self {
        StateWriter {
            path,
            shared: Arc::default(),
            thread: None,
        }
    }

    /// Has a state written, in place of any that still waits.
    pub fn save(&mut self, state: &[u8]) {
        if self.thread.is_none() {
            self.thread = self.start();
        }
        if self.thread.is_none() {
            return write(&self.path, state);
        }
        self.shared.lock().next = Some(state.to_vec());
        self.shared.changed.notify_all();
    }

    /// Has a state written and waits until it is.
    pub fn save_and_wait(&mut self, state: &[u8]) {
        self.save(state);
        let mut work = self.shared.lock();
        while self.thread.is_some() && (work.next.is_some() || work.is_writing) {
            work = self.shared.wait(work);
        }
    }

    /// The writing thread; none where the system has no room for one, in which case states are written at once.
    fn start(&self) -> Option<JoinHandle<()>> {
        let (path, shared) = (self.path.clone(), self.shared.clone());
        let body = move || {
            while let Some(state) = shared.next() {
                write(&path, &state);
            }
        };
        let thread = thread::Builder::new().name("state-writer".to_string());
        thread.spawn(body).ok()
    }
}

impl Drop for StateWriter {
    fn drop(&mut self) {
        self.shared.lock().has_ended = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write(path: &Path, state: &[u8]) {
    if let Err(error) = replace_atomically(path, state) {
        tracing::warn!(reason = "state-file", file = %path.display(), %error, "state was not saved; check the disk");
    }
}
