//! Parses the text of a settings file into forms with their positions: `(name part part ...)`.

use crate::error::{Position, SettingsError};
use lexpr::datum::Ref;
use lexpr::parse::Parser;

/// One part of a form.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// A number.
    Number(f64),
    /// A symbol or a string.
    Word(String),
    /// A nested form.
    Form(Form),
}

/// A list that begins with a symbol.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Form {
    /// The symbol that it begins with.
    pub name: String,
    pub position: Position,
    /// The parts after the name, with their positions.
    pub parts: Vec<(Part, Position)>,
}

/// The maximum nesting depth of forms. Deeper ones are rejected before the recursive parser sees them.
const MAX_DEPTH: usize = 32;

/// Parses all forms of a text, in order.
///
/// # Errors
/// The text is not a sequence of forms.
pub(crate) fn parse_forms(file: &str, text: &str) -> Result<Vec<Form>, SettingsError> {
    check_depth(file, text)?;
    let mut parser = Parser::from_str(text);
    let mut forms = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(None) => return Ok(forms),
            Ok(Some(datum)) => forms.push(convert_form(file, datum.as_ref())?),
            Err(error) => return Err(syntax_error(file, &error)),
        }
    }
}

/// Parses a single form, such as `(name value)`.
///
/// # Errors
/// The text is not a form.
pub(crate) fn parse_form(file: &str, text: &str) -> Result<Form, SettingsError> {
    let mut forms = parse_forms(file, text)?;
    if forms.is_empty() {
        return Err(not_a_form(file));
    }
    Ok(forms.remove(0))
}

fn syntax_error(file: &str, error: &lexpr::parse::Error) -> SettingsError {
    let position = match error.location() {
        Some(location) => Position {
            line: location.line(),
            column: location.column() + 1,
        },
        None => Position { line: 1, column: 1 },
    };
    let message = error.to_string();
    let remedy = if message.contains("number") {
        "separate the number and its unit by a space, as in 500 B"
    } else {
        "check for a bracket or a quote that is not closed before this position"
    };
    SettingsError::new(file, message, remedy).at(position)
}

/// Writes a text as a string that [`parse_forms`] reads as the same text, whatever characters it has.
pub(crate) fn quote(text: &str) -> String {
    lexpr::Value::string(text).to_string()
}

/// Where a character of a settings text stands, as far as brackets are concerned.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Context {
    Code,
    Comment,
    String,
    /// In a string, behind a backslash.
    Escape,
}

impl Context {
    /// The context of the character after this one.
    fn after(self, character: char) -> Context {
        match (self, character) {
            (Context::Code, '"') => Context::String,
            (Context::Code, ';') => Context::Comment,
            (Context::String, '\\') => Context::Escape,
            (Context::String, '"') => Context::Code,
            (Context::Escape, _) => Context::String,
            (context, _) => context,
        }
    }
}

fn check_depth(file: &str, text: &str) -> Result<(), SettingsError> {
    let mut depth = 0usize;
    let mut context = Context::Code;
    for (line_index, line) in text.lines().enumerate() {
        if context == Context::Comment {
            context = Context::Code;
        }
        for (column_index, character) in line.chars().enumerate() {
            depth = match (context, character) {
                (Context::Code, '(' | '[') => depth + 1,
                (Context::Code, ')' | ']') => depth.saturating_sub(1),
                _ => depth,
            };
            context = context.after(character);
            if depth > MAX_DEPTH {
                let position = Position {
                    line: line_index + 1,
                    column: column_index + 1,
                };
                let error = SettingsError::new(
                    file,
                    "forms are nested too deeply",
                    "settings have only a few levels",
                );
                return Err(error.at(position));
            }
        }
    }
    Ok(())
}

fn position_of(datum: Ref<'_>) -> Position {
    let start = datum.span().start();
    Position {
        line: start.line(),
        column: start.column() + 1,
    }
}

fn not_a_form(file: &str) -> SettingsError {
    let remedy = "write (name value), such as (keep-alive 8s)";
    SettingsError::new(file, "expected a form", remedy)
}

fn convert_form(file: &str, datum: Ref<'_>) -> Result<Form, SettingsError> {
    let position = position_of(datum);
    let invalid_form = || not_a_form(file).at(position);
    let mut items = datum.list_iter().ok_or_else(invalid_form)?;
    let head = items.next().ok_or_else(invalid_form)?;
    let name = head
        .value()
        .as_symbol()
        .ok_or_else(invalid_form)?
        .to_string();
    let parts = items
        .map(|item| Ok((convert_part(file, item)?, position_of(item))))
        .collect::<Result<_, SettingsError>>()?;
    Ok(Form {
        name,
        position,
        parts,
    })
}

fn convert_part(file: &str, datum: Ref<'_>) -> Result<Part, SettingsError> {
    let value = datum.value();
    if let Some(number) = value.as_f64() {
        Ok(Part::Number(number))
    } else if let Some(word) = value.as_symbol().or_else(|| value.as_str()) {
        Ok(Part::Word(word.to_string()))
    } else if let Some(flag) = value.as_bool() {
        Ok(Part::Word(if flag { "yes" } else { "no" }.to_string()))
    } else {
        Ok(Part::Form(convert_form(file, datum)?))
    }
}
