//! Whom a side believes: what the library checks (chains, times, revocation lists, key usage), and beyond it that a
//! worker's name stands in its certificate to the letter, that its authority may speak for that name, and that no key in
//! the chain is denied.

use crate::certificates::{self, KeyPrint, TermsError};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::WebPkiServerVerifier;
use rustls::crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider};
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::WebPkiClientVerifier;
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, RootCertStore,
    SignatureScheme,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Names that one authority may speak for, and no others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limited {
    /// The authority's common name.
    pub authority: String,
    /// Whole names, or with a dot in front all below it.
    pub names: Vec<String>,
}

impl Limited {
    fn covers(&self, name: &str) -> bool {
        let fits = |limit: &String| match limit.starts_with('.') {
            true => name.ends_with(limit.as_str()) && name.len() > limit.len(),
            false => name == limit,
        };
        self.names.iter().any(fits)
    }
}

/// What is believed, from one set of papers.
pub(crate) struct Belief {
    pub provider: Arc<CryptoProvider>,
    pub roots: Vec<CertificateDer<'static>>,
    pub lists: Vec<CertificateRevocationListDer<'static>>,
    pub denied: BTreeSet<KeyPrint>,
}

impl Belief {
    fn store<'a>(
        roots: impl Iterator<Item = &'a CertificateDer<'static>>,
    ) -> Result<Arc<RootCertStore>, TermsError> {
        let mut store = RootCertStore::empty();
        for root in roots {
            store.add(root.clone()).map_err(certificates::error)?;
        }
        Ok(Arc::new(store))
    }
    /// What workers are judged by.
    pub fn of_workers(&self, limits: &[Limited]) -> Result<Workers, TermsError> {
        let mut groups = Vec::new();
        let named: Vec<(String, &CertificateDer<'static>)> = self
            .roots
            .iter()
            .map(|root| Ok((certificates::authority_name(root)?, root)))
            .collect::<Result<_, TermsError>>()?;
        let free = named
            .iter()
            .filter(|(name, _)| limits.iter().all(|limit| limit.authority != *name));
        let free: Vec<_> = free.map(|(_, root)| *root).collect();
        let limited = limits.iter().map(|limit| {
            (
                Some(limit.clone()),
                named
                    .iter()
                    .filter(|(name, _)| *name == limit.authority)
                    .map(|(_, root)| *root)
                    .collect::<Vec<_>>(),
            )
        });
        for (limit, roots) in [(None, free)]
            .into_iter()
            .chain(limited)
            .filter(|(_, roots)| !roots.is_empty())
        {
            let builder = WebPkiServerVerifier::builder_with_provider(
                Self::store(roots.into_iter())?,
                self.provider.clone(),
            );
            let builder = builder
                .with_crls(self.lists.clone())
                .allow_unknown_revocation_status();
            groups.push((limit, builder.build().map_err(certificates::error)?));
        }
        Ok(Workers {
            provider: self.provider.clone(),
            groups,
            denied: self.denied.clone(),
        })
    }
    /// What callers are judged by.
    pub fn of_callers(&self, have_to: bool) -> Result<Callers, TermsError> {
        let builder = WebPkiClientVerifier::builder_with_provider(
            Self::store(self.roots.iter())?,
            self.provider.clone(),
        );
        let builder = builder
            .with_crls(self.lists.clone())
            .allow_unknown_revocation_status();
        let builder = if have_to {
            builder
        } else {
            builder.allow_unauthenticated()
        };
        Ok(Callers {
            inner: builder.build().map_err(certificates::error)?,
            denied: self.denied.clone(),
        })
    }
}

fn none_is_denied<'a>(
    denied: &BTreeSet<KeyPrint>,
    chain: impl Iterator<Item = &'a CertificateDer<'a>>,
) -> Result<(), Error> {
    if denied.is_empty() {
        return Ok(());
    }
    for certificate in chain {
        let print = KeyPrint::of_certificate(certificate)
            .map_err(|_| Error::InvalidCertificate(CertificateError::BadEncoding))?;
        if denied.contains(&print) {
            return Err(Error::General(format!("key {print} is denied")));
        }
    }
    Ok(())
}

#[derive(Debug)]
pub(crate) struct Workers {
    provider: Arc<CryptoProvider>,
    groups: Vec<(Option<Limited>, Arc<WebPkiServerVerifier>)>,
    denied: BTreeSet<KeyPrint>,
}

impl ServerCertVerifier for Workers {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        none_is_denied(
            &self.denied,
            std::iter::once(end_entity).chain(intermediates),
        )?;
        let name = server_name.to_str().to_ascii_lowercase();
        let mut judged = Err(Error::InvalidCertificate(CertificateError::UnknownIssuer));
        for (limit, verifier) in &self.groups {
            let verdict = verifier.verify_server_cert(
                end_entity,
                intermediates,
                server_name,
                ocsp_response,
                now,
            );
            match (verdict, limit) {
                (Ok(_), Some(limit)) if !limit.covers(&name) => {
                    judged = Err(Error::General(format!(
                        "authority {:?} may not speak for {name}",
                        limit.authority
                    )));
                }
                (Ok(good), _) => {
                    judged = Ok(good);
                    break;
                }
                // An authority that is not the one says the least.
                (Err(Error::InvalidCertificate(CertificateError::UnknownIssuer)), _) => {}
                (Err(e), _) => judged = Err(e),
            }
        }
        let good = judged?;
        let owned = certificates::names(end_entity);
        if !owned.contains(&name) {
            let owned = owned.join(", ");
            return Err(Error::General(format!(
                "{name} is listed and {owned} is shown: a wildcard is not its own name"
            )));
        }
        Ok(good)
    }
    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls12_signature(
            message,
            cert,
            dss,
            &self.provider.signature_verification_algorithms,
        )
    }
    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature(
            message,
            cert,
            dss,
            &self.provider.signature_verification_algorithms,
        )
    }
    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

#[derive(Debug)]
pub(crate) struct Callers {
    inner: Arc<dyn ClientCertVerifier>,
    denied: BTreeSet<KeyPrint>,
}

impl ClientCertVerifier for Callers {
    fn offer_client_auth(&self) -> bool {
        self.inner.offer_client_auth()
    }
    fn client_auth_mandatory(&self) -> bool {
        self.inner.client_auth_mandatory()
    }
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        self.inner.root_hint_subjects()
    }
    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        none_is_denied(
            &self.denied,
            std::iter::once(end_entity).chain(intermediates),
        )?;
        self.inner
            .verify_client_cert(end_entity, intermediates, now)
    }
    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls12_signature(message, cert, dss)
    }
    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls13_signature(message, cert, dss)
    }
    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}
