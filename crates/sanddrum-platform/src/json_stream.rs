//! JSON that arrives in parts, decoded token by token without storing more than one of them.

use actson::feeder::PushJsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};

/// Maximum nesting of objects and arrays.
const MAX_DEPTH: usize = 64;
/// Maximum size of one token in bytes, such as a string.
const MAX_TOKEN_BYTES: usize = 64 * 1024;

/// Why a text can't be decoded as JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// The text violates the syntax of JSON, is nested too deeply, or is not UTF-8.
    #[error("syntax error at byte {0}")]
    Syntax(usize),
    /// A string or number is longer than 64 KiB.
    #[error("a value before byte {0} is longer than {MAX_TOKEN_BYTES} bytes")]
    TokenTooLong(usize),
    /// The text ends before its value does.
    #[error("ends early, after {0} bytes")]
    Incomplete(usize),
}

/// The next element of a JSON text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Token<'a> {
    StartObject,
    EndObject,
    StartArray,
    EndArray,
    /// The name of a field, whose value follows.
    Key(&'a str),
    Text(&'a str),
    /// A number as it is written.
    Number(&'a str),
    Bool(bool),
    Null,
}

/// Decodes one JSON value.
pub(crate) struct JsonStream {
    parser: JsonParser<PushJsonFeeder>,
    /// Where the last token ended.
    token_end: usize,
}

impl JsonStream {
    pub fn new() -> Self {
        let options = JsonParserOptionsBuilder::default().with_max_depth(MAX_DEPTH);
        JsonStream {
            parser: JsonParser::new_with_options(PushJsonFeeder::new(), options.build()),
            token_end: 0,
        }
    }

    /// Decodes the next part of the text and passes its tokens on.
    ///
    /// # Errors
    /// The text is invalid, or `handle` has returned an error. The stream can't be used any further.
    pub fn push<E: From<JsonError>>(
        &mut self,
        mut bytes: &[u8],
        mut handle: impl FnMut(Token<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        while !bytes.is_empty() {
            let accepted = self.parser.feeder.push_bytes(bytes);
            bytes = &bytes[accepted..];
            self.decode(&mut handle)?;
            if self.parser.parsed_bytes() - self.token_end > MAX_TOKEN_BYTES {
                return Err(JsonError::TokenTooLong(self.parser.parsed_bytes()).into());
            }
        }
        Ok(())
    }

    /// Decodes the end of the text.
    ///
    /// # Errors
    /// As for [`push`](Self::push), or the value is incomplete.
    pub fn finish<E: From<JsonError>>(
        &mut self,
        mut handle: impl FnMut(Token<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        self.parser.feeder.done();
        self.decode(&mut handle)
    }

    fn decode<E: From<JsonError>>(
        &mut self,
        handle: &mut impl FnMut(Token<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Some(event) = self.next_event()? {
            self.token_end = self.parser.parsed_bytes();
            handle(self.token(event)?)?;
        }
        Ok(())
    }

    /// The next event; `None` until more bytes are pushed, and at the end of the value.
    fn next_event(&mut self) -> Result<Option<JsonEvent>, JsonError> {
        match self.parser.next_event() {
            Ok(Some(JsonEvent::NeedMoreInput) | None) => Ok(None),
            Ok(event) => Ok(event),
            Err(actson::parser::ParserError::NoMoreInput) => {
                Err(JsonError::Incomplete(self.parser.parsed_bytes()))
            }
            Err(_) => Err(JsonError::Syntax(self.parser.parsed_bytes())),
        }
    }

    fn token(&self, event: JsonEvent) -> Result<Token<'_>, JsonError> {
        let syntax_error = JsonError::Syntax(self.parser.parsed_bytes());
        let text = || self.parser.current_str().map_err(|_| syntax_error);
        Ok(match event {
            JsonEvent::StartObject => Token::StartObject,
            JsonEvent::EndObject => Token::EndObject,
            JsonEvent::StartArray => Token::StartArray,
            JsonEvent::EndArray => Token::EndArray,
            JsonEvent::FieldName => Token::Key(text()?),
            JsonEvent::ValueString => Token::Text(text()?),
            JsonEvent::ValueInt | JsonEvent::ValueFloat => Token::Number(text()?),
            JsonEvent::ValueTrue => Token::Bool(true),
            JsonEvent::ValueFalse => Token::Bool(false),
            JsonEvent::ValueNull | JsonEvent::NeedMoreInput => Token::Null,
        })
    }
}

/// Skips a value that is not needed.
#[derive(Debug, Default)]
pub(crate) struct ValueSkipper {
    depth: usize,
}

impl ValueSkipper {
    /// Whether the value has not ended.
    pub fn is_active(&self) -> bool {
        self.depth > 0
    }

    /// Takes the next token of the value, or its first one.
    pub fn skip(&mut self, token: Token<'_>) {
        match token {
            Token::StartObject | Token::StartArray => self.depth += 1,
            Token::EndObject | Token::EndArray => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
