//! Tests of the Responder role: requests, rejections and management records, for any split of the bytes and for
//! arbitrary bytes.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_fastcgi::{
    encode_header, encode_params, encode_response, write_begin_request, write_stream,
    ProtocolError, Record, RecordType, RejectReason, Responder, ResponderEvent, ResponderLimits,
    HEADER_BYTES, MAX_CONTENT_BYTES,
};

const LIMITS: ResponderLimits = ResponderLimits {
    max_open_requests: 4,
    max_params_bytes: 1000,
    max_body_bytes: 2000,
    max_buffered_bytes: 10_000,
};

/// Encodes a request as a web server sends it.
fn encode_request(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_begin_request(&mut out, id, true);
    write_stream(&mut out, RecordType::Params, id, &encode_params(params));
    write_stream(&mut out, RecordType::Stdin, id, body);
    out
}

fn receive(responder: &mut Responder, bytes: &[u8]) -> Result<Vec<ResponderEvent>, ProtocolError> {
    responder.push_bytes(bytes);
    let mut events = Vec::new();
    while let Some(event) = responder.next_event()? {
        events.push(event);
    }
    Ok(events)
}

#[rstest]
fn interleaved_requests_are_delivered_as_they_complete() {
    let mut responder = Responder::new(LIMITS);
    let first = encode_request(1, &[("A", "1")], b"first");
    let second = encode_request(2, &[("A", "2")], b"second");
    let (first_without_end, end_of_first) = first.split_at(first.len() - HEADER_BYTES);
    let bytes = [first_without_end, &second, end_of_first].concat();
    let events = receive(&mut responder, &bytes).unwrap();
    let requests: Vec<_> = events
        .iter()
        .map(|event| match event {
            ResponderEvent::Request { id, request } => {
                (*id, request.param("A").unwrap(), request.body.as_slice())
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(
        requests,
        [(2, "2", &b"second"[..]), (1, "1", &b"first"[..])]
    );
    assert_eq!(responder.open_requests(), 2);
    assert!(!responder.finish(1) && !responder.has_partial_request());
}

#[rstest]
#[case::body_too_long(encode_request(1, &[], &[7; 2001]), RejectReason::BodyTooLong)]
#[case::params_too_long(
    encode_request(1, &[("A", &"x".repeat(1001))], &[]),
    RejectReason::ParamsTooLong
)]
#[case::params_with_a_wrong_length({
    let mut out = Vec::new();
    write_begin_request(&mut out, 1, true);
    write_stream(&mut out, RecordType::Params, 1, &[200, 200, 1]);
    write_stream(&mut out, RecordType::Stdin, 1, &[]);
    out
}, RejectReason::Params)]
fn an_invalid_request_is_rejected_once_and_its_id_is_free_again(
    #[case] bytes: Vec<u8>,
    #[case] reason: RejectReason,
) {
    let mut responder = Responder::new(LIMITS);
    assert_eq!(
        receive(&mut responder, &bytes).unwrap(),
        [ResponderEvent::Reject { id: 1, reason }]
    );
    assert_eq!(responder.open_requests(), 0);
    let next = receive(&mut responder, &encode_request(1, &[], b"x")).unwrap();
    assert!(matches!(next[..], [ResponderEvent::Request { id: 1, .. }]));
}

#[rstest]
fn a_request_beyond_the_limit_is_rejected_and_open_ones_remain_open() {
    let mut responder = Responder::new(LIMITS);
    for id in 1..=4 {
        receive(&mut responder, &encode_request(id, &[], b"")).unwrap();
    }
    let events = receive(&mut responder, &encode_request(5, &[], b"")).unwrap();
    assert_eq!(
        events,
        [ResponderEvent::Reject {
            id: 5,
            reason: RejectReason::TooManyOpen
        }]
    );
    assert_eq!(responder.open_requests(), 4);
}

#[rstest]
fn beginning_an_open_request_again_is_a_protocol_error() {
    let mut responder = Responder::new(LIMITS);
    receive(&mut responder, &encode_request(1, &[], b"")).unwrap();
    assert_eq!(
        receive(&mut responder, &encode_request(1, &[], b"")),
        Err(ProtocolError::RequestIdInUse(1))
    );
}

#[rstest]
fn an_abort_is_reported_once() {
    let mut responder = Responder::new(LIMITS);
    receive(&mut responder, &encode_request(1, &[], b"")).unwrap();
    let abort = encode_header(RecordType::AbortRequest, 1, 0);
    assert_eq!(
        receive(&mut responder, &abort).unwrap(),
        [ResponderEvent::Abort { id: 1 }]
    );
    assert_eq!(receive(&mut responder, &abort).unwrap(), []);
}

#[rstest]
fn management_records_are_replied_to() {
    let mut responder = Responder::new(LIMITS);
    let queries = encode_params(&[("FCGI_MPXS_CONNS", ""), ("OTHER", "")]);
    let mut bytes = encode_header(RecordType::GetValues, 0, queries.len()).to_vec();
    bytes.extend_from_slice(&queries);
    bytes.extend_from_slice(&encode_header(RecordType::Other(77), 0, 0));
    let events = receive(&mut responder, &bytes).unwrap();
    let replies: Vec<_> = events
        .iter()
        .map(|event| match event {
            ResponderEvent::Reply(reply) => Record::read(reply).unwrap().unwrap().0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(replies[0].record_type, RecordType::GetValuesResult);
    assert_eq!(
        replies[0].content,
        encode_params(&[("FCGI_MPXS_CONNS", "1")])
    );
    assert_eq!(
        (replies[1].record_type, replies[1].content[0]),
        (RecordType::UnknownType, 77)
    );
}

#[rstest]
fn a_long_response_is_split_into_records_that_add_up_to_it() {
    let body = vec![3u8; 3 * MAX_CONTENT_BYTES + 17];
    let head = b"Status: 200\r\n\r\n";
    let bytes = encode_response(9, &[head, &body]);
    let mut position = 0;
    let mut stdout = Vec::new();
    let mut end_count = 0;
    while let Some((record, length)) = Record::read(&bytes[position..]).unwrap() {
        match record.record_type {
            RecordType::Stdout => stdout.extend_from_slice(record.content),
            RecordType::EndRequest => end_count += 1,
            other => panic!("{other:?}"),
        }
        position += length;
    }
    assert_eq!((position, end_count), (bytes.len(), 1));
    assert_eq!(stdout[head.len()..], body[..]);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..900), 1..4),
        chunk_lengths in prop::collection::vec(1usize..200, 1..40),
    ) {
        let long_value = "y".repeat(200);
        let bytes: Vec<u8> = bodies
            .iter()
            .enumerate()
            .flat_map(|(index, body)| {
                let params = [("N", index.to_string()), ("LONG", long_value.clone())];
                let params = params.each_ref().map(|(name, value)| (*name, value.as_str()));
                encode_request(index as u16 + 1, &params, body)
            })
            .collect();
        let expected = receive(&mut Responder::new(LIMITS), &bytes).unwrap();
        let mut responder = Responder::new(LIMITS);
        let mut events = Vec::new();
        let mut rest = bytes.as_slice();
        for chunk_length in chunk_lengths.iter().cycle() {
            let (chunk, remainder) = rest.split_at((*chunk_length).min(rest.len()));
            events.extend(receive(&mut responder, chunk).unwrap());
            rest = remainder;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(expected.len(), bodies.len());
        prop_assert_eq!(events, expected);
    }

    #[test]
    fn arbitrary_records_never_panic_or_exceed_the_limit_of_open_requests(
        records in prop::collection::vec(
            (any::<u8>(), 0u16..4, prop::collection::vec(any::<u8>(), 0..300), any::<bool>()),
            0..60,
        ),
    ) {
        let mut responder = Responder::new(LIMITS);
        for (code, id, content, without_header) in records {
            let record_type = RecordType::from_code(code % 12);
            let mut record = encode_header(record_type, id, content.len()).to_vec();
            record.extend_from_slice(&content);
            let bytes = if without_header { &content } else { &record };
            if receive(&mut responder, bytes).is_err() {
                break;
            }
            prop_assert!(responder.open_requests() <= LIMITS.max_open_requests);
        }
    }
}
