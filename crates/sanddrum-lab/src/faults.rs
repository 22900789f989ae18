//! The control of a process's injected faults: the file of words that the preloaded library of `sanddrum-faults` maps. It
//! steps the process's wall clock and fails its system calls while the process runs, and reads how often each came.

#[path = "../../sanddrum-faults/src/layout.rs"]
mod layout;

pub use layout::Word;
use layout::{BYTES, CONTROL_VARIABLE};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The preloaded library's file, as cargo names it.
const LIBRARY: &str = "libsanddrum_faults.so";

/// The control block of one process.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
    /// It made the file, which goes with it.
    owns: bool,
}

impl FaultControl {
    /// A control block in which no fault is asked for.
    ///
    /// # Errors
    /// The file can't be made.
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
    /// The control block that another one has made.
    ///
    /// # Errors
    /// There is none.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Ok(FaultControl {
            file,
            path: path.to_path_buf(),
            owns: false,
        })
    }
    /// Sets a word; the process sees it from its next call on.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set(&self, word: Word, value: u64) -> io::Result<()> {
        self.file
            .write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }
    /// Has the wall clock show so many microseconds more (or less) than the machine's.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn step_wall_clock(&self, by: i64) -> io::Result<()> {
        self.set(Word::WallOffset, by as u64)
    }
    /// What a word holds.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn get(&self, word: Word) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, word as u64 * 8)?;
        Ok(u64::from_ne_bytes(bytes))
    }
    /// Has a process that is about to start load the library, which is built beside the program that runs now, with this
    /// control block.
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

/// The preloaded library, which cargo builds beside a program, or beside its dependencies.
fn library(program: &Path) -> io::Result<PathBuf> {
    let folder = program.parent().unwrap_or(Path::new(""));
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    places
        .into_iter()
        .find(|place| place.exists())
        .ok_or_else(|| {
            let text = format!(
                "{LIBRARY} is not beside {}: build the workspace",
                program.display()
            );
            io::Error::new(io::ErrorKind::NotFound, text)
        })
}
