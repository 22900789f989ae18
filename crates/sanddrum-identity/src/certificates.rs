//! Maps client certificates to customers, and checks that all customers that a request states are the same one. The
//! certificate's chain has already been verified (RFC 5280); only its names are considered here, and the subject's
//! common name is not one of them (RFC 9525, section 6.3).

use crate::authorization::Pattern;
use std::fmt;

/// Why the customer of a request can't be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CertificateError {
    /// A certificate is required, but the client presented none.
    Missing,
    /// The certificate's names belong to no customer.
    Unknown,
    /// The certificate's names belong to several customers.
    Ambiguous,
    /// The certificate was valid when the connection was established, but no longer is.
    Denied,
    /// The certificate, the token and the request do not name the same customer.
    Mismatch,
}

impl CertificateError {
    /// The reason code in responses, logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            CertificateError::Missing => "certificate-missing",
            CertificateError::Unknown => "certificate-unknown",
            CertificateError::Ambiguous => "certificate-ambiguous",
            CertificateError::Denied => "certificate-denied",
            CertificateError::Mismatch => "customer-mismatch",
        }
    }

    /// An explanation for the client, as sent in responses.
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
    /// The names in the certificate.
    pub names: Vec<String>,
    /// The fingerprint of the certificate's key, for the audit log; empty if no certificate was presented.
    pub key_fingerprint: String,
    /// Whether the certificate is no longer trusted.
    pub is_denied: bool,
}

/// Patterns of certificate names, each with the customer that owns matching certificates.
#[derive(Clone, Debug, Default)]
pub struct CertificateOwners(Vec<(Pattern, String)>);

impl CertificateOwners {
    /// Creates the mapping from pairs of a pattern and a customer.
    pub fn new(owners: impl IntoIterator<Item = (Pattern, String)>) -> Self {
        CertificateOwners(owners.into_iter().collect())
    }

    /// The customer of the longest pattern that matches the name.
    fn customer_of_name(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .filter(|(pattern, _)| pattern.matches(name))
            .max_by_key(|(pattern, _)| pattern.length())
            .map(|(_, customer)| customer.as_str())
    }

    /// The customer that a certificate belongs to; none if no certificate was presented.
    ///
    /// # Errors
    /// [`CertificateError`]: the certificate is denied, or does not belong to exactly one customer.
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

/// The customers that a request states, by source.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedCustomers<'a> {
    /// The customer that the request names without authentication.
    pub unverified: Option<&'a str>,
    /// The customer that its token authenticates.
    pub token: Option<&'a str>,
    /// The customer that its certificate authenticates.
    pub certificate: Option<&'a str>,
}

impl StatedCustomers<'_> {
    /// Determines the customer of the request. All stated customers must agree; one that is only named without
    /// authentication counts if `accepts_unverified`.
    ///
    /// # Errors
    /// [`CertificateError::Mismatch`]: the stated customers differ.
    pub fn resolve(self, accepts_unverified: bool) -> Result<Option<String>, CertificateError> {
        if let (Some(token), Some(certificate)) = (self.token, self.certificate) {
            if token != certificate {
                return Err(CertificateError::Mismatch);
            }
        }
        let verified = self.token.or(self.certificate);
        match (verified, self.unverified) {
            (Some(verified), Some(unverified)) if verified != unverified => {
                Err(CertificateError::Mismatch)
            }
            (Some(verified), _) => Ok(Some(verified.to_string())),
            (None, unverified) => Ok(unverified.filter(|_| accepts_unverified).map(String::from)),
        }
    }
}
