//! Whose a client certificate is, and whether all that a call says of its customer agrees. The chain itself was verified
//! before (RFC 5280); here only its names count (RFC 9525, section 6.3: the subject's common name is none of them).

use crate::authorization::Pattern;

/// Why a call is not taken for what its connection has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doubt {
    /// No certificate, where one is wanted.
    Missing,
    /// Its names are no customer's.
    Unknown,
    /// Its names are several customers'.
    Ambiguous,
    /// It was good when the connection was made, and is not any more.
    Denied,
    /// Certificate, token and call do not name the same customer.
    Disagrees,
}

impl Doubt {
    pub fn reason(self) -> &'static str {
        match self {
            Doubt::Missing => "certificate-missing",
            Doubt::Unknown => "certificate-unknown",
            Doubt::Ambiguous => "certificate-ambiguous",
            Doubt::Denied => "certificate-denied",
            Doubt::Disagrees => "customer-mismatch",
        }
    }
    pub fn detail(self) -> &'static str {
        match self {
            Doubt::Missing => "show a client certificate",
            Doubt::Unknown => "the certificate's names are no customer's here",
            Doubt::Ambiguous => "the certificate's names are several customers'; use one for each",
            Doubt::Denied => "the certificate is not believed any more; get a new one",
            Doubt::Disagrees => {
                "what the call names, its token and its certificate are not one customer"
            }
        }
    }
}

/// What a connection has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    pub names: Vec<String>,
    /// The print of the certificate's key, for the audit.
    pub key: String,
    /// It is not believed any more.
    pub denied: bool,
}

/// Names, and the customers whose they are. The longest pattern that fits a name counts, as with functions.
#[derive(Clone, Debug, Default)]
pub struct Owners(Vec<(Pattern, String)>);

impl Owners {
    pub fn new(owners: impl IntoIterator<Item = (Pattern, String)>) -> Self {
        Owners(owners.into_iter().collect())
    }
    fn of_name(&self, name: &str) -> Option<&str> {
        let fitting = self.0.iter().filter(|(pattern, _)| pattern.fits(name));
        fitting
            .max_by_key(|(pattern, _)| pattern.length())
            .map(|(_, customer)| customer.as_str())
    }
    /// The customer whose certificate it is; `None` where nothing was shown.
    ///
    /// # Errors
    /// It is nobody's, or not only one customer's, or not believed any more.
    pub fn who(&self, shown: &Shown) -> Result<Option<String>, Doubt> {
        if shown.denied {
            return Err(Doubt::Denied);
        }
        if shown.key.is_empty() {
            return Ok(None);
        }
        let mut owners: Vec<&str> = shown
            .names
            .iter()
            .filter_map(|name| self.of_name(name))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        match owners[..] {
            [] => Err(Doubt::Unknown),
            [one] => Ok(Some(one.to_string())),
            _ => Err(Doubt::Ambiguous),
        }
    }
}

/// The one customer that a call is of. What is proved outweighs what is merely named, and has to agree with it.
///
/// # Errors
/// They do not agree.
pub fn agreed(
    named: Option<&str>,
    token: Option<&str>,
    certificate: Option<&str>,
    names_count: bool,
) -> Result<Option<String>, Doubt> {
    let proved = token.or(certificate);
    if let (Some(token), Some(certificate)) = (token, certificate) {
        if token != certificate {
            return Err(Doubt::Disagrees);
        }
    }
    match (proved, named) {
        (Some(proved), Some(named)) if proved != named => Err(Doubt::Disagrees),
        (Some(proved), _) => Ok(Some(proved.to_string())),
        (None, named) => Ok(named.filter(|_| names_count).map(String::from)),
    }
}
