//! Clients that send small or invalid requests at full speed, beside a client that expects its responses in time.

mod measured_traffic;
mod router_harness;

use measured_traffic::*;
use router_harness::*;
use rstest::rstest;
use sanddrum_lab::flooding_clients::{is_flooding_call, Flood, FloodingClients};
use serde_json::json;
use std::time::{Duration, Instant};

const FLOODING_CLIENTS: u64 = 6;
/// For how long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const TIME_LIMITS_MS: [u32; 3] = [880, 680, 36];
/// A response that arrives later than this after the time limit counts as lost.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin 100 ms after its client has cancelled it; on sockets every time limit is 50 ms longer.
const LEAVING_SLACK: Duration = Duration::from_millis(150);
/// SIGKILL follows SIGTERM after the longest deadline and 0.7 s.
const KILL_TIME: Duration = Duration::from_millis(1_700);
/// The memory limit of the router, in KiB.
const MEMORY_KIB: u64 = 32 * 1024;

/// Guards against input that holds up the event loop: while some clients sent at full speed, others got their responses
/// seconds late or never, and the router came close to its memory limit.
#[rstest]
fn other_clients_are_answered_in_time_beside_clients_at_full_speed() {
    for flood in Flood::ALL {
        let ((workers, worker_address), (feeds, feed_address)) = (listener(), listener());
        let worker = SelfServingWorker::start(workers, SERVICE_TIME);
        let name = format!("flood-{flood:?}");
        let router = Router::start_with_default_log(&name, &feed_address, &worker_address);
        let _feed = accept(&feeds);
        let clients = FloodingClients::start(&router.address, "job", FLOODING_CLIENTS, flood);
        let measured = measure(&router.address, FLOOD_TIME, &TIME_LIMITS_MS);
        let received = worker.received().into_iter();
        for attempt in received.filter(|attempt| is_flooding_call(attempt.call_id)) {
            // A flooding client's request is cancelled as it is written.
            let cancelled_at = clients.written_at(attempt.call_id);
            let since = cancelled_at.map_or(Duration::ZERO, |at| attempt.at.duration_since(at));
            assert!(since <= LEAVING_SLACK, "{flood:?}: {since:?}: {attempt:?}");
        }
        drop(clients);
        let lost = measured
            .iter()
            .filter(|request| request.late_by() > RESPONSE_SLACK);
        assert_eq!(lost.count(), 0, "{flood:?}: {measured:?}");
        let served = measured.iter().filter(|request| request.status == "200");
        assert!(
            2 * served.count() >= measured.len(),
            "{flood:?}: {measured:?}"
        );
        let peak = router.peak_memory_kib();
        assert!(peak < MEMORY_KIB, "{flood:?}: {peak} KiB");
    }
}

/// Guards against a shutdown that waits for clients that send all the time: the router was still there at SIGKILL.
#[rstest]
#[case::invalid(Flood::Invalid)]
#[case::cancelled(Flood::CancelledNewFunctions)]
fn a_router_ends_in_time_beside_clients_at_full_speed(#[case] flood: Flood) {
    let ((workers, worker_address), (feeds, feed_address)) = (listener(), listener());
    SelfServingWorker::start(workers, SERVICE_TIME);
    let mut settings = configuration(&feed_address, &worker_address, "repeatable");
    settings["settings"]["classes"][0]["deadline-us"] = json!(1_000_000);
    settings["settings"]["classes"][0]["aim-us"] = json!(500_000);
    let name = format!("flood-end-{flood:?}");
    let mut router = Router::start_with(&name, &settings, None);
    next_poll(&mut accept(&feeds));
    let _clients = FloodingClients::start(&router.address, "job", FLOODING_CLIENTS, flood);
    let mut usual = WebServer::connect(&router.address);
    usual.send_request(1, "00000000000000a1");
    assert_eq!(usual.response().unwrap().status(), "200");
    router.signal("TERM");
    let signalled_at = Instant::now();
    usual.send_request(2, "00000000000000a2");
    assert!(usual.response().is_some());
    assert_eq!(router.wait_for_exit().code(), Some(0));
    let took = signalled_at.elapsed();
    assert!(took < KILL_TIME, "{took:?}");
}
