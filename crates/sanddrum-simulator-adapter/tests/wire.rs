//! The adapter as a process: what it answers to lines of the simulator's wire.

use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Plays batches, each at its clock, and gives the process's end with all it wrote.
fn play(batches: &[(i64, Vec<Value>)]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sanddrum-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = String::new();
    for (clock, events) in batches {
        let framed = [&[json!(["clock", clock])][..], events, &[json!(["end"])]].concat();
        framed.iter().for_each(|line| lines += &format!("{line}\n"));
    }
    child
        .stdin
        .take()
        .unwrap()
        .write_all(lines.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn actions(output: &Output, word: &str) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines.filter(|line| line[0] == word).collect()
}

fn start(mode: &str, effect: &str) -> Vec<Value> {
    let settings = json!({
        "me": 0, "balancers": 1, "membership-mode": mode, "obligations": {"ask-every-us": 8000000},
        "classes": [{"name": "job", "aim-us": 500000, "deadline-us": 2000000, "effect": effect}],
        "limits": {"try-limit": 3}, "family-info": {"if-cold": "load", "idle-life-us": 8000000},
    });
    let row = json!([0, 1.0, "IN", 0, null, "10.0.0.1:90", 0]);
    vec![
        json!(["power-on", "router_0", 7, settings]),
        json!(["snapshot-rows", 0, [row]]),
        json!(["peers-known", "router_0", "cached", 1, 0]),
    ]
}

#[rstest]
#[case::that_must_be_asked("subscribe", 2)]
#[case::that_comes_by_itself("automatic", 0)]
fn a_list_is_listened_to_at_the_start_and_after_a_failure(
    #[case] mode: &str,
    #[case] calls: usize,
) {
    let failed = json!(["peers-known", "router_0", "failed", 1, null]);
    let due = |at| (at, vec![json!(["due", "router_0", "wake"])]);
    let mut batches = vec![(1_000, start(mode, "once"))];
    if calls > 0 {
        batches.push((2_000, vec![failed]));
    }
    batches.push(due(2_100_000));
    let output = play(&batches);
    assert!(output.status.success());
    assert_eq!(
        actions(&output, "listen"),
        vec![json!(["listen", "router_0", true]); calls]
    );
}

#[rstest]
fn nothing_is_said_of_a_job_whose_answer_has_begun() {
    let job = json!([
        "incoming",
        "router_0",
        "rq_a",
        1_002_000,
        null,
        "0000007c55d20a01",
        0,
        0,
        100,
        0,
        1,
        null
    ]);
    let begun = json!(["accepted", "router_0", "rq_a", 0, "10.0.0.1:90", 9_250]);
    let due = json!(["due", "router_0", "wake"]);
    let with = |events: Vec<Value>| {
        let batches = [
            (1_000, start("automatic", "once")),
            (2_000, vec![job.clone()]),
            (3_000, events),
        ]
        .to_vec();
        play(&[&batches[..], &[(1_002_000, vec![due.clone()])]].concat())
    };
    assert_eq!(actions(&with(vec![]), "abort").len(), 1, "its time is up");
    assert_eq!(actions(&with(vec![begun]), "abort").len(), 0);
}

#[rstest]
fn a_setting_that_can_not_be_used_ends_the_start_by_its_key() {
    let output = play(&[(1_000, start("automatic", "twice"))]);
    assert!(!output.status.success());
    let why = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        why.contains("boot-info: classes.0.effect: \"twice\""),
        "{why}"
    );
}
