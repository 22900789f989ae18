//! The settings and addresses of a soak run's fleet: the routers' start configuration, and the values that the checker
//! and the emulated clients and servers take from it.

use super::observations::{Effect, RouterId, REPEAT_WINDOW};
use sanddrum_net::{EventLoop, Micros, Rng};
use serde_json::{json, Value as Json};
use std::io;
use std::net::TcpListener;

/// Settings that the routers are configured with and checked against.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    pub max_deadline: Micros,
    /// How long after a drain is announced routers may still send to the server.
    pub drain_grace: Micros,
    pub slow_start_duration: Micros,
    /// The fraction of its capacity that a server has when it starts.
    pub initial_capacity_fraction: f64,
    /// Within `slow_start_window` a server in slow start may get this multiple of the requests that it can serve in
    /// that time at its current capacity.
    pub slow_start_multiple: f64,
    pub slow_start_window: Micros,
    /// Mean service time of a request at a model server, on one core.
    pub mean_service_time: Micros,
    pub idle_timeout: Micros,
    pub connect_timeout: Micros,
    pub sends_load_commands: bool,
    pub sends_cancels: bool,
    pub misses_when_cold: bool,
    /// Whether a request may have two attempts at once.
    pub allows_copies: bool,
    pub allows_probes: bool,
    pub max_attempts: u32,
    pub max_descriptors: usize,
    /// Many concurrent clients with their own connections.
    pub has_many_clients: bool,
}

/// Random numbers between those of the other settings and those of the settings on attempts.
const ATTEMPT_SETTINGS_OFFSET: usize = 1_000;

impl SoakSettings {
    /// Creates random settings within the ranges that the platform's documentation allows.
    pub fn random(rng: &mut Rng) -> Self {
        let one_of = |rng: &mut Rng, all: &[i64]| all[rng.index(all.len())];
        let sends_load_commands = rng.random_bool(0.6);
        // Drawn apart, so that the other settings of a seed stay the same.
        let mut attempts_rng = rng.clone();
        for _ in 0..ATTEMPT_SETTINGS_OFFSET {
            attempts_rng.index(2);
        }
        SoakSettings {
            max_deadline: one_of(rng, &[1_500_000, 2_000_000, 2_500_000]),
            drain_grace: 250_000,
            slow_start_duration: one_of(rng, &[6_000_000, 10_000_000]),
            initial_capacity_fraction: 0.2,
            slow_start_multiple: 1.5,
            slow_start_window: 2_000_000,
            mean_service_time: one_of(rng, &[40_000, 60_000]),
            idle_timeout: one_of(rng, &[2_000_000, 5_000_000, 30_000_000]),
            connect_timeout: one_of(rng, &[250_000, 1_000_000]),
            sends_load_commands,
            sends_cancels: rng.random_bool(0.7),
            misses_when_cold: sends_load_commands && rng.random_bool(0.4),
            allows_copies: attempts_rng.random_bool(0.25),
            allows_probes: attempts_rng.random_bool(0.25),
            max_attempts: one_of(&mut attempts_rng, &[1, 4, 5]) as u32,
            max_descriptors: 512,
            has_many_clients: rng.random_bool(0.25),
        }
    }

    /// Returns the start configuration of a router.
    pub fn configuration(&self, router: RouterId, fleet: &Fleet, start_events: Json) -> Json {
        let class = |effect: Effect| {
            json!({"name": effect.class_name(), "effect": effect.as_str(), "worth": 1.0,
                   "aim-us": self.max_deadline / 2, "deadline-us": self.max_deadline,
                   "key-scope": "all", "repeat-window-us": REPEAT_WINDOW})
        };
        json!({
            "name": format!("n{}", router.0),
            "listen": fleet.router_address(router),
            "seed": format!("{:016x}", fleet.seed ^ router.0 as u64 ^ start_events["n"].as_u64().unwrap_or(0) << 20),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.max_descriptors},
            "feed": fleet.feed_address(fleet.feed_listener),
            "known": start_events,
            "settings": {
                "azs": ["here"], "az": 0, "me": router.0, "balancers": fleet.routers, "kinds": ["std"],
                "classes": [class(Effect::Once), class(Effect::Repeatable), class(Effect::ByKey)],
                "family-info": {
                    "if-cold": if self.misses_when_cold { "miss" } else { "load" },
                    "placement-calls": self.sends_load_commands,
                    "idle-life-us": 8_000_000, "load-wait-us": 4_000_000,
                },
                "limits": {
                    "streams-per-conn": 32, "keepalive-us": self.idle_timeout, "try-limit": self.max_attempts,
                    "connect-timeout-us": self.connect_timeout, "cancel": self.sends_cancels,
                    "may-duplicate": self.allows_copies, "probes": self.allows_probes, "max-retry-after-us": 1_000_000,
                },
                "obligations": {
                    "cold-from": self.initial_capacity_fraction, "cold-us": self.slow_start_duration,
                    "fall-multiple": self.slow_start_multiple, "tip-after-us": self.slow_start_window,
                    "stop-sending-within-us": self.drain_grace,
                },
                "stats": {"fields": ["queue", "inflight"], "via": "answers"},
            },
        })
    }

    /// Returns the fraction of its full capacity that a server has at this age.
    pub fn capacity_fraction(&self, age: Micros) -> f64 {
        let age_fraction = (age.max(0) as f64 / self.slow_start_duration as f64).min(1.0);
        self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * age_fraction
    }
    /// Returns how many requests all routers together may send to a server of this size in the `slow_start_window`
    /// that ends at this age: the nominal number plus an allowance for random variation.
    pub fn slow_start_budget(&self, size: f64, age: Micros) -> f64 {
        let full = self.slow_start_multiple * size * self.slow_start_window as f64
            / self.mean_service_time as f64;
        let nominal = full * self.capacity_fraction(age);
        if nominal < 30.0 {
            nominal + 3.0 * nominal.sqrt() + 3.0
        } else {
            nominal + 2.0 * nominal.sqrt() + 2.0
        }
    }
}

/// The sizes and addresses of a run's fleet. Every router, server and feed listener has its own address in
/// 127.0.0.0/8.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub seed: u64,
    /// The second octet of all addresses, which keeps concurrent runs apart.
    pub net: u8,
    pub routers: usize,
    pub servers: usize,
    /// Which of the feed's two listeners is the active one.
    pub feed_listener: usize,
}

impl Fleet {
    /// Values of `net` that runs may use.
    pub const NETS: std::ops::Range<u8> = 64..192;
    /// Returns a fleet at addresses that no other run uses, and the listener of its feed's first address. Whoever holds that
    /// listener has the other addresses as well.
    ///
    /// # Errors
    /// All addresses are in use.
    pub fn reserve(seed: u64, routers: usize, servers: usize) -> io::Result<(Fleet, TcpListener)> {
        let first = Fleet::NETS.start + (seed % Fleet::NETS.len() as u64) as u8;
        let mut nets = (first..Fleet::NETS.end).chain(Fleet::NETS.start..first);
        let reserved = nets.find_map(|net| {
            let fleet = Fleet {
                seed,
                net,
                routers,
                servers,
                feed_listener: 0,
            };
            let (listener, _) = EventLoop::bind(&fleet.feed_address(0)).ok()?;
            Some((fleet, listener))
        });
        reserved.ok_or_else(|| {
            io::Error::other("no loopback addresses are free: too many concurrent runs")
        })
    }
    pub fn router_address(&self, router: RouterId) -> String {
        format!("127.{}.1.{}:7100", self.net, router.0 + 1)
    }
    /// Returns the address of a slot, at which model servers listen one after the other.
    pub fn server_address(&self, slot: usize) -> String {
        format!("127.{}.2.{}:7200", self.net, slot + 1)
    }
    pub fn feed_address(&self, listener: usize) -> String {
        format!("127.{}.3.{}:7300", self.net, listener + 1)
    }
}
