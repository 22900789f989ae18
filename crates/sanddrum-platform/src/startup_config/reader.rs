//! Reads a startup configuration in parts. Its known events may take many megabytes, of which no more than one event is
//! in memory at a time.

use super::{StartupConfig, StartupConfigError};
use crate::control_feed::{EventFold, EventReader, FeedEvents, FoldBase};
use crate::json_stream::{JsonStream, Token, ValueSkipper};
use crate::json_value::ValueBuilder;
use serde_json::{Map, Value as Json};

/// Maximum size of a startup configuration in bytes. The known events grow with each change of the list of workers since
/// the fleet began; this is enough for 3,200 workers that have each been replaced 30 times.
pub const MAX_CONFIGURATION_BYTES: usize = 64 << 20;
/// Maximum size in bytes of all values that are kept: the settings, the limits and the router's own names.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// The keys whose values are kept as they are.
const KEPT_KEYS: [&str; 6] = ["name", "listen", "feed", "seed", "limits", "settings"];
const EVENTS_KEY: &str = "known";

/// What the next token belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    /// The object of the whole configuration, or what precedes and follows it.
    Configuration,
    /// The value of a key in [`KEPT_KEYS`].
    Kept(&'static str),
    /// The known events.
    Events,
    /// The value of another key.
    Other,
}

/// Reads one startup configuration.
pub struct StartupConfigReader {
    stream: JsonStream,
    document: Document,
    bytes: usize,
}

/// The part of the configuration that has been received.
struct Document {
    section: Section,
    values: Map<String, Json>,
    kept_bytes: usize,
    builder: ValueBuilder,
    skipper: ValueSkipper,
    events: EventReader,
    fold: EventFold,
}

impl StartupConfigReader {
    /// A reader for a router that starts and knows no workers.
    pub fn for_start() -> Self {
        StartupConfigReader::new(0, FoldBase::Nothing)
    }

    /// A reader for a running router, which skips the events up to `last_event`.
    pub fn for_reload(last_event: u64) -> Self {
        StartupConfigReader::new(last_event, FoldBase::EndpointList)
    }

    fn new(last_event: u64, base: FoldBase) -> Self {
        StartupConfigReader {
            stream: JsonStream::new(),
            document: Document {
                section: Section::Configuration,
                values: Map::new(),
                kept_bytes: 0,
                builder: ValueBuilder::default(),
                skipper: ValueSkipper::default(),
                events: EventReader::new(last_event),
                fold: EventFold::new(base),
            },
            bytes: 0,
        }
    }

    /// The number of bytes received.
    pub fn received_bytes(&self) -> usize {
        self.bytes
    }

    /// Reads the next part of the file.
    ///
    /// # Errors
    /// [`StartupConfigError`]: the configuration can't be used, whatever follows.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StartupConfigError> {
        self.bytes += bytes.len();
        if self.bytes > MAX_CONFIGURATION_BYTES {
            return Err(StartupConfigError::TooLarge);
        }
        let document = &mut self.document;
        self.stream.push(bytes, |token| document.push(token))
    }

    /// Ends the file and checks the configuration. Its known events are those with numbers above `last_event`.
    ///
    /// # Errors
    /// [`StartupConfigError`], which names the key that can't be used.
    pub fn finish(mut self, last_event: u64) -> Result<StartupConfig, StartupConfigError> {
        let document = &mut self.document;
        self.stream.finish(|token| document.push(token))?;
        let Document {
            values,
            events,
            fold,
            ..
        } = self.document;
        let (last_number, machine_kinds) = events.finish()?;
        let known_events = FeedEvents {
            last_number,
            events: fold.finish(last_event),
        };
        let mut config = StartupConfig::check(&Json::Object(values), known_events)?;
        let kinds = config.worker_kinds();
        for event in &mut config.known_events.events {
            machine_kinds.resolve(event, &kinds);
        }
        Ok(config)
    }
}

impl Document {
    fn push(&mut self, token: Token<'_>) -> Result<(), StartupConfigError> {
        match self.section {
            Section::Configuration => self.enter(token),
            Section::Kept(key) => return self.keep(key, token),
            Section::Events => {
                if let Some(event) = self.events.push(token)? {
                    self.fold.add(event);
                }
                self.leave_unless(self.events.is_active());
            }
            Section::Other => {
                self.skipper.skip(token);
                self.leave_unless(self.skipper.is_active());
            }
        }
        Ok(())
    }

    /// Selects the section of the value that follows a key.
    fn enter(&mut self, token: Token<'_>) {
        if token == Token::StartArray {
            // The text is an array instead of an object, and nothing in it is a part of a configuration.
            self.section = Section::Other;
            return self.skipper.skip(token);
        }
        let Token::Key(key) = token else { return };
        let kept = KEPT_KEYS.into_iter().find(|kept| *kept == key);
        self.section = match kept {
            Some(kept) => Section::Kept(kept),
            None if key == EVENTS_KEY => Section::Events,
            None => Section::Other,
        };
    }

    fn leave_unless(&mut self, is_active: bool) {
        if !is_active {
            self.section = Section::Configuration;
        }
    }

    fn keep(&mut self, key: &str, token: Token<'_>) -> Result<(), StartupConfigError> {
        if let Token::Key(text) | Token::Text(text) | Token::Number(text) = token {
            self.kept_bytes += text.len();
        }
        // Each token takes memory besides its text.
        self.kept_bytes += 1;
        if self.kept_bytes > MAX_KEPT_BYTES {
            return Err(StartupConfigError::SettingsTooLarge(MAX_KEPT_BYTES));
        }
        if let Some(value) = self.builder.push(token)? {
            self.values.insert(key.to_string(), value);
        }
        self.leave_unless(self.builder.is_active());
        Ok(())
    }
}
