//! Tests of the Responder role: requests, rejections and management records, for any split of the bytes and for
//! arbitrary bytes.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_fastcgi::{
    encode_header, encode_params, encode_response, write_begin_request, write_stream,
    ProtocolError, Record, RecordType, RejectReason, Responder, ResponderEvent, ResponderLimits,
    Timestamp, HEADER_BYTES, MAX_CONTENT_BYTES,
};

/// The index of the padding length in a header.
const PADDING_LENGTH_INDEX: usize = 6;

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

/// When all records of these tests are received.
const NOW: Timestamp = 5;

fn receive(responder: &mut Responder, bytes: &[u8]) -> Result<Vec<ResponderEvent>, ProtocolError> {
    let (mut unread, mut events) = (bytes, Vec::new());
    while let Some(event) = responder.next_event(NOW, &mut unread)? {
        events.push(event);
    }
    assert!(unread.is_empty());
    Ok(events)
}

/// The header of a record, followed by all but the last byte of its content and padding.
fn incomplete_record(record_type: RecordType, id: u16, length: usize, padding: u8) -> Vec<u8> {
    let mut out = encode_header(record_type, id, length).to_vec();
    out[PADDING_LENGTH_INDEX] = padding;
    out.resize(HEADER_BYTES + length + usize::from(padding) - 1, b'x');
    out
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

/// Guards against records that are buffered before their length is checked: a body that is too long by its header was
/// rejected only after all of it had been received.
#[rstest]
#[case::body(RecordType::Stdin, RejectReason::BodyTooLong)]
#[case::params(RecordType::Params, RejectReason::ParamsTooLong)]
fn a_record_that_is_too_long_is_rejected_at_its_header_and_discarded(
    #[case] record_type: RecordType,
    #[case] reason: RejectReason,
) {
    let mut responder = Responder::new(LIMITS);
    let mut begin = Vec::new();
    write_begin_request(&mut begin, 1, true);
    assert_eq!(receive(&mut responder, &begin).unwrap(), []);
    let record = incomplete_record(record_type, 1, MAX_CONTENT_BYTES, 255);
    let (header, content) = record.split_at(HEADER_BYTES);
    assert_eq!(
        receive(&mut responder, header).unwrap(),
        [ResponderEvent::Reject { id: 1, reason }]
    );
    assert_eq!(receive(&mut responder, content).unwrap(), []);
    assert_eq!(responder.buffered_bytes(), 0);
    assert!(responder.has_partial_request(), "the record is incomplete");
}

/// Guards against content that takes memory although nothing needs it: records of any type, of requests in any state.
#[rstest]
#[case::body_of_no_request(RecordType::Stdin, 7)]
#[case::params_of_no_request(RecordType::Params, 7)]
#[case::body_of_a_complete_request(RecordType::Stdin, 1)]
#[case::data(RecordType::Data, 1)]
#[case::abort(RecordType::AbortRequest, 7)]
#[case::management(RecordType::Other(77), 0)]
#[case::unknown_type(RecordType::Other(77), 1)]
fn content_that_is_not_needed_takes_no_memory(#[case] record_type: RecordType, #[case] id: u16) {
    let mut responder = Responder::new(LIMITS);
    receive(&mut responder, &encode_request(1, &[], b"x")).unwrap();
    let record = incomplete_record(record_type, id, MAX_CONTENT_BYTES, 255);
    receive(&mut responder, &record).unwrap();
    assert_eq!(responder.buffered_bytes(), 0);
    assert!(responder.has_partial_request());
    let rest = receive(&mut responder, b"x").unwrap();
    assert_eq!(rest, []);
    assert!(!responder.has_partial_request());
}

/// Guards against content of records with a fixed use that is buffered beyond it.
#[rstest]
#[case::begin(RecordType::BeginRequest, 3, 100)]
#[case::get_values(RecordType::GetValues, 0, 5_000)]
fn records_of_fixed_use_take_little_memory(
    #[case] record_type: RecordType,
    #[case] id: u16,
    #[case] max_bytes: usize,
) {
    let mut responder = Responder::new(LIMITS);
    let record = incomplete_record(record_type, id, MAX_CONTENT_BYTES, 0);
    assert_eq!(receive(&mut responder, &record).unwrap(), []);
    assert!(responder.buffered_bytes() <= max_bytes);
    receive(&mut responder, b"x").unwrap();
    assert!(!responder.has_partial_request() || responder.open_requests() == 1);
}

/// Guards against counting only complete records, and against allocations of twice the content: the count follows each
/// received part.
#[rstest]
fn the_memory_of_an_incomplete_request_is_counted_as_it_is_received() {
    let mut responder = Responder::new(LIMITS);
    let mut begin = Vec::new();
    write_begin_request(&mut begin, 1, true);
    receive(&mut responder, &begin).unwrap();
    let empty = responder.buffered_bytes();
    assert!(empty > 0, "a request that has only begun takes memory");
    let record = incomplete_record(RecordType::Stdin, 1, 2000, 0);
    for (index, part) in record.chunks(100).enumerate() {
        receive(&mut responder, part).unwrap();
        let received = (100 * (index + 1)).min(record.len()) - HEADER_BYTES;
        let counted = responder.buffered_bytes() - empty;
        assert!(
            (received..received + 500).contains(&counted),
            "{received}: {counted}"
        );
    }
    assert_eq!(responder.oldest_partial_request(), Some((1, NOW)));
    receive(&mut responder, b"x").unwrap();
    let abort = encode_header(RecordType::AbortRequest, 1, 0);
    receive(&mut responder, &abort).unwrap();
    assert_eq!(responder.buffered_bytes(), 0);
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
