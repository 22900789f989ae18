//! Translates a startup configuration into the edge's own settings, written as S-expressions so that they are read and
//! checked like those of a file. Values missing from the configuration get the platform's defaults; values outside the
//! edge's bounds are clamped.

use crate::StartupConfig;
use sanddrum::Settings;
use sanddrum_settings::quote;

/// Limits that the platform describes but has no settings for. docs/operating/platform.md gives the reason for each.
const FIXED_LIMITS: &str = include_str!("limits.sx");

/// Keys of platform settings that have no name in the decision module.
const STREAMS_PER_CONNECTION: &str = "limits.streams-per-conn";
const KEEP_ALIVE_US: &str = "limits.keepalive-us";
const CONNECT_TIMEOUT_US: &str = "limits.connect-timeout-us";

/// Descriptors reserved for everything other than clients and workers: the listener, the feed, the event loop's own,
/// files, and connections that are about to close.
const RESERVED_DESCRIPTORS: u64 = 32;
/// The minimum of both connection limits, even where the descriptors would allow for fewer.
const MIN_CONNECTIONS: u64 = 8;

/// After SIGTERM the platform waits for the longest time limit, and this much longer, before it kills the router.
const KILL_DELAY_US: f64 = 0.7e6;
/// The time reserved for sending the last responses.
const STOP_MARGIN_US: f64 = 0.1e6;
/// The longest time limit that the platform waits for after SIGTERM.
const MAX_STOP_TIME_LIMIT_US: f64 = 3e6;

/// The fraction of the platform's keep-alive time after which an idle connection is closed: earlier than the worker
/// closes it, so that no request is sent on a closing connection.
const IDLE_CLOSE_FRACTION: f64 = 0.8;
/// The fraction of the router's memory for request bodies. Each is held twice: in the request and while it is sent to
/// a worker.
const BODY_MEMORY_FRACTION: f64 = 1.0 / 8.0;
/// The fraction of the router's memory for incomplete frames from workers.
const WORKER_FRAME_MEMORY_FRACTION: f64 = 1.0 / 16.0;
/// The fraction of the router's memory for responses that clients have not read.
const RESPONSE_MEMORY_FRACTION: f64 = 1.0 / 16.0;
/// The fraction of the router's memory for an answer of the control feed, and the maximum in MB: a list of 3,200 workers
/// takes 0.6 MB.
const FEED_ANSWER_MEMORY_FRACTION: f64 = 1.0 / 16.0;
const MAX_FEED_ANSWER_MB: f64 = 4.0;
/// The fraction of the router's memory for partially received requests. With the smallest memory of the platform, 32 MB,
/// and its most clients, a third of 1,024, each client's share is a largest body with its parameters.
const PARTIAL_REQUEST_MEMORY_FRACTION: f64 = 1.0 / 5.0;

/// Writes the deployment's settings as S-expressions, one section per line.
pub(crate) fn write(config: &StartupConfig, settings: &Settings) -> String {
    let writer = SectionWriter { config, settings };
    let sections = [
        writer.deployment(),
        writer.workloads(),
        writer.instances(),
        writer.rules(),
        writer.limits(),
        writer.edge(),
    ];
    sections.concat()
}

/// Writes each section from the startup configuration.
struct SectionWriter<'a> {
    config: &'a StartupConfig,
    /// The configuration's settings under the decision module's names.
    settings: &'a Settings,
}

impl SectionWriter<'_> {
    fn number(&self, name: &str, default: f64) -> f64 {
        self.settings.number(name).unwrap_or(default)
    }

    /// The text of a duration setting in microseconds, at least zero.
    fn duration(&self, name: &str, default_us: f64) -> String {
        format_micros(self.number(name, default_us).max(0.0))
    }

    fn zones(&self) -> Vec<String> {
        sanddrum_platform_config::list_names(&self.config.settings, "azs")
    }

    fn workload_names(&self) -> Vec<String> {
        sanddrum_platform_config::list_names(&self.config.settings, "classes")
    }

    fn time_limit_us(&self, workload: usize) -> f64 {
        self.number(&workload_key(workload, "time-limit-us"), 5e6)
            .max(1.0)
    }

    fn deployment(&self) -> String {
        let zones: Vec<String> = self.zones().iter().map(|zone| quote(zone)).collect();
        if zones.is_empty() {
            return String::new();
        }
        format!("(deployment (zones {}))\n", zones.join(" "))
    }

    fn workloads(&self) -> String {
        self.workload_names()
            .iter()
            .enumerate()
            .map(|(index, name)| self.workload(index, name))
            .collect()
    }

    fn workload(&self, index: usize, name: &str) -> String {
        let key = |key: &str| workload_key(index, key);
        let effect = self.settings.text(&key("effect")).unwrap_or("run-once");
        let time_limit_us = self.time_limit_us(index);
        // No response counts after the time limit, so a longer objective means the same, and the settings' check
        // rejects it.
        let start_target_us = self
            .number(&key("start-target-us"), 1e6)
            .clamp(1.0, time_limit_us);
        let deduplication = if effect == "fingerprinted" {
            let group = self.settings.text(&key("group")).unwrap_or("all");
            let window_us = self.number(&key("repeat-window-us"), 0.0).max(1.0);
            format!(
                " (group {group}) (repeat-window {})",
                format_micros(window_us)
            )
        } else {
            String::new()
        };
        format!(
            "(workload {} (start-target {}) (time-limit {}) (effect {effect}){deduplication})\n",
            quote(name),
            format_micros(start_target_us),
            format_micros(time_limit_us),
        )
    }

    fn instances(&self) -> String {
        let on_miss = self.settings.text("copies.on-miss").unwrap_or("load");
        // The decision module is configured separately and knows whether load commands are allowed. Here they are also
        // allowed where workers don't load functions themselves: the settings' check rejects a deployment in which
        // nothing can load functions.
        let allows_load_commands =
            self.settings.flag("copies.orders") == Some(true) || on_miss == "miss";
        let orders = if allows_load_commands { "yes" } else { "no" };
        let keep_alive = format_micros(self.number("copies.keep-alive-us", 8e6).max(1.0));
        format!("(copies (keep-alive {keep_alive}) (on-miss {on_miss}) (orders {orders}))\n")
    }

    fn rules(&self) -> String {
        format!(
            "(rules (drain-grace {}) (cold-from {}) (cold {}) (fall-multiple {}) (fall {}))\n",
            self.duration("rules.drain-grace-us", 2e6),
            self.number("rules.cold-from", 0.2).clamp(0.01, 1.0),
            self.duration("rules.cold-us", 1e7),
            self.number("rules.fall-multiple", 3.0).clamp(1.0, 100.0),
            self.duration("rules.fall-us", 3e6),
        )
    }

    fn limits(&self) -> String {
        // Web servers' connections get at most a third of the descriptors, so that idle ones leave enough for workers.
        let max_clients = (self.config.max_descriptors / 3).max(MIN_CONNECTIONS);
        let max_worker_connections = self
            .config
            .max_descriptors
            .saturating_sub(max_clients + RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let body_memory_mb = (self.config.memory_mb * BODY_MEMORY_FRACTION).max(1.0);
        let partial_memory_mb = self.config.memory_mb * PARTIAL_REQUEST_MEMORY_FRACTION;
        let frame_memory_mb = self.config.memory_mb * WORKER_FRAME_MEMORY_FRACTION;
        let response_memory_mb = self.config.memory_mb * RESPONSE_MEMORY_FRACTION;
        let feed_answer_mb =
            (self.config.memory_mb * FEED_ANSWER_MEMORY_FRACTION).min(MAX_FEED_ANSWER_MB);
        let idle_close = format_micros(self.number(KEEP_ALIVE_US, 3e7) * IDLE_CLOSE_FRACTION);
        format!(
            "(limits {FIXED_LIMITS} (streams {}) (connect-time-out {}) (idle-close {idle_close}) \
             (order-time-out {}) (max-retry-after {}) (max-executions {}) (max-open {}) \
             (max-clients {max_clients}) (all-connections {max_worker_connections}) \
             (held-bodies {body_memory_mb}MB) (partial-requests {partial_memory_mb}MB) \
             (worker-frames {frame_memory_mb}MB) \
             (unread-responses {response_memory_mb}MB) (largest-list {feed_answer_mb}MB) (stop-within {}) \
             (cancel {}) (probes {}) (second-copies {}))\n",
            self.number(STREAMS_PER_CONNECTION, 32.0).clamp(1.0, 1e5) as i64,
            self.duration(CONNECT_TIMEOUT_US, 250e3),
            self.duration("copies.order-time-out-us", 1e7),
            self.duration("limits.max-retry-after-us", 2e6),
            self.number("limits.max-executions", 5.0).clamp(1.0, 100.0) as i64,
            self.number("limits.max-open", 20e3).clamp(1.0, 1e7) as i64,
            format_micros(self.stop_within_us()),
            self.permission("limits.cancel"),
            self.permission("limits.probes"),
            self.permission("limits.second-copies"),
        )
    }

    /// Whether the platform allows something; absent flags forbid it.
    fn permission(&self, name: &str) -> &'static str {
        match self.settings.flag(name) {
            Some(true) => "yes",
            Some(false) | None => "no",
        }
    }

    /// The time that the router has for its graceful shutdown, in microseconds.
    fn stop_within_us(&self) -> f64 {
        let longest_time_limit_us = (0..self.workload_names().len())
            .map(|workload| self.time_limit_us(workload))
            .fold(0.0, f64::max);
        longest_time_limit_us.min(MAX_STOP_TIME_LIMIT_US) + (KILL_DELAY_US - STOP_MARGIN_US)
    }

    fn edge(&self) -> String {
        let zone_index = self.number("zone", 0.0) as usize;
        let zone = match self.zones().get(zone_index) {
            Some(zone) => format!("(zone {})", quote(zone)),
            None => String::new(),
        };
        format!(
            "(edge (name {}) (listen {}) (list {}) {zone} (number {}) (edges {}))\n",
            quote(&self.config.name),
            quote(&self.config.listen),
            quote(&self.config.feed),
            self.number("me", 0.0) as i64,
            self.number("routers", 1.0).max(1.0) as i64,
        )
    }
}

fn workload_key(workload: usize, key: &str) -> String {
    format!("workloads.{workload}.{key}")
}

/// A duration as written in settings, in whole microseconds.
fn format_micros(micros: f64) -> String {
    format!("{}us", micros as i64)
}
