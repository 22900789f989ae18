//! Frames and messages of the worker protocol: encoded messages are decoded again, arbitrary input never panics, and
//! the encoding matches docs/protocol.md.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_wire::frame::{encode_frame, FrameDecoder, FrameError};
use sanddrum_wire::{
    Cancel, Done, EndpointRecord, EndpointUpdate, Execute, ExecutionStatus, FromDiscovery,
    FromDiscoveryHead, FromWorker, HealthCheck, Hello, InstanceState, Load, LoadDone, LoadReport,
    ToDiscovery, ToWorker, VERSION,
};

fn execute_message() -> impl Strategy<Value = ToWorker> {
    let texts = (
        "[a-z-]{0,12}",
        "[a-z0-9]{0,12}",
        proptest::option::of("[a-z0-9]{1,20}"),
    );
    let numbers = (any::<u64>(), any::<i64>(), 0.0..1e6f64, any::<u32>());
    let body = proptest::collection::vec(any::<u8>(), 0..300);
    (texts, numbers, body).prop_map(|(texts, numbers, body)| {
        let (workload, function, idempotency_key) = texts;
        let (id, time_limit_us, memory_mb, concurrency) = numbers;
        ToWorker::Execute(Execute {
            id,
            workload,
            function,
            time_limit_us,
            memory_mb,
            concurrency,
            trace: idempotency_key.clone(),
            idempotency_key,
            body,
            ..Execute::default()
        })
    })
}

proptest! {
    #[test]
    fn messages_are_decoded_however_the_stream_is_split(
        messages in proptest::collection::vec(execute_message(), 1..6),
        chunk_length in 1usize..50,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode_frame).collect();
        let mut decoder = FrameDecoder::new(1 << 16);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_length) {
            decoder.push_bytes(chunk);
            while let Some(message) = decoder.next_message::<ToWorker>().unwrap() {
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages);
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = FrameDecoder::new(1 << 10);
        decoder.push_bytes(&bytes);
        while let Ok(Some(_)) = decoder.next_message::<FromWorker>() {}

        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let mut decoder = FrameDecoder::new(1 << 10);
        decoder.push_bytes(&framed);
        while let Ok(Some(_)) = decoder.next_message::<ToDiscovery>() {}
    }
}

#[rstest]
fn an_oversized_frame_is_rejected_before_its_content_arrives() {
    let mut decoder = FrameDecoder::new(1000);
    decoder.push_bytes(&1001u32.to_be_bytes());
    assert_eq!(
        decoder.next_frame(),
        Err(FrameError::TooLarge {
            length: 1001,
            max: 1000
        })
    );
}

#[rstest]
fn unknown_messages_and_fields_are_skipped() {
    let mut decoder = FrameDecoder::new(1000);
    let message_with_unknown_number = [0, 0, 0, 4, 0x82, 0x18, 99, 0xa0];
    let health_check_with_unknown_field_7 =
        [0, 0, 0, 8, 0x82, 0x05, 0xa2, 0x00, 0x03, 0x07, 0x61, b'x'];
    decoder.push_bytes(&message_with_unknown_number);
    decoder.push_bytes(&health_check_with_unknown_field_7);
    assert_eq!(
        decoder.next_message::<ToWorker>(),
        Ok(Some(ToWorker::HealthCheck(HealthCheck { id: 3 })))
    );
}

/// The test vectors of docs/protocol.md with their names, read from the page itself.
fn documented_vectors() -> Vec<(String, Vec<u8>)> {
    let decode_hex = |hex: &str| -> Vec<u8> {
        let digits: Vec<char> = hex.chars().filter(char::is_ascii_hexdigit).collect();
        digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap())
            .collect()
    };
    include_str!("../../../docs/protocol.md")
        .lines()
        .filter_map(|line| line.strip_prefix("    vector "))
        .filter_map(|line| line.split_once(": "))
        .map(|(name, hex)| (name.to_string(), decode_hex(hex)))
        .collect()
}

/// The messages that the test vectors of docs/protocol.md describe, encoded.
fn encoded_examples() -> Vec<(&'static str, Vec<u8>)> {
    let hello = Hello {
        version: VERSION,
        name: "edge-0".into(),
        incarnation: 5,
        age_us: None,
    };
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
    let load = Load {
        id: 8,
        function: "pick-1".into(),
        instances: 1,
        memory_mb: 300.0,
        concurrency: 1,
    };
    let done = Done {
        id: 7,
        status: ExecutionStatus::Finished,
        instance: Some(InstanceState::Warm),
        function_in_flight: None,
        report: Some(LoadReport {
            in_flight: Some(3.0),
            ..LoadReport::default()
        }),
        body: b"ok".to_vec(),
        customer_rate: None,
        total_rate: None,
    };
    let load_done = LoadDone {
        id: 8,
        status: ExecutionStatus::Rejected,
        instances: 0,
    };
    vec![
        ("hello", encode_frame(&ToWorker::Hello(hello))),
        ("execute", encode_frame(&ToWorker::Execute(execute))),
        ("cancel", encode_frame(&ToWorker::Cancel(Cancel { id: 7 }))),
        ("load", encode_frame(&ToWorker::Load(load))),
        (
            "health check",
            encode_frame(&ToWorker::HealthCheck(HealthCheck { id: 9 })),
        ),
        ("done", encode_frame(&FromWorker::Done(done))),
        ("load done", encode_frame(&FromWorker::LoadDone(load_done))),
    ]
}

#[rstest]
fn encoded_messages_match_the_vectors_of_the_protocol_page() {
    let documented = documented_vectors();
    let encoded = encoded_examples();
    for (name, bytes) in &encoded {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let expected = documented
            .iter()
            .find(|(vector_name, _)| vector_name == name)
            .map(|(_, bytes)| bytes);
        assert_eq!(expected, Some(bytes), "{name}: {hex}");
    }
    assert_eq!(documented.len(), encoded.len());
}

#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::many(1000)]
fn the_head_of_an_update_is_decoded_without_its_endpoints(#[case] count: usize) {
    let endpoint = |number: usize| EndpointRecord {
        name: format!("worker-{number}"),
        size: 8.0,
        age_us: -1,
        ..EndpointRecord::default()
    };
    let changes = EndpointUpdate {
        version: 7,
        service_incarnation: 2,
        is_full_snapshot: false,
        base_version: 6,
        endpoints: (0..count).map(endpoint).collect(),
    };
    let snapshot = EndpointUpdate {
        is_full_snapshot: true,
        base_version: 0,
        ..changes.clone()
    };
    let mut decoder = FrameDecoder::new(1 << 20);
    for update in [&changes, &snapshot] {
        decoder.push_bytes(&encode_frame(&FromDiscovery::Endpoints(update.clone())));
    }
    for update in [&changes, &snapshot] {
        assert_eq!(
            decoder.next_message::<FromDiscoveryHead>(),
            Ok(Some(FromDiscoveryHead::Endpoints(update.head())))
        );
    }
    assert_eq!(decoder.next_message::<FromDiscoveryHead>(), Ok(None));
}
