//! Which customer may call what. All matching rules are considered: one that denies decides, else one that allows, else
//! the default.

use std::fmt;

/// A name, or a prefix of names with a `*` behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(String);

/// A text that is no pattern: it is empty, or a `*` is elsewhere than at its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?}: a * may stand at the end only")]
pub struct PatternError {
    /// The text.
    pub text: String,
}

impl Pattern {
    /// A pattern from its text.
    ///
    /// # Errors
    /// [`PatternError`]: the text is no pattern.
    pub fn new(text: &str) -> Result<Pattern, PatternError> {
        let prefix = text.strip_suffix('*').unwrap_or(text);
        if text.is_empty() || prefix.contains('*') {
            return Err(PatternError {
                text: text.to_string(),
            });
        }
        Ok(Pattern(text.to_string()))
    }

    /// The pattern's length in bytes. Of two patterns that match, the longer one is more specific.
    pub fn length(&self) -> usize {
        self.0.len()
    }

    /// Whether a name matches.
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => name == self.0,
        }
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A rule that allows or denies calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Whether it allows what it matches; otherwise it denies it.
    pub allows: bool,
    /// The customers that it concerns.
    pub customers: Vec<Pattern>,
    /// The workloads that it concerns; all if empty.
    pub workloads: Vec<Pattern>,
    /// The functions that it concerns; all if empty.
    pub functions: Vec<Pattern>,
    /// Where it is defined, for people.
    pub source: String,
}

impl Rule {
    fn matches(&self, customer: &str, workload: &str, function: &str) -> bool {
        let any_matches =
            |patterns: &[Pattern], name: &str| patterns.iter().any(|pattern| pattern.matches(name));
        any_matches(&self.customers, customer)
            && (self.workloads.is_empty() || any_matches(&self.workloads, workload))
            && (self.functions.is_empty() || any_matches(&self.functions, function))
    }
}

/// All rules, and the default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authorization {
    /// The rules, in the order of precedence among those that allow and among those that deny.
    pub rules: Vec<Rule>,
    /// Whether calls are allowed that no rule matches.
    pub allows_by_default: bool,
}

impl Default for Authorization {
    /// Without rules everyone may call everything.
    fn default() -> Self {
        Authorization {
            rules: Vec::new(),
            allows_by_default: true,
        }
    }
}

/// The rule that decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidingRule {
    /// Its index in [`Authorization::rules`].
    pub index: usize,
    /// Where it is defined, for people.
    pub source: String,
}

/// Whether a call is allowed, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether it is allowed.
    pub is_allowed: bool,
    /// The rule that decided; none for the default.
    pub rule: Option<DecidingRule>,
}

impl Authorization {
    /// Decides whether a customer may call a function of a workload.
    pub fn decide(&self, customer: &str, workload: &str, function: &str) -> Decision {
        let mut matching = self
            .rules
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.matches(customer, workload, function));
        let denying = matching.clone().find(|(_, rule)| !rule.allows);
        match denying.or_else(|| matching.next()) {
            Some((index, rule)) => Decision {
                is_allowed: rule.allows,
                rule: Some(DecidingRule {
                    index,
                    source: rule.source.clone(),
                }),
            },
            None => Decision {
                is_allowed: self.allows_by_default,
                rule: None,
            },
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_allowed { "allowed" } else { "denied" };
        match &self.rule {
            Some(rule) => write!(f, "{word} by {}", rule.source),
            None => write!(f, "{word} by default: no line fits"),
        }
    }
}
