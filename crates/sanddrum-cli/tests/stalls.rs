//! A router gets no CPU time for a while, simulated by stopping and continuing its process. Input that arrives
//! meanwhile collects in the kernel's buffers. The router must treat it by its time of arrival, as far as that is
//! known, not by the time at which it is read.

mod router_harness;

use router_harness::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const ABANDONED: &str = "00000000000000a1";
const PENDING: &str = "00000000000000b2";
/// How far the deadline sent to a model server may exceed the client's remaining time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);
const STALL: Duration = Duration::from_millis(600);

/// The connection on which a client sends a request during the stall.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    Open,
    New,
}

/// How a client cancels its request during the stall.
#[derive(Clone, Copy)]
enum Cancel {
    Close,
    Abort,
}

fn stalled_router(name: &str) -> (Router, Worker, WebServer, std::net::TcpStream) {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let router = Router::start(name, &feed_address, &worker_address, "once");
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    // The connection has already served a request, and the router knows the worker to be warm.
    let mut open = WebServer::connect(&router.address);
    open.send_request(1, "00000000000000ff");
    let first = worker.next_request();
    worker.serve(&first);
    assert_eq!(open.response().unwrap().status(), "200");
    router.stall();
    (router, worker, open, feed)
}

#[rstest]
fn a_request_sent_and_cancelled_during_a_stall_is_not_attempted(
    #[values(Connection::Open, Connection::New)] connection: Connection,
    #[values(Cancel::Close, Cancel::Abort)] cancel: Cancel,
) {
    let name = format!("left-{}-{}", connection as u8, cancel as u8);
    let (router, mut worker, open, _feed) = stalled_router(&name);
    let mut client = if connection == Connection::Open {
        open
    } else {
        WebServer::connect(&router.address)
    };
    client.send_request(2, ABANDONED);
    let client = match cancel {
        Cancel::Close => {
            drop(client);
            None
        }
        Cancel::Abort => {
            client.abort(2);
            Some(client)
        }
    };
    std::thread::sleep(Duration::from_millis(250));
    router.resume();
    let mut pending = WebServer::connect(&router.address);
    pending.send_request(1, PENDING);
    let next = worker.next_request();
    assert_eq!(
        next.1.body,
        PENDING.as_bytes(),
        "an attempt was made for a client that had left"
    );
    worker.serve(&next);
    assert_eq!(pending.response().unwrap().status(), "200");
    drop(client);
}

#[rstest]
fn a_deadline_sent_after_a_stall_is_the_clients_remaining_time(
    #[values(Connection::Open, Connection::New)] connection: Connection,
) {
    let (router, mut worker, open, _feed) =
        stalled_router(&format!("deadline-{}", connection as u8));
    let mut client = if connection == Connection::Open {
        open
    } else {
        WebServer::connect(&router.address)
    };
    let (sent, time_limit) = (Instant::now(), Duration::from_millis(3000));
    client.send(&encode_request(
        2,
        PENDING,
        time_limit.as_millis() as u32,
        b"in",
    ));
    std::thread::sleep(STALL);
    router.resume();
    let next = worker.next_request();
    let left = time_limit.saturating_sub(sent.elapsed());
    assert!(
        deadline(&next.1) <= left + DEADLINE_TOLERANCE,
        "sent {:?}, but the client has {left:?} left",
        deadline(&next.1)
    );
    worker.serve(&next);
    assert_eq!(client.response().unwrap().status(), "200");
}

#[rstest]
fn a_deadline_sent_on_a_slowly_made_connection_is_the_clients_remaining_time() {
    let ((listener, worker_address, backlog), (feeds, feed_address)) =
        (listener_with_full_backlog(), listener());
    let mut configuration = configuration(&feed_address, &worker_address, "once");
    configuration["settings"]["limits"]["connect-timeout-us"] = serde_json::json!(3_000_000);
    // The request itself is sent first on the new connection, with no load command before it.
    configuration["settings"]["family-info"] =
        serde_json::json!({"if-cold": "load", "idle-life-us": 9_000_000});
    let router = Router::start_with("slow-dial", &configuration, None);
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    let mut client = WebServer::connect(&router.address);
    let (sent, time_limit) = (Instant::now(), Duration::from_millis(8000));
    client.send(&encode_request(
        1,
        PENDING,
        time_limit.as_millis() as u32,
        b"in",
    ));
    std::thread::sleep(STALL);
    // Frees the backlog: the connection is established, at the latest when the kernel retries it.
    drop(backlog);
    let mut worker = Worker::from_listener(listener);
    let next = worker.next_request();
    let left = time_limit.saturating_sub(sent.elapsed());
    assert!(
        deadline(&next.1) <= left + DEADLINE_TOLERANCE,
        "sent {:?}, but the client has {left:?} left",
        deadline(&next.1)
    );
    worker.serve(&next);
    assert_eq!(client.response().unwrap().status(), "200");
}

#[rstest]
fn a_connection_with_an_unread_request_is_not_closed_to_make_room_for_a_new_client() {
    let ((mut worker, worker_address), (feeds, feed_address)) = (Worker::listen(), listener());
    let mut configuration = configuration(&feed_address, &worker_address, "once");
    configuration["limits"]["sockets"] = serde_json::json!(64);
    let max_clients = 64 / 3;
    let router = Router::start_with("place", &configuration, None);
    let mut feed = accept(&feeds);
    next_poll(&mut feed);
    // As many clients as the router accepts, each with one completed request. The first has been idle the
    // longest.
    let mut clients: Vec<WebServer> = (0..max_clients)
        .map(|_| WebServer::connect(&router.address))
        .collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request(1, &format!("{:016x}", n + 1));
        let next = worker.next_request();
        worker.serve(&next);
        assert_eq!(client.response().unwrap().status(), "200");
    }
    router.stall();
    let mut new = WebServer::connect(&router.address);
    new.send_request(1, ABANDONED);
    clients[0].send_request(2, PENDING);
    std::thread::sleep(Duration::from_millis(200));
    router.resume();
    for _ in 0..2 {
        let next = worker.next_request();
        worker.serve(&next);
    }
    assert_eq!(new.response().unwrap().status(), "200");
    assert_eq!(
        clients[0]
            .response()
            .expect("the connection was closed with its request unread")
            .status(),
        "200"
    );
}

#[rstest]
fn a_request_still_unread_at_the_end_of_a_shutdown_is_answered() {
    let ((_worker, worker_address), (_feeds, feed_address)) = (listener(), listener());
    let mut settings = configuration(&feed_address, &worker_address, "repeatable");
    // The shutdown ends 0.6 s after the longest deadline.
    settings["settings"]["classes"][0]["deadline-us"] = serde_json::json!(1_000_000);
    settings["settings"]["classes"][0]["aim-us"] = serde_json::json!(500_000);
    let router = Router::start_with("end-stalled", &settings, None);
    let mut web = WebServer::connect(&router.address);
    web.send_request(1, "00000000000000e1");
    assert!(web.response().is_some());
    router.signal("TERM");
    wait_until(|| router.logged_so_far().contains("graceful shutdown started"));
    router.stall();
    web.send_request(2, "00000000000000e2");
    std::thread::sleep(Duration::from_millis(2_000));
    router.resume();
    let response = web.response();
    assert_eq!(response.map(|response| response.id), Some(2));
}
