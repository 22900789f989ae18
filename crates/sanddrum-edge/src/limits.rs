//! The configured limits of an edge.

use crate::worker_connections::ConfirmationMethod;
use sanddrum_net::Micros;
use sanddrum_settings::LoadedSettings;

/// The maximum number of runs of the decision module in one turn of the event loop. Remaining events wait for the next
/// turn, so that I/O is not starved.
pub(crate) const MAX_BATCHES_PER_TURN: usize = 4;

/// After this multiple of the longest time limit of a workload, a worker no longer answers an attempt.
const LATE_ANSWER_TIME_LIMITS: Micros = 2;

/// The limits in the `limits` section of the settings; docs/settings.md documents the purpose of each.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// How long before the end of the client's time limit the final response is due, so that it still arrives in time.
    pub response_lead_time: Micros,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum idle time of a client connection.
    pub client_idle_timeout: Micros,
    /// Maximum time to receive a request.
    pub request_timeout: Micros,
    /// A client connection without a request is the last to be evicted at the connection limit for this long after it
    /// was accepted, and the first afterwards.
    pub first_request_timeout: Micros,
    /// How long a connection stays open after the response to a malformed request.
    pub linger_time: Micros,
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Maximum number of open requests on a client connection.
    pub max_pipelined_requests: usize,
    /// Maximum number of bytes that are queued for writing to a client.
    pub max_outbox_bytes_per_client: usize,
    /// Maximum number of bytes that are queued for writing on a worker connection.
    pub max_outbox_bytes_per_worker: usize,
    /// Maximum size of a frame of the worker protocol.
    pub max_frame_bytes: usize,
    /// Maximum memory of the incomplete frames of all workers.
    pub max_incomplete_frame_bytes: usize,
    /// Maximum size of an answer of the control feed.
    pub max_feed_answer_bytes: usize,
    /// Maximum number of messages in flight on a worker connection.
    pub max_in_flight_per_connection: usize,
    /// Number of messages in flight that counts as full utilization of a worker connection, above which the connection
    /// policy opens another one.
    pub wanted_in_flight_per_connection: usize,
    /// Maximum number of connections to one worker.
    pub max_connections_per_worker: usize,
    /// Maximum number of connections to all workers.
    pub max_worker_connections: usize,
    /// Maximum time to establish a connection.
    pub connect_timeout: Micros,
    /// Maximum idle time of a worker connection.
    pub worker_idle_timeout: Micros,
    /// Timeout of a health check.
    pub health_check_timeout: Micros,
    /// Timeout of a load command.
    pub load_timeout: Micros,
    /// Minimum interval between two saves of the endpoint cache.
    pub min_save_interval: Micros,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_timeout: Micros,
    /// Maximum Retry-After of a response; the edge's own 503 responses use it.
    pub max_retry_after: Micros,
    /// Maximum number of functions in the function table.
    pub max_functions: usize,
    /// Maximum total size of the bodies of all open requests.
    pub max_buffered_body_bytes: usize,
    /// Maximum memory of all responses over FastCGI that clients have not read.
    pub max_unread_response_bytes: usize,
    /// Maximum memory of all partially received requests over FastCGI.
    pub max_partial_request_bytes: usize,
    /// Factor by which a duration that a client states may exceed the configured maximum.
    pub parameter_tolerance: f64,
    /// How long after the start of a shutdown requests may still arrive.
    pub late_arrival_window: Micros,
    /// Maximum time for which the control feed holds a poll.
    pub feed_poll_wait: Micros,
    /// How long after `feed_poll_wait` has passed the control feed's answer may still arrive.
    pub feed_answer_timeout: Micros,
    /// How long after the end of an attempt its answer may still arrive.
    pub late_answer_window: Micros,
    /// The messages that may ask a worker for an immediate answer.
    pub confirmation_method: ConfirmationMethod,
    /// Whether attempts may be cancelled at their workers.
    pub allows_cancels: bool,
    /// Whether a request may have two attempts in flight.
    pub allows_hedging: bool,
}

impl Limits {
    /// Reads the limits from the settings.
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
            max_incomplete_frame_bytes: bytes("worker-frames"),
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
            max_unread_response_bytes: bytes("unread-responses"),
            max_partial_request_bytes: bytes("partial-requests"),
            parameter_tolerance: settings.number("limits.figures-beyond"),
            late_arrival_window: duration("late-arrivals"),
            feed_poll_wait: duration("feed-wait"),
            feed_answer_timeout: duration("feed-silence"),
            late_answer_window: LATE_ANSWER_TIME_LIMITS * longest_time_limit(settings),
            confirmation_method: confirmation_method(settings),
            allows_cancels: settings.flag("limits.cancel"),
            allows_hedging: settings.flag("limits.second-copies"),
        }
    }
}

fn confirmation_method(settings: &LoadedSettings) -> ConfirmationMethod {
    if settings.flag("limits.probes") {
        ConfirmationMethod::HealthCheck
    } else if settings.flag("copies.orders") {
        ConfirmationMethod::Query
    } else {
        ConfirmationMethod::None
    }
}

fn longest_time_limit(settings: &LoadedSettings) -> Micros {
    (0..settings.count("workloads"))
        .map(|index| settings.duration_us(&format!("workloads.{index}.time-limit-us")))
        .max()
        .unwrap_or_default()
}
