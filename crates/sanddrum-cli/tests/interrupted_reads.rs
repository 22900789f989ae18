//! The read helper of the tests' peers retries when a system call is interrupted.

mod socket_reads;

use rstest::rstest;
use socket_reads::read;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

fn spawn_children_until(is_done: &AtomicBool) {
    while !is_done.load(Ordering::Relaxed) {
        let mut children = [0; 2].map(|_| Command::new("true").spawn().unwrap());
        for child in &mut children {
            child.wait().unwrap();
        }
    }
}

#[rstest]
fn a_read_completes_while_other_threads_start_and_reap_children() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut reader = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    reader
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let (mut writer, _) = listener.accept().unwrap();
    let is_done = AtomicBool::new(false);
    let received = thread::scope(|scope| {
        (0..4).for_each(|_| drop(scope.spawn(|| spawn_children_until(&is_done))));
        scope.spawn(move || {
            thread::sleep(Duration::from_millis(500));
            writer.write_all(b"x").unwrap();
        });
        let received = read(&mut reader, &mut [0; 8]);
        is_done.store(true, Ordering::Relaxed);
        received
    });
    assert_eq!(received.unwrap(), 1);
}
