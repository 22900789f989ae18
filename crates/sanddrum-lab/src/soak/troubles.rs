//! Which troubles a soak run plays, drawn from its seed: two or three at a time, each tied to a moment that is seen.

use super::servers::Mood as ServerMood;
use sanddrum_net::{Micros, Rng};

const S: Micros = 1_000_000;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Routers' processes are stopped and continued.
    Stop {
        routers: usize,
        span: Micros,
    },
    /// Routers are asked to end, one after the other, and started again.
    Restart {
        routers: usize,
    },
    /// Routers are killed and started again.
    Kill {
        routers: usize,
    },
    /// New configurations that move the feed, so many in a row with so long between them.
    HangUps {
        count: usize,
        gap: Micros,
    },
    /// The wall clock of all machines steps, the servers' too.
    StepAllClocks {
        by: Micros,
    },
    /// The wall clocks of some routers' machines step.
    StepSomeClocks {
        routers: usize,
        by: Micros,
    },
    /// System calls of some routers fail: so many in a million.
    FailingCalls {
        routers: usize,
        rate: u64,
        span: Micros,
    },
    /// Model servers die and others start cold, under new ids, some at their addresses.
    Replace {
        servers: usize,
        same_address: bool,
    },
    /// Model servers drain, leave, and others take their places.
    Drain {
        servers: usize,
    },
    /// Model servers misbehave.
    Misbehave {
        servers: usize,
        mood: ServerMood,
        span: Micros,
    },
    /// Model servers' processes read nothing.
    Freeze {
        servers: usize,
        span: Micros,
    },
    FeedSilent {
        span: Micros,
    },
    /// The feed is out of reach for longer than the pages' clocks; busy servers begin to drain just after that began, and
    /// stay up.
    Outage {
        servers: usize,
        span: Micros,
        drains_after: Micros,
        refuses: bool,
    },
    /// Routers get several signals in a row: new configurations before and while they are asked to end, more than once.
    SignalSeries {
        routers: usize,
        gap: Micros,
    },
    FeedLate {
        by: Micros,
        span: Micros,
    },
    FeedCuts {
        span: Micros,
    },
    /// More clients behave badly.
    BadClients {
        part: f64,
        span: Micros,
    },
    /// More requests come.
    Burst {
        times: f64,
        span: Micros,
    },
}

impl Trouble {
    /// The kind, as the summary counts it.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Stop { .. } => "stop",
            Trouble::Restart { .. } => "restart",
            Trouble::Kill { .. } => "kill",
            Trouble::HangUps { .. } => "hang-ups",
            Trouble::StepAllClocks { .. } => "step-all-clocks",
            Trouble::StepSomeClocks { .. } => "step-some-clocks",
            Trouble::FailingCalls { .. } => "failing-calls",
            Trouble::Replace { .. } => "replace",
            Trouble::Drain { .. } => "drain",
            Trouble::Misbehave { .. } => "misbehave",
            Trouble::Freeze { .. } => "freeze",
            Trouble::FeedSilent { .. } => "feed-silent",
            Trouble::Outage { .. } => "outage",
            Trouble::SignalSeries { .. } => "signal-series",
            Trouble::FeedLate { .. } => "feed-late",
            Trouble::FeedCuts { .. } => "feed-cuts",
            Trouble::BadClients { .. } => "bad-clients",
            Trouble::Burst { .. } => "burst",
        }
    }
    /// Whether it is one of the feed's, which an outage of the feed hides.
    pub fn concerns_feed(&self) -> bool {
        matches!(
            self,
            Trouble::HangUps { .. }
                | Trouble::FeedSilent { .. }
                | Trouble::FeedLate { .. }
                | Trouble::FeedCuts { .. }
                | Trouble::Outage { .. }
        )
    }
    fn drawn(chance: &mut Rng, routers: usize, servers: usize) -> Trouble {
        let some = |chance: &mut Rng, of: usize| 1 + chance.index((of / 4).max(1));
        let span = |chance: &mut Rng, least: Micros, most: Micros| {
            least + chance.index((most - least) as usize) as Micros
        };
        let step = |chance: &mut Rng| {
            let sizes = [-3600 * S, 3600 * S, -7 * S, 5 * S, -2 * S, 900 * S];
            sizes[chance.index(sizes.len())]
        };
        match chance.index(21) {
            0 | 1 => Trouble::Stop {
                routers: some(chance, 2 * routers),
                span: span(chance, S / 10, 3 * S),
            },
            2 => Trouble::Restart {
                routers: some(chance, 2 * routers),
            },
            3 => Trouble::Kill {
                routers: some(chance, routers),
            },
            4 => Trouble::HangUps {
                count: 1 + chance.index(4),
                gap: span(chance, S / 100, S / 2),
            },
            5 => Trouble::StepAllClocks { by: step(chance) },
            6 => Trouble::StepSomeClocks {
                routers: some(chance, 2 * routers),
                by: step(chance),
            },
            7 => Trouble::FailingCalls {
                routers: some(chance, 4 * routers),
                rate: 5_000 + chance.index(60_000) as u64,
                span: span(chance, S, 4 * S),
            },
            8 | 9 => Trouble::Replace {
                servers: some(chance, servers),
                same_address: chance.random_bool(0.5),
            },
            10 => Trouble::Drain {
                servers: some(chance, servers),
            },
            11 => Trouble::Misbehave {
                servers: some(chance, servers),
                mood: ServerMood::TROUBLES[chance.index(ServerMood::TROUBLES.len())],
                span: span(chance, S, 4 * S),
            },
            12 => Trouble::Freeze {
                servers: some(chance, servers),
                span: span(chance, S / 5, 3 * S),
            },
            13 => Trouble::FeedSilent {
                span: span(chance, S, 4 * S),
            },
            14 => Trouble::FeedLate {
                by: span(chance, S / 5, 2 * S),
                span: span(chance, S, 4 * S),
            },
            15 => Trouble::FeedCuts {
                span: span(chance, S / 2, 2 * S),
            },
            17 | 18 => Trouble::Outage {
                servers: some(chance, servers),
                span: span(chance, 8 * S, 14 * S),
                drains_after: span(chance, S / 100, S),
                refuses: chance.random_bool(0.5),
            },
            19 => Trouble::SignalSeries {
                routers: some(chance, 2 * routers),
                gap: span(chance, S / 1000, S / 5),
            },
            _ => match chance.random_bool(0.5) {
                true => Trouble::BadClients {
                    part: 0.5,
                    span: span(chance, S, 3 * S),
                },
                false => Trouble::Burst {
                    times: 2.0,
                    span: span(chance, S, 2 * S),
                },
            },
        }
    }
}

/// What a trouble waits for, so that it crosses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// A router's dial comes to a server.
    Dial,
    /// A client has written a part of a request.
    HalfWritten,
    /// An answer came to a client.
    Answer,
    /// A router asks the feed.
    Watch,
    /// A client has closed its connection.
    Close,
}

impl Moment {
    const ALL: [Moment; 5] = [
        Moment::Dial,
        Moment::HalfWritten,
        Moment::Answer,
        Moment::Watch,
        Moment::Close,
    ];
}

/// A trouble of the plan.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// From then on the moment is waited for.
    pub from: Micros,
    pub moment: Moment,
    /// So long after the moment it begins.
    pub after: Micros,
    pub trouble: Trouble,
}

/// Troubles of one kind overlap in windows of this length.
const WINDOW: Micros = 6 * S;
/// They begin within this of a window's start.
const BEGIN_WITHIN: Micros = 3 * S / 2;

/// The troubles of a run of this length, by their begin.
pub fn plan(chance: &mut Rng, length: Micros, routers: usize, servers: usize) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut window = S;
    while window + WINDOW <= length + S {
        for _ in 0..2 + chance.index(2) {
            planned.push(Planned {
                from: window + chance.index(BEGIN_WITHIN as usize) as Micros,
                moment: Moment::ALL[chance.index(Moment::ALL.len())],
                after: chance.index(20_000) as Micros,
                trouble: Trouble::drawn(chance, routers, servers),
            });
        }
        window += WINDOW;
    }
    planned.sort_by_key(|planned| planned.from);
    planned
}
