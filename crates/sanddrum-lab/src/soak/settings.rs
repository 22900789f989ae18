//! The settings of a soak run's fleet, as the platform words them, and the figures that the judge and the stand-ins take
//! from them.

use super::ledger::{Effect, RouterId};
use sanddrum_net::{Micros, Rng};
use serde_json::{json, Value as Json};

/// What the routers are told and the judge holds them to.
#[derive(Clone, Debug)]
pub struct Terms {
    pub longest_deadline: Micros,
    pub grace: Micros,
    pub cold: Micros,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall: Micros,
    /// What a request takes at a model server in the mean, on one core.
    pub mean_work: Micros,
    pub idle_close: Micros,
    pub connect_time_out: Micros,
    pub orders: bool,
    pub cancels: bool,
    pub misses: bool,
    pub descriptors: usize,
    /// Many clients at a time, with connections of their own.
    pub has_crowd: bool,
}

impl Terms {
    /// Terms drawn within what the platform's pages allow.
    pub fn drawn(chance: &mut Rng) -> Self {
        let one_of = |chance: &mut Rng, all: &[i64]| all[chance.index(all.len())];
        let orders = chance.random_bool(0.6);
        Terms {
            longest_deadline: one_of(chance, &[1_500_000, 2_000_000, 2_500_000]),
            grace: 250_000,
            cold: one_of(chance, &[6_000_000, 10_000_000]),
            cold_from: 0.2,
            fall_multiple: 1.5,
            fall: 2_000_000,
            mean_work: one_of(chance, &[40_000, 60_000]),
            idle_close: one_of(chance, &[2_000_000, 5_000_000, 30_000_000]),
            connect_time_out: one_of(chance, &[250_000, 1_000_000]),
            orders,
            cancels: chance.random_bool(0.7),
            misses: orders && chance.random_bool(0.4),
            descriptors: 512,
            has_crowd: chance.random_bool(0.25),
        }
    }

    /// The start configuration of a router.
    pub fn configuration(&self, router: RouterId, fleet: &Fleet, known: Json) -> Json {
        let class = |effect: Effect| {
            json!({"name": effect.class(), "effect": effect.word(), "worth": 1.0,
                   "aim-us": self.longest_deadline / 2, "deadline-us": self.longest_deadline})
        };
        json!({
            "name": format!("n{}", router.0),
            "listen": fleet.router_address(router),
            "seed": format!("{:016x}", fleet.seed ^ router.0 as u64 ^ known["n"].as_u64().unwrap_or(0) << 20),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.descriptors},
            "feed": fleet.feed_address(fleet.feed_door),
            "known": known,
            "settings": {
                "azs": ["here"], "az": 0, "me": router.0, "balancers": fleet.routers, "kinds": ["std"],
                "classes": [class(Effect::Once), class(Effect::Repeatable)],
                "family-info": {
                    "if-cold": if self.misses { "miss" } else { "load" }, "placement-calls": self.orders,
                    "idle-life-us": 8_000_000, "load-wait-us": 4_000_000,
                },
                "limits": {
                    "streams-per-conn": 32, "keepalive-us": self.idle_close, "try-limit": 4,
                    "connect-timeout-us": self.connect_time_out, "cancel": self.cancels,
                    "may-duplicate": false, "probes": false, "max-retry-after-us": 1_000_000,
                },
                "obligations": {
                    "cold-from": self.cold_from, "cold-us": self.cold, "fall-multiple": self.fall_multiple,
                    "tip-after-us": self.fall, "stop-sending-within-us": self.grace,
                },
                "stats": {"fields": ["queue", "inflight"], "via": "answers"},
            },
        })
    }

    /// The part of its full capacity that a server of this age has.
    pub fn warmth(&self, age: Micros) -> f64 {
        let part = (age.max(0) as f64 / self.cold as f64).min(1.0);
        self.cold_from + (1.0 - self.cold_from) * part
    }
    /// Calls that all routers together may send within `fall` to a server of this size, the span ending at this age: N, and
    /// what chance may add.
    pub fn slow_start_budget(&self, size: f64, age: Micros) -> f64 {
        let full = self.fall_multiple * size * self.fall as f64 / self.mean_work as f64;
        let n = full * self.warmth(age);
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }
}

/// Where everybody is. Every party has an address of its own in 127.0.0.0/8.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub seed: u64,
    /// The second number of all addresses, so that runs at a time keep apart.
    pub net: u8,
    pub routers: usize,
    pub servers: usize,
    /// Which of the feed's two addresses is the one in force.
    pub feed_door: usize,
}

impl Fleet {
    /// Numbers of addresses that runs may take.
    pub const NETS: std::ops::Range<u8> = 64..192;
    pub fn router_address(&self, router: RouterId) -> String {
        format!("127.{}.1.{}:7100", self.net, router.0 + 1)
    }
    /// A place at which model servers listen, one after the other.
    pub fn server_address(&self, place: usize) -> String {
        format!("127.{}.2.{}:7200", self.net, place + 1)
    }
    pub fn feed_address(&self, door: usize) -> String {
        format!("127.{}.3.{}:7300", self.net, door + 1)
    }
}
