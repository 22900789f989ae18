//! What a token states, unverified: for logs, never for decisions.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use serde_json::Value as Json;

/// The longest part of a token in bytes that is decoded for a log.
const MAX_PART_BYTES: usize = 4096;
/// The longest text of a caller in characters that is logged.
const MAX_LOGGED_CHARACTERS: usize = 64;

/// The subject that a token states.
pub fn unverified_subject(token: &str) -> Option<String> {
    text_in_part(token.split('.').nth(1)?, "sub")
}

/// The id of the key that a token names.
pub fn unverified_key_id(token: &str) -> Option<String> {
    text_in_part(token.split('.').next()?, "kid")
}

/// A text in one of a token's parts, which is a JSON object in base64url (RFC 7515, section 7.1).
fn text_in_part(part: &str, key: &str) -> Option<String> {
    if part.len() >= MAX_PART_BYTES {
        return None;
    }
    let bytes = URL_SAFE_NO_PAD.decode(part).ok()?;
    let json: Json = serde_json::from_slice(&bytes).ok()?;
    json.get(key)?.as_str().map(sanitize)
}

/// A caller's text for a log: shortened, and without characters that could forge a line.
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
