use sanddrum_net::Micros;
use sanddrum_settings::LoadedSettings;

/// Rounds of the module in one turn of the loop; what is left over waits for the next, so that sockets are served.
pub(crate) const ROUNDS_A_TURN: usize = 4;

/// A worker answers an attempt within this many of the longest time limit, or never.
const ANSWERS_LATE: Micros = 2;

/// The named bounds, as set (`limits` in the settings); see docs/settings.md for what each guards.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    pub answer_ahead: Micros,
    pub max_open: usize,
    pub max_clients: usize,
    pub client_idle: Micros,
    pub head_time_out: Micros,
    pub time_to_speak: Micros,
    pub linger: Micros,
    pub largest_head: usize,
    pub largest_body: usize,
    pub pipelined: usize,
    pub waiting_per_client: usize,
    pub waiting_per_worker: usize,
    pub largest_frame: usize,
    pub largest_list: usize,
    pub streams: usize,
    pub streams_wanted: usize,
    pub connections: usize,
    pub all_connections: usize,
    pub connect_time_out: Micros,
    pub idle_close: Micros,
    pub probe_time_out: Micros,
    pub order_time_out: Micros,
    pub save_least: Micros,
    pub stop_within: Micros,
    pub max_retry_after: Micros,
    pub max_functions: usize,
    pub held_bodies: usize,
    pub figures_beyond: f64,
    pub late_arrivals: Micros,
    pub feed_wait: Micros,
    pub feed_silence: Micros,
    /// An answer to an attempt that has had its end may come so long after.
    pub answers_late: Micros,
}

impl Limits {
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let span = |name: &str| settings.duration_us(&format!("limits.{name}-us"));
        let bytes = |name: &str| settings.integer(&format!("limits.{name}-bytes"));
        let count = |name: &str| settings.integer(&format!("limits.{name}"));
        let longest = (0..settings.count("workloads"))
            .map(|n| settings.duration_us(&format!("workloads.{n}.time-limit-us")));
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
            streams: count("streams"),
            streams_wanted: if settings.contains("limits.streams-wanted") {
                count("streams-wanted")
            } else {
                count("streams")
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
            answers_late: ANSWERS_LATE * longest.max().unwrap_or_default(),
        }
    }
}
