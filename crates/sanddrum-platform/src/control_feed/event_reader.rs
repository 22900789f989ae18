//! Decodes the feed's events from JSON tokens, so that no more than one event is in memory at a time.

use super::{FeedError, FeedEvent, Member, MembershipUpdate, UNKNOWN_AGE_US};
use crate::json_stream::{Token, ValueSkipper};
use sanddrum_wire::{EndpointRecord, Phase};

/// The relative capacity of a worker whose size the feed does not state.
const DEFAULT_SIZE: f64 = 1.0;
/// Maximum number of kinds of machine that are distinguished; further ones count as unknown.
const MAX_KINDS: usize = 256;
/// The index of a kind that is not distinguished.
const UNRESOLVED_KIND: u32 = u32::MAX;

/// Where the next token belongs. The JSON is `{"n":..,"events":[{"n":..,"members":{"members":[{..}]}}]}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Before the object of the feed's response.
    Start,
    /// In the object of the response.
    Response,
    /// In the array of events.
    Events,
    /// In an event.
    Event,
    /// In an event's change of the list of workers.
    Update,
    /// In the array of the changed workers.
    Members,
    /// In a worker.
    Member,
    /// Behind the response.
    End,
}

/// The field whose value is received next. Fields that are not needed are [`Field::Other`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    Other,
    Number,
    Events,
    Members,
    Complete,
    Id,
    Address,
    Zone,
    Kind,
    Cell,
    Phase,
    Size,
    UpSince,
}

impl Field {
    fn at(position: Position, key: &str) -> Field {
        match (position, key) {
            (Position::Response | Position::Event, "n") => Field::Number,
            (Position::Response, "events") => Field::Events,
            (Position::Event | Position::Update, "members") => Field::Members,
            (Position::Update, "complete") => Field::Complete,
            (Position::Member, "id") => Field::Id,
            (Position::Member, "host_port") => Field::Address,
            (Position::Member, "locality") => Field::Zone,
            (Position::Member, "flavor") => Field::Kind,
            (Position::Member, "cell") => Field::Cell,
            (Position::Member, "phase") => Field::Phase,
            (Position::Member, "size") => Field::Size,
            (Position::Member, "up_since_ms") => Field::UpSince,
            _ => Field::Other,
        }
    }
}

/// The kinds of machine that events have named, by their index in [`EndpointRecord::kind`] until they are resolved.
#[derive(Debug, Default)]
pub(crate) struct MachineKinds {
    names: Vec<String>,
}

impl MachineKinds {
    fn index(&mut self, name: &str) -> u32 {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or(self.names.len());
        if index >= MAX_KINDS {
            return UNRESOLVED_KIND;
        }
        if known.is_none() {
            self.names.push(name.to_string());
        }
        index as u32
    }

    /// Replaces the kinds of an event's workers by their indexes in `kinds`, or `kinds.len()` if they are not in it.
    pub fn resolve(&self, event: &mut FeedEvent, kinds: &[String]) {
        let members = event.members.iter_mut().flat_map(|list| &mut list.members);
        for member in members {
            let name = self.names.get(member.endpoint.kind as usize);
            let index = name.and_then(|name| kinds.iter().position(|kind| kind == name));
            member.endpoint.kind = index.unwrap_or(kinds.len()) as u32;
        }
    }
}

/// A worker without values.
fn empty_member() -> Member {
    Member {
        endpoint: EndpointRecord {
            size: DEFAULT_SIZE,
            kind: UNRESOLVED_KIND,
            age_us: UNKNOWN_AGE_US,
            ..EndpointRecord::default()
        },
        up_since_ms: 0,
    }
}

/// Decodes the feed's events. Events up to a number that is already known are skipped.
pub(crate) struct EventReader {
    /// The number of the last event that is already known.
    known_number: u64,
    last_number: Option<u64>,
    kinds: MachineKinds,
    position: Position,
    field: Field,
    skipper: ValueSkipper,
    event_number: Option<u64>,
    update: Option<MembershipUpdate>,
    has_members: bool,
    member: Member,
    phase: Option<Phase>,
    has_id: bool,
}

impl EventReader {
    /// A reader that skips the events up to `known_number`.
    pub fn new(known_number: u64) -> Self {
        EventReader {
            known_number,
            last_number: None,
            kinds: MachineKinds::default(),
            position: Position::Start,
            field: Field::Other,
            skipper: ValueSkipper::default(),
            event_number: None,
            update: None,
            has_members: false,
            member: empty_member(),
            phase: None,
            has_id: false,
        }
    }

    /// Takes the next token. Returns the event that it completes, if any.
    ///
    /// # Errors
    /// [`FeedError`], which names the key.
    pub fn push(&mut self, token: Token<'_>) -> Result<Option<FeedEvent>, FeedError> {
        if self.skipper.is_active() {
            self.skipper.skip(token);
            return Ok(None);
        }
        if let Token::Key(key) = token {
            self.field = Field::at(self.position, key);
            return Ok(None);
        }
        match self.position {
            Position::Start => self.start(token),
            Position::Response => self.in_response(token)?,
            Position::Events => self.in_events(token)?,
            Position::Event => return self.in_event(token),
            Position::Update => self.in_update(token)?,
            Position::Members => self.in_members(token)?,
            Position::Member => self.in_member(token)?,
            Position::End => self.skipper.skip(token),
        }
        Ok(None)
    }

    /// Whether part of the response has been received.
    pub fn is_active(&self) -> bool {
        self.skipper.is_active() || !matches!(self.position, Position::Start | Position::End)
    }

    /// The number of the feed's last event, and the kinds of machine that the events named.
    ///
    /// # Errors
    /// The response does not state that number.
    pub fn finish(self) -> Result<(u64, MachineKinds), FeedError> {
        let last_number = self.last_number.ok_or(not_a_number("n"))?;
        Ok((last_number, self.kinds))
    }

    fn start(&mut self, token: Token<'_>) {
        if token == Token::StartObject {
            self.position = Position::Response;
            return;
        }
        // A response that is not an object has no number.
        self.position = Position::End;
        self.skipper.skip(token);
    }

    fn in_response(&mut self, token: Token<'_>) -> Result<(), FeedError> {
        match (token, self.field) {
            (Token::EndObject, _) => self.position = Position::End,
            (token, Field::Number) => self.last_number = Some(number(token, "n")?),
            (Token::StartArray, Field::Events) => self.position = Position::Events,
            (Token::Null, Field::Events) => {}
            (_, Field::Events) => return Err(not_an_array("events")),
            _ => self.skipper.skip(token),
        }
        Ok(())
    }

    fn in_events(&mut self, token: Token<'_>) -> Result<(), FeedError> {
        match token {
            Token::EndArray => self.position = Position::Response,
            Token::StartObject => {
                self.position = Position::Event;
                self.event_number = None;
                self.update = None;
            }
            _ => return Err(not_a_number("events: n")),
        }
        Ok(())
    }

    fn in_event(&mut self, token: Token<'_>) -> Result<Option<FeedEvent>, FeedError> {
        match (token, self.field) {
            (Token::EndObject, _) => return self.end_event(),
            (token, Field::Number) => self.event_number = Some(number(token, "events: n")?),
            (Token::Null, Field::Members) => {}
            (Token::StartObject, Field::Members) if self.is_known() => self.skipper.skip(token),
            (Token::StartObject, Field::Members) => {
                self.position = Position::Update;
                self.update = Some(MembershipUpdate::default());
                self.has_members = false;
            }
            (_, Field::Members) => return Err(not_an_array("members")),
            _ => self.skipper.skip(token),
        }
        Ok(None)
    }

    /// Whether the current event's number, if it has been received, is that of a known event.
    fn is_known(&self) -> bool {
        self.event_number
            .is_some_and(|number| number <= self.known_number)
    }

    fn end_event(&mut self) -> Result<Option<FeedEvent>, FeedError> {
        self.position = Position::Events;
        let number = self.event_number.ok_or(not_a_number("events: n"))?;
        let members = self.update.take();
        Ok((number > self.known_number).then_some(FeedEvent { number, members }))
    }

    fn in_update(&mut self, token: Token<'_>) -> Result<(), FeedError> {
        match (token, self.field) {
            (Token::EndObject, _) if self.has_members => self.position = Position::Event,
            (Token::EndObject, _) => return Err(not_an_array("members")),
            (Token::StartArray, Field::Members) => {
                self.position = Position::Members;
                self.has_members = true;
            }
            (_, Field::Members) => return Err(not_an_array("members")),
            (Token::Bool(is_complete), Field::Complete) => {
                if let Some(update) = &mut self.update {
                    update.is_full_snapshot = is_complete;
                }
            }
            _ => self.skipper.skip(token),
        }
        Ok(())
    }

    fn in_members(&mut self, token: Token<'_>) -> Result<(), FeedError> {
        match token {
            Token::EndArray => self.position = Position::Update,
            Token::StartObject => {
                self.position = Position::Member;
                self.member = empty_member();
                self.phase = None;
                self.has_id = false;
            }
            _ => return Err(no_id()),
        }
        Ok(())
    }

    fn in_member(&mut self, token: Token<'_>) -> Result<(), FeedError> {
        let endpoint = &mut self.member.endpoint;
        match (token, self.field) {
            (Token::EndObject, _) => return self.end_member(),
            (Token::Text(text), Field::Id) => {
                endpoint.name = text.to_string();
                self.has_id = true;
            }
            (Token::Text(text), Field::Address) => endpoint.address = text.to_string(),
            (Token::Text(text), Field::Zone) => endpoint.zone = text.to_string(),
            (Token::Text(text), Field::Kind) => endpoint.kind = self.kinds.index(text),
            (Token::Number(text), Field::Cell) => {
                endpoint.cell = text.parse::<u64>().unwrap_or(0) as u32;
            }
            (Token::Number(text), Field::Size) => {
                endpoint.size = text.parse().unwrap_or(DEFAULT_SIZE);
            }
            (Token::Number(text), Field::UpSince) => {
                self.member.up_since_ms = text.parse::<i64>().unwrap_or(0).max(0);
            }
            (Token::Text(text), Field::Phase) => self.phase = Some(phase(text)?),
            _ => self.skipper.skip(token),
        }
        Ok(())
    }

    fn end_member(&mut self) -> Result<(), FeedError> {
        self.position = Position::Members;
        if !self.has_id {
            return Err(no_id());
        }
        let mut member = std::mem::replace(&mut self.member, empty_member());
        member.endpoint.phase = self.phase.ok_or(FeedError::UnknownPhase(None))?;
        if let Some(update) = &mut self.update {
            update.members.push(member);
        }
        Ok(())
    }
}

fn number(token: Token<'_>, key: &'static str) -> Result<u64, FeedError> {
    let Token::Number(text) = token else {
        return Err(not_a_number(key));
    };
    text.parse().map_err(|_| not_a_number(key))
}

fn phase(text: &str) -> Result<Phase, FeedError> {
    match text {
        "in_service" => Ok(Phase::Ready),
        "terminating" => Ok(Phase::Draining),
        "terminated" => Ok(Phase::Gone),
        other => Err(FeedError::UnknownPhase(Some(other.to_string()))),
    }
}

fn not_a_number(key: &'static str) -> FeedError {
    FeedError::WrongType {
        key,
        expected: "a non-negative integer",
    }
}

fn not_an_array(key: &'static str) -> FeedError {
    FeedError::WrongType {
        key,
        expected: "an array",
    }
}

fn no_id() -> FeedError {
    FeedError::WrongType {
        key: "members: id",
        expected: "a string",
    }
}
