//! Controls the faults injected into a process, through a file of words that the preloaded library of
//! `sanddrum-faults` maps. It steps the wall clock of the running process, makes its system calls fail, and reads how
//! often each fault was injected.

#[path = "../../sanddrum-faults/src/layout.rs"]
mod layout;

pub use layout::Word;
use layout::{BYTES, CONTROL_VARIABLE};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The file name of the preloaded library, as built by cargo.
const LIBRARY: &str = "libsanddrum_faults.so";

/// The control block of one process.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
    /// Whether this value created the file; it then removes the file when dropped.
    owns: bool,
}

impl FaultControl {
    /// Creates a control block without any fault.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        file.write_all_at(&[0; BYTES], 0)?;
        Ok(FaultControl {
            file,
            path: path.to_path_buf(),
            owns: true,
        })
    }
    /// Opens an existing control block.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Ok(FaultControl {
            file,
            path: path.to_path_buf(),
            owns: false,
        })
    }
    /// Sets a word; it takes effect from the next system call of the process.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set(&self, word: Word, value: u64) -> io::Result<()> {
        self.file
            .write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }
    /// Offsets the process's wall clock from the machine's by `by` microseconds.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn step_wall_clock(&self, by: i64) -> io::Result<()> {
        self.set(Word::WallOffset, by as u64)
    }
    /// The value of a word.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn get(&self, word: Word) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, word as u64 * 8)?;
        Ok(u64::from_ne_bytes(bytes))
    }
    /// Makes a command preload the library, which is built beside the running program, with this control block.
    ///
    /// # Errors
    /// The library is not built.
    pub fn preload(&self, command: &mut Command) -> io::Result<()> {
        command.env("LD_PRELOAD", library(&std::env::current_exe()?)?);
        command.env(CONTROL_VARIABLE, &self.path);
        Ok(())
    }
}

impl Drop for FaultControl {
    fn drop(&mut self) {
        if self.owns {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Finds the preloaded library, which cargo builds beside a program or its dependencies.
fn library(program: &Path) -> io::Result<PathBuf> {
    let folder = program.parent().unwrap_or(Path::new(""));
    let candidates = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    candidates
        .into_iter()
        .find(|path| path.exists())
        .ok_or_else(|| {
            let message = format!(
                "{LIBRARY} not found beside {}: build the workspace",
                program.display()
            );
            io::Error::new(io::ErrorKind::NotFound, message)
        })
}
