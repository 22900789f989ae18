//! Authentication and authorization of requests: tokens, certificates, the key set in force and access rights.

use crate::audit::AuditLog;
use crate::endpoint_cache::CachedState;
use sanddrum_identity::authenticator::ConnectionTrust;
use sanddrum_identity::authorization::{Pattern, Rule};
use sanddrum_identity::certificates::{
    CertificateError, CertificateOwners, ClientCertificate, StatedCustomers,
};
use sanddrum_identity::token::{self, TokenRequirements};
use sanddrum_identity::{
    Authenticator, AuthenticatorLimits, Authorization, KeySet, KeySetFloor, TokenError,
};
use sanddrum_net::{ConnectionId, FileError, Io, Micros};
use sanddrum_settings::{LoadedSettings, Origin};
use sanddrum_wire::http::Request;
use serde_json::json;
use std::collections::BTreeMap;
use thiserror::Error;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Whether requests need a token.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TokenPolicy {
    /// Tokens are ignored.
    Off,
    /// A token is verified if the request has one.
    Optional,
    /// A request without a token is rejected.
    Required,
}

/// Whether clients need a certificate.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CertificatePolicy {
    /// Certificates are not requested.
    Off,
    /// A certificate is verified if the client presents one.
    Optional,
    /// Requests of a client without a certificate are rejected.
    Required,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// The token is missing or invalid, or can't be verified now.
    #[error("{}", .0.detail())]
    Token(TokenError),
    /// No key set is in force yet.
    #[error("this edge has no keys to check tokens with yet; ask another one")]
    NoKeys,
    /// The certificate is missing or invalid, or the customers of the certificate, the token and the request differ.
    #[error("{}", .0.detail())]
    Certificate(CertificateError),
    /// The customer has no access to the function.
    #[error("this customer may not run this function")]
    NotAllowed,
}

impl AuthError {
    /// The HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            AuthError::Token(TokenError::Busy) | AuthError::NoKeys => 503,
            AuthError::Token(_)
            | AuthError::Certificate(CertificateError::Missing | CertificateError::Denied) => 401,
            AuthError::Certificate(_) | AuthError::NotAllowed => 403,
        }
    }

    /// The name of the reason on the wire, in logs and in metrics.
    pub fn reason(self) -> &'static str {
        match self {
            AuthError::Token(error) => error.reason(),
            AuthError::NoKeys => "keys-missing",
            AuthError::Certificate(error) => error.reason(),
            AuthError::NotAllowed => "not-allowed",
        }
    }
}

/// The function that a request names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTarget<'a> {
    /// The workload's name.
    pub workload: &'a str,
    /// The function's name within the workload.
    pub function: &'a str,
}

/// The access rights that the settings define.
pub fn access_rights(settings: &LoadedSettings) -> Authorization {
    let mut rules = Vec::new();
    for (section, allows) in [("deny", false), ("allow", true)] {
        for (index, customer) in settings.names(section).iter().enumerate() {
            rules.push(access_rule(settings, section, index, customer, allows));
        }
    }
    Authorization {
        rules,
        allows_by_default: settings.text("rights.default") != "deny",
    }
}

fn access_rule(
    settings: &LoadedSettings,
    section: &str,
    index: usize,
    customer: &String,
    allows: bool,
) -> Rule {
    let patterns = |names: &[String]| {
        let valid = names.iter().filter_map(|name| Pattern::new(name).ok());
        valid.collect()
    };
    let key = |name: &str| format!("{section}.{index}.{name}");
    let source = match settings.origins.get(&key("name")) {
        Some(Origin::File { line, .. }) => format!("({section} {customer:?} ...) in line {line}"),
        _ => format!("({section} {customer:?} ...)"),
    };
    Rule {
        allows,
        customers: patterns(std::slice::from_ref(customer)),
        workloads: patterns(&settings.names(&key("workloads"))),
        functions: patterns(&settings.names(&key("functions"))),
        source,
    }
}

/// The customers to which names in certificates belong.
fn certificate_owners(settings: &LoadedSettings) -> CertificateOwners {
    let customers = settings.names("customers").into_iter().enumerate();
    CertificateOwners::new(customers.flat_map(|(index, customer)| {
        let names = settings.names(&format!("customers.{index}.certificates"));
        let owner = move |name: String| {
            let pattern = Pattern::new(&name.to_ascii_lowercase()).ok()?;
            Some((pattern, customer.clone()))
        };
        names.into_iter().filter_map(owner).collect::<Vec<_>>()
    }))
}

fn authenticator(settings: &LoadedSettings) -> Authenticator {
    let seconds = |name: &str| settings.duration_us(name) / MICROS_PER_SECOND;
    let requirements = TokenRequirements {
        audience: settings.text("identity.audience").to_string(),
        leeway: seconds("identity.leeway-us"),
        max_lifetime: seconds("identity.longest-token-us"),
        max_bytes: settings.integer("identity.largest-token-bytes"),
    };
    let limits = AuthenticatorLimits {
        verifications_per_s: settings.number("identity.token-checks"),
        max_cached_tokens: settings.integer("identity.token-memory"),
        max_invalid_tokens: settings.integer("identity.bad-tokens") as u32,
    };
    Authenticator::new(limits, requirements)
}

/// Authenticates and authorizes requests.
pub(crate) struct Identity {
    token_policy: TokenPolicy,
    certificate_policy: CertificatePolicy,
    authenticator: Authenticator,
    /// The key set in force.
    keys: Option<KeySet>,
    /// The minimum version and the revoked keys that every later key set must respect.
    floor: KeySetFloor,
    rights: Authorization,
    /// The token history of each client connection.
    connection_trust: BTreeMap<ConnectionId, ConnectionTrust>,
    certificate_owners: CertificateOwners,
    /// The certificate of each client connection.
    certificates: BTreeMap<ConnectionId, ClientCertificate>,
    audit: AuditLog,
}

impl Identity {
    /// The configured policies, without a key set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let token_policy = match settings.text("identity.tokens") {
            "required" => TokenPolicy::Required,
            "optional" => TokenPolicy::Optional,
            _ => TokenPolicy::Off,
        };
        let certificate_policy = match settings.text("door.certificates") {
            "off" => CertificatePolicy::Off,
            "required" => CertificatePolicy::Required,
            _ => CertificatePolicy::Optional,
        };
        let audit_rate = settings.number("identity.audit-rate");
        Identity {
            token_policy,
            certificate_policy,
            authenticator: authenticator(settings),
            keys: None,
            floor: KeySetFloor::default(),
            rights: access_rights(settings),
            connection_trust: BTreeMap::new(),
            certificate_owners: certificate_owners(settings),
            certificates: BTreeMap::new(),
            audit: AuditLog::new(settings.text("edge.name"), audit_rate),
        }
    }

    /// Restores the key set floor that an earlier process saved.
    pub fn restore_floor(&mut self, state: &CachedState) {
        self.floor = KeySetFloor {
            version: state.keys_version,
            revoked: state.keys_revoked.iter().cloned().collect(),
        };
    }

    /// The key set floor, which has to be saved for later processes.
    pub fn floor(&self) -> &KeySetFloor {
        &self.floor
    }

    /// Registers a client connection.
    pub fn client_connected(&mut self, conn: ConnectionId, io: &dyn Io) {
        if self.certificate_policy == CertificatePolicy::Off {
            return;
        }
        if let Some(peer) = io.peer(conn) {
            let certificate = ClientCertificate {
                names: peer.names,
                key_fingerprint: peer.key_fingerprint,
                is_denied: false,
            };
            self.certificates.insert(conn, certificate);
        }
    }

    /// Removes a client connection that was closed.
    pub fn client_disconnected(&mut self, conn: ConnectionId) {
        self.connection_trust.remove(&conn);
        self.certificates.remove(&conn);
    }

    /// Denies the certificate of a client connection; further requests on the connection are rejected.
    pub fn deny_certificate(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let certificate = self.certificates.entry(conn).or_default();
        let (key, names) = (
            certificate.key_fingerprint.clone(),
            certificate.names.clone(),
        );
        certificate.is_denied = true;
        tracing::warn!(
            reason = "certificate-denied",
            key,
            "client certificate is no longer valid"
        );
        let line = json!({"what": "certificate-denied", "certificate": key, "names": names});
        self.audit.write(now, line, io);
    }

    /// Whether a client connection has to be closed because its certificate is denied or it has sent too many invalid
    /// tokens.
    pub fn must_disconnect(&self, conn: ConnectionId) -> bool {
        let is_denied = |certificate: &ClientCertificate| certificate.is_denied;
        let is_untrusted = |trust: &ConnectionTrust| self.authenticator.must_close(*trust);
        self.certificates.get(&conn).is_some_and(is_denied)
            || self.connection_trust.get(&conn).is_some_and(is_untrusted)
    }

    /// Authenticates and authorizes a request, and returns its customer, if it has one. Rejections are audited.
    ///
    /// # Errors
    /// The customer can't be authenticated, or has no access to the function.
    pub fn authorize(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
        target: RequestTarget<'_>,
        io: &mut dyn Io,
    ) -> Result<Option<String>, AuthError> {
        let authorized = self
            .authenticate(now, conn, request)
            .and_then(|customer| self.check_rights(customer, target));
        if let Err(error) = authorized {
            self.audit_rejection(now, conn, request, target, error, io);
        }
        authorized
    }

    /// The customer of the request, if it has one.
    fn authenticate(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
    ) -> Result<Option<String>, AuthError> {
        let certificate = self.certificates.get(&conn).cloned().unwrap_or_default();
        let certificate_customer = self
            .certificate_owners
            .customer(&certificate)
            .map_err(AuthError::Certificate)?;
        if certificate_customer.is_none() && self.certificate_policy == CertificatePolicy::Required
        {
            return Err(AuthError::Certificate(CertificateError::Missing));
        }
        let token_customer = self.verify_token(now, conn, request)?;
        // An unverified customer name is accepted only if neither tokens nor certificates are in use.
        let accepts_unverified = self.token_policy == TokenPolicy::Off
            && self.certificate_policy == CertificatePolicy::Off;
        let stated = StatedCustomers {
            unverified: request.field("sanddrum-customer"),
            token: token_customer.as_deref(),
            certificate: certificate_customer.as_deref(),
        };
        stated
            .resolve(accepts_unverified)
            .map_err(AuthError::Certificate)
    }

    /// The customer that the request's token proves, if it has one.
    fn verify_token(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
    ) -> Result<Option<String>, AuthError> {
        if self.token_policy == TokenPolicy::Off {
            return Ok(None);
        }
        let Some(token) = bearer_token(request) else {
            return match self.token_policy {
                TokenPolicy::Required => Err(AuthError::Token(TokenError::Missing)),
                TokenPolicy::Off | TokenPolicy::Optional => Ok(None),
            };
        };
        let keys = self.keys.as_ref().ok_or(AuthError::NoKeys)?;
        let trust = self.connection_trust.entry(conn).or_default();
        let authenticated = self
            .authenticator
            .authenticate(now, token, keys, trust)
            .map_err(AuthError::Token)?;
        Ok(Some(authenticated.claims.sub))
    }

    fn check_rights(
        &self,
        customer: Option<String>,
        target: RequestTarget<'_>,
    ) -> Result<Option<String>, AuthError> {
        let name = customer.as_deref().unwrap_or_default();
        let decision = self.rights.decide(name, target.workload, target.function);
        if decision.is_allowed {
            Ok(customer)
        } else {
            Err(AuthError::NotAllowed)
        }
    }

    /// Logs and audits a rejected request. The customer is reported as claimed, since it may be unverified. The token
    /// itself is never logged.
    fn audit_rejection(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
        target: RequestTarget<'_>,
        error: AuthError,
        io: &mut dyn Io,
    ) {
        let claimed = bearer_token(request)
            .and_then(token::unverified_subject)
            .or_else(|| request.field("sanddrum-customer").map(token::sanitize));
        let (workload, function) = (
            token::sanitize(target.workload),
            token::sanitize(target.function),
        );
        let call = format!("{workload}/{function}");
        let key = bearer_token(request).and_then(token::unverified_key_id);
        let certificate = self
            .certificates
            .get(&conn)
            .map(|certificate| certificate.key_fingerprint.clone())
            .filter(|key| !key.is_empty());
        let reason = error.reason();
        tracing::info!(
            reason,
            claimed,
            key,
            certificate,
            call,
            "request not authorized"
        );
        let line = json!({
            "what": "refused", "reason": reason, "claimed": claimed, "key": key,
            "certificate": certificate, "call": call,
        });
        self.audit.write(now, line, io);
    }

    /// Reads a key set from the content of the key file. Returns none if it is invalid, may not replace the key set in
    /// force, or is equal to it.
    pub fn read_keys(
        &mut self,
        now: Micros,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) -> Option<KeySet> {
        let (reason, why) = match content.map(KeySet::read) {
            Ok(Ok(keys)) => {
                let seconds = now / MICROS_PER_SECOND;
                match keys.check_successor(self.keys.as_ref(), &self.floor, seconds) {
                    Ok(()) => return Some(keys).filter(|keys| self.keys.as_ref() != Some(keys)),
                    Err(error) => (error.reason(), error.to_string()),
                }
            }
            Ok(Err(error)) => ("keys-unreadable", error.to_string()),
            Err(error) => ("keys-unreadable", error.to_string()),
        };
        self.reject_keys(now, reason, &why, io);
        None
    }

    fn reject_keys(&mut self, now: Micros, reason: &'static str, why: &str, io: &mut dyn Io) {
        let in_force = self.keys.as_ref().map(|keys| keys.version);
        tracing::error!(
            reason,
            why,
            in_force,
            "key set rejected; the last valid one stays in force"
        );
        metrics::counter!("sanddrum_key_sets_refused_total", "reason" => reason).increment(1);
        let line =
            json!({"what": "keys-refused", "reason": reason, "why": why, "in_force": in_force});
        self.audit.write(now, line, io);
    }

    /// Raises the floor to a new key set. The floor must be saved before the key set is installed, so that a crash in
    /// between can't make a revoked key valid again.
    pub fn raise_floor(&mut self, keys: &KeySet) {
        self.floor = keys.floor(&self.floor);
    }

    /// Puts a key set into force.
    pub fn install_keys(&mut self, now: Micros, keys: KeySet, io: &mut dyn Io) {
        let states: BTreeMap<&String, String> = keys
            .keys
            .iter()
            .map(|(id, key)| (id, format!("{:?}", key.state)))
            .collect();
        tracing::info!(version = keys.version, ?states, "key set in force");
        metrics::gauge!("sanddrum_keys_version").set(keys.version as f64);
        let line = json!({"what": "keys", "version": keys.version, "states": states});
        self.audit.write(now, line, io);
        self.keys = Some(keys);
    }
}

/// The bearer token of a request (RFC 6750, section 2.1).
fn bearer_token(request: &Request) -> Option<&str> {
    let (scheme, token) = request.field("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
