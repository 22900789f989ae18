//! What terms are made of, as PEM texts (RFC 7468), and what can be read from certificates without judging them.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use sanddrum_net::Micros;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use x509_parser::prelude::{CertificateRevocationList, FromDer, GeneralName, X509Certificate};

/// Why terms can't be had: a certificate, a key, a root or a list is not good, or a name is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsError(pub(crate) String);

impl fmt::Display for TermsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TermsError {}

pub(crate) fn error(e: impl fmt::Display) -> TermsError {
    TermsError(e.to_string())
}

/// The texts that one side's terms are made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Papers {
    /// Trusted authorities.
    pub roots: Vec<u8>,
    /// The chain that is shown, and its key.
    pub own: Option<(Vec<u8>, Vec<u8>)>,
    /// Revocation lists (RFC 5280, section 5).
    pub revoked: Vec<u8>,
    /// Keys that are not believed whoever signed for them, one line each; see [`KeyPrint`].
    pub denied: Vec<u8>,
}

/// The SHA-256 digest of a key's SubjectPublicKeyInfo (RFC 5280, section 4.1.2.7).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyPrint([u8; 32]);

impl fmt::Display for KeyPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
impl fmt::Debug for KeyPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl KeyPrint {
    /// # Errors
    /// It is not `sha256:` and 64 hexadecimal digits.
    pub fn read(text: &str) -> Result<Self, TermsError> {
        let wrong = || {
            TermsError(format!(
                "{text:?}: sha256: and 64 hexadecimal digits are wanted"
            ))
        };
        let digits = text
            .strip_prefix("sha256:")
            .filter(|d| d.len() == 64 && d.is_ascii())
            .ok_or_else(wrong)?;
        let mut print = [0; 32];
        for (n, byte) in print.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).map_err(|_| wrong())?;
        }
        Ok(KeyPrint(print))
    }
    /// # Errors
    /// It is no certificate.
    pub fn of_certificate(der: &[u8]) -> Result<Self, TermsError> {
        let certificate = parsed(der)?;
        Ok(KeyPrint(
            Sha256::digest(certificate.tbs_certificate.subject_pki.raw).into(),
        ))
    }
}

/// Reads a list of denied keys: a print in each line, with a remark behind it or a `#` before.
///
/// # Errors
/// A line is neither; it is named.
pub fn read_denied(text: &[u8]) -> Result<BTreeSet<KeyPrint>, TermsError> {
    let text = std::str::from_utf8(text).map_err(|_| error("denied keys: not UTF-8"))?;
    let mut denied = BTreeSet::new();
    for (n, line) in text.lines().enumerate() {
        match line.split_whitespace().next() {
            None => {}
            Some(word) if word.starts_with('#') => {}
            Some(word) => {
                let print = KeyPrint::read(word);
                denied.insert(
                    print.map_err(|e| TermsError(format!("denied keys, line {}: {e}", n + 1)))?,
                );
            }
        }
    }
    Ok(denied)
}

pub(crate) fn parsed(der: &[u8]) -> Result<X509Certificate<'_>, TermsError> {
    X509Certificate::from_der(der)
        .map(|(_, certificate)| certificate)
        .map_err(|e| error(format!("no certificate: {e}")))
}

pub(crate) fn certificates(
    pem: &[u8],
    what: &str,
) -> Result<Vec<CertificateDer<'static>>, TermsError> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let read = read.map_err(|e| TermsError(format!("{what}: {e}")))?;
    if read.is_empty() {
        return Err(TermsError(format!("{what}: no certificate is in it")));
    }
    Ok(read)
}
pub(crate) fn key(pem: &[u8]) -> Result<PrivateKeyDer<'static>, TermsError> {
    // What is wrong with a key is told without any of its content.
    PrivateKeyDer::from_pem_slice(pem).map_err(|_| error("key: no private key is in it"))
}
pub(crate) fn lists(pem: &[u8]) -> Result<Vec<CertificateRevocationListDer<'static>>, TermsError> {
    let read: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(pem).collect();
    let read = read.map_err(|e| TermsError(format!("revocation lists: {e}")))?;
    if read.is_empty() && !pem.is_empty() {
        return Err(error("revocation lists: none is in it"));
    }
    Ok(read)
}

const SECOND: Micros = 1_000_000;

/// From when to when a certificate holds.
pub(crate) fn holds(der: &[u8]) -> Result<(Micros, Micros), TermsError> {
    let certificate = parsed(der)?;
    let validity = certificate.validity();
    Ok((
        validity.not_before.timestamp().saturating_mul(SECOND),
        validity.not_after.timestamp().saturating_mul(SECOND),
    ))
}
/// The name that an authority gives itself.
pub(crate) fn authority_name(der: &[u8]) -> Result<String, TermsError> {
    let certificate = parsed(der)?;
    let name = certificate
        .subject()
        .iter_common_name()
        .next()
        .and_then(|name| name.as_str().ok());
    Ok(name.unwrap_or_default().to_string())
}
/// The names that a certificate is for, as they stand in it (RFC 5280, section 4.2.1.6): none is made of a wildcard.
pub(crate) fn names(der: &[u8]) -> Vec<String> {
    let Ok(certificate) = parsed(der) else {
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

/// When each authority's list was last made and when the next is due.
pub(crate) fn list_ages(
    pem: &[u8],
) -> Result<BTreeMap<String, (Micros, Option<Micros>)>, TermsError> {
    let mut ages = BTreeMap::new();
    for der in lists(pem)? {
        let (_, list) = CertificateRevocationList::from_der(&der)
            .map_err(|e| error(format!("revocation list: {e}")))?;
        let next = list
            .next_update()
            .map(|at| at.timestamp().saturating_mul(SECOND));
        ages.insert(
            list.issuer().to_string(),
            (list.last_update().timestamp().saturating_mul(SECOND), next),
        );
    }
    Ok(ages)
}

/// Whether lists may take the place of others: none is missing and none is older, or a revoked certificate would be
/// good again.
///
/// # Errors
/// Which one is older or missing.
pub(crate) fn may_follow(old: &[u8], new: &[u8]) -> Result<(), TermsError> {
    let new = list_ages(new)?;
    for (issuer, (made, _)) in list_ages(old).unwrap_or_default() {
        match new.get(&issuer) {
            None => {
                return Err(TermsError(format!(
                    "revocation lists: the one of {issuer} is missing"
                )))
            }
            Some((again, _)) if *again < made => {
                return Err(TermsError(format!(
                    "revocation lists: the one of {issuer} is older than what is in force"
                )))
            }
            Some(_) => {}
        }
    }
    Ok(())
}

/// What a certificate says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Described {
    /// The DNS names and addresses that it is for.
    pub names: Vec<String>,
    /// The name of the authority that signed it.
    pub authority: String,
    /// Whether it is an authority itself.
    pub signs_for_others: bool,
    /// From when on it holds, in microseconds since 1970.
    pub from: Micros,
    /// Until when it holds, in microseconds since 1970.
    pub until: Micros,
    /// The digest of its key.
    pub key: KeyPrint,
}

/// Describes each certificate of a PEM text, judging none.
///
/// # Errors
/// None is in it, or one can't be read.
pub fn describe(pem: &[u8]) -> Result<Vec<Described>, TermsError> {
    let describe = |der: &CertificateDer<'_>| -> Result<Described, TermsError> {
        let (certificate, (from, until)) = (parsed(der)?, holds(der)?);
        let mut names = names(der);
        if names.is_empty() {
            names.extend(Some(authority_name(der)?).filter(|name| !name.is_empty()));
        }
        let issuer = certificate
            .issuer()
            .iter_common_name()
            .next()
            .and_then(|name| name.as_str().ok());
        Ok(Described {
            names,
            authority: issuer.unwrap_or_default().to_string(),
            signs_for_others: certificate.is_ca(),
            from,
            until,
            key: KeyPrint::of_certificate(der)?,
        })
    };
    certificates(pem, "certificate")?
        .iter()
        .map(describe)
        .collect()
}

/// The serial number of the first certificate of a PEM text, in hexadecimal digits.
///
/// # Errors
/// None is in it, or it can't be read.
pub fn serial(pem: &[u8]) -> Result<String, TermsError> {
    let certificates = certificates(pem, "certificate")?;
    Ok(parsed(&certificates[0])?
        .raw_serial()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect())
}
