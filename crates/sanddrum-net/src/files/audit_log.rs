//! An audit log of bounded size.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A log file that is rotated once it is full; one rotated file is retained.
pub(crate) struct AuditLog {
    path: PathBuf,
    max_bytes: u64,
    file: Option<OpenFile>,
}

struct OpenFile {
    file: File,
    bytes: u64,
}

impl AuditLog {
    pub fn new(path: PathBuf, max_bytes: u64) -> Self {
        AuditLog {
            path,
            max_bytes,
            file: None,
        }
    }
    /// Appends a line. A failure is logged, and the file is reopened for the next line.
    pub fn append(&mut self, line: &str) {
        if let Err(error) = self.write(line) {
            self.file = None;
            tracing::warn!(reason = "audit-file", file = %self.path.display(), %error, "an audit line was lost; check the disk");
        }
    }
    fn write(&mut self, line: &str) -> io::Result<()> {
        let added = line.len() as u64 + 1;
        let is_full = self
            .file
            .as_ref()
            .is_some_and(|open| open.bytes + added > self.max_bytes);
        if is_full {
            self.file = None;
            fs::rename(&self.path, self.path.with_extension("before"))?;
        }
        let open = match &mut self.file {
            Some(open) => open,
            closed => closed.insert(open_for_append(&self.path)?),
        };
        open.file.write_all(format!("{line}\n").as_bytes())?;
        open.bytes += added;
        Ok(())
    }
}

fn open_for_append(path: &Path) -> io::Result<OpenFile> {
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    let bytes = file.metadata()?.len();
    Ok(OpenFile { file, bytes })
}
