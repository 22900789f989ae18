//! Which customer a client certificate belongs to, and whether all that a call states of its customer agrees. The
//! certificate's chain has been verified before (RFC 5280); here only its names count (RFC 9525, section 6.3: the
//! subject's common name is none of them).

use crate::authorization::Pattern;
use std::fmt;

/// Why a call has no certain customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CertificateError {
    /// There is no certificate, where one is required.
    Missing,
    /// The certificate's names belong to no customer.
    Unknown,
    /// The certificate's names belong to several customers.
    Ambiguous,
    /// The certificate was valid when the connection was made, and no longer is.
    Denied,
    /// The certificate, the token and the call do not name the same customer.
    Mismatch,
}

impl CertificateError {
    /// The reason in responses, logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            CertificateError::Missing => "certificate-missing",
            CertificateError::Unknown => "certificate-unknown",
            CertificateError::Ambiguous => "certificate-ambiguous",
            CertificateError::Denied => "certificate-denied",
            CertificateError::Mismatch => "customer-mismatch",
        }
    }

    /// What the caller can do about it, as responses state it.
    pub fn detail(self) -> &'static str {
        match self {
            CertificateError::Missing => "show a client certificate",
            CertificateError::Unknown => "the certificate's names are no customer's here",
            CertificateError::Ambiguous => {
                "the certificate's names are several customers'; use one for each"
            }
            CertificateError::Denied => "the certificate is not believed any more; get a new one",
            CertificateError::Mismatch => {
                "what the call names, its token and its certificate are not one customer"
            }
        }
    }
}

impl fmt::Display for CertificateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.detail())
    }
}

impl std::error::Error for CertificateError {}

/// The certificate that a client presented on its connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientCertificate {
    /// Its names.
    pub names: Vec<String>,
    /// The fingerprint of its key, for the audit; empty where no certificate was presented.
    pub key_fingerprint: String,
    /// Whether it is no longer trusted.
    pub is_denied: bool,
}

/// Patterns of names in certificates, and the customers that they belong to.
#[derive(Clone, Debug, Default)]
pub struct CertificateOwners(Vec<(Pattern, String)>);

impl CertificateOwners {
    /// The owners from patterns and customers.
    pub fn new(owners: impl IntoIterator<Item = (Pattern, String)>) -> Self {
        CertificateOwners(owners.into_iter().collect())
    }

    /// The customer of the longest pattern that matches a name.
    fn customer_of_name(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .filter(|(pattern, _)| pattern.matches(name))
            .max_by_key(|(pattern, _)| pattern.length())
            .map(|(_, customer)| customer.as_str())
    }

    /// The customer that a certificate belongs to; none where no certificate was presented.
    ///
    /// # Errors
    /// [`CertificateError`]: it is denied, or does not belong to exactly one customer.
    pub fn customer(
        &self,
        certificate: &ClientCertificate,
    ) -> Result<Option<String>, CertificateError> {
        if certificate.is_denied {
            return Err(CertificateError::Denied);
        }
        if certificate.key_fingerprint.is_empty() {
            return Ok(None);
        }
        let mut customers: Vec<&str> = certificate
            .names
            .iter()
            .filter_map(|name| self.customer_of_name(name))
            .collect();
        customers.sort_unstable();
        customers.dedup();
        match customers[..] {
            [] => Err(CertificateError::Unknown),
            [customer] => Ok(Some(customer.to_string())),
            _ => Err(CertificateError::Ambiguous),
        }
    }
}

/// The customers that a call states, each by another means.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedCustomers<'a> {
    /// The one that the call names without proof.
    pub named: Option<&'a str>,
    /// The one that its token proves.
    pub token: Option<&'a str>,
    /// The one that its certificate proves.
    pub certificate: Option<&'a str>,
}

impl StatedCustomers<'_> {
    /// The one customer of the call. What is proved outweighs what is only named, and has to agree with it; a name
    /// without proof counts if `accepts_unproved`.
    ///
    /// # Errors
    /// [`CertificateError::Mismatch`]: they do not agree.
    pub fn resolve(self, accepts_unproved: bool) -> Result<Option<String>, CertificateError> {
        if let (Some(token), Some(certificate)) = (self.token, self.certificate) {
            if token != certificate {
                return Err(CertificateError::Mismatch);
            }
        }
        let proved = self.token.or(self.certificate);
        match (proved, self.named) {
            (Some(proved), Some(named)) if proved != named => Err(CertificateError::Mismatch),
            (Some(proved), _) => Ok(Some(proved.to_string())),
            (None, named) => Ok(named.filter(|_| accepts_unproved).map(String::from)),
        }
    }
}
