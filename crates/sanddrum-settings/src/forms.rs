//! The text as forms with places: `(name part part ...)`.

use lexpr::datum::Ref;
use lexpr::parse::Parser;
use std::fmt;

/// What is wrong with a file, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub file: String,
    /// From one; nought where the whole file is meant.
    pub line: usize,
    pub column: usize,
    pub message: String,
    pub remedy: String,
}

impl SettingsError {
    pub fn of_file(file: &str, error: &std::io::Error) -> Self {
        let remedy = "give the path of a readable settings file".to_string();
        SettingsError {
            file: file.into(),
            line: 0,
            column: 0,
            message: error.to_string(),
            remedy,
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        write!(f, ": {}", self.message)?;
        if !self.remedy.is_empty() {
            write!(f, "\n  {}", self.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub line: usize,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    Number(f64),
    /// A symbol or a string.
    Word(String),
    Form(Form),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Form {
    pub name: String,
    pub place: Place,
    pub parts: Vec<(Part, Place)>,
}

/// How deep forms may be nested; deeper ones are refused before they are read.
const DEEPEST: usize = 32;

pub(crate) fn problem(
    file: &str,
    place: Place,
    what: impl Into<String>,
    remedy: impl Into<String>,
) -> SettingsError {
    let (what, remedy) = (what.into(), remedy.into());
    SettingsError {
        file: file.into(),
        line: place.line,
        column: place.column,
        message: what,
        remedy,
    }
}

/// All forms of a text, in order.
pub(crate) fn forms(file: &str, text: &str) -> Result<Vec<Form>, SettingsError> {
    too_deep(file, text)?;
    let mut parser = Parser::from_str(text);
    let mut forms = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(None) => return Ok(forms),
            Ok(Some(datum)) => forms.push(form(file, datum.as_ref())?),
            Err(e) => {
                let at = e
                    .location()
                    .map_or(Place { line: 1, column: 1 }, |l| Place {
                        line: l.line(),
                        column: l.column() + 1,
                    });
                let remedy = if e.to_string().contains("number") {
                    "write the number and its unit apart, as 500 B"
                } else {
                    "look for a bracket or a quote that is not closed before this place"
                };
                return Err(problem(file, at, e.to_string(), remedy));
            }
        }
    }
}

fn too_deep(file: &str, text: &str) -> Result<(), SettingsError> {
    let mut depth = 0usize;
    for (n, line) in text.lines().enumerate() {
        for (column, c) in line.chars().enumerate() {
            depth = match c {
                '(' | '[' => depth + 1,
                ')' | ']' => depth.saturating_sub(1),
                _ => depth,
            };
            if depth > DEEPEST {
                let place = Place {
                    line: n + 1,
                    column: column + 1,
                };
                return Err(problem(
                    file,
                    place,
                    "nested too deep",
                    "settings need a few levels only",
                ));
            }
        }
    }
    Ok(())
}

fn place(at: Ref<'_>) -> Place {
    let start = at.span().start();
    Place {
        line: start.line(),
        column: start.column() + 1,
    }
}

fn form(file: &str, datum: Ref<'_>) -> Result<Form, SettingsError> {
    let at = place(datum);
    let wanted = || {
        problem(
            file,
            at,
            "a form is wanted here",
            "write (name value), as (keep-alive 8s)",
        )
    };
    let mut parts = datum.list_iter().ok_or_else(wanted)?;
    let head = parts.next().ok_or_else(wanted)?;
    let name = head.value().as_symbol().ok_or_else(wanted)?.to_string();
    let mut form = Form {
        name,
        place: at,
        parts: Vec::new(),
    };
    for part in parts {
        let value = part.value();
        let read = if let Some(number) = value.as_f64() {
            Part::Number(number)
        } else if let Some(word) = value.as_symbol().or_else(|| value.as_str()) {
            Part::Word(word.to_string())
        } else if let Some(flag) = value.as_bool() {
            Part::Word(if flag { "yes" } else { "no" }.to_string())
        } else {
            Part::Form(self::form(file, part)?)
        };
        form.parts.push((read, place(part)));
    }
    Ok(form)
}
