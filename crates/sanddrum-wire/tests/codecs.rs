//! Both codecs against all that may come in: no panic, bounded memory, and what is written is read back.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_wire::frame::{encode_frame, FrameDecoder, FrameError};
use sanddrum_wire::http::{self, HttpError, Parsed};
use sanddrum_wire::*;

fn execute() -> impl Strategy<Value = ToWorker> {
    let texts = (
        "[a-z-]{0,12}",
        "[a-z0-9]{0,12}",
        proptest::option::of("[a-z0-9]{1,20}"),
    );
    let numbers = (any::<u64>(), any::<i64>(), 0.0..1e6f64, any::<u32>());
    (
        texts,
        numbers,
        proptest::collection::vec(any::<u8>(), 0..300),
    )
        .prop_map(
            |((workload, function, mark), (id, limit_us, memory_mb, lanes), body)| {
                let trace = mark.clone();
                let rest = Execute {
                    idempotency_key: mark,
                    trace,
                    body,
                    ..Execute::default()
                };
                ToWorker::Execute(Execute {
                    id,
                    workload,
                    function,
                    time_limit_us: limit_us,
                    memory_mb,
                    concurrency: lanes,
                    ..rest
                })
            },
        )
}

proptest! {
    #[test]
    fn messages_survive_any_cut_of_the_stream(messages in proptest::collection::vec(execute(), 1..6), cut in 1usize..50) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode_frame).collect();
        let mut frames = FrameDecoder::new(1 << 16);
        let mut read = Vec::new();
        for piece in bytes.chunks(cut) {
            frames.push_bytes(piece);
            while let Some(message) = frames.next_message::<ToWorker>().unwrap() {
                read.push(message);
            }
        }
        prop_assert_eq!(read, messages);
    }

    #[test]
    fn noise_never_panics_either_codec(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut frames = FrameDecoder::new(1 << 10);
        frames.push_bytes(&bytes);
        while let Ok(Some(_)) = frames.next_message::<FromWorker>() {}
        let mut framed = ((bytes.len() as u32).to_be_bytes()).to_vec();
        framed.extend_from_slice(&bytes);
        let mut frames = FrameDecoder::new(1 << 10);
        frames.push_bytes(&framed);
        while let Ok(Some(_)) = frames.next_message::<ToDiscovery>() {}
        let _ = http::parse_request(&bytes, 1 << 12, 1 << 12);
        let _ = http::parse_response(&bytes);
    }

    #[test]
    fn requests_survive_any_cut(body in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..400) {
        let bytes = http::encode_request("POST", "/v1/calls/a/b", &[("x-y", "z")], &body);
        let at = at.min(bytes.len());
        if at < bytes.len() {
            let partial = matches!(http::parse_request(&bytes[..at], 1 << 12, 1 << 12), Ok(Parsed::Partial { .. }));
            prop_assert!(partial);
        }
        let Ok(Parsed::Complete(request, took)) = http::parse_request(&bytes, 1 << 12, 1 << 12) else {
            return Err(TestCaseError::fail("not read"));
        };
        prop_assert_eq!((request.body, took), (body, bytes.len()));
    }
}

#[rstest]
fn a_frame_too_large_is_refused_before_its_content_comes() {
    let mut frames = FrameDecoder::new(1000);
    frames.push_bytes(&1001u32.to_be_bytes());
    assert_eq!(
        frames.next_frame(),
        Err(FrameError::TooLarge {
            length: 1001,
            max: 1000
        })
    );
}

#[rstest]
fn what_a_later_version_adds_is_skipped() {
    // A message of kind 99, then a probe with a field 7 that is not known here.
    let mut frames = FrameDecoder::new(1000);
    frames.push_bytes(&[0, 0, 0, 4, 0x82, 0x18, 99, 0xa0]);
    frames.push_bytes(&[0, 0, 0, 8, 0x82, 0x05, 0xa2, 0x00, 0x03, 0x07, 0x61, b'x']);
    assert_eq!(
        frames.next_message::<ToWorker>(),
        Ok(Some(ToWorker::HealthCheck(HealthCheck { id: 3 })))
    );
}

/// The vectors of docs/protocol.md, read from the page itself.
#[rstest]
fn the_protocol_page_tells_what_is_sent() {
    let page = include_str!("../../../docs/protocol.md");
    let vectors: Vec<(String, Vec<u8>)> = page
        .lines()
        .filter_map(|line| line.strip_prefix("    vector "))
        .filter_map(|line| line.split_once(": "))
        .map(|(name, hex)| {
            let digits: Vec<char> = hex.chars().filter(|c| c.is_ascii_hexdigit()).collect();
            let byte =
                |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap();
            (name.to_string(), digits.chunks(2).map(byte).collect())
        })
        .collect();
    let execute = Execute {
        id: 7,
        workload: "trace-pass".into(),
        function: "pick-1".into(),
        time_limit_us: 1_500_000,
        memory_mb: 300.0,
        concurrency: 1,
        idempotency_key: Some("k1".into()),
        body: b"hi".to_vec(),
        ..Execute::default()
    };
    let report = LoadReport {
        in_flight: Some(3.0),
        ..LoadReport::default()
    };
    let done = Done {
        id: 7,
        status: ExecutionStatus::Finished,
        instance: Some(sanddrum_wire::InstanceState::Warm),
        function_in_flight: None,
        report: Some(report),
        body: b"ok".to_vec(),
        customer_rate: None,
        total_rate: None,
    };
    let hello = Hello {
        version: VERSION,
        name: "edge-0".into(),
        incarnation: 5,
        age_us: None,
    };
    let sent = [
        ("hello", encode_frame(&ToWorker::Hello(hello))),
        ("execute", encode_frame(&ToWorker::Execute(execute))),
        ("cancel", encode_frame(&ToWorker::Cancel(Cancel { id: 7 }))),
        (
            "hold",
            encode_frame(&ToWorker::Load(Load {
                id: 8,
                function: "pick-1".into(),
                instances: 1,
                memory_mb: 300.0,
                concurrency: 1,
            })),
        ),
        (
            "probe",
            encode_frame(&ToWorker::HealthCheck(HealthCheck { id: 9 })),
        ),
        ("done", encode_frame(&FromWorker::Done(done))),
        (
            "held",
            encode_frame(&FromWorker::LoadDone(LoadDone {
                id: 8,
                status: ExecutionStatus::Rejected,
                instances: 0,
            })),
        ),
    ];
    for (name, bytes) in &sent {
        let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        let told = vectors.iter().find(|(n, _)| n == name).map(|(_, b)| b);
        assert_eq!(told, Some(bytes), "{name}: {hex}");
    }
    assert_eq!(vectors.len(), sent.len());
}

#[rstest]
#[case::no_head_end(&b"GET / HTTP/1.1\r\nx: y\r\n"[..], 10, HttpError::HeadTooLarge)]
#[case::two_lengths(
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
#[case::body(
    b"POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n",
    99,
    HttpError::BodyTooLarge
)]
#[case::endless_length(
    b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n",
    99,
    HttpError::BodyTooLarge
)]
fn requests_that_cannot_be_served_say_why(
    #[case] bytes: &[u8],
    #[case] most: usize,
    #[case] why: HttpError,
) {
    assert_eq!(http::parse_request(bytes, most, 100), Err(why));
}

/// Who keeps no rows reads the same head of a list, whatever its rows are.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::many(1000)]
fn the_head_of_a_list_is_read_without_its_rows(#[case] count: usize) {
    let row = |n: usize| EndpointRecord {
        name: format!("worker-{n}"),
        size: 8.0,
        age_us: -1,
        ..EndpointRecord::default()
    };
    let rows = EndpointUpdate {
        version: 7,
        service_incarnation: 2,
        is_full_snapshot: false,
        base_version: 6,
        endpoints: (0..count).map(row).collect(),
    };
    let mut frames = FrameDecoder::new(1 << 20);
    let changes = EndpointUpdate {
        is_full_snapshot: true,
        base_version: 0,
        ..rows.clone()
    };
    for rows in [&rows, &changes] {
        frames.push_bytes(&encode_frame(&FromDiscovery::Endpoints(rows.clone())));
    }
    for rows in [&rows, &changes] {
        assert_eq!(
            frames.next_message::<FromDiscoveryHead>(),
            Ok(Some(FromDiscoveryHead::Endpoints(rows.head())))
        );
    }
    assert_eq!(frames.next_message::<FromDiscoveryHead>(), Ok(None));
}
