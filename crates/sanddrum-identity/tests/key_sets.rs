//! Key sets: which version may replace another, what survives a restart, and the file format.

mod common;

use common::{key_set, NOW};
use proptest::prelude::*;
use rstest::rstest;
use sanddrum_identity::keys::KeySetError;
use sanddrum_identity::{KeySet, KeySetFloor};

#[rstest]
fn a_key_set_is_replaced_only_by_a_newer_version_with_all_verifying_keys() {
    let first = key_set();
    let floor = first.floor(&KeySetFloor::default());
    let mut next = first.clone();
    next.rotate(NOW + 100).unwrap();
    assert_eq!(next.check_successor(Some(&first), &floor, NOW), Ok(()));

    let floor = next.floor(&floor);
    assert!(matches!(
        first.check_successor(Some(&next), &floor, NOW),
        Err(KeySetError::Older { .. })
    ));

    let mut other_content = next.clone();
    other_content.revoke("k2").unwrap();
    other_content.version = next.version;
    assert_eq!(
        other_content.check_successor(Some(&next), &floor, NOW),
        Err(KeySetError::SameVersion(next.version))
    );

    let mut without_retiring_key = next.clone();
    without_retiring_key.keys.remove("k1");
    without_retiring_key.version += 1;
    assert_eq!(
        without_retiring_key.check_successor(Some(&next), &floor, NOW),
        Err(KeySetError::MissingKey("k1".into()))
    );
    assert_eq!(
        without_retiring_key.check_successor(Some(&next), &floor, NOW + 100),
        Ok(()),
        "k1 has retired by then"
    );
}

#[rstest]
fn a_revoked_key_stays_revoked_after_a_restart() {
    let mut keys = key_set();
    let before = keys.clone();
    keys.revoke("k1").unwrap();
    let floor = keys.floor(&KeySetFloor::default());
    assert!(
        before.check_successor(None, &floor, NOW).is_err(),
        "the file from before the revocation, read after a restart"
    );
    let mut with_raised_version = before;
    with_raised_version.version = 99;
    assert_eq!(
        with_raised_version.check_successor(None, &floor, NOW),
        Err(KeySetError::RevokedKeyReturned("k1".into()))
    );
}

proptest! {
    #[test]
    fn a_truncated_file_is_rejected_and_a_complete_one_is_read_back(length in 0usize..400) {
        let bytes = key_set().write();
        prop_assert_eq!(KeySet::read(&bytes), Ok(key_set()));
        let length = length.min(bytes.len() - 2);
        prop_assert!(KeySet::read(&bytes[..length]).is_err());
    }
}
