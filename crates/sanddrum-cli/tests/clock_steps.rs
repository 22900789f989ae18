//! The wall clock of a router's machine is stepped while it runs, or is wrong from its start: a model server that has just
//! started is in slow start all the same.

mod steered;

use rstest::rstest;
use sanddrum_lab::faults::{FaultControl, Word};
use serde_json::{json, Value};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};
use steered::*;

const HOUR_US: i64 = 3_600_000_000;
/// Requests played, each for a function of its own, so that each may go to either server.
const REQUESTS: usize = 120;
/// A server that counts as warm gets half of them; one in slow start, a fifth of what that would be and less.
const MOST_IN_SLOW_START: usize = REQUESTS / 4;

/// When the wall clock steps, by how much, and whether the servers' clock is the same one.
#[derive(Clone, Copy)]
struct Step {
    before_start_us: i64,
    while_running_us: i64,
    servers_step_too: bool,
}

fn slow_start(feed: &str, server: &str) -> Value {
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
fn asks_for(id: u16, n: usize) -> Vec<u8> {
    let (call, function) = (format!("{:016x}", n + 1), format!("{:016x}", 0x7000 + n));
    asks_function(id, &call, &function, 4000, call.as_bytes())
}
/// Serves what comes to either server until all requests are answered; how many the second one got.
fn served(web: &mut Web, servers: &mut [Worker; 2], from: usize, requests: usize) -> usize {
    let mut second = 0;
    for n in from..from + requests {
        web.says(&asks_for(1, n));
        let (server, request) = next_request(servers);
        second += usize::from(server == 1);
        servers[server].serve(&request);
        assert_eq!(web.answer().unwrap().status(), "200");
    }
    second
}

#[rstest]
#[case::back_for_all(Step { before_start_us: 0, while_running_us: -HOUR_US, servers_step_too: true })]
#[case::forward_here_only(Step { before_start_us: 0, while_running_us: HOUR_US, servers_step_too: false })]
#[case::ahead_from_the_start(Step { before_start_us: HOUR_US, while_running_us: 0, servers_step_too: false })]
fn a_server_told_after_a_step_of_the_wall_clock_is_in_slow_start(#[case] step: Step) {
    let ((first, first_at), (second, second_at), (feeds, feed_at)) =
        (Worker::listens(), Worker::listens(), listener());
    let name = format!("step-{}-{}", step.before_start_us, step.while_running_us);
    let faults = FaultControl::create(
        &std::env::temp_dir().join(format!("sanddrum-faults-{name}-{}", std::process::id())),
    )
    .unwrap();
    faults.step_wall_clock(step.before_start_us).unwrap();
    let router = Router::start_with(&name, &slow_start(&feed_at, &first_at), Some(&faults));
    let mut feed = accept(&feeds);
    question(&mut feed);
    let (mut web, mut servers) = (Web::connects(&router.at), [first, second]);
    assert_eq!(
        served(&mut web, &mut servers, 0, 30),
        0,
        "the other one is not told yet"
    );
    faults
        .step_wall_clock(step.before_start_us + step.while_running_us)
        .unwrap();
    let servers_offset = if step.servers_step_too {
        step.while_running_us
    } else {
        0
    };
    let mut starts = member("c", &second_at, "in_service");
    starts["up_since_ms"] = json!(wall_ms(servers_offset) - 200);
    feed.write_all(&told(2, json!([event(2, starts)]))).unwrap();
    question(&mut feed);
    let got = served(&mut web, &mut servers, 30, REQUESTS);
    assert!(
        faults.get(Word::WallReadsStepped).unwrap() > 0,
        "the step never came"
    );
    assert!(
        got <= MOST_IN_SLOW_START,
        "{got} of {REQUESTS} went to a server that has just started"
    );
}

#[rstest]
fn a_server_that_starts_again_under_its_id_after_a_step_back_is_in_slow_start() {
    let ((first, first_at), (second, second_at), (feeds, feed_at)) =
        (Worker::listens(), Worker::listens(), listener());
    let file = std::env::temp_dir().join(format!("sanddrum-faults-again-{}", std::process::id()));
    let faults = FaultControl::create(&file).unwrap();
    let server = |since_ms: i64| {
        let mut server = member("c", &second_at, "in_service");
        server["up_since_ms"] = json!(since_ms);
        server
    };
    let mut configuration = slow_start(&feed_at, &first_at);
    let long_warm = [
        member("w", &first_at, "in_service"),
        server(wall_ms(0) - 120_000),
    ];
    configuration["known"]["events"][0]["members"]["members"] = json!(long_warm);
    let router = Router::start_with("again", &configuration, Some(&faults));
    let mut feed = accept(&feeds);
    question(&mut feed);
    let (mut web, mut servers) = (Web::connects(&router.at), [first, second]);
    faults.step_wall_clock(-HOUR_US).unwrap();
    feed.write_all(&told(2, json!([event(2, server(wall_ms(-HOUR_US) - 200))])))
        .unwrap();
    question(&mut feed);
    let got = served(&mut web, &mut servers, 0, REQUESTS);
    assert!(
        got <= MOST_IN_SLOW_START,
        "{got} of {REQUESTS} went to a server that has just started"
    );
}
