//! Files of the product's driver: replaced whole, watched for changes, or added to within a bound.

use crate::Micros;
use std::fs::{self, File, Metadata, OpenOptions};
use std::io::{self, Write};
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

/// A file that is looked at now and then.
pub(crate) struct Watched {
    pub name: String,
    file: PathBuf,
    every: Micros,
    pub next: Micros,
    seen: Option<(SystemTime, u64)>,
}

impl Watched {
    pub fn new(name: &str, file: PathBuf, every: Micros) -> Self {
        Watched { name: name.to_string(), file, every: every.max(1000), next: 0, seen: None }
    }
    /// Its content, if it has changed or is wanted anyway.
    pub fn look(&mut self, now: Micros, anyway: bool) -> Option<Result<Vec<u8>, String>> {
        self.next = now + self.every;
        let mark = |m: Metadata| Some((m.modified().ok()?, m.len()));
        let seen = fs::metadata(&self.file).ok().and_then(mark);
        if seen == self.seen && !anyway {
            return None;
        }
        self.seen = seen;
        if seen.is_some_and(|(_, length)| length > LARGEST) {
            return Some(Err(format!("{}: larger than {LARGEST} bytes", self.file.display())));
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
        Audit { file, most, open: None }
    }
    pub fn add(&mut self, line: &str) {
        if let Err(e) = self.write(line) {
            self.open = None;
            tracing::warn!(reason = "audit-file", file = %self.file.display(), error = %e, "an audit line was lost; look at the disk");
        }
    }
    fn write(&mut self, line: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(_, length)| length + line.len() as u64 + 1 > self.most) {
            self.open = None;
            fs::rename(&self.file, self.file.with_extension("before"))?;
        }
        if self.open.is_none() {
            let file = OpenOptions::new().create(true).append(true).open(&self.file)?;
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
