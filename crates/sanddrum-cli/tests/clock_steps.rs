//! The wall clock of the router's machine is wrong from the start or is stepped while the router runs. A model server
//! that has just started must be in slow start all the same.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use sanddrum_lab::faults::{FaultControl, Word};
use serde_json::{json, Value};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

const HOUR_US: i64 = 3_600_000_000;
/// Number of requests, each for a function of its own, so that each may go to either server.
const REQUESTS: usize = 120;
/// A warm server gets half of the requests; one in slow start gets at most about a fifth of that half.
const MAX_IN_SLOW_START: usize = REQUESTS / 4;

/// By how much the router's wall clock is stepped before the start and while running, and whether the servers' clock
/// steps with it.
#[derive(Clone, Copy)]
struct Step {
    before_start_us: i64,
    while_running_us: i64,
    servers_step_too: bool,
}

fn slow_start_configuration(feed: &str, server: &str) -> Value {
    let mut configuration = configuration(feed, server, "repeatable");
    let settings = &mut configuration["settings"];
    settings["family-info"] = json!({"if-cold": "load", "idle-life-us": 9_000_000});
    settings["obligations"] = json!({
        "cold-from": 0.2, "cold-us": 30_000_000, "fall-multiple": 2.5, "tip-after-us": 2_000_000,
    });
    configuration
}
fn wall_ms(offset_us: i64) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as i64 + offset_us / 1000
}
fn encode_nth_request(id: u16, n: usize) -> Vec<u8> {
    let (call, function) = (format!("{:016x}", n + 1), format!("{:016x}", 0x7000 + n));
    encode_request_for(id, &call, &function, 4000, call.as_bytes())
}
/// Sends this many requests, one after the other, and serves each at the server that receives it. Returns how many the
/// second server received.
fn serve_in_turn(
    web: &mut WebServer,
    servers: &mut [Worker; 2],
    from: usize,
    requests: usize,
) -> usize {
    let mut second = 0;
    for n in from..from + requests {
        web.send(&encode_nth_request(1, n));
        let (server, request) = next_request(servers);
        second += usize::from(server == 1);
        servers[server].serve(&request);
        assert_eq!(web.response().unwrap().status(), "200");
    }
    second
}

#[rstest]
#[case::backward_on_all_machines(Step { before_start_us: 0, while_running_us: -HOUR_US, servers_step_too: true })]
#[case::forward_on_the_router_only(Step { before_start_us: 0, while_running_us: HOUR_US, servers_step_too: false })]
#[case::ahead_from_the_start(Step { before_start_us: HOUR_US, while_running_us: 0, servers_step_too: false })]
fn a_server_announced_after_a_wall_clock_step_is_in_slow_start(#[case] step: Step) {
    let ((first, first_address), (second, second_address), (feeds, feed_address)) =
        (Worker::listen(), Worker::listen(), listener());
    let name = format!("step-{}-{}", step.before_start_us, step.while_running_us);
    let faults = FaultControl::create(
        &std::env::temp_dir().join(format!("sanddrum-faults-{name}-{}", std::process::id())),
    )
    .unwrap();
    faults.step_wall_clock(step.before_start_us).unwrap();
    let router = Router::start_with(
        &name,
        &slow_start_configuration(&feed_address, &first_address),
        Some(&faults),
    );
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let (mut web, mut servers) = (WebServer::connect(&router.address), [first, second]);
    assert_eq!(
        serve_in_turn(&mut web, &mut servers, 0, 30),
        0,
        "the second server has not been announced yet"
    );
    faults
        .step_wall_clock(step.before_start_us + step.while_running_us)
        .unwrap();
    let servers_offset = if step.servers_step_too {
        step.while_running_us
    } else {
        0
    };
    let mut started = member("c", &second_address, "in_service");
    started["up_since_ms"] = json!(wall_ms(servers_offset) - 200);
    feed.write_all(&feed_response(2, json!([event(2, started)])))
        .unwrap();
    next_poll(&mut feed);
    let received = serve_in_turn(&mut web, &mut servers, 30, REQUESTS);
    assert!(
        faults.get(Word::WallReadsStepped).unwrap() > 0,
        "the router never read the stepped wall clock"
    );
    assert!(
        received <= MAX_IN_SLOW_START,
        "{received} of {REQUESTS} requests went to a server that has just started"
    );
}

#[rstest]
fn a_server_restarted_under_its_id_after_a_backward_clock_step_is_in_slow_start() {
    let ((first, first_address), (second, second_address), (feeds, feed_address)) =
        (Worker::listen(), Worker::listen(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-faults-again-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    let server = |since_ms: i64| {
        let mut server = member("c", &second_address, "in_service");
        server["up_since_ms"] = json!(since_ms);
        server
    };
    let mut configuration = slow_start_configuration(&feed_address, &first_address);
    let warm_members = [
        member("w", &first_address, "in_service"),
        server(wall_ms(0) - 120_000),
    ];
    configuration["known"]["events"][0]["members"]["members"] = json!(warm_members);
    let router = Router::start_with("again", &configuration, Some(&faults));
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let (mut web, mut servers) = (WebServer::connect(&router.address), [first, second]);
    faults.step_wall_clock(-HOUR_US).unwrap();
    feed.write_all(&feed_response(
        2,
        json!([event(2, server(wall_ms(-HOUR_US) - 200))]),
    ))
    .unwrap();
    next_poll(&mut feed);
    let received = serve_in_turn(&mut web, &mut servers, 0, REQUESTS);
    assert!(
        received <= MAX_IN_SLOW_START,
        "{received} of {REQUESTS} requests went to a server that has just started"
    );
}
