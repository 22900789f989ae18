//! One side's terms as its files have them: what was last good stays in force.

use crate::certificates::{self, Papers, TermsError};
use crate::config::{Rules, Terms};
use sanddrum_net::{FileError, Micros};

/// The files that a driver may watch for a layer, by the names under which they are told: PEM texts of the trusted
/// authorities, of the chain that is shown, of its key, revocation lists, and denied keys.
pub const CALL_FILES: [&str; 5] = [
    "tls-roots",
    "tls-certificate",
    "tls-key",
    "tls-revoked",
    "tls-denied",
];
/// The same for what callers are met with.
pub const DOOR_FILES: [&str; 5] = [
    "door-roots",
    "door-certificate",
    "door-key",
    "door-revoked",
    "door-denied",
];

/// The terms of all that a core calls by name, or of its doors.
pub struct Side {
    terms: Terms,
    rules: Rules,
    good: Papers,
    /// What the files hold by now. Files are replaced one after the other, so it need not go together yet.
    wanted: Papers,
}

/// What became of a file.
pub(crate) enum Took {
    Nothing,
    /// New terms are in force.
    New,
    /// One of a chain and its key has come, and does not go with the other, which is still the old one.
    Half,
}

impl Side {
    /// # Errors
    /// As [`Terms::new`].
    pub fn new(papers: Papers, rules: Rules) -> Result<Self, TermsError> {
        let terms = Terms::new(&papers, &rules)?;
        Ok(Side {
            terms,
            rules,
            good: papers.clone(),
            wanted: papers,
        })
    }
    /// The terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// A watched file, counted as in [`CALL_FILES`].
    ///
    /// # Errors
    /// It is torn, older or does not go with the others (yet); the last good terms stay in force.
    pub(crate) fn take(
        &mut self,
        now: Micros,
        file: usize,
        content: Result<&[u8], &FileError>,
    ) -> Result<Took, TermsError> {
        let content = content.map_err(certificates::error)?;
        let text = content.to_vec();
        let (chain, key) = self.wanted.own.clone().unwrap_or_default();
        match file {
            0 => {
                certificates::certificates(content, "roots")?;
                self.wanted.roots = text;
            }
            1 => {
                certificates::certificates(content, "certificate")?;
                self.wanted.own = Some((text, key));
            }
            2 => {
                certificates::key(content)?;
                self.wanted.own = Some((chain, text));
            }
            3 => {
                certificates::lists(content)?;
                certificates::may_follow(&self.good.revoked, content)?;
                self.wanted.revoked = text;
            }
            _ => {
                certificates::read_denied(content)?;
                self.wanted.denied = text;
            }
        }
        if self.wanted == self.good {
            return Ok(Took::Nothing);
        }
        let half = match (&self.wanted.own, &self.good.own) {
            (Some((chain, key)), Some((old_chain, old_key))) => {
                (chain == old_chain) != (key == old_key)
            }
            _ => false,
        };
        let terms = match Terms::new(&self.wanted, &self.rules) {
            Err(_) if half => return Ok(Took::Half),
            made => made?,
        };
        terms.hold(now)?;
        self.terms = terms;
        self.good = self.wanted.clone();
        Ok(Took::New)
    }
}
