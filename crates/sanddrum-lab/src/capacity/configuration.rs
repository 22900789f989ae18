use super::{Plan, Play, Sink, Stop};
use sanddrum_settings::{Problem, Section};

pub const PLAY: Play = Play {
    name: "configuration",
    section: Section {
        name: "configuration-plays",
        dotted: "configuration-plays",
        named: false,
        repeats: false,
        about: "",
        keys: &[],
    },
    check,
    play,
};

fn check(_: &Plan) -> Result<(), Problem> {
    Ok(())
}

fn play(_: &Plan, _: &mut Sink, _: &Stop) -> Result<(), String> {
    Ok(())
}
