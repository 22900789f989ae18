//! Web servers that send FastCGI requests to the edge.

use super::scripted_module::Decision;
use super::EdgeHarness;
use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, Record, RecordType,
};
use sanddrum_net::{CloseCause, ConnectionId, Event, Micros};
use std::collections::BTreeMap;

/// A client-assigned request id.
pub const CALL_ID: &str = "9b1f03aa5c7e2d41";
/// Another client-assigned request id.
pub const OTHER_CALL_ID: &str = "00000000000000aa";
/// The function that all requests name.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";
/// A time limit for attempts of requests whose client waits for 1.5 s.
pub const TIME_LIMIT: Micros = 1_400_000;

/// Parses a client-assigned request id.
pub fn parse_call_id(call_id: &str) -> u64 {
    u64::from_str_radix(call_id, 16).unwrap()
}

/// The parameters of a valid request.
pub fn request_params(call_id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("SCRIPT_NAME", "/rpc/job".into()),
        ("HTTP_X_CALL_ID", call_id.into()),
        ("HTTP_X_PATIENCE_MS", "1500".into()),
        ("HTTP_X_ENTITY", FUNCTION.into()),
        ("HTTP_X_INFO", "memory_mb:512;lanes:2;load_ms:640".into()),
    ]
}

/// The parameters of a request in which one parameter has another value.
pub fn request_params_with(name: &'static str, value: &str) -> Vec<(&'static str, String)> {
    let mut params = request_params(CALL_ID);
    params.retain(|(other, _)| *other != name);
    params.push((name, value.into()));
    params
}

/// Encodes the records of a request.
pub fn request(id: u16, params: &[(&'static str, String)], body: &[u8]) -> Vec<u8> {
    let params: Vec<(&str, &str)> = params
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let mut records = Vec::new();
    write_begin_request(&mut records, id, true);
    write_stream(
        &mut records,
        RecordType::Params,
        id,
        &encode_params(&params),
    );
    write_stream(&mut records, RecordType::Stdin, id, body);
    records
}

/// A response: the request id, the CGI response and the protocol status.
pub type Response = (u16, String, u8);

impl EdgeHarness {
    /// Sends a valid request from a web server.
    pub fn send_request(&mut self, client: ConnectionId, id: u16, call_id: &str) {
        self.receive(client, &request(id, &request_params(call_id), b"in"));
    }

    /// Sends a request that is dispatched while the connection to the worker is being opened. Returns the connections
    /// of the web server and the worker.
    pub fn dispatch_while_connecting(&mut self) -> (ConnectionId, ConnectionId) {
        let client = self.accept_client();
        self.plan([Decision::Dispatch(0, TIME_LIMIT)]);
        self.send_request(client, 1, CALL_ID);
        (client, self.last_connection())
    }

    /// Sends a request that is dispatched, and opens the connection to the worker. Returns the connections of the web
    /// server and the worker.
    pub fn dispatch_fastcgi_request(&mut self) -> (ConnectionId, ConnectionId) {
        let (client, worker) = self.dispatch_while_connecting();
        self.connect(worker);
        (client, worker)
    }

    /// Sends a health check from a web server as its first request.
    pub fn send_health_check(&mut self, client: ConnectionId) {
        let params = [("SCRIPT_NAME", "/health".into())];
        self.receive(client, &request(1, &params, b""));
    }

    /// Cancels the first request of a web server, or disconnects the web server.
    pub fn cancel_or_disconnect(&mut self, client: ConnectionId, cancels: bool) {
        if cancels {
            self.receive(client, &encode_header(RecordType::AbortRequest, 1, 0));
        } else {
            self.event(Event::Closed {
                conn: client,
                cause: CloseCause::Orderly,
            });
        }
    }

    /// The complete responses written to a web server.
    pub fn fastcgi_responses(&self, client: ConnectionId) -> Vec<Response> {
        let bytes = self.io.written.get(&client).cloned().unwrap_or_default();
        let mut rest = &bytes[..];
        let mut partial = BTreeMap::<u16, String>::new();
        let mut complete = Vec::new();
        while let Some((record, length)) = Record::read(rest).unwrap() {
            match record.record_type {
                RecordType::Stdout => {
                    let text = String::from_utf8_lossy(record.content);
                    partial.entry(record.id).or_default().push_str(&text);
                }
                RecordType::EndRequest => {
                    let text = partial.remove(&record.id).unwrap_or_default();
                    complete.push((record.id, text, record.content[4]));
                }
                _ => {}
            }
            rest = &rest[length..];
        }
        complete
    }

    /// The request ids and status codes of the complete responses written to a web server.
    pub fn fastcgi_statuses(&self, client: ConnectionId) -> Vec<(u16, u16)> {
        self.fastcgi_responses(client)
            .iter()
            .map(|(id, text, _)| (*id, status_code(text)))
            .collect()
    }
}

/// Parses the status code in the first line of a CGI response.
fn status_code(response: &str) -> u16 {
    let first_line = response.lines().next().unwrap_or_default();
    let code = first_line.strip_prefix("Status: ");
    code.unwrap().parse().unwrap()
}
