//! On which terms connections are made: what this side shows, whom it trusts, and what time it is.

use rustls::client::Resumption;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::time_provider::TimeProvider;
use rustls::{version::TLS13, ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection};
use sanddrum_net::Micros;
use std::fmt;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The driver's clock, for judging certificates by.
#[derive(Debug)]
struct Clock(AtomicI64);

impl TimeProvider for Clock {
    fn current_time(&self) -> Option<UnixTime> {
        let us = self.0.load(Ordering::Relaxed).max(0) as u64;
        Some(UnixTime::since_unix_epoch(Duration::from_micros(us)))
    }
}

/// Why terms can't be had: a certificate, a key or a root is not good, or a name is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsError(String);

impl fmt::Display for TermsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TermsError {}

fn error(e: impl fmt::Display) -> TermsError {
    TermsError(e.to_string())
}

/// TLS 1.3 only; both ends may show certificates.
#[derive(Clone)]
pub struct Terms {
    clock: Arc<Clock>,
    client: Arc<ClientConfig>,
    server: Option<Arc<ServerConfig>>,
}

impl Terms {
    /// Trusts what these roots signed. With a chain and its key this side shows them, and can serve callers; with
    /// `callers` on, callers have to show one that these roots signed.
    ///
    /// # Errors
    /// A root can't be read, or the chain and the key do not go together.
    pub fn new(
        roots: &[CertificateDer<'static>],
        own: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
        callers: bool,
        sessions: usize,
    ) -> Result<Self, TermsError> {
        let clock = Arc::new(Clock(AtomicI64::new(0)));
        let provider = Arc::new(default_provider());
        let mut store = RootCertStore::empty();
        for root in roots {
            store.add(root.clone()).map_err(error)?;
        }
        let store = Arc::new(store);
        let client = ClientConfig::builder_with_details(provider.clone(), clock.clone());
        let client =
            client.with_protocol_versions(&[&TLS13]).map_err(error)?.with_root_certificates(store.clone());
        let mut client = match &own {
            Some((chain, key)) => {
                client.with_client_auth_cert(chain.clone(), key.clone_key()).map_err(error)?
            }
            None => client.with_no_client_auth(),
        };
        client.resumption = Resumption::in_memory_sessions(sessions);
        let server = own.map(|(chain, key)| -> Result<Arc<ServerConfig>, TermsError> {
            let server = ServerConfig::builder_with_details(provider.clone(), clock.clone());
            let server = server.with_protocol_versions(&[&TLS13]).map_err(error)?;
            let server = match callers {
                true => {
                    let verifier =
                        WebPkiClientVerifier::builder_with_provider(store.clone(), provider.clone());
                    server.with_client_cert_verifier(verifier.build().map_err(error)?)
                }
                false => server.with_no_client_auth(),
            };
            server.with_single_cert(chain, key).map(Arc::new).map_err(error)
        });
        Ok(Terms { clock, client: Arc::new(client), server: server.transpose()? })
    }
    /// The same from PEM texts (RFC 7468): roots, and a chain with its key.
    ///
    /// # Errors
    /// As [`Terms::new`]; also where a text holds nothing of its kind, as a file that is half written does.
    pub fn from_pem(
        roots: &[u8],
        own: Option<(&[u8], &[u8])>,
        callers: bool,
        sessions: usize,
    ) -> Result<Self, TermsError> {
        let certificates = |pem: &[u8], what: &str| -> Result<Vec<CertificateDer<'static>>, TermsError> {
            let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
            let read = read.map_err(|e| TermsError(format!("{what}: {e}")))?;
            if read.is_empty() {
                return Err(TermsError(format!("{what}: no certificate is in it")));
            }
            Ok(read)
        };
        let roots = certificates(roots, "roots")?;
        let own = match own {
            None => None,
            Some((chain, key)) => {
                // What is wrong with a key is told without any of its content.
                let key =
                    PrivateKeyDer::from_pem_slice(key).map_err(|_| error("key: no private key is in it"))?;
                Some((certificates(chain, "certificate")?, key))
            }
        };
        Terms::new(&roots, own, callers, sessions)
    }
    pub(crate) fn shows_certificate(&self) -> bool {
        self.server.is_some()
    }
    pub(crate) fn set_time(&self, now: Micros) {
        self.clock.0.store(now, Ordering::Relaxed);
    }
    pub(crate) fn serve(&self, now: Micros) -> Result<ServerConnection, TermsError> {
        self.set_time(now);
        let server = self.server.clone().ok_or_else(|| error("no certificate of its own is set"))?;
        ServerConnection::new(server).map_err(error)
    }
    /// The other side has to own this name.
    pub(crate) fn call(&self, now: Micros, name: &str) -> Result<ClientConnection, TermsError> {
        self.set_time(now);
        let name = ServerName::try_from(name.to_string()).map_err(error)?;
        ClientConnection::new(self.client.clone(), name).map_err(error)
    }
}
