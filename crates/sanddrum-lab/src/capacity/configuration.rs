//! How long a change of the configuration takes from its writing to the last router that acts on it. No mechanism
//! carries one to all routers today; what exists is told.

use super::{Benchmark, Plan, Point, Role, Sink, Source, Stop};
use sanddrum_settings::{Occurrence, Section, SettingsError};

pub const BENCHMARK: Benchmark = Benchmark {
    name: "configuration",
    section: Section {
        name: "configuration-plays",
        prefix: "configuration-plays",
        occurrence: Occurrence::Once,
        description: "nothing is to be set: no mechanism carries the configuration to routers",
        keys: &[],
    },
    check,
    run,
};

fn check(_: &Plan) -> Result<(), SettingsError> {
    Ok(())
}

/// A router on the platform looks at its start configuration on SIGHUP, and as seldom as this (sanddrum-cli,
/// platform.rs). It takes the feed's address alone; the rest holds from its next start.
const PLATFORM: f64 = 3_600.0;

/// What routers read anew while they run, with how often they look, once somebody has put the file on their machine.
/// On SIGHUP they look at once.
const WATCHED: [(&str, &str); 2] = [
    (
        "the key set, by each router from its own file",
        "identity.watch-every-us",
    ),
    (
        "certificates, roots and lists of the revoked, by each router from its own files",
        "tls.watch-every-us",
    ),
];

fn run(plan: &Plan, sink: &mut Sink, _: &Stop) -> Result<(), String> {
    let l = &plan.settings;
    let routers = l.number("capacity.routers");
    let mut tell = |play: &str, figure: &str, unit: &'static str, value: f64| {
        sink.point(Point {
            role: Role::Configuration,
            play: play.into(),
            figure: figure.into(),
            unit,
            axis: "routers",
            at: routers,
            value,
            source: Source::WorkedOut,
        })
    };
    tell(
        "a change of the configuration: no mechanism today carries it to all routers",
        "mechanisms",
        "mechanisms",
        0.0,
    )?;
    for (what, every) in WATCHED {
        let play = format!("a file that is already on every router's machine: {what}");
        tell(
            &play,
            "looked at every",
            "s",
            l.duration_us(every) as f64 / 1e6,
        )?;
    }
    let play = "a file that is already on every router's machine: the start configuration on the platform, of which only \
                the feed's address is taken up";
    tell(play, "looked at every", "s", PLATFORM)?;
    let a_day = l.number("capacity.changes");
    tell(
        "changes of the configuration",
        "a second, in the mean",
        "changes",
        a_day / 86_400.0,
    )
}
