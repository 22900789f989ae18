//! Stories and properties of the Responder's side.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_fastcgi::*;

const BOUNDS: ResponderLimits = ResponderLimits {
    max_open_requests: 4,
    max_params_bytes: 1000,
    max_body_bytes: 2000,
    max_buffered_bytes: 10_000,
};

fn asked(id: u16, pairs: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_begin_request(&mut out, id, true);
    write_stream(&mut out, RecordType::Params, id, &encode_params(pairs));
    write_stream(&mut out, RecordType::Stdin, id, body);
    out
}

fn heard(responder: &mut Responder, bytes: &[u8]) -> Result<Vec<ResponderEvent>, ProtocolError> {
    responder.push_bytes(bytes);
    let mut said = Vec::new();
    while let Some(one) = responder.next_event()? {
        said.push(one);
    }
    Ok(said)
}

#[rstest]
fn requests_on_one_connection_come_whole_in_any_order() {
    let mut responder = Responder::new(BOUNDS);
    let (one, two) = (
        asked(1, &[("A", "1")], b"first"),
        asked(2, &[("A", "2")], b"second"),
    );
    // The second one is whole before the first one's last record.
    let (most, last) = one.split_at(one.len() - HEADER_BYTES);
    let said = heard(&mut responder, &[most, &two, last].concat()).unwrap();
    let whole: Vec<_> = said
        .iter()
        .map(|said| match said {
            ResponderEvent::Request { id, request } => {
                (*id, request.param("A").unwrap(), request.body.as_slice())
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(whole, [(2, "2", &b"second"[..]), (1, "1", &b"first"[..])]);
    assert_eq!(responder.open_requests(), 2);
    assert!(!responder.finish(1) && !responder.has_partial_request());
}

#[rstest]
#[case::a_body_too_long(asked(1, &[], &[7; 2001]), RejectReason::BodyTooLong)]
#[case::parameters_too_long(asked(1, &[("A", &"x".repeat(1001))], &[]), RejectReason::ParamsTooLong)]
#[case::parameters_that_lie_about_their_length({
    let mut out = Vec::new();
    write_begin_request(&mut out, 1, true);
    write_stream(&mut out, RecordType::Params, 1, &[200, 200, 1]);
    write_stream(&mut out, RecordType::Stdin, 1, &[]);
    out
}, RejectReason::Params)]
fn a_request_out_of_bounds_is_refused_once_and_its_number_is_free(
    #[case] bytes: Vec<u8>,
    #[case] why: RejectReason,
) {
    let mut responder = Responder::new(BOUNDS);
    assert_eq!(
        heard(&mut responder, &bytes).unwrap(),
        [ResponderEvent::Reject { id: 1, reason: why }]
    );
    assert_eq!(responder.open_requests(), 0);
    let next = heard(&mut responder, &asked(1, &[], b"x")).unwrap();
    assert!(matches!(next[..], [ResponderEvent::Request { id: 1, .. }]));
}

#[rstest]
fn one_more_than_may_be_open_is_refused_and_the_others_stay() {
    let mut responder = Responder::new(BOUNDS);
    for id in 1..=4 {
        heard(&mut responder, &asked(id, &[], b"")).unwrap();
    }
    let fifth = heard(&mut responder, &asked(5, &[], b"")).unwrap();
    assert_eq!(
        fifth,
        [ResponderEvent::Reject {
            id: 5,
            reason: RejectReason::TooManyOpen
        }]
    );
    assert_eq!(responder.open_requests(), 4);
}

#[rstest]
fn a_number_that_is_open_can_not_begin_again() {
    let mut responder = Responder::new(BOUNDS);
    heard(&mut responder, &asked(1, &[], b"")).unwrap();
    assert_eq!(
        heard(&mut responder, &asked(1, &[], b"")),
        Err(ProtocolError::RequestIdInUse(1))
    );
}

#[rstest]
fn a_withdrawn_request_is_told_once() {
    let mut responder = Responder::new(BOUNDS);
    heard(&mut responder, &asked(1, &[], b"")).unwrap();
    let abort = encode_header(RecordType::AbortRequest, 1, 0);
    assert_eq!(
        heard(&mut responder, &abort).unwrap(),
        [ResponderEvent::Abort { id: 1 }]
    );
    assert_eq!(heard(&mut responder, &abort).unwrap(), []);
}

#[rstest]
fn management_records_are_answered_by_the_specification() {
    let mut responder = Responder::new(BOUNDS);
    let asks = encode_params(&[("FCGI_MPXS_CONNS", ""), ("OTHER", "")]);
    let mut bytes = encode_header(RecordType::GetValues, 0, asks.len()).to_vec();
    bytes.extend_from_slice(&asks);
    bytes.extend_from_slice(&encode_header(RecordType::Other(77), 0, 0));
    let said = heard(&mut responder, &bytes).unwrap();
    let replies: Vec<_> = said
        .iter()
        .map(|said| match said {
            ResponderEvent::Reply(reply) => Record::read(reply).unwrap().unwrap().0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(replies[0].kind, RecordType::GetValuesResult);
    assert_eq!(
        replies[0].content,
        encode_params(&[("FCGI_MPXS_CONNS", "1")])
    );
    assert_eq!(
        (replies[1].kind, replies[1].content[0]),
        (RecordType::UnknownType, 77)
    );
}

#[rstest]
fn a_long_answer_is_cut_into_records_and_put_together_again() {
    let body = vec![3u8; 3 * MAX_CONTENT_BYTES + 17];
    let bytes = encode_response(9, &[b"Status: 200\r\n\r\n", &body]);
    let (mut at, mut out, mut ends) = (0, Vec::new(), 0);
    while let Some((record, took)) = Record::read(&bytes[at..]).unwrap() {
        match record.kind {
            RecordType::Stdout => out.extend_from_slice(record.content),
            RecordType::EndRequest => ends += 1,
            other => panic!("{other:?}"),
        }
        at += took;
    }
    assert_eq!((at, ends), (bytes.len(), 1));
    assert_eq!(out[15..], body[..]);
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_says_the_same(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..900), 1..4),
        cuts in prop::collection::vec(1usize..200, 1..40),
    ) {
        let bytes: Vec<u8> = bodies.iter().enumerate()
            .flat_map(|(n, body)| asked(n as u16 + 1, &[("N", &n.to_string()), ("LONG", &"y".repeat(200))], body))
            .collect();
        let whole = heard(&mut Responder::new(BOUNDS), &bytes).unwrap();
        let (mut split, mut said, mut rest) = (Responder::new(BOUNDS), Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            said.extend(heard(&mut split, piece).unwrap());
            rest = left;
            if rest.is_empty() { break }
        }
        prop_assert_eq!(whole.len(), bodies.len());
        prop_assert_eq!(said, whole);
    }

    #[test]
    fn garbage_never_panics_and_little_is_held(pieces in prop::collection::vec(
        (any::<u8>(), 0u16..4, prop::collection::vec(any::<u8>(), 0..300), any::<bool>()), 0..60))
    {
        let mut responder = Responder::new(BOUNDS);
        for (kind, id, content, raw) in pieces {
            let mut bytes = encode_header(RecordType::from_code(kind % 12), id, content.len()).to_vec();
            bytes.extend_from_slice(&content);
            if heard(&mut responder, if raw { &content } else { &bytes }).is_err() { break }
            prop_assert!(responder.open_requests() <= BOUNDS.max_open_requests);
        }
    }
}
