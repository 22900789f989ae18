//! Runs the adapter as a process and checks its answers to messages of the simulator's protocol.

use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter until it exits. Its input is a list of batches, each with its clock time and its messages.
fn run_adapter(batches: &[(i64, Vec<Value>)]) -> Output {
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

/// The messages with this name in the adapter's output.
fn messages(output: &Output, name: &str) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines.filter(|line| line[0] == name).collect()
}

/// The messages that start a router with one worker.
fn start(mode: &str, effect: &str) -> Vec<Value> {
    let settings = json!({
        "me": 0, "balancers": 1, "membership-mode": mode, "obligations": {"ask-every-us": 8000000},
        "classes": [{"name": "job", "aim-us": 500000, "deadline-us": 2000000, "effect": effect}],
        "limits": {"try-limit": 3}, "family-info": {"if-cold": "load", "idle-life-us": 8000000},
    });
    let endpoint = json!([0, 1.0, "IN", 0, null, "10.0.0.1:90", 0]);
    vec![
        json!(["power-on", "router_0", 7, settings]),
        json!(["snapshot-rows", 0, [endpoint]]),
        json!(["peers-known", "router_0", "cached", 1, 0]),
    ]
}

#[rstest]
#[case::subscribe_mode("subscribe", 2)]
#[case::automatic_mode("automatic", 0)]
fn router_subscribes_at_start_and_after_a_failed_list_in_subscribe_mode_only(
    #[case] mode: &str,
    #[case] subscriptions: usize,
) {
    let failed = json!(["peers-known", "router_0", "failed", 1, null]);
    let due = |at| (at, vec![json!(["due", "router_0", "wake"])]);
    let mut batches = vec![(1_000, start(mode, "once"))];
    if subscriptions > 0 {
        batches.push((2_000, vec![failed]));
    }
    batches.push(due(2_100_000));
    let output = run_adapter(&batches);
    assert!(output.status.success());
    assert_eq!(
        messages(&output, "listen"),
        vec![json!(["listen", "router_0", true]); subscriptions]
    );
}

#[rstest]
fn request_does_not_fail_at_its_deadline_once_its_answer_has_begun() {
    let request = json!([
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
            (2_000, vec![request.clone()]),
            (3_000, events),
        ]
        .to_vec();
        run_adapter(&[&batches[..], &[(1_002_000, vec![due.clone()])]].concat())
    };
    assert_eq!(
        messages(&with(vec![]), "abort").len(),
        1,
        "a request without an answer fails at its deadline"
    );
    assert_eq!(messages(&with(vec![begun]), "abort").len(), 0);
}

#[rstest]
fn invalid_setting_is_reported_with_its_key() {
    let output = run_adapter(&[(1_000, start("automatic", "twice"))]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        error.contains("boot-info: classes.0.effect: \"twice\""),
        "{error}"
    );
}
