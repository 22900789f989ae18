//! Mapping of client certificates to customers.

use rstest::rstest;
use sanddrum_identity::authorization::Pattern;
use sanddrum_identity::certificates::StatedCustomers;
use sanddrum_identity::{CertificateError, CertificateOwners, ClientCertificate};

fn owners() -> CertificateOwners {
    let owner =
        |pattern: &str, customer: &str| (Pattern::new(pattern).unwrap(), customer.to_string());
    CertificateOwners::new([
        owner("gw-*", "schools"),
        owner("gw-brest*", "obs-brest"),
        owner("obs.example", "obs-brest"),
    ])
}

fn certificate(names: &[&str]) -> ClientCertificate {
    ClientCertificate {
        names: names.iter().map(|name| name.to_string()).collect(),
        key_fingerprint: "sha256:1".into(),
        is_denied: false,
    }
}

#[rstest]
#[case::the_longest_matching_pattern_decides(&["gw-brest-3"], Ok(Some("obs-brest")))]
#[case::two_names_of_one_customer(&["gw-brest-3", "obs.example"], Ok(Some("obs-brest")))]
#[case::names_of_two_customers(&["gw-1", "obs.example"], Err(CertificateError::Ambiguous))]
#[case::unknown_name(&["laptop"], Err(CertificateError::Unknown))]
#[case::no_name(&[], Err(CertificateError::Unknown))]
fn a_certificate_must_belong_to_exactly_one_customer(
    #[case] names: &[&str],
    #[case] expected: Result<Option<&str>, CertificateError>,
) {
    assert_eq!(
        owners().customer(&certificate(names)),
        expected.map(|customer| customer.map(String::from))
    );
}

#[rstest]
fn a_missing_certificate_has_no_customer_and_a_denied_one_is_rejected() {
    assert_eq!(owners().customer(&ClientCertificate::default()), Ok(None));
    let denied = ClientCertificate {
        is_denied: true,
        ..certificate(&["gw-1"])
    };
    assert_eq!(owners().customer(&denied), Err(CertificateError::Denied));
}

#[rstest]
#[case::token_and_certificate_agree(None, Some("a"), Some("a"), Ok(Some("a")))]
#[case::token_and_certificate_differ(None, Some("a"), Some("b"), Err(CertificateError::Mismatch))]
#[case::the_request_names_another_customer(
    Some("b"),
    None,
    Some("a"),
    Err(CertificateError::Mismatch)
)]
#[case::the_request_names_the_same_customer(Some("a"), Some("a"), None, Ok(Some("a")))]
#[case::an_unverified_name_alone_is_ignored(Some("a"), None, None, Ok(None))]
fn all_customers_that_a_request_states_must_agree(
    #[case] unverified: Option<&str>,
    #[case] token: Option<&str>,
    #[case] certificate: Option<&str>,
    #[case] expected: Result<Option<&str>, CertificateError>,
) {
    let stated = StatedCustomers {
        unverified,
        token,
        certificate,
    };
    assert_eq!(
        stated.resolve(false),
        expected.map(|customer| customer.map(String::from))
    );
}
