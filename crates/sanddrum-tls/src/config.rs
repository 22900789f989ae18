//! The TLS configuration of connections: the certificate to present, whom to trust, and the time for validity checks.

use crate::certificates::{self, config_error, KeyFingerprint, TlsConfigError, TlsMaterial};
use crate::verify::{ClientVerifier, NameConstraint, TrustAnchors, WorkerVerifier};
use rustls::client::danger::ServerCertVerifier;
use rustls::client::Resumption;
use rustls::crypto::ring::default_provider;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::ServerSessionMemoryCache;
use rustls::time_provider::TimeProvider;
use rustls::{version::TLS13, ClientConfig, ClientConnection, ServerConfig, ServerConnection};
use sanddrum_net::Micros;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The driver's clock, by which the validity of certificates is checked.
#[derive(Debug)]
struct Clock(AtomicI64);

impl TimeProvider for Clock {
    fn current_time(&self) -> Option<UnixTime> {
        Some(unix_time(self.0.load(Ordering::Relaxed)))
    }
}
fn unix_time(now: Micros) -> UnixTime {
    UnixTime::since_unix_epoch(Duration::from_micros(now.max(0) as u64))
}

/// Whether clients are requested to present a certificate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClientAuth {
    /// No certificate is requested.
    #[default]
    Disabled,
    /// A client may present one.
    Optional,
    /// A client that presents none is rejected.
    Required,
}

/// The parts of a configuration that do not come from its files.
#[derive(Clone, Debug, Default)]
pub struct TlsOptions {
    /// Whether clients present certificates.
    pub client_auth: ClientAuth,
    /// Maximum number of sessions cached for resumption; zero disables resumption.
    pub session_cache_size: usize,
    /// Authorities that may issue certificates for some names only.
    pub name_constraints: Vec<NameConstraint>,
}

/// The expiry of a certificate or a revocation list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// What expires, for logs and metrics.
    pub item: String,
    /// When it expires, in microseconds since 1970.
    pub at: Micros,
}

/// The configuration of connections, with TLS 1.3 only; both peers may present certificates. Each configuration has a
/// session cache of its own: after a change of roots, revocation lists or denied keys no session is resumed that was
/// verified by the old ones.
#[derive(Clone)]
pub struct TlsConfig {
    clock: Arc<Clock>,
    client: Arc<ClientConfig>,
    server: Option<Arc<ServerConfig>>,
    worker_verifier: Arc<WorkerVerifier>,
    client_verifier: Option<Arc<ClientVerifier>>,
    /// The validity period of the certificate to present.
    validity: Option<(Micros, Micros)>,
    expiries: Vec<Expiry>,
}

/// A certificate chain with its private key.
type CertifiedKey = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

/// The roots that are trusted: those whose key is not denied.
fn trusted_roots(
    material: &TlsMaterial,
    denied_keys: &BTreeSet<KeyFingerprint>,
) -> Result<Vec<CertificateDer<'static>>, TlsConfigError> {
    let mut roots = certificates::read_certificates(&material.roots, "roots")?;
    roots.retain(|root| {
        KeyFingerprint::of_certificate(root)
            .is_ok_and(|fingerprint| !denied_keys.contains(&fingerprint))
    });
    Ok(roots)
}

/// The certificate chain to present, if any, and its key.
fn certified_key(material: &TlsMaterial) -> Result<Option<CertifiedKey>, TlsConfigError> {
    let Some((chain, key)) = &material.certified_key else {
        return Ok(None);
    };
    let chain = certificates::read_certificates(chain, "certificate")?;
    Ok(Some((chain, certificates::read_private_key(key)?)))
}

/// When authorities, revocation lists and the certificate to present expire.
fn expiries(
    material: &TlsMaterial,
    roots: &[CertificateDer<'static>],
    validity: Option<(Micros, Micros)>,
) -> Result<Vec<Expiry>, TlsConfigError> {
    let mut expiries = Vec::new();
    for root in roots {
        let name = certificates::subject_common_name(root)?;
        let (_, at) = certificates::validity(root)?;
        expiries.push(Expiry {
            item: format!("authority {name}"),
            at,
        });
    }
    for (issuer, (_, next)) in certificates::revocation_list_updates(&material.revocation_lists)? {
        expiries.extend(next.map(|at| Expiry {
            item: format!("revocation list of {issuer}"),
            at,
        }));
    }
    expiries.extend(validity.map(|(_, at)| Expiry {
        item: "certificate".into(),
        at,
    }));
    Ok(expiries)
}

/// Builds the library's configurations for clients and servers.
struct Builder {
    clock: Arc<Clock>,
    provider: Arc<CryptoProvider>,
    session_cache_size: usize,
}

impl Builder {
    fn client(
        &self,
        verifier: Arc<WorkerVerifier>,
        certified_key: Option<&CertifiedKey>,
    ) -> Result<ClientConfig, TlsConfigError> {
        let client = ClientConfig::builder_with_details(self.provider.clone(), self.clock.clone());
        let client = client
            .with_protocol_versions(&[&TLS13])
            .map_err(config_error)?;
        let client = client
            .dangerous()
            .with_custom_certificate_verifier(verifier);
        let mut client = match certified_key {
            Some((chain, key)) => client
                .with_client_auth_cert(chain.clone(), key.clone_key())
                .map_err(config_error)?,
            None => client.with_no_client_auth(),
        };
        client.resumption = match self.session_cache_size {
            0 => Resumption::disabled(),
            size => Resumption::in_memory_sessions(size),
        };
        Ok(client)
    }

    fn server(
        &self,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        verifier: Option<Arc<ClientVerifier>>,
    ) -> Result<ServerConfig, TlsConfigError> {
        let server = ServerConfig::builder_with_details(self.provider.clone(), self.clock.clone());
        let server = server
            .with_protocol_versions(&[&TLS13])
            .map_err(config_error)?;
        let server = match verifier {
            None => server.with_no_client_auth(),
            Some(verifier) => server.with_client_cert_verifier(verifier),
        };
        let mut server = server.with_single_cert(chain, key).map_err(config_error)?;
        match self.session_cache_size {
            0 => server.send_tls13_tickets = 0,
            size => server.session_storage = ServerSessionMemoryCache::new(size),
        }
        Ok(server)
    }
}

impl TlsConfig {
    /// A configuration that trusts what the given roots signed. A certificate chain and its key are needed to accept
    /// connections; outbound connections present them too.
    ///
    /// # Errors
    /// A part can't be read or contains nothing of its kind, as a partly written file does, or the key does not match
    /// the chain.
    pub fn new(material: &TlsMaterial, options: &TlsOptions) -> Result<Self, TlsConfigError> {
        let clock = Arc::new(Clock(AtomicI64::new(0)));
        let provider = Arc::new(default_provider());
        let denied_keys = certificates::parse_denied_keys(&material.denied_keys)?;
        let roots = trusted_roots(material, &denied_keys)?;
        let revocation_lists = certificates::read_revocation_lists(&material.revocation_lists)?;
        let certified_key = certified_key(material)?;
        let validity = certified_key
            .as_ref()
            .map(|(chain, _)| certificates::validity(&chain[0]))
            .transpose()?;
        let expiries = expiries(material, &roots, validity)?;
        let anchors = TrustAnchors {
            provider: provider.clone(),
            roots,
            revocation_lists,
            denied_keys,
        };
        let worker_verifier = Arc::new(anchors.worker_verifier(&options.name_constraints)?);
        let builder = Builder {
            clock: clock.clone(),
            provider,
            session_cache_size: options.session_cache_size,
        };
        let client = builder.client(worker_verifier.clone(), certified_key.as_ref())?;
        let client_verifier = match options.client_auth {
            ClientAuth::Optional | ClientAuth::Required if certified_key.is_some() => Some(
                Arc::new(anchors.client_verifier(options.client_auth == ClientAuth::Required)?),
            ),
            _ => None,
        };
        let server = certified_key
            .map(|(chain, key)| builder.server(chain, key, client_verifier.clone()))
            .transpose()?;
        Ok(TlsConfig {
            clock,
            client: Arc::new(client),
            server: server.map(Arc::new),
            worker_verifier,
            client_verifier,
            validity,
            expiries,
        })
    }

    /// Checks that the certificate to present, if any, is valid now.
    ///
    /// # Errors
    /// It has expired, or is not valid yet.
    pub fn check_validity(&self, now: Micros) -> Result<(), TlsConfigError> {
        match self.validity {
            Some((from, _)) if now < from => Err(config_error("certificate: not valid yet")),
            Some((_, until)) if now > until => Err(config_error("certificate: has expired")),
            _ => Ok(()),
        }
    }
    /// When authorities, revocation lists and the certificate to present expire.
    pub fn expiries(&self) -> &[Expiry] {
        &self.expiries
    }
    pub(crate) fn set_time(&self, now: Micros) {
        self.clock.0.store(now, Ordering::Relaxed);
    }
    /// The server end of a new connection.
    ///
    /// # Errors
    /// There is no certificate to present.
    pub(crate) fn server_connection(
        &self,
        now: Micros,
    ) -> Result<ServerConnection, TlsConfigError> {
        self.set_time(now);
        let server = self
            .server
            .clone()
            .ok_or_else(|| config_error("no certificate is configured"))?;
        ServerConnection::new(server).map_err(config_error)
    }
    /// The client end of a new connection to a server whose certificate must contain `name`.
    ///
    /// # Errors
    /// It is not a valid server name.
    pub fn client_connection(
        &self,
        now: Micros,
        name: &str,
    ) -> Result<ClientConnection, TlsConfigError> {
        self.set_time(now);
        let name = ServerName::try_from(name.to_string()).map_err(config_error)?;
        ClientConnection::new(self.client.clone(), name).map_err(config_error)
    }
    /// Verifies the certificate chain of an established connection's peer again. `name` is the expected name of a
    /// worker, and `None` for a client. A peer without certificates passes.
    ///
    /// # Errors
    /// This configuration would reject the peer.
    pub(crate) fn verify_peer(
        &self,
        now: Micros,
        name: Option<&str>,
        chain: &[CertificateDer<'_>],
    ) -> Result<(), TlsConfigError> {
        let Some((leaf, intermediates)) = chain.split_first() else {
            return Ok(());
        };
        let verified = match name {
            Some(name) => {
                let name = ServerName::try_from(name.to_string()).map_err(config_error)?;
                self.worker_verifier
                    .verify_server_cert(leaf, intermediates, &name, &[], unix_time(now))
                    .map(|_| ())
            }
            None => match &self.client_verifier {
                Some(verifier) => verifier
                    .verify_client_cert(leaf, intermediates, unix_time(now))
                    .map(|_| ()),
                None => return Err(config_error("client certificates are no longer requested")),
            },
        };
        verified.map_err(config_error)
    }
}
