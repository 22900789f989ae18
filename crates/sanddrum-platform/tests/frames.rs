//! Frames between routers and workers are encoded as the platform describes them, and decoded however the stream is
//! split.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::{frames, FrameDecoder, FrameError, Response};
use sanddrum_wire::{ExecutionStatus, InstanceState};

const MAX_FRAME_BYTES: usize = 4096;
const HEADER_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;
/// The marker and the code of a worker's response to a request that finished.
const WORKER_MARKER: u8 = 108;
const FINISHED: u8 = 97;

fn decode(bytes: &[u8]) -> Result<Option<Response>, FrameError> {
    let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
    decoder.push_bytes(bytes);
    decoder.next_response()
}

#[rstest]
fn a_request_is_encoded_as_the_platform_describes_it() {
    let id = 0x9b1f03aa5c7e2d41;
    let bytes = frames::request(id, "job", "7f3a9c21e0b4d655", 1_500_000, b"in");
    let fields = b"profile=job,thing=7f3a9c21e0b4d655,max=1500";
    assert_eq!(bytes[..2], [76, 65]);
    assert_eq!(bytes[2..8], [0, fields.len() as u8, 0, 0, 0, 2]);
    assert_eq!(bytes[8..HEADER_BYTES], id.to_be_bytes());
    assert_eq!(bytes[HEADER_BYTES..][..fields.len()], fields[..]);
    let checksum_at = bytes.len() - CHECKSUM_BYTES;
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..checksum_at]);
    assert_eq!(bytes[checksum_at..], checksum.to_be_bytes());
}

#[rstest]
#[case(FINISHED, Some(ExecutionStatus::Finished))]
#[case(99, Some(ExecutionStatus::ColdMiss))]
#[case(100, Some(ExecutionStatus::Rejected))]
#[case(101, Some(ExecutionStatus::Error))]
#[case(102, Some(ExecutionStatus::Dropped))]
#[case(103, None)]
fn a_response_is_decoded_with_its_status_instance_state_and_load_report(
    #[case] code: u8,
    #[case] status: Option<ExecutionStatus>,
) {
    let fields = "remark=started,report=rif:7;q:2;x0:0.25;x1:1;new:3,copies=2";
    let response = decode(&frames::response(code, 5, fields, b"out"))
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            response.id,
            response.status,
            response.instance,
            response.instances
        ),
        (5, status, Some(InstanceState::StartedLoad), Some(2))
    );
    let report = response.report.unwrap();
    assert_eq!(
        (
            report.in_flight,
            report.queued,
            report.memory_pinned,
            report.loads_in_progress
        ),
        (Some(7.0), Some(2.0), Some(0.25), Some(1.0))
    );
    assert_eq!(response.body, b"out");
}

/// A response with one byte changed.
fn corrupted(body: &[u8], position: usize, change: impl Fn(u8) -> u8) -> Vec<u8> {
    let mut bytes = frames::response(FINISHED, 1, "", body);
    bytes[position] = change(bytes[position]);
    bytes
}

#[rstest]
#[case::not_a_frame(b"GET / HTTP/1.1".to_vec(), FrameError::UnexpectedMarker(b'G'))]
#[case::router_marker(corrupted(b"", 0, |_| 76), FrameError::UnexpectedMarker(76))]
#[case::unknown_code(frames::response(98, 1, "", b""), FrameError::UnknownCode(98))]
#[case::three_gigabyte_body(corrupted(b"", 4, |_| 0xc0), FrameError::TooLarge(0xc000_0000))]
#[case::flipped_bit(corrupted(b"out", 17, |byte| byte ^ 1), FrameError::ChecksumMismatch)]
#[case::field_without_value(
    frames::response(FINISHED, 1, "remark", b""),
    FrameError::MalformedFields
)]
fn an_invalid_frame_is_an_error(#[case] bytes: Vec<u8>, #[case] expected: FrameError) {
    assert_eq!(decode(&bytes), Err(expected));
}

#[rstest]
fn an_incomplete_response_is_not_decoded() {
    let bytes = frames::response(FINISHED, 1, "remark=hot", b"out");
    for length in 0..bytes.len() {
        assert_eq!(decode(&bytes[..length]), Ok(None));
    }
}

proptest! {
    #[test]
    fn decoded_responses_do_not_depend_on_how_the_stream_is_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..5),
        chunk_lengths in prop::collection::vec(1usize..90, 1..30),
    ) {
        let bytes: Vec<u8> = bodies
            .iter()
            .enumerate()
            .flat_map(|(index, body)| frames::response(FINISHED, index as u64, "remark=hot", body))
            .collect();
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        let mut rest = bytes.as_slice();
        let mut decoded_bodies = Vec::new();
        for chunk_length in chunk_lengths.iter().cycle() {
            let (chunk, remainder) = rest.split_at((*chunk_length).min(rest.len()));
            decoder.push_bytes(chunk);
            while let Some(response) = decoder.next_response().unwrap() {
                decoded_bodies.push(response.body);
            }
            rest = remainder;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(decoded_bodies, bodies);
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_decoder(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        begins_like_a_response in any::<bool>(),
    ) {
        if let (true, [marker, code, ..]) = (begins_like_a_response, &mut bytes[..]) {
            (*marker, *code) = (WORKER_MARKER, FINISHED);
        }
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        decoder.push_bytes(&bytes);
        while let Ok(Some(_)) = decoder.next_response() {}
    }
}
