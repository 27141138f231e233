//! Reader of the frames on standard input.

use crate::error::AdapterError;
use crate::wire;
use std::io::{self, Read};

/// Reads the next frame. Returns `None` at the end of the input.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let Some(mut frame) = read_header(input)? else { return Ok(None) };
    let expected = (wire::frame_size(&frame)? - wire::BATCH_HEADER_BYTES) as u64;
    // `read_to_end` allocates memory as bytes arrive, so that a wrong length in a header allocates none.
    let read = input.take(expected).read_to_end(&mut frame).map_err(AdapterError::ReadBatch)?;
    if (read as u64) < expected {
        return Err(AdapterError::TruncatedBatch { read, expected });
    }
    Ok(Some(frame))
}

/// Reads the header of a batch. Returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut header = vec![0; wire::BATCH_HEADER_BYTES];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedHeader { read }),
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}
