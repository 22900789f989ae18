//! Verification and caching of tokens, forged tokens, and floods of invalid ones.

mod common;

use base64::alphabet::URL_SAFE;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine;
use common::{authenticate, authenticator, claims, key_set, requirements, secret_key, NOW, NOW_US};
use proptest::prelude::*;
use rstest::rstest;
use sanddrum_identity::authenticator::ConnectionTrust;
use sanddrum_identity::{
    token, Authenticator, AuthenticatorLimits, Claims, KeySet, Seconds, SecretKey, TokenError,
};

#[rstest]
#[case::valid(claims("a"), Ok(false))]
#[case::expired(Claims { exp: NOW - 61, ..claims("a") }, Err(TokenError::Expired))]
#[case::expired_within_the_leeway(Claims { exp: NOW - 59, ..claims("a") }, Ok(false))]
#[case::not_valid_for_two_more_minutes(Claims { nbf: Some(NOW + 120), ..claims("a") }, Err(TokenError::NotYetValid))]
#[case::other_audience(Claims { aud: "quimper".into(), ..claims("a") }, Err(TokenError::Audience))]
#[case::no_subject(Claims { sub: String::new(), ..claims("a") }, Err(TokenError::Claims))]
#[case::no_id(claims(""), Err(TokenError::Claims))]
#[case::expiry_too_far_away(Claims { exp: Seconds::MAX, ..claims("a") }, Err(TokenError::LifetimeTooLong))]
fn claims_are_checked_against_the_given_time(
    #[case] claims: Claims,
    #[case] expected: Result<bool, TokenError>,
) {
    let token = token::issue(&claims, &secret_key("k1")).unwrap();
    assert_eq!(
        authenticate(&mut authenticator(), &token, &key_set(), NOW),
        expected
    );
}

#[rstest]
fn a_rotated_key_verifies_until_it_has_retired() {
    let (mut keys, mut authenticator) = (key_set(), authenticator());
    let old = token::issue(&claims("a"), &secret_key("k1")).unwrap();
    let new = token::issue(&claims("b"), &secret_key("k2")).unwrap();
    assert_eq!(
        authenticate(&mut authenticator, &new, &keys, NOW),
        Err(TokenError::KeyNotYetValid)
    );
    keys.rotate(NOW + 100).unwrap();
    let mut check = |token: &str, now| authenticate(&mut authenticator, token, &keys, now);
    assert_eq!(check(&old, NOW + 99), Ok(false));
    assert_eq!(check(&new, NOW + 99), Ok(false));
    assert_eq!(check(&old, NOW + 100), Err(TokenError::KeyRetired));
}

#[rstest]
fn a_cached_token_is_rejected_once_its_key_is_revoked() {
    let (mut keys, mut authenticator) = (key_set(), authenticator());
    let token = token::issue(&claims("a"), &secret_key("k1")).unwrap();
    assert_eq!(
        authenticate(&mut authenticator, &token, &keys, NOW),
        Ok(false)
    );
    assert_eq!(
        authenticate(&mut authenticator, &token, &keys, NOW),
        Ok(true),
        "cached"
    );
    keys.revoke("k1").unwrap();
    for now in [NOW, NOW + 700] {
        assert_eq!(
            authenticate(&mut authenticator, &token, &keys, now),
            Err(TokenError::KeyRevoked)
        );
    }
}

/// Forges a token from these parts.
fn forge(header: &str, payload: &str, signature: &str) -> String {
    let encode = |part: &str| URL_SAFE_NO_PAD.encode(part);
    format!(
        "{}.{}.{}",
        encode(header),
        encode(payload),
        encode(signature)
    )
}

const HEADER_OF_K1: &str = r#"{"alg":"EdDSA","kid":"k1"}"#;

#[rstest]
#[case::alg_none(r#"{"alg":"none","kid":"k1"}"#, TokenError::Algorithm)]
#[case::alg_hs256(r#"{"alg":"HS256","kid":"k1"}"#, TokenError::Algorithm)]
#[case::no_kid(r#"{"alg":"EdDSA"}"#, TokenError::NoKey)]
#[case::unknown_kid(r#"{"alg":"EdDSA","kid":"nope"}"#, TokenError::UnknownKey)]
#[case::invalid_signature(HEADER_OF_K1, TokenError::Signature)]
fn a_forged_token_is_rejected_with_its_reason(#[case] header: &str, #[case] expected: TokenError) {
    let payload = r#"{"sub":"obs-brest","aud":"armor","exp":1000600,"jti":"a"}"#;
    let token = forge(header, payload, &"s".repeat(64));
    assert_eq!(
        authenticate(&mut authenticator(), &token, &key_set(), NOW),
        Err(expected)
    );
}

#[rstest]
fn a_token_above_the_length_limit_is_rejected() {
    assert_eq!(
        authenticate(&mut authenticator(), &"a".repeat(1 << 20), &key_set(), NOW),
        Err(TokenError::TooLong)
    );
}

#[rstest]
fn a_flood_from_unknown_clients_exhausts_only_their_own_budget() {
    let (keys, mut authenticator) = (key_set(), authenticator());
    let invalid_token = |number: u32| {
        forge(
            HEADER_OF_K1,
            &format!("{{\"n\":{number}}}"),
            &"s".repeat(64),
        )
    };
    let errors: Vec<TokenError> = (0..20)
        .map(|number| {
            let mut unknown_client = ConnectionTrust::default();
            authenticator
                .authenticate(NOW_US, &invalid_token(number), &keys, &mut unknown_client)
                .unwrap_err()
        })
        .collect();
    let verified = errors
        .iter()
        .filter(|error| **error == TokenError::Signature)
        .count();
    assert_eq!(verified, 5);
    assert_eq!(errors[19], TokenError::Busy);
    let valid_token = token::issue(&claims("a"), &secret_key("k1")).unwrap();
    assert_eq!(
        authenticate(&mut authenticator, &valid_token, &keys, NOW),
        Ok(false),
        "known clients have a separate budget"
    );
    let mut unknown_client = ConnectionTrust::default();
    for _ in 0..3 {
        let result = authenticator.authenticate(NOW_US, "x.y.z", &keys, &mut unknown_client);
        assert!(result.is_err());
    }
    assert!(
        authenticator.must_close(unknown_client),
        "malformed tokens are counted even while the budget is exhausted"
    );
}

#[rstest]
fn a_connection_with_too_many_invalid_tokens_must_be_closed() {
    let (keys, mut authenticator) = (key_set(), authenticator());
    let mut trust = ConnectionTrust::default();
    for _ in 0..3 {
        assert!(!authenticator.must_close(trust));
        let result = authenticator.authenticate(NOW_US, "x.y.z", &keys, &mut trust);
        assert!(result.is_err());
    }
    assert!(authenticator.must_close(trust));
}

#[rstest]
fn the_number_of_cached_tokens_is_bounded() {
    let limits = AuthenticatorLimits {
        verifications_per_s: 1000.0,
        max_cached_tokens: 3,
        max_invalid_tokens: 3,
    };
    let keys = key_set();
    let mut authenticator = Authenticator::new(limits, requirements());
    for number in 0..10 {
        let token = token::issue(&claims(&number.to_string()), &secret_key("k1")).unwrap();
        assert_eq!(
            authenticate(&mut authenticator, &token, &keys, NOW),
            Ok(false)
        );
    }
    assert_eq!(authenticator.cached_tokens(), 3);
}

/// Whether the parts of two tokens decode to the same bytes. Tokens that differ only in the unused bits of a part's
/// last base64url character do.
fn decode_to_same_bytes(one: &str, other: &str) -> bool {
    let config = GeneralPurposeConfig::new()
        .with_decode_allow_trailing_bits(true)
        .with_decode_padding_mode(DecodePaddingMode::RequireNone);
    let lenient = GeneralPurpose::new(&URL_SAFE, config);
    one.split('.')
        .zip(other.split('.'))
        .all(|(one, other)| lenient.decode(one).ok() == lenient.decode(other).ok())
}

proptest! {
    #[test]
    fn arbitrary_input_does_not_panic(
        text in "[ -~]{0,300}",
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = authenticate(&mut authenticator(), &text, &key_set(), NOW);
        let _ = KeySet::read(&bytes);
        let _ = KeySet::read(text.as_bytes());
        let _ = SecretKey::read(&bytes);
    }

    #[test]
    fn a_token_changed_anywhere_is_rejected(position in 0usize..200, replacement in "[A-Za-z0-9_-]") {
        let token = token::issue(&claims("a"), &secret_key("k1")).unwrap();
        let position = position.min(token.len() - 1);
        let mut changed = token.clone();
        changed.replace_range(position..=position, &replacement);
        let is_rejected = authenticate(&mut authenticator(), &changed, &key_set(), NOW).is_err();
        prop_assert!(changed == token || decode_to_same_bytes(&changed, &token) || is_rejected);
    }
}
