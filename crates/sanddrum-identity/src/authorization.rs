//! Which customer may run what. Every line that fits is looked at: one that denies decides, else one that allows, else
//! the default.

use std::fmt;

/// A name, or a beginning with a `*` behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(String);

impl Pattern {
    /// # Errors
    /// A `*` stands elsewhere than at the end.
    pub fn new(text: &str) -> Result<Pattern, String> {
        match text.trim_end_matches('*').contains('*') || text.ends_with("**") || text.is_empty() {
            true => Err(format!("{text:?}: a * may stand at the end only")),
            false => Ok(Pattern(text.to_string())),
        }
    }
    /// The longer one of two that fit says more.
    pub fn length(&self) -> usize {
        self.0.len()
    }
    pub fn fits(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(begins) => name.starts_with(begins),
            None => name == self.0,
        }
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One line of the rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub allows: bool,
    pub customers: Vec<Pattern>,
    /// None means any.
    pub workloads: Vec<Pattern>,
    pub functions: Vec<Pattern>,
    /// Where it stands, for people.
    pub place: String,
}

impl Line {
    fn fits(&self, customer: &str, workload: &str, function: &str) -> bool {
        let any = |patterns: &[Pattern], name: &str| {
            patterns.is_empty() || patterns.iter().any(|p| p.fits(name))
        };
        self.customers.iter().any(|p| p.fits(customer))
            && any(&self.workloads, workload)
            && any(&self.functions, function)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rights {
    pub lines: Vec<Line>,
    pub allows_by_default: bool,
}

impl Default for Rights {
    /// With no word on rights everyone may run everything.
    fn default() -> Self {
        Rights {
            lines: Vec::new(),
            allows_by_default: true,
        }
    }
}

/// What was decided, and by which line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ruling {
    pub allowed: bool,
    /// The line's number and place; `None` for the default.
    pub line: Option<(usize, String)>,
}

impl Rights {
    pub fn rule(&self, customer: &str, workload: &str, function: &str) -> Ruling {
        let mut fitting = self
            .lines
            .iter()
            .enumerate()
            .filter(|(_, l)| l.fits(customer, workload, function));
        let denies = fitting.clone().find(|(_, line)| !line.allows);
        match denies.or_else(|| fitting.next()) {
            Some((n, line)) => Ruling {
                allowed: line.allows,
                line: Some((n, line.place.clone())),
            },
            None => Ruling {
                allowed: self.allows_by_default,
                line: None,
            },
        }
    }
}

impl fmt::Display for Ruling {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.allowed { "allowed" } else { "denied" };
        match &self.line {
            Some((_, place)) => write!(f, "{word} by {place}"),
            None => write!(f, "{word} by default: no line fits"),
        }
    }
}
