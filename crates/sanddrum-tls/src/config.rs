//! On which terms connections are made: what this side shows, whom it trusts, and what time it is.

use crate::certificates::{self, error, KeyPrint, Papers, TermsError};
use crate::verify::{Belief, Callers, Limited, Workers};
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

/// The driver's clock, for judging certificates by.
#[derive(Debug)]
struct Clock(AtomicI64);

impl TimeProvider for Clock {
    fn current_time(&self) -> Option<UnixTime> {
        Some(instant(self.0.load(Ordering::Relaxed)))
    }
}
fn instant(now: Micros) -> UnixTime {
    UnixTime::since_unix_epoch(Duration::from_micros(now.max(0) as u64))
}

/// Whether callers are asked for a certificate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Asks {
    /// They are not asked.
    #[default]
    No,
    /// They may show one.
    May,
    /// Without one there is no connection.
    Must,
}

/// What terms are to be, besides the papers.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Whether callers are asked for a certificate.
    pub callers: Asks,
    /// Sessions that are remembered to be taken up again, in all.
    pub sessions: usize,
    /// Authorities that may speak for some names only.
    pub limited: Vec<Limited>,
}

/// Something with an end, and when that is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// What ends, for logs.
    pub what: String,
    /// When, in microseconds since 1970.
    pub at: Micros,
}

/// TLS 1.3 only; both ends may show certificates. Sessions are remembered within one set of terms only, so what was
/// believed before a change of roots, lists or denied keys is asked for anew.
#[derive(Clone)]
pub struct Terms {
    clock: Arc<Clock>,
    client: Arc<ClientConfig>,
    server: Option<Arc<ServerConfig>>,
    workers: Arc<Workers>,
    callers: Option<Arc<Callers>>,
    own: Option<(Micros, Micros)>,
    expiries: Vec<Expiry>,
}

/// A chain of certificates with its key.
type OwnChain = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

/// The roots that are trusted. A denied authority signs for nobody.
fn trusted_roots(
    papers: &Papers,
    denied: &BTreeSet<KeyPrint>,
) -> Result<Vec<CertificateDer<'static>>, TermsError> {
    let mut roots = certificates::certificates(&papers.roots, "roots")?;
    roots.retain(|root| KeyPrint::of_certificate(root).is_ok_and(|print| !denied.contains(&print)));
    Ok(roots)
}

/// What this side shows, if anything.
fn own_chain(papers: &Papers) -> Result<Option<OwnChain>, TermsError> {
    let Some((chain, key)) = &papers.own else {
        return Ok(None);
    };
    let chain = certificates::certificates(chain, "certificate")?;
    Ok(Some((chain, certificates::key(key)?)))
}

/// What ends, and when: authorities, revocation lists and this side's own certificate.
fn expiries(
    papers: &Papers,
    roots: &[CertificateDer<'static>],
    own: Option<(Micros, Micros)>,
) -> Result<Vec<Expiry>, TermsError> {
    let mut expiries = Vec::new();
    for root in roots {
        let name = certificates::authority_name(root)?;
        let (_, at) = certificates::holds(root)?;
        expiries.push(Expiry {
            what: format!("authority {name}"),
            at,
        });
    }
    for (issuer, (_, next)) in certificates::list_ages(&papers.revoked)? {
        expiries.extend(next.map(|at| Expiry {
            what: format!("revocation list of {issuer}"),
            at,
        }));
    }
    expiries.extend(own.map(|(_, at)| Expiry {
        what: "certificate".into(),
        at,
    }));
    Ok(expiries)
}

/// What the configurations of both ends have in common.
struct Builder {
    clock: Arc<Clock>,
    provider: Arc<CryptoProvider>,
    sessions: usize,
}

impl Builder {
    fn client(
        &self,
        workers: Arc<Workers>,
        own: Option<&OwnChain>,
    ) -> Result<ClientConfig, TermsError> {
        let client = ClientConfig::builder_with_details(self.provider.clone(), self.clock.clone());
        let client = client.with_protocol_versions(&[&TLS13]).map_err(error)?;
        let client = client.dangerous().with_custom_certificate_verifier(workers);
        let mut client = match own {
            Some((chain, key)) => client
                .with_client_auth_cert(chain.clone(), key.clone_key())
                .map_err(error)?,
            None => client.with_no_client_auth(),
        };
        client.resumption = match self.sessions {
            0 => Resumption::disabled(),
            most => Resumption::in_memory_sessions(most),
        };
        Ok(client)
    }

    fn server(
        &self,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        callers: Option<Arc<Callers>>,
    ) -> Result<ServerConfig, TermsError> {
        let server = ServerConfig::builder_with_details(self.provider.clone(), self.clock.clone());
        let server = server.with_protocol_versions(&[&TLS13]).map_err(error)?;
        let server = match callers {
            None => server.with_no_client_auth(),
            Some(verifier) => server.with_client_cert_verifier(verifier),
        };
        let mut server = server.with_single_cert(chain, key).map_err(error)?;
        match self.sessions {
            0 => server.send_tls13_tickets = 0,
            most => server.session_storage = ServerSessionMemoryCache::new(most),
        }
        Ok(server)
    }
}

impl Terms {
    /// Trusts what these roots signed. With a chain and its key this side shows them, and can serve callers.
    ///
    /// # Errors
    /// A paper can't be read or holds nothing of its kind, as a file that is half written does, or the chain and the
    /// key do not go together.
    pub fn new(papers: &Papers, rules: &Rules) -> Result<Self, TermsError> {
        let clock = Arc::new(Clock(AtomicI64::new(0)));
        let provider = Arc::new(default_provider());
        let denied = certificates::read_denied(&papers.denied)?;
        let roots = trusted_roots(papers, &denied)?;
        let lists = certificates::lists(&papers.revoked)?;
        let own = own_chain(papers)?;
        let holds = own
            .as_ref()
            .map(|(chain, _)| certificates::holds(&chain[0]))
            .transpose()?;
        let expiries = expiries(papers, &roots, holds)?;
        let belief = Belief {
            provider: provider.clone(),
            roots,
            lists,
            denied,
        };
        let workers = Arc::new(belief.of_workers(&rules.limited)?);
        let builder = Builder {
            clock: clock.clone(),
            provider,
            sessions: rules.sessions,
        };
        let client = builder.client(workers.clone(), own.as_ref())?;
        let callers = match rules.callers {
            Asks::May | Asks::Must if own.is_some() => {
                Some(Arc::new(belief.of_callers(rules.callers == Asks::Must)?))
            }
            _ => None,
        };
        let server = own
            .map(|(chain, key)| builder.server(chain, key, callers.clone()))
            .transpose()?;
        Ok(Terms {
            clock,
            client: Arc::new(client),
            server: server.map(Arc::new),
            workers,
            callers,
            own: holds,
            expiries,
        })
    }

    /// Whether what this side shows holds now.
    ///
    /// # Errors
    /// It has expired, or does not hold yet.
    pub fn hold(&self, now: Micros) -> Result<(), TermsError> {
        match self.own {
            Some((from, _)) if now < from => Err(error("certificate: it does not hold yet")),
            Some((_, until)) if now > until => Err(error("certificate: it has expired")),
            _ => Ok(()),
        }
    }
    /// What ends, and when.
    pub fn expiries(&self) -> &[Expiry] {
        &self.expiries
    }
    pub(crate) fn set_time(&self, now: Micros) {
        self.clock.0.store(now, Ordering::Relaxed);
    }
    pub(crate) fn serve(&self, now: Micros) -> Result<ServerConnection, TermsError> {
        self.set_time(now);
        let server = self
            .server
            .clone()
            .ok_or_else(|| error("no certificate of its own is set"))?;
        ServerConnection::new(server).map_err(error)
    }
    /// The other side has to own this name.
    ///
    /// # Errors
    /// It is no name.
    pub fn call(&self, now: Micros, name: &str) -> Result<ClientConnection, TermsError> {
        self.set_time(now);
        let name = ServerName::try_from(name.to_string()).map_err(error)?;
        ClientConnection::new(self.client.clone(), name).map_err(error)
    }
    /// Judges anew what a peer has shown before: a worker by its name, a caller without.
    pub(crate) fn judge(
        &self,
        now: Micros,
        name: Option<&str>,
        chain: &[CertificateDer<'_>],
    ) -> Result<(), TermsError> {
        let Some((leaf, others)) = chain.split_first() else {
            return Ok(());
        };
        let judged = match name {
            Some(name) => {
                let name = ServerName::try_from(name.to_string()).map_err(error)?;
                self.workers
                    .verify_server_cert(leaf, others, &name, &[], instant(now))
                    .map(|_| ())
            }
            None => match &self.callers {
                Some(callers) => callers
                    .verify_client_cert(leaf, others, instant(now))
                    .map(|_| ()),
                None => return Err(error("callers' certificates are not asked for any more")),
            },
        };
        judged.map_err(error)
    }
}
