//! The PEM texts (RFC 7468) that a configuration is made of, and parsing of certificates without verification.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use sanddrum_net::Micros;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use x509_parser::prelude::{CertificateRevocationList, FromDer, GeneralName, X509Certificate};

/// Why no configuration or connection can be made: a certificate, key, root, list or server name is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsConfigError(pub(crate) String);

impl fmt::Display for TlsConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TlsConfigError {}

pub(crate) fn config_error(e: impl fmt::Display) -> TlsConfigError {
    TlsConfigError(e.to_string())
}

/// The contents of the files that a configuration is made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TlsMaterial {
    /// Certificates of the trusted authorities.
    pub roots: Vec<u8>,
    /// The certificate chain to present, and its private key.
    pub certified_key: Option<(Vec<u8>, Vec<u8>)>,
    /// Revocation lists (RFC 5280, section 5).
    pub revocation_lists: Vec<u8>,
    /// Fingerprints of keys that are rejected whoever signed their certificates, one per line; see [`KeyFingerprint`].
    pub denied_keys: Vec<u8>,
}

/// The SHA-256 digest of a key's SubjectPublicKeyInfo (RFC 5280, section 4.1.2.7).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyFingerprint([u8; 32]);

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
impl fmt::Debug for KeyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl KeyFingerprint {
    /// Parses the form that `Display` writes.
    ///
    /// # Errors
    /// It is not `sha256:` followed by 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, TlsConfigError> {
        let invalid = || {
            TlsConfigError(format!(
                "{text:?}: expected sha256: followed by 64 hexadecimal digits"
            ))
        };
        let digits = text
            .strip_prefix("sha256:")
            .filter(|d| d.len() == 64 && d.is_ascii())
            .ok_or_else(invalid)?;
        let mut digest = [0; 32];
        for (n, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).map_err(|_| invalid())?;
        }
        Ok(KeyFingerprint(digest))
    }
    /// The fingerprint of a certificate's key.
    ///
    /// # Errors
    /// The certificate can't be parsed.
    pub fn of_certificate(der: &[u8]) -> Result<Self, TlsConfigError> {
        let certificate = parse_certificate(der)?;
        Ok(KeyFingerprint(
            Sha256::digest(certificate.tbs_certificate.subject_pki.raw).into(),
        ))
    }
}

/// Parses a list of denied keys: one fingerprint per line, optionally followed by a remark. Empty lines and lines that
/// start with `#` are skipped.
///
/// # Errors
/// A line is neither of these; the error gives its number.
pub fn parse_denied_keys(text: &[u8]) -> Result<BTreeSet<KeyFingerprint>, TlsConfigError> {
    let text = std::str::from_utf8(text).map_err(|_| config_error("denied keys: not UTF-8"))?;
    let mut denied = BTreeSet::new();
    for (n, line) in text.lines().enumerate() {
        match line.split_whitespace().next() {
            None => {}
            Some(word) if word.starts_with('#') => {}
            Some(word) => {
                let fingerprint = KeyFingerprint::parse(word);
                denied
                    .insert(fingerprint.map_err(|e| {
                        TlsConfigError(format!("denied keys, line {}: {e}", n + 1))
                    })?);
            }
        }
    }
    Ok(denied)
}

pub(crate) fn parse_certificate(der: &[u8]) -> Result<X509Certificate<'_>, TlsConfigError> {
    X509Certificate::from_der(der)
        .map(|(_, certificate)| certificate)
        .map_err(|e| config_error(format!("invalid certificate: {e}")))
}

/// Reads at least one certificate from a PEM text; `label` names the text in errors.
pub(crate) fn read_certificates(
    pem: &[u8],
    label: &str,
) -> Result<Vec<CertificateDer<'static>>, TlsConfigError> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let read = read.map_err(|e| TlsConfigError(format!("{label}: {e}")))?;
    if read.is_empty() {
        return Err(TlsConfigError(format!("{label}: contains no certificate")));
    }
    Ok(read)
}
pub(crate) fn read_private_key(pem: &[u8]) -> Result<PrivateKeyDer<'static>, TlsConfigError> {
    // The parser's own error is dropped, so that no part of a key gets into a message.
    PrivateKeyDer::from_pem_slice(pem)
        .map_err(|_| config_error("key: contains no readable private key"))
}
/// Reads the revocation lists of a PEM text. A text that is not empty must contain at least one.
pub(crate) fn read_revocation_lists(
    pem: &[u8],
) -> Result<Vec<CertificateRevocationListDer<'static>>, TlsConfigError> {
    let read: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(pem).collect();
    let read = read.map_err(|e| TlsConfigError(format!("revocation lists: {e}")))?;
    if read.is_empty() && !pem.is_empty() {
        return Err(config_error(
            "revocation lists: contains no revocation list",
        ));
    }
    Ok(read)
}

const SECOND: Micros = 1_000_000;

/// The validity period of a certificate: its first and its last instant.
pub(crate) fn validity(der: &[u8]) -> Result<(Micros, Micros), TlsConfigError> {
    let certificate = parse_certificate(der)?;
    let validity = certificate.validity();
    Ok((
        validity.not_before.timestamp().saturating_mul(SECOND),
        validity.not_after.timestamp().saturating_mul(SECOND),
    ))
}
/// The common name of a certificate's subject; empty if it has none.
pub(crate) fn subject_common_name(der: &[u8]) -> Result<String, TlsConfigError> {
    let certificate = parse_certificate(der)?;
    let name = certificate
        .subject()
        .iter_common_name()
        .next()
        .and_then(|name| name.as_str().ok());
    Ok(name.unwrap_or_default().to_string())
}
/// The DNS names of a certificate in lower case (RFC 5280, section 4.2.1.6). Wildcards are not expanded.
pub(crate) fn dns_names(der: &[u8]) -> Vec<String> {
    let Ok(certificate) = parse_certificate(der) else {
        return Vec::new();
    };
    let Ok(Some(alternative)) = certificate.subject_alternative_name() else {
        return Vec::new();
    };
    let name = |name: &GeneralName<'_>| match name {
        GeneralName::DNSName(name) => Some(name.to_ascii_lowercase()),
        _ => None,
    };
    alternative
        .value
        .general_names
        .iter()
        .filter_map(name)
        .collect()
}

/// When each authority's revocation list was issued, and when its next one is due, by the authority's name.
pub(crate) fn revocation_list_updates(
    pem: &[u8],
) -> Result<BTreeMap<String, (Micros, Option<Micros>)>, TlsConfigError> {
    let mut updates = BTreeMap::new();
    for der in read_revocation_lists(pem)? {
        let (_, list) = CertificateRevocationList::from_der(&der)
            .map_err(|e| config_error(format!("revocation list: {e}")))?;
        let next = list
            .next_update()
            .map(|at| at.timestamp().saturating_mul(SECOND));
        updates.insert(
            list.issuer().to_string(),
            (list.last_update().timestamp().saturating_mul(SECOND), next),
        );
    }
    Ok(updates)
}

/// Checks that revocation lists may replace others: a list that is missing or older would make a revoked certificate
/// valid again.
///
/// # Errors
/// A list is older or missing; the error names its issuer.
pub(crate) fn check_not_rolled_back(old: &[u8], new: &[u8]) -> Result<(), TlsConfigError> {
    let new = revocation_list_updates(new)?;
    for (issuer, (old_issued, _)) in revocation_list_updates(old).unwrap_or_default() {
        match new.get(&issuer) {
            None => {
                return Err(TlsConfigError(format!(
                    "revocation lists: the list of {issuer} is missing"
                )))
            }
            Some((issued, _)) if *issued < old_issued => {
                return Err(TlsConfigError(format!(
                    "revocation lists: the list of {issuer} is older than the one in force"
                )))
            }
            Some(_) => {}
        }
    }
    Ok(())
}

/// What a certificate contains; nothing of it is verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateInfo {
    /// The DNS names that it is for; the common name of its subject if there are none.
    pub names: Vec<String>,
    /// The common name of the authority that signed it.
    pub issuer: String,
    /// Whether it is the certificate of an authority.
    pub is_ca: bool,
    /// Since when it is valid, in microseconds since 1970.
    pub not_before: Micros,
    /// Until when it is valid, in microseconds since 1970.
    pub not_after: Micros,
    /// The fingerprint of its key.
    pub key_fingerprint: KeyFingerprint,
}

/// Describes each certificate of a PEM text, without verifying any.
///
/// # Errors
/// The text contains no certificate, or one can't be read.
pub fn describe_certificates(pem: &[u8]) -> Result<Vec<CertificateInfo>, TlsConfigError> {
    let describe = |der: &CertificateDer<'_>| -> Result<CertificateInfo, TlsConfigError> {
        let (certificate, (not_before, not_after)) = (parse_certificate(der)?, validity(der)?);
        let mut names = dns_names(der);
        if names.is_empty() {
            names.extend(Some(subject_common_name(der)?).filter(|name| !name.is_empty()));
        }
        let issuer = certificate
            .issuer()
            .iter_common_name()
            .next()
            .and_then(|name| name.as_str().ok());
        Ok(CertificateInfo {
            names,
            issuer: issuer.unwrap_or_default().to_string(),
            is_ca: certificate.is_ca(),
            not_before,
            not_after,
            key_fingerprint: KeyFingerprint::of_certificate(der)?,
        })
    };
    read_certificates(pem, "certificate")?
        .iter()
        .map(describe)
        .collect()
}

/// The serial number of the first certificate of a PEM text, in hexadecimal digits.
///
/// # Errors
/// The text contains no certificate, or the first one can't be read.
pub fn serial_number(pem: &[u8]) -> Result<String, TlsConfigError> {
    let certificates = read_certificates(pem, "certificate")?;
    Ok(parse_certificate(&certificates[0])?
        .raw_serial()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect())
}
