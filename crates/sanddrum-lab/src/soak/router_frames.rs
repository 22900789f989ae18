//! Frames that emulated model servers receive from routers.

const HEADER_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;

/// A frame from a router.
pub struct Frame {
    pub code: u8,
    pub id: u64,
    fields: String,
    pub body: Vec<u8>,
}

impl Frame {
    /// Removes the first frame from the received bytes, if it is complete.
    pub fn take(bytes: &mut Vec<u8>) -> Option<Frame> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let fields = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
        let (code, id) = (
            header[1],
            u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n| header[n])),
        );
        let frame_bytes = HEADER_BYTES + fields + body + CHECKSUM_BYTES;
        if bytes.len() < frame_bytes {
            return None;
        }
        let frame: Vec<u8> = bytes.drain(..frame_bytes).collect();
        let fields_text =
            String::from_utf8_lossy(&frame[HEADER_BYTES..HEADER_BYTES + fields]).into_owned();
        Some(Frame {
            code,
            id,
            fields: fields_text,
            body: frame[HEADER_BYTES + fields..frame_bytes - CHECKSUM_BYTES].to_vec(),
        })
    }
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }
}
