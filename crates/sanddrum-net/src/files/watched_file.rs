//! A file that is checked for changes at intervals.

use crate::Micros;
use std::fs::{self, File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::SystemTime;

/// The largest file that is delivered as a whole: 1 MiB.
const MAX_WHOLE_FILE_BYTES: u64 = 1 << 20;
/// The largest part of a file that is delivered in parts. A core takes a fraction of a millisecond to decode it.
const MAX_PART_BYTES: usize = 32 * 1024;
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

/// A step of the delivery of a large file.
#[derive(Clone, Copy, Debug)]
pub enum FilePart<'a> {
    /// The file is read from its beginning. An earlier delivery that has not ended is void.
    Begin,
    /// The next bytes of the file.
    Bytes(&'a [u8]),
    /// All bytes have been delivered.
    End,
    /// The file can't be read. The delivery has ended.
    Failed(&'a FileError),
}

/// How a file is delivered to its core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// As a whole, with [`Core::on_file`](crate::Core::on_file).
    Whole,
    /// In parts, with [`Core::on_file_part`](crate::Core::on_file_part).
    InParts,
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
    /// How it is delivered.
    pub delivery: Delivery,
    path: PathBuf,
    interval: Micros,
    /// When to check the file next.
    pub next_check: Micros,
    last_state: Option<FileState>,
    checks_after_reload: u32,
    /// The file of which parts have still to be delivered.
    open_file: Option<File>,
}

impl WatchedFile {
    pub fn new(name: &str, path: PathBuf, interval: Micros, delivery: Delivery) -> Self {
        WatchedFile {
            name: name.to_string(),
            delivery,
            path,
            interval: interval.max(MIN_CHECK_INTERVAL),
            next_check: 0,
            last_state: None,
            checks_after_reload: 0,
            open_file: None,
        }
    }
    /// Returns whether the file has to be read: it has changed since the last check, or a reload is requested.
    pub fn check(&mut self, now: Micros, reload_requested: bool) -> bool {
        self.schedule_next_check(now, reload_requested);
        let metadata = fs::metadata(&self.path).ok();
        let state = metadata.as_ref().and_then(FileState::of);
        let is_due = state != self.last_state || reload_requested;
        self.last_state = state;
        is_due
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
    /// Reads the whole file.
    pub fn read(&self) -> Result<Vec<u8>, FileError> {
        let is_too_large = |state: FileState| state.bytes > MAX_WHOLE_FILE_BYTES;
        if self.last_state.is_some_and(is_too_large) {
            return Err(FileError::TooLarge {
                path: self.path.clone(),
                max_bytes: MAX_WHOLE_FILE_BYTES,
            });
        }
        fs::read(&self.path).map_err(|source| self.unreadable(source))
    }
    /// Begins to read the file in parts, from its beginning.
    pub fn open(&mut self) -> Result<(), FileError> {
        self.open_file = None;
        let file = File::open(&self.path).map_err(|source| self.unreadable(source))?;
        self.open_file = Some(file);
        Ok(())
    }
    /// Whether parts of the file have still to be delivered.
    pub fn has_more_parts(&self) -> bool {
        self.open_file.is_some()
    }
    /// Reads the next part of the file. The last part is empty.
    pub fn read_part(&mut self) -> Result<Vec<u8>, FileError> {
        let mut part = vec![0; MAX_PART_BYTES];
        let result = match &mut self.open_file {
            Some(file) => read_uninterrupted(file, &mut part),
            None => Ok(0),
        };
        if !matches!(result, Ok(1..)) {
            self.open_file = None;
        }
        part.truncate(result.map_err(|source| self.unreadable(source))?);
        Ok(part)
    }
    fn unreadable(&self, source: io::Error) -> FileError {
        FileError::Unreadable {
            path: self.path.clone(),
            source,
        }
    }
}

fn read_uninterrupted(file: &mut File, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match file.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
