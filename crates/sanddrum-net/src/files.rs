//! Files of the product's driver: replaced whole, watched for changes, or added to within a bound.

use crate::Micros;
use std::fs::{self, File, Metadata, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Replaces a file whole or not at all, also over a loss of power: written beside it, brought to the disk, renamed.
pub(crate) fn replace(file: &Path, content: &[u8]) -> io::Result<()> {
    let beside = file.with_extension("new");
    let mut new = File::create(&beside)?;
    new.write_all(content)?;
    new.sync_all()?;
    fs::rename(&beside, file)
}

/// The largest watched file that is read.
const LARGEST: u64 = 1 << 20;

/// After it was asked for, a file is looked at again so often and in such spans, should it have been half written then.
const LOOKS_AGAIN: u32 = 20;
const LOOK_AGAIN_AFTER: Micros = 100_000;

/// What tells one state of a file from another: clocks that are stepped, or a quick change of equal length, leave the
/// time of change as it is, so that the file's own number and its last change of any kind count, too.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileState {
    modified: SystemTime,
    changed: (i64, i64),
    number: u64,
    length: u64,
}

impl FileState {
    fn of(metadata: &Metadata) -> Option<Self> {
        Some(FileState {
            modified: metadata.modified().ok()?,
            changed: (metadata.ctime(), metadata.ctime_nsec()),
            number: metadata.ino(),
            length: metadata.len(),
        })
    }
}

/// A file that is looked at now and then.
pub(crate) struct Watched {
    pub name: String,
    file: PathBuf,
    every: Micros,
    pub next: Micros,
    seen: Option<FileState>,
    looks_again: u32,
}

impl Watched {
    pub fn new(name: &str, file: PathBuf, every: Micros) -> Self {
        Watched {
            name: name.to_string(),
            file,
            every: every.max(1000),
            next: 0,
            seen: None,
            looks_again: 0,
        }
    }
    /// Its content, if it has changed or is wanted anyway.
    pub fn look(&mut self, now: Micros, anyway: bool) -> Option<Result<Vec<u8>, String>> {
        self.looks_again = if anyway {
            LOOKS_AGAIN
        } else {
            self.looks_again.saturating_sub(1)
        };
        let again = if self.looks_again > 0 {
            LOOK_AGAIN_AFTER
        } else {
            self.every
        };
        self.next = now + again.min(self.every);
        let seen = fs::metadata(&self.file)
            .ok()
            .as_ref()
            .and_then(FileState::of);
        if seen == self.seen && !anyway {
            return None;
        }
        self.seen = seen;
        if seen.is_some_and(|state| state.length > LARGEST) {
            return Some(Err(format!(
                "{}: larger than {LARGEST} bytes",
                self.file.display()
            )));
        }
        Some(fs::read(&self.file).map_err(|e| format!("{}: {e}", self.file.display())))
    }
}

/// Lines added to a file; once it is full it is put aside under another name, in place of the one before.
pub(crate) struct Audit {
    file: PathBuf,
    most: u64,
    open: Option<(File, u64)>,
}

impl Audit {
    pub fn new(file: PathBuf, most: u64) -> Self {
        Audit {
            file,
            most,
            open: None,
        }
    }
    pub fn add(&mut self, line: &str) {
        if let Err(e) = self.write(line) {
            self.open = None;
            tracing::warn!(reason = "audit-file", file = %self.file.display(), error = %e, "an audit line was lost; look at the disk");
        }
    }
    fn write(&mut self, line: &str) -> io::Result<()> {
        if self
            .open
            .as_ref()
            .is_some_and(|(_, length)| length + line.len() as u64 + 1 > self.most)
        {
            self.open = None;
            fs::rename(&self.file, self.file.with_extension("before"))?;
        }
        if self.open.is_none() {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.file)?;
            let length = file.metadata()?.len();
            self.open = Some((file, length));
        }
        if let Some((file, length)) = &mut self.open {
            file.write_all(format!("{line}\n").as_bytes())?;
            *length += line.len() as u64 + 1;
        }
        Ok(())
    }
}
