//! What the list service holds, and what a whole list and a change take it: its core alone, with callers that take all
//! that is written at once.

use super::clock::Clock;
use super::discovery_environment::row;
use super::discovery_load::{list_spec, most_of};
use super::{Plan, Point, Role, Sink, Source, Stop};
use sanddrum_emulator::{DiscoveryFaults, DiscoveryService};
use sanddrum_net::{ConnectionId, Core, Event, Io, ListenerId, Micros};
use sanddrum_wire::{frame::encode_frame, EndpointRecord, Hello, ToDiscovery, Watch, VERSION};
use std::cell::RefCell;
use std::rc::Rc;

/// Whole lists, or changes, that are timed.
const TIMED: u64 = 20;

/// Takes all that is written.
#[derive(Default)]
struct Takes {
    bytes: u64,
}

impl Io for Takes {
    fn connect(&mut self, _: &str) -> ConnectionId {
        ConnectionId(0)
    }
    fn write(&mut self, _: ConnectionId, bytes: &[u8]) -> usize {
        self.bytes += bytes.len() as u64;
        bytes.len()
    }
    fn close(&mut self, _: ConnectionId) {}
    fn reset(&mut self, _: ConnectionId) {}
    fn pause(&mut self, _: ConnectionId, _: bool) {}
    fn save_state(&mut self, _: &[u8]) {}
}

/// The memory that this process has in use, in bytes.
fn resident() -> Result<u64, String> {
    let file = "/proc/self/status";
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kilobytes
        .map(|kb| kb * 1024)
        .ok_or_else(|| format!("{file}: no VmRSS"))
}

/// The service's core with callers that come one after the other, each once the one before has its answer.
struct Alone {
    service: DiscoveryService,
    io: Takes,
    now: Micros,
    whole: Micros,
    notice: Micros,
    callers: u64,
    /// How often the worker that changes has started.
    incarnation: u64,
}

/// The worker that changes, beside all callers.
const WORKER: ConnectionId = ConnectionId(u64::MAX);

impl Alone {
    fn new(plan: &Plan, rows: u64) -> Self {
        let (spec, now) = (list_spec(plan), 1_000_000_000);
        let zones = plan.settings.integer("capacity.zones");
        let rows: Vec<_> = (0..rows as usize).map(|n| row(n, zones)).collect();
        let (whole, notice) = (spec.snapshot_cost, spec.max_publish_delay);
        let service = DiscoveryService::new(
            spec,
            plan.seed,
            1,
            Rc::new(RefCell::new(DiscoveryFaults::default())),
        );
        let service = service.with_endpoints(now, &rows);
        let mut alone = Alone {
            service,
            io: Takes::default(),
            now,
            whole,
            notice,
            callers: 0,
            incarnation: 1,
        };
        alone.service.on_event(
            now,
            Event::Accepted {
                conn: WORKER,
                listener: ListenerId(0),
            },
            &mut alone.io,
        );
        alone
    }
    /// A worker tells that it has started anew, and all callers are told.
    fn change(&mut self) {
        self.incarnation += 1;
        let register = ToDiscovery::Register(EndpointRecord {
            incarnation: self.incarnation,
            ..row(0, 1)
        });
        let event = Event::Bytes {
            conn: WORKER,
            bytes: &encode_frame(&register),
        };
        self.service.on_event(self.now, event, &mut self.io);
        self.now += self.notice + 1;
        self.service.process(self.now, &mut self.io);
    }
    /// One more router calls and is told the whole list.
    fn caller(&mut self) {
        let (conn, door) = (ConnectionId(self.callers), ListenerId(0));
        self.callers += 1;
        self.now += self.whole + 1;
        let name = crate::Scenario::edge_name(self.callers as usize);
        let hello = ToDiscovery::Hello(Hello {
            version: VERSION,
            name,
            incarnation: 1,
            age_us: None,
        });
        let bytes = [
            encode_frame(&hello),
            encode_frame(&ToDiscovery::Watch(Watch::default())),
        ]
        .concat();
        self.service.on_event(
            self.now,
            Event::Accepted {
                conn,
                listener: door,
            },
            &mut self.io,
        );
        self.service.on_event(
            self.now,
            Event::Bytes {
                conn,
                bytes: &bytes,
            },
            &mut self.io,
        );
        self.service.process(self.now, &mut self.io);
    }
}

struct Telling<'a> {
    sink: &'a mut Sink,
}

impl Telling<'_> {
    fn tell(
        &mut self,
        play: String,
        figure: &str,
        unit: &'static str,
        (axis, at): (&'static str, u64),
        value: f64,
    ) -> Result<(), String> {
        let (role, source) = (Role::ListService, Source::Played);
        let figure = figure.to_string();
        self.sink.point(Point {
            role,
            play,
            figure,
            unit,
            axis,
            at: at as f64,
            value,
            source,
        })
    }
}

/// Memory against rows and against routers, and a whole list against rows. Memory is what the process has more of, so
/// what is measured is kept until all is.
pub(super) fn alone(
    plan: &Plan,
    routers: &[u64],
    rows: &[u64],
    sink: &mut Sink,
    stop: &Stop,
) -> Result<(), String> {
    let most = most_of(rows);
    let mut kept = Vec::new();
    let mut telling = Telling { sink };
    for at in rows {
        if stop.is_set() {
            return Ok(());
        }
        // Small ones several times over, as a process grows by pages.
        let copies = (most / at).max(1);
        let before = resident()?;
        kept.extend((0..copies).map(|_| Alone::new(plan, *at)));
        let each = resident()?.saturating_sub(before) as f64 / copies as f64;
        telling.tell(
            "alone, no router".into(),
            "memory",
            "bytes",
            ("rows", *at),
            each,
        )?;
        let Some(alone) = kept.last_mut() else {
            continue;
        };
        let (sent, began) = (alone.io.bytes, Clock::now());
        (0..TIMED).for_each(|_| alone.caller());
        let nanoseconds = (Clock::now() - began) as f64 / TIMED as f64;
        let bytes = (alone.io.bytes - sent) as f64 / TIMED as f64;
        telling.tell(
            "a whole list".into(),
            "processor time",
            "us",
            ("rows", *at),
            nanoseconds / 1e3,
        )?;
        telling.tell(
            "a whole list".into(),
            "bytes out",
            "bytes",
            ("rows", *at),
            bytes,
        )?;
    }
    for rows in [rows.iter().copied().min().unwrap_or(1), most] {
        let mut alone = Alone::new(plan, rows);
        let before = resident()?;
        for at in routers {
            while alone.callers < *at {
                alone.caller();
                if stop.is_set() {
                    return Ok(());
                }
            }
            let more = resident()?.saturating_sub(before) as f64;
            let (play, at) = (format!("alone, {rows} rows"), ("routers", *at));
            telling.tell(play, "memory for routers", "bytes", at, more)?;
            let (sent, began) = (alone.io.bytes, Clock::now());
            (0..TIMED).for_each(|_| alone.change());
            let nanoseconds = (Clock::now() - began) as f64 / TIMED as f64;
            let bytes = (alone.io.bytes - sent) as f64 / TIMED as f64;
            let play = format!("a change, {rows} rows");
            telling.tell(play.clone(), "processor time", "us", at, nanoseconds / 1e3)?;
            telling.tell(play, "bytes out", "bytes", at, bytes)?;
        }
        kept.push(alone);
    }
    Ok(())
}
