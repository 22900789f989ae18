//! Saves the state of a host on a background thread. A slow sync to disk would otherwise block the event loop and
//! delay all responses that are due.

use super::replace_atomically;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// The pending work of the writer thread.
#[derive(Default)]
struct Work {
    /// The newest state that is not being written yet; it replaces older ones.
    pending_state: Option<Vec<u8>>,
    is_writing: bool,
    /// Whether the writer was dropped.
    is_closed: bool,
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

    /// Waits for the next state to write. Returns `None` once everything is written and the writer was dropped.
    fn next_state(&self) -> Option<Vec<u8>> {
        let mut work = self.lock();
        work.is_writing = false;
        self.changed.notify_all();
        loop {
            if let Some(state) = work.pending_state.take() {
                work.is_writing = true;
                return Some(state);
            }
            if work.is_closed {
                return None;
            }
            work = self.wait(work);
        }
    }
}

/// Writes states to a file on a background thread. A newer state may replace one that is still pending, but the
/// newest is always written: dropping the writer waits for it.
pub(crate) struct StateWriter {
    path: PathBuf,
    shared: Arc<Shared>,
    /// Started with the first state.
    thread: Option<JoinHandle<()>>,
}

impl StateWriter {
    /// Creates a writer for this file.
    pub fn new(path: PathBuf) -> Self {
        StateWriter {
            path,
            shared: Arc::default(),
            thread: None,
        }
    }

    /// Schedules a state to be written, in place of one that is still pending.
    pub fn save(&mut self, state: &[u8]) {
        if self.thread.is_none() {
            self.thread = self.start();
        }
        if self.thread.is_none() {
            return write(&self.path, state);
        }
        self.shared.lock().pending_state = Some(state.to_vec());
        self.shared.changed.notify_all();
    }

    /// Schedules a state to be written and waits until it is written.
    pub fn save_and_wait(&mut self, state: &[u8]) {
        self.save(state);
        let mut work = self.shared.lock();
        while self.thread.is_some() && (work.pending_state.is_some() || work.is_writing) {
            work = self.shared.wait(work);
        }
    }

    /// Starts the writer thread. Returns `None` if the system cannot create one; states are then written
    /// synchronously.
    fn start(&self) -> Option<JoinHandle<()>> {
        let (path, shared) = (self.path.clone(), self.shared.clone());
        let body = move || {
            while let Some(state) = shared.next_state() {
                write(&path, &state);
            }
        };
        let thread = thread::Builder::new().name("state-writer".to_string());
        thread.spawn(body).ok()
    }
}

impl Drop for StateWriter {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
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
