//! A file that is checked for changes at intervals.

use crate::Micros;
use std::fs::{self, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::SystemTime;

/// The largest file that is read: 1 MiB.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The shortest interval between checks.
const MIN_CHECK_INTERVAL: Micros = 1_000;
/// The number of checks at the shorter interval after a requested reload, as the file may have been only partly
/// written when it was read.
const CHECKS_AFTER_RELOAD: u32 = 20;
/// The interval of the checks after a requested reload.
const CHECK_INTERVAL_AFTER_RELOAD: Micros = 100_000;

/// Why a watched file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file is larger than a watched file may be.
    #[error("{}: larger than {max_bytes} bytes", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// The largest size that is read.
        max_bytes: u64,
    },
    /// The file is missing, or reading it failed.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
}

/// The metadata by which a change of a file is detected. The modification time alone is not enough: clocks may be
/// stepped, and a file may be changed twice within the clock's resolution at equal length. Hence the inode number and
/// the ctime.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileState {
    modified: SystemTime,
    /// The ctime in seconds and nanoseconds.
    changed: (i64, i64),
    inode: u64,
    bytes: u64,
}

impl FileState {
    fn of(metadata: &Metadata) -> Option<Self> {
        Some(FileState {
            modified: metadata.modified().ok()?,
            changed: (metadata.ctime(), metadata.ctime_nsec()),
            inode: metadata.ino(),
            bytes: metadata.len(),
        })
    }
}

/// A file that is checked for changes at intervals.
pub(crate) struct WatchedFile {
    /// The name that is passed to the core's `on_file`.
    pub name: String,
    path: PathBuf,
    interval: Micros,
    /// When to check the file next.
    pub next_check: Micros,
    last_state: Option<FileState>,
    checks_after_reload: u32,
}

impl WatchedFile {
    pub fn new(name: &str, path: PathBuf, interval: Micros) -> Self {
        WatchedFile {
            name: name.to_string(),
            path,
            interval: interval.max(MIN_CHECK_INTERVAL),
            next_check: 0,
            last_state: None,
            checks_after_reload: 0,
        }
    }
    /// Returns the file's content if it has changed since the last check, or in any case if a reload is requested.
    pub fn check(
        &mut self,
        now: Micros,
        reload_requested: bool,
    ) -> Option<Result<Vec<u8>, FileError>> {
        self.schedule_next_check(now, reload_requested);
        let metadata = fs::metadata(&self.path).ok();
        let state = metadata.as_ref().and_then(FileState::of);
        if state == self.last_state && !reload_requested {
            return None;
        }
        self.last_state = state;
        Some(self.read(state))
    }
    fn schedule_next_check(&mut self, now: Micros, reload_requested: bool) {
        self.checks_after_reload = if reload_requested {
            CHECKS_AFTER_RELOAD
        } else {
            self.checks_after_reload.saturating_sub(1)
        };
        let interval = if self.checks_after_reload > 0 {
            CHECK_INTERVAL_AFTER_RELOAD.min(self.interval)
        } else {
            self.interval
        };
        self.next_check = now + interval;
    }
    fn read(&self, state: Option<FileState>) -> Result<Vec<u8>, FileError> {
        if state.is_some_and(|state| state.bytes > MAX_FILE_BYTES) {
            return Err(FileError::TooLarge {
                path: self.path.clone(),
                max_bytes: MAX_FILE_BYTES,
            });
        }
        fs::read(&self.path).map_err(|source| FileError::Unreadable {
            path: self.path.clone(),
            source,
        })
    }
}
