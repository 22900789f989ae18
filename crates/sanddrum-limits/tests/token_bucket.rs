//! The token bucket.

use rstest::rstest;
use sanddrum_limits::TokenBucket;

#[rstest]
fn a_token_is_available_after_the_reported_delay_and_not_before() {
    let mut bucket = TokenBucket::default();
    assert_eq!(bucket.take(0, 10.0, 1.0), Ok(()));
    let wait = bucket.take(0, 10.0, 1.0).unwrap_err().retry_after;
    assert!(bucket.take(wait - 2, 10.0, 1.0).is_err());
    assert_eq!(bucket.take(wait + 1, 10.0, 1.0), Ok(()));
}
