//! Who calls: tokens, the key set in force, rights, and the audit of all that was refused or changed.

use crate::endpoint_cache::CachedState;
use crate::EdgeState;
use sanddrum_identity::authenticator::ConnectionTrust;
use sanddrum_identity::authorization::{Pattern, Rule};
use sanddrum_identity::certificates::{
    CertificateError, CertificateOwners, ClientCertificate, StatedCustomers,
};
use sanddrum_identity::token::{self, TokenRequirements};
use sanddrum_identity::{
    Authenticator, AuthenticatorLimits, Authorization, KeySet, KeySetFloor, TokenError,
};
use sanddrum_net::{ConnectionId, Io, Micros};
use sanddrum_settings::{LoadedSettings, Origin};
use sanddrum_wire::http::Request;
use serde_json::json;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq)]
enum TokenPolicy {
    Off,
    Optional,
    Required,
}

pub(crate) struct Identity {
    tokens: TokenPolicy,
    gate: Authenticator,
    keys: Option<KeySet>,
    floor: KeySetFloor,
    rights: Authorization,
    /// How each client's connection stands with its tokens.
    standings: BTreeMap<ConnectionId, ConnectionTrust>,
    connection_owners: CertificateOwners,
    asks_certificates: bool,
    needs_certificates: bool,
    /// What each client's connection has proved.
    presented: BTreeMap<ConnectionId, ClientCertificate>,
    audit: AuditRate,
}

/// Lines a second, and how many were left out since the last one.
struct AuditRate {
    per_s: f64,
    left: f64,
    at: Micros,
    omitted: u64,
}

/// Why a call is not taken, as the client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthError {
    Token(TokenError),
    /// No key set has ever been in force here.
    NoKeys,
    /// The certificate, or how it goes with the rest.
    Certificate(CertificateError),
    /// This customer may not run it.
    Rights,
}

impl AuthError {
    pub fn status(self) -> u16 {
        match self {
            AuthError::Token(TokenError::Busy) | AuthError::NoKeys => 503,
            AuthError::Token(_)
            | AuthError::Certificate(CertificateError::Missing | CertificateError::Denied) => 401,
            AuthError::Certificate(_) | AuthError::Rights => 403,
        }
    }
    pub fn reason(self) -> &'static str {
        match self {
            AuthError::Token(refused) => refused.reason(),
            AuthError::NoKeys => "keys-missing",
            AuthError::Certificate(doubt) => doubt.reason(),
            AuthError::Rights => "not-allowed",
        }
    }
    pub fn detail(self) -> &'static str {
        match self {
            AuthError::Token(refused) => refused.detail(),
            AuthError::NoKeys => "this edge has no keys to check tokens with yet; ask another one",
            AuthError::Certificate(doubt) => doubt.detail(),
            AuthError::Rights => "this customer may not run this function",
        }
    }
}

/// Rights as the settings state them.
pub fn access_rights(settings: &LoadedSettings) -> Authorization {
    let mut lines = Vec::new();
    for (kind, allows) in [("deny", false), ("allow", true)] {
        for (n, customer) in settings.names(kind).iter().enumerate() {
            let patterns = |names: &[String]| {
                names
                    .iter()
                    .filter_map(|name| Pattern::new(name).ok())
                    .collect()
            };
            let place = match settings.origins.get(&format!("{kind}.{n}.name")) {
                Some(Origin::File { line, .. }) => {
                    format!("({kind} {customer:?} ...) in line {line}")
                }
                _ => format!("({kind} {customer:?} ...)"),
            };
            lines.push(Rule {
                allows,
                customers: patterns(std::slice::from_ref(customer)),
                workloads: patterns(&settings.names(&format!("{kind}.{n}.workloads"))),
                functions: patterns(&settings.names(&format!("{kind}.{n}.functions"))),
                source: place,
            });
        }
    }
    Authorization {
        rules: lines,
        allows_by_default: settings.text("rights.default") != "deny",
    }
}

/// The names in certificates, and whose they are.
fn owners_of(settings: &LoadedSettings) -> CertificateOwners {
    let customers = settings.names("customers").into_iter().enumerate();
    CertificateOwners::new(customers.flat_map(|(n, customer)| {
        let names = settings
            .names(&format!("customers.{n}.certificates"))
            .into_iter();
        let of = move |name: String| {
            Some((
                Pattern::new(&name.to_ascii_lowercase()).ok()?,
                customer.clone(),
            ))
        };
        names.filter_map(of).collect::<Vec<_>>()
    }))
}

impl Identity {
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let seconds = |name: &str| settings.duration_us(name) / 1_000_000;
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
        let per_s = settings.number("identity.audit-rate");
        Identity {
            tokens: match settings.text("identity.tokens") {
                "required" => TokenPolicy::Required,
                "optional" => TokenPolicy::Optional,
                _ => TokenPolicy::Off,
            },
            gate: Authenticator::new(limits, requirements),
            keys: None,
            floor: KeySetFloor::default(),
            rights: access_rights(settings),
            standings: BTreeMap::new(),
            connection_owners: owners_of(settings),
            asks_certificates: settings.text("door.certificates") != "off",
            needs_certificates: settings.text("door.certificates") == "required",
            presented: BTreeMap::new(),
            audit: AuditRate {
                per_s,
                left: per_s,
                at: 0,
                omitted: 0,
            },
        }
    }
    pub fn restore_floor(&mut self, kept: &CachedState) {
        self.floor = KeySetFloor {
            version: kept.keys_version,
            revoked: kept.keys_revoked.iter().cloned().collect(),
        };
    }
    pub fn floor(&self) -> (u64, Vec<String>) {
        (
            self.floor.version,
            self.floor.revoked.iter().cloned().collect(),
        )
    }
    pub fn accept_http(&mut self, conn: ConnectionId, io: &dyn Io) {
        if !self.asks_certificates {
            return;
        }
        if let Some(peer) = io.peer(conn) {
            self.presented.insert(
                conn,
                ClientCertificate {
                    names: peer.names,
                    key_fingerprint: peer.key_fingerprint,
                    is_denied: false,
                },
            );
        }
    }
    /// What a connection has proved is not believed any more.
    pub fn client_denied(&mut self, conn: ConnectionId) {
        self.presented.entry(conn).or_default().is_denied = true;
    }
    pub fn client_gone(&mut self, conn: ConnectionId) {
        self.standings.remove(&conn);
        self.presented.remove(&conn);
    }
    /// Whether a connection has sent so many bad tokens, or has become so doubtful, that it is closed.
    pub fn is_ejected(&self, conn: ConnectionId) -> bool {
        self.presented
            .get(&conn)
            .is_some_and(|presented| presented.is_denied)
            || self
                .standings
                .get(&conn)
                .is_some_and(|standing| self.gate.must_close(*standing))
    }

    /// The customer that calls, if any is known.
    fn authenticate(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
    ) -> Result<Option<String>, AuthError> {
        let named = request.field("sanddrum-customer");
        let presented = self.presented.get(&conn).cloned().unwrap_or_default();
        let certificate = self
            .connection_owners
            .customer(&presented)
            .map_err(AuthError::Certificate)?;
        if certificate.is_none() && self.needs_certificates {
            return Err(AuthError::Certificate(CertificateError::Missing));
        }
        let token = match bearer(request).filter(|_| self.tokens != TokenPolicy::Off) {
            Some(token) => {
                let keys = self.keys.as_ref().ok_or(AuthError::NoKeys)?;
                let standing = self.standings.entry(conn).or_default();
                let authenticated = self
                    .gate
                    .authenticate(now, token, keys, standing)
                    .map_err(AuthError::Token)?;
                Some(authenticated.claims.sub)
            }
            None if self.tokens == TokenPolicy::Required => {
                return Err(AuthError::Token(TokenError::Missing))
            }
            None => None,
        };
        // A name that nothing proves counts only where nothing is ever to be proved.
        let names_count = self.tokens == TokenPolicy::Off && !self.asks_certificates;
        let stated = StatedCustomers {
            named,
            token: token.as_deref(),
            certificate: certificate.as_deref(),
        };
        stated.resolve(names_count).map_err(AuthError::Certificate)
    }
}

/// RFC 6750, section 2.1.
fn bearer(request: &Request) -> Option<&str> {
    let (scheme, token) = request.field("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

impl EdgeState {
    /// The customer of a call that may run, or why it may not. What is refused is told to the audit.
    pub(crate) fn authorize_call(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: &Request,
        (workload, function): (&str, &str),
        io: &mut dyn Io,
    ) -> Result<Option<String>, AuthError> {
        let who = self.identity.authenticate(now, conn, request);
        let judged = who.and_then(|who| {
            let ruling =
                self.identity
                    .rights
                    .decide(who.as_deref().unwrap_or_default(), workload, function);
            if ruling.is_allowed {
                Ok(who)
            } else {
                Err(AuthError::Rights)
            }
        });
        if let Err(why) = judged {
            // The customer is only claimed where the token is not good; the token itself is never told.
            let claimed = bearer(request).and_then(token::unverified_subject);
            let claimed =
                claimed.or_else(|| request.field("sanddrum-customer").map(token::sanitize));
            let call = format!(
                "{}/{}",
                token::sanitize(workload),
                token::sanitize(function)
            );
            let key = bearer(request).and_then(token::unverified_key_id);
            let presented = self
                .identity
                .presented
                .get(&conn)
                .filter(|presented| !presented.key_fingerprint.is_empty());
            let certificate = presented.map(|presented| presented.key_fingerprint.clone());
            tracing::info!(
                reason = why.reason(),
                claimed,
                key,
                certificate,
                call,
                "a call is refused"
            );
            let line = json!({
                "what": "refused", "reason": why.reason(), "claimed": claimed, "key": key,
                "certificate": certificate, "call": call,
            });
            self.audit(now, &line, io);
        }
        judged
    }

    /// A client's connection was made on terms that are past; denied, nothing new is taken on it.
    pub(crate) fn client_denied_by(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let presented = self
            .identity
            .presented
            .get(&conn)
            .cloned()
            .unwrap_or_default();
        self.identity.client_denied(conn);
        tracing::warn!(
            reason = "certificate-denied",
            key = presented.key_fingerprint,
            "a client is not believed any more"
        );
        self.audit(
            now,
            &json!({"what": "certificate-denied", "certificate": presented.key_fingerprint, "names": presented.names}),
            io,
        );
    }

    fn audit(&mut self, now: Micros, line: &serde_json::Value, io: &mut dyn Io) {
        let rate = &mut self.identity.audit;
        let passed = (now - rate.at).max(0) as f64 / 1e6;
        (rate.left, rate.at) = ((rate.left + passed * rate.per_s).min(rate.per_s), now);
        if rate.left < 1.0 {
            rate.omitted += 1;
            return;
        }
        rate.left -= 1.0;
        let mut line = line.clone();
        line["at_us"] = json!(now);
        line["edge"] = json!(self.settings.text("edge.name"));
        let omitted = std::mem::take(&mut rate.omitted);
        if omitted > 0 {
            line["omitted_before"] = json!(omitted);
        }
        io.audit(&line.to_string());
    }

    /// The key file is there, has changed, or can't be read. What is not good leaves the last good set in force.
    pub(crate) fn on_keys_changed(
        &mut self,
        now: Micros,
        content: Result<&[u8], &str>,
        io: &mut dyn Io,
    ) {
        let read = content
            .map_err(String::from)
            .and_then(|bytes| KeySet::read(bytes).map_err(|e| e.to_string()));
        let (reason, why) = match read {
            Ok(set) => {
                match set.check_successor(
                    self.identity.keys.as_ref(),
                    &self.identity.floor,
                    now / 1_000_000,
                ) {
                    Ok(()) => return self.install_keys(now, set, io),
                    Err(refused) => (refused.reason(), refused.to_string()),
                }
            }
            Err(why) => ("keys-unreadable", why),
        };
        let in_force = self.identity.keys.as_ref().map(|set| set.version);
        tracing::error!(
            reason,
            why,
            in_force,
            "a key set is refused; the last good one stays in force"
        );
        metrics::counter!("sanddrum_key_sets_refused_total", "reason" => reason).increment(1);
        self.audit(
            now,
            &json!({"what": "keys-refused", "reason": reason, "why": why, "in_force": in_force}),
            io,
        );
    }
    fn install_keys(&mut self, now: Micros, set: KeySet, io: &mut dyn Io) {
        if self.identity.keys.as_ref() == Some(&set) {
            return;
        }
        // Recorded before it is in force: a crash in between never brings a revoked key back.
        self.identity.floor = set.floor(&self.identity.floor);
        self.save_state(now, io);
        let states: BTreeMap<&String, String> = set
            .keys
            .iter()
            .map(|(kid, k)| (kid, format!("{:?}", k.state)))
            .collect();
        tracing::info!(version = set.version, ?states, "a key set is in force");
        metrics::gauge!("sanddrum_keys_version").set(set.version as f64);
        self.audit(
            now,
            &json!({"what": "keys", "version": set.version, "states": states}),
            io,
        );
        self.identity.keys = Some(set);
    }
}
