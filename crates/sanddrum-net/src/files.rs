//! Files that the event loop reads and writes: saved state, watched files and audit logs.

mod audit_log;
mod state_writer;
mod watched_file;

pub(crate) use audit_log::AuditLog;
pub(crate) use state_writer::StateWriter;
pub(crate) use watched_file::{Delivery, WatchedFile};
pub use watched_file::{FileError, FilePart};

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces a file atomically, even if power is lost: the content is written to a temporary file in the same
/// directory and synced to disk before the temporary file is renamed.
pub(crate) fn replace_atomically(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary_path = path.with_extension("new");
    let mut temporary = File::create(&temporary_path)?;
    temporary.write_all(content)?;
    temporary.sync_all()?;
    fs::rename(&temporary_path, path)
}
