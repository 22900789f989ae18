//! Tests of the HTTP/1.1 codec with complete, partial, invalid and arbitrary input.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_wire::http::{self, HttpError, Parsed};

const MAX_HEAD_BYTES: usize = 1 << 12;
const MAX_BODY_BYTES: usize = 1 << 12;

fn parse(bytes: &[u8]) -> Result<Parsed, HttpError> {
    http::parse_request(bytes, MAX_HEAD_BYTES, MAX_BODY_BYTES)
}

proptest! {
    #[test]
    fn a_request_is_parsed_only_when_it_is_complete(
        body in proptest::collection::vec(any::<u8>(), 0..200),
        cut in 0usize..400,
    ) {
        let bytes = http::encode_request("POST", "/v1/calls/a/b", &[("x-y", "z")], &body);
        let cut = cut.min(bytes.len());
        if cut < bytes.len() {
            let is_partial = matches!(parse(&bytes[..cut]), Ok(Parsed::Partial { .. }));
            prop_assert!(is_partial);
        }
        let Ok(Parsed::Complete(request, length)) = parse(&bytes) else {
            return Err(TestCaseError::fail("a complete request was not parsed"));
        };
        prop_assert_eq!((request.body, length), (body, bytes.len()));
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_parsers(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = parse(&bytes);
        let _ = http::parse_response(&bytes);
    }
}

#[rstest]
#[case::head_without_end(&b"GET / HTTP/1.1\r\nx: y\r\n"[..], 10, HttpError::HeadTooLarge)]
#[case::differing_lengths(
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    99,
    HttpError::Malformed
)]
#[case::signed_length(
    b"POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\na",
    99,
    HttpError::Malformed
)]
#[case::chunked(
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
    99,
    HttpError::LengthRequired
)]
#[case::body_too_large(
    b"POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n",
    99,
    HttpError::BodyTooLarge
)]
#[case::length_beyond_integer_range(
    b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n",
    99,
    HttpError::BodyTooLarge
)]
fn an_invalid_request_is_rejected_with_its_reason(
    #[case] bytes: &[u8],
    #[case] max_head_bytes: usize,
    #[case] expected: HttpError,
) {
    let max_body_bytes = 100;
    assert_eq!(
        http::parse_request(bytes, max_head_bytes, max_body_bytes),
        Err(expected)
    );
}
