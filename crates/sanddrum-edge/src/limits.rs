//! The limits of an edge, as set.

use sanddrum_net::Micros;
use sanddrum_settings::LoadedSettings;

/// How often the decision module runs at most in one turn of the event loop; events that are left over wait for the next
/// turn, so that sockets are served.
pub(crate) const MAX_BATCHES_PER_TURN: usize = 4;

/// A worker answers an attempt within this many of the longest time limit, or never.
const LATE_ANSWER_TIME_LIMITS: Micros = 2;

/// The named limits (`limits` in the settings); docs/settings.md says what each guards against.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// How long before a client's deadline its final response is due.
    pub answer_ahead: Micros,
    /// Open requests.
    pub max_open: usize,
    /// Connections of clients.
    pub max_clients: usize,
    /// How long a client's connection may be idle.
    pub client_idle: Micros,
    /// How long a request may take to be received.
    pub head_time_out: Micros,
    /// How long a new client may take to send its first request before it is evicted for others.
    pub time_to_speak: Micros,
    /// How long a connection is kept after a response to a request that can't be read.
    pub linger: Micros,
    /// Bytes of a request's head.
    pub largest_head: usize,
    /// Bytes of a request's body.
    pub largest_body: usize,
    /// Open requests on a client's connection.
    pub pipelined: usize,
    /// Bytes that wait to be written to a client.
    pub waiting_per_client: usize,
    /// Bytes that wait to be written on a connection to a worker.
    pub waiting_per_worker: usize,
    /// Bytes of a frame of the worker protocol.
    pub largest_frame: usize,
    /// Bytes of an answer of the control feed.
    pub largest_list: usize,
    /// Messages in flight on a connection to a worker.
    pub streams: usize,
    /// Messages in flight on a connection to a worker, above which a further connection is wanted.
    pub streams_wanted: usize,
    /// Connections to one worker.
    pub connections: usize,
    /// Connections to all workers.
    pub all_connections: usize,
    /// How long a connection may take to be opened.
    pub connect_time_out: Micros,
    /// How long a connection to a worker may be idle.
    pub idle_close: Micros,
    /// How long a health check may take.
    pub probe_time_out: Micros,
    /// How long a load command may take.
    pub order_time_out: Micros,
    /// The least time between two writes of the endpoint cache.
    pub save_least: Micros,
    /// How long a graceful shutdown may take.
    pub stop_within: Micros,
    /// The longest time that a client is asked to wait before it retries.
    pub max_retry_after: Micros,
    /// Functions that are remembered.
    pub max_functions: usize,
    /// Bytes of the bodies of all open requests, and of all requests that are received in part.
    pub held_bodies: usize,
    /// How many times what is set a figure of a caller's may be.
    pub figures_beyond: f64,
    /// How long after the begin of a shutdown requests may still arrive.
    pub late_arrivals: Micros,
    /// How long the control feed may hold a poll.
    pub feed_wait: Micros,
    /// How long after that the control feed may take to answer.
    pub feed_silence: Micros,
    /// How long after the end of an attempt an answer to it may still come.
    pub answers_late: Micros,
}

impl Limits {
    /// The limits as set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let span = |name: &str| settings.duration_us(&format!("limits.{name}-us"));
        let bytes = |name: &str| settings.integer(&format!("limits.{name}-bytes"));
        let count = |name: &str| settings.integer(&format!("limits.{name}"));
        let streams = count("streams");
        let has_streams_wanted = settings.contains("limits.streams-wanted");
        Limits {
            answer_ahead: span("answer-ahead"),
            max_open: count("max-open"),
            max_clients: count("max-clients"),
            client_idle: span("client-idle"),
            head_time_out: span("head-time-out"),
            time_to_speak: span("time-to-speak"),
            linger: span("linger"),
            largest_head: bytes("largest-head"),
            largest_body: bytes("largest-body"),
            pipelined: count("pipelined"),
            waiting_per_client: bytes("waiting-per-client"),
            waiting_per_worker: bytes("waiting-per-worker"),
            largest_frame: bytes("largest-frame"),
            largest_list: bytes("largest-list"),
            streams,
            streams_wanted: if has_streams_wanted {
                count("streams-wanted")
            } else {
                streams
            },
            connections: count("connections"),
            all_connections: count("all-connections"),
            connect_time_out: span("connect-time-out"),
            idle_close: span("idle-close"),
            probe_time_out: span("probe-time-out"),
            order_time_out: span("order-time-out"),
            save_least: span("save-least"),
            stop_within: span("stop-within"),
            max_retry_after: span("max-retry-after"),
            max_functions: count("max-functions"),
            held_bodies: bytes("held-bodies"),
            figures_beyond: settings.number("limits.figures-beyond"),
            late_arrivals: span("late-arrivals"),
            feed_wait: span("feed-wait"),
            feed_silence: span("feed-silence"),
            answers_late: LATE_ANSWER_TIME_LIMITS * longest_time_limit(settings),
        }
    }
}

fn longest_time_limit(settings: &LoadedSettings) -> Micros {
    (0..settings.count("workloads"))
        .map(|index| settings.duration_us(&format!("workloads.{index}.time-limit-us")))
        .max()
        .unwrap_or_default()
}
