//! Tests that soak runs at the same time have addresses of their own.

use rstest::rstest;
use sanddrum_lab::soak::settings::Fleet;

/// Guards against two runs that start together and both take addresses which neither has bound yet.
#[rstest]
fn runs_of_one_seed_that_start_together_have_different_addresses() {
    let (first, _listener) = Fleet::reserve(1, 2, 2).unwrap();
    let (second, _other_listener) = Fleet::reserve(1, 2, 2).unwrap();
    assert_ne!(first.net, second.net);
}
