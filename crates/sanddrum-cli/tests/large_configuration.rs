//! A router process whose startup configuration has grown with the events of a large fleet.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::ops::Range;

/// The largest fleet of the platform.
const FLEET: usize = 3200;
/// The smallest memory limit of the platform, in MiB.
const MEMORY_MB: u64 = 32;
/// How long the web server of these tests waits for an answer, in milliseconds.
const TIME_LIMIT_MS: u32 = 2000;

/// Workers that the tests never connect to, as they are draining or gone by the end of the events.
fn other_members(indexes: Range<usize>, phase: &str) -> Vec<Value> {
    let other = |index: usize| {
        let address = format!("10.{}.{}.9:8080", index / 250 % 250, index % 250);
        let mut other = member(&format!("s-{index:08x}"), &address, phase);
        other["flavor"] = json!("std");
        other["cell"] = json!(index / 8);
        other["up_since_ms"] = json!(1_700_000_000_000_i64 + index as i64);
        other
    };
    indexes.map(other).collect()
}

fn membership_event(number: usize, is_complete: bool, members: Vec<Value>) -> Value {
    json!({"n": number, "members": {"complete": is_complete, "members": members}})
}

/// The events of a fleet that was replaced `rolls` times, with the worker `w` in service throughout.
fn events_of_replaced_fleet(worker: &str, rolls: usize) -> Vec<Value> {
    let mut first = other_members(0..FLEET, "terminating");
    first.push(member("w", worker, "in_service"));
    let mut events = vec![membership_event(1, true, first)];
    for roll in 0..rolls {
        let (old, new) = (roll * FLEET, (roll + 1) * FLEET);
        let mut replacement = other_members(old..old + FLEET, "terminated");
        replacement.extend(other_members(new..new + FLEET, "terminating"));
        events.push(membership_event(events.len() + 1, false, replacement));
    }
    events
}

fn large_configuration(feed: &str, worker: &str, events: &[Value]) -> Value {
    let mut large = configuration(feed, worker, "once");
    large["known"] = json!({"n": events.len(), "events": events});
    large
}

/// Guards against a limit for reloads that the configuration of a large fleet exceeds, although the router has started
/// with the same kind of file: the router went on with its old list and never polled the feed at its new address.
/// The memory for reading it may not grow with its size, and requests are answered while it is being read.
#[rstest]
fn a_configuration_above_a_mebibyte_moves_the_feed_while_requests_are_answered() {
    let ((mut worker, worker_address), (feeds, feed_address), (moved, moved_address)) =
        (Worker::listen(), listener(), listener());
    let events = events_of_replaced_fleet(&worker_address, 4);
    let start = large_configuration(&feed_address, &worker_address, &events[..1]);
    let router = Router::start_with("large-configuration", &start, None);
    assert_eq!(next_poll(&mut accept(&feeds)), 1);

    let reload = large_configuration(&moved_address, &worker_address, &events).to_string();
    assert!(reload.len() > 4 << 20);
    std::fs::write(&router.file, &reload).unwrap();
    router.signal("HUP");
    let mut web = WebServer::connect(&router.address);
    moved.set_nonblocking(true).unwrap();
    let mut served = 0u64;
    let mut new_feed = loop {
        served += 1;
        let call = format!("{served:016x}");
        web.send(&encode_request(1, &call, TIME_LIMIT_MS, b"body"));
        let next = worker.next_request();
        worker.serve(&next);
        assert_eq!(web.response().unwrap().status(), "200");
        if let Ok((conn, _)) = moved.accept() {
            break conn;
        }
        let log = router.logged_so_far();
        assert!(!log.contains("configuration rejected"), "{log}");
    };
    new_feed.set_nonblocking(false).unwrap();
    assert_eq!(next_poll(&mut new_feed), events.len() as u64);
    let peak = router.peak_memory_kib();
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB");
}

/// Guards against a configuration whose text in memory is a multiple of the file's size at the start.
#[rstest]
fn a_router_starts_with_a_large_configuration_within_the_smallest_memory_limit() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let events = events_of_replaced_fleet(&worker_address, 12);
    let start = large_configuration(&feed_address, &worker_address, &events);
    assert!(start.to_string().len() > 8 << 20);
    let router = Router::start_with("large-start", &start, None);
    assert_eq!(next_poll(&mut accept(&feeds)), events.len() as u64);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, "00000000000000a1");
    let next = worker.next_request();
    worker.serve(&next);
    assert_eq!(web.response().unwrap().status(), "200");
    let peak = router.peak_memory_kib();
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB");
}
