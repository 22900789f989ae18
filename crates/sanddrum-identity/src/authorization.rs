//! Decides which customer may call which function. A matching rule that denies takes precedence over one that allows;
//! the default applies if no rule matches.

use std::fmt;

/// A name, or a prefix of names followed by `*`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(String);

/// The text is not a valid pattern: it is empty, or has a `*` before its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid pattern {text:?}: it must not be empty, and a * is allowed only at its end")]
pub struct PatternError {
    /// The invalid text.
    pub text: String,
}

impl Pattern {
    /// Parses a pattern.
    ///
    /// # Errors
    /// [`PatternError`]: the text is not a valid pattern.
    pub fn new(text: &str) -> Result<Pattern, PatternError> {
        let prefix = text.strip_suffix('*').unwrap_or(text);
        if text.is_empty() || prefix.contains('*') {
            return Err(PatternError {
                text: text.to_string(),
            });
        }
        Ok(Pattern(text.to_string()))
    }

    /// The pattern's length in bytes. The longer of two matching patterns is the more specific one.
    pub fn length(&self) -> usize {
        self.0.len()
    }

    /// Whether the pattern matches a name.
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

/// A rule that allows or denies requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Whether the rule allows matching requests; otherwise it denies them.
    pub allows: bool,
    /// The customers that the rule applies to.
    pub customers: Vec<Pattern>,
    /// The workloads that the rule applies to; all if empty.
    pub workloads: Vec<Pattern>,
    /// The functions that the rule applies to; all if empty.
    pub functions: Vec<Pattern>,
    /// Where the rule is defined, as shown to operators.
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

/// All rules, and the default for requests that no rule matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authorization {
    /// The rules. Of several matching rules that deny (or else, that allow), the first one decides.
    pub rules: Vec<Rule>,
    /// Whether requests that no rule matches are allowed.
    pub allows_by_default: bool,
}

impl Default for Authorization {
    /// Without rules, every customer may call every function.
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
    /// Where the rule is defined, as shown to operators.
    pub source: String,
}

/// Whether a request is allowed, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the request is allowed.
    pub is_allowed: bool,
    /// The rule that decided; none if the default applied.
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
            None => write!(f, "{word} by default: no rule matches"),
        }
    }
}
