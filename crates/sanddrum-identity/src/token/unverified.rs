//! Reads fields of a token without verifying it. The results are for logs only and must not influence any decision.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use serde_json::Value as Json;

/// Parts of a token that have this many bytes or more are not decoded for logs.
const MAX_PART_BYTES: usize = 4096;
/// The maximum number of characters of a client's text in a log.
const MAX_LOGGED_CHARACTERS: usize = 64;

/// The subject that a token claims, unverified.
pub fn unverified_subject(token: &str) -> Option<String> {
    string_field(token.split('.').nth(1)?, "sub")
}

/// The id of the key that a token names, unverified.
pub fn unverified_key_id(token: &str) -> Option<String> {
    string_field(token.split('.').next()?, "kid")
}

/// A string field in a part of a token, which is a JSON object in base64url (RFC 7515, section 7.1).
fn string_field(part: &str, name: &str) -> Option<String> {
    if part.len() >= MAX_PART_BYTES {
        return None;
    }
    let bytes = URL_SAFE_NO_PAD.decode(part).ok()?;
    let json: Json = serde_json::from_slice(&bytes).ok()?;
    json.get(name)?.as_str().map(sanitize)
}

/// Makes a client's text safe for a log: truncates it, and replaces all but visible ASCII characters, since others
/// could forge a log line.
pub fn sanitize(text: &str) -> String {
    text.chars()
        .take(MAX_LOGGED_CHARACTERS)
        .map(|character| {
            if character.is_ascii_graphic() {
                character
            } else {
                '?'
            }
        })
        .collect()
}
