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
    pub response_lead_time: Micros,
    /// Open requests.
    pub max_open_requests: usize,
    /// Connections of clients.
    pub max_clients: usize,
    /// How long a client's connection may be idle.
    pub client_idle_timeout: Micros,
    /// How long a request may take to be received.
    pub request_timeout: Micros,
    /// How long a new client may take to send its first request before it is evicted for others.
    pub first_request_timeout: Micros,
    /// How long a connection is kept after a response to a request that can't be read.
    pub linger_time: Micros,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Open requests on a client's connection.
    pub max_pipelined_requests: usize,
    /// Bytes that wait to be written to a client.
    pub max_outbox_bytes_per_client: usize,
    /// Bytes that wait to be written on a connection to a worker.
    pub max_outbox_bytes_per_worker: usize,
    /// Bytes of a frame of the worker protocol.
    pub max_frame_bytes: usize,
    /// Bytes of an answer of the control feed.
    pub max_feed_answer_bytes: usize,
    /// Messages in flight on a connection to a worker.
    pub max_in_flight_per_connection: usize,
    /// Messages in flight on a connection to a worker, above which a further connection is wanted.
    pub wanted_in_flight_per_connection: usize,
    /// Connections to one worker.
    pub max_connections_per_worker: usize,
    /// Connections to all workers.
    pub max_worker_connections: usize,
    /// How long a connection may take to be opened.
    pub connect_timeout: Micros,
    /// How long a connection to a worker may be idle.
    pub worker_idle_timeout: Micros,
    /// How long a health check may take.
    pub health_check_timeout: Micros,
    /// How long a load command may take.
    pub load_timeout: Micros,
    /// The least time between two writes of the endpoint cache.
    pub min_save_interval: Micros,
    /// How long a graceful shutdown may take.
    pub shutdown_timeout: Micros,
    /// The longest time that a client is asked to wait before it retries.
    pub max_retry_after: Micros,
    /// Functions that are remembered.
    pub max_functions: usize,
    /// Bytes of the bodies of all open requests, and of all requests that are received in part.
    pub max_buffered_body_bytes: usize,
    /// How many times what is set a figure of a caller's may be.
    pub parameter_tolerance: f64,
    /// How long after the begin of a shutdown requests may still arrive.
    pub late_arrival_window: Micros,
    /// How long the control feed may hold a poll.
    pub feed_poll_wait: Micros,
    /// How long after that the control feed may take to answer.
    pub feed_answer_timeout: Micros,
    /// How long after the end of an attempt an answer to it may still come.
    pub late_answer_window: Micros,
}

impl Limits {
    /// The limits as set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let duration = |name: &str| settings.duration_us(&format!("limits.{name}-us"));
        let bytes = |name: &str| settings.integer(&format!("limits.{name}-bytes"));
        let count = |name: &str| settings.integer(&format!("limits.{name}"));
        let streams = count("streams");
        let has_streams_wanted = settings.contains("limits.streams-wanted");
        Limits {
            response_lead_time: duration("answer-ahead"),
            max_open_requests: count("max-open"),
            max_clients: count("max-clients"),
            client_idle_timeout: duration("client-idle"),
            request_timeout: duration("head-time-out"),
            first_request_timeout: duration("time-to-speak"),
            linger_time: duration("linger"),
            max_head_bytes: bytes("largest-head"),
            max_body_bytes: bytes("largest-body"),
            max_pipelined_requests: count("pipelined"),
            max_outbox_bytes_per_client: bytes("waiting-per-client"),
            max_outbox_bytes_per_worker: bytes("waiting-per-worker"),
            max_frame_bytes: bytes("largest-frame"),
            max_feed_answer_bytes: bytes("largest-list"),
            max_in_flight_per_connection: streams,
            wanted_in_flight_per_connection: if has_streams_wanted {
                count("streams-wanted")
            } else {
                streams
            },
            max_connections_per_worker: count("connections"),
            max_worker_connections: count("all-connections"),
            connect_timeout: duration("connect-time-out"),
            worker_idle_timeout: duration("idle-close"),
            health_check_timeout: duration("probe-time-out"),
            load_timeout: duration("order-time-out"),
            min_save_interval: duration("save-least"),
            shutdown_timeout: duration("stop-within"),
            max_retry_after: duration("max-retry-after"),
            max_functions: count("max-functions"),
            max_buffered_body_bytes: bytes("held-bodies"),
            parameter_tolerance: settings.number("limits.figures-beyond"),
            late_arrival_window: duration("late-arrivals"),
            feed_poll_wait: duration("feed-wait"),
            feed_answer_timeout: duration("feed-silence"),
            late_answer_window: LATE_ANSWER_TIME_LIMITS * longest_time_limit(settings),
        }
    }
}

fn longest_time_limit(settings: &LoadedSettings) -> Micros {
    (0..settings.count("workloads"))
        .map(|index| settings.duration_us(&format!("workloads.{index}.time-limit-us")))
        .max()
        .unwrap_or_default()
}
