//! What web servers, workers and the control feed of the platform say to the edge of a story.

use super::{Do, Host};
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, Record, RecordType};
use sanddrum_net::ConnectionId;
use serde_json::json;

pub const CALL: &str = "9b1f03aa5c7e2d41";
pub const OTHER: &str = "00000000000000aa";
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

pub fn usual(call: &str) -> Vec<(&'static str, String)> {
    vec![
        ("SCRIPT_NAME", "/rpc/job".into()),
        ("HTTP_X_CALL_ID", call.into()),
        ("HTTP_X_PATIENCE_MS", "1500".into()),
        ("HTTP_X_ENTITY", FUNCTION.into()),
        ("HTTP_X_INFO", "memory_mb:512;lanes:2;load_ms:640".into()),
    ]
}
pub fn request(id: u16, pairs: &[(&'static str, String)], body: &[u8]) -> Vec<u8> {
    let pairs: Vec<(&str, &str)> = pairs
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let mut out = Vec::new();
    write_begin_request(&mut out, id, true);
    write_stream(&mut out, RecordType::Params, id, &encode_params(&pairs));
    write_stream(&mut out, RecordType::Stdin, id, body);
    out
}
pub fn asks(host: &mut Host, front: ConnectionId, id: u16, call: &str) {
    host.says(front, &request(id, &usual(call), b"in"));
}
/// Whole answers by request number: the CGI response and the protocol status.
pub fn answers(host: &Host, front: ConnectionId) -> Vec<(u16, String, u8)> {
    let bytes = host.io.wrote.get(&front).cloned().unwrap_or_default();
    let (mut at, mut texts, mut whole) = (
        0,
        std::collections::BTreeMap::<u16, String>::new(),
        Vec::new(),
    );
    while let Some((record, took)) = Record::read(&bytes[at..]).unwrap() {
        match record.kind {
            RecordType::Stdout => texts
                .entry(record.id)
                .or_default()
                .push_str(&String::from_utf8_lossy(record.content)),
            RecordType::EndRequest => whole.push((
                record.id,
                texts.remove(&record.id).unwrap_or_default(),
                record.content[4],
            )),
            _ => {}
        }
        at += took;
    }
    whole
}
pub fn statuses(host: &Host, front: ConnectionId) -> Vec<(u16, String)> {
    let status = |text: &str| text.lines().next().unwrap_or_default().to_string();
    answers(host, front)
        .iter()
        .map(|(id, text, _)| (*id, status(text)))
        .collect()
}
/// The last connection that is not the feed's.
pub fn worker(host: &Host) -> ConnectionId {
    host.io.connects.last().unwrap().0
}
pub fn told(host: &mut Host, n: u64, member: serde_json::Value) {
    let json =
        json!({"n": n, "events": [{"n": n, "members": {"complete": false, "members": [member]}}]});
    let answer = sanddrum_wire::http::encode_response(200, &[], json.to_string().as_bytes(), true);
    host.says(host.list, &answer);
}
pub fn member(id: &str, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": "10.0.0.1:7001", "locality": "a", "phase": phase, "size": 4, "up_since_ms": 0})
}
/// A web server whose job is out at the worker; its request's number is 1.
pub fn job_out(host: &mut Host) -> (ConnectionId, ConnectionId) {
    let front = host.client();
    host.strings
        .borrow_mut()
        .deeds
        .push(Do::Execute(0, 1_400_000));
    asks(host, front, 1, CALL);
    let worker = worker(host);
    host.up(worker);
    (front, worker)
}
pub fn call_number() -> u64 {
    u64::from_str_radix(CALL, 16).unwrap()
}
