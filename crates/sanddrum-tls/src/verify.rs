//! Verification of peer certificates. The TLS library checks chains, validity periods, revocation lists and key usage.
//! This module also checks that a worker's certificate contains its name literally, that its authority may issue
//! certificates for that name, and that no key in the chain is denied.

use crate::certificates::{self, KeyFingerprint, TlsConfigError};
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

/// The only names for which an authority may issue certificates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameConstraint {
    /// The authority's common name.
    pub authority: String,
    /// Full names; one that begins with a dot permits all names below it.
    pub names: Vec<String>,
}

impl NameConstraint {
    fn permits(&self, name: &str) -> bool {
        let matches = |permitted: &String| match permitted.starts_with('.') {
            true => name.ends_with(permitted.as_str()) && name.len() > permitted.len(),
            false => name == permitted,
        };
        self.names.iter().any(matches)
    }
}

/// What peers are verified against.
pub(crate) struct TrustAnchors {
    pub provider: Arc<CryptoProvider>,
    pub roots: Vec<CertificateDer<'static>>,
    pub revocation_lists: Vec<CertificateRevocationListDer<'static>>,
    pub denied_keys: BTreeSet<KeyFingerprint>,
}

impl TrustAnchors {
    fn root_store<'a>(
        roots: impl Iterator<Item = &'a CertificateDer<'static>>,
    ) -> Result<Arc<RootCertStore>, TlsConfigError> {
        let mut store = RootCertStore::empty();
        for root in roots {
            store
                .add(root.clone())
                .map_err(certificates::config_error)?;
        }
        Ok(Arc::new(store))
    }
    /// A verifier for workers: one group of authorities without a constraint, and one for each constraint.
    pub fn worker_verifier(
        &self,
        constraints: &[NameConstraint],
    ) -> Result<WorkerVerifier, TlsConfigError> {
        let mut groups = Vec::new();
        let named: Vec<(String, &CertificateDer<'static>)> = self
            .roots
            .iter()
            .map(|root| Ok((certificates::subject_common_name(root)?, root)))
            .collect::<Result<_, TlsConfigError>>()?;
        let unconstrained = named.iter().filter(|(name, _)| {
            constraints
                .iter()
                .all(|constraint| constraint.authority != *name)
        });
        let unconstrained: Vec<_> = unconstrained.map(|(_, root)| *root).collect();
        let constrained = constraints.iter().map(|constraint| {
            (
                Some(constraint.clone()),
                named
                    .iter()
                    .filter(|(name, _)| *name == constraint.authority)
                    .map(|(_, root)| *root)
                    .collect::<Vec<_>>(),
            )
        });
        for (constraint, roots) in [(None, unconstrained)]
            .into_iter()
            .chain(constrained)
            .filter(|(_, roots)| !roots.is_empty())
        {
            let builder = WebPkiServerVerifier::builder_with_provider(
                Self::root_store(roots.into_iter())?,
                self.provider.clone(),
            );
            let builder = builder
                .with_crls(self.revocation_lists.clone())
                .allow_unknown_revocation_status();
            groups.push((
                constraint,
                builder.build().map_err(certificates::config_error)?,
            ));
        }
        Ok(WorkerVerifier {
            provider: self.provider.clone(),
            groups,
            denied_keys: self.denied_keys.clone(),
        })
    }
    /// A verifier for clients. If `required`, it rejects a client without a certificate.
    pub fn client_verifier(&self, required: bool) -> Result<ClientVerifier, TlsConfigError> {
        let builder = WebPkiClientVerifier::builder_with_provider(
            Self::root_store(self.roots.iter())?,
            self.provider.clone(),
        );
        let builder = builder
            .with_crls(self.revocation_lists.clone())
            .allow_unknown_revocation_status();
        let builder = if required {
            builder
        } else {
            builder.allow_unauthenticated()
        };
        Ok(ClientVerifier {
            inner: builder.build().map_err(certificates::config_error)?,
            denied_keys: self.denied_keys.clone(),
        })
    }
}

fn check_not_denied<'a>(
    denied_keys: &BTreeSet<KeyFingerprint>,
    chain: impl Iterator<Item = &'a CertificateDer<'a>>,
) -> Result<(), Error> {
    if denied_keys.is_empty() {
        return Ok(());
    }
    for certificate in chain {
        let fingerprint = KeyFingerprint::of_certificate(certificate)
            .map_err(|_| Error::InvalidCertificate(CertificateError::BadEncoding))?;
        if denied_keys.contains(&fingerprint) {
            return Err(Error::General(format!("key {fingerprint} is denied")));
        }
    }
    Ok(())
}

#[derive(Debug)]
pub(crate) struct WorkerVerifier {
    provider: Arc<CryptoProvider>,
    /// The library's verifier for each group of authorities, with their constraint.
    groups: Vec<(Option<NameConstraint>, Arc<WebPkiServerVerifier>)>,
    denied_keys: BTreeSet<KeyFingerprint>,
}

impl ServerCertVerifier for WorkerVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        check_not_denied(
            &self.denied_keys,
            std::iter::once(end_entity).chain(intermediates),
        )?;
        let name = server_name.to_str().to_ascii_lowercase();
        let mut result = Err(Error::InvalidCertificate(CertificateError::UnknownIssuer));
        for (constraint, verifier) in &self.groups {
            let verified = verifier.verify_server_cert(
                end_entity,
                intermediates,
                server_name,
                ocsp_response,
                now,
            );
            match (verified, constraint) {
                (Ok(_), Some(constraint)) if !constraint.permits(&name) => {
                    result = Err(Error::General(format!(
                        "authority {:?} may not issue certificates for {name}",
                        constraint.authority
                    )));
                }
                (Ok(verified), _) => {
                    result = Ok(verified);
                    break;
                }
                // Another group's error is more specific.
                (Err(Error::InvalidCertificate(CertificateError::UnknownIssuer)), _) => {}
                (Err(e), _) => result = Err(e),
            }
        }
        let verified = result?;
        let names = certificates::dns_names(end_entity);
        if !names.contains(&name) {
            let names = names.join(", ");
            return Err(Error::General(format!(
                "the certificate is for {names}, not for {name}; wildcards do not match"
            )));
        }
        Ok(verified)
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
pub(crate) struct ClientVerifier {
    inner: Arc<dyn ClientCertVerifier>,
    denied_keys: BTreeSet<KeyFingerprint>,
}

impl ClientCertVerifier for ClientVerifier {
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
        check_not_denied(
            &self.denied_keys,
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
