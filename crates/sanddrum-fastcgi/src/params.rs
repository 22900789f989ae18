//! Name-value pairs (section 3.4).

/// Lengths below this are encoded in one byte, others in four.
const FOUR_BYTE_LENGTH: usize = 0x80;
/// The bit that marks a length of four bytes.
const FOUR_BYTE_FLAG: u32 = 0x8000_0000;

/// Encodes name-value pairs, as the content of a stream of [`Params`](crate::RecordType::Params).
pub fn encode_params(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for (name, value) in pairs {
        write_length(&mut encoded, name.len());
        write_length(&mut encoded, value.len());
        encoded.extend_from_slice(name.as_bytes());
        encoded.extend_from_slice(value.as_bytes());
    }
    encoded
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    if length < FOUR_BYTE_LENGTH {
        out.push(length as u8);
    } else {
        out.extend_from_slice(&(length as u32 | FOUR_BYTE_FLAG).to_be_bytes());
    }
}

/// Decodes name-value pairs. Returns `None` if a length is incomplete or exceeds the remaining bytes.
pub(crate) fn decode_params(mut bytes: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let name_length = take_length(&mut bytes)?;
        let value_length = take_length(&mut bytes)?;
        let (pair, rest) = bytes.split_at_checked(name_length.checked_add(value_length)?)?;
        pairs.push(pair.split_at(name_length));
        bytes = rest;
    }
    Some(pairs)
}

fn take_length(bytes: &mut &[u8]) -> Option<usize> {
    let (first, rest) = bytes.split_first()?;
    if usize::from(*first) < FOUR_BYTE_LENGTH {
        *bytes = rest;
        return Some(usize::from(*first));
    }
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some((u32::from_be_bytes(*length) & !FOUR_BYTE_FLAG) as usize)
}
