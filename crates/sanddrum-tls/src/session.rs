//! One end of one connection: ciphertext on one side, plain bytes on the other.

use crate::certificates::{self, KeyPrint, TermsError};
use crate::config::Terms;
use rustls::{ClientConnection, Connection, HandshakeKind, ServerConnection};
use sanddrum_net::{CloseCause, ConnectionId, Io, ListenerId, Micros, PeerIdentity};
use std::io::{Read, Write};

/// What an end has for its core.
pub(crate) enum Step {
    /// The handshake is done; with a door where it was accepted.
    Up(Option<ListenerId>),
    Bytes(Vec<u8>),
    Room,
    /// The last one. `tells`: the core has not ended it itself.
    Over {
        how: CloseCause,
        tells: bool,
        why: Option<String>,
    },
}

pub(crate) struct End {
    tls: Option<Connection>,
    name: String,
    door: Option<ListenerId>,
    waiting: usize,
    /// It counts among the handshakes under way.
    pub counts: bool,
    connected: bool,
    told_up: bool,
    blocked: bool,
    short: bool,
    closing: bool,
    /// The connection is gone, or to go.
    over: Option<(CloseCause, Option<String>)>,
    /// The driver told so itself; there is nothing left to end.
    gone: bool,
    plain: Vec<u8>,
    out: Vec<u8>,
}

impl End {
    fn new(tls: Option<Connection>, name: &str, door: Option<ListenerId>, waiting: usize) -> Self {
        End {
            tls,
            name: name.to_string(),
            door,
            waiting,
            counts: door.is_some(),
            connected: false,
            told_up: false,
            blocked: false,
            short: false,
            closing: false,
            over: None,
            gone: false,
            plain: Vec::new(),
            out: Vec::new(),
        }
    }
    pub fn accepted(tls: ServerConnection, door: ListenerId, waiting: usize) -> Self {
        End::new(Some(tls.into()), "a caller", Some(door), waiting)
    }
    pub fn called(tls: ClientConnection, name: &str, waiting: usize) -> Self {
        End::new(Some(tls.into()), name, None, waiting)
    }
    /// One that can't be begun at all.
    pub fn never(why: String) -> Self {
        let mut end = End::new(None, "", None, 0);
        end.over = Some((CloseCause::Refused, Some(why)));
        end
    }
    pub fn connected(&mut self) {
        self.connected = true;
    }
    pub fn has_room(&mut self) {
        self.blocked = false;
    }
    pub fn is_late(&mut self) {
        if !self.told_up {
            self.fail(format!("{}: the handshake was not done in time", self.name));
        }
    }
    pub fn is_flushed(&self) -> bool {
        self.out.is_empty()
    }
    pub fn is_up(&self) -> bool {
        self.told_up
    }
    pub fn is_accepted(&self) -> bool {
        self.door.is_some()
    }
    pub fn name(&self) -> &str {
        &self.name
    }
    pub fn is_resumed(&self) -> bool {
        self.tls.as_ref().and_then(|tls| tls.handshake_kind()) == Some(HandshakeKind::Resumed)
    }
    /// What the other side has proved.
    pub fn peer(&self) -> PeerIdentity {
        let chain = self
            .tls
            .as_ref()
            .and_then(|tls| tls.peer_certificates())
            .unwrap_or_default();
        let Some(leaf) = chain.first() else {
            return PeerIdentity {
                resumed: self.is_resumed(),
                ..PeerIdentity::default()
            };
        };
        let key = KeyPrint::of_certificate(leaf)
            .map(|print| print.to_string())
            .unwrap_or_default();
        PeerIdentity {
            names: certificates::names(leaf),
            key_fingerprint: key,
            resumed: self.is_resumed(),
        }
    }
    /// Judges the other side anew.
    pub fn judge(&self, now: Micros, terms: &Terms) -> Result<(), TermsError> {
        let chain = self
            .tls
            .as_ref()
            .and_then(|tls| tls.peer_certificates())
            .unwrap_or_default();
        terms.judge(
            now,
            self.door.is_none().then_some(self.name.as_str()),
            chain,
        )
    }
    fn fail(&mut self, why: String) {
        let how = if self.told_up {
            CloseCause::Reset
        } else {
            CloseCause::Refused
        };
        self.over.get_or_insert((how, Some(why)));
    }
    /// Ciphertext came.
    pub fn came(&mut self, mut bytes: &[u8]) {
        let Some(tls) = &mut self.tls else { return };
        let mut problem = None;
        let mut notified = false;
        while !bytes.is_empty() && problem.is_none() {
            match tls.read_tls(&mut bytes) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) => problem = Some(e.to_string()),
            }
            match tls.process_new_packets() {
                Ok(state) => {
                    notified |= state.peer_has_closed();
                    let mut plain = vec![0; state.plaintext_bytes_to_read()];
                    if tls.reader().read_exact(&mut plain).is_ok() {
                        self.plain.extend_from_slice(&plain);
                    }
                }
                Err(e) => problem = Some(e.to_string()),
            }
        }
        if let Some(problem) = problem {
            let why = format!("{}: {problem}", self.name);
            self.fail(why);
        } else if notified {
            self.over.get_or_insert((CloseCause::Orderly, None));
        }
    }
    /// The connection is gone. Without a close-notify before, it was cut short.
    pub fn closed(&mut self, how: CloseCause) {
        self.gone = true;
        let how = match (self.told_up, how) {
            (false, _) => CloseCause::Refused,
            (true, CloseCause::Refused) => CloseCause::Refused,
            (true, _) => CloseCause::Reset,
        };
        self.over.get_or_insert((how, None));
    }
    pub fn close(&mut self) {
        self.closing = true;
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
        }
    }
    /// Takes plain bytes as far as there is room for their ciphertext.
    pub fn write(&mut self, conn: ConnectionId, bytes: &[u8], io: &mut dyn Io) -> usize {
        let room = self.waiting.saturating_sub(self.out.len());
        let Some(tls) = self
            .tls
            .as_mut()
            .filter(|_| self.told_up && self.over.is_none())
        else {
            return 0;
        };
        let mut taken = 0;
        while taken < bytes.len().min(room) {
            match tls.writer().write(&bytes[taken..bytes.len().min(room)]) {
                Ok(n) if n > 0 => taken += n,
                _ => break,
            }
            // Its own buffer is bounded, so it is emptied in between.
            while tls.wants_write() && tls.write_tls(&mut self.out).is_ok() {}
        }
        self.flush(conn, io);
        self.short = taken < bytes.len();
        taken
    }
    fn flush(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() && tls.write_tls(&mut self.out).is_ok() {}
        }
        if self.connected && !self.blocked && !self.out.is_empty() && !self.gone {
            let wrote = io.write(conn, &self.out);
            self.out.drain(..wrote);
            self.blocked = !self.out.is_empty();
        }
    }
    /// The next thing that its core is to know.
    pub fn step(&mut self, conn: ConnectionId, io: &mut dyn Io) -> Option<Step> {
        self.flush(conn, io);
        let handshaking = self.tls.as_ref().is_none_or(|tls| tls.is_handshaking());
        if !self.told_up && self.connected && !handshaking && !self.closing {
            self.told_up = true;
            return Some(Step::Up(self.door));
        }
        if self.told_up && !self.plain.is_empty() && !self.closing {
            return Some(Step::Bytes(std::mem::take(&mut self.plain)));
        }
        if self.closing && (self.out.is_empty() || self.gone) {
            if !self.gone {
                io.close(conn);
            }
            return Some(Step::Over {
                how: CloseCause::Orderly,
                tells: false,
                why: None,
            });
        }
        if let Some((how, why)) = self.over.take() {
            match (self.gone, how) {
                (true, _) => {}
                (false, CloseCause::Orderly) => io.close(conn),
                (false, _) => io.reset(conn),
            }
            // A caller whose handshake failed was never told of.
            let tells = !self.closing && (self.told_up || self.door.is_none());
            return Some(Step::Over { how, tells, why });
        }
        if self.short && self.told_up && self.out.len() * 2 <= self.waiting {
            self.short = false;
            return Some(Step::Room);
        }
        None
    }
}
