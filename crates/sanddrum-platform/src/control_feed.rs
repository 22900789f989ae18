//! The control feed: numbered events that change the list of model servers, asked for over HTTP/1.1.

use sanddrum::Micros;
use sanddrum_wire::{EndpointRecord, Phase};
use serde_json::Value as Json;

/// A model server as the feed describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// All but its start, which [`crate::starts`] works out from the date below.
    pub endpoint: EndpointRecord,
    /// When its process started, in Unix milliseconds by the servers' wall clock; nought: long ago.
    pub up_since_ms: i64,
}

/// What an event says of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipUpdate {
    /// The whole list, or only what has changed.
    pub is_full_snapshot: bool,
    pub members: Vec<Member>,
}

/// One event of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedEvent {
    pub number: u64,
    /// None where the event is about something else than the list.
    pub members: Option<MembershipUpdate>,
}

/// What the feed has told: the last number, and the events up to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedEvents {
    pub last_number: u64,
    pub events: Vec<FeedEvent>,
}

/// The request for what follows event `n`; the answer comes by itself within `wait`.
pub fn poll_request(address: &str, n: u64, wait: Micros) -> Vec<u8> {
    let ms = wait / 1000;
    format!(
        "GET /v1/events?SUB={n}&wait={ms} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    )
    .into_bytes()
}

/// An answer of the feed, or the configuration's `known`. Kinds of machine count by their place in `kinds`.
///
/// # Errors
/// What can't be read, by its name.
pub fn parse(json: &Json, kinds: &[String]) -> Result<FeedEvents, String> {
    let last = json["n"].as_u64().ok_or("n: a whole number is wanted")?;
    let events = match &json["events"] {
        Json::Null => &[][..],
        events => events.as_array().ok_or("events: a list is wanted")?,
    };
    let changes = events
        .iter()
        .map(|event| change(event, kinds))
        .collect::<Result<_, _>>()?;
    Ok(FeedEvents {
        last_number: last,
        events: changes,
    })
}

fn change(event: &Json, kinds: &[String]) -> Result<FeedEvent, String> {
    let n = event["n"]
        .as_u64()
        .ok_or("events: n: a whole number is wanted")?;
    let members = &event["members"];
    if members.is_null() {
        return Ok(FeedEvent {
            number: n,
            members: None,
        });
    }
    let complete = members["complete"].as_bool().unwrap_or(false);
    let list = members["members"]
        .as_array()
        .ok_or("members: a list is wanted")?;
    let members = list
        .iter()
        .map(|member| read_member(member, kinds))
        .collect::<Result<_, _>>()?;
    Ok(FeedEvent {
        number: n,
        members: Some(MembershipUpdate {
            is_full_snapshot: complete,
            members,
        }),
    })
}

fn read_member(member: &Json, kinds: &[String]) -> Result<Member, String> {
    let text = |name: &str| member[name].as_str().map(String::from);
    let name = text("id").ok_or("members: id: a text is wanted")?;
    let phase = match member["phase"].as_str() {
        Some("in_service") => Phase::Ready,
        Some("terminating") => Phase::Draining,
        Some("terminated") => Phase::Gone,
        other => return Err(format!("members: phase: unknown {other:?}")),
    };
    let kind = member["flavor"]
        .as_str()
        .and_then(|flavor| kinds.iter().position(|kind| kind == flavor));
    let row = EndpointRecord {
        address: text("host_port").unwrap_or_default(),
        zone: text("locality").unwrap_or_default(),
        cell: member["cell"].as_u64().unwrap_or(0) as u32,
        kind: kind.unwrap_or(kinds.len()) as u32,
        size: member["size"].as_f64().unwrap_or(1.0),
        phase,
        incarnation: 0,
        age_us: -1,
        name,
    };
    Ok(Member {
        endpoint: row,
        up_since_ms: member["up_since_ms"].as_i64().unwrap_or(0).max(0),
    })
}
