//! What a router is told at its start, and the deployment that follows from it: our own settings, written as
//! S-expressions and checked as any others. The decision module's map comes from the dialect alone.

use crate::control_feed::{self as feed, FeedEvents};
use sanddrum::Settings;
use sanddrum_settings::LoadedSettings;
use serde_json::Value as Json;
use std::fmt::Write;
use std::net::SocketAddr;

/// A start configuration that has been read.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    pub name: String,
    pub listen: String,
    pub feed: String,
    pub seed: u64,
    /// Descriptors and memory that this router may have.
    pub sockets: u64,
    pub memory_mb: f64,
    pub known: Json,
    /// The settings as the platform words them, and as the decision module takes them.
    pub settings: Json,
    module: Settings,
}

/// The platform's own words for limits that we have under other names, as the dialect leaves them.
const STREAMS: &str = "limits.streams-per-conn";
const IDLE: &str = "limits.keepalive-us";
const CONNECT: &str = "limits.connect-timeout-us";

/// Descriptors that are neither a client's nor a worker's, with some to spare for connections about to close.
const OWN_DESCRIPTORS: u64 = 32;

/// A router that was asked to end is killed so long after the longest time limit, which counts as this where it is
/// longer, and a tenth of a second is left for the last answers.
const STOP_LONGEST: f64 = 3e6;
const STOP_BEYOND: f64 = 0.7e6 - 0.1e6;

/// What the platform's pages state and no setting tells. Each is told in docs/operating/platform.md.
const LIMITS: &str = include_str!("limits.sx");

impl StartupConfig {
    /// # Errors
    /// What can't be used, by the name of its key.
    pub fn read(text: &str) -> Result<Self, String> {
        let json: Json = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let text = |key: &str| match json[key].as_str() {
            Some(text) if !text.is_empty() => Ok(text.to_string()),
            _ => Err(format!("{key}: a text is wanted")),
        };
        let address = |key: &str| {
            let at = text(key)?;
            at.parse::<SocketAddr>()
                .map_err(|_| format!("{key}: {at:?} is not an IP address and a port"))?;
            Ok::<String, String>(at)
        };
        let seed = text("seed")?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("seed: {seed:?} is not hex digits"))?;
        let limit = |key: &str| {
            let n = json["limits"][key].as_f64().filter(|n| *n >= 1.0);
            n.ok_or_else(|| format!("limits.{key}: a number from 1 on is wanted"))
        };
        if !json["settings"].is_object() {
            return Err("settings: an object is wanted".into());
        }
        let module = sanddrum_platform_config::decision_settings(&json["settings"])
            .map_err(|why| format!("settings.{why}"))?;
        let read = StartupConfig {
            name: text("name")?,
            listen: address("listen")?,
            feed: address("feed")?,
            seed,
            sockets: limit("sockets")? as u64,
            memory_mb: limit("memory_mb")?,
            known: json["known"].clone(),
            settings: json["settings"].clone(),
            module,
        };
        read.feed_events().map_err(|e| format!("known: {e}"))?;
        Ok(read)
    }
    /// The list as it stood when the configuration was written.
    ///
    /// # Errors
    /// What can't be read of it.
    pub fn feed_events(&self) -> Result<FeedEvents, String> {
        feed::parse(&self.known, &self.worker_kinds())
    }
    pub fn worker_kinds(&self) -> Vec<String> {
        sanddrum_platform_config::list_names(&self.settings, "kinds")
    }
    /// The decision module's map.
    pub fn decision_settings(&self) -> Settings {
        self.module.clone()
    }
    /// The edge's own settings.
    ///
    /// # Errors
    /// What is missing or out of bounds.
    pub fn deployment_settings(&self) -> Result<LoadedSettings, String> {
        let text = self.written(&self.module);
        sanddrum_settings::read("settings", &text).map_err(|e| e.to_string())
    }

    fn written(&self, map: &Settings) -> String {
        let number = |name: &str, otherwise: f64| map.number(name).unwrap_or(otherwise);
        let span =
            |name: &str, otherwise: f64| format!("{}us", number(name, otherwise).max(0.0) as i64);
        let mut out = String::new();
        let zones = sanddrum_platform_config::list_names(&self.settings, "azs");
        if !zones.is_empty() {
            let zones: Vec<String> = zones.iter().map(|zone| format!("{zone:?}")).collect();
            let _ = writeln!(out, "(deployment (zones {}))", zones.join(" "));
        }
        let mut longest = 0.0f64;
        for (n, name) in sanddrum_platform_config::list_names(&self.settings, "classes")
            .iter()
            .enumerate()
        {
            let at = |key: &str| format!("workloads.{n}.{key}");
            let effect = map.text(&at("effect")).unwrap_or("run-once");
            let limit = number(&at("time-limit-us"), 5e6).max(1.0);
            // What is wanted later than it is given up is wanted by then.
            let target = number(&at("start-target-us"), 1e6).clamp(1.0, limit);
            longest = longest.max(limit);
            let repeats = match effect {
                "fingerprinted" => {
                    let group = map.text(&at("group")).unwrap_or("all");
                    let window = number(&at("repeat-window-us"), 0.0).max(1.0) as i64;
                    format!(" (group {group}) (repeat-window {window}us)")
                }
                _ => String::new(),
            };
            let _ = writeln!(
                out,
                "(workload {name:?} (start-target {}us) (time-limit {}us) (effect {effect}){repeats})",
                target as i64, limit as i64
            );
        }
        let on_miss = map.text("copies.on-miss").unwrap_or("load");
        // Whether orders are allowed the module reads for itself; a fleet that loads by other means is no mistake here.
        let orders = if map.flag("copies.orders") == Some(true) || on_miss == "miss" {
            "yes"
        } else {
            "no"
        };
        let keep = format!("{}us", number("copies.keep-alive-us", 8e6).max(1.0) as i64);
        let _ = writeln!(
            out,
            "(copies (keep-alive {keep}) (on-miss {on_miss}) (orders {orders}))"
        );
        let _ = writeln!(
            out,
            "(rules (drain-grace {}) (cold-from {}) (cold {}) (fall-multiple {}) (fall {}))",
            span("rules.drain-grace-us", 2e6),
            number("rules.cold-from", 0.2).clamp(0.01, 1.0),
            span("rules.cold-us", 1e7),
            number("rules.fall-multiple", 3.0).clamp(1.0, 100.0),
            span("rules.fall-us", 3e6),
        );
        // A connection is closed before the worker closes it, so that no job is put on one that is on its way out.
        let idle = format!("{}us", (number(IDLE, 3e7) * 0.8) as i64);
        // A front's connections are at most a third of the descriptors; who says nothing sensible has no place beside them.
        let clients = (self.sockets / 3).max(8);
        // All others are for workers but a few: the door, the feed, the loop's own and files.
        let workers = self
            .sockets
            .saturating_sub(clients + OWN_DESCRIPTORS)
            .max(8);
        // Bodies are held twice, in the job and on their way to a worker.
        let bodies = (self.memory_mb / 8.0).max(1.0);
        let stop = format!("{}us", (longest.min(STOP_LONGEST) + STOP_BEYOND) as i64);
        let _ = writeln!(
            out,
            "(limits {LIMITS} (streams {}) (connect-time-out {}) (idle-close {idle}) (order-time-out {}) \
             (max-retry-after {}) (max-executions {}) (max-open {}) (max-clients {clients}) (all-connections {workers}) (held-bodies {bodies}MB) \
             (stop-within {stop}))",
            number(STREAMS, 32.0).clamp(1.0, 1e5) as i64,
            span(CONNECT, 250e3),
            span("copies.order-time-out-us", 1e7),
            span("limits.max-retry-after-us", 2e6),
            number("limits.max-executions", 5.0).clamp(1.0, 100.0) as i64,
            number("limits.max-open", 20e3).clamp(1.0, 1e7) as i64,
        );
        let (me, routers) = (
            number("me", 0.0) as i64,
            number("routers", 1.0).max(1.0) as i64,
        );
        let zone = zones
            .get(number("zone", 0.0) as usize)
            .map(|zone| format!("(zone {zone:?})"));
        let _ = writeln!(
            out,
            "(edge (name {:?}) (listen {:?}) (list {:?}) {} (number {me}) (edges {routers}))",
            self.name,
            self.listen,
            self.feed,
            zone.unwrap_or_default(),
        );
        out
    }
}
