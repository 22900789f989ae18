//! Files that the event loop reads and writes: watched files, saved state and audit logs.

use rstest::rstest;
use sanddrum_net::{Core, Event, EventLoop, FileError, FilePart, HostId, Io, Micros, NullObserver};
use std::cell::RefCell;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const MILLISECOND: Micros = 1_000;
/// The name under which the cores watch their file.
const FILE: &str = "settings";

/// A directory that is removed at the end of a test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let unique = format!("sanddrum-net-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        fs::create_dir_all(&path).unwrap();
        TestDirectory(path)
    }
    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

type Contents = Rc<RefCell<Vec<Result<String, String>>>>;

/// Saves its state at its start, records each content of its watched file, and appends it to its audit log.
#[derive(Default)]
struct FileCore {
    contents: Contents,
    state: Option<&'static str>,
}

impl Core for FileCore {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        if let Some(state) = self.state {
            io.save_state(state.as_bytes());
        }
    }
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn on_file(
        &mut self,
        _: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        assert_eq!(name, FILE);
        let content = content
            .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
            .map_err(FileError::to_string);
        if let Ok(line) = &content {
            io.audit(line);
        }
        self.contents.borrow_mut().push(content);
    }
}

fn event_loop_with(core: FileCore, state_file: Option<PathBuf>) -> (EventLoop, HostId) {
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    let host = event_loop.add(Box::new(core), vec![], state_file).unwrap();
    (event_loop, host)
}

/// A loop whose core watches a file, and the contents that the core has received.
fn watching(path: &Path) -> (EventLoop, HostId, Contents) {
    let core = FileCore::default();
    let contents = core.contents.clone();
    let (mut event_loop, host) = event_loop_with(core, None);
    event_loop.watch_file(host, FILE, path.to_path_buf(), MILLISECOND);
    (event_loop, host, contents)
}

/// Runs until the core has received this many contents; panics after about five seconds.
fn run_until_count(event_loop: &mut EventLoop, contents: &Contents, count: usize) {
    for _ in 0..1000 {
        if contents.borrow().len() >= count {
            return;
        }
        let at = event_loop.now() + 5 * MILLISECOND;
        event_loop.run_until(at).unwrap();
    }
    panic!("the file was not read again: {:?}", contents.borrow());
}

#[rstest]
fn a_watched_file_is_read_at_once_and_again_only_when_it_has_changed() {
    let directory = TestDirectory::new("watched");
    let path = directory.file("watched");
    fs::write(&path, "first").unwrap();
    let (mut event_loop, _, contents) = watching(&path);
    assert_eq!(*contents.borrow(), [Ok("first".to_string())]);
    let at = event_loop.now() + 250 * MILLISECOND;
    event_loop.run_until(at).unwrap();
    assert_eq!(contents.borrow().len(), 1, "it has not changed");
    fs::write(&path, "second").unwrap();
    run_until_count(&mut event_loop, &contents, 2);
    assert_eq!(
        contents.borrow().last(),
        Some(&Ok("second".to_string())),
        "{:?}",
        contents.borrow()
    );
}

#[rstest]
fn a_missing_file_is_reported_with_its_path() {
    let directory = TestDirectory::new("missing");
    let path = directory.file("missing");
    let (_, _, contents) = watching(&path);
    let error = contents.borrow()[0].clone().unwrap_err();
    assert!(
        error.starts_with(&format!("{}: ", path.display())),
        "{error}"
    );
}

#[rstest]
fn a_file_of_more_than_a_mebibyte_is_reported_as_too_large() {
    let directory = TestDirectory::new("large");
    let path = directory.file("large");
    fs::write(&path, vec![b'x'; (1 << 20) + 1]).unwrap();
    let (_, _, contents) = watching(&path);
    let expected = format!("{}: larger than 1048576 bytes", path.display());
    assert_eq!(*contents.borrow(), [Err(expected)]);
}

#[rstest]
fn saved_state_replaces_the_state_file() {
    let directory = TestDirectory::new("state");
    let path = directory.file("state");
    fs::write(&path, "a longer state of an earlier run").unwrap();
    let core = FileCore {
        state: Some("state"),
        ..FileCore::default()
    };
    event_loop_with(core, Some(path.clone()));
    assert_eq!(fs::read_to_string(&path).unwrap(), "state");
}

#[rstest]
fn a_full_audit_log_is_renamed_and_a_new_one_is_started() {
    let directory = TestDirectory::new("audit");
    let path = directory.file("watched");
    let audit_path = directory.file("audit.log");
    fs::write(&path, "0").unwrap();
    let (mut event_loop, host, contents) = watching(&path);
    // Two lines of two bytes each fit.
    event_loop.set_audit_file(host, audit_path.clone(), 4);
    for (count, line) in [(2, "1"), (3, "2"), (4, "3")] {
        fs::write(directory.file("next"), line).unwrap();
        fs::rename(directory.file("next"), &path).unwrap();
        run_until_count(&mut event_loop, &contents, count);
    }
    let renamed = audit_path.with_extension("before");
    assert_eq!(fs::read_to_string(renamed).unwrap(), "1\n2\n");
    assert_eq!(fs::read_to_string(&audit_path).unwrap(), "3\n");
}

/// Saves its state in the background at its start, and reports each later call to `process`.
struct SavingCore {
    process_calls: std::sync::mpsc::Sender<()>,
}

impl Core for SavingCore {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        io.save_state_later(b"a state");
    }
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {
        let _ = self.process_calls.send(());
    }
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

#[rstest]
fn the_event_loop_keeps_running_while_a_state_is_written_to_a_slow_disk() {
    let directory = TestDirectory::new("slow-disk");
    // Emulates a slow disk: opening a named pipe for writing blocks until it is opened for reading.
    let temporary = directory.file("state.new");
    let mkfifo_status = std::process::Command::new("mkfifo")
        .arg(&temporary)
        .status();
    assert!(mkfifo_status.unwrap().success());
    let path = directory.file("state");
    let (process_calls, received_calls) = std::sync::mpsc::channel();
    let loop_thread = std::thread::spawn(move || {
        let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
        let core = Box::new(SavingCore { process_calls });
        event_loop.add(core, vec![], Some(path)).unwrap();
        event_loop.run_until(event_loop.now() + 10_000).unwrap();
    });
    let has_run = received_calls
        .recv_timeout(std::time::Duration::from_secs(10))
        .is_ok();
    // Reading from the pipe completes the write, so that the loop can end even if the write had blocked it.
    assert_eq!(fs::read(&temporary).unwrap(), b"a state");
    loop_thread.join().unwrap();
    assert!(has_run, "the write to the disk blocked the event loop");
}

/// What a core that is delivered a large file has seen.
#[derive(Default)]
struct LargeFileRecord {
    /// The bytes since the file was last read from its beginning.
    bytes: Vec<u8>,
    begins: usize,
    parts: usize,
    ends: usize,
    failures: Vec<String>,
    process_calls: usize,
}

/// Records the parts of its file.
#[derive(Default)]
struct LargeFileCore {
    record: Rc<RefCell<LargeFileRecord>>,
}

impl Core for LargeFileCore {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {
        self.record.borrow_mut().process_calls += 1;
    }
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn on_file_part(&mut self, _: Micros, name: &str, part: FilePart<'_>, _: &mut dyn Io) {
        assert_eq!(name, FILE);
        let mut record = self.record.borrow_mut();
        match part {
            FilePart::Begin => {
                record.begins += 1;
                record.bytes.clear();
            }
            FilePart::Bytes(bytes) => {
                record.parts += 1;
                record.bytes.extend_from_slice(bytes);
            }
            FilePart::End => record.ends += 1,
            FilePart::Failed(error) => record.failures.push(error.to_string()),
        }
    }
}

/// A loop whose core watches a large file, and what the core has seen.
fn watching_large(path: &Path) -> (EventLoop, Rc<RefCell<LargeFileRecord>>) {
    let core = LargeFileCore::default();
    let record = core.record.clone();
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    let host = event_loop.add(Box::new(core), vec![], None).unwrap();
    event_loop.watch_large_file(host, FILE, path.to_path_buf(), MILLISECOND);
    (event_loop, record)
}

fn run_until_ends(event_loop: &mut EventLoop, record: &Rc<RefCell<LargeFileRecord>>, ends: usize) {
    for _ in 0..1000 {
        if record.borrow().ends >= ends {
            return;
        }
        let at = event_loop.now() + 5 * MILLISECOND;
        event_loop.run_until(at).unwrap();
    }
    panic!("the file was not delivered");
}

/// Three megabytes that differ from place to place.
fn large_content(seed: usize) -> Vec<u8> {
    (0..3_000_000)
        .map(|index: usize| (index.wrapping_mul(31) / 7 + seed) as u8)
        .collect()
}

/// Guards against a limit on the size of a file that must grow, and against a loop that does nothing else while it
/// reads one.
#[rstest]
fn a_large_file_is_delivered_in_parts_between_which_the_core_runs() {
    let directory = TestDirectory::new("parts");
    let path = directory.file("large");
    fs::write(&path, large_content(1)).unwrap();
    let (mut event_loop, record) = watching_large(&path);
    run_until_ends(&mut event_loop, &record, 1);
    let record = record.borrow();
    assert!(record.bytes == large_content(1));
    assert_eq!((record.begins, record.failures.len()), (1, 0));
    let largest_part = 64 * 1024;
    assert!(record.parts >= record.bytes.len() / largest_part);
    assert!(
        record.process_calls >= record.parts,
        "{} calls between {} parts",
        record.process_calls,
        record.parts
    );
}

/// Guards against a delivery that mixes two versions of a file that is replaced while it is read.
#[rstest]
fn a_file_that_is_replaced_while_it_is_delivered_is_delivered_from_its_beginning() {
    let directory = TestDirectory::new("replaced");
    let path = directory.file("large");
    fs::write(&path, large_content(1)).unwrap();
    let (mut event_loop, record) = watching_large(&path);
    while record.borrow().parts < 3 {
        let at = event_loop.now() + 1;
        event_loop.run_until(at).unwrap();
    }
    assert_eq!(record.borrow().ends, 0);
    fs::write(directory.file("next"), large_content(2)).unwrap();
    fs::rename(directory.file("next"), &path).unwrap();
    run_until_ends(&mut event_loop, &record, 1);
    while record.borrow().begins < 2 || record.borrow().ends < record.borrow().begins - 1 {
        let at = event_loop.now() + MILLISECOND;
        event_loop.run_until(at).unwrap();
    }
    assert!(record.borrow().bytes == large_content(2));
}

#[rstest]
fn a_large_file_that_is_missing_is_reported_with_its_path() {
    let directory = TestDirectory::new("no-parts");
    let path = directory.file("missing");
    let (_, record) = watching_large(&path);
    let record = record.borrow();
    assert_eq!(
        (record.begins, record.ends, record.failures.len()),
        (1, 0, 1)
    );
    assert!(record.failures[0].starts_with(&format!("{}: ", path.display())));
}
